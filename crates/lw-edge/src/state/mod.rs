//! State that all requests and tasks of a VM share.
//!
//! Lock order: `store_view`, `upstream_pools`, `retry_budgets`, `quarantine`. No lock is held across an await.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use lw_catalog::{Catalog, ServiceKind, VmSettings, settings::Bounds, upstreams::Change};
use lw_forward::{
    collect::AnswerMemory,
    intake::CallerMemory,
    listen::ClosedCounts,
    pool::{self, Pool},
};
use lw_limit::retry;
use lw_observe::{
    logs::Logs,
    metrics::{Metrics, StoreCallLabels},
};
use lw_place::{CacheStoreSpec, UpstreamPool};
use lw_platform::{
    engine::EngineClient,
    store::{self, Store},
};
use lw_transport::{
    client::{self, Clients},
    datagram::Datagrams,
    timer::Timer,
};
use lw_types::prelude::*;
use tokio::sync::{Notify, broadcast, watch};

pub mod keys;
mod stop;
mod store_view;

pub use stop::StopAccount;
pub use store_view::{Provenance, RouterItem, StoreView, TargetVersion};

use crate::{
    admission::SharedAdmission,
    distribution::ChangeDistribution,
    intake,
    orders::Orders,
    peers,
    quarantine::{self, SharedQuarantine},
    quota::Quota,
    reach::SharedReach,
    register::Registration,
    software::SoftwareVersions,
};

/// Time limit for establishing a connection to an upstream or the store. Failure domains are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for a call to the store or an engine, in addition to the time that the call asks the server to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which an idle connection is kept if its upstream states no time.
const IDLE_TIME_DEFAULT: Duration = Duration::from_millis(500);
/// Time before the stated end of an idle connection from which on it is not reused.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// Fraction of the time between the signal to terminate and the kill in which a leaving VM still accepts requests. The
/// balancer has removed the VM by then, and most requests end in the remaining time, also at a VM that notices the signal a
/// sixteenth of that time late.
const ACCEPTING_FRACTION: f64 = 0.3;
/// Notices of unresponsive upstreams that may be pending for one request.
const UNRESPONSIVE_PENDING_MAX: usize = 64;
/// Fraction of the fleet's retry budget that the VMs use. Less than 1, since each VM counts retries on its own.
const RETRY_BUDGET_FRACTION: f64 = 0.8;

/// Requests that a VM gives up, since its process is about to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GivenUp {
    /// None.
    Nothing,
    /// Those without an answer.
    Unanswered,
    /// Streams that have begun as well.
    Streams,
    /// All that is left, since the process ends now.
    Everything,
}

/// State that all requests and tasks of a VM share.
#[derive(Debug)]
pub struct Edge {
    /// Settings with which this VM started. [`Edge::bounds`] returns the bounds in force, which may have changed since.
    pub settings: VmSettings,
    bounds: Mutex<Bounds>,
    /// Clocks and periodic ticks.
    pub timer: Timer,
    /// Pooled connections to upstreams.
    pub connection_pool: Arc<Pool>,
    /// The platform's store.
    pub store: Store,
    /// HTTP clients for the store, engines and other VMs.
    pub clients: Arc<Clients>,
    /// Changes of the store that other VMs request from this one.
    pub distribution: ChangeDistribution,
    /// Client for calls to engines.
    pub engines: EngineClient,
    /// Metrics of this VM.
    pub metrics: Metrics,
    /// The log of the process.
    pub logs: Logs,
    store_view: Mutex<StoreView>,
    upstream_pools: Mutex<HashMap<String, UpstreamPool>>,
    retry_budgets: Mutex<HashMap<String, retry::Budget>>,
    /// Memory for callers' bytes.
    pub caller_memory: Arc<CallerMemory>,
    /// Collects answers in this memory.
    pub answer_memory: AnswerMemory,
    /// Counts of callers' connections that were closed.
    pub closed_connections: Arc<ClosedCounts>,
    /// Admission to engines under overload.
    pub admission: SharedAdmission,
    /// Segments of prompts that crash engines.
    pub quarantine: SharedQuarantine,
    /// Paths to the upstreams.
    pub reach: SharedReach,
    /// State of issuing orders to engines.
    pub orders: Orders,
    /// Registration of this VM in the store.
    pub registration: Registration,
    /// Usage caps of workspaces.
    pub quota: Arc<Quota>,
    /// Software versions that began streams.
    pub software: SoftwareVersions,
    datagrams: OnceLock<Arc<Datagrams>>,
    /// The open query of this VM to others for the ages of versions of weights.
    pub version_age_query: peers::VersionAgeQuery,
    /// Wakes the tasks that wait for the next era of the store.
    era_changed: Notify,
    /// Wakes the requests that are in flight at an upstream that has become unresponsive.
    unresponsive: broadcast::Sender<UpstreamId>,
    /// Earliest time at which the signal to terminate may have been sent, by the clock that counts suspended time.
    leaving_since: OnceLock<Now>,
    /// How requests ended since this VM is leaving.
    pub stop_account: StopAccount,
    /// What is given up, since the process is about to end.
    given_up: watch::Sender<GivenUp>,
    in_flight: AtomicUsize,
}

impl Edge {
    /// Awaits the result of a call to the store and counts the call by its result.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn count_store_call<T>(
        &self,
        call: &'static str,
        result: impl Future<Output = Result<T, store::Error>>,
    ) -> Result<T, store::Error> {
        let result = result.await;
        let kind = match &result {
            Ok(_) => "ok",
            Err(store::Error::Conflict) => "conflict",
            Err(store::Error::Absent) => "absent",
            Err(store::Error::Compacted) => "compacted",
            Err(store::Error::TooLong) => "too_long",
            Err(store::Error::Unavailable(_)) => "unavailable",
            Err(store::Error::Unknown(_)) => "unknown",
            Err(store::Error::Unreadable(_)) => "unreadable",
        };
        self.metrics.store_calls.get_or_create(&StoreCallLabels { call, result: kind }).inc();
        result
    }

    /// Returns the state of a VM that has read nothing from the store yet.
    #[must_use]
    pub fn new(settings: VmSettings, logs: Logs) -> Self {
        let options = client::Options {
            connect_timeout: CONNECT_TIMEOUT,
            pool_idle_timeout: Duration::from_secs(4),
        };
        let clients = Arc::new(Clients::new(options));
        let connection_pool = Pool::new(pool::Options {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIME_DEFAULT,
            idle_margin: IDLE_MARGIN,
            connections_max: settings.sockets_max / 2,
        });
        let caller_memory = intake::caller_memory(settings.memory_bytes);
        Self {
            timer: Timer::default(),
            connection_pool,
            store: Store::new(Arc::clone(&clients), settings.store, CALL_TIMEOUT),
            engines: EngineClient::new(Arc::clone(&clients), CALL_TIMEOUT),
            clients,
            distribution: ChangeDistribution::default(),
            metrics: Metrics::default(),
            logs,
            store_view: Mutex::new(StoreView::new(Orders::lease_ttl(&settings.bounds))),
            upstream_pools: Mutex::default(),
            retry_budgets: Mutex::default(),
            answer_memory: AnswerMemory::new(Arc::clone(&caller_memory)),
            caller_memory,
            closed_connections: Arc::default(),
            admission: SharedAdmission::default(),
            quarantine: SharedQuarantine::new(settings.vm.clone()),
            reach: SharedReach::default(),
            orders: Orders::new(&settings),
            registration: Registration::default(),
            quota: Arc::default(),
            software: SoftwareVersions::default(),
            datagrams: OnceLock::new(),
            version_age_query: peers::VersionAgeQuery::default(),
            era_changed: Notify::new(),
            unresponsive: broadcast::Sender::new(UNRESPONSIVE_PENDING_MAX),
            given_up: watch::Sender::new(GivenUp::Nothing),
            leaving_since: OnceLock::new(),
            stop_account: StopAccount::default(),
            bounds: Mutex::new(settings.bounds),
            in_flight: AtomicUsize::new(0),
            settings,
        }
    }

    /// Returns the bounds in force.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        *lock(&self.bounds)
    }

    /// Applies all settings that were read again, or none of them.
    ///
    /// # Errors
    ///
    /// Returns a message that names the changed settings that need a restart; no setting is applied then.
    pub fn reconfigure(&self, new: &VmSettings) -> Result<(), String> {
        let fixed = self.settings.changes_needing_restart(new);
        if !fixed.is_empty() {
            return Err(format!("a restart is needed to change: {}", fixed.join(", ")));
        }
        *lock(&self.bounds) = new.bounds;
        Ok(())
    }

    /// Locks this VM's view of the store.
    pub fn store_view(&self) -> MutexGuard<'_, StoreView> {
        lock(&self.store_view)
    }

    /// Sets the era of the store that was read now, and removes the items of the router that it does not list. Returns the
    /// former era if it has changed.
    pub fn begin_era(&self, era: Era, is_listed: impl Fn(&str) -> bool) -> Option<Era> {
        let former = {
            // Under one lock, since an item that is missing in the next era was lost and not removed.
            let mut view = self.store_view();
            let former = view.set_era(era, self.timer.now_including_suspend());
            view.retain_router_items(is_listed);
            former
        };
        if former.is_some() {
            self.era_changed.notify_waiters();
        }
        former
    }

    /// Waits until the view of the store is of a later era.
    pub async fn wait_for_era_after(&self, era: Era) {
        loop {
            let changed = self.era_changed.notified();
            if self.store_view().era() > Some(era) {
                return;
            }
            changed.await;
        }
    }

    /// Locks the upstream pools, by service name.
    pub fn upstream_pools(&self) -> MutexGuard<'_, HashMap<String, UpstreamPool>> {
        lock(&self.upstream_pools)
    }

    /// Calls `f` with the upstream pool of a service. Returns `None` if there is no service of this name.
    pub fn with_upstream_pool<T>(
        &self,
        service: &str,
        f: impl FnOnce(&mut UpstreamPool) -> T,
    ) -> Option<T> {
        self.upstream_pools().get_mut(service).map(f)
    }

    /// Calls `f` with the retry budget of a service, which is created on first use.
    pub fn with_retry_budget<T>(
        &self,
        service: &str,
        f: impl FnOnce(&mut retry::Budget) -> T,
    ) -> T {
        let options = self.retry_options();
        let mut budgets = lock(&self.retry_budgets);
        if let Some(budget) = budgets.get_mut(service) {
            budget.set_options(options);
            return f(budget);
        }
        f(budgets.entry(service.to_owned()).or_insert_with(|| retry::Budget::new(options)))
    }

    /// Returns the number of retries left, by service name.
    #[must_use]
    pub fn retries_left(&self, now: Now) -> Vec<(String, u64)> {
        let budgets = lock(&self.retry_budgets);
        budgets.iter().map(|(service, budget)| (service.clone(), budget.remaining(now))).collect()
    }

    fn retry_options(&self) -> retry::Options {
        let vms = u64::try_from(self.store_view().vms_max()).unwrap_or(u64::MAX);
        let bounds = self.bounds();
        retry::Options {
            ratio: bounds.retry_ratio * RETRY_BUDGET_FRACTION,
            min_retries: bounds.retry_floor / vms.max(1),
            hedge_ratio: bounds.retry_ratio * RETRY_BUDGET_FRACTION,
            window_seconds: bounds.retry_window.as_secs(),
            ..retry::Options::default()
        }
    }

    /// Puts a configuration in force if it is newer than the previous one; returns whether it is.
    pub fn install(&self, catalog: Catalog) -> bool {
        let mut view = self.store_view();
        if !view.install(catalog) {
            return false;
        }
        let Some(catalog) = view.catalog() else { return false };
        let stores: Vec<_> =
            catalog.cache_stores().filter_map(|service| cache_store(&service.kind)).collect();
        let mut pools = self.upstream_pools();
        for service in catalog.services() {
            let pool = pools
                .entry(service.name.clone())
                .or_insert_with(|| UpstreamPool::new(self.settings.failure_domain.clone()));
            pool.configure(service.engines().cloned());
            pool.set_cache_stores(stores.iter().cloned());
            for (model, target) in view.target_versions() {
                pool.set_target_version(target.since, model, target.version);
            }
        }
        for upstream in view.directory.iter() {
            if let Some(pool) = pools.get_mut(&upstream.service) {
                pool.put(upstream);
            }
        }
        true
    }

    /// Applies changes of the registered upstreams to the upstream pools.
    pub fn apply_upstream_changes(&self, changes: Vec<Change>) {
        if !changes.is_empty() {
            self.software.on_upstreams_changed();
        }
        let mut pools = self.upstream_pools();
        for change in changes {
            match change {
                Change::Present(upstream) => {
                    let weights: Vec<_> =
                        upstream.models.iter().map(|m| m.version.to_string()).collect();
                    log::info!(target: "member", upstream = upstream.id.as_str(),
                        service = upstream.service.as_str(), addr = upstream.addr.to_string(),
                        stage = format!("{:?}", upstream.stage), weights = weights.join(","),
                        software = upstream.software.as_str();
                        "upstream registered");
                    // Its entry may have named another service before.
                    for (service, pool) in pools.iter_mut() {
                        if *service == upstream.service {
                            pool.put(&upstream);
                        } else {
                            pool.remove(&upstream.id);
                        }
                    }
                }
                Change::Gone(id) => {
                    log::info!(target: "member", upstream = id.as_str(); "upstream gone");
                    quarantine::record_down(self, &id);
                    for pool in pools.values_mut() {
                        pool.remove(&id);
                    }
                }
            }
        }
    }

    /// Marks an upstream as leaving, since it stated so in an answer to this VM or to another one. Returns whether it
    /// was not marked before.
    pub fn mark_upstream_leaving(&self, id: &str, incarnation: Incarnation) -> bool {
        let changes = self.store_view().directory.mark_leaving(id, incarnation);
        let has_changed = !changes.is_empty();
        self.apply_upstream_changes(changes);
        has_changed
    }

    /// Sets the target version of a model's weights, which became the target at `since` or later.
    pub fn set_target_version(&self, since: Now, model: &str, version: u64) {
        for pool in self.upstream_pools().values_mut() {
            pool.set_target_version(since, model, version);
        }
    }

    /// Notifies the requests in flight at an upstream that it has become unresponsive.
    pub fn notify_unresponsive(&self, upstream: &str) {
        // The result is an error if no request is in flight.
        let _ = self.unresponsive.send(upstream.to_owned());
    }

    /// Waits until this upstream has become unresponsive.
    pub async fn wait_until_unresponsive(&self, upstream: &str) {
        let mut unresponsive = self.unresponsive.subscribe();
        loop {
            match unresponsive.recv().await {
                Ok(id) if id == upstream => return,
                Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => std::future::pending().await,
            }
        }
    }

    /// Returns the datagram socket to the other VMs, once it is open.
    #[must_use]
    pub fn datagrams(&self) -> Option<&Arc<Datagrams>> {
        self.datagrams.get()
    }

    /// Sets the datagram socket to the other VMs.
    pub fn set_datagrams(&self, datagrams: Arc<Datagrams>) {
        if self.datagrams.set(datagrams).is_err() {
            log::warn!(target: "member", "the datagram socket to the other VMs is already set");
        }
    }

    /// Whether this VM accepts requests of callers: it is not leaving, has a configuration and may use keys.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.timer.now_including_suspend();
        !self.is_leaving() && self.store_view().may_use_keys(now, self.bounds().revoke)
    }

    /// Whether this VM is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Whether this VM is leaving and refuses further requests, since it ends too soon for them.
    #[must_use]
    pub fn is_refusing_requests(&self) -> bool {
        let last = self.bounds().grace.mul_f64(ACCEPTING_FRACTION);
        let now = self.timer.now_including_suspend();
        self.leaving_since.get().is_some_and(|since| now >= *since + last)
    }

    /// Marks this VM as leaving. The signal to terminate was sent at `since` or later, by the clock that counts suspended time.
    pub fn mark_leaving(&self, since: Now) {
        self.leaving_since.get_or_init(|| since);
    }

    /// Gives requests up, since the process is about to end.
    pub fn give_up(&self, given_up: GivenUp) {
        self.given_up.send_replace(given_up);
    }

    /// Waits until these requests, or more, are given up.
    pub async fn wait_until_given_up(&self, awaited: GivenUp) {
        // The sender lives as long as this.
        let _ = self.watch_given_up().wait_for(|given_up| *given_up >= awaited).await;
    }

    /// Watches which requests are given up.
    #[must_use]
    pub fn watch_given_up(&self) -> watch::Receiver<GivenUp> {
        self.given_up.subscribe()
    }

    /// Whether the process ends now, so that whatever is still in flight is cut.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        *self.given_up.borrow() >= GivenUp::Everything
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        if self.is_leaving() {
            self.stop_account.record_taken();
        }
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(self))
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

/// Keeps a request counted as in flight.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Edge>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the specification of a KV cache store for placement.
fn cache_store(kind: &ServiceKind) -> Option<CacheStoreSpec> {
    match kind {
        ServiceKind::CacheStore { addr, failure_domain, tokens, link_bits } => {
            Some(CacheStoreSpec {
                addr: *addr,
                failure_domain: failure_domain.clone(),
                tokens: *tokens,
                link_bits: *link_bits,
            })
        }
        ServiceKind::Plain | ServiceKind::Engines(_) => None,
    }
}
