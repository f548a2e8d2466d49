//! Issuers at several VMs, a lease store and engines in virtual time, with a schedule of faults.

mod setup;

use std::{
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use lw_order::{
    issuer::{Action, Issuer, LeaseResult},
    message::{EngineState, Order, Report},
    options::Options,
};
use setup::{ENGINES, plan, settings};
pub use setup::{Fault, KINDS, Kind, Schedule};

const TICK_MS: u64 = 100;
const REPORT_MS: u64 = 300;
/// First configuration change; a rollout without faults takes about 15 s.
const ROLLOUT_AT: u64 = 4_000;
/// Long enough for a rollout after four pauses in a row (24 s each at most) with a slow weight store.
const END: u64 = 200_000;

#[derive(Debug, Clone)]
enum Event {
    Tick,
    Report(usize),
    Reported(Report),
    Lease(u64, Option<u64>),
    LeaseResult(u64, LeaseResult),
    Send(Order),
    Order(usize, Order, u64),
    Refused(u64),
    Loaded(usize, u64),
    Config(u64),
    Plan(u64),
    Crash(usize),
    Return(usize),
}

struct Engine {
    incarnation: u64,
    up: bool,
    loading: Option<EngineState>,
    /// Number of the load, so that the end of an aborted one is ignored.
    load: u64,
    overdue: bool,
    state: EngineState,
    fence: u64,
    checks_fencing: bool,
    crashed_at: Option<u64>,
    reports: u64,
    silent_until: u64,
}

impl Engine {
    fn serves(&self, role: &str) -> bool {
        let is_up = self.up && self.loading.is_none();
        is_up && !self.state.models.is_empty() && self.state.role == role
    }
}

struct Vm {
    issuer: Issuer,
    paused_until: u64,
    epoch: u64,
}

pub struct World {
    /// Broken properties, with their times.
    pub broken: Vec<String>,
    pub loads: Vec<u64>,
    pub finished_at: u64,
    schedule: Schedule,
    used: Vec<bool>,
    rng: fastrand::Rng,
    options: Options,
    load_ms: u64,
    now: u64,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    lease: Option<(usize, u64, u64)>,
    revision: u64,
    highest_fence: u64,
    version: u64,
    heap: BinaryHeap<std::cmp::Reverse<(u64, u64, usize, u64)>>,
    events: BTreeMap<u64, Event>,
    order: u64,
}

impl World {
    pub fn run(schedule: &Schedule) -> Self {
        let (options, load_ms) = settings(schedule.seed);
        let vm = || Vm { issuer: Issuer::new(options.clone()), paused_until: 0, epoch: 0 };
        let engine = |n: usize| Engine {
            incarnation: 1,
            up: true,
            loading: None,
            load: 0,
            overdue: false,
            state: plan(1).targets[&format!("e{n}")].clone(),
            fence: 0,
            checks_fencing: n.is_multiple_of(2),
            crashed_at: None,
            reports: 0,
            silent_until: 0,
        };
        let mut world = Self {
            broken: Vec::new(),
            loads: Vec::new(),
            finished_at: 0,
            used: vec![false; schedule.faults.len()],
            rng: fastrand::Rng::with_seed(schedule.seed),
            now: 0,
            vms: (0..schedule.vms).map(|_| vm()).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            options,
            load_ms,
            lease: None,
            revision: 0,
            highest_fence: 0,
            version: 1,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            order: 0,
            schedule: schedule.clone(),
        };
        for vm in 0..schedule.vms {
            world.vms[vm].issuer.set_eligible(true);
            world.vms[vm].issuer.set_plan(plan(1));
            world.at(vm as u64 * 7, vm, Event::Tick);
        }
        (0..ENGINES).for_each(|n| world.at(n as u64 * 11, 0, Event::Report(n)));
        world.at(ROLLOUT_AT, 0, Event::Config(2));
        for fault in schedule.faults.clone() {
            match fault.kind {
                Kind::NewConfig => world.at(fault.at, 0, Event::Config(0)),
                Kind::Crash => {
                    let engine = world.rng.usize(0..ENGINES);
                    world.at(fault.at, 0, Event::Crash(engine));
                }
                _ => {}
            }
        }
        while let Some(std::cmp::Reverse((at, order, vm, epoch))) = world.heap.pop() {
            if at > END {
                break;
            }
            world.now = at;
            let event = world.events.remove(&order).expect("each event is stored");
            world.handle(vm, epoch, event);
        }
        for n in 0..ENGINES {
            let (engine, target) =
                (&world.engines[n], &plan(world.version).targets[&format!("e{n}")]);
            if engine.loading.is_some() || engine.state != *target {
                let text = format!("e{n} has {:?}, not {target:?}", engine.state);
                world.broken.push(text);
            }
        }
        world
    }

    fn at(&mut self, at: u64, vm: usize, event: Event) {
        self.order += 1;
        self.events.insert(self.order, event);
        let epoch = self.vms[vm].epoch;
        self.heap.push(std::cmp::Reverse((at, self.order, vm, epoch)));
    }

    fn fault(&self, kind: Kind) -> bool {
        let on = |f: &Fault| f.kind == kind && (f.at..f.at + f.ms).contains(&self.now);
        self.schedule.faults.iter().any(on)
    }

    /// The length of a fault that strikes once, if it strikes now.
    fn strikes(&mut self, kind: Kind) -> Option<u64> {
        for (fault, used) in self.schedule.faults.iter().zip(&mut self.used) {
            if fault.kind == kind && !*used && self.now >= fault.at {
                *used = true;
                return Some(fault.ms);
            }
        }
        None
    }

    fn handle(&mut self, vm: usize, epoch: u64, event: Event) {
        match event {
            Event::Report(n) => return self.report(n),
            Event::Lease(op, fence) => return self.lease(vm, op, fence),
            Event::Order(n, order, sent) => return self.take_order(vm, n, &order, sent),
            Event::Loaded(n, load) => return self.loaded(n, load),
            Event::Crash(n) => return self.crash(n),
            Event::Return(n) => {
                self.engines[n].up = true;
                return;
            }
            Event::Config(version) => {
                self.version =
                    if version == 0 { self.version + 1 } else { version.max(self.version) };
                for vm in 0..self.vms.len() {
                    let delay = self.rng.u64(0..3_000);
                    self.at(self.now + delay, vm, Event::Plan(self.version));
                }
                return;
            }
            _ => {}
        }
        let now = Duration::from_millis(self.now);
        let state = &mut self.vms[vm];
        if state.epoch != epoch && !matches!(event, Event::Plan(_)) {
            return;
        }
        if state.paused_until > self.now {
            let until = state.paused_until;
            return self.at(until, vm, event);
        }
        match event {
            Event::Tick => {
                let actions = state.issuer.tick(now);
                self.at(self.now + TICK_MS, vm, Event::Tick);
                self.perform(vm, actions);
            }
            Event::Reported(report) => state.issuer.on_report(now, report),
            Event::LeaseResult(op, result) => state.issuer.on_lease_result(now, op, result),
            Event::Refused(fence) => state.issuer.on_order_refused(now, fence),
            Event::Plan(version) => state.issuer.set_plan(plan(version)),
            Event::Send(order) => self.send(vm, order),
            _ => {}
        }
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            let (op, fence) = match action {
                Action::Acquire { op } => (op, None),
                Action::Renew { op, fence } => (op, Some(fence)),
                Action::Send(order) => {
                    if let Some(ms) = self.strikes(Kind::KillIssuer) {
                        return self.replace(vm, ms);
                    }
                    let before = self.strikes(Kind::PauseBeforeSend);
                    if let Some(ms) = before.or_else(|| self.strikes(Kind::PauseIssuer)) {
                        self.vms[vm].paused_until = self.now + 4 * ms;
                    }
                    let at =
                        self.now.max(if before.is_some() { self.vms[vm].paused_until } else { 0 });
                    self.at(at, vm, Event::Send(order));
                    continue;
                }
            };
            let delay = self.rng.u64(2..20);
            self.at(self.now + delay, vm, Event::Lease(op, fence));
        }
    }

    /// A killed VM comes back without state.
    fn replace(&mut self, vm: usize, ms: u64) {
        let mut issuer = Issuer::new(self.options.clone());
        issuer.set_eligible(true);
        issuer.set_plan(plan(self.version));
        self.vms[vm].issuer = issuer;
        self.vms[vm].epoch += 1;
        self.vms[vm].paused_until = 0;
        self.at(self.now + ms, vm, Event::Tick);
    }

    fn lease(&mut self, vm: usize, op: u64, fence: Option<u64>) {
        if self.fault(Kind::StoreDown) {
            return;
        }
        let ttl = u64::try_from(self.options.lease_ttl.as_millis()).expect("a short time");
        let held = self.lease.filter(|(_, _, until)| self.now < *until);
        let result = match (held, fence) {
            (Some((holder, current, _)), Some(fence)) if holder == vm && current == fence => {
                self.lease = Some((vm, fence, self.now + ttl));
                LeaseResult::Granted(fence)
            }
            (None, None) => {
                self.revision += 1;
                self.lease = Some((vm, self.revision, self.now + ttl));
                LeaseResult::Granted(self.revision)
            }
            _ => LeaseResult::Refused,
        };
        if self.fault(Kind::LostLeaseReplies) && self.rng.bool() {
            return;
        }
        let delay = self.rng.u64(2..20);
        self.at(self.now + delay, vm, Event::LeaseResult(op, result));
    }

    fn send(&mut self, vm: usize, order: Order) {
        if Duration::from_millis(self.now) >= order.send_before {
            return;
        }
        if order.fence < self.highest_fence {
            self.broken
                .push(format!("an order under {} after {}", order.fence, self.highest_fence));
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        if self.fault(Kind::LostOrders) && self.rng.bool() {
            return;
        }
        let delay = if self.fault(Kind::OverdueOrders) && self.rng.bool() {
            self.rng.u64(1_000..12_000)
        } else if self.fault(Kind::LateOrders) {
            self.rng.u64(0..500)
        } else {
            self.rng.u64(2..10)
        };
        let n = order.engine[1..].parse().expect("names are eN");
        let sent = self.now;
        self.at(self.now + delay, vm, Event::Order(n, order, sent));
    }

    fn take_order(&mut self, vm: usize, n: usize, order: &Order, sent: u64) {
        let engine = &mut self.engines[n];
        if !engine.up {
            return;
        }
        if engine.checks_fencing && order.fence < engine.fence {
            return self.at(self.now + 5, vm, Event::Refused(order.fence));
        }
        engine.fence = engine.fence.max(order.fence);
        let current = engine.loading.as_ref().unwrap_or(&engine.state);
        if *current == order.state {
            return;
        }
        let overdue = Duration::from_millis(self.now - sent) > self.options.order_delay;
        self.check_load(n, overdue);
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count() as u64 + 1;
        let engine = &mut self.engines[n];
        engine.loading = Some(order.state.clone());
        engine.load += 1;
        engine.overdue = overdue;
        let (load, time) = (engine.load, self.load_ms * loading.max(2) / 2);
        self.at(self.now + time, 0, Event::Loaded(n, load));
        if let Some(ms) = self.strikes(Kind::SilentLoad) {
            self.engines[n].silent_until = self.now + 3 * ms;
        }
        if let Some(ms) = self.strikes(Kind::CrashInLoad) {
            self.at(self.now + ms.min(time - 1), 0, Event::Crash(n));
        }
    }

    /// Checks the properties at the start of a load. Loads by orders that took longer than the longest
    /// order delay are not counted: an engine that ignores fencing numbers takes them, and they can only
    /// be repaired.
    fn check_load(&mut self, n: usize, overdue: bool) {
        if overdue {
            return;
        }
        let window = u64::try_from(self.options.store_window.as_millis()).expect("a short time");
        let loading = |e: &&Engine| e.loading.is_some() && !e.overdue;
        let others = self.engines.iter().enumerate().filter(|(m, _)| *m != n).map(|(_, e)| e);
        let loading = others.clone().filter(loading).count();
        if loading >= self.options.loading_max {
            self.broken.push(format!("{} engines load at {}", loading + 1, self.now));
        }
        self.loads.push(self.now);
        let recent = self.loads.iter().filter(|at| **at + window > self.now).count();
        if recent > self.options.store_loads {
            self.broken.push(format!("{recent} loads within {window} ms at {}", self.now));
        }
        let state = &self.engines[n].state;
        if !self.engines[n].serves(&state.role) {
            return;
        }
        // A crash, or the load of an overdue order, that the issuer cannot know of yet.
        let options = &self.options;
        let unknown = options.report_timeout + options.report_lag + options.order_delay;
        let unseen = |e: &Engine| {
            let crashed = e
                .crashed_at
                .is_some_and(|at| Duration::from_millis(self.now.saturating_sub(at)) < unknown);
            e.state.role == state.role && (crashed || (e.overdue && e.loading.is_some()))
        };
        let left = others.filter(|e| e.serves(&state.role) || unseen(e)).count();
        if left < plan(1).minimums[&state.role] {
            self.broken.push(format!("{left} of role {} left at {}", state.role, self.now));
        }
    }

    fn loaded(&mut self, n: usize, load: u64) {
        let engine = &mut self.engines[n];
        if engine.load == load
            && let Some(state) = engine.loading.take()
        {
            engine.state = state;
            self.finished_at = self.now;
        }
    }

    fn crash(&mut self, n: usize) {
        let engine = &mut self.engines[n];
        engine.incarnation += 1;
        engine.up = false;
        engine.loading = None;
        engine.state.models.clear();
        engine.fence = 0;
        engine.crashed_at = Some(self.now);
        self.at(self.now + 1_500, 0, Event::Return(n));
    }

    fn report(&mut self, n: usize) {
        self.at(self.now + REPORT_MS, 0, Event::Report(n));
        let engine = &mut self.engines[n];
        if !engine.up || self.now < engine.silent_until {
            return;
        }
        engine.reports += 1;
        let report = Report {
            engine: format!("e{n}"),
            incarnation: engine.incarnation,
            seq: engine.reports,
            loading: engine.loading.is_some(),
            state: engine.state.clone(),
        };
        for vm in 0..self.vms.len() {
            if !(self.fault(Kind::LostReports) && self.rng.bool()) {
                let lag = self.rng.u64(0..900);
                self.at(self.now + lag, vm, Event::Reported(report.clone()));
            }
        }
    }
}
