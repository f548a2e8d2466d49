//! The operator interface.

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Answer to `GET /op/config` and to an accepted `PATCH /op/config?base=N`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Version of the document.
    pub version: ConfigVersion,
    /// Whether this is the bootstrap document, which no operator's patch has accepted.
    pub provisional: bool,
    /// The whole document.
    pub document: Value,
}

/// Body of a refused patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PatchRefusal {
    /// Number of the result code.
    pub number: u16,
    /// Name of the result code.
    pub code: String,
    /// Current version.
    pub version: ConfigVersion,
    /// What is wrong, one line a fault.
    pub faults: Vec<String>,
}

/// Answer to `GET /op/history`, newest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The accepted patches that are still kept.
    pub patches: Vec<AcceptedPatch>,
}

/// One accepted patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedPatch {
    /// Version that the patch made.
    pub version: ConfigVersion,
    /// The merge patch.
    pub patch: Value,
}

/// Answer to `GET /op/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// This VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: Domain,
    /// `starting`, `serving` or `leaving`.
    pub state: String,
    /// Version of the configuration in force; 0 when none was accepted yet.
    pub version: ConfigVersion,
    /// Whether the bootstrap document is in use.
    pub provisional: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Known peers.
    pub peers: Vec<PeerStatus>,
    /// Known upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Counts and times by workspace and class.
    pub histograms: Vec<Histogram>,
}

/// One peer as this VM sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: Domain,
    /// `alive`, `suspect`, `leaving` or `removed`.
    pub state: String,
    /// Its configuration version.
    pub version: ConfigVersion,
}

/// One upstream as this VM sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// `engine` or `service`.
    pub kind: String,
    /// Address.
    pub address: String,
    /// Whether it is chosen for new work.
    pub chosen: bool,
    /// Why it is or is not chosen.
    pub why: String,
    /// Own requests in flight there.
    pub in_flight: u64,
}

/// Times to first token of one workspace and class, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Histogram {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Class name.
    pub class: String,
    /// Name of the measure, for instance `ttft`.
    pub measure: String,
    /// Values recorded.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

/// Answer to `GET /op/explain/{request_id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Request id.
    pub request: RequestId,
    /// Steps in the order in which they were taken.
    pub steps: Vec<Step>,
}

/// One step of the decisions on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the request arrived.
    pub at_ms: u64,
    /// What was decided and why.
    pub what: String,
}
