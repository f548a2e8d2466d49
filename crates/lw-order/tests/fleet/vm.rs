//! A VM: drives [`Tenure`] as `lw_edge::orders` does, without sockets and clocks.

use std::{collections::BTreeMap, time::Duration};

use lw_order::{
    issuer::Action,
    message::{EngineState, ModelState, Order, Report},
    options::Options,
    plan::Plan,
    tenure::{
        Claim, Claimed, IssuerKey, LeaseRef, LeaseView, Renewal, StoredRecord, Tenure, Term,
        preceding_vms,
    },
};
use lw_types::prelude::*;

use super::{engine, orders::Poll, store};

const TICK_PERIOD: u64 = 50;
const READ_PERIOD: u64 = 120;
const READ_RETRY_PAUSE: u64 = 100;
const REGISTER_PERIOD: u64 = 1_300;
const PAUSE_BEFORE_ORDER: u64 = 120;
const OPEN_ORDERS_POLL: u64 = 10;
const OPEN_ORDERS_WAIT_MAX: u64 = 1_000;
/// Time from the first read in an era until the store has settled.
const SETTLE_TIME: u64 = 2_000;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the time limits of the platform's issuer, for the sheet value `LeaseMs` of 3 s.
pub fn options() -> Options {
    let lease_ttl = ms(1_500);
    Options {
        lease_ttl,
        lease_margin: lease_ttl / 5,
        lease_interval: lease_ttl / 4,
        store_timeout: lease_ttl / 2,
        send_window: ms(PAUSE_BEFORE_ORDER + 200),
        order_delay: ms(700),
        report_lag: ms(400),
        handover_wait: ms(super::rules::LEASE),
        store_loads: usize::MAX,
        store_window: Duration::ZERO,
        ..Options::default()
    }
}

/// What a VM does at a later time.
#[derive(Debug)]
pub enum Event {
    Tick,
    Read,
    Register {
        is_start: bool,
    },
    /// The pause before an order is over.
    OrderDue(Order),
    Poll(Poll),
    Leave,
    /// Checks whether the open orders of this term have ended, until this time.
    HandOver(Revision, u64),
    StoreAnswer(u64, Era, store::Answer),
    EngineAnswer(u64, engine::Answer),
    /// The timeout of a call has passed.
    Timeout(u64),
}

/// What a VM awaits the answer of a call for.
#[derive(Debug)]
pub enum Pending {
    Read { sent: u64 },
    CreateLease(u64, Claim),
    Claim(u64, Claim),
    RemoveKey(u64),
    Renew(u64, Revision, LeaseRef),
    Release(Term),
    EndLease,
    Other,
    AcceptedOrders(Order),
    Order { order: Order, expected_orders: u64, sent: u64 },
    Poll(Poll),
}

/// What a VM does to the outside.
#[derive(Debug)]
pub enum Output {
    Later(Duration, Event),
    Store(store::Call, Pending),
    Engine(usize, engine::Call, Pending),
    /// Notifies the other VMs that an engine serves a version.
    Serves(usize, u64),
}

#[derive(Debug)]
struct View {
    era: Era,
    era_since: u64,
    is_settled: bool,
    content: store::Content,
    record_read_at: u64,
}

#[derive(Debug)]
pub struct Vm {
    number: usize,
    pub(super) tenure: Tenure,
    pub latest_era: Era,
    view: Option<View>,
    has_been_current: bool,
    is_leaving: bool,
    pub pending: BTreeMap<u64, Pending>,
    /// Served versions by engine, as this VM knows them.
    pub served: Vec<u64>,
    pub(super) loading: BTreeMap<usize, bool>,
    pub(super) accepted: BTreeMap<usize, u64>,
    pub(super) load_time: Option<Duration>,
    plan: Plan,
    reports: u64,
    newest_version: u64,
    pub(super) out: Vec<Output>,
}

pub fn name(vm: usize) -> VmId {
    format!("vm-{vm}")
}

fn state(version: u64) -> EngineState {
    let model = ModelState { version: version.to_string(), ..ModelState::default() };
    EngineState { role: "llm".into(), models: [("m".to_owned(), model)].into() }
}

pub fn engine_of(order: &Order) -> (usize, u64) {
    let version = order.state.models["m"].version.parse().expect("a number");
    (order.engine[1..].parse().expect("engine names have the form eN"), version)
}

impl Vm {
    /// Starts a VM.
    pub fn start(number: usize, engines: usize, is_fenced: bool) -> Self {
        let startup_delay = ms((number as u64 * 379 + 113) % 1_000);
        Self {
            number,
            tenure: Tenure::new(&name(number), options(), is_fenced, startup_delay),
            latest_era: 0,
            view: None,
            has_been_current: false,
            is_leaving: false,
            pending: BTreeMap::new(),
            served: vec![0; engines],
            loading: BTreeMap::new(),
            accepted: BTreeMap::new(),
            load_time: None,
            plan: Plan::default(),
            reports: 0,
            newest_version: 0,
            out: vec![
                Output::Later(ms(0), Event::Tick),
                Output::Later(ms(5), Event::Read),
                Output::Later(ms(50), Event::Register { is_start: true }),
            ],
        }
    }

    /// Returns what is to be done to the outside.
    pub fn take_output(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    pub fn on_event(&mut self, now: u64, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::Read => self.call_store(store::Call::Read, Pending::Read { sent: now }),
            Event::Register { is_start } => {
                self.call_store(store::Call::Register { is_start }, Pending::Other);
                self.later(REGISTER_PERIOD, Event::Register { is_start: false });
            }
            Event::OrderDue(order) => self.on_order_due(now, order),
            Event::Poll(poll) => self.poll(now, poll),
            Event::Leave => {
                self.is_leaving = true;
                self.begin_hand_over(now);
            }
            Event::HandOver(fence, until) => self.hand_over(now, fence, until),
            Event::StoreAnswer(call, era, answer) => {
                if let Some(pending) = self.pending.remove(&call) {
                    self.latest_era = self.latest_era.max(era);
                    self.on_store_answer(now, pending, era, Some(answer));
                }
            }
            Event::EngineAnswer(call, answer) => {
                if let Some(pending) = self.pending.remove(&call) {
                    self.on_engine_answer(now, pending, Some(answer));
                }
            }
            Event::Timeout(call) => match self.pending.remove(&call) {
                None => {}
                Some(
                    pending @ (Pending::AcceptedOrders(_)
                    | Pending::Order { .. }
                    | Pending::Poll(_)),
                ) => self.on_engine_answer(now, pending, None),
                Some(pending) => self.on_store_answer(now, pending, self.latest_era, None),
            },
        }
    }

    pub(super) fn later(&mut self, delay: u64, event: Event) {
        self.out.push(Output::Later(ms(delay), event));
    }

    fn call_store(&mut self, call: store::Call, pending: Pending) {
        self.out.push(Output::Store(call, pending));
    }

    fn lease_view(&self) -> LeaseView {
        let view = self.view.as_ref();
        let content = view.map(|view| &view.content);
        let issuer = content.and_then(|content| content.issuer.as_ref());
        let last_issuer = content.and_then(|content| content.last_issuer.as_ref());
        LeaseView {
            latest_era: self.latest_era,
            era: view.map(|view| view.era),
            former_leases_end: view
                .map(|view| ms(view.era_since) + self.tenure.options().lease_ttl),
            is_settled: view.is_some_and(|view| view.is_settled),
            has_been_current: self.has_been_current,
            may_issue: !self.is_leaving && view.is_some(),
            issuer: issuer
                .map_or(IssuerKey::Absent, |item| IssuerKey::Held(item.record.holder.clone())),
            record: last_issuer.map(|item| StoredRecord {
                content: Some((item.record.clone(), item.era)),
                revision: item.revision,
                read_at: ms(view.map_or(0, |view| view.record_read_at)),
            }),
        }
    }

    fn preceding(&self) -> usize {
        let content = self.view.as_ref().map(|view| &view.content);
        let revisions = content.map(|content| content.vms.values().map(|(revision, _)| *revision));
        let own = content.and_then(|content| content.vms.get(&self.number));
        preceding_vms(own.map(|(revision, _)| *revision), revisions.into_iter().flatten())
    }

    fn tick(&mut self, now: u64) {
        self.later(TICK_PERIOD, Event::Tick);
        let view = self.lease_view();
        self.tenure.end_lost_term(ms(now), &view);
        let preceding = self.preceding();
        if self.tenure.update_eligibility(ms(now), &view, || preceding) {
            self.update_issuer(now);
        }
        for action in self.tenure.tick(ms(now)).actions {
            match action {
                Action::Acquire { op } => match self.tenure.claim(op, &view) {
                    Some(claim) => {
                        let pending = Pending::CreateLease(op, claim);
                        self.call_store(store::Call::CreateLease, pending);
                    }
                    None => self.on_not_acquired(now, op, true),
                },
                Action::Renew { op, fence } => match self.tenure.lease_to_renew(fence) {
                    Some(lease) if lease.era == self.latest_era => {
                        let pending = Pending::Renew(op, fence, lease);
                        self.call_store(store::Call::Renew(lease.id), pending);
                    }
                    _ => self.tenure.on_renewal(ms(now), op, fence, Renewal::Absent),
                },
                Action::Send(order) => {
                    let (engine, version) = engine_of(&order);
                    if self.served[engine] != version {
                        self.later(PAUSE_BEFORE_ORDER, Event::OrderDue(order));
                    }
                }
            }
        }
    }

    fn update_issuer(&mut self, now: u64) {
        let engines = self.served.len();
        // Engines with the oldest weights come first.
        let mut ranked: Vec<usize> = (0..engines).collect();
        ranked.sort_by_key(|n| self.served[*n]);
        let target = |n: usize| (format!("e{n}"), state(self.newest_version.max(self.served[n])));
        let plan = Plan {
            version: self.plan.version,
            targets: (0..engines).map(target).collect(),
            ranks: ranked.iter().enumerate().map(|(rank, n)| (format!("e{n}"), rank)).collect(),
            loading_max: Some((engines / 2).clamp(1, 2)),
            load_time: self.load_time,
            ..Plan::default()
        };
        if plan != self.plan {
            self.plan = Plan { version: self.plan.version + 1, ..plan };
            self.tenure.issuer().set_plan(self.plan.clone());
        }
        for n in 0..engines {
            self.reports += 1;
            let report = Report {
                engine: format!("e{n}"),
                incarnation: 1,
                seq: self.reports,
                loading: self.loading.get(&n).copied().unwrap_or(false),
                state: state(self.served[n]),
            };
            self.tenure.issuer().on_report(ms(now), report);
        }
    }

    fn on_store_answer(
        &mut self,
        now: u64,
        pending: Pending,
        era: Era,
        answer: Option<store::Answer>,
    ) {
        use store::Answer;
        match (pending, answer) {
            (Pending::Read { sent }, Some(Answer::Content(content))) => {
                self.apply(now, sent, era, *content);
                self.later(READ_PERIOD, Event::Read);
            }
            (Pending::Read { .. }, _) => self.later(READ_RETRY_PAUSE, Event::Read),
            (Pending::CreateLease(op, mut claim), Some(Answer::Lease(id))) => {
                match claim.on_lease(ms(now), LeaseRef { id, era }) {
                    Some(write) => {
                        self.call_store(store::Call::Write(write), Pending::Claim(op, claim));
                    }
                    None => self.on_not_acquired(now, op, true),
                }
            }
            (Pending::Claim(op, claim), Some(Answer::Written(revision))) => {
                self.on_claimed(now, op, &claim, Position { era, revision });
            }
            (Pending::RemoveKey(op), Some(Answer::Written(_))) => {
                self.on_not_acquired(now, op, true);
            }
            (
                Pending::CreateLease(op, _) | Pending::Claim(op, _) | Pending::RemoveKey(op),
                answer,
            ) => self.on_not_acquired(now, op, matches!(answer, Some(Answer::Conflict))),
            (Pending::Renew(op, fence, lease), answer) => {
                let renewal = match answer {
                    Some(Answer::Done) if lease.era == self.latest_era => Renewal::Renewed,
                    Some(Answer::Done | Answer::Absent) => Renewal::Absent,
                    _ => Renewal::Failed,
                };
                self.tenure.on_renewal(ms(now), op, fence, renewal);
            }
            (Pending::Release(_), Some(Answer::Written(_))) => {}
            (Pending::Release(term), _) => self.end_lease(term.lease()),
            _ => {}
        }
    }

    fn on_not_acquired(&mut self, now: u64, op: u64, is_refused: bool) {
        self.tenure.on_not_acquired(ms(now), op, is_refused);
        if self.is_leaving {
            self.begin_hand_over(now);
        }
    }

    fn on_claimed(&mut self, now: u64, op: u64, claim: &Claim, begun_at: Position) {
        match self.tenure.on_claimed(ms(now), claim, begun_at) {
            Claimed::Begun { .. } => self.accepted.clear(),
            Claimed::TooLate(term) => self.end_term(now, term),
            Claimed::OtherEra(remove) => {
                return self.call_store(store::Call::Write(remove), Pending::RemoveKey(op));
            }
        }
        if self.is_leaving {
            self.begin_hand_over(now);
        }
    }

    /// Applies a read of the whole store.
    fn apply(&mut self, now: u64, sent: u64, era: Era, content: store::Content) {
        let former = self.view.take();
        if former.as_ref().is_some_and(|view| view.era > era) {
            self.view = former;
            return;
        }
        let of_era = former.filter(|view| view.era == era);
        let revision =
            |content: &store::Content| content.last_issuer.as_ref().map(|item| item.revision);
        let same = of_era.as_ref().filter(|view| revision(&view.content) == revision(&content));
        let record_read_at = same.map_or(now, |view| view.record_read_at);
        let era_since = of_era.as_ref().map_or(now, |view| view.era_since);
        let is_settled = of_era.is_some_and(|view| view.is_settled)
            || sent >= era_since + SETTLE_TIME
            || content.settled == Some(era);
        self.has_been_current |= is_settled;
        self.newest_version = self.newest_version.max(content.version);
        if is_settled && content.settled != Some(era) {
            self.call_store(store::Call::Settle(era), Pending::Other);
        }
        self.view = Some(View { era, era_since, is_settled, content, record_read_at });
    }

    fn begin_hand_over(&mut self, now: u64) {
        if let Some(fence) = self.tenure.close(ms(now)) {
            self.hand_over(now, fence, now + OPEN_ORDERS_WAIT_MAX);
        }
    }

    fn hand_over(&mut self, now: u64, fence: Revision, until: u64) {
        if self.tenure.has_open_orders() && now < until {
            return self.later(OPEN_ORDERS_POLL, Event::HandOver(fence, until));
        }
        if let Some(term) = self.tenure.take_term(fence) {
            self.end_term(now, term);
        }
    }

    fn end_term(&mut self, now: u64, term: Term) {
        match term.release(ms(now), self.latest_era) {
            Some(release) => self.call_store(store::Call::Write(release), Pending::Release(term)),
            None => self.end_lease(term.lease()),
        }
    }

    fn end_lease(&mut self, lease: LeaseRef) {
        if lease.era == self.latest_era {
            self.call_store(store::Call::EndLease(lease.id), Pending::EndLease);
        }
    }
}
