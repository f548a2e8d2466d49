//! Claims for non-repeatable calls: store writes per call, added latency, and refusals while the store is down.

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
/// Virtual time of a run.
const RUN_US: u64 = 20_000_000;
/// Virtual time of the run that measures bytes: more than the retention, so that segments are dropped.
const BYTES_RUN_US: u64 = 700_000_000;
/// Time at the end of that run in which written bytes are counted.
const BYTES_WINDOW_US: u64 = 60_000_000;
/// Virtual time of the baseline's runs; its 16,384 buckets take long to simulate, and a short run suffices.
const BASELINE_RUN_US: u64 = 3_000_000;
const TICK_US: u64 = 5_000;
/// One-way delay between VMs and to the store, as between failure domains.
const LINK_DELAY_US: std::ops::Range<u64> = 3_000..5_000;
const CALL_TIME_US: std::ops::Range<u64> = 20_000..80_000;
const RESPONSE_BYTES: usize = 200;

/// Load of the installation in two years: 2 % of 49,000 requests/s.
const TWO_YEAR_CALLS_PER_SECOND: f64 = 980.0;
/// Number of buckets in two years, and of the VMs that own them.
const TWO_YEAR_BUCKETS: u32 = 64;
/// Sustained load for which one bucket is designed.
const BUCKET_CALLS_PER_SECOND: u64 = 15;

/// Target at today's peak: well under one write per call.
const WRITES_PER_CALL_MAX: f64 = 0.5;
/// The store accepts about 400 writes/s, of which claims may use 300, for 980 calls/s.
const TWO_YEAR_WRITES_PER_CALL_MAX: f64 = 0.3;
/// A claim may take a fifth of the time to the first token, which is 1.7 s.
const ADDED_LATENCY_MAX_MS: f64 = 340.0;
/// A refusal that does not wait for the store takes two link delays and two ticks; the bound leaves some margin.
const REFUSAL_P95_MAX_MS: f64 = 50.0;
/// Refusals before the outage is detected must leave the caller half of 1.7 s for a retry.
const REFUSAL_MAX_MS: f64 = 850.0;

enum Event {
    Arrive,
    Tick,
    Request(Request),
    Reply(Reply),
    /// Operation and bucket of a read that reaches the store.
    Get(u64, u32),
    /// Operation, bucket, expected revision and value of a write that reaches the store.
    Put(u64, u32, u64, Vec<u8>),
    /// Operation and result that reach the owner.
    Stored(u64, StoreResult),
    /// Sequence number of a call that ends.
    Finish(u64),
}

/// Behaviour of the store from the middle of the run on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outage {
    None,
    /// Each call fails.
    Refusing,
    /// No call gets a reply.
    NoReply,
}

struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    vms: Vec<(Executor, Owner)>,
    /// Revision and value by bucket.
    store: BTreeMap<u32, (u64, Vec<u8>)>,
    /// Time, sequence number and VM of each event.
    event_queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    calls_per_second: f64,
    run_us: u64,
    outage: Outage,
    /// Time of the request for each claim, by VM and sequence number of the call.
    requested_at: BTreeMap<(usize, u64), u64>,
    calls: u64,
    writes: u64,
    /// Bytes written in the last [`BYTES_WINDOW_US`].
    written_bytes: usize,
    granted_ms: Vec<f64>,
    refused_ms: Vec<f64>,
}

fn micros(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

impl Simulation {
    fn run(
        options: &Options,
        vms: usize,
        calls_per_second: f64,
        (run_us, outage): (u64, Outage),
        seed: u64,
    ) -> Self {
        let vm_name = |vm: usize| format!("vm{vm}");
        let new_vm = |vm| {
            let mut executor = Executor::new(options.clone(), vm_name(vm), 1);
            executor.set_members((0..vms).map(|vm| (vm_name(vm), 1)));
            (executor, Owner::new(options.clone()))
        };
        let mut simulation = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            vms: (0..vms).map(new_vm).collect(),
            store: BTreeMap::new(),
            event_queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            calls_per_second,
            run_us,
            outage,
            requested_at: BTreeMap::new(),
            calls: 0,
            writes: 0,
            written_bytes: 0,
            granted_ms: Vec::new(),
            refused_ms: Vec::new(),
        };
        for vm in 0..vms {
            let first_tick = simulation.rng.u64(0..TICK_US);
            simulation.schedule(first_tick, vm, Event::Tick);
        }
        simulation.schedule(0, 0, Event::Arrive);
        while let Some(Reverse((at, sequence, vm))) = simulation.event_queue.pop() {
            if at > run_us {
                break;
            }
            simulation.now = at;
            if let Some(event) = simulation.events.remove(&sequence) {
                simulation.handle(vm, event);
            }
        }
        simulation
    }

    fn schedule(&mut self, delay: u64, vm: usize, event: Event) {
        self.sequence += 1;
        self.events.insert(self.sequence, event);
        self.event_queue.push(Reverse((self.now + delay, self.sequence, vm)));
    }

    fn schedule_over_link(&mut self, vm: usize, event: Event) {
        let delay = self.rng.u64(LINK_DELAY_US);
        self.schedule(delay, vm, event);
    }

    fn is_outage(&self) -> bool {
        self.outage != Outage::None && self.now >= self.run_us / 2
    }

    fn handle(&mut self, vm: usize, event: Event) {
        let now = micros(self.now);
        let time = EventTime { now, unix: now + Duration::from_secs(1_000_000) };
        let (executor, owner) = &mut self.vms[vm];
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick => {
                let (actions, owner_actions) = (executor.tick(now), owner.tick(time));
                self.perform_executor_actions(vm, actions);
                self.perform_owner_actions(vm, owner_actions);
                self.schedule(TICK_US, vm, Event::Tick);
            }
            Event::Request(request) => {
                let actions = owner.on_request(time, request);
                self.perform_owner_actions(vm, actions);
            }
            Event::Reply(reply) => {
                let actions = executor.on_reply(now, reply);
                self.perform_executor_actions(vm, actions);
            }
            Event::Stored(op, result) => {
                let actions = owner.on_store_result(time, op, result);
                self.perform_owner_actions(vm, actions);
            }
            Event::Finish(seq) => {
                let outcome = Outcome::Done { status: 201, body: vec![b'x'; RESPONSE_BYTES] };
                let actions = executor.finish(now, seq, outcome);
                self.perform_executor_actions(vm, actions);
            }
            Event::Get(op, bucket) => self.read_bucket(vm, op, bucket),
            Event::Put(op, bucket, prev, value) => self.write_bucket(vm, op, bucket, prev, value),
        }
    }

    fn arrive(&mut self) {
        let vm = self.rng.usize(0..self.vms.len());
        let key = ClaimKey::new("station", "desk", &self.sequence.to_string());
        let digest = BodyDigest::new("POST", "/book", b"{}");
        let (seq, actions) = self.vms[vm].0.request_claim(micros(self.now), key, digest);
        self.requested_at.insert((vm, seq), self.now);
        self.calls += 1;
        self.perform_executor_actions(vm, actions);
        let gap_seconds = -(1.0 - self.rng.f64()).ln() / self.calls_per_second;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.schedule((gap_seconds * 1e6) as u64, 0, Event::Arrive);
    }

    fn perform_executor_actions(&mut self, vm: usize, actions: Vec<executor::Action>) {
        for action in actions {
            match action {
                executor::Action::Send(to, request) => {
                    let to = to[2..].parse().unwrap_or(0);
                    self.schedule_over_link(to, Event::Request(request));
                }
                executor::Action::Notify(seq, decision) => {
                    let requested_at = self.requested_at.remove(&(vm, seq)).unwrap_or(self.now);
                    let waited_ms = micros(self.now - requested_at).as_secs_f64() * 1e3;
                    if decision == CallDecision::Run
                        && self.vms[vm].0.try_start(micros(self.now), seq)
                    {
                        self.granted_ms.push(waited_ms);
                        let delay = self.rng.u64(CALL_TIME_US);
                        self.schedule(delay, vm, Event::Finish(seq));
                    } else {
                        self.refused_ms.push(waited_ms);
                    }
                }
            }
        }
    }

    fn perform_owner_actions(&mut self, vm: usize, actions: Vec<owner::Action>) {
        for action in actions {
            match action {
                owner::Action::Get { op, bucket } => {
                    self.schedule_over_link(vm, Event::Get(op, bucket));
                }
                owner::Action::Put { op, bucket, prev, value } => {
                    self.schedule_over_link(vm, Event::Put(op, bucket, prev, value));
                }
                owner::Action::Reply(reply) => {
                    let to = reply.attempt.vm[2..].parse().unwrap_or(0);
                    self.schedule_over_link(to, Event::Reply(reply));
                }
            }
        }
    }

    fn read_bucket(&mut self, vm: usize, op: u64, bucket: u32) {
        let stored = self.store.get(&bucket).cloned();
        let result =
            stored.map_or(StoreResult::Value(0, None), |(rev, v)| StoreResult::Value(rev, Some(v)));
        self.reply_to_store_call(vm, op, result);
    }

    fn write_bucket(&mut self, vm: usize, op: u64, bucket: u32, prev: u64, value: Vec<u8>) {
        self.writes += 1;
        if self.now + BYTES_WINDOW_US > self.run_us {
            self.written_bytes += value.len();
        }
        let current = self.store.get(&bucket).map_or(0, |(revision, _)| *revision);
        let result = if current == prev && !self.is_outage() {
            self.store.insert(bucket, (self.sequence, value));
            StoreResult::Written(self.sequence)
        } else {
            StoreResult::Conflict
        };
        self.reply_to_store_call(vm, op, result);
    }

    fn reply_to_store_call(&mut self, vm: usize, op: u64, result: StoreResult) {
        match self.outage {
            Outage::NoReply if self.is_outage() => {}
            Outage::Refusing if self.is_outage() => {
                self.schedule_over_link(vm, Event::Stored(op, StoreResult::Failed));
            }
            _ => self.schedule_over_link(vm, Event::Stored(op, result)),
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

/// Returns the largest value over the seeds.
fn worst_seed(measure: impl Fn(u64) -> f64) -> f64 {
    SEEDS.map(measure).fold(f64::NEG_INFINITY, f64::max)
}

/// Returns the options of the baseline: one write for each claim and one for each outcome.
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
    let measure = |options: &Options, run_us| {
        let run = |seed| Simulation::run(options, vms, calls, (run_us, Outage::None), seed);
        let runs: Vec<_> = SEEDS.map(run).collect();
        let worst_run = |of: &dyn Fn(&Simulation) -> f64| runs.iter().map(of).fold(0.0, f64::max);
        #[allow(clippy::cast_precision_loss)]
        let rate = |simulation: &Simulation| {
            simulation.writes as f64 / micros(simulation.run_us).as_secs_f64()
        };
        let p99 = |simulation: &Simulation| quantile(simulation.granted_ms.clone(), 0.99);
        (worst_run(&Simulation::writes_per_call), worst_run(&rate), worst_run(&p99))
    };
    let value = measure(&options, RUN_US);
    let baseline = measure(&one_write_per_call(), BASELINE_RUN_US);
    let measure_name = |what: &str| format!("{what}, {calls} calls/s, {buckets} buckets");
    let no_bound = f64::INFINITY;
    [
        row(measure_name("store writes per call"), "writes", Some(baseline.0), value.0, writes_max),
        row(measure_name("store writes"), "writes/s", Some(baseline.1), value.1, no_bound),
        row(
            measure_name("added latency p99"),
            "ms",
            Some(baseline.2),
            value.2,
            ADDED_LATENCY_MAX_MS,
        ),
    ]
}

fn outage_rows(outage: Outage, outage_name: &str) -> [Row; 2] {
    let refused_ms =
        |seed| Simulation::run(&Options::default(), 8, 100.0, (RUN_US, outage), seed).refused_ms;
    let p95 = worst_seed(|seed| quantile(refused_ms(seed), 0.95));
    let max = worst_seed(|seed| quantile(refused_ms(seed), 1.0));
    [
        row(format!("refusal p95, {outage_name}"), "ms", None, p95, REFUSAL_P95_MAX_MS),
        row(format!("refusal longest, {outage_name}"), "ms", None, max, REFUSAL_MAX_MS),
    ]
}

/// Returns the size of a bucket's value with all records and answers of the retention time at the designed load, as it
/// would be without sealed segments.
fn unsealed_bytes() -> f64 {
    let options = Options::default();
    let mut value = Value::default();
    let (start, retention) = (1_000_000, options.retention.as_secs());
    let mut all_granted = true;
    for n in 0..retention * BUCKET_CALLS_PER_SECOND {
        let unix = Duration::from_secs(start + n / BUCKET_CALLS_PER_SECOND);
        if n % BUCKET_CALLS_PER_SECOND == 0 {
            value.expire(unix, &options);
        }
        let attempt = AttemptId { vm: "vm1".into(), incarnation: 1, seq: n };
        let key = ClaimKey::new("station", "desk", &n.to_string());
        let digest = BodyDigest::new("POST", "/book", b"{}");
        all_granted &= value.claim(key, digest, &attempt, unix, &options).0 == ClaimStatus::Granted;
        let outcome = Outcome::Done { status: 201, body: vec![b'x'; RESPONSE_BYTES] };
        value.record(key, &attempt, &outcome, unix, &options);
    }
    #[allow(clippy::cast_precision_loss)]
    let bytes = if all_granted { value.encode().len() as f64 } else { f64::INFINITY };
    bytes
}

/// Measures the bytes that one bucket writes at the designed load after the retention time. The baseline writes all
/// records with each commit.
#[allow(clippy::cast_precision_loss)]
fn bytes_rows() -> [Row; 2] {
    let options = Options { buckets: 1, ..Options::default() };
    let simulation = Simulation::run(
        &options,
        2,
        BUCKET_CALLS_PER_SECOND as f64,
        (BYTES_RUN_US, Outage::None),
        1,
    );
    let per_second = simulation.written_bytes as f64 / micros(BYTES_WINDOW_US).as_secs_f64();
    let unsealed = unsealed_bytes();
    let baseline = unsealed / options.batch_interval.as_secs_f64();
    let largest = simulation.store.values().map(|(_, value)| value.len()).max().unwrap_or(0) as f64;
    let measure_name =
        |what: &str| format!("{what}, {BUCKET_CALLS_PER_SECOND} calls/s, 1 bucket, 700 s");
    [
        row(measure_name("bytes written"), "bytes/s", Some(baseline), per_second, f64::INFINITY),
        // The store accepts 1 MB; base64 in JSON leaves three quarters of it.
        row(measure_name("largest value"), "bytes", Some(unsealed), largest, 750_000.0),
    ]
}

/// Returns the rows of this case.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    rows.extend(load_rows(8, 8, 20.0, f64::INFINITY));
    rows.extend(load_rows(8, 8, 100.0, WRITES_PER_CALL_MAX));
    rows.extend(load_rows(
        64,
        TWO_YEAR_BUCKETS,
        TWO_YEAR_CALLS_PER_SECOND,
        TWO_YEAR_WRITES_PER_CALL_MAX,
    ));
    rows.extend(outage_rows(Outage::Refusing, "store refuses"));
    rows.extend(outage_rows(Outage::NoReply, "store silent"));
    rows.extend(bytes_rows());
    rows
}
