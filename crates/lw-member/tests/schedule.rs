//! Generated schedules of faults. The simulated fleet checks at every step that a VM has only accepted documents in
//! force and never returns to an older one; these tests check the answers to operators and convergence.
//!
//! The cases are the same in every run; `LW_MEMBER_CASES` sets their number. A failure prints the schedule and
//! the seed of its fleet.

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

const VM_COUNT: usize = 9;
const DOMAIN_COUNT: usize = 3;
/// Time within which all VMs must have the same members and configuration after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Partition(u32),
    EndPartition,
    Network { loss: f64, duplicates: f64, delay_ms: u64 },
    StoreDown,
    StoreUp { reply_loss: f64, late_swaps: f64, late_replies: f64 },
    Patch(usize),
    ConcurrentPatches(usize, usize),
    StalePatch(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..VM_COUNT;
    prop_oneof![
        4 => (1..4_000_u64).prop_map(Step::Wait),
        1 => node.clone().prop_map(Step::Kill),
        2 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Leave),
        1 => (1..(1_u32 << VM_COUNT)).prop_map(Step::Partition),
        1 => Just(Step::EndPartition),
        1 => (0.0..0.4, 0.0..0.5, 1..1_500_u64)
            .prop_map(|(loss, duplicates, delay_ms)| Step::Network { loss, duplicates, delay_ms }),
        1 => Just(Step::StoreDown),
        1 => (0.0..0.7, 0.0..0.5, 0.0..0.5).prop_map(|(reply_loss, late_swaps, late_replies)| {
            Step::StoreUp { reply_loss, late_swaps, late_replies }
        }),
        3 => node.clone().prop_map(Step::Patch),
        2 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::ConcurrentPatches(a, b)),
        1 => node.prop_map(Step::StalePatch),
    ]
}

fn perform(fleet: &mut Fleet, step: &Step) {
    match step {
        Step::Wait(ms) => fleet.run(Duration::from_millis(*ms)),
        Step::Kill(node) => fleet.kill(*node),
        Step::Restart(node) => fleet.start(*node),
        Step::Leave(node) => fleet.leave(*node),
        Step::Partition(mask) => {
            for node in 0..VM_COUNT {
                fleet.nodes[node].group = mask >> node & 1;
            }
        }
        Step::EndPartition => (0..VM_COUNT).for_each(|node| fleet.nodes[node].group = 0),
        Step::Network { loss, duplicates, delay_ms } => {
            let delay_max = Duration::from_millis(*delay_ms);
            let delay_min = Duration::ZERO;
            fleet.net = Net { loss: *loss, delay_min, delay_max, duplicates: *duplicates };
        }
        Step::StoreDown => fleet.store_down(),
        Step::StoreUp { reply_loss, late_swaps, late_replies } => {
            let (reply_loss, late_swaps, late_replies) = (*reply_loss, *late_swaps, *late_replies);
            fleet.store.faults = StoreFaults { is_up: true, reply_loss, late_swaps, late_replies };
        }
        Step::Patch(node) => patch(fleet, *node, 0),
        Step::ConcurrentPatches(a, b) => {
            patch(fleet, *a, 0);
            patch(fleet, *b, 0);
        }
        Step::StalePatch(node) => patch(fleet, *node, 1),
    }
}

/// Sends a patch that adds a workspace named after the request. Its base is the store's version minus `behind`.
fn patch(fleet: &mut Fleet, node: usize, behind: u64) {
    let base = fleet.store.version().saturating_sub(behind);
    let name = workspace_name(fleet.requests.len() as u64 + 1);
    fleet.patch(node, base, json!({ "workspaces": { name: { "share": 2 } } }));
}

fn workspace_name(request: u64) -> String {
    format!("request-{request}")
}

fn workspace_names(accepted: &Accepted) -> BTreeSet<String> {
    let document: serde_json::Value = serde_json::from_str(&accepted.document).expect("JSON");
    let workspaces = document["workspaces"].as_object().expect("workspaces");
    workspaces.keys().cloned().collect()
}

/// Checks that each accepted version adds the workspace of exactly one request, whose base is the version before,
/// and that no answer contradicts the accepted versions.
fn check_answers(fleet: &Fleet) -> Result<(), TestCaseError> {
    let mut before = BTreeSet::new();
    let mut accepted_requests = std::collections::BTreeMap::new();
    for (version, accepted) in &fleet.store.accepted {
        let after = workspace_names(accepted);
        let added: Vec<_> = after.difference(&before).cloned().collect();
        prop_assert_eq!(added.len(), 1, "version {} adds {:?}", version, added);
        let earlier = accepted_requests.insert(added[0].clone(), *version);
        prop_assert!(earlier.is_none() && before.is_subset(&after), "version {}", version);
        let sent = fleet.requests.iter().zip(1..).find(|(_, n)| workspace_name(*n) == added[0]);
        let base = sent.map(|(request, _)| request.base + 1);
        prop_assert_eq!(base, Some(*version), "two accepted patches with one base");
        before = after;
    }
    for (request, outcome) in &fleet.answers {
        let accepted_version = accepted_requests.get(&workspace_name(*request)).copied();
        match outcome {
            PatchOutcome::Accepted(version) => prop_assert_eq!(accepted_version, Some(*version)),
            PatchOutcome::Unknown => {}
            other => prop_assert_eq!(accepted_version, None, "request {} got {:?}", request, other),
        }
    }
    Ok(())
}

fn run(seed: u64, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(VM_COUNT, DOMAIN_COUNT, seed);
    fleet.start_converged();
    fleet.run(Duration::from_secs(2));
    patch(&mut fleet, 0, 0);
    fleet.run(Duration::from_secs(3));
    for step in steps {
        perform(&mut fleet, step);
    }
    perform(&mut fleet, &Step::EndPartition);
    fleet.net = Net::default();
    fleet.store.faults = StoreFaults::default();
    let dead: Vec<_> = (0..VM_COUNT).filter(|n| fleet.nodes[*n].member.is_none()).collect();
    for node in dead {
        fleet.start(node);
    }
    let converged = fleet.run_until(RECOVERY_TIME, |f| f.is_converged() && f.is_configured());
    prop_assert!(
        converged.is_some(),
        "not converged within {:?}: members {} configuration {}",
        RECOVERY_TIME,
        fleet.is_converged(),
        fleet.is_configured()
    );
    prop_assert!(fleet.store.version() > 0, "the first patch was not accepted");
    // Each operator must have an answer once the patch deadline of 5 s has passed.
    fleet.run(Duration::from_secs(6));
    for (index, request) in fleet.requests.iter().enumerate() {
        let has_restarted = fleet.nodes[request.node].start != request.start;
        let is_answered = fleet.answers.contains_key(&(index as u64 + 1));
        prop_assert!(has_restarted || is_answered, "request {} has no answer", index + 1);
    }
    check_answers(&fleet)
}

fn cases(default: u32) -> u32 {
    std::env::var("LW_MEMBER_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Guards against a VM that returns to an older version or has one in force that was never accepted, two accepted
/// patches with one base, a refused patch that took effect, and VMs that do not converge after faults that occur
/// at the same time and again during the recovery.
#[test]
fn guarantees_hold_under_generated_faults() {
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
