//! Guards against wrong results of the simulation itself: runs that differ, unbounded caches, ignored priorities.

use std::sync::Arc;

use lw_bench::{
    scenario::run_conversations,
    sim::{
        SECOND,
        engine::{Job, SimulatedEngine},
        routing::RoutingPolicy,
        simulation::Fault,
    },
};
use lw_types::prelude::*;

fn blocks(prefix: u64, n: u64) -> Arc<[BlockHash]> {
    (0..n).map(|i| prefix * 1000 + i).collect()
}

/// Runs the engine until it is idle; returns the attempts in the order of their first tokens.
fn run_until_idle(engine: &mut SimulatedEngine) -> Vec<usize> {
    let (mut now, mut first_tokens) = (0, Vec::new());
    while let Some((time, _)) = engine.start_step() {
        now += time;
        first_tokens.extend(engine.end_step(now).first_tokens.into_iter().map(|(id, _)| id));
    }
    first_tokens
}

// Failure: two runs with the same seed differ, so that a change of the router cannot be distinguished from noise.
#[test]
fn runs_with_the_same_seed_are_equal() {
    let faults = [(3 * SECOND, Fault::Slow(1, 10.0)), (5 * SECOND, Fault::Restart(2))];
    let run_with_seed = |seed| {
        let run = run_conversations(RoutingPolicy::router(), 60.0, 8 * SECOND, seed, &faults);
        (run.sent_attempts, run.refusals, run.digest_bytes, run.gaps_by_ms)
    };
    assert_eq!(run_with_seed(5), run_with_seed(5));
    assert_ne!(run_with_seed(5).0, run_with_seed(6).0);
}

// Failure: the cache of the simulated engine never evicts, so that hit rates do not apply to engines with limited
// memory.
#[test]
fn cache_evicts_the_least_recently_used_prefix_from_its_end() {
    let mut engine = SimulatedEngine::new(8);
    for prefix in 1..=3 {
        engine.enqueue(Job::new(0, Class::Standard, blocks(prefix, 3), 3100, 1));
        run_until_idle(&mut engine);
    }
    assert_eq!(engine.cached_prefix_blocks(&blocks(1, 3)), 2);
    assert_eq!(engine.cached_prefix_blocks(&blocks(2, 3)), 3);
    assert_eq!(engine.cached_prefix_blocks(&blocks(3, 3)), 3);
}

// Failure: bulk requests delay live ones in the simulated engine, or the other way round, whatever the router does.
#[test]
fn live_request_is_prefilled_before_earlier_bulk_request() {
    let mut engine = SimulatedEngine::new(100);
    engine.enqueue(Job::new(1, Class::Bulk, blocks(1, 30), 30_100, 1));
    let step = engine.start_step();
    assert!(step.is_some());
    engine.end_step(1);
    engine.enqueue(Job::new(2, Class::Live, blocks(2, 1), 1100, 1));
    assert_eq!(run_until_idle(&mut engine), [2, 1]);
}

// Failure: a crashed engine still answers, or a cancelled attempt is answered.
#[test]
fn restart_loses_cache_and_jobs() {
    let mut engine = SimulatedEngine::new(100);
    engine.enqueue(Job::new(1, Class::Live, blocks(1, 1), 1100, 1));
    run_until_idle(&mut engine);
    engine.enqueue(Job::new(2, Class::Live, blocks(2, 1), 1100, 1));
    engine.enqueue(Job::new(3, Class::Live, blocks(2, 1), 1100, 1));
    engine.cancel(3);
    assert_eq!(engine.restart(), [2]);
    assert_eq!((engine.incarnation, engine.cached_prefix_blocks(&blocks(1, 1))), (2, 0));
    assert!(run_until_idle(&mut engine).is_empty());
}
