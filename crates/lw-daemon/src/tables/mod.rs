//! State that all worker threads share.
//!
//! Lock order: config, members, router, limits, claims, orders, decision log. A thread acquires locks in this order and
//! never holds one across an await.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt::Write as _,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use lw_config::{
    document::{Document, Model},
    settings::Settings,
};
use lw_forward::{
    collect::AnswerMemory,
    intake::CallerMemory,
    pool::{self, Pool},
};
use lw_metrics::{histograms::Histograms, statsd::Statsd};
use lw_protocol::platform::VmList;
use lw_route::Router;
use lw_transport::{client::Clients, store::Store, timer::Timer};
use lw_types::prelude::*;
use tokio::sync::Notify;

use crate::{claims::Claims, intake, limits::Limits, members::Members, orders::Orders};

pub mod decision_log;

use decision_log::DecisionLog;

/// Time for which the load balancer still sends new requests after this VM is marked as leaving.
pub const BALANCER_UPDATE_DELAY: Duration = Duration::from_millis(500);
/// Time before the stated end of an idle connection to a service from which on it is not reused.
const SERVICE_IDLE_MARGIN: Duration = Duration::from_millis(400);

/// The active configuration, with the lookup tables that requests need.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Configuration document.
    pub document: Document,
    /// Whether it is the bootstrap document, which no operator has accepted.
    pub is_provisional: bool,
    /// Models as they were before the latest rollout that changed them.
    pub previous: BTreeMap<ModelId, Model>,
    workspaces_by_key_digest: HashMap<String, WorkspaceId>,
}

impl ActiveConfig {
    /// Builds the lookup tables of a document. `before` is the configuration that it replaces.
    #[must_use]
    pub fn new(document: Document, is_provisional: bool, before: Option<&Self>) -> Self {
        let previous = before.map(|before| replaced_models(before, &document)).unwrap_or_default();
        let workspaces_by_key_digest = document
            .workspaces
            .iter()
            .flat_map(|(id, workspace)| {
                workspace.key_digests.iter().map(|d| (d.clone(), id.clone()))
            })
            .collect();
        Self { document, is_provisional, previous, workspaces_by_key_digest }
    }

    /// Returns the workspace of an API key.
    ///
    /// The lookup is by digest, so that its duration reveals nothing about the key.
    #[must_use]
    pub fn workspace_by_key(&self, key: &str) -> Option<&WorkspaceId> {
        self.workspaces_by_key_digest.get(&lw_config::document::key_digest(key))
    }
}

/// Returns the models whose versions differ from the previous configuration, as they were in it. An unchanged model
/// keeps the versions that its last rollout replaced, since that rollout may still be running.
fn replaced_models(before: &ActiveConfig, document: &Document) -> BTreeMap<ModelId, Model> {
    let models = document.models.iter().filter_map(|(name, model)| {
        let old = before.document.models.get(name)?;
        let is_unchanged = old.version == model.version && old.adapters == model.adapters;
        let old = if is_unchanged { before.previous.get(name)? } else { old };
        Some((name.clone(), old.clone()))
    });
    models.collect()
}

/// State of one VM that its requests and background tasks share.
pub struct Tables {
    /// Settings of this VM.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Clock and periodic ticks.
    pub timer: Timer,
    /// HTTP clients.
    pub clients: Arc<Clients>,
    /// The platform's store.
    pub store: Store,
    /// Latency histograms by workspace and class.
    pub histograms: Histograms,
    /// Statsd sink.
    pub statsd: Statsd,
    /// Notified when another configuration becomes active.
    pub config_changed: Notify,
    /// Notified when this VM is marked as leaving and when a request ends.
    pub drain_changed: Notify,
    config: RwLock<Option<Arc<ActiveConfig>>>,
    members: Mutex<Members>,
    router: Mutex<Router>,
    listed_leaving: RwLock<HashSet<UpstreamId>>,
    listed_vms: RwLock<HashSet<VmId>>,
    limits: Mutex<Limits>,
    claims: Mutex<Claims>,
    orders: Mutex<Orders>,
    decision_log: Mutex<DecisionLog>,
    /// Connections to plain services.
    pub service_connections: Arc<Pool>,
    /// Memory for callers' bytes.
    pub caller_memory: Arc<CallerMemory>,
    /// Collects answers in this memory.
    pub answer_memory: AnswerMemory,
    leaving_since: OnceLock<Now>,
    in_flight: AtomicU64,
    request_count: AtomicU64,
}

impl Tables {
    /// Creates empty tables for one VM.
    #[must_use]
    pub fn new(
        settings: Settings,
        bootstrap: Option<Document>,
        clients: Arc<Clients>,
        statsd: Statsd,
    ) -> Self {
        let timer = Timer::default();
        let incarnation = start_incarnation();
        let members = Members::new(&settings, incarnation, bootstrap, timer.now());
        let options = lw_route::Options {
            // Digest numbers start again with each process, so the name contains the incarnation.
            vm: format!("{}/{incarnation}", settings.vm),
            failure_domain: settings.failure_domain.clone(),
            kv_move: settings.kv_move.as_ref().map(kv_move),
            ..lw_route::Options::default()
        };
        let service_connections = Pool::new(pool::Options {
            connect_timeout: settings.timeouts.connect,
            idle_timeout: settings.timeouts.pool_idle,
            idle_margin: SERVICE_IDLE_MARGIN,
            connections_max: settings.limits.connections_max,
        });
        let caller_memory = intake::caller_memory(&settings.limits);
        let store = Store::new(Arc::clone(&clients), settings.platform, settings.timeouts.platform);
        Self {
            incarnation,
            timer,
            clients,
            store,
            histograms: Histograms::default(),
            statsd,
            config_changed: Notify::new(),
            drain_changed: Notify::new(),
            config: RwLock::default(),
            members: Mutex::new(members),
            router: Mutex::new(Router::new(options)),
            listed_leaving: RwLock::default(),
            listed_vms: RwLock::default(),
            limits: Mutex::new(Limits::new(&settings.vm, settings.limits.min_retries, timer.now())),
            claims: Mutex::new(Claims::new(
                settings.vm.clone(),
                incarnation,
                settings.claims.retention,
            )),
            orders: Mutex::default(),
            decision_log: Mutex::new(DecisionLog::new(settings.limits.decision_log)),
            service_connections,
            answer_memory: AnswerMemory::new(Arc::clone(&caller_memory)),
            caller_memory,
            leaving_since: OnceLock::new(),
            in_flight: AtomicU64::new(0),
            request_count: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the active configuration, if there is one yet.
    #[must_use]
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes a document the active configuration if its version is above the active one. Returns whether it did.
    ///
    /// An accepted document always replaces a provisional one; a provisional one never replaces a document.
    pub fn install(&self, document: Document, is_provisional: bool) -> bool {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = match config.as_ref() {
            None => true,
            Some(_) if is_provisional => false,
            Some(active) => active.is_provisional || document.version > active.document.version,
        };
        if !is_newer {
            return false;
        }
        log::info!("config: version {} is active, provisional: {is_provisional}", document.version);
        self.set_engines(&document);
        let active = ActiveConfig::new(document, is_provisional, config.as_deref());
        *config = Some(Arc::new(active));
        drop(config);
        self.config_changed.notify_waiters();
        true
    }

    fn set_engines(&self, document: &Document) {
        let leaving = self.listed_leaving.read().unwrap_or_else(PoisonError::into_inner).clone();
        self.router().set_engines(self.timer.now(), &engines(document, &leaving));
    }

    /// Applies the platform's VM list: the VMs that it lists as running, and the upstreams that it lists as leaving.
    pub fn set_platform_list(&self, list: &VmList) {
        let vms = list.vms.iter().filter(|vm| !vm.leaving).map(|vm| vm.id.clone()).collect();
        *self.listed_vms.write().unwrap_or_else(PoisonError::into_inner) = vms;
        let leaving: HashSet<_> =
            list.vms.iter().filter(|vm| vm.leaving).map(|vm| vm.id.clone()).collect();
        let mut current = self.listed_leaving.write().unwrap_or_else(PoisonError::into_inner);
        if *current == leaving {
            return;
        }
        *current = leaving;
        drop(current);
        if let Some(active) = self.active_config() {
            self.set_engines(&active.document);
        }
    }

    /// Whether the platform lists the VM `id` as running.
    #[must_use]
    pub fn is_listed(&self, id: &str) -> bool {
        self.listed_vms.read().unwrap_or_else(PoisonError::into_inner).contains(id)
    }

    /// Whether the platform lists the upstream `id` as leaving.
    #[must_use]
    pub fn is_listed_leaving(&self, id: &str) -> bool {
        self.listed_leaving.read().unwrap_or_else(PoisonError::into_inner).contains(id)
    }

    /// Locks the membership of this VM.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        crate::members::lock(&self.members)
    }

    /// Locks the router.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks admission, workspace limits and the retry budget.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the claims.
    pub fn claims(&self) -> MutexGuard<'_, Claims> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the orders to engines.
    pub fn orders(&self) -> MutexGuard<'_, Orders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the decision log.
    pub fn decision_log(&self) -> MutexGuard<'_, DecisionLog> {
        self.decision_log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a step of a request to the decision log and to the log.
    pub fn record_step(&self, component: &str, request: &str, step: &str) {
        log::debug!("{component}: {request} {step}");
        self.decision_log().add(self.timer.now(), request, step);
    }

    /// Returns a request id that is unique over all VMs and restarts.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let n = self.request_count.fetch_add(1, Ordering::Relaxed);
        let mut id = self.settings.vm.clone();
        let _ = write!(id, "-{:x}-{n:x}", self.incarnation);
        id
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { tables: Arc::clone(self) }
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Whether this VM is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Whether this VM is leaving and refuses further requests, since the load balancer sends it none any more.
    #[must_use]
    pub fn is_refusing_requests(&self) -> bool {
        let now = self.timer.now();
        self.leaving_since.get().is_some_and(|since| now >= *since + BALANCER_UPDATE_DELAY)
    }

    /// Marks this VM as leaving.
    pub fn mark_leaving(&self) {
        if self.leaving_since.set(self.timer.now()).is_ok() {
            log::info!("run: leaving, {} requests in flight", self.in_flight());
        }
        self.drain_changed.notify_waiters();
    }
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    tables: Arc<Tables>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.tables.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.tables.drain_changed.notify_waiters();
    }
}

/// Returns the milliseconds since the Unix epoch, which increase with each start without any state on disk.
fn start_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "sizes and speeds are far below 2^52")]
fn kv_move(settings: &lw_config::settings::KvMoveSettings) -> lw_route::options::KvMoveCost {
    lw_route::options::KvMoveCost {
        bytes_per_token: settings.bytes_per_token as f64,
        bytes_per_second: settings.megabytes_per_second as f64 * 1e6,
        setup: settings.setup,
    }
}

fn engines(document: &Document, leaving: &HashSet<UpstreamId>) -> Vec<lw_route::Engine> {
    use lw_config::document::UpstreamKind;
    document
        .upstreams
        .iter()
        .filter_map(|(id, upstream)| match &upstream.kind {
            UpstreamKind::Engine { role } => Some(lw_route::Engine {
                id: id.clone(),
                failure_domain: upstream.failure_domain.clone(),
                role: role.clone(),
                is_leaving: upstream.is_leaving || leaving.contains(id),
                incarnation: None,
            }),
            UpstreamKind::Service { .. } => None,
        })
        .collect()
}
