//! Workspace limits over all VMs: one coordinator VM for each workspace grants rates to the others.
//!
//! Each VM reports its demand to the coordinator of the workspace and receives the rate it may admit. The coordinator
//! reserves for each VM the highest rate that it may be using: its unexpired grants, or the fallback share if no
//! report arrives from it. It grants only what remains, so that lost messages cannot raise the sum above the limit.

use std::{collections::BTreeMap, time::Duration};

use lw_config::document::Document;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

pub mod coordinator;
pub mod limiter;

/// Time constants and tolerances of the grants.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time between two reports of one VM without changes.
    pub report_interval: Duration,
    /// Time between two reports while demand or grants change.
    pub urgent_interval: Duration,
    /// Validity of a grant, counted from the sending of its report.
    pub validity: Duration,
    /// Time over which random variation of demand is averaged.
    pub smoothing: Duration,
    /// Time without a report after which the coordinator reserves the fallback share of a VM. The other VMs then
    /// send two reports in which they can release that share before the grant of the unresponsive VM expires.
    pub unresponsive_after: Duration,
    /// Time after its start during which a VM uses at least half of its fallback share, because the coordinator may
    /// not have it in its list yet.
    pub startup_time: Duration,
    /// Burst of the token buckets, as time at the granted rate.
    pub burst: Duration,
    /// Minimum burst in requests.
    pub min_burst_requests: f64,
    /// Fraction of the limit that is granted to all VMs equally, so that a VM can admit new demand at once.
    pub equal_fraction: f64,
    /// Fraction by which the sum of the rates in use may exceed the limit. Within it, a share may be granted to one VM
    /// before another has released it, and it is granted to the other VMs while some are unresponsive, since these
    /// may have crashed and leave their share unused. With 7 VMs the error stays below 10 % on both sides of the limit.
    pub tolerance: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(500),
            urgent_interval: Duration::from_millis(100),
            validity: Duration::from_secs(2),
            smoothing: Duration::from_secs(3),
            unresponsive_after: Duration::from_millis(1_100),
            startup_time: Duration::from_secs(2),
            burst: Duration::from_millis(250),
            min_burst_requests: 2.0,
            equal_fraction: 0.05,
            tolerance: 0.05,
        }
    }
}

/// Rates of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second.
    pub tokens: f64,
}

impl Rates {
    /// Applies `f` to both kinds of rate.
    pub(crate) fn combine(self, other: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self { requests: f(self.requests, other.requests), tokens: f(self.tokens, other.tokens) }
    }

    /// Returns whether one of the rates is more than 10 % above that of `other`.
    pub(crate) fn is_well_above(self, other: Self) -> bool {
        self.requests > other.requests * 1.1 || self.tokens > other.tokens * 1.1
    }

    pub(crate) fn scaled(self, factor: f64) -> Self {
        Self { requests: self.requests * factor, tokens: self.tokens * factor }
    }
}

/// Limits by workspace; a rate of 0 means no limit.
pub type Limits = BTreeMap<WorkspaceId, Rates>;

/// Returns the limits of a configuration. Workspaces without any limit are omitted.
///
/// ```
/// use lw_config::document::Document;
/// let text = r#"{ "version": 1, "workspaces": { "station": { "requests_per_second": 20 } } }"#;
/// let document = Document::from_json(text).unwrap();
/// assert_eq!(lw_limit::grant::limits_of(&document)["station"].requests, 20.0);
/// ```
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "limits are far below 2^52")]
pub fn limits_of(document: &Document) -> Limits {
    let rates = document.workspaces.iter().map(|(name, workspace)| {
        let requests = workspace.requests_per_second as f64;
        (name.clone(), Rates { requests, tokens: workspace.tokens_per_second as f64 })
    });
    rates.filter(|(_, rates)| rates.requests > 0.0 || rates.tokens > 0.0).collect()
}

/// The VMs that share the limits, in the view of one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    /// Reachable VMs, including this one.
    pub alive: Vec<VmId>,
    /// VMs that do not respond but are still in the platform's list. They may be partitioned and still serve, so they
    /// keep their fallback share. Leaving VMs are not listed.
    pub unreachable: Vec<VmId>,
}

impl Members {
    /// Returns the number of VMs among which the limit is divided.
    #[must_use]
    pub fn count(&self) -> usize {
        (self.alive.len() + self.unreachable.len()).max(1)
    }

    /// Returns the coordinator of a workspace: the reachable VM that ranks first by rendezvous hashing.
    ///
    /// ```
    /// use lw_limit::grant::Members;
    /// let members = Members { alive: vec!["a".into(), "b".into()], unreachable: vec![] };
    /// assert!(members.coordinator("station").is_some());
    /// ```
    #[must_use]
    pub fn coordinator(&self, workspace: &str) -> Option<&VmId> {
        self.alive.iter().max_by_key(|vm| {
            (xxh3_64(format!("{vm}\0{workspace}").as_bytes()), std::cmp::Reverse(vm.as_str()))
        })
    }

    #[expect(clippy::cast_precision_loss, reason = "a fleet has far fewer than 2^52 VMs")]
    pub(crate) fn count_f64(&self) -> f64 {
        self.count() as f64
    }

    pub(crate) fn fallback_share(&self, limit: Rates) -> Rates {
        limit.scaled(1.0 / self.count_f64())
    }
}

/// Demand of one VM for the workspaces of one coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The reporting VM.
    pub vm: VmId,
    /// Number of the report, increasing until the VM restarts.
    pub number: u64,
    /// Demand by workspace, including zero demand.
    pub entries: Vec<Demand>,
}

/// Demand of one VM for one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Rate of all arrived requests and tokens, admitted or not.
    pub arrived: Rates,
    /// Rate at which the VM admits.
    pub in_use: Rates,
    /// Number of the report whose grant is in use, or 0 for the fallback share.
    pub grant: u64,
}

/// Answer of the coordinator to a [`Report`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The coordinator.
    pub from: VmId,
    /// Number of the report that is answered.
    pub number: u64,
    /// Whether the VM's share is larger than what the other VMs have released so far. The VM then sends its next report
    /// early.
    pub is_partial: bool,
    /// Granted rates by workspace.
    pub rates: Vec<(WorkspaceId, Rates)>,
}
