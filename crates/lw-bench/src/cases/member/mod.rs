//! Targets 8 and 9: membership and configuration with 5 % message loss and one-way delays up to 200 ms.
//!
//! The protocol code of all members runs in one process in virtual time. Rows show the worst result of all seeds.

use std::{thread, time::Duration};

use fleet::Fleet;
use serde_json::json;

use crate::summary::{Bound, Row};

pub mod fleet;
pub mod net;
pub mod store;

/// Fleet sizes of target 8 with their numbers of failure domains: of a user today, and of the size in two years.
pub const SIZES: [(usize, usize); 4] = [(8, 3), (64, 24), (256, 24), (730, 24)];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Targets 8 and 9: all VMs must have a change within this time.
const CHANGE_TIME_MAX: Duration = Duration::from_secs(3);
/// Half of the control traffic that a node may send; the other half is for load digests, grants and claims.
const BYTES_PER_SECOND_MAX: f64 = 3_000.0;
/// Assumed size of the HTTP headers of a request or reply between peers.
pub const HTTP_BYTES: u64 = 150;
/// Longest wait for a change to reach all VMs; a longer one is shown as this time.
const WAIT_MAX: Duration = Duration::from_secs(20);
/// Time between two configuration changes of an installation of the size in two years.
const CHANGE_INTERVAL: Duration = Duration::from_secs(12);

/// Results of one run, or the worst of several runs.
#[derive(Debug, Clone, Default)]
struct RunResult {
    death_seconds: f64,
    domain_loss_seconds: f64,
    leaving_seconds: f64,
    false_removals: f64,
    false_suspicions: f64,
    bytes_per_second: f64,
    bytes_per_second_with_http: f64,
    change_seconds: f64,
    change_seconds_store_down: f64,
    change_seconds_race: f64,
    accepted_patches: f64,
    platform_calls: f64,
}

impl RunResult {
    fn worst(self, other: &Self) -> Self {
        Self {
            death_seconds: self.death_seconds.max(other.death_seconds),
            domain_loss_seconds: self.domain_loss_seconds.max(other.domain_loss_seconds),
            leaving_seconds: self.leaving_seconds.max(other.leaving_seconds),
            false_removals: self.false_removals.max(other.false_removals),
            false_suspicions: self.false_suspicions.max(other.false_suspicions),
            bytes_per_second: self.bytes_per_second.max(other.bytes_per_second),
            bytes_per_second_with_http: self
                .bytes_per_second_with_http
                .max(other.bytes_per_second_with_http),
            change_seconds: self.change_seconds.max(other.change_seconds),
            change_seconds_store_down: self
                .change_seconds_store_down
                .max(other.change_seconds_store_down),
            change_seconds_race: self.change_seconds_race.max(other.change_seconds_race),
            accepted_patches: self.accepted_patches.max(other.accepted_patches),
            platform_calls: self.platform_calls.max(other.platform_calls),
        }
    }
}

/// Returns the rows of targets 8 and 9.
///
/// # Panics
///
/// If a run violates an invariant that the fleet checks at each step.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    let mut platform_calls = Vec::new();
    let worst = thread::scope(|scope| {
        let runs = SIZES
            .map(|(size, domains)| SEEDS.map(|seed| scope.spawn(move || run(size, domains, seed))));
        runs.map(|runs| {
            let results = runs.map(|run| run.join().expect("the run does not panic"));
            results.iter().fold(RunResult::default(), RunResult::worst)
        })
    });
    for ((size, _), result) in SIZES.iter().zip(worst) {
        platform_calls.push(result.platform_calls);
        rows.extend(rows_of_size(*size, &result));
    }
    // The first size is not compared, as it has fewer failure domains.
    let call_growth = platform_calls[platform_calls.len() - 1] - platform_calls[1];
    rows.push(row(
        "platform calls a change, 64 to 730 members",
        "calls",
        call_growth,
        Bound::AtMost(0.0),
    ));
    rows
}

fn row(measure: &str, unit: &'static str, value: f64, bound: Bound) -> Row {
    Row { case: "member", measure: measure.to_owned(), unit, baseline: None, value, bound }
}

fn rows_of_size(size: usize, result: &RunResult) -> Vec<Row> {
    let time_bound = Bound::AtMost(CHANGE_TIME_MAX.as_secs_f64());
    let zero_bound = Bound::AtMost(0.0);
    let bytes_bound = Bound::AtMost(BYTES_PER_SECOND_MAX);
    let mut rows: Vec<Row> = [
        ("dead VM excluded everywhere", "s", result.death_seconds, time_bound),
        ("lost failure domain excluded everywhere", "s", result.domain_loss_seconds, time_bound),
        ("leaving VM excluded everywhere", "s", result.leaving_seconds, time_bound),
        ("living VMs removed", "count", result.false_removals, zero_bound),
        ("living VMs suspected", "count", result.false_suspicions, Bound::None),
        ("sent a node, payload", "B/s", result.bytes_per_second, bytes_bound),
        ("sent a node, with HTTP headers", "B/s", result.bytes_per_second_with_http, bytes_bound),
        ("configuration in force everywhere", "s", result.change_seconds, time_bound),
        ("same, store down after acceptance", "s", result.change_seconds_store_down, time_bound),
        ("same, racing operators", "s", result.change_seconds_race, time_bound),
        ("winners of one base", "count", result.accepted_patches, Bound::AtMost(1.0)),
        ("platform calls a change", "calls", result.platform_calls, Bound::None),
    ]
    .into_iter()
    .map(|(measure, unit, value, bound)| {
        row(&format!("{measure}, {size} members"), unit, value, bound)
    })
    .collect();
    if let Some(calls_row) = rows.last_mut() {
        // One watch by each node, one read and one swap.
        calls_row.baseline = u32::try_from(size).ok().map(|size| f64::from(size) + 2.0);
    }
    rows
}

fn run(size: usize, domains: usize, seed: u64) -> RunResult {
    let mut fleet = Fleet::new(size, domains, seed);
    let mut result = RunResult::default();
    fleet.start_converged();
    fleet.run(Duration::from_secs(5));
    measure_steady_state(&mut fleet, &mut result);
    measure_exclusions(&mut fleet, domains, &mut result);
    measure_changes(&mut fleet, &mut result);
    // A suspicion that is not refuted leads to a removal after 60 s.
    fleet.run(fleet.timings.remove_after + Duration::from_secs(10));
    result.false_removals = to_f64(fleet.false_removals);
    result.false_suspicions = to_f64(fleet.false_suspicions);
    result
}

/// Measures the traffic without failures, with one restart and configuration changes at the usual interval.
fn measure_steady_state(fleet: &mut Fleet, result: &mut RunResult) {
    let started_at = fleet.now;
    let before = sent_totals(fleet);
    for change in 0..3 {
        let (elapsed, platform_calls) = measure_change(fleet, &[0], change);
        result.change_seconds = result.change_seconds.max(elapsed);
        result.platform_calls = result.platform_calls.max(platform_calls);
        if change == 1 {
            let node = fleet.any_living();
            fleet.start(node);
        }
        fleet.run(CHANGE_INTERVAL.saturating_sub(OBSERVATION_TIME));
    }
    let after = sent_totals(fleet);
    let node_seconds =
        fleet.now.saturating_sub(started_at).as_secs_f64() * to_f64(fleet.nodes.len() as u64);
    let messages = to_f64(after.1 - before.1);
    result.bytes_per_second = to_f64(after.0 - before.0) / node_seconds;
    result.bytes_per_second_with_http =
        result.bytes_per_second + messages * to_f64(HTTP_BYTES) / node_seconds;
}

fn measure_exclusions(fleet: &mut Fleet, domains: usize, result: &mut RunResult) {
    for _ in 0..2 {
        let killed = fleet.any_living();
        fleet.kill(killed);
        let elapsed = fleet.run_until(WAIT_MAX, |f| f.is_excluded(killed));
        result.death_seconds = result.death_seconds.max(elapsed.unwrap_or(WAIT_MAX).as_secs_f64());
        fleet.run(Duration::from_secs(2));
    }
    let leaving = fleet.any_living();
    fleet.leave(leaving);
    let elapsed = fleet.run_until(WAIT_MAX, |f| f.is_excluded(leaving));
    result.leaving_seconds = elapsed.unwrap_or(WAIT_MAX).as_secs_f64();
    let lost_domain = fleet.rng.usize(..domains);
    let lost_nodes: Vec<usize> =
        (0..fleet.nodes.len()).filter(|n| n % domains == lost_domain).collect();
    for node in &lost_nodes {
        fleet.kill(*node);
    }
    let elapsed = fleet.run_until(WAIT_MAX, |f| lost_nodes.iter().all(|node| f.is_excluded(*node)));
    result.domain_loss_seconds = elapsed.unwrap_or(WAIT_MAX).as_secs_f64();
}

fn measure_changes(fleet: &mut Fleet, result: &mut RunResult) {
    fleet.run(Duration::from_secs(2));
    let nodes = [fleet.any_living(), fleet.any_living()];
    let base_version = fleet.store.version();
    result.change_seconds_race = measure_change(fleet, &nodes, 10).0;
    result.accepted_patches = to_f64(fleet.store.version() - base_version);
    let node = fleet.any_living();
    let base_version = fleet.store.version();
    // No watch returns the version either, so only the VM that accepted the patch has it.
    fleet.store.pending_watches.clear();
    fleet.patch(node, base_version, json!({ "workspaces": { "station": { "share": 20 } } }));
    fleet.run_until(WAIT_MAX, |f| f.store.version() > base_version);
    fleet.store_down();
    let elapsed = fleet.run_until(WAIT_MAX, Fleet::is_configured);
    result.change_seconds_store_down = elapsed.unwrap_or(WAIT_MAX).as_secs_f64();
    fleet.store.faults.is_up = true;
}

/// Time after a change in which platform calls are counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Sends one patch through each of `nodes` against the current version. Returns the seconds from the acceptance until
/// the version is in force everywhere, and the number of calls to the platform.
fn measure_change(fleet: &mut Fleet, nodes: &[usize], change: u64) -> (f64, f64) {
    let base_version = fleet.store.version();
    let platform_calls = fleet.store.calls;
    for (node, share) in nodes.iter().zip(change * 2 + 1..) {
        fleet.patch(
            *node,
            base_version,
            json!({ "workspaces": { "station": { "share": share } } }),
        );
    }
    let started_at = fleet.now;
    fleet.run_until(WAIT_MAX, |f| f.store.version() > base_version);
    let accepted_at = fleet.store.accepted.get(&(base_version + 1)).map(|accepted| accepted.at);
    let elapsed = fleet.run_until(WAIT_MAX, Fleet::is_configured).and(accepted_at);
    let elapsed = elapsed.map_or(WAIT_MAX, |at| fleet.now.saturating_sub(at));
    fleet.run((started_at + OBSERVATION_TIME).saturating_sub(fleet.now));
    (elapsed.as_secs_f64(), to_f64(fleet.store.calls - platform_calls))
}

fn sent_totals(fleet: &Fleet) -> (u64, u64) {
    fleet.nodes.iter().fold((0, 0), |sum, node| (sum.0 + node.bytes, sum.1 + node.messages))
}

fn to_f64(n: u64) -> f64 {
    u32::try_from(n).map_or(f64::INFINITY, f64::from)
}
