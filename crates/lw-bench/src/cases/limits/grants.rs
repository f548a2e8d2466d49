//! Admitted rate of limited workspaces while VMs join, leave, crash and are cut off.

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
/// Window over which the admitted rate is compared with the limit.
const WINDOW_MS: u64 = 10_000;
const LOSS: f64 = 0.05;
/// Time in which the platform's list still names a crashed VM.
const LIST_LAG_MS: u64 = 5_000;
/// Time in which a graceful leave or a join is known to all.
const NEWS_MS: u64 = 500;
const REQUEST_TOKENS: f64 = 1_000.0;

#[derive(Clone, Copy)]
enum Fault {
    /// The VM starts.
    Join,
    /// The VM announces its leave and gets no more requests.
    Leave(usize),
    Crash(usize),
    /// The VM exchanges no messages with its peers until the time in ms; callers still reach it.
    Cut(usize, u64),
    /// VMs below and from this number exchange no messages until the time in ms.
    Split(usize, u64),
}

struct Case {
    name: &'static str,
    /// VMs at the start.
    vms: usize,
    /// Whether demand moves between VMs every 3 s.
    is_skewed: bool,
    faults: &'static [(u64, Fault)],
}

const CASES: &[Case] = &[
    Case { name: "7 VMs", vms: 7, is_skewed: false, faults: &[] },
    Case { name: "9 VMs, moving demand", vms: 9, is_skewed: true, faults: &[] },
    Case {
        name: "2 of 9 join, moving demand",
        vms: 7,
        is_skewed: true,
        faults: &[(12_000, Fault::Join), (13_000, Fault::Join)],
    },
    Case {
        name: "2 of 9 leave",
        vms: 9,
        is_skewed: false,
        faults: &[(12_000, Fault::Leave(0)), (13_000, Fault::Leave(8))],
    },
    Case { name: "1 of 7 crashes", vms: 7, is_skewed: false, faults: &[(12_000, Fault::Crash(2))] },
    Case {
        name: "1 of 7 cut off",
        vms: 7,
        is_skewed: false,
        faults: &[(12_000, Fault::Cut(1, 25_000))],
    },
    Case {
        name: "1 of 9 cut off twice, moving demand",
        vms: 9,
        is_skewed: true,
        faults: &[(12_000, Fault::Cut(4, 20_000)), (21_500, Fault::Cut(4, 30_000))],
    },
    Case {
        name: "partition 5 and 4",
        vms: 9,
        is_skewed: false,
        faults: &[(12_000, Fault::Split(5, 27_000))],
    },
    Case {
        name: "crash, then cut off, then join",
        vms: 8,
        is_skewed: false,
        faults: &[
            (12_000, Fault::Crash(0)),
            (14_000, Fault::Cut(5, 24_000)),
            (16_000, Fault::Join),
        ],
    },
];

struct Vm {
    name: String,
    limiter: Limiter,
    coordinator: Coordinator,
    started: u64,
    crashed: Option<u64>,
    left: Option<u64>,
}

enum Message {
    Report(Report),
    Grant(Grant),
}

struct World<'a> {
    case: &'a Case,
    /// Only limit / members, without grants and with the reachable members alone.
    is_static: bool,
    rng: Rng,
    vms: Vec<Vm>,
    cuts: Vec<(u64, Fault)>,
    network: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sequence: u64,
    /// Admitted units by workspace and second.
    admitted: BySecond,
    /// Rates in use at all VMs, by workspace and second.
    in_use: BySecond,
}

type BySecond = BTreeMap<&'static str, Vec<f64>>;

/// Lowest and highest value of any window and workspace, relative to the limit.
#[derive(Clone, Copy)]
struct Extremes {
    least: f64,
    most: f64,
}

/// Name, limit, and whether the limit counts tokens.
const WORKSPACES: [(&str, f64, bool); 3] =
    [("large", 300.0, false), ("small", 40.0, false), ("tokens", 200_000.0, true)];

fn limits() -> Limits {
    let rates = |limit: f64, is_tokens: bool| Rates {
        requests: if is_tokens { 0.0 } else { limit },
        tokens: if is_tokens { limit } else { 0.0 },
    };
    WORKSPACES.map(|(name, limit, is_tokens)| (name.to_owned(), rates(limit, is_tokens))).into()
}

impl<'a> World<'a> {
    fn new(case: &'a Case, seed: u64, is_static: bool) -> Self {
        let seconds = usize::try_from(RUN_MS / 1_000).unwrap_or_default();
        let empty: BySecond = WORKSPACES.map(|(name, ..)| (name, vec![0.0; seconds])).into();
        let mut world = Self {
            case,
            is_static,
            rng: Rng::with_seed(seed),
            vms: Vec::new(),
            cuts: Vec::new(),
            network: BTreeMap::new(),
            sequence: 0,
            admitted: empty.clone(),
            in_use: empty,
        };
        (0..case.vms).for_each(|_| world.join(0));
        world
    }

    fn join(&mut self, now: u64) {
        let name = format!("vm-{}", self.vms.len());
        let start = Duration::from_millis(now);
        let mut options = Options::default();
        if self.is_static {
            options.startup_time = Duration::ZERO;
        }
        let mut limiter = Limiter::new(name.clone(), options, start);
        let mut coordinator = Coordinator::new(name.clone(), Options::default());
        let started = now;
        self.vms.push(Vm {
            name,
            limiter: Limiter::new(String::new(), Options::default(), start),
            coordinator: Coordinator::new(String::new(), Options::default()),
            started,
            crashed: None,
            left: None,
        });
        let at = self.vms.len() - 1;
        let members = self.members(now, at);
        limiter.set_members(start, members.clone());
        coordinator.set_members(members);
        limiter.set_limits(start, &limits());
        coordinator.set_limits(limits());
        self.vms[at].limiter = limiter;
        self.vms[at].coordinator = coordinator;
    }

    fn is_connected(&self, now: u64, a: usize, b: usize) -> bool {
        a == b
            || !self.cuts.iter().any(|&(since, fault)| match fault {
                Fault::Cut(vm, until) => (since..until).contains(&now) && (a == vm || b == vm),
                Fault::Split(at, until) => (since..until).contains(&now) && (a < at) != (b < at),
                _ => false,
            })
    }

    /// What VM `me` knows: a silent peer is noticed after 1.5 to 3 s, different for each pair.
    fn members(&self, now: u64, me: usize) -> Members {
        let mut members = Members::default();
        for (other, vm) in self.vms.iter().enumerate() {
            let lag = 1_500 + (me as u64 * 7 + other as u64 * 11) % 16 * 100;
            let news = NEWS_MS.min(lag);
            if vm.left.is_some_and(|left| left + news <= now && other != me)
                || (vm.started + news > now && vm.started > 0 && other != me)
            {
                continue;
            }
            let heard =
                |at: u64| self.is_connected(at, me, other) && vm.crashed.is_none_or(|c| c > at);
            let recent = (0..=lag / 100).any(|ago| heard(now.saturating_sub(ago * 100)));
            if recent {
                members.alive.push(vm.name.clone());
            } else if !self.is_static
                && vm.crashed.is_none_or(|crashed| crashed + LIST_LAG_MS > now)
            {
                members.unreachable.push(vm.name.clone());
            }
        }
        members
    }

    /// Extremes of the admitted rates and of the rates in use.
    fn run(mut self) -> [Extremes; 2] {
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
            for &(_, fault) in self.case.faults.iter().filter(|(at, _)| *at == now) {
                match fault {
                    Fault::Join => self.join(now),
                    Fault::Leave(vm) => self.vms[vm].left = Some(now),
                    Fault::Crash(vm) => self.vms[vm].crashed = Some(now),
                    Fault::Cut(..) | Fault::Split(..) => self.cuts.push((now, fault)),
                }
            }
            if now.is_multiple_of(100) {
                self.sample_rates(now);
                for at in 0..self.vms.len() {
                    let members = self.members(now, at);
                    self.vms[at].limiter.set_members(Duration::from_millis(now), members.clone());
                    self.vms[at].coordinator.set_members(members);
                }
            }
            self.deliver(now);
            self.report(now);
            self.arrivals(now);
        }
        [extremes(&self.admitted), extremes(&self.in_use)]
    }

    fn send(&mut self, now: u64, from: usize, to: usize, message: Message) {
        self.sequence += 1;
        let is_lost = from != to && self.rng.f64() < LOSS;
        if !is_lost && self.is_connected(now, from, to) {
            let due = now + if from == to { 0 } else { self.rng.u64(3..40) };
            self.network.insert((due, self.sequence), (from, to, message));
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(entry) = self.network.first_entry().filter(|entry| entry.key().0 <= now) {
            let (from, to, message) = entry.remove();
            if self.vms[to].crashed.is_some() {
                continue;
            }
            let at = Duration::from_millis(now);
            match message {
                Message::Report(report) => {
                    let grant = self.vms[to].coordinator.on_report(at, &report);
                    self.send(now, to, from, Message::Grant(grant));
                }
                Message::Grant(grant) => self.vms[to].limiter.apply_grant(at, &grant),
            }
        }
    }

    fn report(&mut self, now: u64) {
        let at = Duration::from_millis(now);
        for from in 0..self.vms.len() {
            let vm = &mut self.vms[from];
            if self.is_static || vm.crashed.is_some() || vm.limiter.next_report(at) > at {
                continue;
            }
            for (to, report) in vm.limiter.reports(at) {
                let to = self.vms.iter().position(|vm| vm.name == to).unwrap_or(from);
                self.send(now, from, to, Message::Report(report));
            }
        }
        self.deliver(now);
    }

    /// Part of all demand that VM `at` of `serving` gets. It moves between VMs in the skewed cases.
    fn part(&self, now: u64, at: usize, serving: &[usize]) -> f64 {
        let count = f64::from(u32::try_from(serving.len()).unwrap_or(1));
        let position = serving.iter().position(|&vm| vm == at).unwrap_or_default();
        let shift = usize::try_from(now / 3_000).unwrap_or_default();
        let is_hot = (position + shift).is_multiple_of(3);
        let hot = serving.iter().enumerate().filter(|(i, _)| (i + shift).is_multiple_of(3)).count();
        let hot = f64::from(u32::try_from(hot).unwrap_or(1));
        match (self.case.is_skewed, is_hot) {
            (false, _) => 1.0 / count,
            (true, true) => 0.8 / hot,
            (true, false) => 0.2 / (count - hot),
        }
    }

    /// Demand is twice the limit, so that the limit alone decides what is admitted.
    fn arrivals(&mut self, now: u64) {
        let serving: Vec<usize> = (0..self.vms.len())
            .filter(|&vm| self.vms[vm].crashed.is_none() && self.vms[vm].left.is_none())
            .collect();
        for &at in &serving {
            let part = self.part(now, at, &serving);
            for (name, limit, is_tokens) in WORKSPACES {
                let unit = if is_tokens { REQUEST_TOKENS } else { 1.0 };
                let mean = 2.0 * limit / unit
                    * part
                    * 0.001
                    * f64::from(u32::try_from(STEP_MS).unwrap_or(1));
                for _ in 0..poisson(&mut self.rng, mean) {
                    let tokens = self.rng.u64(1..2_000);
                    let outcome =
                        self.vms[at].limiter.admit(Duration::from_millis(now), name, tokens);
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

    /// Adds the rates in use for the next 100 ms.
    fn sample_rates(&mut self, now: u64) {
        let second = usize::try_from(now / 1_000).unwrap_or_default();
        for vm in self.vms.iter().filter(|vm| vm.crashed.is_none() && vm.left.is_none()) {
            for (name, _, is_tokens) in WORKSPACES {
                let rates = vm.limiter.rate(name).unwrap_or_default();
                if let Some(seconds) = self.in_use.get_mut(name) {
                    seconds[second] += 0.1 * if is_tokens { rates.tokens } else { rates.requests };
                }
            }
        }
    }
}

fn extremes(seconds: &BySecond) -> Extremes {
    let window = usize::try_from(WINDOW_MS / 1_000).unwrap_or(1);
    let length = f64::from(u32::try_from(window).unwrap_or(1));
    let ratios = WORKSPACES.iter().flat_map(|(name, limit, _)| {
        let sums = seconds[name].windows(window).map(|w| w.iter().sum::<f64>());
        sums.map(move |sum| sum / length / limit)
    });
    let none = Extremes { least: f64::MAX, most: 0.0 };
    ratios.fold(none, |worst, ratio| worst.with(Extremes { least: ratio, most: ratio }))
}

impl Extremes {
    fn with(self, other: Self) -> Self {
        Self { least: self.least.min(other.least), most: self.most.max(other.most) }
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

fn worst(case: &Case, is_static: bool) -> [Extremes; 2] {
    let none = Extremes { least: f64::MAX, most: 0.0 };
    SEEDS
        .map(|seed| World::new(case, seed, is_static).run())
        .fold([none; 2], |worst, run| [worst[0].with(run[0]), worst[1].with(run[1])])
}

pub(super) fn rows() -> Vec<Row> {
    CASES
        .iter()
        .flat_map(|case| {
            let (baseline, value) = (worst(case, true), worst(case, false));
            let row = |measure, baseline, value, bound| Row {
                case: "workspace limit",
                measure: format!("{}: {measure} of limit, worst 10 s", case.name),
                unit: "ratio",
                baseline: Some(baseline),
                value,
                bound,
            };
            let ([old, old_rates], [new, new_rates]) = (baseline, value);
            [
                row("rates in use, most", old_rates.most, new_rates.most, Bound::AtMost(1.1)),
                row("rates in use, least", old_rates.least, new_rates.least, Bound::AtLeast(0.9)),
                row("admitted, most", old.most, new.most, Bound::AtMost(1.1)),
                row("admitted, least", old.least, new.least, Bound::AtLeast(0.9)),
            ]
        })
        .collect()
}
