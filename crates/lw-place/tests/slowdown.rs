//! Guards against requests to an engine while it reports a slowdown, and against avoiding it long after that.

mod common;

use common::{engine, ms, pool, prompt, request};
use lw_place::{Load, PlacementRequest, UpstreamPool};

fn load(slowness_percent: u32) -> Load {
    Load { running: 1, waiting: 0, slots: 32, slowness_percent }
}

fn two_engines() -> UpstreamPool {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 1));
    pool
}

fn preferred_at(pool: &UpstreamPool, at: u64) -> String {
    pool.place(ms(at), &request(&prompt("m"))).unwrap().upstream.id.clone()
}

/// Guards against requests to a slow engine, and against a slow engine that never gets requests again.
#[test]
fn an_engine_that_reports_a_slowdown_gets_no_requests_until_it_recovers() {
    let mut pool = two_engines();
    let preferred = preferred_at(&pool, 0);
    pool.on_load(ms(10), &preferred, load(250));
    assert_ne!(preferred_at(&pool, 20), preferred);
    // Slowdowns are short, and without requests no answer shows that one has ended.
    assert_eq!(preferred_at(&pool, 2_000), preferred);
    pool.on_load(ms(2_010), &preferred, load(250));
    pool.on_load(ms(2_100), &preferred, load(100));
    assert_eq!(preferred_at(&pool, 2_110), preferred);
}

/// Guards against placements that ignore a slowdown which only another VM has received.
#[test]
fn a_slowdown_that_another_vm_reported_counts() {
    let mut pool = two_engines();
    let preferred = preferred_at(&pool, 0);
    pool.on_slowdown(ms(10), &preferred, 250);
    assert_ne!(preferred_at(&pool, 20), preferred);
}

/// Guards against a message for each answer of a slow engine.
#[test]
fn only_changes_are_reported_to_other_vms() {
    let mut pool = two_engines();
    assert!(!pool.on_load(ms(0), "e1", load(100)), "no VM assumes a slowdown");
    assert!(pool.on_load(ms(10), "e1", load(250)));
    assert!(!pool.on_load(ms(50), "e1", load(250)), "just reported");
    assert!(pool.on_load(ms(160), "e1", load(250)), "the last report is too old");
    assert!(pool.on_load(ms(200), "e1", load(100)));
    assert!(!pool.on_load(ms(210), "e1", load(100)));
}

/// Guards against a process that ends since the numbers in an upstream's load are far too large.
#[test]
fn a_load_that_is_far_too_large_is_only_a_busy_upstream() {
    let mut pool = two_engines();
    let most = u32::MAX;
    let load = Load { running: most, waiting: most, slots: most, slowness_percent: most };
    pool.on_load(ms(0), "e1", load);
    let prompt = prompt("m");
    let plain = PlacementRequest { prompt: None, ..request(&prompt) };
    for request in [request(&prompt), plain] {
        assert_eq!(pool.place(ms(1), &request).unwrap().upstream.id, "e2");
    }
}
