//! Guards against figures that come from a wrong model: runs that differ, caches without bound, ignored priorities.

use std::sync::Arc;

use lw_bench::{
    scenario::malabar_run,
    sim::{
        SECOND,
        engine::{EngineFake, Job},
        policy::Policy,
        world::Fault,
    },
};
use lw_types::prelude::*;

fn blocks(topic: u64, n: u64) -> Arc<[BlockHash]> {
    (0..n).map(|i| topic * 1000 + i).collect()
}

/// Runs the engine until it is idle; the attempts in order of their first tokens.
fn drain(engine: &mut EngineFake) -> Vec<usize> {
    let (mut now, mut first) = (0, Vec::new());
    while let Some((time, _)) = engine.start_step() {
        now += time;
        first.extend(engine.end_step(now).first.into_iter().map(|(id, _)| id));
    }
    first
}

// Failure: two runs of the same seed differ, so a change of the policy cannot be told from noise.
#[test]
fn a_run_is_the_same_each_time() {
    let faults = [(3 * SECOND, Fault::Slow(1, 10.0)), (5 * SECOND, Fault::Restart(2))];
    let go = |seed| {
        let run = malabar_run(Policy::router(), 60.0, 8 * SECOND, seed, &faults);
        (run.sent, run.refusals, run.digest_bytes, run.gaps)
    };
    assert_eq!(go(5), go(5));
    assert_ne!(go(5).0, go(6).0);
}

// Failure: the fake's cache never forgets, so hit rates say nothing about engines with limited memory.
#[test]
fn the_cache_evicts_the_longest_unused_prefix_from_its_end() {
    let mut engine = EngineFake::new(8);
    for topic in 1..=3 {
        engine.enqueue(Job::new(0, Class::Standard, blocks(topic, 3), 3100, 1));
        drain(&mut engine);
    }
    assert_eq!(engine.held(&blocks(1, 3)), 2);
    assert_eq!(engine.held(&blocks(2, 3)), 3);
    assert_eq!(engine.held(&blocks(3, 3)), 3);
}

// Failure: bulk work delays short work in the fake, or the other way round, whatever the router does.
#[test]
fn urgent_work_is_prefilled_before_bulk_work_that_came_first() {
    let mut engine = EngineFake::new(100);
    engine.enqueue(Job::new(1, Class::Bulk, blocks(1, 30), 30_100, 1));
    let step = engine.start_step();
    assert!(step.is_some());
    engine.end_step(1);
    engine.enqueue(Job::new(2, Class::Live, blocks(2, 1), 1100, 1));
    assert_eq!(drain(&mut engine), [2, 1]);
}

// Failure: answers of a crashed engine or of cancelled attempts are counted.
#[test]
fn a_restart_loses_cache_and_jobs() {
    let mut engine = EngineFake::new(100);
    engine.enqueue(Job::new(1, Class::Live, blocks(1, 1), 1100, 1));
    drain(&mut engine);
    engine.enqueue(Job::new(2, Class::Live, blocks(2, 1), 1100, 1));
    engine.enqueue(Job::new(3, Class::Live, blocks(2, 1), 1100, 1));
    engine.cancel(3);
    assert_eq!(engine.restart(), [2]);
    assert_eq!((engine.incarnation, engine.held(&blocks(1, 1))), (2, 0));
    assert!(drain(&mut engine).is_empty());
}
