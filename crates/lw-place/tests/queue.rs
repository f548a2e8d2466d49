//! Guards against expectations that are too short or too long at engines with requests in front.

mod common;

use std::time::Duration;

use common::{engine, ms, pool, prompt, request};
use lw_place::{Load, PlacementRequest, Prompt, Refusal, Segment, UpstreamPool};

/// A prompt of 17,000 tokens that shares nothing with others.
fn own(id: u64) -> Prompt {
    let segments = vec![Segment { id, tokens: 13_000 }, Segment { id: id + 1_000, tokens: 4_000 }];
    Prompt { segments, ..prompt("m") }
}

/// Asks for a caller who waits for as long as it takes.
fn patient(prompt: &Prompt) -> PlacementRequest<'_> {
    PlacementRequest { max_wait: ms(60_000), ..request(prompt) }
}

fn send(pool: &mut UpstreamPool, at: u64, prompt: &Prompt) -> u64 {
    let placement = pool.place(ms(at), &patient(prompt)).unwrap();
    pool.record_sent(ms(at), &placement, Some(prompt)).0
}

fn one_engine() -> UpstreamPool {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool
}

fn expected(pool: &UpstreamPool, at: u64) -> Duration {
    pool.place(ms(at), &patient(&own(500))).unwrap().expected_latency
}

/// Guards against the belief that a reading that takes long has done the work of those behind it as well.
#[test]
fn a_slow_reading_in_front_does_not_shorten_those_behind() {
    let mut pool = one_engine();
    for id in 0..3 {
        send(&mut pool, 0, &own(id));
    }
    let at_first = expected(&pool, 0);
    let later = expected(&pool, 600);
    // One reading takes about 230 ms; the two behind it have not begun as far as anybody knows.
    assert!(at_first < later + ms(300), "{at_first:?}, after 600 ms {later:?}");
    assert!(later > ms(600), "{later:?}");
}

/// Guards against engines that are believed to begin with a request for which they have no memory.
#[test]
fn a_request_waits_until_answers_in_front_have_freed_its_memory() {
    let mut pool = one_engine();
    let long = |id: u64| Prompt { output_tokens: 300, ..own(id) };
    // Ten requests of 17,300 tokens fill 180,000 tokens; their answers take 300 steps.
    for id in 0..9 {
        let attempt_id = send(&mut pool, 0, &long(id));
        pool.record_started(ms(1), "e1", attempt_id);
    }
    assert!(expected(&pool, 2) < ms(400), "{:?}", expected(&pool, 2));
    let attempt_id = send(&mut pool, 2, &long(9));
    pool.record_started(ms(3), "e1", attempt_id);
    assert!(expected(&pool, 4) > ms(1_000), "{:?}", expected(&pool, 4));
}

/// Guards against shared parts that count once for each request that uses them, so that an engine looks full.
#[test]
fn a_part_that_running_requests_share_takes_memory_once() {
    // 20 requests with the part counted for each take 340,000 tokens, with the part counted once 93,000.
    let with_room = |cache_tokens: u64| {
        let mut pool = one_engine();
        pool.configure(Some(lw_catalog::EngineSpec { cache_tokens, ..common::spec() }));
        for id in 100..120 {
            let segments = vec![Segment { id: 1, tokens: 13_000 }, Segment { id, tokens: 4_000 }];
            let attempt_id = send(&mut pool, 0, &Prompt { segments, ..prompt("m") });
            pool.record_started(ms(1), "e1", attempt_id);
        }
        expected(&pool, 2)
    };
    assert_eq!(with_room(180_000), with_room(1_000_000));
}

/// Guards against callers that wait for as long as they can and then leave without an answer.
#[test]
fn a_request_that_cannot_begin_before_its_caller_leaves_is_refused_at_once() {
    let mut pool = one_engine();
    let mut sent = 0;
    let refusal = loop {
        match pool.place(ms(0), &request(&own(sent))) {
            Ok(placement) => drop(pool.record_sent(ms(0), &placement, Some(&own(sent)))),
            Err(refusal) => break refusal,
        }
        sent += 1;
        assert!(sent < 50, "never refused");
    };
    let Refusal::WaitTooLong(time) = refusal else { panic!("{refusal}") };
    assert!(time > ms(1_000) && time < ms(2_000), "come back in {time:?}");
    // An attempt of a request that went wrong elsewhere goes on, late or not.
    let tried = ["e0".to_owned()];
    let prompt = own(900);
    let again = PlacementRequest { tried: &tried, ..request(&prompt) };
    assert!(pool.place(ms(0), &again).is_ok());
    // Less urgent work in front is no reason to refuse.
    let urgent = Prompt { rank: 0, ..own(901) };
    let mut idle = one_engine();
    for id in 0..12 {
        let prompt = Prompt { rank: 3, ..own(id) };
        let placement = idle.place(ms(0), &request(&prompt));
        if let Ok(placement) = placement {
            idle.record_sent(ms(0), &placement, Some(&prompt));
        }
    }
    assert!(idle.place(ms(0), &request(&urgent)).unwrap().expected_latency < ms(400));
}

/// A short prompt, as other VMs send them without announcing it.
fn short() -> Prompt {
    let segments = vec![Segment { id: 1, tokens: 55 }, Segment { id: 2, tokens: 300 }];
    Prompt { tokens: 355, output_tokens: 6, segments, ..prompt("m") }
}

/// Guards against short requests of all VMs that gather at one engine, since no VM knows what the others sent there.
#[test]
fn an_engine_that_says_that_many_wait_gets_no_further_short_requests() {
    let mut pool = one_engine();
    pool.put(&engine("e2", "m", 1));
    let chosen = |pool: &UpstreamPool, at: u64| pool.place(ms(at), &request(&short())).unwrap();
    let usual = chosen(&pool, 0).upstream.id.clone();
    let load = |running, waiting| Load { running, waiting, slots: 32, slowness_percent: 100 };
    pool.on_load(ms(30), &usual, load(32, 96));
    assert_ne!(chosen(&pool, 40).upstream.id, usual);
    // What it said gets old, since it is not asked meanwhile.
    assert_eq!(chosen(&pool, 1_500).upstream.id, usual);
    // With no other engine, the wait is expected: 96 requests in 32 slots, 100 ms each.
    let mut alone = one_engine();
    alone.on_load(ms(0), "e1", load(32, 96));
    let expected = alone.place(ms(0), &request(&short())).unwrap().expected_latency;
    assert!(expected > ms(290) && expected < ms(400), "{expected:?}");
}

/// Guards against a wait that is counted twice for requests that the VM knows of and that the engine states as well.
#[test]
fn requests_behind_a_new_one_do_not_count_as_waiting_before_it() {
    let mut pool = one_engine();
    let behind = Prompt { rank: 3, ..own(1) };
    for id in 0..8 {
        let prompt = Prompt { rank: 3, ..own(id) };
        send(&mut pool, 0, &prompt);
    }
    pool.on_load(ms(1), "e1", Load { running: 32, waiting: 8, slots: 32, slowness_percent: 100 });
    let urgent = pool.place(ms(2), &request(&short())).unwrap().expected_latency;
    assert!(urgent < ms(100), "{urgent:?}");
    assert!(pool.place(ms(2), &patient(&behind)).unwrap().expected_latency > ms(500));
}

/// Guards against all VMs sending all short requests to an engine that has just come back, since it looks idle to each.
#[test]
fn what_other_vms_send_to_an_idle_engine_is_expected_before_it_says_so() {
    let prompt = short();
    let among = |peers: usize| {
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
    // 32 slots, and 64 requests in front for a wait of 200 ms: alone a VM may send them all, among ten a tenth.
    let (alone, among_ten) = (among(0), among(9));
    assert!(alone >= 32, "{alone}");
    assert!(among_ten * 10 <= 2 * 96, "{among_ten}");
}
