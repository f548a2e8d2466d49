//! The event loop in virtual time: callers, entry VMs with delayed and lossy views, engines.

use std::{cmp::Reverse, collections::BinaryHeap, rc::Rc, time::Duration};

use fastrand::Rng;
use lw_limit::admission;
use lw_route::{CacheEvent, Candidate, Digest, Event, Fingerprint, Hedge, LoadReport, Request};

mod kv_moves;
mod messages;

use super::{
    MILLISECOND, Micros, SECOND,
    engine::{Job, SimulatedEngine},
    results::{RequestResult, RunResult},
    routing::{ROLE, RoutingDecision, RoutingPolicy, Vm, engine_id},
    seconds,
    workload::{Arrival, VM_COUNT},
};

/// Time without a token after which the VM records a stalled stream, as in the default options.
const STALL_AFTER: Micros = 150 * MILLISECOND;
/// Fraction of load reports, cache events and digests that are lost.
const MESSAGE_LOSS_FRACTION: f64 = 0.02;
/// Retries of a caller whose request was refused.
const CALLER_RETRIES_MAX: u32 = 2;
/// Most attempts of one request, with hedges and retries after a crash.
const ATTEMPTS_MAX: u32 = 3;

/// Fault that is injected during a run.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Steps of the engine take longer by the factor from now on.
    Slow(usize, f64),
    /// The engine crashes and restarts at once with an empty cache.
    Restart(usize),
    /// All routers restart without their state.
    RestartRouters,
}

/// Input of one run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Requests in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Number of engines.
    pub engines: usize,
    /// Capacity of the cache of each engine in blocks.
    pub cache_blocks: usize,
    /// How the VMs route requests.
    pub policy: RoutingPolicy,
    /// Faults with their times.
    pub faults: Vec<(Micros, Fault)>,
    /// Time between digests to peers; without it none are sent.
    pub digest_interval: Option<Micros>,
    /// One-way delay between failure domains.
    pub link_delay: Micros,
    /// One-way delay between callers and VMs.
    pub caller_link_delay: Micros,
    /// End of the run.
    pub until: Micros,
    /// Seed of delays, message losses and routing.
    pub seed: u64,
}

#[derive(Debug)]
enum SimEvent {
    /// A request reaches its entry VM.
    Arrive(usize),
    /// An attempt reaches its engine.
    ReachEngine(usize),
    /// An attempt and the number of leading blocks that are cached after the move.
    Imported(usize, usize),
    /// An engine and the epoch in which the step began.
    StepEnd(usize, u64),
    /// An attempt and its number of cached blocks.
    FirstToken(usize, usize),
    Finished(usize),
    /// The engine of an attempt crashed.
    AttemptLost(usize),
    /// A request and its number of refusals when the deadline was set.
    Deadline(usize, u32),
    /// The time at which an attempt may be hedged.
    Hedge(usize),
    Stalled(usize),
    CancelAtEngine(usize),
    /// An engine sends its load report and cache events.
    SendEngineReport(usize),
    /// Receiving VM, engine and report.
    LoadReport(usize, usize, Rc<LoadReport>),
    /// Receiving VM, engine and events.
    CacheEvents(usize, usize, Rc<Vec<CacheEvent>>),
    /// A VM sends its digests.
    DigestTick(usize),
    /// Receiving VM and digest.
    Digest(usize, Rc<Digest>),
    AdmissionDigest(usize, Rc<admission::Digest>),
    /// Index of a fault of the setup.
    Fault(usize),
}

struct Attempt {
    request: usize,
    /// Number among the attempts of the request.
    number: u32,
    vm: usize,
    engine: usize,
    is_ended: bool,
    /// Engine from which cached blocks are copied.
    import: Option<usize>,
}

struct Simulation {
    setup: Setup,
    now: Micros,
    /// Times, sequence numbers and indices into `events`.
    event_queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<SimEvent>>,
    sequence: u64,
    engines: Vec<SimulatedEngine>,
    /// Number of restarts of each engine; ends of earlier steps are ignored.
    step_epochs: Vec<u64>,
    /// Time at which the last import of each engine ends.
    import_ends: Vec<Micros>,
    vms: Vec<Vm>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    attempts_by_request: Vec<Vec<usize>>,
    rng: Rng,
    run: RunResult,
}

/// Runs the simulation until the end of the setup.
#[must_use]
pub fn run(setup: Setup) -> RunResult {
    let mut simulation = Simulation::new(setup);
    while let Some(Reverse((at, _, index))) = simulation.event_queue.pop() {
        if at > simulation.setup.until {
            break;
        }
        simulation.now = at;
        if let Some(event) = simulation.events[index].take() {
            simulation.handle(event);
        }
    }
    simulation.run.busy_seconds = simulation.engines.iter().map(|engine| engine.busy_seconds).sum();
    simulation.run
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let engines: Vec<_> =
            (0..setup.engines).map(|_| SimulatedEngine::new(setup.cache_blocks)).collect();
        let vms =
            (0..VM_COUNT).map(|n| Vm::new(&setup.policy, n, setup.engines, setup.seed)).collect();
        let mut run = RunResult { gaps_by_ms: vec![0; 2000], ..RunResult::default() };
        run.engine_seconds = super::to_f64(setup.engines) * seconds(setup.until);
        run.requests = setup.arrivals.iter().map(new_request_result).collect();
        let mut simulation = Self {
            now: 0,
            event_queue: BinaryHeap::new(),
            events: Vec::new(),
            sequence: 0,
            step_epochs: vec![0; engines.len()],
            import_ends: vec![0; engines.len()],
            engines,
            vms,
            requests: setup.arrivals.iter().enumerate().map(routed_request).collect(),
            attempts: Vec::new(),
            attempts_by_request: vec![Vec::new(); setup.arrivals.len()],
            rng: Rng::with_seed(setup.seed ^ 0xabcd),
            run,
            setup,
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for i in 0..self.setup.arrivals.len() {
            self.schedule_at(self.setup.arrivals[i].at, SimEvent::Arrive(i));
        }
        for i in 0..self.setup.faults.len() {
            self.schedule_at(self.setup.faults[i].0, SimEvent::Fault(i));
        }
        for engine in 0..self.engines.len() {
            let offset = self.rng.u64(0..messages::REPORT_INTERVAL);
            self.schedule_at(offset, SimEvent::SendEngineReport(engine));
        }
        if let Some(interval) = self.setup.digest_interval {
            for vm in 0..VM_COUNT {
                let offset = self.rng.u64(0..interval);
                self.schedule_at(offset, SimEvent::DigestTick(vm));
            }
        }
    }

    fn schedule_at(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.push(Reverse((at, self.sequence, self.events.len())));
        self.events.push(Some(event));
    }

    fn schedule_after(&mut self, delay: Micros, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.arrive(request),
            SimEvent::ReachEngine(attempt) => self.reach_engine(attempt),
            SimEvent::Imported(attempt, blocks) => self.finish_import(attempt, blocks),
            SimEvent::StepEnd(engine, epoch) => self.end_step(engine, epoch),
            SimEvent::FirstToken(attempt, cached_blocks) => {
                self.deliver_first_token(attempt, cached_blocks);
            }
            SimEvent::Finished(attempt) => self.finish_attempt(attempt),
            SimEvent::AttemptLost(attempt) => self.retry_lost_attempt(attempt),
            SimEvent::Deadline(request, refusals) => self.check_deadline(request, refusals),
            SimEvent::Hedge(attempt) => self.check_hedge(attempt),
            SimEvent::Stalled(attempt) => self.record_stall(attempt),
            SimEvent::CancelAtEngine(attempt) => {
                self.engines[self.attempts[attempt].engine].cancel(attempt);
            }
            SimEvent::SendEngineReport(engine) => self.send_engine_report(engine),
            SimEvent::LoadReport(vm, engine, report) => {
                self.record_in_router(
                    vm,
                    Event::Load { engine: &engine_id(engine), report: &report },
                );
            }
            SimEvent::CacheEvents(vm, engine, events) => {
                for &event in events.iter() {
                    if self.rng.f64() >= MESSAGE_LOSS_FRACTION {
                        self.record_in_router(
                            vm,
                            Event::Cache { engine: &engine_id(engine), event },
                        );
                    }
                }
            }
            SimEvent::DigestTick(vm) => self.send_digests(vm),
            SimEvent::Digest(vm, digest) => {
                self.record_in_router(vm, Event::PeerDigest { digest: &digest });
            }
            SimEvent::AdmissionDigest(vm, digest) => {
                let now = self.router_time();
                if let Some(admission) = &mut self.vms[vm].admission {
                    admission.on_peer_digest(now, (*digest).clone());
                }
            }
            SimEvent::Fault(fault) => self.apply_fault(self.setup.faults[fault].1),
        }
    }

    fn router_time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn record_in_router(&mut self, vm: usize, event: Event<'_>) {
        let now = self.router_time();
        if let Some(router) = &mut self.vms[vm].router {
            router.record(now, event);
        }
    }

    /// Returns a one-way delay between two VMs or engines: 200 µs within a failure domain, the setup's delay between
    /// failure domains, plus up to half of it at random.
    fn link_delay(&mut self, a: usize, b: usize) -> Micros {
        let base = if a % 3 == b % 3 { 200 } else { self.setup.link_delay };
        base + self.rng.u64(0..=base / 2)
    }

    fn arrive(&mut self, request_index: usize) {
        self.run.requests[request_index].last_arrived_at = self.now;
        let vm = self.setup.arrivals[request_index].vm;
        let now = self.router_time();
        self.requests[request_index].tried.clear();
        let request = self.record_offered(request_index);
        match self.vms[vm].route(&self.setup.policy, now, &request, &self.engines) {
            RoutingDecision::Send(engine, candidate_and_hedge) => {
                self.record_admitted(request_index);
                if matches!(
                    self.setup.policy,
                    RoutingPolicy::Router(_) | RoutingPolicy::Greedy | RoutingPolicy::HashRefusing
                ) {
                    let deadline = self.setup.arrivals[request_index].deadline;
                    self.schedule_after(
                        deadline,
                        SimEvent::Deadline(
                            request_index,
                            self.run.requests[request_index].refusal_count,
                        ),
                    );
                }
                if let Some((_, hedge_after)) = &candidate_and_hedge {
                    self.schedule_after(
                        duration_to_micros(*hedge_after),
                        SimEvent::Hedge(self.attempts.len()),
                    );
                }
                self.send(
                    request_index,
                    engine,
                    candidate_and_hedge.map(|(candidate, _)| candidate),
                );
            }
            RoutingDecision::Refuse(wait) => self.refuse(request_index, wait),
        }
    }

    fn send(&mut self, request: usize, engine: usize, candidate: Option<Candidate>) {
        let vm = self.setup.arrivals[request].vm;
        let number = self.run.requests[request].attempt_count;
        self.run.requests[request].attempt_count += 1;
        self.vms[vm].in_flight[engine] += 1;
        self.run.sent_attempts.push((self.now, engine));
        let import = candidate.as_ref().and_then(|c| c.import.as_ref());
        let import = import.map(|import| super::routing::engine_number(&import.from));
        if let Some(candidate) = candidate {
            let now = self.router_time();
            let event = Event::Sent {
                request: &self.requests[request],
                attempt: number,
                candidate: &candidate,
            };
            if let Some(router) = &mut self.vms[vm].router {
                router.record(now, event);
            }
        }
        self.attempts_by_request[request].push(self.attempts.len());
        self.attempts.push(Attempt { request, number, vm, engine, is_ended: false, import });
        let delay = self.link_delay(vm, engine);
        self.schedule_after(delay, SimEvent::ReachEngine(self.attempts.len() - 1));
    }

    fn reach_engine(&mut self, attempt: usize) {
        let Attempt { request, engine, is_ended, .. } = self.attempts[attempt];
        if !is_ended && !self.start_import(attempt) {
            self.enqueue(attempt, request, engine);
        }
    }

    fn enqueue(&mut self, attempt: usize, request: usize, engine: usize) {
        let arrival = &self.setup.arrivals[request];
        let job = Job::new(
            attempt,
            arrival.class,
            arrival.blocks.clone(),
            arrival.prompt_tokens,
            arrival.output_tokens,
        );
        self.engines[engine].enqueue(job);
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping {
            return;
        }
        let Some((time, started)) = self.engines[engine].start_step() else { return };
        let rate = self.engines[engine].prefill_rate();
        for job in started {
            let uncached = &job.blocks[job.cached_blocks.unwrap_or(0)..];
            let is_cached_elsewhere = |block: &&u64| {
                let mut others = self.engines.iter().enumerate().filter(|(e, _)| *e != engine);
                others.any(|(_, other)| other.has_block(**block))
            };
            let recomputed = uncached.iter().filter(is_cached_elsewhere).count();
            self.run.computed_blocks += uncached.len();
            self.run.wasted_seconds += super::to_f64(recomputed) * 1000.0 / rate;
        }
        if time > STALL_AFTER {
            for attempt in self.engines[engine].running() {
                let delay = self.link_delay(self.attempts[attempt].vm, engine);
                self.schedule_after(STALL_AFTER + delay, SimEvent::Stalled(attempt));
            }
        }
        self.schedule_after(time, SimEvent::StepEnd(engine, self.step_epochs[engine]));
    }

    fn end_step(&mut self, engine: usize, epoch: u64) {
        if epoch != self.step_epochs[engine] {
            return;
        }
        let step = self.engines[engine].end_step(self.now);
        for gap in step.token_gaps {
            let index =
                usize::try_from(gap / MILLISECOND).unwrap_or(0).min(self.run.gaps_by_ms.len() - 1);
            self.run.gaps_by_ms[index] += 1;
        }
        for (attempt, cached_blocks) in step.first_tokens {
            let delay = self.link_delay(self.attempts[attempt].vm, engine);
            self.schedule_after(delay, SimEvent::FirstToken(attempt, cached_blocks));
        }
        for attempt in step.finished {
            // The event must not overtake the first token of a one-token answer.
            let delay = 2 * self.setup.link_delay;
            self.schedule_after(delay, SimEvent::Finished(attempt));
        }
        self.start_step(engine);
    }

    fn deliver_first_token(&mut self, attempt: usize, cached_blocks: usize) {
        let Attempt { request, number, vm, is_ended, .. } = self.attempts[attempt];
        if is_ended {
            return;
        }
        let id = self.requests[request].id.clone();
        self.record_in_router(vm, Event::FirstToken { request: &id, attempt: number });
        let result = &mut self.run.requests[request];
        if result.first_token_at.is_none() {
            result.first_token_at = Some(self.now + self.setup.caller_link_delay);
            result.hit_blocks = cached_blocks;
        }
        for other in self.open_attempts(request) {
            if other != attempt {
                self.cancel_attempt(other);
            }
        }
    }

    fn finish_attempt(&mut self, attempt: usize) {
        let Attempt { request, number, .. } = self.attempts[attempt];
        if self.end_attempt(attempt) {
            let id = self.requests[request].id.clone();
            let vm = self.attempts[attempt].vm;
            self.record_in_router(vm, Event::Finished { request: &id, attempt: number });
            self.run.requests[request].finished_at = Some(self.now + self.setup.caller_link_delay);
        }
    }

    /// Routes a request once more after the engine of its attempt crashed, unless a token was delivered.
    fn retry_lost_attempt(&mut self, attempt: usize) {
        let Attempt { request, number, vm, engine, .. } = self.attempts[attempt];
        if !self.end_attempt(attempt) {
            return;
        }
        let id = self.requests[request].id.clone();
        self.record_in_router(vm, Event::Failed { request: &id, attempt: number });
        let result = &self.run.requests[request];
        if result.first_token_at.is_none() && result.attempt_count < ATTEMPTS_MAX {
            self.requests[request].tried.push(engine_id(engine));
            let now = self.router_time();
            let lost_request = &self.requests[request];
            if let RoutingDecision::Send(engine, candidate_and_hedge) =
                self.vms[vm].route(&self.setup.policy, now, lost_request, &self.engines)
            {
                self.send(request, engine, candidate_and_hedge.map(|(candidate, _)| candidate));
            }
        }
    }

    fn check_deadline(&mut self, request: usize, refusals: u32) {
        let result = &self.run.requests[request];
        if result.first_token_at.is_some() || result.refusal_count != refusals {
            return;
        }
        self.run.requests[request].is_cancelled = true;
        for attempt in self.open_attempts(request) {
            self.cancel_attempt(attempt);
        }
    }

    fn check_hedge(&mut self, attempt: usize) {
        let Attempt { request, number, vm, engine, is_ended, .. } = self.attempts[attempt];
        let result = &self.run.requests[request];
        if is_ended || result.first_token_at.is_some() {
            return;
        }
        let mut hedged_request = self.requests[request].clone();
        hedged_request.tried.push(engine_id(engine));
        let waited = Duration::from_micros(self.now - result.last_arrived_at);
        hedged_request.deadline = hedged_request.deadline.saturating_sub(waited);
        let now = self.router_time();
        let Some(router) = &mut self.vms[vm].router else { return };
        match router.hedge_due(now, &hedged_request, number) {
            Some(Hedge::Send(candidate)) => {
                self.run.requests[request].is_hedged = true;
                let engine = super::routing::engine_number(&candidate.engine);
                self.send(request, engine, Some(candidate));
            }
            Some(Hedge::CheckAfter(wait)) => {
                self.schedule_after(duration_to_micros(wait), SimEvent::Hedge(attempt));
            }
            None => {}
        }
    }

    fn open_attempts(&self, request: usize) -> Vec<usize> {
        let attempts = self.attempts_by_request[request].iter().copied();
        attempts.filter(|&attempt| !self.attempts[attempt].is_ended).collect()
    }

    /// Marks an attempt as ended; returns whether it was still open.
    fn end_attempt(&mut self, attempt: usize) -> bool {
        let ended_attempt = &mut self.attempts[attempt];
        if ended_attempt.is_ended {
            return false;
        }
        ended_attempt.is_ended = true;
        self.vms[ended_attempt.vm].in_flight[ended_attempt.engine] -= 1;
        true
    }

    fn cancel_attempt(&mut self, attempt: usize) {
        let Attempt { request, number, vm, engine, .. } = self.attempts[attempt];
        if self.end_attempt(attempt) {
            let id = self.requests[request].id.clone();
            self.record_in_router(vm, Event::Cancelled { request: &id, attempt: number });
            let delay = self.link_delay(vm, engine);
            self.schedule_after(delay, SimEvent::CancelAtEngine(attempt));
        }
    }
}

fn duration_to_micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX / 2).min(1000 * SECOND)
}

fn new_request_result(arrival: &Arrival) -> RequestResult {
    RequestResult {
        arrived_at: arrival.at,
        last_arrived_at: arrival.at,
        workspace: arrival.workspace,
        class: arrival.class,
        deadline: arrival.deadline,
        prompt_blocks: arrival.blocks.len(),
        prompt_tokens: arrival.prompt_tokens,
        ..RequestResult::default()
    }
}

fn routed_request((number, arrival): (usize, &Arrival)) -> Request {
    let blocks = arrival.blocks.to_vec();
    let mut request = Request {
        id: format!("r{number}"),
        role: ROLE.to_owned(),
        fingerprint: Fingerprint { salt: 0, blocks, tokens: arrival.prompt_tokens },
        class: arrival.class,
        deadline: Duration::from_micros(arrival.deadline),
        ..Request::default()
    };
    request.scope.workspace = format!("workspace-{}", arrival.workspace);
    request
}
