//! Guards against work that is sent to an engine while it says that it is slow, and against a lasting prejudice.

mod common;

use common::{ask, engine, fleet, ms, prompt};
use lw_place::{Fleet, Load};

fn load(slowness_percent: u32) -> Load {
    Load { running: 1, waiting: 0, slots: 32, slowness_percent }
}

fn two_engines() -> Fleet {
    let mut fleet = fleet();
    fleet.put(&engine("e1", "m", 1));
    fleet.put(&engine("e2", "m", 1));
    fleet
}

fn chosen(fleet: &Fleet, at: u64) -> String {
    fleet.choose(ms(at), &ask(&prompt("m"))).unwrap().upstream.id.clone()
}

#[test]
fn an_engine_that_says_it_is_slow_gets_no_work_for_a_moment() {
    let mut fleet = two_engines();
    let usual = chosen(&fleet, 0);
    fleet.on_load(ms(10), &usual, load(250));
    assert_ne!(chosen(&fleet, 20), usual);
    // Such moments are short, and nobody says when one is over if the engine gets no requests.
    assert_eq!(chosen(&fleet, 2_000), usual);
    fleet.on_load(ms(2_010), &usual, load(250));
    fleet.on_load(ms(2_100), &usual, load(100));
    assert_eq!(chosen(&fleet, 2_110), usual);
}

#[test]
fn what_another_vm_heard_counts_as_well() {
    let mut fleet = two_engines();
    let usual = chosen(&fleet, 0);
    fleet.on_pace(ms(10), &usual, 250);
    assert_ne!(chosen(&fleet, 20), usual);
}

/// Guards against a message for each answer of a slow engine.
#[test]
fn other_vms_are_told_of_changes_only() {
    let mut fleet = two_engines();
    assert!(!fleet.on_load(ms(0), "e1", load(100)), "nobody believed anything else");
    assert!(fleet.on_load(ms(10), "e1", load(250)));
    assert!(!fleet.on_load(ms(50), "e1", load(250)), "they know");
    assert!(fleet.on_load(ms(160), "e1", load(250)), "what they know gets old");
    assert!(fleet.on_load(ms(200), "e1", load(100)));
    assert!(!fleet.on_load(ms(210), "e1", load(100)));
}
