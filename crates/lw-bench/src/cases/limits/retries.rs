//! Upstream attempts per caller request while engines and VMs fail.

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use lw_limit::retry::{AttemptContext, Budget, Kind, Options};

use super::SEEDS;
use crate::summary::{Bound, Row};

const VM_COUNT: usize = 8;
const ENGINE_COUNT: usize = 12;
/// Requests of all callers in each step, on average.
const MEAN_REQUESTS_PER_STEP: f64 = 2.0;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 60_000;
const DEADLINE: Duration = Duration::from_millis(1_700);
/// Time without a first token after which the router hedges.
const HEDGE_AFTER_MS: u64 = 300;

#[derive(Clone, Copy)]
enum Fault {
    /// Engines with a smaller index answer with an error.
    Down(usize),
    /// Engines with a smaller index answer 10 times slower, after the hedge time.
    Slow(usize),
    /// All VMs restart at the start of the interval, with empty budgets.
    Restart,
}

/// Faults, each with its start and end in seconds.
type Faults = &'static [(u64, u64, Fault)];

const CASES: &[(&str, Faults)] = &[
    ("none", &[]),
    ("1 of 12 engines down", &[(10, 40, Fault::Down(1))]),
    ("4 of 12 engines down", &[(10, 40, Fault::Down(4))]),
    ("all engines down", &[(10, 40, Fault::Down(ENGINE_COUNT))]),
    ("2 engines slow", &[(10, 40, Fault::Slow(2))]),
    ("all engines slow", &[(10, 40, Fault::Slow(ENGINE_COUNT))]),
    (
        "half down, then all during recovery",
        &[(10, 30, Fault::Down(6)), (31, 40, Fault::Down(ENGINE_COUNT))],
    ),
    ("half down, all slow", &[(10, 40, Fault::Down(6)), (10, 40, Fault::Slow(ENGINE_COUNT))]),
    (
        "all down, VMs restart twice",
        &[(10, 40, Fault::Down(ENGINE_COUNT)), (20, 21, Fault::Restart), (24, 25, Fault::Restart)],
    ),
];

#[derive(Clone, Copy)]
enum Event {
    /// A caller sends the request to a VM.
    Arrive,
    /// An upstream attempt of the VM failed.
    Failed(usize),
    /// The VM has received no first token within the hedge time.
    HedgeDue(usize),
}

#[derive(Default)]
struct RunResult {
    requests: f64,
    attempts: f64,
    answered: f64,
    /// Requests and attempts by second.
    by_second: BTreeMap<u64, (f64, f64)>,
}

struct Simulation {
    faults: Faults,
    is_budget_ignored: bool,
    rng: Rng,
    budgets: Vec<Budget>,
    events: BTreeMap<(u64, u64), (AttemptContext, Event)>,
    sequence: u64,
    result: RunResult,
}

impl Simulation {
    fn run(faults: Faults, seed: u64, is_budget_ignored: bool) -> RunResult {
        let mut simulation = Self {
            faults,
            is_budget_ignored,
            rng: Rng::with_seed(seed),
            budgets: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            result: RunResult::default(),
        };
        simulation.restart();
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
            let is_restart_now =
                |f: &(u64, u64, Fault)| f.0 * 1_000 == now && matches!(f.2, Fault::Restart);
            if faults.iter().any(is_restart_now) {
                simulation.restart();
            }
            // Demand changes by a factor of 5 every 5 s.
            let requests_in_step =
                if now / 5_000 % 2 == 0 { 5.0 / 3.0 } else { 1.0 / 3.0 } * MEAN_REQUESTS_PER_STEP;
            let whole_requests = requests_in_step.floor();
            let count = whole_requests
                + f64::from(u8::from(simulation.rng.f64() < requests_in_step - whole_requests));
            for _ in (0..).take_while(|&n| f64::from(n) < count) {
                let cx = AttemptContext::received(Duration::from_millis(now), 0, DEADLINE);
                simulation.result.requests += 1.0;
                simulation.result.by_second.entry(now / 1_000).or_default().0 += 1.0;
                simulation.push(now, cx, Event::Arrive);
            }
            while let Some(entry) =
                simulation.events.first_entry().filter(|entry| entry.key().0 <= now)
            {
                let (cx, event) = entry.remove();
                simulation.handle(now, cx, event);
            }
        }
        simulation.result
    }

    fn restart(&mut self) {
        self.budgets = (0..VM_COUNT).map(|_| Budget::new(Options::default())).collect();
    }

    fn push(&mut self, at: u64, cx: AttemptContext, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), (cx, event));
    }

    /// Returns the context of another attempt if the budget of the VM allows one. Without the budget, only the maximum
    /// number of attempts per request applies.
    fn next_attempt(
        &mut self,
        now: u64,
        vm: usize,
        kind: Kind,
        cx: AttemptContext,
    ) -> Option<AttemptContext> {
        let at = Duration::from_millis(now);
        if self.is_budget_ignored {
            let is_allowed = cx.attempt + 1 < Options::default().max_attempts;
            return is_allowed.then_some(AttemptContext { attempt: cx.attempt + 1, ..cx });
        }
        self.budgets[vm].spend(at, kind, cx).ok()
    }

    fn handle(&mut self, now: u64, cx: AttemptContext, event: Event) {
        match event {
            Event::Arrive => {
                let vm = self.rng.usize(..VM_COUNT);
                let is_allowed =
                    self.budgets[vm].record_arrival(Duration::from_millis(now), cx).is_ok();
                if is_allowed
                    || self.is_budget_ignored && cx.attempt < Options::default().max_attempts
                {
                    self.send(now, vm, cx);
                }
            }
            Event::Failed(vm) => match self.next_attempt(now, vm, Kind::Retry, cx) {
                Some(cx) => self.send(now, vm, cx),
                // The refused caller retries at a random VM and sends the attempt number along.
                None if cx.remaining(Duration::from_millis(now)) > DEADLINE / 2 => {
                    let cx = AttemptContext { attempt: cx.attempt + 1, ..cx };
                    let retry_at = now + self.rng.u64(100..300);
                    self.push(retry_at, cx, Event::Arrive);
                }
                None => {}
            },
            Event::HedgeDue(vm) => {
                if let Some(cx) = self.next_attempt(now, vm, Kind::Hedge, cx) {
                    self.send(now, vm, cx);
                }
            }
        }
    }

    fn send(&mut self, now: u64, vm: usize, cx: AttemptContext) {
        self.result.attempts += 1.0;
        self.result.by_second.entry(now / 1_000).or_default().1 += 1.0;
        let engine = self.rng.usize(..ENGINE_COUNT);
        let is_active =
            |fault: &&(u64, u64, Fault)| (fault.0 * 1_000..fault.1 * 1_000).contains(&now);
        let faults: Vec<Fault> =
            self.faults.iter().filter(is_active).map(|fault| fault.2).collect();
        if faults.iter().any(
            |fault| matches!(fault, Fault::Down(first_unaffected) if engine < *first_unaffected),
        ) {
            let failed_at = now + self.rng.u64(10..100);
            return self.push(failed_at, cx, Event::Failed(vm));
        }
        if faults.iter().any(
            |fault| matches!(fault, Fault::Slow(first_unaffected) if engine < *first_unaffected),
        ) {
            self.push(now + HEDGE_AFTER_MS, cx, Event::HedgeDue(vm));
        }
        self.result.answered += 1.0;
    }
}

impl RunResult {
    fn attempts_per_request(&self) -> f64 {
        self.attempts / self.requests
    }

    /// Returns the attempts per request in the seconds with a fault, as the seconds before and after would lower the
    /// figure. If there are no faults, all seconds count.
    fn during_faults(&self, faults: Faults) -> f64 {
        let is_active = |at: u64| faults.iter().any(|fault| (fault.0..fault.1).contains(&at));
        let by_second =
            self.by_second.iter().filter(|(at, _)| faults.is_empty() || is_active(**at));
        let (requests, attempts) =
            by_second.fold((0.0, 0.0), |sum, (_, second)| (sum.0 + second.0, sum.1 + second.1));
        attempts / requests
    }

    fn worst_10_seconds(&self) -> f64 {
        let by_second: Vec<_> = self.by_second.values().collect();
        let ratio = |window: &[&(f64, f64)]| {
            window.iter().map(|s| s.1).sum::<f64>() / window.iter().map(|s| s.0).sum::<f64>()
        };
        by_second.windows(10).map(ratio).fold(0.0, f64::max)
    }
}

pub(super) fn rows() -> Vec<Row> {
    CASES
        .iter()
        .flat_map(|&(name, faults)| {
            let run = |is_budget_ignored| -> Vec<_> {
                SEEDS.map(|seed| Simulation::run(faults, seed, is_budget_ignored)).collect()
            };
            let (baseline, value) = (run(true), run(false));
            let worst_run = |runs: &[RunResult], f: &dyn Fn(&RunResult) -> f64| {
                runs.iter().map(f).fold(0.0, f64::max)
            };
            let row = |measure: &str, f: &dyn Fn(&RunResult) -> f64, bound| Row {
                case: "retry budget",
                measure: format!("{name}: attempts per request, {measure}"),
                unit: "ratio",
                baseline: Some(worst_run(&baseline, f)),
                value: worst_run(&value, f),
                bound,
            };
            [
                row("whole run", &RunResult::attempts_per_request, Bound::AtMost(1.1)),
                row("during the fault", &|f| f.during_faults(faults), Bound::AtMost(1.1)),
                row("worst 10 s", &RunResult::worst_10_seconds, Bound::None),
            ]
        })
        .collect()
}
