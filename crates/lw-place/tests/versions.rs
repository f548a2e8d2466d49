//! Guards against requests that begin on weights that were replaced too long ago.

mod common;

use common::{ask, engine, fleet, ms, prompt};
use lw_place::{Ask, Load, Prompt};

const BUSY: Load = Load { running: 32, waiting: 100, slots: 32, slowness_percent: 100 };

fn chosen(fleet: &lw_place::Fleet, at: u64, prompt: &Prompt) -> Option<u64> {
    fleet.choose(ms(at), &ask(prompt)).unwrap().version
}

#[test]
fn the_time_on_old_weights_counts_from_the_first_newer_version() {
    let mut fleet = fleet();
    fleet.put(&engine("e1", "m", 1));
    fleet.put(&engine("e2", "m", 2));
    let prompt = prompt("m");
    fleet.want(ms(0), "m", 2);
    fleet.hold("e2", ms(9_000));
    assert_eq!(chosen(&fleet, 8_000, &prompt), Some(1));
    // A further version must not give the engine with the oldest weights more time.
    fleet.want(ms(9_500), "m", 3);
    for at in [10_500, 11_000, 15_000] {
        // The engine with newer weights is so loaded that the other one would answer sooner.
        fleet.on_load(ms(at), "e2", BUSY);
        assert_eq!(chosen(&fleet, at, &prompt), Some(2), "at {at} ms");
    }
}

/// Guards against a fall back to expired weights while the engines with newer ones are not open.
#[test]
fn expired_weights_are_not_used_while_another_engine_has_newer_ones() {
    let mut fleet = fleet();
    fleet.put(&engine("e1", "m", 1));
    fleet.put(&engine("e2", "m", 2));
    fleet.want(ms(0), "m", 2);
    fleet.hold("e2", ms(12_000));
    let prompt = prompt("m");
    assert!(fleet.choose(ms(9_900), &ask(&prompt)).is_ok());
    assert!(fleet.choose(ms(10_100), &ask(&prompt)).is_err());
    // With no newer weights anywhere the old ones are used on.
    fleet.remove("e2");
    assert!(fleet.choose(ms(10_200), &ask(&prompt)).is_ok());
}

/// Guards against a VM that was suspended and takes weights for younger than they are.
#[test]
fn weights_grow_old_while_the_vm_is_suspended() {
    let mut fleet = fleet();
    fleet.put(&engine("e1", "m", 1));
    fleet.put(&engine("e2", "m", 2));
    fleet.want(ms(0), "m", 2);
    fleet.hold("e2", ms(9_000));
    let prompt = prompt("m");
    let ask = |suspended| Ask { suspended: ms(suspended), ..ask(&prompt) };
    assert_eq!(fleet.choose(ms(4_000), &ask(0)).unwrap().version, Some(1));
    assert!(fleet.choose(ms(4_000), &ask(6_500)).is_err(), "10.5 s have passed since the naming");
}

/// Guards against an age that was guessed and is kept when another VM knows better.
#[test]
fn the_age_of_a_version_can_be_corrected() {
    let mut fleet = fleet();
    fleet.put(&engine("e1", "m", 1));
    fleet.put(&engine("e2", "m", 2));
    fleet.hold("e2", ms(20_000));
    let prompt = prompt("m");
    fleet.want(ms(0), "m", 2);
    assert!(fleet.choose(ms(10_500), &ask(&prompt)).is_err());
    fleet.want(ms(3_000), "m", 2);
    assert_eq!(chosen(&fleet, 10_500, &prompt), Some(1));
}

#[test]
fn news_about_an_engine_ends_its_hold() {
    let mut fleet = fleet();
    fleet.put(&engine("e1", "m", 1));
    fleet.put(&engine("e2", "m", 1));
    let prompt = prompt("m");
    fleet.want(ms(0), "m", 2);
    fleet.hold("e2", ms(6_000));
    assert_eq!(fleet.choose(ms(100), &ask(&prompt)).unwrap().upstream.id, "e1");
    fleet.serves("e2", "m", 2);
    assert_eq!(chosen(&fleet, 2_000, &prompt), Some(2));
    // An entry of the registry that was written before does not take it back.
    fleet.put(&engine("e2", "m", 1));
    assert_eq!(chosen(&fleet, 2_100, &prompt), Some(2));
}
