//! Several VMs, a store and a service in virtual time, with a schedule of faults.

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
    Asked,
    PutSent,
    PutApplied,
    Granted,
    Started,
    Ran,
    Answered,
}

pub const STEPS: [Step; 7] = [
    Step::Asked,
    Step::PutSent,
    Step::PutApplied,
    Step::Granted,
    Step::Started,
    Step::Ran,
    Step::Answered,
];

/// A fault that lasts `ms` from `at`; step faults hit the next VM that gets to the step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    KillAt(Step),
    PauseAt(Step),
    StoreRefuses,
    StoreSilent,
    LostStoreReplies,
    LateStoreCalls,
    LostMessages,
    LateMessages,
    SplitViews,
    ServiceUnreachable,
    ServiceSilent,
}

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at: u64,
    pub ms: u64,
    pub kind: Kind,
}

#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub at: u64,
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

/// Time at which the faults are over and every key is asked for again, several times.
const PROBES_AT: [u64; 3] = [9_000, 13_000, 17_000];
const END: u64 = 19_000;

#[derive(Debug, Clone)]
enum Event {
    Begin(Call),
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
    alive: bool,
    paused_until: u64,
    skew: u64,
    keys: BTreeMap<u64, ClaimKey>,
}

/// What a caller was told: key, attempt, verdict ("run" is followed by the outcome), time.
pub struct Told {
    pub key: ClaimKey,
    pub attempt: AttemptId,
    pub verdict: CallDecision,
    pub at: u64,
}

pub struct World {
    pub told: Vec<Told>,
    /// The service's log of runs.
    pub runs: Vec<(ClaimKey, AttemptId)>,
    schedule: Schedule,
    used: Vec<bool>,
    rng: fastrand::Rng,
    now: u64,
    vms: Vec<Vm>,
    store: BTreeMap<u32, (u64, Vec<u8>)>,
    /// Time, order, VM, incarnation (0 for any), index of the event.
    heap: BinaryHeap<std::cmp::Reverse<(u64, u64, usize, u64)>>,
    events: BTreeMap<u64, Event>,
    order: u64,
}

pub fn key(n: u8) -> ClaimKey {
    ClaimKey::new("station", "desk", &n.to_string())
}

/// With odd seeds, finished records are sealed at once.
fn options(seed: u64) -> Options {
    let segment_bytes = if seed % 2 == 1 { 1 } else { 64_000 };
    Options { buckets: 2, segment_bytes, ..Options::default() }
}

impl World {
    pub fn run(schedule: &Schedule) -> Self {
        let mut world = Self {
            told: Vec::new(),
            runs: Vec::new(),
            used: vec![false; schedule.faults.len()],
            rng: fastrand::Rng::with_seed(schedule.seed),
            now: 0,
            vms: (0..schedule.vms).map(|vm| new_vm(schedule.seed, vm, 1)).collect(),
            store: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            order: 0,
            schedule: schedule.clone(),
        };
        for vm in 0..schedule.vms {
            world.at(0, vm, 0, Event::Tick);
        }
        for call in &schedule.calls {
            world.at(call.at, call.vm % schedule.vms, 0, Event::Begin(*call));
        }
        for (round, at) in PROBES_AT.iter().enumerate() {
            for key in 0..4 {
                let vm = (round + usize::from(key)) % schedule.vms;
                world.at(*at, vm, 0, Event::Begin(Call { at: *at, vm, key, body: 0 }));
            }
        }
        while let Some(std::cmp::Reverse((at, order, vm, incarnation))) = world.heap.pop() {
            if at > END {
                break;
            }
            world.now = at;
            let event = world.events.remove(&order).expect("each event is stored");
            world.handle(vm, incarnation, event);
        }
        world
    }

    fn at(&mut self, at: u64, vm: usize, incarnation: u64, event: Event) {
        self.order += 1;
        self.events.insert(self.order, event);
        self.heap.push(std::cmp::Reverse((at, self.order, vm, incarnation)));
    }

    fn later(&mut self, ms: u64, vm: usize, event: Event) {
        let incarnation = self.vms[vm].incarnation;
        self.at(self.now + ms, vm, incarnation, event);
    }

    fn fault(&self, kind: Kind) -> bool {
        let on = |f: &Fault| f.kind == kind && (f.at..f.at + f.ms).contains(&self.now);
        self.schedule.faults.iter().any(on)
    }

    /// Kills or pauses a VM that gets to a step, where the schedule says so. True if it is now dead.
    fn step(&mut self, vm: usize, step: Step) -> bool {
        for i in 0..self.used.len() {
            let Fault { at, ms, kind } = self.schedule.faults[i];
            if self.used[i] || self.now < at || self.now >= PROBES_AT[0] - 3_000 {
                continue;
            }
            if kind == Kind::PauseAt(step) {
                self.used[i] = true;
                self.vms[vm].paused_until = self.now + ms;
            } else if kind == Kind::KillAt(step) {
                self.used[i] = true;
                self.vms[vm].alive = false;
                self.at(self.now + ms, vm, 0, Event::Restart);
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
            Event::Service(seq, key) => return self.service(vm, incarnation, seq, key),
            Event::Restart => {
                self.vms[vm] = new_vm(self.schedule.seed, vm, self.vms[vm].incarnation + 1);
                return self.at(self.now, vm, 0, Event::Tick);
            }
            _ => {}
        }
        let state = &self.vms[vm];
        if !state.alive || (incarnation != 0 && incarnation != state.incarnation) {
            return;
        }
        if state.paused_until > self.now {
            return self.at(state.paused_until, vm, incarnation, event);
        }
        let now = Duration::from_millis(self.now);
        let clock = EventTime { now, unix: now + Duration::from_secs(1_000_000 + state.skew) };
        let state = &mut self.vms[vm];
        match event {
            Event::Begin(call) => {
                let digest = BodyDigest::new("POST", "/book", &[call.body]);
                let (seq, actions) = state.executor.request_claim(now, key(call.key), digest);
                state.keys.insert(seq, key(call.key));
                self.executor_actions(vm, actions);
                self.step(vm, Step::Asked);
            }
            Event::Tick => {
                self.set_views(vm);
                let state = &mut self.vms[vm];
                let (actions, more) = (state.executor.tick(now), state.owner.tick(clock));
                self.executor_actions(vm, actions);
                self.owner_actions(vm, more);
                self.later(10, vm, Event::Tick);
            }
            Event::Request(request) => {
                let actions = state.owner.on_request(clock, request);
                self.owner_actions(vm, actions);
            }
            Event::StoreResult(op, result) => {
                let actions = state.owner.on_store_result(clock, op, result);
                self.owner_actions(vm, actions);
            }
            Event::Reply(reply) => {
                let actions = state.executor.on_reply(now, reply);
                self.executor_actions(vm, actions);
            }
            Event::Start(seq) => {
                if state.executor.try_start(now, seq) {
                    if !self.step(vm, Step::Started) {
                        let key = self.vms[vm].keys[&seq];
                        self.later(1, vm, Event::Service(seq, key));
                    }
                } else {
                    self.tell(vm, seq, CallDecision::NotRun);
                }
            }
            Event::Finish(seq, outcome) => {
                let verdict = match &outcome {
                    Outcome::Done { status, body } => {
                        CallDecision::Replay { status: *status, body: Some(body.clone()) }
                    }
                    Outcome::NotRun => CallDecision::NotRun,
                    Outcome::Unknown => CallDecision::Unknown,
                };
                let actions = state.executor.finish(now, seq, outcome);
                if actions.is_empty() {
                    return; // A timeout after the answer.
                }
                self.tell(vm, seq, verdict);
                if !self.step(vm, Step::Answered) {
                    self.executor_actions(vm, actions);
                }
            }
            _ => {}
        }
    }

    fn set_views(&mut self, vm: usize) {
        let split = self.fault(Kind::SplitViews);
        let members: Vec<_> = (0..self.vms.len())
            .filter(|other| if split { *other == vm } else { self.vms[*other].alive })
            .map(|other| (format!("vm{other}"), self.vms[other].incarnation))
            .collect();
        self.vms[vm].executor.set_members(members);
    }

    fn message_delay(&mut self) -> Option<u64> {
        if self.fault(Kind::LostMessages) && self.rng.bool() {
            return None;
        }
        let late = self.fault(Kind::LateMessages) && self.rng.bool();
        Some(if late { self.rng.u64(0..2_500) } else { self.rng.u64(1..6) })
    }

    fn executor_actions(&mut self, vm: usize, actions: Vec<executor::Action>) {
        for action in actions {
            match action {
                executor::Action::Send(to, request) => {
                    let to = to[2..].parse().expect("names are vmN");
                    if let Some(delay) = self.message_delay() {
                        self.at(self.now + delay, to, 0, Event::Request(request));
                    }
                }
                executor::Action::Notify(seq, CallDecision::Run) => {
                    if !self.step(vm, Step::Granted) {
                        self.later(1, vm, Event::Start(seq));
                    }
                }
                executor::Action::Notify(seq, verdict) => self.tell(vm, seq, verdict),
            }
        }
    }

    fn owner_actions(&mut self, vm: usize, actions: Vec<owner::Action>) {
        for action in actions {
            match action {
                owner::Action::Get { op, bucket } => {
                    let delay = self.store_delay();
                    self.later(delay, vm, Event::StoreGet(op, bucket));
                }
                owner::Action::Put { op, bucket, prev, value } => {
                    let delay = self.store_delay();
                    self.later(delay, vm, Event::StorePut(op, bucket, prev, value));
                    self.step(vm, Step::PutSent);
                }
                owner::Action::Reply(reply) => {
                    let to = reply.attempt.vm[2..].parse().expect("names are vmN");
                    if let Some(delay) = self.message_delay() {
                        self.at(self.now + delay, to, 0, Event::Reply(reply));
                    }
                }
            }
        }
    }

    fn store_delay(&mut self) -> u64 {
        let late = self.fault(Kind::LateStoreCalls) && self.rng.bool();
        if late { self.rng.u64(0..1_500) } else { self.rng.u64(1..4) }
    }

    fn store_result(&mut self, vm: usize, incarnation: u64, op: u64, result: StoreResult) {
        if self.fault(Kind::LostStoreReplies) && self.rng.bool() {
            return;
        }
        let delay = self.store_delay();
        self.at(self.now + delay, vm, incarnation, Event::StoreResult(op, result));
    }

    fn store_is_out(&mut self, vm: usize, incarnation: u64, op: u64) -> bool {
        if self.fault(Kind::StoreRefuses) {
            self.store_result(vm, incarnation, op, StoreResult::Failed);
            return true;
        }
        self.fault(Kind::StoreSilent)
    }

    fn store_get(&mut self, vm: usize, incarnation: u64, op: u64, bucket: u32) {
        if !self.store_is_out(vm, incarnation, op) {
            let held = self.store.get(&bucket).cloned();
            let result = held.map_or(StoreResult::Value(0, None), |(revision, value)| {
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
        if self.store_is_out(vm, incarnation, op) {
            return;
        }
        let current = self.store.get(&bucket).map_or(0, |(revision, _)| *revision);
        if current != prev {
            return self.store_result(vm, incarnation, op, StoreResult::Conflict);
        }
        let revision = self.order;
        self.store.insert(bucket, (revision, value));
        self.store_result(vm, incarnation, op, StoreResult::Written(revision));
        self.step(vm, Step::PutApplied);
    }

    fn service(&mut self, vm: usize, incarnation: u64, seq: u64, key: ClaimKey) {
        if self.fault(Kind::ServiceUnreachable) {
            return self.at(self.now + 1, vm, incarnation, Event::Finish(seq, Outcome::NotRun));
        }
        let attempt = AttemptId { vm: format!("vm{vm}"), incarnation, seq };
        self.runs.push((key, attempt));
        self.step(vm, Step::Ran);
        let body = vec![7; self.rng.usize(0..600)];
        if !self.fault(Kind::ServiceSilent) {
            let delay = self.rng.u64(5..400);
            let outcome = Outcome::Done { status: 201, body };
            self.at(self.now + delay, vm, incarnation, Event::Finish(seq, outcome));
        }
        self.at(self.now + 1_000, vm, incarnation, Event::Finish(seq, Outcome::Unknown));
    }

    fn tell(&mut self, vm: usize, seq: u64, verdict: CallDecision) {
        let state = &self.vms[vm];
        let attempt = AttemptId { vm: format!("vm{vm}"), incarnation: state.incarnation, seq };
        self.told.push(Told { key: state.keys[&seq], attempt, verdict, at: self.now });
    }

    /// The answers to the last round of calls, when all faults are over.
    pub fn last_round(&self) -> impl Iterator<Item = &Told> {
        self.told.iter().filter(|told| told.at >= PROBES_AT[2])
    }
}

fn new_vm(seed: u64, vm: usize, incarnation: u64) -> Vm {
    Vm {
        executor: Executor::new(options(seed), format!("vm{vm}"), incarnation),
        owner: Owner::new(options(seed)),
        incarnation,
        alive: true,
        paused_until: 0,
        // Clocks of VMs differ.
        skew: vm as u64 * 7,
        keys: BTreeMap::new(),
    }
}
