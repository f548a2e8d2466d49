//! Guards against VMs that choose without knowing what the others have sent.

mod common;

use common::{engine, engine_in, ms, pool, prompt, request};
use lw_place::{Ended, Prompt, Segment, UpstreamPool};

/// A prompt whose shared part has this id.
fn about(segment: u64) -> Prompt {
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

#[test]
fn work_that_another_vm_announced_counts_as_load() {
    let mut near = two_engines();
    let mut far = two_engines();
    let first = near.place(ms(0), &request(&about(1))).unwrap();
    let (attempt_id, announced) = near.record_sent(ms(0), &first, Some(&about(1)));
    far.record_remote_sent(ms(1), "vm-2", &announced.expect("it is large"));
    // Another prompt goes to the other engine, whichever VM decides.
    for (n, segment) in (10..20).enumerate() {
        let placement = far.place(ms(1), &request(&about(segment))).unwrap();
        assert_ne!(placement.upstream.id, first.upstream.id, "prompt {n}");
    }
    far.record_remote_ended(ms(2), "vm-2", &first.upstream.id, attempt_id, Ended::Failed);
    let ids = (10..40)
        .map(|segment| far.place(ms(2), &request(&about(segment))).unwrap().upstream.id.clone());
    assert!(ids.collect::<std::collections::BTreeSet<_>>().len() == 2);
}

/// Two engines that read a new part at the same moment do the work twice.
#[test]
fn a_part_that_is_being_read_is_not_read_elsewhere() {
    let mut near = two_engines();
    let mut far = two_engines();
    let first = near.place(ms(0), &request(&about(1))).unwrap();
    let (_, announced) = near.record_sent(ms(0), &first, Some(&about(1)));
    far.record_remote_sent(ms(1), "vm-2", &announced.expect("it is large"));
    let second = far.place(ms(2), &request(&about(1))).unwrap();
    assert_eq!(second.upstream.id, first.upstream.id);
    assert_eq!(second.cached_tokens, 17_000, "all parts are held, since the prompt is the same");
}

/// Guards against reading again what another engine holds.
#[test]
fn a_busy_holder_is_the_source_for_another_engine() {
    let mut pool = two_engines();
    pool.put(&engine_in("far", "b", "m", 1));
    let first = pool.place(ms(0), &request(&about(1))).unwrap();
    let (attempt_id, _) = pool.record_sent(ms(0), &first, Some(&about(1)));
    pool.record_started(ms(200), &first.upstream.id, attempt_id);
    pool.record_ended(ms(300), &first.upstream.id, attempt_id, Ended::Complete);
    for segment in 20..24 {
        let busy = lw_place::Placement { ..first.clone() };
        pool.record_sent(ms(300), &busy, Some(&about(segment)));
    }
    let placement = pool.place(ms(301), &request(&about(1))).unwrap();
    assert_ne!(placement.upstream.id, first.upstream.id);
    assert_eq!(placement.fetch_from, Some(first.upstream.addr));
    assert_eq!((placement.fetched_tokens, placement.save_to), (13_000, None));
}

/// Small requests change no choice of another VM, and a message for each would cost more than it tells.
#[test]
fn small_requests_are_not_announced() {
    let mut pool = two_engines();
    let segments = vec![Segment { id: 1, tokens: 55 }, Segment { id: 2, tokens: 300 }];
    let small = Prompt { tokens: 355, segments, ..prompt("m") };
    let placement = pool.place(ms(0), &request(&small)).unwrap();
    assert_eq!(pool.record_sent(ms(0), &placement, Some(&small)).1, None);
}

/// Guards against readings on an engine whose streams then pause, while another engine is free.
#[test]
fn a_long_reading_goes_to_the_engine_with_fewer_streams() {
    let mut pool = two_engines();
    let segments = vec![Segment { id: 1, tokens: 55 }, Segment { id: 2, tokens: 300 }];
    let small = Prompt { tokens: 355, output_tokens: 60, segments, ..prompt("m") };
    let crowded = pool.place(ms(0), &request(&small)).unwrap();
    for _ in 0..6 {
        let (attempt_id, _) = pool.record_sent(ms(0), &crowded, Some(&small));
        pool.record_started(ms(10), &crowded.upstream.id, attempt_id);
    }
    for segment in 10..30 {
        let placement = pool.place(ms(20), &request(&about(segment))).unwrap();
        assert_ne!(placement.upstream.id, crowded.upstream.id, "part {segment}");
    }
}
