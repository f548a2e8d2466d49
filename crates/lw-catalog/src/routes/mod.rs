//! Routes, services and workspaces of the operators' configuration, with the lookups that requests need.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use lw_types::prelude::*;

mod lookup;

/// Least time that callers of streams wait for an event. The platform's protocol defines it and the two factors below.
const MAX_WAIT_FLOOR: Duration = Duration::from_secs(2);
/// Callers of streams wait this many times the target latency of the first event.
const MAX_WAIT_LATENCY_FACTOR: u32 = 4;
/// Callers of streams wait this many times the target for pauses between events.
const MAX_WAIT_GAP_FACTOR: u32 = 8;

/// How requests on a route are answered, and whether they may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events. A resumable one may continue after its last event; any other runs at most
    /// once.
    Stream {
        /// Whether the stream may continue at another engine.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        self == Self::Idempotent || self.is_resumable()
    }

    /// Whether the answer is a stream that may continue after its last event.
    ///
    /// ```
    /// use lw_catalog::RouteKind;
    /// assert!(RouteKind::Stream { resumable: true }.is_resumable());
    /// assert!(!RouteKind::Idempotent.is_resumable());
    /// ```
    #[must_use]
    pub fn is_resumable(self) -> bool {
        self == Self::Stream { resumable: true }
    }
}

/// A service that a route sends requests to, with its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u64,
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of its requests, in lower case.
    pub host: String,
    /// Prefix of the paths of its requests.
    pub prefix: String,
    /// How its requests are answered, and whether they may be repeated.
    pub kind: RouteKind,
    /// Longest time until a request is answered, whatever deadline its caller sets.
    pub timeout: Duration,
    /// Target time until the complete answer, or until the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest pause between two events of a stream.
    pub target_gap: Option<Duration>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services that it sends requests to.
    pub targets: Vec<Target>,
    /// Most attempts of one request.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
    /// Whether requests name the segments of their prompts.
    pub has_prompt_segments: bool,
}

impl Route {
    /// Returns the longest time that callers wait for the next event of a stream, or for a complete answer.
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

/// Specification of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Most requests in one batch.
    pub slots: u32,
    /// Memory for running requests and cached segments, in tokens.
    pub cache_tokens: u64,
    /// Size of the KV cache of one token, in bytes.
    pub token_bytes: u64,
    /// Speed of an engine's link, in bits per second.
    pub link_bits: f64,
    /// Most tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Calls for cache events that an engine keeps open at the same time.
    pub event_calls_max: usize,
    /// Models that the engines serve.
    pub models: Vec<ModelId>,
}

/// Kind of the upstreams of a service.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceKind {
    /// Plain servers without models.
    Plain,
    /// Inference engines.
    Engines(EngineSpec),
    /// A KV cache store.
    CacheStore {
        /// Address of the store.
        addr: SocketAddr,
        /// Failure domain of the store.
        failure_domain: Domain,
        /// Capacity in tokens.
        tokens: u64,
        /// Speed of its link, in bits per second.
        link_bits: f64,
    },
}

/// A service that routes send requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all VMs.
    pub connections_max: usize,
    /// Kind of its upstreams.
    pub kind: ServiceKind,
}

impl Service {
    /// Returns the specification of its engines, if it has any.
    #[must_use]
    pub fn engines(&self) -> Option<&EngineSpec> {
        match &self.kind {
            ServiceKind::Engines(spec) => Some(spec),
            _ => None,
        }
    }
}

/// Unit in which the usage of a workspace is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageUnit {
    /// Each request counts as one.
    Requests,
    /// The tokens of the prompt and the most tokens of the answer.
    Tokens {
        /// Tokens that a request counts as if it does not state them.
        unstated: u64,
    },
}

/// Cap on the usage of a workspace, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageCap {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// The unit.
    pub unit: UsageUnit,
}

impl UsageCap {
    /// Returns the cost of a request that states this number of tokens, 0 if it states none. It is at least one unit.
    ///
    /// ```
    /// use lw_catalog::routes::{UsageCap, UsageUnit};
    /// let cap = UsageCap { rate: 1.0, burst: 1.0, unit: UsageUnit::Tokens { unstated: 200 } };
    /// assert_eq!((cap.cost(17_000), cap.cost(0)), (17_000, 200));
    /// ```
    #[must_use]
    pub fn cost(&self, tokens: u64) -> u64 {
        match self.unit {
            UsageUnit::Requests => 1,
            UsageUnit::Tokens { unstated } if tokens == 0 => unstated.max(1),
            UsageUnit::Tokens { .. } => tokens,
        }
    }
}

/// A workspace of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Rank of its requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Whether it shares no KV cache with other workspaces.
    pub is_isolated: bool,
    /// Cap on its usage, if it has one.
    pub cap: Option<UsageCap>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time until the head of a request is complete.
    pub head_time: Duration,
    /// Longest time that a connection may be open without a request.
    pub idle_time: Duration,
}

/// One version of the operators' configuration, with the lookups that requests need.
#[derive(Debug, Clone)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    /// Services of routes whose streams may be resumed, with the longest timeout of these routes.
    resumable_services: HashMap<String, Duration>,
    workspaces: Vec<Arc<Workspace>>,
    /// Index of the workspace of each key.
    by_key: HashMap<String, usize>,
    /// Names of the isolated workspaces.
    isolated: HashSet<WorkspaceId>,
    /// Identifies the set of isolated workspaces.
    isolated_set: u64,
}

/// The contents of a configuration, which a [`Catalog`] is built from.
#[derive(Debug, Clone)]
pub struct CatalogData {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All workspaces; if there are none, requests need no key.
    pub workspaces: Vec<Workspace>,
}
