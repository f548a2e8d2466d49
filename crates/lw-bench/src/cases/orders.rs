//! Orders during rollouts (loads at once, weight store, serving engines) and moves of KV cache.

use std::{collections::BTreeMap, time::Duration};

use lw_order::{
    issuer::{Action, Issuer, LeaseResult},
    kv::KvCost,
    message::{EngineState, ModelState, Order, Report},
    options::Options,
    plan::Plan,
};

use crate::summary::{Bound, Row};

const SEEDS: std::ops::Range<u64> = 1..6;
const STEP_MS: u64 = 10;
const TICK_MS: u64 = 100;
const REPORT_MS: u64 = 300;
const REPORT_LAG_MS: std::ops::Range<u64> = 100..900;
const ORDER_MS: std::ops::Range<u64> = 3..400;
const RUN_MS: u64 = 120_000;
/// The engines of the Malabar workload, and the three quarters of them that its rules keep serving.
const ENGINES: usize = 12;
const MINIMUM: usize = 9;
/// Time of a load while at most two engines load.
const LOAD_MS: u64 = 2_000;
const ROLLOUT_MS: u64 = 5_000;
/// Time after which the naive rollout repeats an order that shows no effect.
const NAIVE_REPEAT_MS: u64 = 5_000;

/// What happens beside the rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Case {
    Plain,
    /// A newer configuration goes back to the older weights in the middle.
    Rollback,
    /// The issuer is paused for 10 s, two engines crash, and every fifth order is lost.
    Faults,
}

struct Engine {
    incarnation: u64,
    back_at: u64,
    loading: Option<(EngineState, u64)>,
    state: EngineState,
    reports: u64,
}

enum Message {
    Report(Report),
    Order(Order),
}

#[derive(Debug, Default, Clone)]
struct Figures {
    loading: usize,
    store: usize,
    serving: usize,
    old_orders: usize,
    finished_ms: u64,
    unfinished: usize,
}

struct Sim {
    rng: fastrand::Rng,
    now: u64,
    options: Options,
    engines: Vec<Engine>,
    messages: Vec<(u64, Message)>,
    loads: Vec<u64>,
    fence: u64,
    lost_one_in: Option<usize>,
    figures: Figures,
}

fn plan(version: u64) -> Plan {
    let weights = if version % 2 == 1 { "w1" } else { "w2" };
    let model = ModelState { version: weights.into(), adapters: BTreeMap::new() };
    let models: BTreeMap<_, _> = [("m".to_owned(), model)].into();
    let target = |n| (format!("e{n}"), EngineState { role: "a".into(), models: models.clone() });
    let minimums = [("a".to_owned(), MINIMUM)].into();
    Plan { version, targets: (0..ENGINES).map(target).collect(), minimums, ..Plan::default() }
}

/// Who sends the orders: two VMs with one lease, or (`None`) one that orders everything at once.
struct Issuers {
    vms: Vec<Issuer>,
    paused: [u64; 2],
    lease: Option<(usize, u64, u64)>,
    revision: u64,
}

impl Issuers {
    fn new(options: &Options) -> Self {
        let issuer = |_| {
            let mut issuer = Issuer::new(options.clone());
            issuer.set_eligible(true);
            issuer
        };
        Self { vms: (0..2).map(issuer).collect(), paused: [0; 2], lease: None, revision: 0 }
    }

    fn tick(&mut self, now: u64, ttl: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        let at = Duration::from_millis(now);
        for vm in 0..self.vms.len() {
            if now < self.paused[vm] {
                continue;
            }
            for action in self.vms[vm].tick(at) {
                let (op, fence) = match action {
                    Action::Acquire { op } => (op, None),
                    Action::Renew { op, fence } => (op, Some(fence)),
                    Action::Send(order) => {
                        orders.push(order);
                        continue;
                    }
                };
                let held = self.lease.filter(|(_, _, until)| now < *until);
                let granted = match (held, fence) {
                    (None, None) => {
                        self.revision += 1;
                        Some(self.revision)
                    }
                    (Some((holder, current, _)), Some(fence)) => {
                        (holder == vm && current == fence).then_some(fence)
                    }
                    _ => None,
                };
                if let Some(fence) = granted {
                    self.lease = Some((vm, fence, now + ttl));
                }
                let result = granted.map_or(LeaseResult::Refused, LeaseResult::Granted);
                self.vms[vm].on_lease_result(at, op, result);
            }
        }
        orders
    }
}

impl Sim {
    fn run(case: Case, naive: bool, seed: u64) -> Figures {
        let options = Options::default();
        let mut issuers = Issuers::new(&options);
        let engine = |n: usize| Engine {
            incarnation: 1,
            back_at: 0,
            loading: None,
            state: plan(1).targets[&format!("e{n}")].clone(),
            reports: 0,
        };
        let mut sim = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            engines: (0..ENGINES).map(engine).collect(),
            messages: Vec::new(),
            loads: Vec::new(),
            fence: 0,
            lost_one_in: (case == Case::Faults).then_some(5),
            figures: Figures { serving: ENGINES, ..Figures::default() },
            options,
        };
        let mut version = 1;
        let mut ordered = BTreeMap::new();
        let ttl = u64::try_from(sim.options.lease_ttl.as_millis()).unwrap_or(0);
        while sim.now < RUN_MS {
            version = match (case, sim.now) {
                (_, ..ROLLOUT_MS) => 1,
                (Case::Rollback, 12_000..) => 3,
                _ => 2,
            };
            if case == Case::Faults {
                sim.strike(&mut issuers);
            }
            sim.deliver(&mut issuers);
            if sim.now.is_multiple_of(TICK_MS) {
                issuers.vms.iter_mut().for_each(|vm| vm.set_plan(plan(version)));
                let orders = if naive {
                    sim.naive(version, &mut ordered)
                } else {
                    issuers.tick(sim.now, ttl)
                };
                for order in orders {
                    sim.send(order);
                }
            }
            sim.step();
            sim.now += STEP_MS;
        }
        let target = &plan(version).targets["e0"];
        sim.figures.unfinished = sim.engines.iter().filter(|e| e.state != *target).count();
        sim.figures
    }

    /// Orders everything that differs, at once, and repeats it after a while.
    fn naive(&self, version: u64, ordered: &mut BTreeMap<usize, (u64, u64)>) -> Vec<Order> {
        let target = plan(version).targets["e0"].clone();
        let mut orders = Vec::new();
        for (n, engine) in self.engines.iter().enumerate() {
            let recent = ordered.get(&n).is_some_and(|(ordered, at)| {
                *ordered == version && self.now < at + NAIVE_REPEAT_MS
            });
            if engine.state != target && engine.loading.is_none() && !recent {
                ordered.insert(n, (version, self.now));
                let (engine, send_before) = (format!("e{n}"), Duration::MAX);
                orders.push(Order { engine, fence: 1, seq: 1, state: target.clone(), send_before });
            }
        }
        orders
    }

    fn strike(&mut self, issuers: &mut Issuers) {
        match self.now {
            9_000 => {
                let holder = issuers.lease.map_or(0, |(holder, ..)| holder);
                issuers.paused[holder] = self.now + 10_000;
            }
            8_000 | 24_000 => {
                let n = self.rng.usize(0..ENGINES);
                let engine = &mut self.engines[n];
                engine.incarnation += 1;
                engine.back_at = self.now + 1_500;
                engine.loading = None;
                engine.state.models.clear();
            }
            _ => {}
        }
    }

    fn send(&mut self, order: Order) {
        self.figures.old_orders += usize::from(order.fence < self.fence);
        self.fence = self.fence.max(order.fence);
        let lost = self.lost_one_in.is_some_and(|n| self.rng.usize(0..n) == 0);
        if !lost {
            let at = self.now + self.rng.u64(ORDER_MS);
            self.messages.push((at, Message::Order(order)));
        }
    }

    fn deliver(&mut self, issuers: &mut Issuers) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                // A paused VM decides nothing before it wakes, so it may take its reports at once.
                Message::Report(report) => issuers
                    .vms
                    .iter_mut()
                    .for_each(|vm| vm.on_report(Duration::from_millis(now), report.clone())),
                Message::Order(order) => self.take(&order),
            }
        }
    }

    fn take(&mut self, order: &Order) {
        let n: usize = order.engine[1..].parse().unwrap_or(0);
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count() as u64 + 1;
        let engine = &mut self.engines[n];
        let current = engine.loading.as_ref().map_or(&engine.state, |(state, _)| state);
        if self.now < engine.back_at || *current == order.state {
            return;
        }
        let done = self.now + LOAD_MS * loading.max(2) / 2;
        engine.loading = Some((order.state.clone(), done));
        self.loads.push(self.now);
    }

    fn step(&mut self) {
        let now = self.now;
        for n in 0..ENGINES {
            let engine = &mut self.engines[n];
            if let Some((state, _)) = engine.loading.take_if(|(_, done)| *done <= now) {
                engine.state = state;
                self.figures.finished_ms = now;
            }
            if now >= engine.back_at && (now + n as u64 * STEP_MS).is_multiple_of(REPORT_MS) {
                engine.reports += 1;
                let report = Report {
                    engine: format!("e{n}"),
                    incarnation: engine.incarnation,
                    seq: engine.reports,
                    loading: engine.loading.is_some(),
                    state: engine.state.clone(),
                };
                let at = now + self.rng.u64(REPORT_LAG_MS);
                self.messages.push((at, Message::Report(report)));
            }
        }
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count();
        let serving = self
            .engines
            .iter()
            .filter(|e| e.loading.is_none() && !e.state.models.is_empty() && now >= e.back_at);
        let window = u64::try_from(self.options.store_window.as_millis()).unwrap_or(0);
        let recent = self.loads.iter().rev().take_while(|at| **at + window > now).count();
        let figures = &mut self.figures;
        figures.loading = figures.loading.max(loading);
        figures.serving = figures.serving.min(serving.count());
        figures.store = figures.store.max(recent);
    }
}

fn row(measure: String, unit: &'static str, baseline: f64, value: f64, bound: Bound) -> Row {
    Row { case: "orders", measure, unit, baseline: Some(baseline), value, bound }
}

#[allow(clippy::cast_precision_loss)]
fn rollout_rows(case: Case, name: &str) -> Vec<Row> {
    let runs = |naive| SEEDS.map(|seed| Sim::run(case, naive, seed)).collect::<Vec<_>>();
    let (values, naive) = (runs(false), runs(true));
    let most = |runs: &[Figures], of: fn(&Figures) -> usize| {
        runs.iter().map(of).max().unwrap_or(usize::MAX) as f64
    };
    let options = Options::default();
    let limits = (options.loading_max as f64, options.store_loads as f64, MINIMUM as f64);
    let at_most = |what: &str, unit, of: fn(&Figures) -> usize, max| {
        row(format!("{what}, {name}"), unit, most(&naive, of), most(&values, of), max)
    };
    let fewest = |runs: &[Figures]| runs.iter().map(|f| f.serving).min().unwrap_or(0) as f64;
    vec![
        at_most("engines loading at once", "engines", |f| f.loading, Bound::AtMost(limits.0)),
        at_most("loads in a second", "loads", |f| f.store, Bound::AtMost(limits.1)),
        row(
            format!("fewest of {ENGINES} serving, {name}"),
            "engines",
            fewest(&naive),
            fewest(&values),
            Bound::AtLeast(limits.2),
        ),
        at_most("orders of an old issuer", "orders", |f| f.old_orders, Bound::AtMost(0.0)),
        at_most("engines in a wrong state", "engines", |f| f.unfinished, Bound::AtMost(0.0)),
        at_most(
            "time to the last load",
            "ms",
            |f| usize::try_from(f.finished_ms - ROLLOUT_MS).unwrap_or(usize::MAX),
            Bound::None,
        ),
    ]
}

/// Cache of 128 KiB a token (32 layers, 8 heads of 128 values, keys and values of 2 bytes); two calls at
/// 5 ms one way; engines that copy 8 GB/s and compute 8,000 tokens/s.
fn cost(link_rate: f64) -> KvCost {
    KvCost {
        bytes_per_token: 131_072.0,
        setup: Duration::from_millis(20),
        export_rate: 8e9,
        link_rate,
        import_rate: 8e9,
        prefill_rate: 8_000.0,
    }
}

/// Time of all moves and recomputations over prefixes of 100 to 32,000 tokens and links of 0.3 to 12
/// GB/s, compared with the cheaper way for each. The links differ from their estimate by up to `error`.
fn kv_excess(error: f64, choose: impl Fn(&KvCost, u32) -> bool) -> f64 {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut spent, mut best) = (0.0, 0.0);
    for _ in 0..10_000 {
        let estimated = cost(3e8 * 40_f64.powf(rng.f64()));
        let link_rate = estimated.link_rate * (1.0 + error * (2.0 * rng.f64() - 1.0));
        let real = cost(link_rate);
        let tokens = rng.u32(100..32_000);
        let ways = (real.move_time(tokens), real.recompute_time(tokens));
        let way = if choose(&estimated, tokens) { ways.0 } else { ways.1 };
        spent += way.as_secs_f64();
        best += ways.0.min(ways.1).as_secs_f64();
    }
    spent / best
}

fn kv_rows() -> Vec<Row> {
    let tokens = |name: &str, rate| Row {
        case: "kv",
        measure: format!("break-even prefix, {name}"),
        unit: "tokens",
        baseline: None,
        value: cost(rate).break_even_tokens().unwrap_or(f64::INFINITY),
        bound: Bound::None,
    };
    let excess = |name: &str, error, bound| Row {
        case: "kv",
        measure: format!("time against the cheaper way, {name}"),
        unit: "ratio",
        baseline: Some(kv_excess(error, |_, _| true)),
        value: kv_excess(error, KvCost::should_move),
        bound,
    };
    vec![
        tokens("link 12 GB/s", 12e9),
        tokens("link 3 GB/s", 3e9),
        Row {
            case: "kv",
            measure: "moves over a 1 GB/s link, 100 to 32,000 tokens".to_owned(),
            unit: "moves",
            baseline: None,
            value: if (100..32_000).any(|tokens| cost(1e9).should_move(tokens)) {
                1.0
            } else {
                0.0
            },
            bound: Bound::AtMost(0.0),
        },
        excess("known links", 0.0, Bound::AtMost(1.0)),
        excess("links off by up to 30 %", 0.3, Bound::None),
    ]
}

/// The rows of this case.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = rollout_rows(Case::Plain, "rollout");
    rows.extend(rollout_rows(Case::Rollback, "rollback in the middle"));
    rows.extend(rollout_rows(Case::Faults, "paused issuer, crashes, lost orders"));
    rows.extend(kv_rows());
    rows
}
