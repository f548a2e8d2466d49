//! Membership and configuration: targets 8 and 9, with 5 % loss and up to 200 ms of delay one way.
//!
//! The protocol code of all members runs in one process in virtual time. Rows give the worst of all seeds.

use std::{thread, time::Duration};

use fleet::Fleet;
use serde_json::json;

use crate::summary::{Bound, Row};

pub mod fleet;
pub mod net;
pub mod store;

/// Sizes at which target 8 asks for figures, with the failure domains of a user today and in two years.
pub const SIZES: [(usize, usize); 4] = [(8, 3), (64, 24), (256, 24), (730, 24)];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Targets 8 and 9.
const WITHIN: Duration = Duration::from_secs(3);
/// Half of the control budget of a node; the rest is for load digests, grants and claims.
const BYTES_A_SECOND: f64 = 3_000.0;
/// Bytes of HTTP request or reply headers around a message between peers, assumed.
pub const HTTP_BYTES: u64 = 150;
/// Longest wait for an outcome; one that takes longer is shown with this time.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two configuration changes at the two-year size.
const CHANGE_EVERY: Duration = Duration::from_secs(12);

/// Figures of one run, or the worst of several.
#[derive(Debug, Clone, Default)]
struct Figures {
    death: f64,
    domain_loss: f64,
    leaving: f64,
    false_removals: f64,
    false_suspicions: f64,
    bytes: f64,
    bytes_with_http: f64,
    change: f64,
    change_store_down: f64,
    change_race: f64,
    winners: f64,
    calls: f64,
}

impl Figures {
    fn worst(self, other: &Self) -> Self {
        Self {
            death: self.death.max(other.death),
            domain_loss: self.domain_loss.max(other.domain_loss),
            leaving: self.leaving.max(other.leaving),
            false_removals: self.false_removals.max(other.false_removals),
            false_suspicions: self.false_suspicions.max(other.false_suspicions),
            bytes: self.bytes.max(other.bytes),
            bytes_with_http: self.bytes_with_http.max(other.bytes_with_http),
            change: self.change.max(other.change),
            change_store_down: self.change_store_down.max(other.change_store_down),
            change_race: self.change_race.max(other.change_race),
            winners: self.winners.max(other.winners),
            calls: self.calls.max(other.calls),
        }
    }
}

/// The rows of targets 8 and 9.
///
/// # Panics
///
/// When a run breaks a promise that the fleet checks at each step.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    let mut calls = Vec::new();
    let worst = thread::scope(|scope| {
        let runs = SIZES
            .map(|(size, domains)| SEEDS.map(|seed| scope.spawn(move || run(size, domains, seed))));
        runs.map(|runs| {
            let done = runs.map(|run| run.join().expect("the run does not panic"));
            done.iter().fold(Figures::default(), Figures::worst)
        })
    });
    for ((size, _), figures) in SIZES.iter().zip(worst) {
        calls.push(figures.calls);
        rows.extend(rows_of(*size, &figures));
    }
    // The first size has fewer failure domains, so it is not compared.
    let growth = calls[calls.len() - 1] - calls[1];
    rows.push(row(
        "platform calls a change, 64 to 730 members",
        "calls",
        growth,
        Bound::AtMost(0.0),
    ));
    rows
}

fn row(measure: &str, unit: &'static str, value: f64, bound: Bound) -> Row {
    Row { case: "member", measure: measure.to_owned(), unit, baseline: None, value, bound }
}

fn rows_of(size: usize, figures: &Figures) -> Vec<Row> {
    let within = Bound::AtMost(WITHIN.as_secs_f64());
    let none = Bound::AtMost(0.0);
    let bytes = Bound::AtMost(BYTES_A_SECOND);
    let mut rows: Vec<Row> = [
        ("dead VM excluded everywhere", "s", figures.death, within),
        ("lost failure domain excluded everywhere", "s", figures.domain_loss, within),
        ("leaving VM excluded everywhere", "s", figures.leaving, within),
        ("living VMs removed", "count", figures.false_removals, none),
        ("living VMs suspected", "count", figures.false_suspicions, Bound::None),
        ("sent a node, payload", "B/s", figures.bytes, bytes),
        ("sent a node, with HTTP headers", "B/s", figures.bytes_with_http, bytes),
        ("configuration in force everywhere", "s", figures.change, within),
        ("same, store down after acceptance", "s", figures.change_store_down, within),
        ("same, racing operators", "s", figures.change_race, within),
        ("winners of one base", "count", figures.winners, Bound::AtMost(1.0)),
        ("platform calls a change", "calls", figures.calls, Bound::None),
    ]
    .into_iter()
    .map(|(measure, unit, value, bound)| {
        row(&format!("{measure}, {size} members"), unit, value, bound)
    })
    .collect();
    if let Some(calls) = rows.last_mut() {
        // One watch at each node, one read and one swap.
        calls.baseline = u32::try_from(size).ok().map(|size| f64::from(size) + 2.0);
    }
    rows
}

fn run(size: usize, domains: usize, seed: u64) -> Figures {
    let mut fleet = Fleet::new(size, domains, seed);
    let mut figures = Figures::default();
    fleet.start_converged();
    fleet.run(Duration::from_secs(5));
    steady(&mut fleet, &mut figures);
    exclusions(&mut fleet, domains, &mut figures);
    changes(&mut fleet, &mut figures);
    // A suspicion that is not refuted leads to a removal after 60 s.
    fleet.run(fleet.timings.remove_after + Duration::from_secs(10));
    figures.false_removals = to_f64(fleet.false_removals);
    figures.false_suspicions = to_f64(fleet.false_suspicions);
    figures
}

/// Traffic of the steady state with one restart and the configuration changes of the two-year size.
fn steady(fleet: &mut Fleet, figures: &mut Figures) {
    let begin = fleet.now;
    let before = sent(fleet);
    for change in 0..3 {
        let (took, calls) = measured_change(fleet, &[0], change);
        figures.change = figures.change.max(took);
        figures.calls = figures.calls.max(calls);
        if change == 1 {
            let node = fleet.any_living();
            fleet.start(node);
        }
        fleet.run(CHANGE_EVERY.saturating_sub(PAUSE));
    }
    let after = sent(fleet);
    let node_seconds =
        fleet.now.saturating_sub(begin).as_secs_f64() * to_f64(fleet.nodes.len() as u64);
    let messages = to_f64(after.1 - before.1);
    figures.bytes = to_f64(after.0 - before.0) / node_seconds;
    figures.bytes_with_http = figures.bytes + messages * to_f64(HTTP_BYTES) / node_seconds;
}

fn exclusions(fleet: &mut Fleet, domains: usize, figures: &mut Figures) {
    for _ in 0..2 {
        let victim = fleet.any_living();
        fleet.kill(victim);
        let took = fleet.run_until(PATIENCE, |f| f.is_excluded(victim));
        figures.death = figures.death.max(took.unwrap_or(PATIENCE).as_secs_f64());
        fleet.run(Duration::from_secs(2));
    }
    let leaver = fleet.any_living();
    fleet.leave(leaver);
    let took = fleet.run_until(PATIENCE, |f| f.is_excluded(leaver));
    figures.leaving = took.unwrap_or(PATIENCE).as_secs_f64();
    let lost = fleet.rng.usize(..domains);
    let lost: Vec<usize> = (0..fleet.nodes.len()).filter(|n| n % domains == lost).collect();
    for node in &lost {
        fleet.kill(*node);
    }
    let took = fleet.run_until(PATIENCE, |f| lost.iter().all(|node| f.is_excluded(*node)));
    figures.domain_loss = took.unwrap_or(PATIENCE).as_secs_f64();
}

fn changes(fleet: &mut Fleet, figures: &mut Figures) {
    fleet.run(Duration::from_secs(2));
    let nodes = [fleet.any_living(), fleet.any_living()];
    let base = fleet.store.version();
    figures.change_race = measured_change(fleet, &nodes, 10).0;
    figures.winners = to_f64(fleet.store.version() - base);
    let node = fleet.any_living();
    let base = fleet.store.version();
    // No watch brings the version either, so the accepting VM alone knows it.
    fleet.store.waiting.clear();
    fleet.patch(node, base, json!({ "workspaces": { "station": { "share": 20 } } }));
    fleet.run_until(PATIENCE, |f| f.store.version() > base);
    fleet.store_down();
    let took = fleet.run_until(PATIENCE, Fleet::is_configured);
    figures.change_store_down = took.unwrap_or(PATIENCE).as_secs_f64();
    fleet.store.faults.up = true;
}

/// Time of observation after a change.
const PAUSE: Duration = Duration::from_secs(4);

/// Sends one patch from each of `nodes` against the current version; returns the time from the acceptance
/// until the version is in force everywhere, and the calls to the platform.
fn measured_change(fleet: &mut Fleet, nodes: &[usize], change: u64) -> (f64, f64) {
    let base = fleet.store.version();
    let calls = fleet.store.calls;
    for (node, share) in nodes.iter().zip(change * 2 + 1..) {
        fleet.patch(*node, base, json!({ "workspaces": { "station": { "share": share } } }));
    }
    let begin = fleet.now;
    fleet.run_until(PATIENCE, |f| f.store.version() > base);
    let accepted = fleet.store.accepted.get(&(base + 1)).map(|accepted| accepted.at);
    let took = fleet.run_until(PATIENCE, Fleet::is_configured).and(accepted);
    let took = took.map_or(PATIENCE, |at| fleet.now.saturating_sub(at));
    fleet.run((begin + PAUSE).saturating_sub(fleet.now));
    (took.as_secs_f64(), to_f64(fleet.store.calls - calls))
}

fn sent(fleet: &Fleet) -> (u64, u64) {
    fleet.nodes.iter().fold((0, 0), |sum, node| (sum.0 + node.bytes, sum.1 + node.messages))
}

fn to_f64(n: u64) -> f64 {
    u32::try_from(n).map_or(f64::INFINITY, f64::from)
}
