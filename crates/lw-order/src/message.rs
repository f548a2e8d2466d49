//! Orders to engines and the content of their load reports.

use std::collections::BTreeMap;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Version of one model and of its adapters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelState {
    /// Version of the weights.
    pub version: String,
    /// Versions of the adapters by name.
    pub adapters: BTreeMap<String, String>,
}

/// Role and models that an engine serves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Role of the engine, which decides the models that it loads.
    pub role: String,
    /// The loaded models; empty after a crash.
    pub models: BTreeMap<ModelId, ModelState>,
}

/// The desired state of one engine. It is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Engine that gets the order.
    pub engine: UpstreamId,
    /// Fencing number: the revision of the issuer's lease.
    pub fence: Revision,
    /// Number of the order under this fencing number.
    pub seq: u64,
    /// The desired state.
    pub state: EngineState,
    /// Deadline for sending. The sender must check it directly before sending: after a pause another VM
    /// may hold the lease, or another engine may be loading in place of this one.
    pub send_before: Now,
}

/// State of an engine according to a load report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Engine that the report describes.
    pub engine: UpstreamId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Number of the report or of the poll that fetched it; older numbers are ignored.
    pub seq: u64,
    /// Whether the engine is loading weights; it serves no requests during a load.
    pub loading: bool,
    /// Role and models that the engine serves.
    pub state: EngineState,
}
