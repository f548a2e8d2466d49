//! A fleet in virtual time whose engines name limits, count what arrives and check the rule.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use fastrand::Rng;
use lw_catalog::{Stage, Upstream};
use lw_limit::upstream::{Evidence, FleetSize, Origin, Turn};
use lw_place::{
    CacheScope, Ended, Fleet, LimitReport, Placement, PlacementRequest, Refusal, TurnRequest,
    UpstreamPool,
};
use lw_standin::hosted::limit::{Excess, LimitHistory};

/// Time after which a named limit must be kept, and for which a trouble excuses its VM: the shortest of the deployments.
pub const CONTACT: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(100);
/// Lifetime of a VM's registration after its last renewal.
const LEASE: Duration = Duration::from_secs(4);
const CALLER_DEADLINE: Duration = Duration::from_secs(3);
/// Retries of a caller after a refusal.
const CALLER_RETRIES: u32 = 1;
const TARGET_LATENCY: Duration = Duration::from_millis(500);
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// What a run plays.
#[derive(Debug, Clone)]
pub struct Options {
    pub seed: u64,
    pub vms: usize,
    pub engines: usize,
    /// Engines that name limits.
    pub limited: usize,
    /// Requests a second of all callers.
    pub rate: f64,
    /// Fraction of the requests that reach three of the VMs only.
    pub uneven: f64,
    /// Fraction of the messages between VMs that are lost.
    pub loss: f64,
    /// Fraction of the requests that are delayed by up to a second on their way to an engine.
    pub delayed: f64,
    /// VMs that start, leave, freeze or are cut off, each second.
    pub troubles: f64,
    /// Whether each half of the VMs hears nothing from the other half.
    pub is_split: bool,
    pub limits: Limits,
    pub time: Duration,
}

/// How limits change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limits {
    /// They stay at this value.
    Steady(f64),
    /// They fall, rise, flap and end.
    Changing,
}

impl Options {
    pub fn new(seed: u64, vms: usize) -> Self {
        let engines = 4 + vms / 6;
        Self {
            seed,
            vms,
            engines,
            limited: engines / 3,
            rate: 12.0 * f64::from(u32::try_from(engines).unwrap()),
            uneven: 0.0,
            loss: 0.0,
            delayed: 0.0,
            troubles: 0.0,
            is_split: false,
            limits: Limits::Steady(3.8),
            time: Duration::from_secs(40),
        }
    }
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    pub excess: Vec<(usize, Excess)>,
    /// Fraction of the limits that was used while they were steady.
    pub used: f64,
    pub requests: usize,
    pub served: usize,
    /// Requests that were refused and not served later.
    pub refused: usize,
    /// Requests that were sent to an engine before their target latency was exceeded.
    pub in_time: usize,
}

#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    /// A caller's request, with its first arrival and the number of its attempt at the fleet.
    Request {
        vm: usize,
        call: Call,
    },
    Turn {
        vm: usize,
        run: u64,
        request: Pending,
        turn: Turn,
    },
    Arrival {
        vm: usize,
        run: u64,
        engine: usize,
        sent: Duration,
        attempt: u64,
    },
    Answer {
        vm: usize,
        run: u64,
        engine: usize,
        sent: Duration,
        attempt: u64,
        limit: Option<f64>,
    },
    Message {
        vm: usize,
        run: u64,
        reports: Vec<Wire>,
    },
    AskForTurn {
        from: usize,
        request: TurnRequest,
    },
    Lend {
        vm: usize,
        run: u64,
        request: TurnRequest,
    },
    AskLimits(usize, u64),
    Register(usize, bool),
    View(usize, u64, Vec<usize>),
    Limit(usize, Option<f64>),
    Trouble,
    Start(usize),
    Heal(usize),
}

/// A caller's request.
#[derive(Debug, Clone, Copy)]
struct Call {
    since: Duration,
    hash: u64,
    retries_left: u32,
}

#[derive(Debug, Clone)]
struct Pending {
    call: Call,
    placement: Box<Placement>,
}

/// A report in a message: ages instead of times.
#[derive(Debug, Clone)]
struct Wire {
    upstream: String,
    limit: Option<f64>,
    sent_age: Duration,
    received_age: Duration,
}

struct Vm {
    pool: UpstreamPool,
    fleet: FleetSize,
    view: Vec<usize>,
    /// Increments at each start, so that events of a former run are ignored.
    run: u64,
    is_up: bool,
    frozen_until: Duration,
    is_cut: bool,
    /// When its view was last known to be current.
    current_at: Duration,
    /// When its last trouble ended, or `None` while it lasts.
    calm_since: Option<Duration>,
}

struct Engine {
    upstream: Arc<Upstream>,
    limit: Option<f64>,
    history: LimitHistory,
    /// When requests arrived from VMs without a trouble in the last [`CONTACT`], and those from any VM.
    counted: Vec<Duration>,
    arrived: Vec<Duration>,
}

pub struct Simulation {
    options: Options,
    rng: Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: BTreeMap<u64, Event>,
    next_event: u64,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    registered: Vec<usize>,
    outcome: Outcome,
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl Simulation {
    pub fn run(options: &Options) -> Outcome {
        let mut simulation = Self::new(options);
        simulation.schedule_limits();
        for vm in 0..options.vms {
            let at = simulation.delay(0.0, 0.1);
            simulation.schedule(at, Event::Tick(vm));
        }
        simulation.schedule_arrivals();
        if options.troubles > 0.0 {
            simulation.schedule(seconds(3.0), Event::Trouble);
        }
        while let Some(Reverse((at, number))) = simulation.events.pop() {
            if at > options.time {
                break;
            }
            simulation.now = at;
            if let Some(event) = simulation.pending.remove(&number) {
                simulation.handle(event);
            }
        }
        simulation.finish()
    }

    fn new(options: &Options) -> Self {
        let engine = |n: usize| Engine {
            upstream: Arc::new(Upstream {
                id: format!("engine-{n}"),
                incarnation: 1,
                service: "s".into(),
                addr: "10.0.0.1:1".parse().unwrap(),
                failure_domain: DOMAINS[n % DOMAINS.len()].into(),
                stage: Stage::Ready,
                slots: 8,
                software: "v1".into(),
                models: Vec::new(),
            }),
            limit: None,
            history: LimitHistory::default(),
            counted: Vec::new(),
            arrived: Vec::new(),
        };
        let mut simulation = Self {
            options: options.clone(),
            rng: Rng::with_seed(options.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            vms: Vec::new(),
            engines: (0..options.engines).map(engine).collect(),
            registered: (0..options.vms).collect(),
            outcome: Outcome::default(),
        };
        for vm in 0..options.vms {
            let vm = Vm {
                pool: simulation.new_pool(vm),
                fleet: FleetSize::default(),
                view: simulation.registered.clone(),
                run: 0,
                is_up: true,
                frozen_until: Duration::ZERO,
                is_cut: false,
                current_at: Duration::ZERO,
                calm_since: Some(Duration::ZERO),
            };
            simulation.vms.push(vm);
        }
        simulation
    }

    fn new_pool(&self, vm: usize) -> UpstreamPool {
        let mut pool = UpstreamPool::new(domain(vm).into());
        for engine in &self.engines {
            pool.put(&engine.upstream);
        }
        pool
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.pending.insert(self.next_event, event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    fn delay(&mut self, from: f64, to: f64) -> Duration {
        seconds(from + (to - from) * self.rng.f64())
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        seconds(-mean * (1.0 - self.rng.f64()).ln())
    }

    fn schedule_limits(&mut self) {
        let limited = self.options.limited;
        match self.options.limits {
            Limits::Steady(limit) => {
                (0..limited)
                    .for_each(|n| self.schedule(seconds(2.0), Event::Limit(n, Some(limit))));
            }
            Limits::Changing => (0..limited).for_each(|n| {
                let mut at = self.delay(1.0, 4.0);
                while at < self.options.time {
                    let limit = match self.rng.u32(0..10) {
                        0..3 => None,
                        3 => Some(0.0),
                        4..8 => Some(1.0 + 6.0 * self.rng.f64()),
                        _ => Some(40.0 * self.rng.f64()),
                    };
                    self.schedule(at, Event::Limit(n, limit));
                    // Some limits last only for moments.
                    let lasts = if self.rng.u32(0..4) == 0 { 0.3 } else { 9.0 };
                    at += self.delay(lasts / 2.0, lasts * 1.5);
                }
            }),
        }
    }

    fn schedule_arrivals(&mut self) {
        let mut at = Duration::ZERO;
        while at < self.options.time {
            at += self.exponential(1.0 / self.options.rate);
            let hash = self.rng.u64(..);
            let vm = self.caller_vm();
            let call = Call { since: at, hash, retries_left: CALLER_RETRIES };
            self.schedule(at, Event::Request { vm, call });
        }
    }

    /// Returns the VM that a caller's connection reaches.
    fn caller_vm(&mut self) -> usize {
        let is_uneven = self.rng.f64() < self.options.uneven;
        let vms = if is_uneven { self.options.vms.min(3) } else { self.options.vms };
        self.rng.usize(0..vms)
    }

    fn handle(&mut self, event: Event) {
        if let Some(vm) = event.vm()
            && self.vms[vm].frozen_until > self.now
        {
            let at = self.vms[vm].frozen_until;
            return self.schedule(at, event);
        }
        match event {
            Event::Tick(vm) => self.tick(vm),
            Event::Request { vm, call } => self.on_request(vm, call),
            Event::Turn { vm, run, request, turn } => self.on_turn(vm, run, &request, turn),
            Event::Arrival { vm, run, engine, sent, attempt } => {
                self.on_arrival(vm, run, engine, sent, attempt);
            }
            Event::Answer { vm, run, engine, sent, attempt, limit } => {
                if self.vms[vm].is_up && self.vms[vm].run == run {
                    let id = self.engines[engine].upstream.id.clone();
                    let evidence = Evidence { limit, sent_at: sent, received_at: self.now };
                    let report = LimitReport { upstream: id.clone(), incarnation: 1, evidence };
                    let pool = &mut self.vms[vm].pool;
                    pool.observe_limit(self.now, &report, Origin::Own);
                    pool.record_ended(self.now, &id, attempt, Ended::Complete);
                }
            }
            Event::Message { vm, run, reports } => {
                if self.vms[vm].is_up && self.vms[vm].run == run {
                    for wire in reports {
                        let before = |age| self.now.saturating_sub(age);
                        let sent_at = before(wire.sent_age + Duration::from_millis(500));
                        let received_at = before(wire.received_age);
                        let evidence = Evidence { limit: wire.limit, sent_at, received_at };
                        let report =
                            LimitReport { upstream: wire.upstream, incarnation: 1, evidence };
                        self.vms[vm].pool.observe_limit(self.now, &report, Origin::Other);
                    }
                }
            }
            Event::AskForTurn { from, request } => {
                let lender: usize = request.lender.strip_prefix("vm-").unwrap().parse().unwrap();
                let (now, state) = (self.now, &mut self.vms[lender]);
                let is_away = !state.is_up || state.frozen_until > now;
                if !is_away && state.pool.lend_turn(now, &request.upstream, 1) {
                    let run = self.vms[from].run;
                    self.deliver(lender, from, Event::Lend { vm: from, run, request });
                }
            }
            Event::Lend { vm, run, request } => {
                if self.vms[vm].is_up && self.vms[vm].run == run {
                    let (now, pool) = (self.now, &mut self.vms[vm].pool);
                    pool.accept_turn(now, &request.upstream, 1, request.nonce);
                }
            }
            Event::AskLimits(vm, run) => {
                if self.vms[vm].run == run {
                    for _ in 0..4 {
                        let other = self.rng.usize(0..self.options.vms);
                        if self.vms[other].is_up && self.vms[other].frozen_until <= self.now {
                            let reports = self.vms[other].pool.known_limits();
                            self.send(other, vm, &reports);
                        }
                    }
                }
            }
            Event::Register(vm, is_registered) => self.register(vm, is_registered),
            Event::View(vm, run, view) => {
                let vm = &mut self.vms[vm];
                if vm.is_up && vm.run == run && !vm.is_cut {
                    vm.view = view;
                }
            }
            Event::Limit(engine, limit) => {
                self.engines[engine].limit = limit;
                let now = self.now;
                self.engines[engine].history.set(now, limit);
            }
            Event::Trouble => self.cause_trouble(),
            Event::Start(vm) => self.start(vm),
            Event::Heal(vm) => {
                self.vms[vm].is_cut = false;
                self.vms[vm].calm_since = Some(self.now);
                let delay = self.delay(0.05, 1.0);
                self.after(delay, Event::Register(vm, true));
            }
        }
    }

    fn tick(&mut self, vm: usize) {
        let jitter = self.delay(0.0, 0.005);
        self.after(TICK + jitter, Event::Tick(vm));
        let now = self.now;
        if !self.vms[vm].is_up {
            return;
        }
        if !self.vms[vm].is_cut {
            self.vms[vm].current_at = now;
        }
        let names: Vec<String> = self.vms[vm].view.iter().map(|n| name(*n)).collect();
        let view: Vec<(&str, &str)> =
            names.iter().zip(&self.vms[vm].view).map(|(id, n)| (id.as_str(), domain(*n))).collect();
        let own = name(vm);
        let state = &mut self.vms[vm];
        let fleet = Fleet {
            own: &own,
            size: state.fleet.record(now, view.len()),
            vms: &view,
            is_stale: now > state.current_at + LEASE,
        };
        let reports = state.pool.update_limits(now, &fleet);
        let seed = self.rng.u64(..);
        for request in state.pool.turn_requests(now, &fleet, seed) {
            let to = request.lender.strip_prefix("vm-").unwrap().parse().unwrap();
            self.deliver(vm, to, Event::AskForTurn { from: vm, request });
        }
        for other in 0..self.options.vms {
            if other != vm {
                self.send(vm, other, &reports);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, reports: &[LimitReport]) {
        if reports.is_empty() {
            return;
        }
        let wire = |report: &LimitReport| Wire {
            upstream: report.upstream.clone(),
            limit: report.evidence.limit,
            sent_age: self.now.saturating_sub(report.evidence.sent_at),
            received_age: self.now.saturating_sub(report.evidence.received_at),
        };
        let reports = reports.iter().map(wire).collect();
        let run = self.vms[to].run;
        self.deliver(from, to, Event::Message { vm: to, run, reports });
    }

    /// Delivers a message between VMs, unless it is lost.
    fn deliver(&mut self, from: usize, to: usize, event: Event) {
        let is_between_halves = self.options.is_split && from % 2 != to % 2;
        let is_lost = is_between_halves || self.rng.f64() < self.options.loss;
        if is_lost || self.vms[from].is_cut || self.vms[to].is_cut {
            return;
        }
        let slow = self.options.loss > 0.0 && self.rng.u32(0..20) == 0;
        let delay = self.delay(0.001, if slow { 0.8 } else { 0.02 });
        self.after(delay, event);
    }

    fn on_request(&mut self, vm: usize, call: Call) {
        let Call { since, hash, retries_left } = call;
        if since == self.now {
            self.outcome.requests += 1;
        }
        if !self.vms[vm].is_up {
            let vm = self.caller_vm();
            if self.now < since + CALLER_DEADLINE {
                self.after(Duration::from_millis(20), Event::Request { vm, call });
            }
            return;
        }
        let time_left = (since + CALLER_DEADLINE).saturating_sub(self.now);
        let request = PlacementRequest {
            prompt: None,
            cache_scope: &CacheScope::Shared { isolated_set: 0 },
            request_hash: hash,
            tried: &[],
            software: None,
            has_begun: false,
            returns_to: None,
            peers: self.options.vms - 1,
            time_left,
            time_to_target: (since + TARGET_LATENCY).saturating_sub(self.now),
            max_wait: Duration::from_secs(2),
            stale_weights_time: Duration::from_secs(10),
            suspended: Duration::ZERO,
        };
        let now = self.now;
        let pool = &mut self.vms[vm].pool;
        match pool.place(now, &request) {
            Ok(placement) => {
                let request = Pending { call, placement: Box::new(placement) };
                let id = request.placement.upstream.id.clone();
                match self.vms[vm].pool.reserve_turn(now, &id) {
                    Some(turn) => {
                        let run = self.vms[vm].run;
                        let late = self.delay(0.0, 0.002);
                        self.schedule(turn.at + late, Event::Turn { vm, run, request, turn });
                    }
                    None => self.send_request(vm, &request),
                }
            }
            Err(Refusal::Limited(time)) => {
                // The caller comes back, at another VM, within a third of its time.
                pool.record_unserved(now);
                let vm = self.caller_vm();
                if retries_left > 0 && time < time_left / 3 {
                    let call = Call { retries_left: retries_left - 1, ..call };
                    self.after(time, Event::Request { vm, call });
                } else {
                    self.outcome.refused += 1;
                }
            }
            Err(other) => panic!("unexpected refusal: {other}"),
        }
    }

    fn on_turn(&mut self, vm: usize, run: u64, request: &Pending, turn: Turn) {
        if !self.vms[vm].is_up || self.vms[vm].run != run {
            return;
        }
        let id = &request.placement.upstream.id;
        if self.vms[vm].pool.may_send_in_turn(self.now, id, turn) {
            self.send_request(vm, request);
        } else if self.now < request.call.since + CALLER_DEADLINE {
            self.on_request(vm, request.call);
        } else {
            self.outcome.refused += 1;
        }
    }

    fn send_request(&mut self, vm: usize, request: &Pending) {
        let now = self.now;
        let placement = &request.placement;
        let (attempt, _) = self.vms[vm].pool.record_sent(now, placement, None);
        self.outcome.served += 1;
        self.outcome.in_time += usize::from(now < request.call.since + TARGET_LATENCY);
        let engine = placement.upstream.id.strip_prefix("engine-").unwrap().parse().unwrap();
        let is_delayed = self.rng.f64() < self.options.delayed;
        let delay = self.delay(0.001, if is_delayed { 1.0 } else { 0.006 });
        let run = self.vms[vm].run;
        self.after(delay, Event::Arrival { vm, run, engine, sent: now, attempt });
    }

    fn on_arrival(&mut self, vm: usize, run: u64, engine: usize, sent: Duration, attempt: u64) {
        let now = self.now;
        let is_calm = self.vms[vm]
            .calm_since
            .is_some_and(|since| since.is_zero() || now.saturating_sub(since) > CONTACT);
        let state = &mut self.engines[engine];
        state.arrived.push(now);
        if is_calm && self.vms[vm].run == run {
            state.counted.push(now);
        }
        // Some answers name the limit when the request arrives, others when it ends.
        let service_time = self.exponential(0.12);
        let limit = self.engines[engine].limit;
        let back = service_time + self.delay(0.001, 0.006);
        self.after(back, Event::Answer { vm, run, engine, sent, attempt, limit });
    }

    fn cause_trouble(&mut self) {
        let pause = self.exponential(1.0 / self.options.troubles);
        self.after(pause, Event::Trouble);
        let vm = self.rng.usize(0..self.options.vms);
        if self.vms[vm].calm_since.is_none() {
            return;
        }
        let lasts = self.delay(0.2, 7.0);
        match self.rng.u32(0..4) {
            // A planned end: the VM removes its registration.
            0 => {
                self.stop(vm, lasts);
                self.register(vm, false);
            }
            1 => {
                self.stop(vm, lasts);
                self.after(LEASE, Event::Register(vm, false));
            }
            2 => {
                self.vms[vm].calm_since = None;
                self.vms[vm].frozen_until = self.now + lasts;
                if lasts > LEASE {
                    self.after(LEASE, Event::Register(vm, false));
                }
                self.after(lasts, Event::Heal(vm));
            }
            _ => {
                // Cut off from the other VMs and the store, but not from the engines.
                self.vms[vm].calm_since = None;
                self.vms[vm].is_cut = true;
                if lasts > LEASE {
                    self.after(LEASE, Event::Register(vm, false));
                }
                self.after(lasts, Event::Heal(vm));
            }
        }
    }

    fn stop(&mut self, vm: usize, lasts: Duration) {
        self.vms[vm].is_up = false;
        self.vms[vm].calm_since = None;
        self.vms[vm].run += 1;
        self.after(lasts, Event::Start(vm));
    }

    fn start(&mut self, vm: usize) {
        let pool = self.new_pool(vm);
        let (now, registered) = (self.now, self.registered.clone());
        let state = &mut self.vms[vm];
        state.pool = pool;
        state.fleet = FleetSize::default();
        state.view = registered;
        state.is_up = true;
        state.current_at = now;
        state.calm_since = Some(now);
        let run = state.run;
        for n in 0..5 {
            self.after(Duration::from_millis(20 + 400 * n), Event::AskLimits(vm, run));
        }
        self.after(Duration::from_millis(50), Event::Register(vm, true));
    }

    /// Changes the registration of a VM; the others see it after different times.
    fn register(&mut self, vm: usize, is_registered: bool) {
        let is_alive = self.vms[vm].is_up && !self.vms[vm].is_cut;
        let is_frozen = self.vms[vm].frozen_until > self.now;
        if is_registered != (is_alive && !is_frozen) {
            return;
        }
        self.registered.retain(|other| *other != vm);
        if is_registered {
            self.registered.push(vm);
        }
        for other in 0..self.options.vms {
            let view = self.registered.clone();
            let (run, delay) = (self.vms[other].run, self.delay(0.01, 0.3));
            self.after(delay, Event::View(other, run, view));
        }
    }

    fn finish(mut self) -> Outcome {
        let end = self.options.time;
        let mut used = Vec::new();
        for (n, engine) in self.engines.iter().enumerate() {
            if let Some(excess) = engine.history.first_excess(&engine.counted, CONTACT) {
                self.outcome.excess.push((n, excess));
            }
            // The time until the limit is known everywhere does not count.
            let from = seconds(8.0);
            used.extend(engine.history.used(&engine.arrived, from, end, CONTACT));
        }
        let count = f64::from(u32::try_from(used.len().max(1)).unwrap());
        self.outcome.used = used.iter().sum::<f64>() / count;
        self.outcome
    }
}

impl Event {
    /// Returns the VM that handles the event.
    fn vm(&self) -> Option<usize> {
        match self {
            Self::Tick(vm)
            | Self::Request { vm, .. }
            | Self::Turn { vm, .. }
            | Self::Answer { vm, .. }
            | Self::Message { vm, .. }
            | Self::Lend { vm, .. }
            | Self::AskLimits(vm, _)
            | Self::View(vm, ..) => Some(*vm),
            _ => None,
        }
    }
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn domain(vm: usize) -> &'static str {
    DOMAINS[vm % DOMAINS.len()]
}
