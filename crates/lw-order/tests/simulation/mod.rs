//! Simulates issuers on several VMs, a lease store and engines in virtual time, with a schedule of faults.

mod schedule;

use std::{
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use lw_order::{
    issuer::{Action, Issuer, LeaseResult},
    message::{EngineState, Order, Report},
    options::Options,
};
use schedule::{ENGINE_COUNT, options_and_load_ms, plan};
pub use schedule::{FAULT_KINDS, Fault, FaultKind, Schedule};

const TICK_MS: u64 = 100;
const REPORT_INTERVAL_MS: u64 = 300;
/// Time of the first configuration change. A rollout without faults takes about 15 s.
const ROLLOUT_AT_MS: u64 = 4_000;
/// Time at which the run ends, long enough for a rollout after four pauses in a row (24 s each at most) with a slow
/// weight store.
const END_MS: u64 = 200_000;

#[derive(Debug, Clone)]
enum Event {
    Tick,
    /// This engine sends a report.
    SendReport(usize),
    ReportArrival(Report),
    /// A lease call with its number, and the fencing number of a renewal.
    LeaseCall(u64, Option<u64>),
    LeaseResult(u64, LeaseResult),
    SendOrder(Order),
    /// An order arrives at this engine; the time at which it was sent.
    OrderArrival(usize, Order, u64),
    /// The refusal of an order with this fencing number arrives.
    RefusalArrival(u64),
    /// This load of this engine ends.
    LoadEnd(usize, u64),
    /// The configuration changes to this version; 0 stands for the next one.
    ConfigChange(u64),
    /// The plan of this version arrives at a VM.
    PlanArrival(u64),
    EngineCrash(usize),
    EngineRestart(usize),
}

struct Engine {
    incarnation: u64,
    is_up: bool,
    loading: Option<EngineState>,
    /// Number of the last load, so that the end of an aborted one is ignored.
    load_number: u64,
    /// Whether the order of the last load took longer than the longest order delay.
    is_overdue: bool,
    state: EngineState,
    fence: u64,
    has_fencing_check: bool,
    crashed_at: Option<u64>,
    report_count: u64,
    unresponsive_until: u64,
}

impl Engine {
    fn is_serving(&self, role: &str) -> bool {
        let is_available = self.is_up && self.loading.is_none();
        is_available && !self.state.models.is_empty() && self.state.role == role
    }
}

struct Vm {
    issuer: Issuer,
    paused_until: u64,
    /// Number of restarts. Events for an earlier process of the VM are dropped.
    restarts: u64,
}

pub struct Simulation {
    /// Violated properties.
    pub violations: Vec<String>,
    /// Start times of the loads in ms, without those by overdue orders.
    pub load_starts: Vec<u64>,
    /// End of the last load in ms.
    pub last_load_ended_at: u64,
    schedule: Schedule,
    /// For each fault of the schedule whether it was triggered, if it is of a kind that occurs once.
    triggered: Vec<bool>,
    rng: fastrand::Rng,
    options: Options,
    load_ms: u64,
    /// Virtual time in ms.
    now: u64,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    /// VM that holds the lease, its fencing number and its end.
    lease: Option<(usize, u64, u64)>,
    revision: u64,
    highest_fence: u64,
    version: u64,
    /// Time, number, VM and number of restarts of that VM for each coming event, the earliest event first.
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64, usize, u64)>>,
    /// Coming events by number.
    events: BTreeMap<u64, Event>,
    last_event: u64,
}

impl Simulation {
    pub fn run(schedule: &Schedule) -> Self {
        let (options, load_ms) = options_and_load_ms(schedule.seed);
        let vm = || Vm { issuer: Issuer::new(options.clone()), paused_until: 0, restarts: 0 };
        let engine = |n: usize| Engine {
            incarnation: 1,
            is_up: true,
            loading: None,
            load_number: 0,
            is_overdue: false,
            state: plan(1).targets[&format!("e{n}")].clone(),
            fence: 0,
            has_fencing_check: n.is_multiple_of(2),
            crashed_at: None,
            report_count: 0,
            unresponsive_until: 0,
        };
        let mut simulation = Self {
            violations: Vec::new(),
            load_starts: Vec::new(),
            last_load_ended_at: 0,
            triggered: vec![false; schedule.faults.len()],
            rng: fastrand::Rng::with_seed(schedule.seed),
            now: 0,
            vms: (0..schedule.vms).map(|_| vm()).collect(),
            engines: (0..ENGINE_COUNT).map(engine).collect(),
            options,
            load_ms,
            lease: None,
            revision: 0,
            highest_fence: 0,
            version: 1,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            schedule: schedule.clone(),
        };
        for vm in 0..schedule.vms {
            simulation.vms[vm].issuer.set_eligible(true);
            simulation.vms[vm].issuer.set_plan(plan(1));
            simulation.enqueue(vm as u64 * 7, vm, Event::Tick);
        }
        (0..ENGINE_COUNT).for_each(|n| simulation.enqueue(n as u64 * 11, 0, Event::SendReport(n)));
        simulation.enqueue(ROLLOUT_AT_MS, 0, Event::ConfigChange(2));
        for fault in schedule.faults.clone() {
            match fault.kind {
                FaultKind::NewConfig => simulation.enqueue(fault.at_ms, 0, Event::ConfigChange(0)),
                FaultKind::Crash => {
                    let engine = simulation.rng.usize(0..ENGINE_COUNT);
                    simulation.enqueue(fault.at_ms, 0, Event::EngineCrash(engine));
                }
                _ => {}
            }
        }
        while let Some(std::cmp::Reverse((at, number, vm, restarts))) = simulation.queue.pop() {
            if at > END_MS {
                break;
            }
            simulation.now = at;
            let event = simulation.events.remove(&number).expect("each event is stored");
            simulation.handle(vm, restarts, event);
        }
        for n in 0..ENGINE_COUNT {
            let (engine, target) =
                (&simulation.engines[n], &plan(simulation.version).targets[&format!("e{n}")]);
            if engine.loading.is_some() || engine.state != *target {
                let violation = format!("e{n} has {:?}, not {target:?}", engine.state);
                simulation.violations.push(violation);
            }
        }
        simulation
    }

    fn enqueue(&mut self, at: u64, vm: usize, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        let restarts = self.vms[vm].restarts;
        self.queue.push(std::cmp::Reverse((at, self.last_event, vm, restarts)));
    }

    fn is_active(&self, kind: FaultKind) -> bool {
        let is_current =
            |f: &Fault| f.kind == kind && (f.at_ms..f.at_ms + f.duration_ms).contains(&self.now);
        self.schedule.faults.iter().any(is_current)
    }

    /// Triggers a fault of a kind that occurs once and returns its duration in ms, if one is due.
    fn trigger(&mut self, kind: FaultKind) -> Option<u64> {
        for (fault, is_triggered) in self.schedule.faults.iter().zip(&mut self.triggered) {
            if fault.kind == kind && !*is_triggered && self.now >= fault.at_ms {
                *is_triggered = true;
                return Some(fault.duration_ms);
            }
        }
        None
    }

    fn handle(&mut self, vm: usize, restarts: u64, event: Event) {
        match event {
            Event::SendReport(n) => return self.send_report(n),
            Event::LeaseCall(op, fence) => return self.on_lease_call(vm, op, fence),
            Event::OrderArrival(n, order, sent_at) => return self.on_order(vm, n, &order, sent_at),
            Event::LoadEnd(n, load_number) => return self.end_load(n, load_number),
            Event::EngineCrash(n) => return self.crash_engine(n),
            Event::EngineRestart(n) => {
                self.engines[n].is_up = true;
                return;
            }
            Event::ConfigChange(version) => {
                self.version =
                    if version == 0 { self.version + 1 } else { version.max(self.version) };
                for vm in 0..self.vms.len() {
                    let delay = self.rng.u64(0..3_000);
                    self.enqueue(self.now + delay, vm, Event::PlanArrival(self.version));
                }
                return;
            }
            _ => {}
        }
        let now = Duration::from_millis(self.now);
        let state = &mut self.vms[vm];
        if state.restarts != restarts && !matches!(event, Event::PlanArrival(_)) {
            return;
        }
        if state.paused_until > self.now {
            let until = state.paused_until;
            return self.enqueue(until, vm, event);
        }
        match event {
            Event::Tick => {
                let actions = state.issuer.tick(now);
                self.enqueue(self.now + TICK_MS, vm, Event::Tick);
                self.perform(vm, actions);
            }
            Event::ReportArrival(report) => state.issuer.on_report(now, report),
            Event::LeaseResult(op, result) => state.issuer.on_lease_result(now, op, result),
            Event::RefusalArrival(fence) => state.issuer.on_order_refused(now, fence),
            Event::PlanArrival(version) => state.issuer.set_plan(plan(version)),
            Event::SendOrder(order) => self.send_order(vm, order),
            _ => {}
        }
    }

    fn perform(&mut self, vm: usize, actions: Vec<Action>) {
        for action in actions {
            let (op, fence) = match action {
                Action::Acquire { op } => (op, None),
                Action::Renew { op, fence } => (op, Some(fence)),
                Action::Send(order) => {
                    if let Some(ms) = self.trigger(FaultKind::KillIssuer) {
                        return self.restart_vm(vm, ms);
                    }
                    let pause_ms = self.trigger(FaultKind::PauseBeforeSend);
                    if let Some(ms) = pause_ms.or_else(|| self.trigger(FaultKind::PauseIssuer)) {
                        self.vms[vm].paused_until = self.now + 4 * ms;
                    }
                    let at = self.now.max(if pause_ms.is_some() {
                        self.vms[vm].paused_until
                    } else {
                        0
                    });
                    self.enqueue(at, vm, Event::SendOrder(order));
                    continue;
                }
            };
            let delay = self.rng.u64(2..20);
            self.enqueue(self.now + delay, vm, Event::LeaseCall(op, fence));
        }
    }

    /// Kills a VM, which comes back without state after `down_ms`.
    fn restart_vm(&mut self, vm: usize, down_ms: u64) {
        let mut issuer = Issuer::new(self.options.clone());
        issuer.set_eligible(true);
        issuer.set_plan(plan(self.version));
        self.vms[vm].issuer = issuer;
        self.vms[vm].restarts += 1;
        self.vms[vm].paused_until = 0;
        self.enqueue(self.now + down_ms, vm, Event::Tick);
    }

    fn on_lease_call(&mut self, vm: usize, op: u64, fence: Option<u64>) {
        if self.is_active(FaultKind::StoreDown) {
            return;
        }
        let ttl = u64::try_from(self.options.lease_ttl.as_millis()).expect("fits in 64 bits");
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
        if self.is_active(FaultKind::LostLeaseReplies) && self.rng.bool() {
            return;
        }
        let delay = self.rng.u64(2..20);
        self.enqueue(self.now + delay, vm, Event::LeaseResult(op, result));
    }

    fn send_order(&mut self, vm: usize, order: Order) {
        if Duration::from_millis(self.now) >= order.send_before {
            return;
        }
        if order.fence < self.highest_fence {
            self.violations.push(format!(
                "an order with fencing number {} after {}",
                order.fence, self.highest_fence
            ));
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        if self.is_active(FaultKind::LostOrders) && self.rng.bool() {
            return;
        }
        let delay = if self.is_active(FaultKind::OverdueOrders) && self.rng.bool() {
            self.rng.u64(1_000..12_000)
        } else if self.is_active(FaultKind::DelayedOrders) {
            self.rng.u64(0..500)
        } else {
            self.rng.u64(2..10)
        };
        let n = order.engine[1..].parse().expect("engine names have the form eN");
        let sent_at = self.now;
        self.enqueue(self.now + delay, vm, Event::OrderArrival(n, order, sent_at));
    }

    fn on_order(&mut self, vm: usize, n: usize, order: &Order, sent_at: u64) {
        let engine = &mut self.engines[n];
        if !engine.is_up {
            return;
        }
        if engine.has_fencing_check && order.fence < engine.fence {
            return self.enqueue(self.now + 5, vm, Event::RefusalArrival(order.fence));
        }
        engine.fence = engine.fence.max(order.fence);
        let current = engine.loading.as_ref().unwrap_or(&engine.state);
        if *current == order.state {
            return;
        }
        let is_overdue = Duration::from_millis(self.now - sent_at) > self.options.order_delay;
        self.check_load(n, is_overdue);
        let loading = self.engines.iter().filter(|e| e.loading.is_some()).count() as u64 + 1;
        let engine = &mut self.engines[n];
        engine.loading = Some(order.state.clone());
        engine.load_number += 1;
        engine.is_overdue = is_overdue;
        let (load_number, time) = (engine.load_number, self.load_ms * loading.max(2) / 2);
        self.enqueue(self.now + time, 0, Event::LoadEnd(n, load_number));
        if let Some(ms) = self.trigger(FaultKind::UnresponsiveLoad) {
            self.engines[n].unresponsive_until = self.now + 3 * ms;
        }
        if let Some(ms) = self.trigger(FaultKind::CrashInLoad) {
            self.enqueue(self.now + ms.min(time - 1), 0, Event::EngineCrash(n));
        }
    }

    /// Checks the properties at the start of a load. Loads by orders that took longer than the longest
    /// order delay are not counted: an engine that ignores fencing numbers accepts them, and the issuer can
    /// only order the desired state again.
    fn check_load(&mut self, n: usize, is_overdue: bool) {
        if is_overdue {
            return;
        }
        let window = u64::try_from(self.options.store_window.as_millis()).expect("fits in 64 bits");
        let is_loading = |e: &&Engine| e.loading.is_some() && !e.is_overdue;
        let others = self.engines.iter().enumerate().filter(|(m, _)| *m != n).map(|(_, e)| e);
        let loading = others.clone().filter(is_loading).count();
        if loading >= self.options.loading_max {
            self.violations.push(format!("{} engines load at {}", loading + 1, self.now));
        }
        self.load_starts.push(self.now);
        let recent = self.load_starts.iter().filter(|at| **at + window > self.now).count();
        if recent > self.options.store_loads {
            self.violations.push(format!("{recent} loads within {window} ms at {}", self.now));
        }
        let state = &self.engines[n].state;
        if !self.engines[n].is_serving(&state.role) {
            return;
        }
        // The issuer may not have received a report yet of a crash, or of a load by an overdue order.
        let options = &self.options;
        let report_delay = options.report_timeout + options.report_lag + options.order_delay;
        let is_unreported = |e: &Engine| {
            let has_crashed_recently = e.crashed_at.is_some_and(|at| {
                Duration::from_millis(self.now.saturating_sub(at)) < report_delay
            });
            e.state.role == state.role
                && (has_crashed_recently || (e.is_overdue && e.loading.is_some()))
        };
        let left = others.filter(|e| e.is_serving(&state.role) || is_unreported(e)).count();
        if left < plan(1).minimums[&state.role] {
            self.violations
                .push(format!("{left} engines of role {} serve at {}", state.role, self.now));
        }
    }

    fn end_load(&mut self, n: usize, load_number: u64) {
        let engine = &mut self.engines[n];
        if engine.load_number == load_number
            && let Some(state) = engine.loading.take()
        {
            engine.state = state;
            self.last_load_ended_at = self.now;
        }
    }

    fn crash_engine(&mut self, n: usize) {
        let engine = &mut self.engines[n];
        engine.incarnation += 1;
        engine.is_up = false;
        engine.loading = None;
        engine.state.models.clear();
        engine.fence = 0;
        engine.crashed_at = Some(self.now);
        self.enqueue(self.now + 1_500, 0, Event::EngineRestart(n));
    }

    fn send_report(&mut self, n: usize) {
        self.enqueue(self.now + REPORT_INTERVAL_MS, 0, Event::SendReport(n));
        let engine = &mut self.engines[n];
        if !engine.is_up || self.now < engine.unresponsive_until {
            return;
        }
        engine.report_count += 1;
        let report = Report {
            engine: format!("e{n}"),
            incarnation: engine.incarnation,
            seq: engine.report_count,
            loading: engine.loading.is_some(),
            state: engine.state.clone(),
        };
        for vm in 0..self.vms.len() {
            if !(self.is_active(FaultKind::LostReports) && self.rng.bool()) {
                let lag = self.rng.u64(0..900);
                self.enqueue(self.now + lag, vm, Event::ReportArrival(report.clone()));
            }
        }
    }
}
