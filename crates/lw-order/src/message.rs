//! Orders to engines and what their load reports say.

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

/// What an engine serves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Its role.
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
    /// The sender must check directly before sending that this time has not come; after a pause the
    /// lease may be another VM's, or the engine's place among the loading ones.
    pub send_before: Now,
}

/// What a load report says about an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The engine.
    pub engine: UpstreamId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the report or of the poll that fetched it; older numbers are ignored.
    pub seq: u64,
    /// Whether it is loading weights; it serves nothing meanwhile.
    pub loading: bool,
    /// What it serves.
    pub state: EngineState,
}
