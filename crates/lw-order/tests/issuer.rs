//! Generated schedules of faults during rollouts. Guards against more than two loads at once, a weight
//! store above its rate, a role below its minimum, two issuers at a time, and engines that stay in a wrong
//! state.

mod world;

use proptest::{prelude::*, test_runner::RngSeed};
use world::{Fault, KINDS, Kind, Schedule, World};

fn check(schedule: &Schedule) -> Result<World, String> {
    let world = World::run(schedule);
    if world.broken.is_empty() {
        Ok(world)
    } else {
        Err(format!("{:?}; {schedule:?}", world.broken))
    }
}

#[test]
fn a_rollout_without_faults_loads_each_engine_once() {
    for seed in 0..12_u64 {
        let schedule = Schedule { seed, vms: 3, faults: Vec::new() };
        let world = check(&schedule).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
        assert_eq!(world.loads.len(), 8, "seed {seed}");
        // Eight loads, two at a time, of 2 s; one in 3.7 s from a slow store; of 8 s.
        let allowed = [30_000, 45_000, 60_000][usize::try_from(seed % 3).expect("below 3")];
        assert!(world.finished_at < allowed, "seed {seed}: finished at {}", world.finished_at);
    }
}

/// One row for each pair of faults: the first, the second while it lasts, and the first again during
/// recovery.
#[test]
fn faults_in_pairs_and_again_during_recovery() {
    for (i, first) in KINDS.into_iter().enumerate() {
        for (j, second) in KINDS.into_iter().enumerate() {
            let seed = (i * 100 + j) as u64;
            let fault = |at, kind| Fault { at, ms: 3_000, kind };
            let faults = vec![fault(6_500, first), fault(8_000, second), fault(12_000, first)];
            if let Err(fault) = check(&Schedule { seed, vms: 2 + j % 2, faults }) {
                panic!("seed {seed}: {fault}");
            }
        }
    }
}

fn schedules() -> impl Strategy<Value = Schedule> {
    let fault = (1_000_u64..30_000, 500_u64..6_000, prop::sample::select(&KINDS[..]))
        .prop_map(|(at, ms, kind)| Fault { at, ms, kind });
    (any::<u64>(), 1_usize..4, prop::collection::vec(fault, 0..8))
        .prop_map(|(seed, vms, faults)| Schedule { seed, vms, faults })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    #[test]
    fn generated_schedules_keep_the_properties(schedule in schedules()) {
        if let Err(fault) = check(&schedule) {
            return Err(TestCaseError::fail(fault));
        }
    }
}

/// Guards against an old issuer's order that stays in force: engines with odd numbers ignore fencing.
#[test]
fn an_overdue_order_of_an_old_issuer_is_refused_or_repaired() {
    for seed in 0..40 {
        let fault = |at, ms, kind| Fault { at, ms, kind };
        let faults = vec![
            fault(6_000, 6_000, Kind::OverdueOrders),
            fault(9_000, 1_000, Kind::NewConfig),
            fault(9_500, 4_000, Kind::KillIssuer),
            fault(12_000, 1_000, Kind::NewConfig),
        ];
        if let Err(fault) = check(&Schedule { seed, vms: 2, faults }) {
            panic!("seed {seed}: {fault}");
        }
    }
}
