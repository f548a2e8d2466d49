//! Guards against placements that ignore the requests of other VMs.

mod common;

use std::time::Duration;

use common::{engine, engine_in, ms, pool, prompt, request};
use lw_place::{AnnouncedAttempt, Ended, PlacementRequest, Prompt, Segment, UpstreamPool};

/// Returns a prompt whose shared segment has this id.
fn prompt_with_shared(segment: u64) -> Prompt {
    let mut prompt = prompt("m");
    prompt.segments[0] = Segment { id: segment, tokens: 13_000 };
    prompt
}

fn two_engines() -> UpstreamPool {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 1));
    pool
}

/// Guards against two VMs that send long prompts to the same engine while another one is idle.
#[test]
fn an_attempt_that_another_vm_announced_counts_as_load() {
    let mut local = two_engines();
    let mut remote = two_engines();
    let first = local.place(ms(0), &request(&prompt_with_shared(1))).unwrap();
    let (attempt_id, announced) = local.record_sent(ms(0), &first, Some(&prompt_with_shared(1)));
    remote.record_remote_sent(ms(1), "vm-2", &announced.expect("it is large"));
    // The remote VM places other prompts on the other engine.
    for (index, segment) in (10..20).enumerate() {
        let placement = remote.place(ms(1), &request(&prompt_with_shared(segment))).unwrap();
        assert_ne!(placement.upstream.id, first.upstream.id, "prompt {index}");
    }
    remote.record_remote_ended(ms(2), "vm-2", &first.upstream.id, attempt_id, Ended::Failed);
    let ids = (10..40).map(|segment| {
        remote.place(ms(2), &request(&prompt_with_shared(segment))).unwrap().upstream.id.clone()
    });
    assert!(ids.collect::<std::collections::BTreeSet<_>>().len() == 2);
}

/// Guards against the prefill of the same new segment at two engines, which does the work twice.
#[test]
fn a_segment_that_is_being_prefilled_is_not_prefilled_elsewhere() {
    let mut local = two_engines();
    let mut remote = two_engines();
    let first = local.place(ms(0), &request(&prompt_with_shared(1))).unwrap();
    let (_, announced) = local.record_sent(ms(0), &first, Some(&prompt_with_shared(1)));
    remote.record_remote_sent(ms(1), "vm-2", &announced.expect("it is large"));
    let second = remote.place(ms(2), &request(&prompt_with_shared(1))).unwrap();
    assert_eq!(second.upstream.id, first.upstream.id);
    assert_eq!(
        second.cached_tokens, 17_000,
        "all segments are cached, since the prompt is the same"
    );
}

/// Guards against the prefill of segments that another engine has cached.
#[test]
fn another_engine_fetches_from_a_busy_one() {
    let mut pool = two_engines();
    pool.put(&engine_in("far", "b", "m", 1));
    let first = pool.place(ms(0), &request(&prompt_with_shared(1))).unwrap();
    let (attempt_id, _) = pool.record_sent(ms(0), &first, Some(&prompt_with_shared(1)));
    pool.record_started(ms(200), &first.upstream.id, attempt_id);
    pool.record_ended(ms(300), &first.upstream.id, attempt_id, Ended::Complete);
    for segment in 20..24 {
        let busy = lw_place::Placement { ..first.clone() };
        pool.record_sent(ms(300), &busy, Some(&prompt_with_shared(segment)));
    }
    let placement = pool.place(ms(301), &request(&prompt_with_shared(1))).unwrap();
    assert_ne!(placement.upstream.id, first.upstream.id);
    assert_eq!(placement.fetch_from, Some(first.upstream.addr));
    assert_eq!((placement.fetched_tokens, placement.save_to), (13_000, None));
}

/// Guards against an engine that gets no requests and fetches nothing for as long as another VM announces.
#[test]
fn an_announced_fetch_takes_a_bounded_time() {
    let mut pool = two_engines();
    let shared = prompt_with_shared(1);
    let first = pool.place(ms(0), &request(&shared)).unwrap();
    let (attempt_id, announced) = pool.record_sent(ms(0), &first, Some(&shared));
    pool.record_started(ms(200), &first.upstream.id, attempt_id);
    pool.record_ended(ms(300), &first.upstream.id, attempt_id, Ended::Complete);
    let other = if first.upstream.id == "e1" { "e2" } else { "e1" };
    let long_fetch = AnnouncedAttempt {
        upstream: other.into(),
        fetch_time: Duration::from_secs(3_600),
        segments: vec![],
        ..announced.expect("it is large")
    };
    pool.record_remote_sent(ms(300), "vm-2", &long_fetch);
    let new = prompt_with_shared(2);
    let there = PlacementRequest { returns_to: Some(other), ..request(&new) };
    let patient = PlacementRequest { max_wait: ms(60_000), ..there };
    // A fetch of at most 1,500 ms, and two prefills of 227 ms.
    let expected = pool.place(ms(300), &patient).unwrap().expected_latency;
    assert!(expected < ms(2_000), "{expected:?}");
    pool.record_remote_ended(ms(301), "vm-2", other, long_fetch.attempt_id, Ended::Complete);
    let fetching = PlacementRequest { returns_to: Some(other), ..request(&shared) };
    let placement = pool.place(ms(1_900), &fetching).unwrap();
    assert_eq!(placement.fetched_tokens, 13_000, "its link is free again");
}

/// Guards against a message for each small request, which would change no placement at other VMs.
#[test]
fn small_requests_are_not_announced() {
    let mut pool = two_engines();
    let segments = vec![Segment { id: 1, tokens: 55 }, Segment { id: 2, tokens: 300 }];
    let small = Prompt { tokens: 355, segments, ..prompt("m") };
    let placement = pool.place(ms(0), &request(&small)).unwrap();
    assert_eq!(pool.record_sent(ms(0), &placement, Some(&small)).1, None);
}

/// Guards against a long prefill that makes many streams pause, while another engine has none.
#[test]
fn a_long_prefill_goes_to_the_engine_with_fewer_streams() {
    let mut pool = two_engines();
    let segments = vec![Segment { id: 1, tokens: 55 }, Segment { id: 2, tokens: 300 }];
    let small = Prompt { tokens: 355, output_tokens: 60, segments, ..prompt("m") };
    let crowded = pool.place(ms(0), &request(&small)).unwrap();
    for _ in 0..6 {
        let (attempt_id, _) = pool.record_sent(ms(0), &crowded, Some(&small));
        pool.record_started(ms(10), &crowded.upstream.id, attempt_id);
    }
    for segment in 10..30 {
        let placement = pool.place(ms(20), &request(&prompt_with_shared(segment))).unwrap();
        assert_ne!(placement.upstream.id, crowded.upstream.id, "segment {segment}");
    }
}
