//! Generated schedules of faults over several VMs. Guards against a second run of a call, a false "not
//! run", and an unknown outcome that is reported as "not run".

mod world;

use std::{collections::BTreeMap, time::Duration};

use lw_claim::{
    executor::{Action, CallDecision, Executor},
    message::{AttemptId, ClaimStatus, Reply},
    options::Options,
    record::BodyDigest,
};
use proptest::{prelude::*, test_runner::RngSeed};
use world::{Call, Fault, Kind, STEPS, Schedule, World};

fn check(schedule: &Schedule) -> Result<World, String> {
    let world = World::run(schedule);
    let mut runs = BTreeMap::new();
    for (key, _) in &world.runs {
        *runs.entry(*key).or_insert(0) += 1;
    }
    if let Some((key, n)) = runs.iter().find(|(_, n)| **n > 1) {
        return Err(format!("two runs: {n} of {key:?}: {:?}; {schedule:?}", world.runs));
    }
    for told in &world.told {
        let ran = world.runs.iter().any(|(_, attempt)| *attempt == told.attempt);
        if ran && told.verdict == CallDecision::NotRun {
            return Err(format!("false not run: {:?} at {}; {schedule:?}", told.attempt, told.at));
        }
    }
    for told in world.last_round() {
        let unsettled = matches!(told.verdict, CallDecision::NotRun | CallDecision::InProgress);
        let ran_before =
            world.runs.iter().any(|(key, attempt)| *key == told.key && *attempt != told.attempt);
        if unsettled && ran_before {
            return Err(format!("a run reported as {:?}; {schedule:?}", told.verdict));
        }
        if unsettled {
            return Err(format!("not settled: {:?} at {}; {schedule:?}", told.verdict, told.at));
        }
    }
    let answered: std::collections::BTreeSet<_> = world.last_round().map(|told| told.key).collect();
    if answered.len() < 4 {
        return Err(format!("{} of 4 keys answered at the end; {schedule:?}", answered.len()));
    }
    Ok(world)
}

fn kinds() -> Vec<Kind> {
    let mut kinds = vec![
        Kind::StoreRefuses,
        Kind::StoreSilent,
        Kind::LostStoreReplies,
        Kind::LateStoreCalls,
        Kind::LostMessages,
        Kind::LateMessages,
        Kind::SplitViews,
        Kind::ServiceUnreachable,
        Kind::ServiceSilent,
    ];
    kinds.extend(STEPS.map(Kind::KillAt));
    kinds.extend(STEPS.map(Kind::PauseAt));
    kinds
}

/// Calls of four keys, often at two VMs at once, now and then with another body.
fn calls(seed: u64, vms: usize) -> Vec<Call> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut calls = Vec::new();
    for _ in 0..14 {
        let body = u8::from(rng.u8(0..8) == 0);
        let call = Call { at: rng.u64(0..5_000), vm: rng.usize(0..vms), key: rng.u8(0..4), body };
        calls.push(call);
        if rng.bool() {
            calls.push(Call { vm: call.vm + 1, at: call.at + rng.u64(0..5), ..call });
        }
    }
    calls
}

#[test]
fn calls_without_faults_run_once_and_are_replayed() {
    for seed in 0..20 {
        let schedule = Schedule { seed, vms: 3, faults: Vec::new(), calls: calls(seed, 3) };
        let world = check(&schedule).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
        assert_eq!(world.runs.len(), 4, "seed {seed}");
        assert!(world.told.iter().all(|told| told.verdict != CallDecision::NotRun), "seed {seed}");
        let replayed =
            |v: &CallDecision| matches!(v, CallDecision::Replay { .. } | CallDecision::KeyReused);
        assert!(world.last_round().all(|told| replayed(&told.verdict)), "seed {seed}");
    }
}

/// One row for each pair of faults: the first, the second while it lasts, and the first again during
/// recovery.
#[test]
fn faults_in_pairs_and_again_during_recovery() {
    for (i, first) in kinds().into_iter().enumerate() {
        for (j, second) in kinds().into_iter().enumerate() {
            let seed = (i * 100 + j) as u64;
            let vms = 2 + (i + j) % 3;
            let fault = |at, kind| Fault { at, ms: 900, kind };
            let faults = vec![fault(500, first), fault(900, second), fault(1_700, first)];
            let schedule = Schedule { seed, vms, faults, calls: calls(seed, vms) };
            if let Err(fault) = check(&schedule) {
                panic!("seed {seed}: {fault}");
            }
        }
    }
}

fn schedules() -> impl Strategy<Value = Schedule> {
    let fault = (0_u64..4_000, 50_u64..2_000, prop::sample::select(kinds()))
        .prop_map(|(at, ms, kind)| Fault { at, ms, kind });
    (any::<u64>(), 2_usize..5, prop::collection::vec(fault, 0..8))
        .prop_map(|(seed, vms, faults)| Schedule { seed, vms, faults, calls: calls(seed, vms) })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(10),
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

/// Guards against a paused executing VM that starts a call after the record has expired.
#[test]
fn a_granted_call_is_not_started_after_a_long_pause() {
    let mut executor = Executor::new(Options::default(), "vm0".into(), 1);
    executor.set_members([("vm0".into(), 1)]);
    let ms = Duration::from_millis;
    let body = BodyDigest::new("POST", "/book", b"{}");
    let attempt = |seq| AttemptId { vm: "vm0".into(), incarnation: 1, seq };
    let granted = |seq| Reply {
        attempt: attempt(seq),
        bucket: 0,
        key: world::key(1),
        claim_status: ClaimStatus::Granted,
    };
    let (seq, _) = executor.request_claim(ms(0), world::key(1), body);
    assert_eq!(executor.on_reply(ms(5), granted(seq)), [Action::Notify(seq, CallDecision::Run)]);
    assert!(!executor.try_start(ms(600_000), seq));
    assert!(!executor.try_start(ms(600_000), seq));

    let (seq, _) = executor.request_claim(ms(0), world::key(1), body);
    let late = executor.on_reply(ms(1_001), granted(seq));
    assert_eq!(late[0], Action::Notify(seq, CallDecision::NotRun));
    assert!(!executor.try_start(ms(1_002), seq));
}
