//! Wire types of the interface for operators.

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Answer to `GET /op/config` and to an accepted `PATCH /op/config?base=N`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Version of the document.
    pub version: ConfigVersion,
    /// Whether this is the bootstrap document, to which no patch of an operator has been applied.
    pub provisional: bool,
    /// The complete document.
    pub document: Value,
}

/// Body of the answer to a refused patch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PatchRefusal {
    /// Number of the result code.
    pub number: u16,
    /// Name of the result code.
    pub code: String,
    /// Current version.
    pub version: ConfigVersion,
    /// Errors of the patch, one line each.
    pub faults: Vec<String>,
}

/// Answer to `GET /op/history`, newest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The accepted patches that are still retained.
    pub patches: Vec<AcceptedPatch>,
}

/// One accepted patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedPatch {
    /// Version of the document after the patch.
    pub version: ConfigVersion,
    /// The merge patch.
    pub patch: Value,
}

/// Answer to `GET /op/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of this VM.
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
    /// Other VMs in this VM's member list.
    pub peers: Vec<PeerStatus>,
    /// Upstreams in this VM's view of the platform.
    pub upstreams: Vec<UpstreamStatus>,
    /// Latency statistics by workspace and class.
    pub histograms: Vec<Histogram>,
    /// Segments of prompts whose requests are refused since they crashed engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<QuarantineStatus>,
}

/// Segments of prompts that are quarantined together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// Ids of the segments, separated by commas. Requests that hold all of them are refused.
    pub segments: String,
    /// Time until their release, in milliseconds.
    pub left_ms: u64,
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
    /// Whether new requests may be placed on it.
    pub chosen: bool,
    /// Reason for the value of `chosen`.
    pub why: String,
    /// Requests of this VM in flight at the upstream.
    pub in_flight: u64,
}

/// Statistics of one measure for one workspace and class, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Histogram {
    /// Name of the workspace.
    pub workspace: WorkspaceId,
    /// Class name.
    pub class: String,
    /// Name of the measure, for instance `ttft`.
    pub measure: String,
    /// Number of recorded values.
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
    /// Steps in chronological order.
    pub steps: Vec<Step>,
}

/// One step in the processing of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the request arrived.
    pub at_ms: u64,
    /// What was done and why.
    pub what: String,
}
