//! Orders to engines: performs the actions of `lw_order` on the platform.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lw_catalog::{Stage, Upstream};
use lw_order::{
    handover::OrderHistory,
    issuer::{Action, Issuer},
    message::{EngineState, ModelState, Report},
    options::Options,
    plan::Plan,
};
use lw_platform::engine::OrderOutcome;
use lw_types::prelude::*;

use crate::state::Edge;

mod lease;
mod load;

pub use lease::hand_over;

/// Lifetime of the issuer's lease. An issuer that dies delays orders by this.
const LEASE_TIME: Duration = Duration::from_millis(1500);
/// Time between two looks at what is to be ordered.
const TICK: Duration = Duration::from_millis(50);
/// Time before an order in which its engine gets no new work, so that short requests end.
const QUIET_TIME: Duration = Duration::from_millis(120);
/// Usual time from the end of a load to the report that shows it.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Part of a service's engines that load at once. Their loads must end within a part of the time in which all engines
/// must serve a new version, while the others carry the load.
const LOADING_PART: usize = 6;
/// Fewest engines that load at once.
const LOADING_MIN: usize = 2;

/// The orders of one VM.
#[derive(Debug)]
pub struct Orders {
    issuer: Mutex<Issuer>,
    options: Options,
    state: Mutex<State>,
}

/// One time that this VM is the issuer.
#[derive(Debug)]
struct Term {
    fence: Revision,
    /// Id of the lease in the store.
    lease: u64,
    turns: OrderHistory,
    /// Whether no further order may be sent, since the lease is about to be given back.
    is_closed: bool,
}

#[derive(Debug, Default)]
struct State {
    /// The term while this VM may be the issuer.
    term: Option<Term>,
    plan: Plan,
    /// Engines that the issuer knows.
    engines: Vec<UpstreamId>,
    /// Number of the last report that the issuer got.
    reports: u64,
    /// Since when nobody holds the lease.
    free_since: Option<Now>,
    /// Whether this process has known any VM to hold it.
    has_seen_issuer: bool,
    /// Engines that are loading as far as they said.
    loading: HashMap<UpstreamId, bool>,
    /// Time from the last order that took effect to the end of its load, which grows while too many load at once.
    load_time: Option<Duration>,
    /// Orders that engines have accepted in their present runs, as far as all came from this VM.
    accepted: HashMap<(UpstreamId, Incarnation), u64>,
}

impl Orders {
    /// No orders yet.
    #[must_use]
    pub fn new(bounds: &lw_catalog::settings::Bounds) -> Self {
        let ms = Duration::from_millis;
        let lease_ttl = LEASE_TIME.max(bounds.lease_min);
        let options = Options {
            lease_ttl,
            lease_margin: lease_ttl / 5,
            lease_interval: lease_ttl / 4,
            store_timeout: lease_ttl / 2,
            send_window: QUIET_TIME + ms(200),
            order_delay: ms(700),
            report_lag: ms(400),
            handover_wait: bounds.lease,
            store_loads: usize::MAX,
            store_window: Duration::ZERO,
            ..Options::default()
        };
        Self { issuer: Mutex::new(Issuer::new(options.clone())), options, state: Mutex::default() }
    }

    /// Fencing number while this VM holds the issuer's lease.
    #[must_use]
    pub fn fence(&self) -> Option<Revision> {
        self.state().term.as_ref().map(|term| term.fence)
    }

    /// Notes that an order is about to be sent under this fencing number, unless that term is over.
    fn begin_order(&self, now: Now, fence: Revision) -> bool {
        let mut state = self.state();
        let term = state.term.as_mut().filter(|term| term.fence == fence && !term.is_closed);
        term.map(|term| term.turns.begin_order(now)).is_some()
    }

    /// Notes that an order under this fencing number was answered, or will not be.
    fn end_order(&self, now: Now, fence: Revision) {
        if let Some(term) = self.state().term.as_mut().filter(|term| term.fence == fence) {
            term.turns.end_order(now);
        }
    }

    /// Remembers what an answer says about the orders that an engine has accepted.
    fn answered(&self, upstream: &Upstream, reaction: OrderOutcome, expected_orders: u64) {
        let mut state = self.state();
        if reaction == OrderOutcome::Accepted {
            state.accepted.insert(load::run_of(upstream), expected_orders + 1);
            state.loading.insert(upstream.id.clone(), true);
        } else {
            state.accepted.remove(&load::run_of(upstream));
        }
    }

    /// Learns how long a load takes, from an order to the report that showed it.
    fn loaded(&self, time: Duration) {
        // The next engine goes quiet while the load before ends.
        let time = time.saturating_sub(REPORT_DELAY);
        self.state().load_time = Some(time);
    }

    fn issuer(&self) -> MutexGuard<'_, Issuer> {
        self.issuer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ticks the issuer until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(TICK);
    loop {
        ticks.tick().await;
        let now = edge.timer.now_suspended();
        let is_eligible = lease::is_eligible(&edge, now);
        edge.orders.issuer().set_eligible(is_eligible);
        // The plan and the reports grow with the engines, and only an issuer needs them.
        if is_eligible {
            refresh(&edge, now);
        }
        let actions = edge.orders.issuer().tick(now);
        for action in actions {
            match action {
                Action::Acquire { op } => drop(tokio::spawn(lease::acquire(Arc::clone(&edge), op))),
                Action::Renew { op, fence } => {
                    drop(tokio::spawn(lease::renew(Arc::clone(&edge), op, fence)));
                }
                Action::Send(order) => drop(tokio::spawn(load::send(Arc::clone(&edge), order))),
            }
        }
    }
}

/// Gives the issuer the plan and the states of the engines.
fn refresh(edge: &Edge, now: Now) {
    let (plan, reports) = {
        let known = edge.known();
        let catalog = known.catalog();
        let has_engines = |service: &str| {
            let service = catalog.as_ref().and_then(|catalog| catalog.service(service));
            service.is_some_and(|service| service.engines().is_some())
        };
        let engines: Vec<_> =
            known.directory.iter().filter(|upstream| has_engines(&upstream.service)).collect();
        let targets = engines.iter().filter(|u| u.stage == Stage::Ready).filter_map(|upstream| {
            Some((upstream.id.clone(), target(upstream, |model| known.version(model))?))
        });
        let targets: BTreeMap<_, _> = targets.collect();
        let loading_max = Some(loading_max(&targets));
        let reports: Vec<_> = engines.iter().map(|u| (Arc::clone(u), served(edge, u))).collect();
        let oldest: HashMap<_, _> = reports
            .iter()
            .map(|(upstream, state)| {
                let versions = state.models.values();
                let oldest = versions.filter_map(|model| model.version.parse::<u64>().ok()).min();
                (upstream.id.as_str(), oldest)
            })
            .collect();
        let ranks = ranks(&engines, |id| oldest.get(id).copied().flatten());
        let plan = Plan { targets, ranks, loading_max, ..Plan::default() };
        (plan, reports)
    };
    let mut state = edge.orders.state();
    let mut issuer = edge.orders.issuer();
    let listed: HashSet<&str> = reports.iter().map(|(upstream, _)| upstream.id.as_str()).collect();
    for id in state.engines.iter().filter(|id| !listed.contains(id.as_str())) {
        issuer.remove_engine(id);
    }
    state.engines = reports.iter().map(|(upstream, _)| upstream.id.clone()).collect();
    let plan = Plan { load_time: state.load_time, ..plan };
    let has_changed = Plan { version: state.plan.version, ..plan.clone() } != state.plan;
    if has_changed {
        let version = state.plan.version + 1;
        state.plan = Plan { version, ..plan };
        issuer.set_plan(state.plan.clone());
    }
    for (upstream, engine_state) in reports {
        state.reports += 1;
        let loading = state.loading.get(&upstream.id).copied().unwrap_or(false);
        issuer.on_report(
            now,
            Report {
                engine: upstream.id.clone(),
                incarnation: upstream.incarnation,
                seq: state.reports,
                loading,
                state: engine_state,
            },
        );
    }
}

/// Engines that load at once: a part of all, and at most half of any service.
fn loading_max(targets: &BTreeMap<UpstreamId, EngineState>) -> usize {
    let mut by_service: HashMap<&str, usize> = HashMap::new();
    for target in targets.values() {
        *by_service.entry(target.role.as_str()).or_default() += 1;
    }
    let smallest = by_service.values().min().copied().unwrap_or_default();
    (targets.len() / LOADING_PART).max(LOADING_MIN).min(smallest / 2).max(1)
}

/// What an engine is to serve: the named versions of its models.
fn target(upstream: &Upstream, version: impl Fn(&str) -> Option<u64>) -> Option<EngineState> {
    let models = upstream.models.iter().map(|loaded| {
        let version = version(&loaded.model)?.max(loaded.version);
        Some((loaded.model.clone(), model_state(version)))
    });
    let models = models.collect::<Option<_>>()?;
    Some(EngineState { role: upstream.service.clone(), models })
}

fn model_state(version: u64) -> ModelState {
    ModelState { version: version.to_string(), ..ModelState::default() }
}

/// What an engine serves as far as this VM knows.
fn served(edge: &Edge, upstream: &Upstream) -> EngineState {
    let fleets = edge.fleets();
    let fleet = fleets.get(&upstream.service);
    let models = upstream.models.iter().map(|loaded| {
        let known = fleet.and_then(|fleet| fleet.version(&upstream.id, &loaded.model));
        (loaded.model.clone(), model_state(known.unwrap_or(loaded.version)))
    });
    EngineState { role: upstream.service.clone(), models: models.collect() }
}

/// Engines with the oldest weights first, since their answers are worth least and are forbidden first; among equals
/// in turn from each failure domain, so that no domain is without engines that serve.
fn ranks(
    engines: &[&Arc<Upstream>],
    oldest: impl Fn(&str) -> Option<u64>,
) -> BTreeMap<UpstreamId, usize> {
    let mut by_domain: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for upstream in engines {
        by_domain.entry(&upstream.failure_domain).or_default().push(&upstream.id);
    }
    let domains = by_domain.len();
    let mut ranked = Vec::new();
    for (domain, ids) in by_domain.values_mut().enumerate() {
        ids.sort_unstable();
        let places = ids.iter().enumerate();
        ranked.extend(places.map(|(place, id)| (oldest(id), place * domains + domain, *id)));
    }
    ranked.sort_unstable();
    ranked.iter().enumerate().map(|(rank, (_, _, id))| ((*id).to_owned(), rank)).collect()
}
