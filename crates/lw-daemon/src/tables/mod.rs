//! The tables that all worker threads share.
//!
//! Lock order: config, members, router, limits, claims, orders, journal. A thread takes locks left to right and never
//! holds one across an await.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt::Write as _,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use lw_config::{
    document::{Document, Model},
    settings::Settings,
};
use lw_metrics::{histograms::Histograms, statsd::Statsd};
use lw_protocol::platform::VmList;
use lw_route::Router;
use lw_transport::{client::Clients, store::Store, timer::Timer};
use lw_types::prelude::*;
use tokio::sync::Notify;

use crate::{claims::Claims, limits::Limits, members::Members, orders::Orders};

pub mod journal;

use journal::Journal;

/// A configuration in force, with the lookups that requests need.
#[derive(Debug)]
pub struct Active {
    /// The document.
    pub document: Document,
    /// Whether it is the bootstrap document, which no operator's patch has accepted.
    pub provisional: bool,
    /// Models of the configuration before, with the versions that a rollout replaces.
    pub previous: BTreeMap<ModelId, Model>,
    by_digest: HashMap<String, WorkspaceId>,
}

impl Active {
    /// Prepares the lookups of a document.
    #[must_use]
    pub fn new(document: Document, provisional: bool, before: Option<&Self>) -> Self {
        let previous = before.map(|before| replaced(before, &document)).unwrap_or_default();
        let by_digest = document
            .workspaces
            .iter()
            .flat_map(|(id, workspace)| {
                workspace.key_digests.iter().map(|d| (d.clone(), id.clone()))
            })
            .collect();
        Self { document, provisional, previous, by_digest }
    }

    /// The workspace of an API key.
    ///
    /// The lookup is by digest, so its time tells nothing about the key itself.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceId> {
        self.by_digest.get(&lw_config::document::key_digest(key))
    }
}

/// The models whose versions differ from those of the configuration before. A model that does not differ keeps the
/// versions that its last rollout replaced, since that rollout may still go on.
fn replaced(before: &Active, document: &Document) -> BTreeMap<ModelId, Model> {
    let models = document.models.iter().filter_map(|(name, model)| {
        let old = before.document.models.get(name)?;
        let is_same = old.version == model.version && old.adapters == model.adapters;
        let old = if is_same { before.previous.get(name)? } else { old };
        Some((name.clone(), old.clone()))
    });
    models.collect()
}

/// Everything that requests share.
pub struct Tables {
    /// Settings of this VM.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Time and ticks.
    pub timer: Timer,
    /// HTTP clients.
    pub clients: Arc<Clients>,
    /// The platform's store.
    pub store: Store,
    /// Histograms by workspace and class.
    pub histograms: Histograms,
    /// Statsd counters.
    pub statsd: Statsd,
    /// Wakes tasks that follow the configuration.
    pub config_changed: Notify,
    /// Wakes the tasks that wait for the drain.
    pub drain_changed: Notify,
    config: RwLock<Option<Arc<Active>>>,
    members: Mutex<Members>,
    router: Mutex<Router>,
    listed_leaving: RwLock<HashSet<UpstreamId>>,
    listed_vms: RwLock<HashSet<VmId>>,
    limits: Mutex<Limits>,
    claims: Mutex<Claims>,
    orders: Mutex<Orders>,
    journal: Mutex<Journal>,
    leaving: AtomicBool,
    in_flight: AtomicU64,
    requests: AtomicU64,
}

impl Tables {
    /// Empty tables for one VM.
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
            // Numbers of digests start anew with each process, so the incarnation is part of the name.
            vm: format!("{}/{incarnation}", settings.vm),
            failure_domain: settings.failure_domain.clone(),
            kv_move: settings.kv_move.as_ref().map(kv_move),
            ..lw_route::Options::default()
        };
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
            journal: Mutex::new(Journal::new(settings.limits.decision_log)),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            settings,
        }
    }

    /// The configuration in force, if there is one yet.
    #[must_use]
    pub fn active(&self) -> Option<Arc<Active>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Installs a document if its version is above the one in force. Returns whether it was installed.
    ///
    /// An accepted document always replaces a provisional one; a provisional one replaces nothing.
    pub fn install(&self, document: Document, provisional: bool) -> bool {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = match config.as_ref() {
            None => true,
            Some(_) if provisional => false,
            Some(active) => active.provisional || document.version > active.document.version,
        };
        if !is_newer {
            return false;
        }
        log::info!("config: version {} in force, provisional: {provisional}", document.version);
        self.set_engines(&document);
        let active = Active::new(document, provisional, config.as_deref());
        *config = Some(Arc::new(active));
        drop(config);
        self.config_changed.notify_waiters();
        true
    }

    fn set_engines(&self, document: &Document) {
        let leaving = self.listed_leaving.read().unwrap_or_else(PoisonError::into_inner).clone();
        self.router().set_engines(self.timer.now(), &engines(document, &leaving));
    }

    /// Takes the platform's list: the VMs that it names, and the upstreams that are leaving.
    pub fn set_listed(&self, list: &VmList) {
        let vms = list.vms.iter().filter(|vm| !vm.leaving).map(|vm| vm.id.clone()).collect();
        *self.listed_vms.write().unwrap_or_else(PoisonError::into_inner) = vms;
        let leaving: HashSet<_> =
            list.vms.iter().filter(|vm| vm.leaving).map(|vm| vm.id.clone()).collect();
        let mut known = self.listed_leaving.write().unwrap_or_else(PoisonError::into_inner);
        if *known == leaving {
            return;
        }
        *known = leaving;
        drop(known);
        if let Some(active) = self.active() {
            self.set_engines(&active.document);
        }
    }

    /// Whether the platform's list names this VM as running.
    #[must_use]
    pub fn is_listed(&self, id: &str) -> bool {
        self.listed_vms.read().unwrap_or_else(PoisonError::into_inner).contains(id)
    }

    /// Whether the platform's list names this upstream as leaving.
    #[must_use]
    pub fn is_listed_leaving(&self, id: &str) -> bool {
        self.listed_leaving.read().unwrap_or_else(PoisonError::into_inner).contains(id)
    }

    /// The membership of this VM.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        crate::members::lock(&self.members)
    }

    /// The router.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admission, workspace limits and the retry budget.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The claims.
    pub fn claims(&self) -> MutexGuard<'_, Claims> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The orders to engines.
    pub fn orders(&self) -> MutexGuard<'_, Orders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The decision log.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a step of the decisions on a request, and logs it.
    pub fn note(&self, part: &str, request: &str, what: &str) {
        log::debug!("{part}: {request} {what}");
        self.journal().add(self.timer.now(), request, what);
    }

    /// A request id that is unique over all VMs and restarts.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        let n = self.requests.fetch_add(1, Ordering::Relaxed);
        let mut id = self.settings.vm.clone();
        let _ = write!(id, "-{:x}-{n:x}", self.incarnation);
        id
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight { tables: Arc::clone(self) }
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Whether this VM is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks this VM as leaving.
    pub fn leave(&self) {
        if !self.leaving.swap(true, Ordering::AcqRel) {
            log::info!("run: leaving, {} requests in flight", self.in_flight());
        }
        self.drain_changed.notify_waiters();
    }
}

/// Keeps a request counted as in flight.
pub struct InFlight {
    tables: Arc<Tables>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.tables.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.tables.drain_changed.notify_waiters();
    }
}

/// Milliseconds since the Unix epoch: grows with each start without anything kept on disk.
fn start_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "sizes and speeds are far below 2^52")]
fn kv_move(settings: &lw_config::settings::KvMoveSettings) -> lw_route::options::KvMove {
    lw_route::options::KvMove {
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
                leaving: upstream.is_leaving || leaving.contains(id),
                incarnation: None,
            }),
            UpstreamKind::Service { .. } => None,
        })
        .collect()
}
