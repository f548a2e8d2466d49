//! Rates admitted for workspaces with a limit while VMs join, leave, crash and lose their connections.

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use lw_limit::grant::{
    Grant, Limits, Members, Options, Rates, Report,
    coordinator::Coordinator,
    limiter::{Limiter, Outcome},
};

use super::SEEDS;
use crate::summary::{Bound, Row};

/// Step of virtual time.
const STEP_MS: u64 = 5;
const RUN_MS: u64 = 40_000;
/// Window over which rates are compared with the limit.
const WINDOW_MS: u64 = 10_000;
const MESSAGE_LOSS_FRACTION: f64 = 0.05;
/// Time for which the platform's list still contains a crashed VM.
const PLATFORM_LIST_LAG_MS: u64 = 5_000;
/// Time after which all VMs have the update that a VM joined or is leaving.
const MEMBER_CHANGE_DELAY_MS: u64 = 500;
const MEAN_REQUEST_TOKENS: f64 = 1_000.0;

#[derive(Clone, Copy)]
enum Fault {
    /// Another VM starts.
    Join,
    /// The VM announces that it is leaving and gets no more requests.
    Leave(usize),
    Crash(usize),
    /// The VM exchanges no messages with its peers until this time in ms; callers still reach it.
    CutOff(usize, u64),
    /// VMs with a smaller index exchange no messages with the others until this time in ms.
    Partition(usize, u64),
}

struct Case {
    name: &'static str,
    /// Number of VMs at the start.
    vms: usize,
    /// Whether most of the demand moves to other VMs every 3 s.
    is_demand_moving: bool,
    faults: &'static [(u64, Fault)],
}

const CASES: &[Case] = &[
    Case { name: "7 VMs", vms: 7, is_demand_moving: false, faults: &[] },
    Case { name: "9 VMs, moving demand", vms: 9, is_demand_moving: true, faults: &[] },
    Case {
        name: "2 of 9 join, moving demand",
        vms: 7,
        is_demand_moving: true,
        faults: &[(12_000, Fault::Join), (13_000, Fault::Join)],
    },
    Case {
        name: "2 of 9 leave",
        vms: 9,
        is_demand_moving: false,
        faults: &[(12_000, Fault::Leave(0)), (13_000, Fault::Leave(8))],
    },
    Case {
        name: "1 of 7 crashes",
        vms: 7,
        is_demand_moving: false,
        faults: &[(12_000, Fault::Crash(2))],
    },
    Case {
        name: "1 of 7 cut off",
        vms: 7,
        is_demand_moving: false,
        faults: &[(12_000, Fault::CutOff(1, 25_000))],
    },
    Case {
        name: "1 of 9 cut off twice, moving demand",
        vms: 9,
        is_demand_moving: true,
        faults: &[(12_000, Fault::CutOff(4, 20_000)), (21_500, Fault::CutOff(4, 30_000))],
    },
    Case {
        name: "partition 5 and 4",
        vms: 9,
        is_demand_moving: false,
        faults: &[(12_000, Fault::Partition(5, 27_000))],
    },
    Case {
        name: "crash, then cut off, then join",
        vms: 8,
        is_demand_moving: false,
        faults: &[
            (12_000, Fault::Crash(0)),
            (14_000, Fault::CutOff(5, 24_000)),
            (16_000, Fault::Join),
        ],
    },
];

struct Vm {
    name: String,
    limiter: Limiter,
    coordinator: Coordinator,
    started_ms: u64,
    crashed_ms: Option<u64>,
    left_ms: Option<u64>,
}

enum Message {
    Report(Report),
    Grant(Grant),
}

struct Simulation<'a> {
    case: &'a Case,
    /// Baseline: each VM admits the limit divided by the number of VMs it can reach, without grants.
    is_equal_split: bool,
    rng: Rng,
    vms: Vec<Vm>,
    /// Start in ms of each loss of connections so far.
    connection_faults: Vec<(u64, Fault)>,
    /// Sender, receiver and message by time of arrival in ms and sequence number.
    messages_in_transit: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sequence: u64,
    /// Requests or tokens admitted, by workspace and second.
    admitted: BySecond,
    /// Sum of the rates in use at all VMs, by workspace and second.
    in_use: BySecond,
}

type BySecond = BTreeMap<&'static str, Vec<f64>>;

/// Lowest and highest ratio to the limit over all windows and workspaces.
#[derive(Clone, Copy)]
struct Extremes {
    min: f64,
    max: f64,
}

/// Name, limit, and whether the limit counts tokens.
const WORKSPACES: [(&str, f64, bool); 3] =
    [("large", 300.0, false), ("small", 40.0, false), ("tokens", 200_000.0, true)];

fn workspace_limits() -> Limits {
    let rates = |limit: f64, is_tokens: bool| Rates {
        requests: if is_tokens { 0.0 } else { limit },
        tokens: if is_tokens { limit } else { 0.0 },
    };
    WORKSPACES.map(|(name, limit, is_tokens)| (name.to_owned(), rates(limit, is_tokens))).into()
}

impl<'a> Simulation<'a> {
    fn new(case: &'a Case, seed: u64, is_equal_split: bool) -> Self {
        let seconds = usize::try_from(RUN_MS / 1_000).unwrap_or_default();
        let empty: BySecond = WORKSPACES.map(|(name, ..)| (name, vec![0.0; seconds])).into();
        let mut simulation = Self {
            case,
            is_equal_split,
            rng: Rng::with_seed(seed),
            vms: Vec::new(),
            connection_faults: Vec::new(),
            messages_in_transit: BTreeMap::new(),
            sequence: 0,
            admitted: empty.clone(),
            in_use: empty,
        };
        (0..case.vms).for_each(|_| simulation.join(0));
        simulation
    }

    fn join(&mut self, now: u64) {
        let name = format!("vm-{}", self.vms.len());
        let start = Duration::from_millis(now);
        let mut options = Options::default();
        if self.is_equal_split {
            options.startup_time = Duration::ZERO;
        }
        let mut limiter = Limiter::new(name.clone(), options, start);
        let mut coordinator = Coordinator::new(name.clone(), Options::default());
        let started_ms = now;
        self.vms.push(Vm {
            name,
            limiter: Limiter::new(String::new(), Options::default(), start),
            coordinator: Coordinator::new(String::new(), Options::default()),
            started_ms,
            crashed_ms: None,
            left_ms: None,
        });
        let index = self.vms.len() - 1;
        let members = self.members(now, index);
        limiter.set_members(start, members.clone());
        coordinator.set_members(members);
        limiter.set_limits(start, &workspace_limits());
        coordinator.set_limits(workspace_limits());
        self.vms[index].limiter = limiter;
        self.vms[index].coordinator = coordinator;
    }

    fn is_connected(&self, now: u64, a: usize, b: usize) -> bool {
        a == b
            || !self.connection_faults.iter().any(|&(from, fault)| match fault {
                Fault::CutOff(vm, until) => (from..until).contains(&now) && (a == vm || b == vm),
                Fault::Partition(first, until) => {
                    (from..until).contains(&now) && (a < first) != (b < first)
                }
                _ => false,
            })
    }

    /// Returns the members as VM `observer` sees them. An unresponsive peer is detected after 1.5 to 3 s, a different
    /// time for each pair.
    fn members(&self, now: u64, observer: usize) -> Members {
        let mut members = Members::default();
        for (other, vm) in self.vms.iter().enumerate() {
            let detection_ms = 1_500 + (observer as u64 * 7 + other as u64 * 11) % 16 * 100;
            let change_delay = MEMBER_CHANGE_DELAY_MS.min(detection_ms);
            if vm.left_ms.is_some_and(|left_ms| left_ms + change_delay <= now && other != observer)
                || (vm.started_ms + change_delay > now && vm.started_ms > 0 && other != observer)
            {
                continue;
            }
            let is_reachable_at = |at: u64| {
                self.is_connected(at, observer, other)
                    && vm.crashed_ms.is_none_or(|crashed_ms| crashed_ms > at)
            };
            let is_recently_reachable =
                (0..=detection_ms / 100).any(|ago| is_reachable_at(now.saturating_sub(ago * 100)));
            if is_recently_reachable {
                members.alive.push(vm.name.clone());
            } else if !self.is_equal_split
                && vm.crashed_ms.is_none_or(|crashed_ms| crashed_ms + PLATFORM_LIST_LAG_MS > now)
            {
                members.unreachable.push(vm.name.clone());
            }
        }
        members
    }

    /// Returns the extremes of the admitted rates and of the rates in use.
    fn run(mut self) -> [Extremes; 2] {
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
            for &(_, fault) in self.case.faults.iter().filter(|(at, _)| *at == now) {
                match fault {
                    Fault::Join => self.join(now),
                    Fault::Leave(vm) => self.vms[vm].left_ms = Some(now),
                    Fault::Crash(vm) => self.vms[vm].crashed_ms = Some(now),
                    Fault::CutOff(..) | Fault::Partition(..) => {
                        self.connection_faults.push((now, fault));
                    }
                }
            }
            if now.is_multiple_of(100) {
                self.sample_rates(now);
                for index in 0..self.vms.len() {
                    let members = self.members(now, index);
                    self.vms[index]
                        .limiter
                        .set_members(Duration::from_millis(now), members.clone());
                    self.vms[index].coordinator.set_members(members);
                }
            }
            self.deliver_messages(now);
            self.send_reports(now);
            self.admit_requests(now);
        }
        [extreme_ratios(&self.admitted), extreme_ratios(&self.in_use)]
    }

    fn send(&mut self, now: u64, from: usize, to: usize, message: Message) {
        self.sequence += 1;
        let is_lost = from != to && self.rng.f64() < MESSAGE_LOSS_FRACTION;
        if !is_lost && self.is_connected(now, from, to) {
            let due = now + if from == to { 0 } else { self.rng.u64(3..40) };
            self.messages_in_transit.insert((due, self.sequence), (from, to, message));
        }
    }

    fn deliver_messages(&mut self, now: u64) {
        while let Some(entry) =
            self.messages_in_transit.first_entry().filter(|entry| entry.key().0 <= now)
        {
            let (from, to, message) = entry.remove();
            if self.vms[to].crashed_ms.is_some() {
                continue;
            }
            let time = Duration::from_millis(now);
            match message {
                Message::Report(report) => {
                    let grant = self.vms[to].coordinator.on_report(time, &report);
                    self.send(now, to, from, Message::Grant(grant));
                }
                Message::Grant(grant) => self.vms[to].limiter.apply_grant(time, &grant),
            }
        }
    }

    fn send_reports(&mut self, now: u64) {
        let time = Duration::from_millis(now);
        for from in 0..self.vms.len() {
            let vm = &mut self.vms[from];
            if self.is_equal_split || vm.crashed_ms.is_some() || vm.limiter.next_report(time) > time
            {
                continue;
            }
            for (to, report) in vm.limiter.reports(time) {
                let to = self.vms.iter().position(|vm| vm.name == to).unwrap_or(from);
                self.send(now, from, to, Message::Report(report));
            }
        }
        self.deliver_messages(now);
    }

    /// Returns the fraction of the demand that VM `index` of `serving` gets. If demand moves, every third VM is busy and
    /// these VMs share 80 % of it; every 3 s others are busy.
    fn demand_fraction(&self, now: u64, index: usize, serving: &[usize]) -> f64 {
        let serving_count = f64::from(u32::try_from(serving.len()).unwrap_or(1));
        let position = serving.iter().position(|&vm| vm == index).unwrap_or_default();
        let shift = usize::try_from(now / 3_000).unwrap_or_default();
        let is_busy = (position + shift).is_multiple_of(3);
        let busy_count =
            serving.iter().enumerate().filter(|(i, _)| (i + shift).is_multiple_of(3)).count();
        let busy_count = f64::from(u32::try_from(busy_count).unwrap_or(1));
        match (self.case.is_demand_moving, is_busy) {
            (false, _) => 1.0 / serving_count,
            (true, true) => 0.8 / busy_count,
            (true, false) => 0.2 / (serving_count - busy_count),
        }
    }

    /// Admits one step of requests. Demand is twice the limit, so that the limit alone decides what is admitted.
    fn admit_requests(&mut self, now: u64) {
        let serving: Vec<usize> = (0..self.vms.len())
            .filter(|&vm| self.vms[vm].crashed_ms.is_none() && self.vms[vm].left_ms.is_none())
            .collect();
        for &index in &serving {
            let demand_fraction = self.demand_fraction(now, index, &serving);
            for (name, limit, is_tokens) in WORKSPACES {
                let mean_units = if is_tokens { MEAN_REQUEST_TOKENS } else { 1.0 };
                let mean = 2.0 * limit / mean_units
                    * demand_fraction
                    * 0.001
                    * f64::from(u32::try_from(STEP_MS).unwrap_or(1));
                for _ in 0..poisson(&mut self.rng, mean) {
                    let tokens = self.rng.u64(1..2_000);
                    let outcome =
                        self.vms[index].limiter.admit(Duration::from_millis(now), name, tokens);
                    if outcome == Outcome::Admitted {
                        let units = if is_tokens {
                            f64::from(u32::try_from(tokens).unwrap_or(0))
                        } else {
                            1.0
                        };
                        let second = usize::try_from(now / 1_000).unwrap_or_default();
                        if let Some(seconds) = self.admitted.get_mut(name) {
                            seconds[second] += units;
                        }
                    }
                }
            }
        }
    }

    /// Adds the rates in use to the sums, for the next 100 ms.
    fn sample_rates(&mut self, now: u64) {
        let second = usize::try_from(now / 1_000).unwrap_or_default();
        for vm in self.vms.iter().filter(|vm| vm.crashed_ms.is_none() && vm.left_ms.is_none()) {
            for (name, _, is_tokens) in WORKSPACES {
                let rates = vm.limiter.rate(name).unwrap_or_default();
                if let Some(seconds) = self.in_use.get_mut(name) {
                    seconds[second] += 0.1 * if is_tokens { rates.tokens } else { rates.requests };
                }
            }
        }
    }
}

fn extreme_ratios(seconds: &BySecond) -> Extremes {
    let window = usize::try_from(WINDOW_MS / 1_000).unwrap_or(1);
    let length = f64::from(u32::try_from(window).unwrap_or(1));
    let ratios = WORKSPACES.iter().flat_map(|(name, limit, _)| {
        let sums = seconds[name].windows(window).map(|w| w.iter().sum::<f64>());
        sums.map(move |sum| sum / length / limit)
    });
    let none = Extremes { min: f64::MAX, max: 0.0 };
    ratios.fold(none, |extremes, ratio| extremes.merge(Extremes { min: ratio, max: ratio }))
}

impl Extremes {
    fn merge(self, other: Self) -> Self {
        Self { min: self.min.min(other.min), max: self.max.max(other.max) }
    }
}

fn poisson(rng: &mut Rng, mean: f64) -> usize {
    let limit = (-mean).exp();
    let mut product = rng.f64();
    let mut count = 0;
    while product > limit {
        product *= rng.f64();
        count += 1;
    }
    count
}

fn worst_of_seeds(case: &Case, is_equal_split: bool) -> [Extremes; 2] {
    let none = Extremes { min: f64::MAX, max: 0.0 };
    SEEDS
        .map(|seed| Simulation::new(case, seed, is_equal_split).run())
        .fold([none; 2], |worst, run| [worst[0].merge(run[0]), worst[1].merge(run[1])])
}

pub(super) fn rows() -> Vec<Row> {
    CASES
        .iter()
        .flat_map(|case| {
            let (baseline, value) = (worst_of_seeds(case, true), worst_of_seeds(case, false));
            let row = |measure, baseline, value, bound| Row {
                case: "workspace limit",
                measure: format!("{}: {measure} of limit, worst 10 s", case.name),
                unit: "ratio",
                baseline: Some(baseline),
                value,
                bound,
            };
            let ([baseline_admitted, baseline_rates], [value_admitted, value_rates]) =
                (baseline, value);
            [
                row("rates in use, most", baseline_rates.max, value_rates.max, Bound::AtMost(1.1)),
                row(
                    "rates in use, least",
                    baseline_rates.min,
                    value_rates.min,
                    Bound::AtLeast(0.9),
                ),
                row(
                    "admitted, most",
                    baseline_admitted.max,
                    value_admitted.max,
                    Bound::AtMost(1.1),
                ),
                row(
                    "admitted, least",
                    baseline_admitted.min,
                    value_admitted.min,
                    Bound::AtLeast(0.9),
                ),
            ]
        })
        .collect()
}
