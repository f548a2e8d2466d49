//! Upstream attempts per caller request while engines and VMs fail.

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use lw_limit::retry::{AttemptContext, Budget, Kind, Options};

use super::SEEDS;
use crate::summary::{Bound, Row};

const VMS: usize = 8;
const ENGINES: usize = 12;
/// Requests of all callers in each 10 ms step at the mean rate.
const REQUESTS_PER_STEP: f64 = 2.0;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 60_000;
const DEADLINE: Duration = Duration::from_millis(1_700);
/// Time after which a late first token makes the router hedge.
const HEDGE_AFTER_MS: u64 = 300;

#[derive(Clone, Copy)]
enum Fault {
    /// Engines below this number answer with an error.
    Down(usize),
    /// Engines below this number answer 10 times slower.
    Slow(usize),
    /// All VMs restart at the start of the time, with empty budgets.
    Restart,
}

/// Faults with the time in seconds in which they hold.
type Faults = &'static [(u64, u64, Fault)];

const CASES: &[(&str, Faults)] = &[
    ("none", &[]),
    ("1 of 12 engines down", &[(10, 40, Fault::Down(1))]),
    ("4 of 12 engines down", &[(10, 40, Fault::Down(4))]),
    ("all engines down", &[(10, 40, Fault::Down(ENGINES))]),
    ("2 engines slow", &[(10, 40, Fault::Slow(2))]),
    ("all engines slow", &[(10, 40, Fault::Slow(ENGINES))]),
    (
        "half down, then all during recovery",
        &[(10, 30, Fault::Down(6)), (31, 40, Fault::Down(ENGINES))],
    ),
    ("half down, all slow", &[(10, 40, Fault::Down(6)), (10, 40, Fault::Slow(ENGINES))]),
    (
        "all down, VMs restart twice",
        &[(10, 40, Fault::Down(ENGINES)), (20, 21, Fault::Restart), (24, 25, Fault::Restart)],
    ),
];

#[derive(Clone, Copy)]
enum Item {
    /// A caller sends the request to a VM.
    Arrive,
    /// An upstream attempt of the VM failed.
    Failed(usize),
    /// The first token is late at the VM.
    Late(usize),
}

#[derive(Default)]
struct Figures {
    requests: f64,
    attempts: f64,
    answered: f64,
    /// Requests and attempts of each second.
    seconds: BTreeMap<u64, (f64, f64)>,
}

struct World {
    faults: Faults,
    is_unlimited: bool,
    rng: Rng,
    budgets: Vec<Budget>,
    queue: BTreeMap<(u64, u64), (AttemptContext, Item)>,
    sequence: u64,
    figures: Figures,
}

impl World {
    fn run(faults: Faults, seed: u64, is_unlimited: bool) -> Figures {
        let mut world = Self {
            faults,
            is_unlimited,
            rng: Rng::with_seed(seed),
            budgets: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            figures: Figures::default(),
        };
        world.restart();
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
            let is_restart =
                |f: &(u64, u64, Fault)| f.0 * 1_000 == now && matches!(f.2, Fault::Restart);
            if faults.iter().any(is_restart) {
                world.restart();
            }
            // Demand varies 5 to 1 within seconds.
            let rate = if now / 5_000 % 2 == 0 { 5.0 / 3.0 } else { 1.0 / 3.0 } * REQUESTS_PER_STEP;
            let whole = rate.floor();
            let count = whole + f64::from(u8::from(world.rng.f64() < rate - whole));
            for _ in (0..).take_while(|&n| f64::from(n) < count) {
                let carried = AttemptContext::received(Duration::from_millis(now), 0, DEADLINE);
                world.figures.requests += 1.0;
                world.figures.seconds.entry(now / 1_000).or_default().0 += 1.0;
                world.push(now, carried, Item::Arrive);
            }
            while let Some(entry) = world.queue.first_entry().filter(|entry| entry.key().0 <= now) {
                let (carried, item) = entry.remove();
                world.handle(now, carried, item);
            }
        }
        world.figures
    }

    fn restart(&mut self) {
        self.budgets = (0..VMS).map(|_| Budget::new(Options::default())).collect();
    }

    fn push(&mut self, at: u64, carried: AttemptContext, item: Item) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (carried, item));
    }

    /// Another attempt, if the budget of the VM allows it. Unlimited retries keep only the cap on attempts.
    fn spend(
        &mut self,
        now: u64,
        vm: usize,
        kind: Kind,
        carried: AttemptContext,
    ) -> Option<AttemptContext> {
        let at = Duration::from_millis(now);
        if self.is_unlimited {
            let is_allowed = carried.attempt + 1 < Options::default().max_attempts;
            return is_allowed
                .then_some(AttemptContext { attempt: carried.attempt + 1, ..carried });
        }
        self.budgets[vm].spend(at, kind, carried).ok()
    }

    fn handle(&mut self, now: u64, carried: AttemptContext, item: Item) {
        match item {
            Item::Arrive => {
                let vm = self.rng.usize(..VMS);
                let is_allowed =
                    self.budgets[vm].record_arrival(Duration::from_millis(now), carried).is_ok();
                if is_allowed
                    || self.is_unlimited && carried.attempt < Options::default().max_attempts
                {
                    self.send(now, vm, carried);
                }
            }
            Item::Failed(vm) => match self.spend(now, vm, Kind::Retry, carried) {
                Some(carried) => self.send(now, vm, carried),
                // The refused caller tries once more at another VM and says so.
                None if carried.remaining(Duration::from_millis(now)) > DEADLINE / 2 => {
                    let carried = AttemptContext { attempt: carried.attempt + 1, ..carried };
                    let back = now + self.rng.u64(100..300);
                    self.push(back, carried, Item::Arrive);
                }
                None => {}
            },
            Item::Late(vm) => {
                if let Some(carried) = self.spend(now, vm, Kind::Hedge, carried) {
                    self.send(now, vm, carried);
                }
            }
        }
    }

    fn send(&mut self, now: u64, vm: usize, carried: AttemptContext) {
        self.figures.attempts += 1.0;
        self.figures.seconds.entry(now / 1_000).or_default().1 += 1.0;
        let engine = self.rng.usize(..ENGINES);
        let holds = |fault: &&(u64, u64, Fault)| (fault.0 * 1_000..fault.1 * 1_000).contains(&now);
        let faults: Vec<Fault> = self.faults.iter().filter(holds).map(|fault| fault.2).collect();
        if faults.iter().any(|fault| matches!(fault, Fault::Down(below) if engine < *below)) {
            let failed = now + self.rng.u64(10..100);
            return self.push(failed, carried, Item::Failed(vm));
        }
        if faults.iter().any(|fault| matches!(fault, Fault::Slow(below) if engine < *below)) {
            self.push(now + HEDGE_AFTER_MS, carried, Item::Late(vm));
        }
        self.figures.answered += 1.0;
    }
}

impl Figures {
    fn amplification(&self) -> f64 {
        self.attempts / self.requests
    }

    /// The same while faults hold, without the calm before and after.
    fn during(&self, faults: Faults) -> f64 {
        let holds = |at: u64| faults.iter().any(|fault| (fault.0..fault.1).contains(&at));
        let seconds = self.seconds.iter().filter(|(at, _)| faults.is_empty() || holds(**at));
        let (requests, attempts) =
            seconds.fold((0.0, 0.0), |sum, (_, second)| (sum.0 + second.0, sum.1 + second.1));
        attempts / requests
    }

    fn worst_window(&self) -> f64 {
        let seconds: Vec<_> = self.seconds.values().collect();
        let ratio = |window: &[&(f64, f64)]| {
            window.iter().map(|s| s.1).sum::<f64>() / window.iter().map(|s| s.0).sum::<f64>()
        };
        seconds.windows(10).map(ratio).fold(0.0, f64::max)
    }
}

pub(super) fn rows() -> Vec<Row> {
    CASES
        .iter()
        .flat_map(|&(name, faults)| {
            let run = |is_unlimited| -> Vec<_> {
                SEEDS.map(|seed| World::run(faults, seed, is_unlimited)).collect()
            };
            let (baseline, value) = (run(true), run(false));
            let worst = |runs: &[Figures], f: &dyn Fn(&Figures) -> f64| {
                runs.iter().map(f).fold(0.0, f64::max)
            };
            let row = |measure: &str, f: &dyn Fn(&Figures) -> f64, bound| Row {
                case: "retry budget",
                measure: format!("{name}: attempts per request, {measure}"),
                unit: "ratio",
                baseline: Some(worst(&baseline, f)),
                value: worst(&value, f),
                bound,
            };
            [
                row("whole run", &Figures::amplification, Bound::AtMost(1.1)),
                row("during the fault", &|f| f.during(faults), Bound::AtMost(1.1)),
                row("worst 10 s", &Figures::worst_window, Bound::None),
            ]
        })
        .collect()
}
