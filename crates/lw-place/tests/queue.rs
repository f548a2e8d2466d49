//! Guards against latency estimates that are too short or too long at engines with earlier requests.

mod common;

use std::time::Duration;

use common::{engine, ms, pool, prompt, request};
use lw_place::{Load, PlacementRequest, Prompt, Refusal, Segment, UpstreamPool};

/// Returns a prompt of 17,000 tokens that shares no segment with others.
fn unshared(id: u64) -> Prompt {
    let segments = vec![Segment { id, tokens: 13_000 }, Segment { id: id + 1_000, tokens: 4_000 }];
    Prompt { segments, ..prompt("m") }
}

/// Returns a request of a caller that waits long enough to be never refused.
fn unlimited_wait(prompt: &Prompt) -> PlacementRequest<'_> {
    PlacementRequest { max_wait: ms(60_000), ..request(prompt) }
}

fn send(pool: &mut UpstreamPool, at: u64, prompt: &Prompt) -> u64 {
    let placement = pool.place(ms(at), &unlimited_wait(prompt)).unwrap();
    pool.record_sent(ms(at), &placement, Some(prompt)).0
}

fn one_engine() -> UpstreamPool {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool
}

fn expected_latency_at(pool: &UpstreamPool, at: u64) -> Duration {
    pool.place(ms(at), &unlimited_wait(&unshared(500))).unwrap().expected_latency
}

/// Guards against an estimate that counts the time of one slow prefill as progress of the requests behind it as well.
#[test]
fn a_slow_prefill_does_not_shorten_the_wait_for_those_behind_it() {
    let mut pool = one_engine();
    for id in 0..3 {
        send(&mut pool, 0, &unshared(id));
    }
    let at_first = expected_latency_at(&pool, 0);
    let later = expected_latency_at(&pool, 600);
    // One prefill takes about 230 ms; no first event shows that the two behind it have started.
    assert!(at_first < later + ms(300), "{at_first:?}, after 600 ms {later:?}");
    assert!(later > ms(600), "{later:?}");
}

/// Guards against an estimate in which an engine starts a request without free memory for it.
#[test]
fn a_request_waits_until_earlier_ones_have_freed_its_memory() {
    let mut pool = one_engine();
    let long = |id: u64| Prompt { output_tokens: 300, ..unshared(id) };
    // Ten requests of 17,300 tokens fill 180,000 tokens; their answers take 300 steps.
    for id in 0..9 {
        let attempt_id = send(&mut pool, 0, &long(id));
        pool.record_started(ms(1), "e1", attempt_id);
    }
    assert!(expected_latency_at(&pool, 2) < ms(400), "{:?}", expected_latency_at(&pool, 2));
    let attempt_id = send(&mut pool, 2, &long(9));
    pool.record_started(ms(3), "e1", attempt_id);
    assert!(expected_latency_at(&pool, 4) > ms(1_000), "{:?}", expected_latency_at(&pool, 4));
}

/// Guards against shared segments that count once for each request, so that an engine seems to be full.
#[test]
fn a_segment_that_running_requests_share_takes_memory_once() {
    // The 20 requests take 340,000 tokens if the segment counts for each of them, and 93,000 if it counts once.
    let latency_with_memory = |cache_tokens: u64| {
        let mut pool = one_engine();
        pool.configure(Some(lw_catalog::EngineSpec { cache_tokens, ..common::spec() }));
        for id in 100..120 {
            let segments = vec![Segment { id: 1, tokens: 13_000 }, Segment { id, tokens: 4_000 }];
            let attempt_id = send(&mut pool, 0, &Prompt { segments, ..prompt("m") });
            pool.record_started(ms(1), "e1", attempt_id);
        }
        expected_latency_at(&pool, 2)
    };
    assert_eq!(latency_with_memory(180_000), latency_with_memory(1_000_000));
}

/// Guards against callers that wait for as long as they can and then leave without an answer.
#[test]
fn a_request_that_cannot_start_before_its_caller_leaves_is_refused_at_once() {
    let mut pool = one_engine();
    let mut sent = 0;
    let refusal = loop {
        match pool.place(ms(0), &request(&unshared(sent))) {
            Ok(placement) => drop(pool.record_sent(ms(0), &placement, Some(&unshared(sent)))),
            Err(refusal) => break refusal,
        }
        sent += 1;
        assert!(sent < 50, "never refused");
    };
    let Refusal::WaitTooLong(time) = refusal else { panic!("{refusal}") };
    assert!(time > ms(1_000) && time < ms(2_000), "expected latency {time:?}");
    // A further attempt of a request that failed elsewhere is placed even if it is late.
    let tried = ["e0".to_owned()];
    let prompt = unshared(900);
    let again = PlacementRequest { tried: &tried, ..request(&prompt) };
    assert!(pool.place(ms(0), &again).is_ok());
    // Less urgent requests at the engine are no reason to refuse.
    let urgent = Prompt { rank: 0, ..unshared(901) };
    let mut idle = one_engine();
    for id in 0..12 {
        let prompt = Prompt { rank: 3, ..unshared(id) };
        let placement = idle.place(ms(0), &request(&prompt));
        if let Ok(placement) = placement {
            idle.record_sent(ms(0), &placement, Some(&prompt));
        }
    }
    assert!(idle.place(ms(0), &request(&urgent)).unwrap().expected_latency < ms(400));
}

/// Returns a prompt so short that VMs don't announce it to each other.
fn short_prompt() -> Prompt {
    let segments = vec![Segment { id: 1, tokens: 55 }, Segment { id: 2, tokens: 300 }];
    Prompt { tokens: 355, output_tokens: 6, segments, ..prompt("m") }
}

/// Guards against short requests of all VMs that accumulate at one engine, since they are not announced.
#[test]
fn an_engine_that_reports_a_long_queue_gets_no_further_short_requests() {
    let mut pool = one_engine();
    pool.put(&engine("e2", "m", 1));
    let placed =
        |pool: &UpstreamPool, at: u64| pool.place(ms(at), &request(&short_prompt())).unwrap();
    let preferred = placed(&pool, 0).upstream.id.clone();
    let load = |running, waiting| Load { running, waiting, slots: 32, slowness_percent: 100 };
    pool.on_load(ms(30), &preferred, load(32, 96));
    assert_ne!(placed(&pool, 40).upstream.id, preferred);
    // The report expires, since no request yields a newer one.
    assert_eq!(placed(&pool, 1_500).upstream.id, preferred);
    // Without another engine the estimate includes the wait: 96 requests in 32 slots, 100 ms each.
    let mut alone = one_engine();
    alone.on_load(ms(0), "e1", load(32, 96));
    let expected = alone.place(ms(0), &request(&short_prompt())).unwrap().expected_latency;
    assert!(expected > ms(290) && expected < ms(400), "{expected:?}");
}

/// Guards against counting waiting requests twice: those that this VM tracks are also in the load that the engine
/// reports.
#[test]
fn less_urgent_requests_do_not_delay_a_new_one() {
    let mut pool = one_engine();
    let behind = Prompt { rank: 3, ..unshared(1) };
    for id in 0..8 {
        let prompt = Prompt { rank: 3, ..unshared(id) };
        send(&mut pool, 0, &prompt);
    }
    pool.on_load(ms(1), "e1", Load { running: 32, waiting: 8, slots: 32, slowness_percent: 100 });
    let urgent = pool.place(ms(2), &request(&short_prompt())).unwrap().expected_latency;
    assert!(urgent < ms(100), "{urgent:?}");
    assert!(pool.place(ms(2), &unlimited_wait(&behind)).unwrap().expected_latency > ms(500));
}

/// Guards against all VMs sending all short requests to an engine that has just restarted, since it seems idle to each.
#[test]
fn requests_of_other_vms_count_before_the_engine_reports_them() {
    let prompt = short_prompt();
    let sent_until_full = |peers: usize| {
        let mut pool = one_engine();
        pool.put(&engine("new", "m", 2));
        pool.set_target_version(ms(0), "m", 2);
        let mut sent = 0;
        loop {
            let placement =
                pool.place(ms(1), &PlacementRequest { peers, ..request(&prompt) }).unwrap();
            if placement.upstream.id != "new" || sent > 200 {
                return sent;
            }
            pool.record_sent(ms(1), &placement, Some(&prompt));
            sent += 1;
        }
    };
    // Stale weights cost as much as a wait of 200 ms, so 32 running and 64 waiting requests fit: one VM alone may
    // send them all, one of ten VMs a tenth.
    let (alone, with_nine_peers) = (sent_until_full(0), sent_until_full(9));
    assert!(alone >= 32, "{alone}");
    assert!(with_nine_peers * 10 <= 2 * 96, "{with_nine_peers}");
}
