//! Claims for non-repeatable calls: store writes per call, added latency, refusals without the store.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use lw_claim::{
    executor::{self, CallDecision, Executor},
    message::{AttemptId, ClaimStatus, Reply, Request},
    options::Options,
    owner::{self, EventTime, Owner, StoreResult},
    record::{BodyDigest, ClaimKey, Outcome, Value},
};

use crate::summary::{Bound, Row};

const SEEDS: std::ops::Range<u64> = 1..4;
/// Length of a run in microseconds of virtual time.
const RUN_US: u64 = 20_000_000;
/// Length of the run that measures bytes: a retention and some more, so that segments are dropped.
const BYTES_RUN_US: u64 = 700_000_000;
/// The end of that run, in which bytes are counted.
const BYTES_COUNTED_US: u64 = 60_000_000;
/// Length of the baseline's runs: its 16,384 buckets are slow to walk, and its figures need no long run.
const BASELINE_RUN_US: u64 = 3_000_000;
const TICK_US: u64 = 5_000;
/// One way between VMs and to the store, as between the failure domains of the workloads.
const LINK_US: std::ops::Range<u64> = 3_000..5_000;
const SERVICE_US: std::ops::Range<u64> = 20_000..80_000;
const ANSWER_BYTES: usize = 200;

/// Calls a second at the two-year size: 2 % of 49,000 requests/s.
const TWO_YEAR_CALLS: f64 = 980.0;
/// Buckets and VMs that own them at the two-year size.
const TWO_YEAR_BUCKETS: u32 = 64;
/// Sustained calls a second that one bucket is planned for.
const BUCKET_CALLS: u64 = 15;

/// "Well under one" write per call at today's peak.
const WRITES_MAX: f64 = 0.5;
/// The store takes several hundred writes a second. Of 400, 300 may be claims; shared by 980 calls.
const TWO_YEAR_WRITES_MAX: f64 = 0.3;
/// A claim may add a fifth of the time to the first token (1.7 s).
const LATENCY_MAX_MS: f64 = 340.0;
/// A refusal without any wait for the store: two links, two ticks and some slack.
const REFUSAL_P95_MAX_MS: f64 = 50.0;
/// The first refusals, before the outage is known, leave the caller half of 1.7 s for another try.
const REFUSAL_MAX_MS: f64 = 850.0;

enum Event {
    Arrive,
    Tick,
    Request(Request),
    Reply(Reply),
    Get(u64, u32),
    Put(u64, u32, u64, Vec<u8>),
    Stored(u64, StoreResult),
    Finish(u64),
}

/// What the store does from the middle of the run on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outage {
    None,
    Refuses,
    Silent,
}

struct Sim {
    rng: fastrand::Rng,
    now: u64,
    vms: Vec<(Executor, Owner)>,
    store: BTreeMap<u32, (u64, Vec<u8>)>,
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    order: u64,
    calls_per_second: f64,
    run_us: u64,
    outage: Outage,
    begun: BTreeMap<(usize, u64), u64>,
    calls: u64,
    writes: u64,
    /// Bytes written near the end of the run.
    written_bytes: usize,
    granted_ms: Vec<f64>,
    refused_ms: Vec<f64>,
}

fn us(us: u64) -> Duration {
    Duration::from_micros(us)
}

impl Sim {
    fn run(
        options: &Options,
        vms: usize,
        calls_per_second: f64,
        (run_us, outage): (u64, Outage),
        seed: u64,
    ) -> Self {
        let name = |vm: usize| format!("vm{vm}");
        let new_vm = |vm| {
            let mut executor = Executor::new(options.clone(), name(vm), 1);
            executor.set_members((0..vms).map(|vm| (name(vm), 1)));
            (executor, Owner::new(options.clone()))
        };
        let mut sim = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            vms: (0..vms).map(new_vm).collect(),
            store: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            order: 0,
            calls_per_second,
            run_us,
            outage,
            begun: BTreeMap::new(),
            calls: 0,
            writes: 0,
            written_bytes: 0,
            granted_ms: Vec::new(),
            refused_ms: Vec::new(),
        };
        for vm in 0..vms {
            let first = sim.rng.u64(0..TICK_US);
            sim.after(first, vm, Event::Tick);
        }
        sim.after(0, 0, Event::Arrive);
        while let Some(Reverse((at, order, vm))) = sim.heap.pop() {
            if at > run_us {
                break;
            }
            sim.now = at;
            if let Some(event) = sim.events.remove(&order) {
                sim.handle(vm, event);
            }
        }
        sim
    }

    fn after(&mut self, delay: u64, vm: usize, event: Event) {
        self.order += 1;
        self.events.insert(self.order, event);
        self.heap.push(Reverse((self.now + delay, self.order, vm)));
    }

    fn over_link(&mut self, vm: usize, event: Event) {
        let delay = self.rng.u64(LINK_US);
        self.after(delay, vm, event);
    }

    fn is_out(&self) -> bool {
        self.outage != Outage::None && self.now >= self.run_us / 2
    }

    fn handle(&mut self, vm: usize, event: Event) {
        let now = us(self.now);
        let clock = EventTime { now, unix: now + Duration::from_secs(1_000_000) };
        let (executor, owner) = &mut self.vms[vm];
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick => {
                let (actions, more) = (executor.tick(now), owner.tick(clock));
                self.executor_actions(vm, actions);
                self.owner_actions(vm, more);
                self.after(TICK_US, vm, Event::Tick);
            }
            Event::Request(request) => {
                let actions = owner.on_request(clock, request);
                self.owner_actions(vm, actions);
            }
            Event::Reply(reply) => {
                let actions = executor.on_reply(now, reply);
                self.executor_actions(vm, actions);
            }
            Event::Stored(op, result) => {
                let actions = owner.on_store_result(clock, op, result);
                self.owner_actions(vm, actions);
            }
            Event::Finish(seq) => {
                let outcome = Outcome::Done { status: 201, body: vec![b'x'; ANSWER_BYTES] };
                let actions = executor.finish(now, seq, outcome);
                self.executor_actions(vm, actions);
            }
            Event::Get(op, bucket) => self.get(vm, op, bucket),
            Event::Put(op, bucket, prev, value) => self.put(vm, op, bucket, prev, value),
        }
    }

    fn arrive(&mut self) {
        let vm = self.rng.usize(0..self.vms.len());
        let key = ClaimKey::new("station", "desk", &self.order.to_string());
        let digest = BodyDigest::new("POST", "/book", b"{}");
        let (seq, actions) = self.vms[vm].0.request_claim(us(self.now), key, digest);
        self.begun.insert((vm, seq), self.now);
        self.calls += 1;
        self.executor_actions(vm, actions);
        let gap = -(1.0 - self.rng.f64()).ln() / self.calls_per_second;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.after((gap * 1e6) as u64, 0, Event::Arrive);
    }

    fn executor_actions(&mut self, vm: usize, actions: Vec<executor::Action>) {
        for action in actions {
            match action {
                executor::Action::Send(to, request) => {
                    let to = to[2..].parse().unwrap_or(0);
                    self.over_link(to, Event::Request(request));
                }
                executor::Action::Notify(seq, verdict) => {
                    let begun = self.begun.remove(&(vm, seq)).unwrap_or(self.now);
                    let waited = us(self.now - begun).as_secs_f64() * 1e3;
                    if verdict == CallDecision::Run && self.vms[vm].0.try_start(us(self.now), seq) {
                        self.granted_ms.push(waited);
                        let delay = self.rng.u64(SERVICE_US);
                        self.after(delay, vm, Event::Finish(seq));
                    } else {
                        self.refused_ms.push(waited);
                    }
                }
            }
        }
    }

    fn owner_actions(&mut self, vm: usize, actions: Vec<owner::Action>) {
        for action in actions {
            match action {
                owner::Action::Get { op, bucket } => self.over_link(vm, Event::Get(op, bucket)),
                owner::Action::Put { op, bucket, prev, value } => {
                    self.over_link(vm, Event::Put(op, bucket, prev, value));
                }
                owner::Action::Reply(reply) => {
                    let to = reply.attempt.vm[2..].parse().unwrap_or(0);
                    self.over_link(to, Event::Reply(reply));
                }
            }
        }
    }

    fn get(&mut self, vm: usize, op: u64, bucket: u32) {
        let held = self.store.get(&bucket).cloned();
        let result =
            held.map_or(StoreResult::Value(0, None), |(rev, v)| StoreResult::Value(rev, Some(v)));
        self.store_result(vm, op, result);
    }

    fn put(&mut self, vm: usize, op: u64, bucket: u32, prev: u64, value: Vec<u8>) {
        self.writes += 1;
        if self.now + BYTES_COUNTED_US > self.run_us {
            self.written_bytes += value.len();
        }
        let current = self.store.get(&bucket).map_or(0, |(revision, _)| *revision);
        let result = if current == prev && !self.is_out() {
            self.store.insert(bucket, (self.order, value));
            StoreResult::Written(self.order)
        } else {
            StoreResult::Conflict
        };
        self.store_result(vm, op, result);
    }

    fn store_result(&mut self, vm: usize, op: u64, result: StoreResult) {
        match self.outage {
            Outage::Silent if self.is_out() => {}
            Outage::Refuses if self.is_out() => {
                self.over_link(vm, Event::Stored(op, StoreResult::Failed));
            }
            _ => self.over_link(vm, Event::Stored(op, result)),
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn writes_per_call(&self) -> f64 {
        self.writes as f64 / self.calls as f64
    }
}

fn quantile(mut values: Vec<f64>, q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let index = ((values.len() as f64 * q).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(index).copied().unwrap_or(f64::INFINITY)
}

/// The worst over the seeds.
fn worst(measure: impl Fn(u64) -> f64) -> f64 {
    SEEDS.map(measure).fold(f64::NEG_INFINITY, f64::max)
}

/// One write for each claim and one for each outcome.
fn one_write_per_call() -> Options {
    Options {
        buckets: 1 << 14,
        batch_interval: Duration::ZERO,
        outcome_delay: Duration::ZERO,
        ..Options::default()
    }
}

fn row(measure: String, unit: &'static str, baseline: Option<f64>, value: f64, max: f64) -> Row {
    let bound = if max.is_finite() { Bound::AtMost(max) } else { Bound::None };
    Row { case: "claims", measure, unit, baseline, value, bound }
}

fn load_rows(vms: usize, buckets: u32, calls: f64, writes_max: f64) -> [Row; 3] {
    let options = Options { buckets, ..Options::default() };
    let figures = |options: &Options, run_us| {
        let run = |seed| Sim::run(options, vms, calls, (run_us, Outage::None), seed);
        let runs: Vec<_> = SEEDS.map(run).collect();
        let worst = |of: &dyn Fn(&Sim) -> f64| runs.iter().map(of).fold(0.0, f64::max);
        #[allow(clippy::cast_precision_loss)]
        let rate = |sim: &Sim| sim.writes as f64 / us(sim.run_us).as_secs_f64();
        let p99 = |sim: &Sim| quantile(sim.granted_ms.clone(), 0.99);
        (worst(&Sim::writes_per_call), worst(&rate), worst(&p99))
    };
    let value = figures(&options, RUN_US);
    let base = figures(&one_write_per_call(), BASELINE_RUN_US);
    let name = |what: &str| format!("{what}, {calls} calls/s, {buckets} buckets");
    let none = f64::INFINITY;
    [
        row(name("store writes per call"), "writes", Some(base.0), value.0, writes_max),
        row(name("store writes"), "writes/s", Some(base.1), value.1, none),
        row(name("added latency p99"), "ms", Some(base.2), value.2, LATENCY_MAX_MS),
    ]
}

fn outage_rows(outage: Outage, name: &str) -> [Row; 2] {
    let refused = |seed| Sim::run(&Options::default(), 8, 100.0, (RUN_US, outage), seed).refused_ms;
    let p95 = worst(|seed| quantile(refused(seed), 0.95));
    let max = worst(|seed| quantile(refused(seed), 1.0));
    [
        row(format!("refusal p95, {name}"), "ms", None, p95, REFUSAL_P95_MAX_MS),
        row(format!("refusal longest, {name}"), "ms", None, max, REFUSAL_MAX_MS),
    ]
}

/// Size of a bucket's value after a whole retention at the planned rate, with the copies of answers, if no
/// record were sealed.
fn unsealed_bytes() -> f64 {
    let options = Options::default();
    let mut value = Value::default();
    let (start, retention) = (1_000_000, options.retention.as_secs());
    let mut granted = true;
    for n in 0..retention * BUCKET_CALLS {
        let unix = Duration::from_secs(start + n / BUCKET_CALLS);
        if n % BUCKET_CALLS == 0 {
            value.expire(unix, &options);
        }
        let attempt = AttemptId { vm: "vm1".into(), incarnation: 1, seq: n };
        let key = ClaimKey::new("station", "desk", &n.to_string());
        let digest = BodyDigest::new("POST", "/book", b"{}");
        granted &= value.claim(key, digest, &attempt, unix, &options).0 == ClaimStatus::Granted;
        let outcome = Outcome::Done { status: 201, body: vec![b'x'; ANSWER_BYTES] };
        value.record(key, &attempt, &outcome, unix, &options);
    }
    #[allow(clippy::cast_precision_loss)]
    let bytes = if granted { value.encode().len() as f64 } else { f64::INFINITY };
    bytes
}

/// Bytes that one bucket writes at the planned rate after a whole retention, and what it would write if each
/// commit had all records.
#[allow(clippy::cast_precision_loss)]
fn bytes_rows() -> [Row; 2] {
    let options = Options { buckets: 1, ..Options::default() };
    let sim = Sim::run(&options, 2, BUCKET_CALLS as f64, (BYTES_RUN_US, Outage::None), 1);
    let per_second = sim.written_bytes as f64 / us(BYTES_COUNTED_US).as_secs_f64();
    let unsealed = unsealed_bytes();
    let baseline = unsealed / options.batch_interval.as_secs_f64();
    let largest = sim.store.values().map(|(_, value)| value.len()).max().unwrap_or(0) as f64;
    let name = |what: &str| format!("{what}, {BUCKET_CALLS} calls/s, 1 bucket, 700 s");
    [
        row(name("bytes written"), "bytes/s", Some(baseline), per_second, f64::INFINITY),
        // 1 MB in the store, of which base64 in JSON leaves three quarters.
        row(name("largest value"), "bytes", Some(unsealed), largest, 750_000.0),
    ]
}

/// The rows of this case.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    rows.extend(load_rows(8, 8, 20.0, f64::INFINITY));
    rows.extend(load_rows(8, 8, 100.0, WRITES_MAX));
    rows.extend(load_rows(64, TWO_YEAR_BUCKETS, TWO_YEAR_CALLS, TWO_YEAR_WRITES_MAX));
    rows.extend(outage_rows(Outage::Refuses, "store refuses"));
    rows.extend(outage_rows(Outage::Silent, "store silent"));
    rows.extend(bytes_rows());
    rows
}
