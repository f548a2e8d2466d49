//! Guards against engines that are busy with late answers, unfair refusals and retry storms while engines cannot serve all
//! requests in time.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times of a short run"
)]

use overload_fleet::{Case, ENGINES, Fault, Fleet, PEAK_MS, Results};

mod overload_fleet;

const SEEDS: std::ops::Range<u64> = 0..3;
const NORMAL: Case = Case {
    vms: 9,
    seed: 0,
    kinds: [1.0; 2],
    workspace: 1.0,
    ignoring: 0.0,
    fault: Fault::None,
    is_baseline: false,
};
/// Long requests of 1.75 times the capacity, besides short ones of 0.175.
const LONG_PEAK: Case = Case { kinds: [3.5, 1.0], ..NORMAL };
/// Short requests of 1.5 times the capacity, besides long ones of 0.525.
const SHORT_PEAK: Case = Case { kinds: [1.0, 8.5], ..NORMAL };
const WORKSPACE_PEAK: Case = Case { workspace: 5.0, ..NORMAL };
const BOTH: Case = Case { workspace: 5.0, ..LONG_PEAK };

struct Summary {
    in_time: f64,
    late: f64,
    under_share: u32,
    tries: f64,
    normal: f64,
    served: [f64; 2],
    large: f64,
}

fn summary(case: &Case, results: &Results) -> Summary {
    let silent = if case.fault == Fault::SilentEngines { ENGINES / 6 } else { 0 };
    let peak_ms = (PEAK_MS.end - PEAK_MS.start) as f64;
    let ratio = |a: f64, b: f64| if b > 0.0 { a / b } else { 1.0 };
    let served = [0, 1].map(|kind| ratio(results.served[kind], results.offered[kind]));
    Summary {
        in_time: results.in_time_ms / ((ENGINES - silent) as f64 * peak_ms),
        late: results.late_ms / ((ENGINES - silent) as f64 * peak_ms),
        under_share: results.refused_under_share,
        tries: ratio(results.tries_of_refused, results.refused),
        normal: ratio(results.normal_after, results.after),
        served,
        large: ratio(ratio(results.large[1], results.large[0]), served[0]),
    }
}

/// Runs a case with each seed and size and returns the bounds that were exceeded.
fn check(name: &str, case: Case) -> Vec<String> {
    let mut exceeded = Vec::new();
    for vms in [9, 84] {
        for seed in SEEDS {
            let case = Case { vms, seed, ..case };
            let s = summary(&case, &Fleet::run(case));
            let Summary { in_time, late, under_share, tries, normal, served: [long, short], large } =
                s;
            let text = format!(
                "{name}, {vms} VMs, seed {seed}: in time {in_time:.3}, late {late:.3}, refused under share {under_share}, tries {tries:.2}, \
                 normal after 2 s {normal:.4}, served long {long:.3} short {short:.3}, largest of long {large:.2}"
            );
            println!("{text}");
            let holds = in_time >= 0.95
                && under_share == 0
                && (tries < 1.5 || tries.is_nan())
                && normal >= 0.99
                && long >= short - 0.05
                && large >= 0.5;
            if !holds {
                exceeded.push(text);
            }
        }
    }
    exceeded
}

fn check_all(cases: &[(&str, Case)]) {
    let exceeded: Vec<_> = cases.iter().flat_map(|(name, case)| check(name, *case)).collect();
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}

/// Guards against late answers and unfair refusals while long requests ask for twice the capacity.
#[test]
fn twice_the_capacity_from_long_requests() {
    check_all(&[("long", LONG_PEAK)]);
}

/// Guards against short requests that displace long ones, which are more urgent.
#[test]
fn twice_the_capacity_from_short_requests() {
    check_all(&[("short", SHORT_PEAK)]);
}

/// Guards against a workspace that takes the share of others.
#[test]
fn one_workspace_at_five_times_its_usual() {
    check_all(&[("workspace", WORKSPACE_PEAK), ("both", BOTH)]);
}

/// Guards against callers that return at once and displace those that return in time.
#[test]
fn callers_that_ignore_the_time_to_return() {
    let ignoring = |ignoring| Case { ignoring, ..LONG_PEAK };
    check_all(&[("20 % ignore", ignoring(0.2)), ("50 % ignore", ignoring(0.5))]);
}

/// Guards against admission for engines that are silent.
#[test]
fn a_sixth_of_the_engines_is_silent() {
    check_all(&[("silent engines", Case { fault: Fault::SilentEngines, ..LONG_PEAK })]);
}

/// Guards against decisions that need a certain VM, or the digests of others.
#[test]
fn vms_and_digests_are_lost() {
    let fault = |fault| Case { fault, ..LONG_PEAK };
    check_all(&[
        ("VM killed", fault(Fault::VmKilled)),
        ("one-way cut", fault(Fault::OneWayCut)),
        ("fresh VMs", fault(Fault::FreshVm)),
    ]);
}

/// Guards against admission that works only while digests arrive.
#[test]
fn all_digests_are_lost() {
    check_all(&[("no digests", Case { fault: Fault::NoDigests, ..LONG_PEAK })]);
}

/// Guards against refusals without overload.
#[test]
fn the_usual_load_is_not_refused() {
    for vms in [9, 84] {
        let results = Fleet::run(Case { vms, ..NORMAL });
        assert_eq!(results.refusals, 0, "{vms} VMs");
    }
}
