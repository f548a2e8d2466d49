//! Guards against VMs that choose without knowing what the others have sent.

mod common;

use common::{ask, engine, engine_in, fleet, ms, prompt};
use lw_place::{Ended, Fleet, Part, Prompt};

/// A prompt whose shared part has this id.
fn about(part: u64) -> Prompt {
    let mut prompt = prompt("m");
    prompt.parts[0] = Part { id: part, tokens: 13_000 };
    prompt
}

fn two_engines() -> Fleet {
    let mut fleet = fleet();
    fleet.put(&engine("e1", "m", 1));
    fleet.put(&engine("e2", "m", 1));
    fleet
}

#[test]
fn work_that_another_vm_announced_counts_as_load() {
    let mut near = two_engines();
    let mut far = two_engines();
    let first = near.choose(ms(0), &ask(&about(1))).unwrap();
    let (ticket, announced) = near.sent(ms(0), &first, Some(&about(1)));
    far.announced(ms(1), "vm-2", &announced.expect("it is large"));
    // Another prompt goes to the other engine, whichever VM decides.
    for (n, part) in (10..20).enumerate() {
        let choice = far.choose(ms(1), &ask(&about(part))).unwrap();
        assert_ne!(choice.upstream.id, first.upstream.id, "prompt {n}");
    }
    far.announced_end(ms(2), "vm-2", &first.upstream.id, ticket, Ended::Failed);
    let ids =
        (10..40).map(|part| far.choose(ms(2), &ask(&about(part))).unwrap().upstream.id.clone());
    assert!(ids.collect::<std::collections::BTreeSet<_>>().len() == 2);
}

/// Two engines that read a new part at the same moment do the work twice.
#[test]
fn a_part_that_is_being_read_is_not_read_elsewhere() {
    let mut near = two_engines();
    let mut far = two_engines();
    let first = near.choose(ms(0), &ask(&about(1))).unwrap();
    let (_, announced) = near.sent(ms(0), &first, Some(&about(1)));
    far.announced(ms(1), "vm-2", &announced.expect("it is large"));
    let second = far.choose(ms(2), &ask(&about(1))).unwrap();
    assert_eq!(second.upstream.id, first.upstream.id);
    assert_eq!(second.held, 17_000, "all parts are held, since the prompt is the same");
}

/// Guards against reading again what another engine holds.
#[test]
fn a_busy_holder_is_the_source_for_another_engine() {
    let mut fleet = two_engines();
    fleet.put(&engine_in("far", "b", "m", 1));
    let first = fleet.choose(ms(0), &ask(&about(1))).unwrap();
    let (ticket, _) = fleet.sent(ms(0), &first, Some(&about(1)));
    fleet.started(ms(200), &first.upstream.id, ticket);
    fleet.ended(ms(300), &first.upstream.id, ticket, Ended::Complete);
    for part in 20..24 {
        let busy = lw_place::Choice { ..first.clone() };
        fleet.sent(ms(300), &busy, Some(&about(part)));
    }
    let choice = fleet.choose(ms(301), &ask(&about(1))).unwrap();
    assert_ne!(choice.upstream.id, first.upstream.id);
    assert_eq!(choice.fetch_from, Some(first.upstream.addr));
    assert_eq!((choice.fetched, choice.save_to), (13_000, None));
}

/// Small requests change no choice of another VM, and a message for each would cost more than it tells.
#[test]
fn small_requests_are_not_announced() {
    let mut fleet = two_engines();
    let parts = vec![Part { id: 1, tokens: 55 }, Part { id: 2, tokens: 300 }];
    let small = Prompt { tokens: 355, parts, ..prompt("m") };
    let choice = fleet.choose(ms(0), &ask(&small)).unwrap();
    assert_eq!(fleet.sent(ms(0), &choice, Some(&small)).1, None);
}

/// Guards against readings on an engine whose streams then pause, while another engine is free.
#[test]
fn a_long_reading_goes_to_the_engine_with_fewer_streams() {
    let mut fleet = two_engines();
    let parts = vec![Part { id: 1, tokens: 55 }, Part { id: 2, tokens: 300 }];
    let small = Prompt { tokens: 355, output_tokens: 60, parts, ..prompt("m") };
    let crowded = fleet.choose(ms(0), &ask(&small)).unwrap();
    for _ in 0..6 {
        let (ticket, _) = fleet.sent(ms(0), &crowded, Some(&small));
        fleet.started(ms(10), &crowded.upstream.id, ticket);
    }
    for part in 10..30 {
        let choice = fleet.choose(ms(20), &ask(&about(part))).unwrap();
        assert_ne!(choice.upstream.id, crowded.upstream.id, "part {part}");
    }
}
