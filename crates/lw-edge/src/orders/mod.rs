//! Orders to engines to load weights: carries out the actions of [`lw_order::issuer`] on the platform.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lw_catalog::{Stage, Upstream, VmSettings, settings::Bounds};
use lw_order::{
    issuer::Action,
    message::{EngineState, ModelState, Report},
    options::Options,
    plan::Plan,
    tenure::Tenure,
};
use lw_platform::engine::OrderOutcome;
use lw_types::prelude::*;

use crate::{
    peers, register,
    state::{Edge, StoreView},
};

mod lease;
mod load;
pub mod notices;

pub use lease::hand_over;
use notices::LoadNotices;

/// Lifetime of the issuer's lease. A crash of the issuer delays orders by this.
const LEASE_TTL: Duration = Duration::from_millis(1500);
/// Time between two ticks of the issuer.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time before an order for which its engine gets no new work, so that short requests can finish.
const PAUSE_BEFORE_ORDER: Duration = Duration::from_millis(120);
/// One in this many engines loads at once. All loads together must end within a fraction of the time in which all
/// engines must serve a new version, while the remaining engines serve all requests.
const LOADING_DIVISOR: usize = 6;
/// Fewest engines that load at once, if the services are large enough.
const LOADING_MIN: usize = 2;

/// The issuer of one VM and the state of its orders.
#[derive(Debug)]
pub struct Orders {
    tenure: Mutex<Tenure>,
    options: Options,
    state: Mutex<State>,
    notices: LoadNotices,
}

#[derive(Debug, Default)]
struct State {
    plan: Plan,
    /// Engines that were reported to the issuer.
    engines: Vec<UpstreamId>,
    /// Number of the last report to the issuer.
    reports: u64,
    /// Whether engines are loading, by their last answers.
    loading: HashMap<UpstreamId, bool>,
    /// Time from the last order that took effect to the end of its load. It grows while too many engines load at once.
    load_time: Option<Duration>,
    /// Orders that engines have accepted in their current incarnations. Only for engines whose orders in the current
    /// incarnation all came from this VM.
    accepted: HashMap<(UpstreamId, Incarnation), u64>,
}

impl Orders {
    /// Returns the lifetime of the issuer's lease.
    #[must_use]
    pub fn lease_ttl(bounds: &Bounds) -> Duration {
        LEASE_TTL.max(bounds.lease_min)
    }

    /// Creates an issuer that has issued no orders.
    #[must_use]
    pub fn new(settings: &VmSettings) -> Self {
        let (vm, bounds) = (&settings.vm, &settings.bounds);
        let ms = Duration::from_millis;
        let lease_ttl = Self::lease_ttl(bounds);
        let options = Options {
            lease_ttl,
            lease_margin: lease_ttl / 5,
            lease_interval: lease_ttl / 4,
            store_timeout: lease_ttl / 2,
            send_window: PAUSE_BEFORE_ORDER + ms(200),
            order_delay: ms(700),
            report_lag: ms(400),
            handover_wait: bounds.lease,
            store_loads: usize::MAX,
            store_window: Duration::ZERO,
            ..Options::default()
        };
        let startup_delay = register::startup_delay(vm);
        let tenure = Tenure::new(vm, options.clone(), bounds.is_fenced, startup_delay);
        let (state, notices) = (Mutex::default(), LoadNotices::default());
        Self { tenure: Mutex::new(tenure), options, state, notices }
    }

    /// Returns the fencing number, if this VM holds the issuer's lease.
    #[must_use]
    pub fn fence(&self) -> Option<Revision> {
        self.tenure().fence()
    }

    /// Records an engine's answer to an order, of which the engine had accepted `expected_orders` before.
    fn record_answer(&self, upstream: &Upstream, outcome: OrderOutcome, expected_orders: u64) {
        let mut state = self.state();
        if outcome == OrderOutcome::Accepted {
            state.accepted.insert(load::incarnation_key(upstream), expected_orders + 1);
            state.loading.insert(upstream.id.clone(), true);
        } else {
            state.accepted.remove(&load::incarnation_key(upstream));
        }
    }

    fn tenure(&self) -> MutexGuard<'_, Tenure> {
        self.tenure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ticks the issuer until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(TICK_PERIOD);
    loop {
        ticks.tick().await;
        let now = edge.timer.now_including_suspend();
        let view = lease::lease_view(&edge);
        let lost = edge.orders.tenure().end_lost_term(now, &view);
        if let Some(fence) = lost {
            log::warn!(target: "order", fence = fence, era = view.latest_era; "lease lost");
        }
        let preceding = || lease::preceding(&edge);
        let is_eligible = edge.orders.tenure().update_eligibility(now, &view, preceding);
        // The plan and the reports grow with the engines, and only an issuer needs them.
        if is_eligible {
            update_issuer(&edge, now);
        }
        let ticked = edge.orders.tenure().tick(now);
        if let Some(fence) = ticked.ran_out {
            log::warn!(target: "order", fence = fence; "lease ran out");
        }
        for action in ticked.actions {
            match action {
                Action::Acquire { op } => drop(tokio::spawn(lease::acquire(Arc::clone(&edge), op))),
                Action::Renew { op, fence } => {
                    drop(tokio::spawn(lease::renew(Arc::clone(&edge), op, fence)));
                }
                Action::Send(order) => drop(tokio::spawn(load::execute(Arc::clone(&edge), order))),
            }
        }
        for notice in edge.orders.notices.take(load::PAUSE_TIME) {
            peers::send_through_relays(&edge, notice);
        }
    }
}

/// Passes the plan and the states of the engines to the issuer.
fn update_issuer(edge: &Edge, now: Now) {
    let (plan, reports) = {
        let view = edge.store_view();
        let catalog = view.catalog();
        let has_engines = |service: &str| {
            let service = catalog.as_ref().and_then(|catalog| catalog.service(service));
            service.is_some_and(|service| service.engines().is_some())
        };
        let engines: Vec<_> =
            view.directory.iter().filter(|upstream| has_engines(&upstream.service)).collect();
        let states: Vec<_> =
            engines.iter().map(|u| (Arc::clone(u), model_versions(edge, &view, u))).collect();
        let ready = states.iter().filter(|(upstream, _)| upstream.stage == Stage::Ready);
        let targets: BTreeMap<_, _> = ready
            .map(|(upstream, models)| (upstream.id.clone(), target_state(upstream, models)))
            .filter(|(_, target)| !target.models.is_empty())
            .collect();
        let loading_max = Some(loading_max(&targets));
        let lags: HashMap<_, _> = states
            .iter()
            .map(|(upstream, models)| {
                let lag = models.iter().map(|model| model.target - model.served).max();
                (upstream.id.as_str(), lag.unwrap_or_default())
            })
            .collect();
        let ranks = ranks(&engines, |id| lags.get(id).copied().unwrap_or_default());
        let reports: Vec<_> = states
            .iter()
            .map(|(upstream, models)| (Arc::clone(upstream), served_state(upstream, models)))
            .collect();
        let plan = Plan { targets, ranks, loading_max, ..Plan::default() };
        (plan, reports)
    };
    let mut state = edge.orders.state();
    let mut tenure = edge.orders.tenure();
    let issuer = tenure.issuer();
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

/// Returns how many engines may load at once: a fraction of all, and at most half of the smallest service.
fn loading_max(targets: &BTreeMap<UpstreamId, EngineState>) -> usize {
    let mut by_service: HashMap<&str, usize> = HashMap::new();
    for target in targets.values() {
        *by_service.entry(target.role.as_str()).or_default() += 1;
    }
    let smallest = by_service.values().min().copied().unwrap_or_default();
    (targets.len() / LOADING_DIVISOR).max(LOADING_MIN).min(smallest / 2).max(1)
}

/// A model of an engine whose weights operators have named.
#[derive(Debug)]
struct ModelVersions {
    model: ModelId,
    /// Version that the engine serves, as this VM sees it.
    served: u64,
    /// Version that the engine is to reach, never older than the served one.
    target: u64,
}

/// Returns the models of an engine that have a target version. The others keep the weights that they have, and orders for
/// one model do not affect them.
fn model_versions(edge: &Edge, view: &StoreView, upstream: &Upstream) -> Vec<ModelVersions> {
    let pools = edge.upstream_pools();
    let pool = pools.get(&upstream.service);
    let versions = upstream.models.iter().filter_map(|loaded| {
        let newest = view.newest_version(&loaded.model)?;
        let served = pool.and_then(|pool| pool.version(&upstream.id, &loaded.model));
        let served = served.unwrap_or(loaded.version);
        let target = newest.max(loaded.version).max(served);
        Some(ModelVersions { model: loaded.model.clone(), served, target })
    });
    versions.collect()
}

/// Returns the state that an engine is to reach.
fn target_state(upstream: &Upstream, models: &[ModelVersions]) -> EngineState {
    engine_state(upstream, models, |model| model.target)
}

/// Returns the state of an engine as this VM sees it.
fn served_state(upstream: &Upstream, models: &[ModelVersions]) -> EngineState {
    engine_state(upstream, models, |model| model.served)
}

fn engine_state(
    upstream: &Upstream,
    models: &[ModelVersions],
    version: impl Fn(&ModelVersions) -> u64,
) -> EngineState {
    let state = |model: &ModelVersions| ModelState {
        version: version(model).to_string(),
        ..ModelState::default()
    };
    let models = models.iter().map(|model| (model.model.clone(), state(model)));
    EngineState { role: upstream.service.clone(), models: models.collect() }
}

/// Returns the sequence in which engines load. Those that lag furthest behind the target version of a model come first, since
/// their answers are worth least and are forbidden first. Among equals the failure domains alternate, so that none is without
/// engines that serve.
fn ranks(engines: &[&Arc<Upstream>], lag: impl Fn(&str) -> u64) -> BTreeMap<UpstreamId, usize> {
    let mut by_domain: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for upstream in engines {
        by_domain.entry(&upstream.failure_domain).or_default().push(&upstream.id);
    }
    let domains = by_domain.len();
    let mut ranked = Vec::new();
    for (domain, ids) in by_domain.values_mut().enumerate() {
        ids.sort_unstable();
        let indexed = ids.iter().enumerate();
        ranked.extend(indexed.map(|(index, id)| (Reverse(lag(id)), index * domains + domain, *id)));
    }
    ranked.sort_unstable();
    ranked.iter().enumerate().map(|(rank, (_, _, id))| ((*id).to_owned(), rank)).collect()
}
