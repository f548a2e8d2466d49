//! Generated schedules of faults. The fleet checks at every step that a VM shows only accepted documents and
//! never an older one; the schedules check operators' answers and convergence.
//!
//! The cases are the same on every run. `LW_MEMBER_CASES` sets their number. A failure prints the schedule
//! with the seed of its fleet.

use std::{collections::BTreeSet, time::Duration};

use lw_bench::cases::member::{
    fleet::Fleet,
    net::Net,
    store::{Accepted, StoreFaults},
};
use lw_member::PatchOutcome;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};
use serde_json::json;

const SIZE: usize = 9;
const DOMAINS: usize = 3;
/// Time in which a fleet must agree after the last fault.
const RECOVERY: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Split(u32),
    Heal,
    Network { loss: f64, duplicates: f64, delay_ms: u64 },
    StoreDown,
    StoreUp { reply_loss: f64, late_swaps: f64, late_replies: f64 },
    Patch(usize),
    Race(usize, usize),
    StalePatch(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..SIZE;
    prop_oneof![
        4 => (1..4_000_u64).prop_map(Step::Wait),
        1 => node.clone().prop_map(Step::Kill),
        2 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Leave),
        1 => (1..(1_u32 << SIZE)).prop_map(Step::Split),
        1 => Just(Step::Heal),
        1 => (0.0..0.4, 0.0..0.5, 1..1_500_u64)
            .prop_map(|(loss, duplicates, delay_ms)| Step::Network { loss, duplicates, delay_ms }),
        1 => Just(Step::StoreDown),
        1 => (0.0..0.7, 0.0..0.5, 0.0..0.5).prop_map(|(reply_loss, late_swaps, late_replies)| {
            Step::StoreUp { reply_loss, late_swaps, late_replies }
        }),
        3 => node.clone().prop_map(Step::Patch),
        2 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::Race(a, b)),
        1 => node.prop_map(Step::StalePatch),
    ]
}

fn perform(fleet: &mut Fleet, step: &Step) {
    match step {
        Step::Wait(ms) => fleet.run(Duration::from_millis(*ms)),
        Step::Kill(node) => fleet.kill(*node),
        Step::Restart(node) => fleet.start(*node),
        Step::Leave(node) => fleet.leave(*node),
        Step::Split(mask) => {
            for node in 0..SIZE {
                fleet.nodes[node].group = mask >> node & 1;
            }
        }
        Step::Heal => (0..SIZE).for_each(|node| fleet.nodes[node].group = 0),
        Step::Network { loss, duplicates, delay_ms } => {
            let delay_max = Duration::from_millis(*delay_ms);
            let delay_min = Duration::ZERO;
            fleet.net = Net { loss: *loss, delay_min, delay_max, duplicates: *duplicates };
        }
        Step::StoreDown => fleet.store_down(),
        Step::StoreUp { reply_loss, late_swaps, late_replies } => {
            let (reply_loss, late_swaps, late_replies) = (*reply_loss, *late_swaps, *late_replies);
            fleet.store.faults = StoreFaults { up: true, reply_loss, late_swaps, late_replies };
        }
        Step::Patch(node) => patch(fleet, *node, 0),
        Step::Race(a, b) => {
            patch(fleet, *a, 0);
            patch(fleet, *b, 0);
        }
        Step::StalePatch(node) => patch(fleet, *node, 1),
    }
}

/// Sends a patch against the store's version less `behind` that adds a workspace named after the request.
fn patch(fleet: &mut Fleet, node: usize, behind: u64) {
    let base = fleet.store.version().saturating_sub(behind);
    let name = marker(fleet.requests.len() as u64 + 1);
    fleet.patch(node, base, json!({ "workspaces": { name: { "share": 2 } } }));
}

fn marker(request: u64) -> String {
    format!("request-{request}")
}

fn markers(accepted: &Accepted) -> BTreeSet<String> {
    let document: serde_json::Value = serde_json::from_str(&accepted.document).expect("JSON");
    let workspaces = document["workspaces"].as_object().expect("workspaces");
    workspaces.keys().cloned().collect()
}

/// Each accepted version adds the marker of exactly one request, whose base is the version before, and each
/// answer is true.
fn check_answers(fleet: &Fleet) -> Result<(), TestCaseError> {
    let mut before = BTreeSet::new();
    let mut winners = std::collections::BTreeMap::new();
    for (version, accepted) in &fleet.store.accepted {
        let after = markers(accepted);
        let added: Vec<_> = after.difference(&before).cloned().collect();
        prop_assert_eq!(added.len(), 1, "version {} adds {:?}", version, added);
        let earlier = winners.insert(added[0].clone(), *version);
        prop_assert!(earlier.is_none() && before.is_subset(&after), "version {}", version);
        let sent = fleet.requests.iter().zip(1..).find(|(_, n)| marker(*n) == added[0]);
        let base = sent.map(|(request, _)| request.base + 1);
        prop_assert_eq!(base, Some(*version), "two winners of one base");
        before = after;
    }
    for (request, outcome) in &fleet.answers {
        let won = winners.get(&marker(*request)).copied();
        match outcome {
            PatchOutcome::Accepted(version) => prop_assert_eq!(won, Some(*version)),
            PatchOutcome::Unknown => {}
            other => prop_assert_eq!(won, None, "request {} got {:?}", request, other),
        }
    }
    Ok(())
}

fn run(seed: u64, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(SIZE, DOMAINS, seed);
    fleet.start_converged();
    fleet.run(Duration::from_secs(2));
    patch(&mut fleet, 0, 0);
    fleet.run(Duration::from_secs(3));
    for step in steps {
        perform(&mut fleet, step);
    }
    perform(&mut fleet, &Step::Heal);
    fleet.net = Net::default();
    fleet.store.faults = StoreFaults::default();
    let dead: Vec<_> = (0..SIZE).filter(|n| fleet.nodes[*n].member.is_none()).collect();
    for node in dead {
        fleet.start(node);
    }
    let agreed = fleet.run_until(RECOVERY, |f| f.is_converged() && f.is_configured());
    prop_assert!(
        agreed.is_some(),
        "no agreement within {:?}: members {} configuration {}",
        RECOVERY,
        fleet.is_converged(),
        fleet.is_configured()
    );
    prop_assert!(fleet.store.version() > 0, "the first patch was not accepted");
    // An operator waits for at most the deadline of a patch.
    fleet.run(Duration::from_secs(6));
    for (index, request) in fleet.requests.iter().enumerate() {
        let is_gone = fleet.nodes[request.node].start != request.start;
        let is_answered = fleet.answers.contains_key(&(index as u64 + 1));
        prop_assert!(is_gone || is_answered, "request {} has no answer", index + 1);
    }
    check_answers(&fleet)
}

fn cases(default: u32) -> u32 {
    std::env::var("LW_MEMBER_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Guards against a VM that goes back to an older version or shows one that was never accepted, two winners
/// of one base, a refused patch that took effect, and a fleet that does not agree after faults that occur
/// together and again during the recovery.
#[test]
fn generated_faults_keep_all_promises() {
    let config = Config { cases: cases(150), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = (any::<u32>(), prop::collection::vec(step(), 1..30));
    let result = runner.run(&schedules, |(seed, steps)| run(u64::from(seed), &steps));
    if let Err(TestError::Fail(reason, (seed, steps))) = result {
        panic!("seed {seed}: {reason}\n{steps:#?}");
    }
    result.expect("the cases can be generated");
}
