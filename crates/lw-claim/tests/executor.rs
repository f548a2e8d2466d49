//! Guards against a second run of a call, a "not run" for a call that has run, and an unknown outcome that is reported
//! as "not run", with generated schedules of faults at several VMs.

mod simulation;

use std::{collections::BTreeMap, time::Duration};

use lw_claim::{
    executor::{Action, CallDecision, Executor},
    message::{AttemptId, ClaimStatus, Reply},
    options::Options,
    record::BodyDigest,
};
use proptest::{prelude::*, test_runner::RngSeed};
use simulation::{Call, Fault, FaultKind, STEPS, Schedule, Simulation};

/// Runs a schedule and returns an error if a rule of at-most-once execution is violated.
fn run_and_check(schedule: &Schedule) -> Result<Simulation, String> {
    let simulation = Simulation::run(schedule);
    let mut runs = BTreeMap::new();
    for (key, _) in &simulation.runs {
        *runs.entry(*key).or_insert(0) += 1;
    }
    if let Some((key, n)) = runs.iter().find(|(_, n)| **n > 1) {
        return Err(format!("two runs: {n} of {key:?}: {:?}; {schedule:?}", simulation.runs));
    }
    for answer in &simulation.answers {
        let has_run = simulation.runs.iter().any(|(_, attempt)| *attempt == answer.attempt);
        if has_run && answer.decision == CallDecision::NotRun {
            return Err(format!(
                "a call that has run reported as not run: {:?} at {}; {schedule:?}",
                answer.attempt, answer.at_ms
            ));
        }
    }
    for answer in simulation.last_round() {
        let has_no_outcome =
            matches!(answer.decision, CallDecision::NotRun | CallDecision::InProgress);
        let has_run_before = simulation
            .runs
            .iter()
            .any(|(key, attempt)| *key == answer.key && *attempt != answer.attempt);
        if has_no_outcome && has_run_before {
            return Err(format!("a run reported as {:?}; {schedule:?}", answer.decision));
        }
        if has_no_outcome {
            return Err(format!(
                "no final outcome: {:?} at {}; {schedule:?}",
                answer.decision, answer.at_ms
            ));
        }
    }
    let answered_keys: std::collections::BTreeSet<_> =
        simulation.last_round().map(|answer| answer.key).collect();
    if answered_keys.len() < 4 {
        return Err(format!("{} of 4 keys answered at the end; {schedule:?}", answered_keys.len()));
    }
    Ok(simulation)
}

fn fault_kinds() -> Vec<FaultKind> {
    let mut fault_kinds = vec![
        FaultKind::StoreRefuses,
        FaultKind::StoreUnresponsive,
        FaultKind::LostStoreReplies,
        FaultKind::DelayedStoreCalls,
        FaultKind::LostMessages,
        FaultKind::DelayedMessages,
        FaultKind::SplitViews,
        FaultKind::ServiceUnreachable,
        FaultKind::ServiceUnresponsive,
    ];
    fault_kinds.extend(STEPS.map(FaultKind::KillAt));
    fault_kinds.extend(STEPS.map(FaultKind::PauseAt));
    fault_kinds
}

/// Generates calls of four keys, often at two VMs at once, and some with a different body.
fn calls(seed: u64, vms: usize) -> Vec<Call> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut calls = Vec::new();
    for _ in 0..14 {
        let body = u8::from(rng.u8(0..8) == 0);
        let call =
            Call { at_ms: rng.u64(0..5_000), vm: rng.usize(0..vms), key: rng.u8(0..4), body };
        calls.push(call);
        if rng.bool() {
            calls.push(Call { vm: call.vm + 1, at_ms: call.at_ms + rng.u64(0..5), ..call });
        }
    }
    calls
}

/// Guards against a repeated call that is run again or refused although there are no faults.
#[test]
fn calls_without_faults_run_once_and_are_replayed() {
    for seed in 0..20 {
        let schedule = Schedule { seed, vms: 3, faults: Vec::new(), calls: calls(seed, 3) };
        let simulation =
            run_and_check(&schedule).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
        assert_eq!(simulation.runs.len(), 4, "seed {seed}");
        assert!(
            simulation.answers.iter().all(|answer| answer.decision != CallDecision::NotRun),
            "seed {seed}"
        );
        let is_replayed =
            |v: &CallDecision| matches!(v, CallDecision::Replay { .. } | CallDecision::KeyReused);
        assert!(simulation.last_round().all(|answer| is_replayed(&answer.decision)), "seed {seed}");
    }
}

/// Guards against a violation of at-most-once execution under each pair of faults: the second begins during the first,
/// and the first recurs during recovery.
#[test]
fn pairs_of_faults_preserve_at_most_once() {
    for (i, first) in fault_kinds().into_iter().enumerate() {
        for (j, second) in fault_kinds().into_iter().enumerate() {
            let seed = (i * 100 + j) as u64;
            let vms = 2 + (i + j) % 3;
            let fault = |at_ms, kind| Fault { at_ms, duration_ms: 900, kind };
            let faults = vec![fault(500, first), fault(900, second), fault(1_700, first)];
            let schedule = Schedule { seed, vms, faults, calls: calls(seed, vms) };
            if let Err(fault) = run_and_check(&schedule) {
                panic!("seed {seed}: {fault}");
            }
        }
    }
}

fn schedules() -> impl Strategy<Value = Schedule> {
    let fault = (0_u64..4_000, 50_u64..2_000, prop::sample::select(fault_kinds()))
        .prop_map(|(at_ms, duration_ms, kind)| Fault { at_ms, duration_ms, kind });
    (any::<u64>(), 2_usize..5, prop::collection::vec(fault, 0..8))
        .prop_map(|(seed, vms, faults)| Schedule { seed, vms, faults, calls: calls(seed, vms) })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(10),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    /// Guards against a violation of at-most-once execution under random schedules of faults and calls.
    #[test]
    fn generated_schedules_preserve_at_most_once(schedule in schedules()) {
        if let Err(fault) = run_and_check(&schedule) {
            return Err(TestCaseError::fail(fault));
        }
    }
}

/// Guards against a VM that starts a call after a pause during which the record has expired.
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
        key: simulation::key(1),
        claim_status: ClaimStatus::Granted,
    };
    let (seq, _) = executor.request_claim(ms(0), simulation::key(1), body);
    assert_eq!(executor.on_reply(ms(5), granted(seq)), [Action::Notify(seq, CallDecision::Run)]);
    assert!(!executor.try_start(ms(600_000), seq));
    assert!(!executor.try_start(ms(600_000), seq));

    let (seq, _) = executor.request_claim(ms(0), simulation::key(1), body);
    let actions_after_timeout = executor.on_reply(ms(1_001), granted(seq));
    assert_eq!(actions_after_timeout[0], Action::Notify(seq, CallDecision::NotRun));
    assert!(!executor.try_start(ms(1_002), seq));
}
