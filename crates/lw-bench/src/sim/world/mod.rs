//! The event loop in virtual time: callers, entry VMs with delayed and lossy views, engines.

use std::{cmp::Reverse, collections::BinaryHeap, rc::Rc, time::Duration};

use fastrand::Rng;
use lw_limit::admission;
use lw_route::{CacheEvent, Candidate, Digest, Event, Fingerprint, Hedge, LoadReport, Request};

mod feeds;
mod kv;

use super::{
    MILLI, Micros, SECOND,
    engine::{EngineFake, Job},
    outcome::{Run, Served},
    policy::{Pick, Policy, ROLE, Vm, engine_id},
    seconds,
    workload::{Arrival, VMS},
};

/// Silence of a stream after which its VM records a stall, as in the default options.
const STALL_AFTER: Micros = 150 * MILLI;
/// Part of reports, cache events and digests that is lost.
const LOSS: f64 = 0.02;
/// Times a refused caller comes back.
const CALLER_RETRIES: u32 = 2;
/// Attempts of one request that failed or were hedged, together.
const ATTEMPTS_MAX: u32 = 3;

/// A fault at a time.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The engine's steps take this many times longer.
    Slow(usize, f64),
    /// The engine crashes and is back with an empty cache.
    Restart(usize),
    /// All routers restart and know nothing.
    RestartRouters,
}

/// One run's input.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Number of engines.
    pub engines: usize,
    /// Blocks that an engine's cache holds.
    pub cache_blocks: usize,
    /// What the VMs run.
    pub policy: Policy,
    /// Faults in order of time.
    pub faults: Vec<(Micros, Fault)>,
    /// Time between digests to peers; `None` sends none.
    pub digest_every: Option<Micros>,
    /// One-way delay between failure domains.
    pub link: Micros,
    /// One-way delay between callers and VMs.
    pub client_link: Micros,
    /// End of the run.
    pub until: Micros,
    /// Seed of delays, losses and policies.
    pub seed: u64,
}

#[derive(Debug)]
enum Ev {
    Arrive(usize),
    AtEngine(usize),
    Imported(usize, usize),
    StepEnd(usize, u64),
    First(usize, usize),
    Finished(usize),
    Lost(usize),
    Deadline(usize, u32),
    Hedge(usize),
    Stalled(usize),
    CancelAtEngine(usize),
    Poll(usize),
    Report(usize, usize, Rc<LoadReport>),
    Cache(usize, usize, Rc<Vec<CacheEvent>>),
    DigestTick(usize),
    Digest(usize, Rc<Digest>),
    Shares(usize, Rc<admission::Digest>),
    Fault(usize),
}

struct Attempt {
    request: usize,
    number: u32,
    vm: usize,
    engine: usize,
    ended: bool,
    /// Engine to import from.
    import: Option<usize>,
}

struct World {
    setup: Setup,
    now: Micros,
    heap: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Ev>>,
    order: u64,
    engines: Vec<EngineFake>,
    epochs: Vec<u64>,
    /// When the last move to each engine ends.
    moving_until: Vec<Micros>,
    vms: Vec<Vm>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    attempts_of: Vec<Vec<usize>>,
    rng: Rng,
    run: Run,
}

/// Runs one setup.
#[must_use]
pub fn run(setup: Setup) -> Run {
    let mut world = World::new(setup);
    while let Some(Reverse((at, _, slot))) = world.heap.pop() {
        if at > world.setup.until {
            break;
        }
        world.now = at;
        if let Some(event) = world.events[slot].take() {
            world.handle(event);
        }
    }
    world.run.busy = world.engines.iter().map(|engine| engine.busy).sum();
    world.run
}

impl World {
    fn new(setup: Setup) -> Self {
        let engines: Vec<_> =
            (0..setup.engines).map(|_| EngineFake::new(setup.cache_blocks)).collect();
        let vms = (0..VMS).map(|n| Vm::new(&setup.policy, n, setup.engines, setup.seed)).collect();
        let mut run = Run { gaps: vec![0; 2000], ..Run::default() };
        run.engine_seconds = super::count(setup.engines) * seconds(setup.until);
        run.served = setup.arrivals.iter().map(served).collect();
        let mut world = Self {
            now: 0,
            heap: BinaryHeap::new(),
            events: Vec::new(),
            order: 0,
            epochs: vec![0; engines.len()],
            moving_until: vec![0; engines.len()],
            engines,
            vms,
            requests: setup.arrivals.iter().enumerate().map(request).collect(),
            attempts: Vec::new(),
            attempts_of: vec![Vec::new(); setup.arrivals.len()],
            rng: Rng::with_seed(setup.seed ^ 0xabcd),
            run,
            setup,
        };
        world.seed_events();
        world
    }

    fn seed_events(&mut self) {
        for i in 0..self.setup.arrivals.len() {
            self.at(self.setup.arrivals[i].at, Ev::Arrive(i));
        }
        for i in 0..self.setup.faults.len() {
            self.at(self.setup.faults[i].0, Ev::Fault(i));
        }
        for engine in 0..self.engines.len() {
            let offset = self.rng.u64(0..feeds::REPORT_EVERY);
            self.at(offset, Ev::Poll(engine));
        }
        if let Some(every) = self.setup.digest_every {
            for vm in 0..VMS {
                let offset = self.rng.u64(0..every);
                self.at(offset, Ev::DigestTick(vm));
            }
        }
    }

    fn at(&mut self, at: Micros, event: Ev) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, self.events.len())));
        self.events.push(Some(event));
    }

    fn after(&mut self, delay: Micros, event: Ev) {
        self.at(self.now + delay, event);
    }

    fn handle(&mut self, event: Ev) {
        match event {
            Ev::Arrive(request) => self.arrive(request),
            Ev::AtEngine(attempt) => self.at_engine(attempt),
            Ev::Imported(attempt, blocks) => self.imported(attempt, blocks),
            Ev::StepEnd(engine, epoch) => self.step_end(engine, epoch),
            Ev::First(attempt, hits) => self.first(attempt, hits),
            Ev::Finished(attempt) => self.finished(attempt),
            Ev::Lost(attempt) => self.lost(attempt),
            Ev::Deadline(request, tried) => self.deadline(request, tried),
            Ev::Hedge(attempt) => self.hedge(attempt),
            Ev::Stalled(attempt) => self.stalled(attempt),
            Ev::CancelAtEngine(attempt) => {
                self.engines[self.attempts[attempt].engine].cancel(attempt);
            }
            Ev::Poll(engine) => self.poll(engine),
            Ev::Report(vm, engine, report) => {
                self.record(vm, Event::Load { engine: &engine_id(engine), report: &report });
            }
            Ev::Cache(vm, engine, events) => {
                for &event in events.iter() {
                    if self.rng.f64() >= LOSS {
                        self.record(vm, Event::Cache { engine: &engine_id(engine), event });
                    }
                }
            }
            Ev::DigestTick(vm) => self.digest(vm),
            Ev::Digest(vm, digest) => self.record(vm, Event::PeerDigest { digest: &digest }),
            Ev::Shares(vm, digest) => {
                let now = self.time();
                if let Some(admission) = &mut self.vms[vm].admission {
                    admission.on_peer_digest(now, (*digest).clone());
                }
            }
            Ev::Fault(fault) => self.fault(self.setup.faults[fault].1),
        }
    }

    fn time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn record(&mut self, vm: usize, event: Event<'_>) {
        let now = self.time();
        if let Some(router) = &mut self.vms[vm].router {
            router.record(now, event);
        }
    }

    /// One-way delay between two places, by failure domain, with jitter.
    fn delay(&mut self, a: usize, b: usize) -> Micros {
        let base = if a % 3 == b % 3 { 200 } else { self.setup.link };
        base + self.rng.u64(0..=base / 2)
    }

    fn arrive(&mut self, number: usize) {
        self.run.served[number].try_at = self.now;
        let vm = self.setup.arrivals[number].vm;
        let now = self.time();
        self.requests[number].tried.clear();
        let request = self.offered(number);
        match self.vms[vm].pick(&self.setup.policy, now, &request, &self.engines) {
            Pick::Send(engine, choice) => {
                self.admitted(number);
                if matches!(
                    self.setup.policy,
                    Policy::Router(_) | Policy::Greedy | Policy::HashRefusing
                ) {
                    let deadline = self.setup.arrivals[number].deadline;
                    self.after(deadline, Ev::Deadline(number, self.run.served[number].refused));
                }
                if let Some((_, hedge_after)) = &choice {
                    self.after(micros(*hedge_after), Ev::Hedge(self.attempts.len()));
                }
                self.send(number, engine, choice.map(|(candidate, _)| candidate));
            }
            Pick::Refuse(wait) => self.refuse(number, wait),
        }
    }

    fn send(&mut self, request: usize, engine: usize, candidate: Option<Candidate>) {
        let vm = self.setup.arrivals[request].vm;
        let number = self.run.served[request].attempts;
        self.run.served[request].attempts += 1;
        self.vms[vm].in_flight[engine] += 1;
        self.run.sent.push((self.now, engine));
        let import = candidate.as_ref().and_then(|c| c.import.as_ref());
        let import = import.map(|import| super::policy::engine_number(&import.from));
        if let Some(candidate) = candidate {
            let now = self.time();
            let event = Event::Sent {
                request: &self.requests[request],
                attempt: number,
                candidate: &candidate,
            };
            if let Some(router) = &mut self.vms[vm].router {
                router.record(now, event);
            }
        }
        self.attempts_of[request].push(self.attempts.len());
        self.attempts.push(Attempt { request, number, vm, engine, ended: false, import });
        let delay = self.delay(vm, engine);
        self.after(delay, Ev::AtEngine(self.attempts.len() - 1));
    }

    fn at_engine(&mut self, attempt: usize) {
        let Attempt { request, engine, ended, .. } = self.attempts[attempt];
        if !ended && !self.start_import(attempt) {
            self.enqueue(attempt, request, engine);
        }
    }

    fn enqueue(&mut self, attempt: usize, request: usize, engine: usize) {
        let arrival = &self.setup.arrivals[request];
        let job = Job::new(
            attempt,
            arrival.class,
            arrival.blocks.clone(),
            arrival.prompt,
            arrival.output,
        );
        self.engines[engine].enqueue(job);
        self.kick(engine);
    }

    fn kick(&mut self, engine: usize) {
        if self.engines[engine].is_stepping {
            return;
        }
        let Some((time, started)) = self.engines[engine].start_step() else { return };
        let rate = self.engines[engine].prefill_rate();
        for job in started {
            let uncached = &job.blocks[job.cached.unwrap_or(0)..];
            let held_elsewhere = |block: &&u64| {
                let mut others = self.engines.iter().enumerate().filter(|(e, _)| *e != engine);
                others.any(|(_, other)| other.holds(**block))
            };
            let again = uncached.iter().filter(held_elsewhere).count();
            self.run.computed_blocks += uncached.len();
            self.run.wasted += super::count(again) * 1000.0 / rate;
        }
        if time > STALL_AFTER {
            for attempt in self.engines[engine].running() {
                let delay = self.delay(self.attempts[attempt].vm, engine);
                self.after(STALL_AFTER + delay, Ev::Stalled(attempt));
            }
        }
        self.after(time, Ev::StepEnd(engine, self.epochs[engine]));
    }

    fn step_end(&mut self, engine: usize, epoch: u64) {
        if epoch != self.epochs[engine] {
            return;
        }
        let end = self.engines[engine].end_step(self.now);
        for gap in end.gaps {
            let slot = usize::try_from(gap / MILLI).unwrap_or(0).min(self.run.gaps.len() - 1);
            self.run.gaps[slot] += 1;
        }
        for (attempt, hits) in end.first {
            let delay = self.delay(self.attempts[attempt].vm, engine);
            self.after(delay, Ev::First(attempt, hits));
        }
        for attempt in end.finished {
            // A finished event must not overtake the first token of a one-token answer.
            let delay = 2 * self.setup.link;
            self.after(delay, Ev::Finished(attempt));
        }
        self.kick(engine);
    }

    fn first(&mut self, attempt: usize, hits: usize) {
        let Attempt { request, number, vm, ended, .. } = self.attempts[attempt];
        if ended {
            return;
        }
        let id = self.requests[request].id.clone();
        self.record(vm, Event::FirstToken { request: &id, attempt: number });
        let served = &mut self.run.served[request];
        if served.first.is_none() {
            served.first = Some(self.now + self.setup.client_link);
            served.hits = hits;
        }
        for other in self.open_attempts(request) {
            if other != attempt {
                self.cancel(other);
            }
        }
    }

    fn finished(&mut self, attempt: usize) {
        let Attempt { request, number, .. } = self.attempts[attempt];
        if self.end(attempt) {
            let id = self.requests[request].id.clone();
            let vm = self.attempts[attempt].vm;
            self.record(vm, Event::Finished { request: &id, attempt: number });
            self.run.served[request].finished = Some(self.now + self.setup.client_link);
        }
    }

    /// An engine crashed with the attempt; it is tried again elsewhere if no token was delivered.
    fn lost(&mut self, attempt: usize) {
        let Attempt { request, number, vm, engine, .. } = self.attempts[attempt];
        if !self.end(attempt) {
            return;
        }
        let id = self.requests[request].id.clone();
        self.record(vm, Event::Failed { request: &id, attempt: number });
        let served = &self.run.served[request];
        if served.first.is_none() && served.attempts < ATTEMPTS_MAX {
            self.requests[request].tried.push(engine_id(engine));
            let now = self.time();
            let wanted = &self.requests[request];
            if let Pick::Send(engine, choice) =
                self.vms[vm].pick(&self.setup.policy, now, wanted, &self.engines)
            {
                self.send(request, engine, choice.map(|(candidate, _)| candidate));
            }
        }
    }

    fn deadline(&mut self, request: usize, refused: u32) {
        let served = &self.run.served[request];
        if served.first.is_some() || served.refused != refused {
            return;
        }
        self.run.served[request].cancelled = true;
        for attempt in self.open_attempts(request) {
            self.cancel(attempt);
        }
    }

    fn hedge(&mut self, attempt: usize) {
        let Attempt { request, number, vm, engine, ended, .. } = self.attempts[attempt];
        let served = &self.run.served[request];
        if ended || served.first.is_some() {
            return;
        }
        let mut wanted = self.requests[request].clone();
        wanted.tried.push(engine_id(engine));
        let passed = Duration::from_micros(self.now - served.try_at);
        wanted.deadline = wanted.deadline.saturating_sub(passed);
        let now = self.time();
        let Some(router) = &mut self.vms[vm].router else { return };
        match router.hedge_due(now, &wanted, number) {
            Some(Hedge::Send(candidate)) => {
                self.run.served[request].hedged = true;
                let engine = super::policy::engine_number(&candidate.engine);
                self.send(request, engine, Some(candidate));
            }
            Some(Hedge::CheckAfter(wait)) => self.after(micros(wait), Ev::Hedge(attempt)),
            None => {}
        }
    }

    fn open_attempts(&self, request: usize) -> Vec<usize> {
        let all = self.attempts_of[request].iter().copied();
        all.filter(|&attempt| !self.attempts[attempt].ended).collect()
    }

    fn end(&mut self, attempt: usize) -> bool {
        let entry = &mut self.attempts[attempt];
        if entry.ended {
            return false;
        }
        entry.ended = true;
        self.vms[entry.vm].in_flight[entry.engine] -= 1;
        true
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt { request, number, vm, engine, .. } = self.attempts[attempt];
        if self.end(attempt) {
            let id = self.requests[request].id.clone();
            self.record(vm, Event::Cancelled { request: &id, attempt: number });
            let delay = self.delay(vm, engine);
            self.after(delay, Ev::CancelAtEngine(attempt));
        }
    }
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX / 2).min(1000 * SECOND)
}

fn served(arrival: &Arrival) -> Served {
    Served {
        at: arrival.at,
        try_at: arrival.at,
        workspace: arrival.workspace,
        class: arrival.class,
        deadline: arrival.deadline,
        blocks: arrival.blocks.len(),
        prompt: arrival.prompt,
        ..Served::default()
    }
}

fn request((number, arrival): (usize, &Arrival)) -> Request {
    let blocks = arrival.blocks.to_vec();
    let mut request = Request {
        id: format!("r{number}"),
        role: ROLE.to_owned(),
        fingerprint: Fingerprint { salt: 0, blocks, tokens: arrival.prompt },
        class: arrival.class,
        deadline: Duration::from_micros(arrival.deadline),
        ..Request::default()
    };
    request.scope.workspace = format!("workspace-{}", arrival.workspace);
    request
}
