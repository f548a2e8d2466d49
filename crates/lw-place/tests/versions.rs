//! Guards against requests that start on weights that were replaced too long ago.

mod common;

use common::{engine, ms, pool, prompt, request};
use lw_place::{Load, PlacementRequest, Prompt};

const BUSY: Load = Load { running: 32, waiting: 100, slots: 32, slowness_percent: 100 };

fn placed_version(pool: &lw_place::UpstreamPool, at: u64, prompt: &Prompt) -> Option<u64> {
    pool.place(ms(at), &request(prompt)).unwrap().version
}

/// Guards against an engine whose weights never become too stale, since each further version restarts their age.
#[test]
fn the_age_of_stale_weights_counts_from_the_first_newer_version() {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 2));
    let prompt = prompt("m");
    pool.set_target_version(ms(0), "m", 2);
    pool.pause("e2", ms(9_000));
    assert_eq!(placed_version(&pool, 8_000, &prompt), Some(1));
    // A further version must not extend the time of the engine with the oldest weights.
    pool.set_target_version(ms(9_500), "m", 3);
    for at in [10_500, 11_000, 15_000] {
        // The engine with newer weights is so loaded that the other one would answer sooner.
        pool.on_load(ms(at), "e2", BUSY);
        assert_eq!(placed_version(&pool, at, &prompt), Some(2), "at {at} ms");
    }
}

/// Guards against a fallback to weights that are too stale while the engines with newer ones are paused.
#[test]
fn weights_that_are_too_stale_are_not_used_while_an_engine_has_newer_ones() {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 2));
    pool.set_target_version(ms(0), "m", 2);
    pool.pause("e2", ms(12_000));
    let prompt = prompt("m");
    assert!(pool.place(ms(9_900), &request(&prompt)).is_ok());
    assert!(pool.place(ms(10_100), &request(&prompt)).is_err());
    // If no engine serves newer weights, the stale ones stay in use.
    pool.remove("e2");
    assert!(pool.place(ms(10_200), &request(&prompt)).is_ok());
}

/// Guards against a VM that was suspended and so underestimates the age of stale weights.
#[test]
fn suspended_time_counts_towards_the_age_of_stale_weights() {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 2));
    pool.set_target_version(ms(0), "m", 2);
    pool.pause("e2", ms(9_000));
    let prompt = prompt("m");
    let request = |suspended| PlacementRequest { suspended: ms(suspended), ..request(&prompt) };
    assert_eq!(pool.place(ms(4_000), &request(0)).unwrap().version, Some(1));
    assert!(
        pool.place(ms(4_000), &request(6_500)).is_err(),
        "10.5 s have passed since the target was set"
    );
}

/// Guards against an estimated age that is retained after another VM has reported a better one.
#[test]
fn the_age_of_a_version_can_be_corrected() {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 2));
    pool.pause("e2", ms(20_000));
    let prompt = prompt("m");
    pool.set_target_version(ms(0), "m", 2);
    assert!(pool.place(ms(10_500), &request(&prompt)).is_err());
    pool.set_target_version(ms(3_000), "m", 2);
    assert_eq!(placed_version(&pool, 10_500, &prompt), Some(1));
}

/// Guards against an engine that stays paused after it has loaded its new weights.
#[test]
fn new_weights_end_the_pause_of_an_engine() {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 1));
    let prompt = prompt("m");
    pool.set_target_version(ms(0), "m", 2);
    pool.pause("e2", ms(6_000));
    assert_eq!(pool.place(ms(100), &request(&prompt)).unwrap().upstream.id, "e1");
    pool.record_version("e2", "m", 2);
    assert_eq!(placed_version(&pool, 2_000, &prompt), Some(2));
    // An older entry of the registry does not reset the version.
    pool.put(&engine("e2", "m", 1));
    assert_eq!(placed_version(&pool, 2_100, &prompt), Some(2));
}

/// Guards against a prompt that is sent without a salt, which any request would share: the salt names the version of the
/// weights, so that an engine whose version is unknown gets no prompts.
#[test]
fn an_engine_whose_version_is_unknown_gets_no_prompts() {
    let mut pool = pool();
    pool.put(&engine("e1", "other", 1));
    let prompt = prompt("m");
    assert!(pool.place(ms(0), &request(&prompt)).is_err());
    pool.put(&engine("e2", "m", 1));
    pool.on_load(ms(0), "e2", BUSY);
    let placement = pool.place(ms(0), &request(&prompt)).unwrap();
    assert_eq!((placement.upstream.id.as_str(), placement.version), ("e2", Some(1)));
    assert!(placement.salt.is_some());
    pool.record_version("e1", "m", 1);
    assert_eq!(pool.place(ms(0), &request(&prompt)).unwrap().upstream.id, "e1");
}
