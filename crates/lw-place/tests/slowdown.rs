//! Guards against work that is sent to an engine while it says that it is slow, and against a lasting prejudice.

mod common;

use common::{engine, ms, pool, prompt, request};
use lw_place::{Load, UpstreamPool};

fn load(slowness_percent: u32) -> Load {
    Load { running: 1, waiting: 0, slots: 32, slowness_percent }
}

fn two_engines() -> UpstreamPool {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 1));
    pool
}

fn chosen(pool: &UpstreamPool, at: u64) -> String {
    pool.place(ms(at), &request(&prompt("m"))).unwrap().upstream.id.clone()
}

#[test]
fn an_engine_that_says_it_is_slow_gets_no_work_for_a_moment() {
    let mut pool = two_engines();
    let usual = chosen(&pool, 0);
    pool.on_load(ms(10), &usual, load(250));
    assert_ne!(chosen(&pool, 20), usual);
    // Such moments are short, and nobody says when one is over if the engine gets no requests.
    assert_eq!(chosen(&pool, 2_000), usual);
    pool.on_load(ms(2_010), &usual, load(250));
    pool.on_load(ms(2_100), &usual, load(100));
    assert_eq!(chosen(&pool, 2_110), usual);
}

#[test]
fn what_another_vm_heard_counts_as_well() {
    let mut pool = two_engines();
    let usual = chosen(&pool, 0);
    pool.on_slowdown(ms(10), &usual, 250);
    assert_ne!(chosen(&pool, 20), usual);
}

/// Guards against a message for each answer of a slow engine.
#[test]
fn other_vms_are_told_of_changes_only() {
    let mut pool = two_engines();
    assert!(!pool.on_load(ms(0), "e1", load(100)), "nobody believed anything else");
    assert!(pool.on_load(ms(10), "e1", load(250)));
    assert!(!pool.on_load(ms(50), "e1", load(250)), "they know");
    assert!(pool.on_load(ms(160), "e1", load(250)), "what they know gets old");
    assert!(pool.on_load(ms(200), "e1", load(100)));
    assert!(!pool.on_load(ms(210), "e1", load(100)));
}
