//! Simulation of several VMs, a store and a service in virtual time, with a schedule of faults.

use std::{
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use lw_claim::{
    executor::{self, CallDecision, Executor},
    message::{AttemptId, Reply, Request},
    options::Options,
    owner::{self, EventTime, Owner, StoreResult},
    record::{BodyDigest, ClaimKey, Outcome},
};

/// Points between claim, call and answer at which a VM may be killed or paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    ClaimRequested,
    PutSent,
    PutApplied,
    Granted,
    Started,
    Executed,
    Answered,
}

pub const STEPS: [Step; 7] = [
    Step::ClaimRequested,
    Step::PutSent,
    Step::PutApplied,
    Step::Granted,
    Step::Started,
    Step::Executed,
    Step::Answered,
];

/// Kind of a fault. Step faults affect the next VM that reaches the step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    KillAt(Step),
    PauseAt(Step),
    StoreRefuses,
    StoreUnresponsive,
    LostStoreReplies,
    DelayedStoreCalls,
    LostMessages,
    DelayedMessages,
    SplitViews,
    ServiceUnreachable,
    ServiceUnresponsive,
}

/// A fault that starts at `at_ms`.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at_ms: u64,
    pub duration_ms: u64,
    pub kind: FaultKind,
}

/// A call with the idempotency key number `key` and the body `body`.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub at_ms: u64,
    pub vm: usize,
    pub key: u8,
    pub body: u8,
}

#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub vms: usize,
    pub faults: Vec<Fault>,
    pub calls: Vec<Call>,
}

/// Times in milliseconds, after all faults, at which every key is called again.
const FINAL_CALLS_AT_MS: [u64; 3] = [9_000, 13_000, 17_000];
const END_MS: u64 = 19_000;

#[derive(Debug, Clone)]
enum Event {
    Arrive(Call),
    Tick,
    Request(Request),
    Reply(Reply),
    StorePut(u64, u32, u64, Vec<u8>),
    StoreGet(u64, u32),
    StoreResult(u64, StoreResult),
    Start(u64),
    Service(u64, ClaimKey),
    Finish(u64, Outcome),
    Restart,
}

struct Vm {
    executor: Executor,
    owner: Owner,
    incarnation: u64,
    is_alive: bool,
    paused_until_ms: u64,
    skew_seconds: u64,
    keys: BTreeMap<u64, ClaimKey>,
}

/// The answer to a caller and its time in milliseconds. A call that runs is answered with its outcome.
pub struct Answer {
    pub key: ClaimKey,
    pub attempt: AttemptId,
    pub decision: CallDecision,
    pub at_ms: u64,
}

pub struct Simulation {
    pub answers: Vec<Answer>,
    /// Calls that the service has run.
    pub runs: Vec<(ClaimKey, AttemptId)>,
    schedule: Schedule,
    /// Whether each step fault of the schedule has been injected.
    is_injected: Vec<bool>,
    rng: fastrand::Rng,
    now_ms: u64,
    vms: Vec<Vm>,
    store: BTreeMap<u32, (u64, Vec<u8>)>,
    /// Time in milliseconds, key in `events`, VM and incarnation (0 for any) of the queued events.
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64, usize, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event_key: u64,
}

pub fn key(n: u8) -> ClaimKey {
    ClaimKey::new("station", "desk", &n.to_string())
}

/// With odd seeds, finished records are moved to segments at once.
fn options(seed: u64) -> Options {
    let segment_bytes = if seed % 2 == 1 { 1 } else { 64_000 };
    Options { buckets: 2, segment_bytes, ..Options::default() }
}

impl Simulation {
    pub fn run(schedule: &Schedule) -> Self {
        let mut simulation = Self {
            answers: Vec::new(),
            runs: Vec::new(),
            is_injected: vec![false; schedule.faults.len()],
            rng: fastrand::Rng::with_seed(schedule.seed),
            now_ms: 0,
            vms: (0..schedule.vms).map(|vm| new_vm(schedule.seed, vm, 1)).collect(),
            store: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_key: 0,
            schedule: schedule.clone(),
        };
        for vm in 0..schedule.vms {
            simulation.schedule_at(0, vm, 0, Event::Tick);
        }
        for call in &schedule.calls {
            simulation.schedule_at(call.at_ms, call.vm % schedule.vms, 0, Event::Arrive(*call));
        }
        for (round, at_ms) in FINAL_CALLS_AT_MS.iter().enumerate() {
            for key in 0..4 {
                let vm = (round + usize::from(key)) % schedule.vms;
                simulation.schedule_at(
                    *at_ms,
                    vm,
                    0,
                    Event::Arrive(Call { at_ms: *at_ms, vm, key, body: 0 }),
                );
            }
        }
        while let Some(std::cmp::Reverse((at_ms, event_key, vm, incarnation))) =
            simulation.queue.pop()
        {
            if at_ms > END_MS {
                break;
            }
            simulation.now_ms = at_ms;
            let event = simulation.events.remove(&event_key).expect("each event is stored");
            simulation.handle(vm, incarnation, event);
        }
        simulation
    }

    fn schedule_at(&mut self, at_ms: u64, vm: usize, incarnation: u64, event: Event) {
        self.last_event_key += 1;
        self.events.insert(self.last_event_key, event);
        self.queue.push(std::cmp::Reverse((at_ms, self.last_event_key, vm, incarnation)));
    }

    fn schedule_after(&mut self, delay_ms: u64, vm: usize, event: Event) {
        let incarnation = self.vms[vm].incarnation;
        self.schedule_at(self.now_ms + delay_ms, vm, incarnation, event);
    }

    fn has_fault(&self, kind: FaultKind) -> bool {
        let is_active =
            |f: &Fault| f.kind == kind && (f.at_ms..f.at_ms + f.duration_ms).contains(&self.now_ms);
        self.schedule.faults.iter().any(is_active)
    }

    /// Kills or pauses a VM that reaches a step, if this is scheduled. Returns whether the VM was killed.
    fn reach_step(&mut self, vm: usize, step: Step) -> bool {
        for i in 0..self.is_injected.len() {
            let Fault { at_ms, duration_ms, kind } = self.schedule.faults[i];
            if self.is_injected[i]
                || self.now_ms < at_ms
                || self.now_ms >= FINAL_CALLS_AT_MS[0] - 3_000
            {
                continue;
            }
            if kind == FaultKind::PauseAt(step) {
                self.is_injected[i] = true;
                self.vms[vm].paused_until_ms = self.now_ms + duration_ms;
            } else if kind == FaultKind::KillAt(step) {
                self.is_injected[i] = true;
                self.vms[vm].is_alive = false;
                self.schedule_at(self.now_ms + duration_ms, vm, 0, Event::Restart);
                return true;
            }
        }
        false
    }

    fn handle(&mut self, vm: usize, incarnation: u64, event: Event) {
        match event {
            Event::StoreGet(op, bucket) => return self.store_get(vm, incarnation, op, bucket),
            Event::StorePut(op, bucket, prev, value) => {
                return self.store_put(vm, incarnation, op, bucket, prev, value);
            }
            Event::Service(seq, key) => return self.run_at_service(vm, incarnation, seq, key),
            Event::Restart => {
                self.vms[vm] = new_vm(self.schedule.seed, vm, self.vms[vm].incarnation + 1);
                return self.schedule_at(self.now_ms, vm, 0, Event::Tick);
            }
            _ => {}
        }
        let state = &self.vms[vm];
        if !state.is_alive || (incarnation != 0 && incarnation != state.incarnation) {
            return;
        }
        if state.paused_until_ms > self.now_ms {
            return self.schedule_at(state.paused_until_ms, vm, incarnation, event);
        }
        let now = Duration::from_millis(self.now_ms);
        let event_time =
            EventTime { now, unix: now + Duration::from_secs(1_000_000 + state.skew_seconds) };
        let state = &mut self.vms[vm];
        match event {
            Event::Arrive(call) => {
                let digest = BodyDigest::new("POST", "/book", &[call.body]);
                let (seq, actions) = state.executor.request_claim(now, key(call.key), digest);
                state.keys.insert(seq, key(call.key));
                self.perform_executor_actions(vm, actions);
                self.reach_step(vm, Step::ClaimRequested);
            }
            Event::Tick => {
                self.update_members(vm);
                let state = &mut self.vms[vm];
                let (actions, owner_actions) =
                    (state.executor.tick(now), state.owner.tick(event_time));
                self.perform_executor_actions(vm, actions);
                self.perform_owner_actions(vm, owner_actions);
                self.schedule_after(10, vm, Event::Tick);
            }
            Event::Request(request) => {
                let actions = state.owner.on_request(event_time, request);
                self.perform_owner_actions(vm, actions);
            }
            Event::StoreResult(op, result) => {
                let actions = state.owner.on_store_result(event_time, op, result);
                self.perform_owner_actions(vm, actions);
            }
            Event::Reply(reply) => {
                let actions = state.executor.on_reply(now, reply);
                self.perform_executor_actions(vm, actions);
            }
            Event::Start(seq) => {
                if state.executor.try_start(now, seq) {
                    if !self.reach_step(vm, Step::Started) {
                        let key = self.vms[vm].keys[&seq];
                        self.schedule_after(1, vm, Event::Service(seq, key));
                    }
                } else {
                    self.record_answer(vm, seq, CallDecision::NotRun);
                }
            }
            Event::Finish(seq, outcome) => {
                let decision = match &outcome {
                    Outcome::Done { status, body } => {
                        CallDecision::Replay { status: *status, body: Some(body.clone()) }
                    }
                    Outcome::NotRun => CallDecision::NotRun,
                    Outcome::Unknown => CallDecision::Unknown,
                };
                let actions = state.executor.finish(now, seq, outcome);
                if actions.is_empty() {
                    return; // The timeout of a call that was already answered.
                }
                self.record_answer(vm, seq, decision);
                if !self.reach_step(vm, Step::Answered) {
                    self.perform_executor_actions(vm, actions);
                }
            }
            _ => {}
        }
    }

    fn update_members(&mut self, vm: usize) {
        let is_split = self.has_fault(FaultKind::SplitViews);
        let members: Vec<_> = (0..self.vms.len())
            .filter(|other| if is_split { *other == vm } else { self.vms[*other].is_alive })
            .map(|other| (format!("vm{other}"), self.vms[other].incarnation))
            .collect();
        self.vms[vm].executor.set_members(members);
    }

    fn message_delay(&mut self) -> Option<u64> {
        if self.has_fault(FaultKind::LostMessages) && self.rng.bool() {
            return None;
        }
        let is_delayed = self.has_fault(FaultKind::DelayedMessages) && self.rng.bool();
        Some(if is_delayed { self.rng.u64(0..2_500) } else { self.rng.u64(1..6) })
    }

    fn perform_executor_actions(&mut self, vm: usize, actions: Vec<executor::Action>) {
        for action in actions {
            match action {
                executor::Action::Send(to, request) => {
                    let to = to[2..].parse().expect("names are vmN");
                    if let Some(delay) = self.message_delay() {
                        self.schedule_at(self.now_ms + delay, to, 0, Event::Request(request));
                    }
                }
                executor::Action::Notify(seq, CallDecision::Run) => {
                    if !self.reach_step(vm, Step::Granted) {
                        self.schedule_after(1, vm, Event::Start(seq));
                    }
                }
                executor::Action::Notify(seq, decision) => self.record_answer(vm, seq, decision),
            }
        }
    }

    fn perform_owner_actions(&mut self, vm: usize, actions: Vec<owner::Action>) {
        for action in actions {
            match action {
                owner::Action::Get { op, bucket } => {
                    let delay = self.store_delay();
                    self.schedule_after(delay, vm, Event::StoreGet(op, bucket));
                }
                owner::Action::Put { op, bucket, prev, value } => {
                    let delay = self.store_delay();
                    self.schedule_after(delay, vm, Event::StorePut(op, bucket, prev, value));
                    self.reach_step(vm, Step::PutSent);
                }
                owner::Action::Reply(reply) => {
                    let to = reply.attempt.vm[2..].parse().expect("names are vmN");
                    if let Some(delay) = self.message_delay() {
                        self.schedule_at(self.now_ms + delay, to, 0, Event::Reply(reply));
                    }
                }
            }
        }
    }

    fn store_delay(&mut self) -> u64 {
        let is_delayed = self.has_fault(FaultKind::DelayedStoreCalls) && self.rng.bool();
        if is_delayed { self.rng.u64(0..1_500) } else { self.rng.u64(1..4) }
    }

    fn store_result(&mut self, vm: usize, incarnation: u64, op: u64, result: StoreResult) {
        if self.has_fault(FaultKind::LostStoreReplies) && self.rng.bool() {
            return;
        }
        let delay = self.store_delay();
        self.schedule_at(self.now_ms + delay, vm, incarnation, Event::StoreResult(op, result));
    }

    /// Returns whether the store is unavailable, and sends the refusal if it refuses calls.
    fn refuse_store_call(&mut self, vm: usize, incarnation: u64, op: u64) -> bool {
        if self.has_fault(FaultKind::StoreRefuses) {
            self.store_result(vm, incarnation, op, StoreResult::Failed);
            return true;
        }
        self.has_fault(FaultKind::StoreUnresponsive)
    }

    fn store_get(&mut self, vm: usize, incarnation: u64, op: u64, bucket: u32) {
        if !self.refuse_store_call(vm, incarnation, op) {
            let stored = self.store.get(&bucket).cloned();
            let result = stored.map_or(StoreResult::Value(0, None), |(revision, value)| {
                StoreResult::Value(revision, Some(value))
            });
            self.store_result(vm, incarnation, op, result);
        }
    }

    fn store_put(
        &mut self,
        vm: usize,
        incarnation: u64,
        op: u64,
        bucket: u32,
        prev: u64,
        value: Vec<u8>,
    ) {
        if self.refuse_store_call(vm, incarnation, op) {
            return;
        }
        let current = self.store.get(&bucket).map_or(0, |(revision, _)| *revision);
        if current != prev {
            return self.store_result(vm, incarnation, op, StoreResult::Conflict);
        }
        // Event keys only grow, so the latest one is a new revision.
        let revision = self.last_event_key;
        self.store.insert(bucket, (revision, value));
        self.store_result(vm, incarnation, op, StoreResult::Written(revision));
        self.reach_step(vm, Step::PutApplied);
    }

    fn run_at_service(&mut self, vm: usize, incarnation: u64, seq: u64, key: ClaimKey) {
        if self.has_fault(FaultKind::ServiceUnreachable) {
            return self.schedule_at(
                self.now_ms + 1,
                vm,
                incarnation,
                Event::Finish(seq, Outcome::NotRun),
            );
        }
        let attempt = AttemptId { vm: format!("vm{vm}"), incarnation, seq };
        self.runs.push((key, attempt));
        self.reach_step(vm, Step::Executed);
        let body = vec![7; self.rng.usize(0..600)];
        if !self.has_fault(FaultKind::ServiceUnresponsive) {
            let delay = self.rng.u64(5..400);
            let outcome = Outcome::Done { status: 201, body };
            self.schedule_at(self.now_ms + delay, vm, incarnation, Event::Finish(seq, outcome));
        }
        self.schedule_at(
            self.now_ms + 1_000,
            vm,
            incarnation,
            Event::Finish(seq, Outcome::Unknown),
        );
    }

    fn record_answer(&mut self, vm: usize, seq: u64, decision: CallDecision) {
        let state = &self.vms[vm];
        let attempt = AttemptId { vm: format!("vm{vm}"), incarnation: state.incarnation, seq };
        self.answers.push(Answer { key: state.keys[&seq], attempt, decision, at_ms: self.now_ms });
    }

    /// Returns the answers to the last round of calls, after all faults.
    pub fn last_round(&self) -> impl Iterator<Item = &Answer> {
        self.answers.iter().filter(|answer| answer.at_ms >= FINAL_CALLS_AT_MS[2])
    }
}

fn new_vm(seed: u64, vm: usize, incarnation: u64) -> Vm {
    Vm {
        executor: Executor::new(options(seed), format!("vm{vm}"), incarnation),
        owner: Owner::new(options(seed)),
        incarnation,
        is_alive: true,
        paused_until_ms: 0,
        // The Unix clocks of VMs differ.
        skew_seconds: vm as u64 * 7,
        keys: BTreeMap::new(),
    }
}
