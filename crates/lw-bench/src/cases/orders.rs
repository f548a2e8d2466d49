//! Orders of rollouts, with limits on concurrent loads and on serving engines, and decisions to move KV cache.

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
const TICK_INTERVAL_MS: u64 = 100;
const REPORT_INTERVAL_MS: u64 = 300;
const REPORT_DELAY_MS: std::ops::Range<u64> = 100..900;
const ORDER_DELAY_MS: std::ops::Range<u64> = 3..400;
const RUN_MS: u64 = 120_000;
/// Engines of the conversation workload.
const ENGINE_COUNT: usize = 12;
/// Least number of serving engines: three quarters, as in the rules of that workload.
const SERVING_MIN: usize = 9;
/// Time to load weights while at most two engines load; more take proportionally longer.
const LOAD_MS: u64 = 2_000;
const ROLLOUT_START_MS: u64 = 5_000;
/// Time after which the naive rollout repeats an order that had no effect.
const NAIVE_REPEAT_MS: u64 = 5_000;

/// What happens during the rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Case {
    Plain,
    /// A newer configuration returns to the former weights in the middle of the rollout.
    Rollback,
    /// The issuer is paused for 10 s, two engines crash, and one in five orders is lost.
    Faults,
}

struct Engine {
    incarnation: u64,
    running_from_ms: u64,
    /// State being loaded and the end of the load in ms.
    loading: Option<(EngineState, u64)>,
    state: EngineState,
    report_seq: u64,
}

enum Message {
    Report(Report),
    Order(Order),
}

#[derive(Debug, Default, Clone)]
struct RunResult {
    max_loading: usize,
    max_loads_in_window: usize,
    min_serving: usize,
    /// Orders sent with a smaller fencing number than an earlier order.
    stale_orders: usize,
    last_load_ms: u64,
    engines_off_target: usize,
}

struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    options: Options,
    engines: Vec<Engine>,
    /// Times of arrival in ms and messages.
    messages: Vec<(u64, Message)>,
    /// Starts of loads in ms.
    load_starts: Vec<u64>,
    fence: u64,
    lose_one_in: Option<usize>,
    result: RunResult,
}

fn plan(version: u64) -> Plan {
    let weights = if version % 2 == 1 { "w1" } else { "w2" };
    let model = ModelState { version: weights.into(), adapters: BTreeMap::new() };
    let models: BTreeMap<_, _> = [("m".to_owned(), model)].into();
    let target = |n| (format!("e{n}"), EngineState { role: "a".into(), models: models.clone() });
    let minimums = [("a".to_owned(), SERVING_MIN)].into();
    Plan { version, targets: (0..ENGINE_COUNT).map(target).collect(), minimums, ..Plan::default() }
}

/// Two VMs that issue orders, and the lease that one of them holds.
struct Issuers {
    vms: Vec<Issuer>,
    paused_until: [u64; 2],
    /// Holder, fencing number and end in ms.
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
        Self { vms: (0..2).map(issuer).collect(), paused_until: [0; 2], lease: None, revision: 0 }
    }

    fn tick(&mut self, now: u64, ttl: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        let time = Duration::from_millis(now);
        for vm in 0..self.vms.len() {
            if now < self.paused_until[vm] {
                continue;
            }
            for action in self.vms[vm].tick(time) {
                let (op, fence) = match action {
                    Action::Acquire { op } => (op, None),
                    Action::Renew { op, fence } => (op, Some(fence)),
                    Action::Send(order) => {
                        orders.push(order);
                        continue;
                    }
                };
                let valid_lease = self.lease.filter(|(_, _, until)| now < *until);
                let granted = match (valid_lease, fence) {
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
                self.vms[vm].on_lease_result(time, op, result);
            }
        }
        orders
    }
}

impl Simulation {
    fn run(case: Case, is_naive: bool, seed: u64) -> RunResult {
        let options = Options::default();
        let mut issuers = Issuers::new(&options);
        let engine = |n: usize| Engine {
            incarnation: 1,
            running_from_ms: 0,
            loading: None,
            state: plan(1).targets[&format!("e{n}")].clone(),
            report_seq: 0,
        };
        let mut simulation = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            engines: (0..ENGINE_COUNT).map(engine).collect(),
            messages: Vec::new(),
            load_starts: Vec::new(),
            fence: 0,
            lose_one_in: (case == Case::Faults).then_some(5),
            result: RunResult { min_serving: ENGINE_COUNT, ..RunResult::default() },
            options,
        };
        let mut version = 1;
        let mut last_orders = BTreeMap::new();
        let ttl = u64::try_from(simulation.options.lease_ttl.as_millis()).unwrap_or(0);
        while simulation.now < RUN_MS {
            version = match (case, simulation.now) {
                (_, ..ROLLOUT_START_MS) => 1,
                (Case::Rollback, 12_000..) => 3,
                _ => 2,
            };
            if case == Case::Faults {
                simulation.inject_faults(&mut issuers);
            }
            simulation.deliver(&mut issuers);
            if simulation.now.is_multiple_of(TICK_INTERVAL_MS) {
                issuers.vms.iter_mut().for_each(|vm| vm.set_plan(plan(version)));
                let orders = if is_naive {
                    simulation.naive_orders(version, &mut last_orders)
                } else {
                    issuers.tick(simulation.now, ttl)
                };
                for order in orders {
                    simulation.send(order);
                }
            }
            simulation.step_engines();
            simulation.now += STEP_MS;
        }
        let target = &plan(version).targets["e0"];
        simulation.result.engines_off_target =
            simulation.engines.iter().filter(|e| e.state != *target).count();
        simulation.result
    }

    /// Returns orders for all engines that are not in their target state, again after [`NAIVE_REPEAT_MS`].
    fn naive_orders(
        &self,
        version: u64,
        last_orders: &mut BTreeMap<usize, (u64, u64)>,
    ) -> Vec<Order> {
        let target = plan(version).targets["e0"].clone();
        let mut orders = Vec::new();
        for (n, engine) in self.engines.iter().enumerate() {
            let is_recent = last_orders.get(&n).is_some_and(|(ordered_version, ordered_at)| {
                *ordered_version == version && self.now < ordered_at + NAIVE_REPEAT_MS
            });
            if engine.state != target && engine.loading.is_none() && !is_recent {
                last_orders.insert(n, (version, self.now));
                let (engine, send_before) = (format!("e{n}"), Duration::MAX);
                orders.push(Order { engine, fence: 1, seq: 1, state: target.clone(), send_before });
            }
        }
        orders
    }

    fn inject_faults(&mut self, issuers: &mut Issuers) {
        match self.now {
            9_000 => {
                let holder = issuers.lease.map_or(0, |(holder, ..)| holder);
                issuers.paused_until[holder] = self.now + 10_000;
            }
            8_000 | 24_000 => {
                let n = self.rng.usize(0..ENGINE_COUNT);
                let engine = &mut self.engines[n];
                engine.incarnation += 1;
                engine.running_from_ms = self.now + 1_500;
                engine.loading = None;
                engine.state.models.clear();
            }
            _ => {}
        }
    }

    fn send(&mut self, order: Order) {
        self.result.stale_orders += usize::from(order.fence < self.fence);
        self.fence = self.fence.max(order.fence);
        let is_lost = self.lose_one_in.is_some_and(|n| self.rng.usize(0..n) == 0);
        if !is_lost {
            let due_at = self.now + self.rng.u64(ORDER_DELAY_MS);
            self.messages.push((due_at, Message::Order(order)));
        }
    }

    fn deliver(&mut self, issuers: &mut Issuers) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(due_at, _)| *due_at <= now).collect();
        for (_, message) in due {
            match message {
                // A paused VM makes no decisions until it continues, so it may receive reports at once.
                Message::Report(report) => issuers
                    .vms
                    .iter_mut()
                    .for_each(|vm| vm.on_report(Duration::from_millis(now), report.clone())),
                Message::Order(order) => self.apply_order(&order),
            }
        }
    }

    fn apply_order(&mut self, order: &Order) {
        let n: usize = order.engine[1..].parse().unwrap_or(0);
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count() as u64 + 1;
        let engine = &mut self.engines[n];
        let current = engine.loading.as_ref().map_or(&engine.state, |(state, _)| state);
        if self.now < engine.running_from_ms || *current == order.state {
            return;
        }
        let loaded_at = self.now + LOAD_MS * loading.max(2) / 2;
        engine.loading = Some((order.state.clone(), loaded_at));
        self.load_starts.push(self.now);
    }

    fn step_engines(&mut self) {
        let now = self.now;
        for n in 0..ENGINE_COUNT {
            let engine = &mut self.engines[n];
            if let Some((state, _)) = engine.loading.take_if(|(_, loaded_at)| *loaded_at <= now) {
                engine.state = state;
                self.result.last_load_ms = now;
            }
            if now >= engine.running_from_ms
                && (now + n as u64 * STEP_MS).is_multiple_of(REPORT_INTERVAL_MS)
            {
                engine.report_seq += 1;
                let report = Report {
                    engine: format!("e{n}"),
                    incarnation: engine.incarnation,
                    seq: engine.report_seq,
                    loading: engine.loading.is_some(),
                    state: engine.state.clone(),
                };
                let due_at = now + self.rng.u64(REPORT_DELAY_MS);
                self.messages.push((due_at, Message::Report(report)));
            }
        }
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count();
        let serving = self.engines.iter().filter(|e| {
            e.loading.is_none() && !e.state.models.is_empty() && now >= e.running_from_ms
        });
        let window = u64::try_from(self.options.store_window.as_millis()).unwrap_or(0);
        let recent_loads = self
            .load_starts
            .iter()
            .rev()
            .take_while(|started_at| **started_at + window > now)
            .count();
        let result = &mut self.result;
        result.max_loading = result.max_loading.max(loading);
        result.min_serving = result.min_serving.min(serving.count());
        result.max_loads_in_window = result.max_loads_in_window.max(recent_loads);
    }
}

fn row(measure: String, unit: &'static str, baseline: f64, value: f64, bound: Bound) -> Row {
    Row { case: "orders", measure, unit, baseline: Some(baseline), value, bound }
}

#[allow(clippy::cast_precision_loss)]
fn rollout_rows(case: Case, name: &str) -> Vec<Row> {
    let runs =
        |is_naive| SEEDS.map(|seed| Simulation::run(case, is_naive, seed)).collect::<Vec<_>>();
    let (values, naive_runs) = (runs(false), runs(true));
    let largest_of = |runs: &[RunResult], of: fn(&RunResult) -> usize| {
        runs.iter().map(of).max().unwrap_or(usize::MAX) as f64
    };
    let options = Options::default();
    let bounds = (options.loading_max as f64, options.store_loads as f64, SERVING_MIN as f64);
    let at_most = |what: &str, unit, of: fn(&RunResult) -> usize, max| {
        row(
            format!("{what}, {name}"),
            unit,
            largest_of(&naive_runs, of),
            largest_of(&values, of),
            max,
        )
    };
    let fewest_serving =
        |runs: &[RunResult]| runs.iter().map(|f| f.min_serving).min().unwrap_or(0) as f64;
    vec![
        at_most("engines loading at once", "engines", |f| f.max_loading, Bound::AtMost(bounds.0)),
        at_most("loads in a second", "loads", |f| f.max_loads_in_window, Bound::AtMost(bounds.1)),
        row(
            format!("fewest of {ENGINE_COUNT} serving, {name}"),
            "engines",
            fewest_serving(&naive_runs),
            fewest_serving(&values),
            Bound::AtLeast(bounds.2),
        ),
        at_most("orders of an old issuer", "orders", |f| f.stale_orders, Bound::AtMost(0.0)),
        at_most(
            "engines in a wrong state",
            "engines",
            |f| f.engines_off_target,
            Bound::AtMost(0.0),
        ),
        at_most(
            "time to the last load",
            "ms",
            |f| usize::try_from(f.last_load_ms - ROLLOUT_START_MS).unwrap_or(usize::MAX),
            Bound::None,
        ),
    ]
}

/// Returns the cost of moves for 128 KiB of cache per token (32 layers, 8 heads of 128 values, keys and values of 2
/// bytes), two calls with a one-way delay of 5 ms, and engines that copy 8 GB/s and prefill 8,000 tokens/s.
fn kv_cost(link_rate: f64) -> KvCost {
    KvCost {
        bytes_per_token: 131_072.0,
        setup: Duration::from_millis(20),
        export_rate: 8e9,
        link_rate,
        import_rate: 8e9,
        prefill_rate: 8_000.0,
    }
}

/// Returns the total time of the moves and recomputations that `should_move` chooses, divided by the time of the
/// faster choices. Prefixes have 100 to 32,000 tokens and links 0.3 to 12 GB/s; the actual link rates differ from the
/// estimated ones by up to `estimate_error`.
fn kv_time_ratio(estimate_error: f64, should_move: impl Fn(&KvCost, u32) -> bool) -> f64 {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut total_seconds, mut best_seconds) = (0.0, 0.0);
    for _ in 0..10_000 {
        let estimated = kv_cost(3e8 * 40_f64.powf(rng.f64()));
        let link_rate = estimated.link_rate * (1.0 + estimate_error * (2.0 * rng.f64() - 1.0));
        let actual = kv_cost(link_rate);
        let tokens = rng.u32(100..32_000);
        let times = (actual.move_time(tokens), actual.recompute_time(tokens));
        let chosen = if should_move(&estimated, tokens) { times.0 } else { times.1 };
        total_seconds += chosen.as_secs_f64();
        best_seconds += times.0.min(times.1).as_secs_f64();
    }
    total_seconds / best_seconds
}

fn kv_rows() -> Vec<Row> {
    let tokens = |name: &str, rate| Row {
        case: "kv",
        measure: format!("break-even prefix, {name}"),
        unit: "tokens",
        baseline: None,
        value: kv_cost(rate).break_even_tokens().unwrap_or(f64::INFINITY),
        bound: Bound::None,
    };
    let time_ratio = |name: &str, estimate_error, bound| Row {
        case: "kv",
        measure: format!("time against the cheaper way, {name}"),
        unit: "ratio",
        baseline: Some(kv_time_ratio(estimate_error, |_, _| true)),
        value: kv_time_ratio(estimate_error, KvCost::should_move),
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
            value: if (100..32_000).any(|tokens| kv_cost(1e9).should_move(tokens)) {
                1.0
            } else {
                0.0
            },
            bound: Bound::AtMost(0.0),
        },
        time_ratio("known links", 0.0, Bound::AtMost(1.0)),
        time_ratio("links off by up to 30 %", 0.3, Bound::None),
    ]
}

/// Returns the rows of this case.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = rollout_rows(Case::Plain, "rollout");
    rows.extend(rollout_rows(Case::Rollback, "rollback in the middle"));
    rows.extend(rollout_rows(Case::Faults, "paused issuer, crashes, lost orders"));
    rows.extend(kv_rows());
    rows
}
