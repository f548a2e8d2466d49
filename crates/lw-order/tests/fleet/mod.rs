//! A fleet in virtual time: VMs that run the real decisions of issuers, a store, engines, and a schedule of troubles.

use std::collections::BTreeMap;

use fastrand::Rng;
use lw_order::tenure::{Key, LeaseId, Transaction};
use lw_types::prelude::*;

mod effects;
mod engine;
mod orders;
mod rules;
mod store;
mod trouble;
mod vm;

use engine::Engine;
use rules::Rules;
use rules::{Rule, Violation};
use store::Store;
pub use trouble::{Kind, Target, Trouble, troubles};
use vm::{Output, Pending, Vm};

const LEASE_TTL: u64 = 1_500;
const CALL_TIMEOUT: u64 = 700;
/// Time in ms in which the others learn which version an engine serves.
const OBSERVE_PERIOD: u64 = 250;
/// Time in ms from the end of a VM that was stopped until it starts again.
const START_DELAY: u64 = 300;
/// When the first version is named, and until when after the last trouble versions are named, in ms.
const FIRST_VERSION_AT: u64 = 3_000;
const NAMED_AFTER_TROUBLES: u64 = 8_000;
/// Longest time in ms until operators write again what the store lost.
const REWRITE_MAX: u64 = 1_900;

#[derive(Debug, Clone)]
pub struct Case {
    pub seed: u64,
    pub vms: usize,
    pub engines: usize,
    /// Whether engines check fencing numbers.
    pub is_fenced: bool,
    pub load_ms: u64,
    /// Time between two versions that are named, in ms.
    pub version_period: u64,
    pub troubles: Vec<Trouble>,
}

/// What a run without a violation shows.
#[derive(Debug)]
pub struct Summary {
    /// Number of orders that engines received.
    pub orders: usize,
    /// Time in ms from the naming of the last version until all engines served it.
    pub rolled_out_after: u64,
}

#[derive(Debug)]
enum Event {
    Vm(usize, u64, vm::Event),
    /// A call arrives at the store: VM, its incarnation, number of the call, and the era that the VM knew.
    Store(usize, u64, u64, Era, store::Call),
    /// A call arrives at an engine.
    Engine(usize, u64, u64, usize, engine::Call),
    /// An engine carries out an order late.
    LateOrder(usize, engine::Call),
    Begin(Trouble),
    End(Trouble, usize),
    Start(usize),
    NameVersion,
    RewriteVersion,
    Observe,
}

#[derive(Debug, Default)]
struct Host {
    /// None while it is down.
    vm: Option<Vm>,
    incarnation: u64,
    starts_at: u64,
    paused_until: u64,
    cut_until: u64,
    turned_away_until: u64,
}

#[derive(Debug)]
pub struct Fleet {
    case: Case,
    rng: Rng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    last_call: u64,
    hosts: Vec<Host>,
    store: Store,
    store_down_until: u64,
    answers_lost_until: u64,
    answers_late_until: u64,
    orders_lost_until: u64,
    orders_late_until: u64,
    engines: Vec<Engine>,
    rules: Rules,
    /// Owner and end of each lease that was granted, by the calls that the store received.
    leases: BTreeMap<(Era, LeaseId), (usize, u64)>,
    /// VM, position and lease of each write that acquired the issuer's key.
    terms: Vec<(usize, Position, LeaseId)>,
    version: u64,
    named_at: u64,
    last_target: usize,
}

/// Runs a case.
///
/// # Errors
///
/// Returns the first rule that was broken.
pub fn run(case: &Case) -> Result<Summary, Violation> {
    let mut fleet = Fleet::new(case);
    let troubles_end =
        case.troubles.iter().map(|trouble| trouble.at + trouble.duration).max().unwrap_or(0);
    let last_version_at = troubles_end.max(FIRST_VERSION_AT) + NAMED_AFTER_TROUBLES;
    let mut at = FIRST_VERSION_AT;
    while at <= last_version_at {
        fleet.enqueue_at(at, Event::NameVersion);
        at += case.version_period;
    }
    let last_named_at = at - case.version_period;
    while let Some(((at, _), event)) = fleet.events.pop_first() {
        fleet.now = at;
        fleet.handle(event);
        if fleet.rules.violation.is_some() {
            break;
        }
        let version = fleet.version;
        let is_rolled_out =
            at >= last_named_at && fleet.engines.iter().all(|engine| engine.version == version);
        if is_rolled_out {
            let rolled_out_after = at - last_named_at;
            return Ok(Summary { orders: fleet.rules.orders(), rolled_out_after });
        }
        if at >= last_named_at + rules::VERSION {
            let versions: Vec<_> = fleet.engines.iter().map(|engine| engine.version).collect();
            let text = format!("engines serve {versions:?} at {at} ms, {version} was named");
            fleet.rules.fail(Rule::Version, text);
            break;
        }
    }
    Err(fleet.rules.violation.expect("a run ends with a roll-out or a violation"))
}

impl Fleet {
    fn new(case: &Case) -> Self {
        let mut fleet = Self {
            case: case.clone(),
            rng: Rng::with_seed(case.seed),
            now: 0,
            events: BTreeMap::new(),
            last_event: 0,
            last_call: 0,
            hosts: (0..case.vms).map(|_| Host::default()).collect(),
            store: Store::new(LEASE_TTL),
            store_down_until: 0,
            answers_lost_until: 0,
            answers_late_until: 0,
            orders_lost_until: 0,
            orders_late_until: 0,
            engines: (0..case.engines).map(|_| Engine::default()).collect(),
            rules: Rules::new(case.is_fenced, case.vms),
            leases: BTreeMap::new(),
            terms: Vec::new(),
            version: 1,
            named_at: 0,
            last_target: 0,
        };
        fleet.engines.iter_mut().for_each(|engine| engine.version = 1);
        for vm in 0..case.vms {
            let at = fleet.rng.u64(0..400);
            fleet.enqueue_at(at, Event::Start(vm));
        }
        fleet.enqueue_at(0, Event::Observe);
        for trouble in &case.troubles {
            fleet.enqueue_at(trouble.at, Event::Begin(*trouble));
        }
        fleet
    }

    fn enqueue_at(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((at.max(self.now), self.last_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Vm(vm, incarnation, event) => self.on_vm_event(vm, incarnation, event),
            Event::Store(vm, incarnation, call, era, content) => {
                self.on_store_call(vm, incarnation, call, era, &content);
            }
            Event::Engine(vm, incarnation, call, engine, content) => {
                self.on_engine_call((vm, incarnation, call), engine, content);
            }
            Event::LateOrder(engine, call) => {
                let Case { is_fenced, load_ms, .. } = self.case;
                self.engines[engine].execute(self.now, call, is_fenced, load_ms);
            }
            Event::Begin(trouble) => self.begin(trouble),
            Event::End(trouble, vm) => self.end(trouble, vm),
            Event::Start(vm) => self.start(vm),
            Event::NameVersion => {
                self.version += 1;
                self.named_at = self.now;
                self.rewrite_version();
            }
            Event::RewriteVersion => self.rewrite_version(),
            Event::Observe => self.observe(),
        }
    }

    /// Writes the newest version to the store, as soon as it can be reached.
    fn rewrite_version(&mut self) {
        if self.now < self.store_down_until {
            return self.enqueue_at(self.store_down_until + 1, Event::RewriteVersion);
        }
        if self.store.content.version < self.version {
            self.store.set_version(self.version);
        }
    }

    fn observe(&mut self) {
        self.enqueue_at(self.now + OBSERVE_PERIOD, Event::Observe);
        if self.now >= self.store_down_until {
            self.store.advance(self.now);
        }
        self.engines.iter_mut().for_each(|engine| engine.advance(self.now));
        let versions: Vec<_> = self.engines.iter().map(|engine| engine.version).collect();
        for host in self.hosts.iter_mut().filter(|host| self.now >= host.cut_until) {
            if let Some(vm) = &mut host.vm {
                vm.served.clone_from(&versions);
            }
        }
    }

    fn start(&mut self, vm: usize) {
        let host = &mut self.hosts[vm];
        if host.vm.is_none() && self.now >= host.starts_at {
            host.incarnation += 1;
            let mut started = Vm::start(vm, self.case.engines, self.case.is_fenced);
            for (engine, served) in self.engines.iter().zip(&mut started.served) {
                *served = engine.version;
            }
            host.vm = Some(started);
            self.carry_out(vm);
        }
    }

    fn on_vm_event(&mut self, vm: usize, incarnation: u64, event: vm::Event) {
        let host = &mut self.hosts[vm];
        if host.incarnation != incarnation {
            return;
        }
        let Some(process) = &mut host.vm else { return };
        if self.now < host.paused_until {
            let until = host.paused_until;
            return self.enqueue_at(until, Event::Vm(vm, incarnation, event));
        }
        process.on_event(self.now, event);
        self.carry_out(vm);
    }

    /// Carries out what a VM does to the outside.
    fn carry_out(&mut self, vm: usize) {
        let incarnation = self.hosts[vm].incarnation;
        let Some(process) = &mut self.hosts[vm].vm else { return };
        let era = process.latest_era;
        for output in process.take_output() {
            match output {
                Output::Later(delay, event) => {
                    let delay = u64::try_from(delay.as_millis()).expect("fits in 64 bits");
                    self.enqueue_at(self.now + delay, Event::Vm(vm, incarnation, event));
                }
                Output::Store(content, pending) => {
                    let call = self.begin_call(vm, pending);
                    let at = self.now + self.rng.u64(1..12);
                    self.enqueue_at(at, Event::Store(vm, incarnation, call, era, content));
                }
                Output::Engine(engine, content, pending) => {
                    if let engine::Call::Order { fence, .. } = content {
                        self.check_lease(vm, fence);
                    }
                    let call = self.begin_call(vm, pending);
                    let at = self.now + self.rng.u64(1..30);
                    self.enqueue_at(at, Event::Engine(vm, incarnation, call, engine, content));
                }
                Output::Serves(engine, version) => {
                    for host in self.hosts.iter_mut().filter(|host| self.now >= host.cut_until) {
                        if let Some(vm) = &mut host.vm {
                            vm.served[engine] = vm.served[engine].max(version);
                        }
                    }
                }
            }
        }
    }

    fn begin_call(&mut self, vm: usize, pending: Pending) -> u64 {
        self.last_call += 1;
        let (call, host) = (self.last_call, &mut self.hosts[vm]);
        if let Some(process) = &mut host.vm {
            process.pending.insert(call, pending);
        }
        let event = Event::Vm(vm, host.incarnation, vm::Event::Timeout(call));
        self.enqueue_at(self.now + CALL_TIMEOUT, event);
        call
    }

    /// Checks that a VM that sends an order holds the lease under which it does.
    fn check_lease(&mut self, vm: usize, fence: Revision) {
        let is_of_fence = |(owner, position, _): &&(usize, Position, LeaseId)| {
            *owner == vm && fence & ((1 << 42) - 1) == position.revision
        };
        let lease = self.terms.iter().rev().find(is_of_fence);
        let lease = lease.and_then(|(_, position, id)| self.leases.get(&(position.era, *id)));
        if lease.is_none_or(|(_, end)| self.now >= *end) {
            let text = format!("vm-{vm} orders at {} under {fence}, its lease {lease:?}", self.now);
            self.rules.fail(Rule::Lease, text);
        }
    }

    fn on_store_call(
        &mut self,
        vm: usize,
        incarnation: u64,
        call: u64,
        known_era: Era,
        content: &store::Call,
    ) {
        let (now, host) = (self.now, &self.hosts[vm]);
        if now < self.store_down_until || now < host.cut_until {
            return;
        }
        if now < host.turned_away_until {
            if self.rng.bool() {
                let answer = vm::Event::StoreAnswer(call, 0, store::Answer::Unavailable);
                self.enqueue_at(now + 5, Event::Vm(vm, incarnation, answer));
            }
            return;
        }
        let mut is_lost = false;
        if now < self.answers_lost_until && call != 0 && self.rng.bool() {
            match self.rng.u8(0..4) {
                0 => return,
                1 => {
                    // A call with the number 0 gets no answer.
                    let at = now + self.rng.u64(500..4_000);
                    let late = Event::Store(vm, incarnation, 0, known_era, content.clone());
                    return self.enqueue_at(at, late);
                }
                _ => is_lost = true,
            }
        }
        let answer = self.execute(vm, known_era, content);
        let is_late = now < self.answers_late_until;
        let delay = if is_late { self.rng.u64(100..1_500) } else { self.rng.u64(1..12) };
        if !is_lost && call != 0 {
            let answer = vm::Event::StoreAnswer(call, self.store.era, answer);
            self.enqueue_at(now + delay, Event::Vm(vm, incarnation, answer));
        }
    }

    /// Executes a call at the store, and checks that it concerns no lease or key of another VM, unless the VM could not
    /// know yet that the store had returned from an older copy.
    fn execute(&mut self, vm: usize, known_era: Era, call: &store::Call) -> store::Answer {
        let (now, era) = (self.now, self.store.era);
        self.store.advance(now);
        if let store::Call::Renew(id) | store::Call::EndLease(id) = call
            && known_era == era
            && self.leases.get(&(era, *id)).is_some_and(|(owner, _)| *owner != vm)
        {
            self.rules.fail(Rule::Lease, format!("vm-{vm} at {now}: {call:?} of another VM"));
        }
        let holder = self.store.content.issuer.as_ref().map(|item| item.record.holder.clone());
        let answer = self.store.execute(now, vm, call);
        match (call, &answer) {
            (store::Call::CreateLease, store::Answer::Lease(id)) => {
                self.leases.insert((era, *id), (vm, now + LEASE_TTL));
            }
            (store::Call::Renew(id), store::Answer::Done) => {
                if let Some((_, end)) =
                    self.leases.get_mut(&(era, *id)).filter(|(owner, _)| *owner == vm)
                {
                    *end = now + LEASE_TTL;
                }
            }
            (store::Call::Write(transaction), store::Answer::Written(revision)) => {
                let Transaction { writes, removes, .. } = transaction;
                let position = Position { era, revision: *revision };
                if let Some(write) = writes.iter().find(|write| write.key == Key::Issuer) {
                    self.terms.push((vm, position, write.lease));
                }
                let is_others = holder.is_some_and(|holder| holder != vm::name(vm));
                if removes.contains(&Key::Issuer) && is_others && known_era == era {
                    let text = format!("vm-{vm} removes the key of another VM at {now}");
                    self.rules.fail(Rule::Lease, text);
                }
            }
            _ => {}
        }
        answer
    }

    fn on_engine_call(
        &mut self,
        (vm, incarnation, call): (usize, u64, u64),
        engine: usize,
        content: engine::Call,
    ) {
        let now = self.now;
        if now < self.hosts[vm].cut_until {
            return;
        }
        if let engine::Call::Order { fence, .. } = content {
            if now < self.orders_lost_until && self.rng.bool() {
                return;
            }
            self.rules.on_order(now, vm, engine, fence);
            if now < self.orders_late_until && self.rng.bool() {
                let at = now + self.rng.u64(700..4_000);
                return self.enqueue_at(at, Event::LateOrder(engine, content));
            }
        }
        let Case { is_fenced, load_ms, .. } = self.case;
        let answer = self.engines[engine].execute(now, content, is_fenced, load_ms);
        let at = now + self.rng.u64(1..30);
        let answer = vm::Event::EngineAnswer(call, answer);
        self.enqueue_at(at, Event::Vm(vm, incarnation, answer));
    }
}
