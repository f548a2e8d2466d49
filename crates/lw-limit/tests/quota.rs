//! Guards against usage above a cap of a workspace, and against requests that are refused below it.

mod quota_fleet;

use std::time::Duration;

use lw_limit::quota::{Cap, Rule};
use lw_types::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use quota_fleet::{
    CapHistory, Costs, Fault, Options, Outcome, Simulation, Spread, Workspace, ms, units,
};

/// Cases in an ordinary run. More run with the environment variable `PROPTEST_CASES`.
const CASES: u32 = 100;
const SEED: u64 = 20_261_206;
/// Most requests a second of a generated workspace, for the time that the cases take.
const REQUESTS_MAX: f64 = 60.0;
/// Time after which a lower cap binds VMs that reach the store.
const BINDING: Duration = Duration::from_secs(3);
/// The same for VMs that do not: the lifetime of a registration longer.
const BINDING_WITHOUT_STORE: Duration = Duration::from_secs(8);
/// Time after a start until the slots are where they belong and the buckets are filled.
const WARM_UP: Duration = Duration::from_secs(16);

fn rule() -> Rule {
    Rule { window: ms(8_000), overshoot: 0.1, slack: Some(190_000.0) }
}

fn cap(rate: f64) -> Cap {
    Cap { rate, burst: rate }
}

fn workspace(cap: Cap, demand: f64, costs: Costs, spread: Spread) -> Workspace {
    let caps = CapHistory(vec![(Now::ZERO, Some(cap))]);
    Workspace { caps, demand: cap.rate * demand, costs, spread, start: ms(600), is_shaped: false }
}

fn options(vms: usize, workspaces: Vec<Workspace>) -> Options {
    Options {
        seed: 7,
        vms,
        time: ms(25_000),
        rule: rule(),
        workspaces,
        faults: Vec::new(),
        loss: 0.0,
        late: 0.0,
        unused: 0.02,
        further: 0.0,
    }
}

fn assert_rule(options: &Options, outcome: &mut Outcome, binding: Duration) {
    for (workspace, runs) in options.workspaces.iter().zip(&mut outcome.runs) {
        let excess = workspace.caps.excess(&options.rule, binding, runs);
        assert_eq!(excess, None, "start, usage and bound of a window; {options:?}");
    }
}

/// Returns the fraction of the cap that was used after the warm-up.
fn used(options: &Options, outcome: &Outcome, workspace: usize) -> f64 {
    let since = |at: &Now| *at >= WARM_UP && *at < options.time;
    let runs = outcome.runs[workspace].iter().filter(|(at, _)| since(at));
    let sum: f64 = runs.map(|(_, cost)| units(*cost)).sum();
    let cap = options.workspaces[workspace].caps.at(WARM_UP).expect("a cap");
    sum / (cap.rate * options.time.saturating_sub(WARM_UP).as_secs_f64())
}

/// Returns the requests after the warm-up of which no try was admitted, and how many there were.
fn refused(options: &Options, outcome: &Outcome, workspace: usize) -> (Vec<(Now, u64)>, usize) {
    let end = options.time.saturating_sub(ms(3_000));
    let counted = outcome.requests[workspace].iter().filter(|(at, ..)| (WARM_UP..end).contains(at));
    let total = counted.clone().count();
    let refused = counted.filter(|(_, _, is_admitted)| !is_admitted);
    (refused.map(|(at, cost, _)| (*at, *cost)).collect(), total)
}

/// Guards against a part of the cap that is lost since callers reach few VMs or requests are large.
#[test]
fn a_cap_is_used_while_demand_is_above_it() {
    for (vms, spread) in
        [(9, Spread::One), (30, Spread::Third), (95, Spread::Moving), (300, Spread::All)]
    {
        let workspaces = vec![
            workspace(cap(47_000.0), 1.6, Costs::Mixed(0.5), spread),
            workspace(cap(916_168.0), 1.3, Costs::Mixed(0.9), spread),
            workspace(cap(47_000.0), 1.3, Costs::Fixed(383), spread),
        ];
        // Long enough for a few large prompts more or less not to matter.
        let options = Options { time: ms(45_000), ..options(vms, workspaces) };
        let mut outcome = Simulation::run(&options);
        assert_rule(&options, &mut outcome, BINDING);
        for workspace in 0..options.workspaces.len() {
            let used = used(&options, &outcome, workspace);
            println!("{vms} VMs, {spread:?}, workspace {workspace}: {used:.3} used");
            assert!(used >= 0.9, "{used} at {vms} VMs, {spread:?}, workspace {workspace}");
        }
    }
}

/// Guards against requests that are refused although the workspace stays under its cap.
#[test]
fn nothing_is_refused_under_nine_tenths_of_a_cap() {
    for (vms, spread) in
        [(9, Spread::One), (30, Spread::All), (85, Spread::Third), (85, Spread::Moving)]
    {
        let shaped = |workspace| Workspace { is_shaped: true, ..workspace };
        let workspaces = vec![
            shaped(workspace(cap(47_000.0), 3.0, Costs::Mixed(0.3), spread)),
            shaped(workspace(cap(916_168.0), 1.5, Costs::Mixed(0.9), spread)),
            shaped(workspace(cap(47_000.0), 1.5, Costs::Fixed(383), spread)),
        ];
        let options = Options { unused: 0.0, time: ms(40_000), ..options(vms, workspaces) };
        let outcome = Simulation::run(&options);
        for workspace in 0..options.workspaces.len() {
            let (refused, total) = refused(&options, &outcome, workspace);
            let n = refused.len();
            println!("{vms} VMs, {spread:?}, workspace {workspace}: {n} of {total} refused");
            assert_eq!(refused, [], "of {total} at {vms} VMs, {spread:?}, workspace {workspace}");
        }
    }
}

/// Guards against an even split, under which a large prompt is above the share of each VM.
#[test]
fn large_prompts_within_the_cap_are_served() {
    for cost in [17_000, 93_000] {
        let spaced = |start: u64| {
            let workspaces = vec![workspace(cap(47_000.0), 0.9, Costs::Regular(cost), Spread::All)];
            Options { seed: start, unused: 0.0, time: ms(60_000), ..options(85, workspaces) }
        };
        let (mut refused_count, mut total_count) = (0, 0);
        for seed in 0..2 {
            let options = spaced(seed);
            let outcome = Simulation::run(&options);
            let (refused, total) = refused(&options, &outcome, 0);
            refused_count += refused.len();
            total_count += total;
        }
        println!("prompts of {cost} tokens: {refused_count} of {total_count} refused");
        assert!(refused_count == 0 && total_count > 30, "{refused_count} of {total_count}");
    }
}

/// Guards against holders that begin with more than their predecessors may have left: each new one would grant it again.
#[test]
fn holders_that_are_killed_again_and_again_keep_the_rule() {
    let demand = workspace(cap(47_000.0), 12.0, Costs::Mixed(0.9), Spread::All);
    let kills = (0..14).map(|n| {
        let slot = usize::from(n % 2 == 1);
        (ms(14_000 + 700 * n), Fault::KillHolder { slot, down: ms(20) })
    });
    let workspaces = vec![Workspace { start: ms(13_000), ..demand }];
    let options = Options { faults: kills.collect(), ..options(9, workspaces) };
    assert_rule(&options, &mut Simulation::run(&options), BINDING);
}

fn spread() -> impl Strategy<Value = Spread> {
    prop_oneof![Just(Spread::All), Just(Spread::Third), Just(Spread::One), Just(Spread::Moving)]
}

fn workspaces() -> impl Strategy<Value = Workspace> {
    let rates = prop_oneof![Just(47_000.0), Just(150_000.0), Just(400_000.0)];
    let caps = (proptest::option::weighted(0.9, rates), 0.5..2.0_f64);
    let caps =
        caps.prop_map(|(rate, burst)| rate.map(|rate: f64| Cap { rate, burst: rate * burst }));
    let changes = proptest::collection::vec((1_000_u64..20_000, caps.clone()), 0..3);
    let costs = prop_oneof![
        (0.4..1.0_f64).prop_map(Costs::Mixed),
        Just(Costs::Fixed(17_000)),
        Just(Costs::Fixed(93_000)),
    ];
    let start = prop_oneof![Just(600), 6_000_u64..14_000].prop_map(ms);
    (caps, changes, 0.5..4.0_f64, costs, spread(), start).prop_map(
        |(first, mut changes, demand, costs, spread, start)| {
            changes.sort_unstable_by_key(|(at, _)| *at);
            let changes = changes.into_iter().map(|(at, cap)| (ms(at), cap));
            let caps = CapHistory(std::iter::once((Now::ZERO, first)).chain(changes).collect());
            let rate = first.map_or(100_000.0, |cap| cap.rate);
            let demand = (rate * demand).min(costs.mean() * REQUESTS_MAX);
            Workspace { caps, demand, costs, spread, start, is_shaped: false }
        },
    )
}

fn faults() -> impl Strategy<Value = (Now, Fault)> {
    let vm = 0_usize..300;
    let time = (100_u64..6_000).prop_map(ms);
    let fault = prop_oneof![
    4 => (0_usize..2, 20_u64..600)
        .prop_map(|(slot, down)| Fault::KillHolder { slot, down: ms(down) }),
         1 => (vm.clone(), time.clone()).prop_map(|(vm, down)| Fault::Kill { vm, down }),
         1 => vm.clone().prop_map(|vm| Fault::Leave { vm }),
         1 => (vm.clone(), time.clone()).prop_map(|(vm, time)| Fault::Freeze { vm, time }),
         1 => (vm.clone(), any::<bool>(), time.clone())
            .prop_map(|(vm, is_inbound, time)| Fault::Cut { vm, is_inbound, time }),
         1 => (vm, time.clone()).prop_map(|(vm, time)| Fault::CutFromStore { vm, time }),
         1 => time.clone().prop_map(|time| Fault::StoreDown { time }),
         1 => (time, 0_u64..4_000).prop_map(|(time, age)| Fault::OlderCopy { time, age: ms(age) }),
    ];
    (4_000_u64..22_000, fault).prop_map(|(at, fault)| (ms(at), fault))
}

fn fleets() -> impl Strategy<Value = Options> {
    let vms = prop_oneof![80 => Just(9), 16 => Just(30), 2 => Just(95), 1 => Just(300)];
    let workspaces = proptest::collection::vec(workspaces(), 1..4);
    let faults = proptest::collection::vec(faults(), 0..12);
    (any::<u64>(), vms, workspaces, faults, 0.0..0.1_f64, 0.0..0.1_f64, 0.0..0.1_f64).prop_map(
        |(seed, vms, workspaces, mut faults, loss, late, unused)| {
            // Few VMs hold slots: most faults are to hit those.
            for (_, fault) in &mut faults {
                match fault {
                    Fault::Kill { vm, .. }
                    | Fault::Leave { vm }
                    | Fault::Freeze { vm, .. }
                    | Fault::Cut { vm, .. }
                    | Fault::CutFromStore { vm, .. } => *vm %= vms,
                    Fault::KillHolder { .. }
                    | Fault::StoreDown { .. }
                    | Fault::OlderCopy { .. } => {}
                }
            }
            let time = ms(22_000);
            Options { seed, time, faults, loss, late, unused, ..options(vms, workspaces) }
        },
    )
}

proptest! {
    #![proptest_config(Config {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(CASES),
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })]

    /// Guards against usage above the rule whatever fails, and whoever holds the slots.
    #[test]
    fn usage_stays_within_the_rule(options in fleets()) {
        let mut outcome = Simulation::run(&options);
        let loses_store = options.faults.iter().any(|(_, fault)| {
            matches!(
                fault,
                Fault::StoreDown { .. } | Fault::OlderCopy { .. } | Fault::CutFromStore { .. }
                    | Fault::Freeze { .. }
            )
        });
        let binding = if loses_store { BINDING_WITHOUT_STORE } else { BINDING };
        assert_rule(&options, &mut outcome, binding);
    }
}
