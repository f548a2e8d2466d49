//! Routes, services and workspaces of the operators' configuration, with the lookups that requests need.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use lw_types::prelude::*;

mod lookup;

/// Least time for which callers of streams wait for an event; it and the two below stand in the platform's protocol.
const MAX_WAIT_FLOOR: Duration = Duration::from_secs(2);
/// Multiple of the target for the first event for which they wait.
const MAX_WAIT_LATENCY_FACTOR: u32 = 4;
/// Multiple of the target for pauses for which they wait.
const MAX_WAIT_GAP_FACTOR: u32 = 8;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events. It may be resumed after its last event, or else runs at most once.
    Stream {
        /// Whether the stream may go on at another engine.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent once more.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// One service among the targets of a route, with its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that it is for, in lower case.
    pub host: String,
    /// Beginning of the paths that it is for.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time: its whole, or the first event of a stream.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub target_gap: Option<Duration>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services that it sends to.
    pub targets: Vec<Target>,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
    /// Whether requests name their prompt's parts.
    pub has_prompt_segments: bool,
}

impl Route {
    /// Longest time for which callers wait: for the next event of a stream, or for a whole answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_catalog::{RouteKind, Route};
    /// let route = Route {
    ///     name: "r".into(),
    ///     host: "desk.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Stream { resumable: true },
    ///     timeout: Duration::from_secs(6),
    ///     target_latency: Duration::from_millis(600),
    ///     target_gap: None,
    ///     priority: 0,
    ///     targets: Vec::new(),
    ///     attempts: 2,
    ///     is_anonymous: false,
    ///     has_prompt_segments: true,
    /// };
    /// assert_eq!(route.max_wait(), Duration::from_millis(2400));
    /// ```
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        match self.kind {
            RouteKind::Stream { .. } => {
                let gaps = self.target_gap.unwrap_or_default() * MAX_WAIT_GAP_FACTOR;
                MAX_WAIT_FLOOR.max(self.target_latency * MAX_WAIT_LATENCY_FACTOR).max(gaps)
            }
            RouteKind::Idempotent | RouteKind::AtMostOnce => self.timeout,
        }
    }
}

/// What the configuration says about the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for running requests and cached parts, in tokens.
    pub cache_tokens: u64,
    /// Size of the KV cache of one token, in bytes.
    pub token_bytes: u64,
    /// Speed of an engine's link, in bits per second.
    pub link_bits: f64,
    /// Most tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Calls for cache events that an engine holds at once.
    pub event_calls_max: usize,
    /// Models that the engines serve.
    pub models: Vec<ModelId>,
}

/// What stands behind a service.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceKind {
    /// Servers that run calls.
    Plain,
    /// Model engines.
    Engines(EngineSpec),
    /// A store of KV cache.
    CacheStore {
        /// Its address.
        addr: SocketAddr,
        /// Its failure domain.
        failure_domain: Domain,
        /// Its room in tokens.
        tokens: u64,
        /// Speed of its link in bits per second.
        link_bits: f64,
    },
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all VMs.
    pub connections_max: usize,
    /// What stands behind it.
    pub kind: ServiceKind,
}

impl Service {
    /// What the configuration says about its engines, if it has any.
    #[must_use]
    pub fn engines(&self) -> Option<&EngineSpec> {
        match &self.kind {
            ServiceKind::Engines(spec) => Some(spec),
            _ => None,
        }
    }
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank of its requests, before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no KV cache with other workspaces.
    pub is_isolated: bool,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_time: Duration,
    /// Longest time without a request on a connection.
    pub idle_time: Duration,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone)]
pub struct Catalog {
    /// Its version.
    pub version: ConfigVersion,
    /// Bounds on callers.
    pub limits: CallerLimits,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    workspaces: Vec<Arc<Workspace>>,
    by_key: HashMap<String, usize>,
}

/// The parts of a configuration.
#[derive(Debug, Clone)]
pub struct CatalogData {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All workspaces; without any, requests need no key.
    pub workspaces: Vec<Workspace>,
}
