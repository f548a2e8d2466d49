//! Orders to engines: performs the actions of `lw_order` on the platform.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lw_catalog::{Stage, Upstream};
use lw_order::{
    issuer::{Action, Issuer, LeaseResult},
    message::{EngineState, ModelState, Order, Report},
    options::Options,
    plan::Plan,
};
use lw_platform::{
    engine::{LoadOrder, Reaction, Swap},
    store::{Error, Expected, KeyWrite},
};
use lw_types::prelude::*;

use crate::{
    peers::{self, News},
    state::{
        Edge,
        keys::{self, LastIssuer},
    },
};

/// Lifetime of the issuer's lease. An issuer that dies delays orders by this.
const LEASE_TIME: Duration = Duration::from_millis(1500);
/// VMs that try at once to get the lease when nobody holds it.
const CANDIDATES: usize = 2;
/// Time after which one more VM tries.
const CANDIDATE_PERIOD: Duration = Duration::from_millis(200);
/// Time between two looks at what is to be ordered.
const TICK: Duration = Duration::from_millis(50);
/// Time before an order in which its engine gets no new work, so that short requests end.
const QUIET_TIME: Duration = Duration::from_millis(120);
/// Time for which an engine gets no new work unless it is known to serve the new weights before.
const HOLD_TIME: Duration = Duration::from_secs(6);
/// Least time after an order before its engine is asked for the first time whether it serves the new weights. Later
/// on it is the time that the last load took.
const FIRST_POLL: Duration = Duration::from_millis(500);
/// Time between two such questions.
const POLL_PERIOD: Duration = Duration::from_millis(100);
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

#[derive(Debug, Default)]
struct State {
    /// Lease id and fencing number while this VM may be the issuer.
    lease: Option<(Revision, u64)>,
    plan: Plan,
    /// Engines that the issuer knows.
    engines: Vec<UpstreamId>,
    /// Number of the last report that the issuer got.
    reports: u64,
    /// Since when nobody holds the lease.
    free_since: Option<Now>,
    /// Engines that are loading as far as they said.
    loading: HashMap<UpstreamId, bool>,
    last_order: Option<Now>,
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
            turn_wait: bounds.lease,
            store_loads: usize::MAX,
            store_window: Duration::ZERO,
            ..Options::default()
        };
        Self { issuer: Mutex::new(Issuer::new(options.clone())), options, state: Mutex::default() }
    }

    /// Fencing number while this VM holds the issuer's lease.
    #[must_use]
    pub fn fence(&self) -> Option<Revision> {
        self.state().lease.map(|(fence, _)| fence)
    }

    /// Remembers what an answer says about the orders that an engine has accepted.
    fn answered(&self, upstream: &Upstream, reaction: Reaction, expected_orders: u64) {
        let mut state = self.state();
        if reaction == Reaction::Accepted {
            state.accepted.insert(run_of(upstream), expected_orders + 1);
            state.loading.insert(upstream.id.clone(), true);
        } else {
            state.accepted.remove(&run_of(upstream));
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
        edge.orders.issuer().set_eligible(is_eligible(&edge, now));
        refresh(&edge, now);
        let actions = edge.orders.issuer().tick(now);
        for action in actions {
            match action {
                Action::Acquire { op } => drop(tokio::spawn(acquire(Arc::clone(&edge), op))),
                Action::Renew { op, fence } => {
                    drop(tokio::spawn(renew(Arc::clone(&edge), op, fence)));
                }
                Action::Send(order) => drop(tokio::spawn(send(Arc::clone(&edge), order))),
            }
        }
    }
}

/// This VM tries to hold the lease if it holds it, or if nobody does and few VMs come before it. The longer the lease
/// is free the more VMs try, since those before may not reach the store.
fn is_eligible(edge: &Edge, now: Now) -> bool {
    let mut state = edge.orders.state();
    if state.lease.is_some() {
        return true;
    }
    let known = edge.known();
    if known.catalog().is_none() || known.own(keys::ISSUER).is_some() || edge.is_leaving() {
        state.free_since = None;
        return false;
    }
    let free = now.saturating_sub(*state.free_since.get_or_insert(now));
    let own = vm_rank(&edge.settings.vm);
    let before = known.vms().filter(|(vm, _)| vm_rank(vm) > own).count();
    let more = free.as_millis() / CANDIDATE_PERIOD.as_millis();
    before < CANDIDATES + usize::try_from(more).unwrap_or(usize::MAX)
}

fn vm_rank(vm: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(vm.as_bytes())
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
        let oldest = |id: &str| {
            let (_, state) = reports.iter().find(|(upstream, _)| upstream.id == id)?;
            state.models.values().filter_map(|model| model.version.parse::<u64>().ok()).min()
        };
        let ranks = ranks(&engines, oldest);
        let plan = Plan { targets, ranks, loading_max, ..Plan::default() };
        (plan, reports)
    };
    let mut state = edge.orders.state();
    let mut issuer = edge.orders.issuer();
    let is_listed = |id: &str| reports.iter().any(|(upstream, _)| upstream.id == id);
    for id in state.engines.iter().filter(|id| !is_listed(id)) {
        issuer.on_gone(id);
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

/// Gives the lease back, so that another VM can go on at once.
pub async fn hand_over(edge: &Edge) {
    let lease = edge.orders.state().lease.take();
    edge.orders.issuer().set_eligible(false);
    let Some((fence, id)) = lease else { return };
    edge.orders.issuer().on_refused(edge.timer.now_suspended(), fence);
    match edge.store.end_lease(id).await {
        Ok(()) => log::info!(target: "order", fence = fence; "lease given back"),
        Err(e) => {
            log::warn!(target: "order", fence = fence, why = e.to_string(); "lease lapses");
        }
    }
}

async fn acquire(edge: Arc<Edge>, op: u64) {
    let result = match take_lease(&edge).await {
        Ok((fence, id, is_first)) => {
            log::info!(target: "order", fence = fence, first = is_first; "lease acquired");
            let mut state = edge.orders.state();
            state.lease = Some((fence, id));
            state.accepted.clear();
            drop(state);
            // Engines that check fencing numbers refuse the late orders of a former issuer themselves.
            if is_first || edge.settings.bounds.is_fenced {
                LeaseResult::GrantedFirst(fence)
            } else {
                LeaseResult::Granted(fence)
            }
        }
        Err(Error::Conflict) => LeaseResult::Refused,
        Err(e) => {
            log::debug!(target: "order", why = e.to_string(); "no lease");
            LeaseResult::Failed
        }
    };
    edge.orders.issuer().on_lease(edge.timer.now_suspended(), op, result);
}

/// Takes the lease and the key of the issuer. The key without a lease names the last issuer.
async fn take_lease(edge: &Edge) -> Result<(Revision, u64, bool), Error> {
    let last = edge.known().own(keys::LAST_ISSUER).cloned();
    let lease = edge.store.lease(edge.orders.options.lease_ttl).await?;
    let vm = edge.settings.vm.clone();
    let value = serde_json::to_vec(&LastIssuer { vm: vm.clone(), idle_ms: None })
        .map_err(|e| Error::Unreadable(e.to_string()))?;
    let last_revision = last.as_ref().map_or(0, |item| item.revision);
    let expected = vec![
        Expected { key: keys::ISSUER.into(), revision: 0 },
        Expected { key: keys::LAST_ISSUER.into(), revision: last_revision },
    ];
    let writes = vec![
        KeyWrite { key: keys::ISSUER.into(), value: value.clone(), lease: lease.id },
        KeyWrite { key: keys::LAST_ISSUER.into(), value, lease: 0 },
    ];
    let fence = edge.store.write(expected, writes, Vec::new()).await?;
    let is_own = |item: crate::state::OwnItem| {
        serde_json::from_slice::<LastIssuer>(&item.value).is_ok_and(|last| last.vm == vm)
    };
    Ok((fence, lease.id, last.is_none_or(is_own)))
}

async fn renew(edge: Arc<Edge>, op: u64, fence: Revision) {
    let lease = edge.orders.state().lease.filter(|(held, _)| *held == fence);
    let result = match lease {
        None => LeaseResult::Refused,
        Some((_, id)) => match edge.store.renew(id).await {
            Ok(_) => LeaseResult::Granted(fence),
            Err(Error::Absent) => {
                log::warn!(target: "order", fence = fence; "lease lost");
                edge.orders.state().lease = None;
                LeaseResult::Refused
            }
            Err(e) => {
                log::warn!(target: "order", fence = fence, why = e.to_string(); "lease not renewed");
                LeaseResult::Failed
            }
        },
    };
    edge.orders.issuer().on_lease(edge.timer.now_suspended(), op, result);
}

/// Lets an engine go quiet, gives it the order and asks until it serves the new weights.
async fn send(edge: Arc<Edge>, order: Order) {
    let Some(upstream) = edge.known().directory.get(&order.engine).cloned() else { return };
    for (model, state) in &order.state.models {
        let known = edge.with_fleet(&upstream.service, |fleet| fleet.version(&upstream.id, model));
        let Ok(version) = state.version.parse() else { continue };
        if known.flatten() == Some(version) {
            continue;
        }
        let ms = u64::try_from(HOLD_TIME.as_millis()).unwrap_or(u64::MAX);
        peers::tell(&edge, News::Hold { upstream: upstream.id.clone(), ms });
        tokio::time::sleep(QUIET_TIME).await;
        if edge.timer.now_suspended() >= order.send_before {
            late(&order);
            return;
        }
        give(&edge, &upstream, &order, model, version).await;
    }
}

async fn give(edge: &Arc<Edge>, upstream: &Upstream, order: &Order, model: &str, version: u64) {
    let expected_orders = match accepted_orders(edge, upstream).await {
        Ok(orders) => orders,
        Err(e) => {
            log::warn!(target: "order", upstream = upstream.id.as_str(), why = e.to_string();
                "engine gets no order");
            return;
        }
    };
    if edge.orders.state().loading.get(&upstream.id) == Some(&true) {
        log::info!(target: "order", upstream = upstream.id.as_str();
            "engine carries out an order of a former issuer");
        poll(edge, upstream, model, version).await;
        return;
    }
    if edge.timer.now_suspended() >= order.send_before {
        return late(order);
    }
    let load = LoadOrder {
        model,
        version,
        swap: Swap::Live,
        issuer: &edge.settings.vm,
        fence: order.fence,
        expected_orders,
    };
    let now = edge.timer.now_suspended();
    edge.orders.state().last_order = Some(now);
    let id = &upstream.id;
    match edge.engines.order(upstream.addr, id, &load).await {
        Ok(Reaction::Fenced) => {
            log::warn!(target: "order", upstream = id.as_str(), fence = order.fence;
                "engine has seen a higher fencing number");
            edge.orders.issuer().on_refused(now, order.fence);
        }
        Ok(reaction) => {
            edge.orders.answered(upstream, reaction, expected_orders);
            tell_order(order, model, version, &reaction.to_string());
            if poll(edge, upstream, model, version).await && reaction == Reaction::Accepted {
                edge.orders.loaded(edge.timer.now_suspended().saturating_sub(now));
            }
        }
        Err(e) => {
            edge.orders.state().accepted.remove(&run_of(upstream));
            tell_order(order, model, version, &e.to_string());
            poll(edge, upstream, model, version).await;
        }
    }
}

fn late(order: &Order) {
    log::warn!(target: "order", upstream = order.engine.as_str(), fence = order.fence;
        "order not sent, its time has passed");
}

fn tell_order(order: &Order, model: &str, version: u64, outcome: &str) {
    log::info!(target: "order", upstream = order.engine.as_str(), model = model,
        weights = version, fence = order.fence, outcome = outcome; "order given");
}

/// One run of an engine.
fn run_of(upstream: &Upstream) -> (UpstreamId, Incarnation) {
    (upstream.id.clone(), upstream.incarnation)
}

/// Orders that an engine has accepted in this run, asked for unless all of them are this VM's own.
async fn accepted_orders(
    edge: &Edge,
    upstream: &Upstream,
) -> Result<u64, lw_platform::engine::Error> {
    let known = edge.orders.state().accepted.get(&run_of(upstream)).copied();
    if let Some(orders) = known {
        return Ok(orders);
    }
    let report = edge.engines.report(upstream.addr, &upstream.id).await?;
    edge.orders.state().loading.insert(upstream.id.clone(), report.is_loading);
    Ok(report.orders)
}

/// Asks an engine until it serves the new weights; returns whether it does.
async fn poll(edge: &Arc<Edge>, upstream: &Upstream, model: &str, version: u64) -> bool {
    let load_time = edge.orders.state().load_time;
    tokio::time::sleep(load_time.map_or(FIRST_POLL, |time| time.max(FIRST_POLL))).await;
    let until = edge.timer.now() + edge.orders.options.load_max;
    while edge.timer.now() < until && edge.known().directory.get(&upstream.id).is_some() {
        match edge.engines.report(upstream.addr, &upstream.id).await {
            Ok(report) => {
                edge.orders.state().loading.insert(upstream.id.clone(), report.is_loading);
                let loaded = report.models.iter().find(|loaded| loaded.model == model);
                if let Some(loaded) = loaded.filter(|loaded| loaded.version >= version) {
                    let news = News::Serves {
                        upstream: upstream.id.clone(),
                        model: model.to_owned(),
                        version: loaded.version,
                    };
                    log::info!(target: "order", upstream = upstream.id.as_str(), model = model,
                        weights = loaded.version; "engine serves new weights");
                    edge.orders.state().loading.remove(&upstream.id);
                    peers::tell(edge, news);
                    return true;
                }
                if !report.is_loading {
                    return false;
                }
            }
            Err(e) => log::debug!(target: "order", upstream = upstream.id.as_str(),
                why = e.to_string(); "engine does not report"),
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    edge.orders.state().loading.remove(&upstream.id);
    false
}
