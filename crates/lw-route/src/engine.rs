//! Input of a router about the engines: descriptions, load reports and cache events.

use std::time::Duration;

use lw_types::prelude::*;

/// Description of one engine, from configuration and membership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Engine {
    /// Id of the engine.
    pub id: UpstreamId,
    /// Failure domain it runs in.
    pub failure_domain: Domain,
    /// Role of the engine, matched against [`crate::Request::role`].
    pub role: String,
    /// Whether the engine is leaving and must get no new requests.
    pub is_leaving: bool,
    /// Its incarnation; if `None`, it is taken from the first load report or cache event.
    pub incarnation: Option<Incarnation>,
}

/// A model or adapter version that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LoadedVersion {
    /// Name of the model or adapter.
    pub name: String,
    /// Its version.
    pub version: String,
}

/// One load report of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Incarnation of the engine that sent the report.
    pub incarnation: Incarnation,
    /// Prompt tokens that wait for prefill, of all classes.
    pub queued_prefill_tokens: u64,
    /// Tokens of [`Class::Bulk`] among `queued_prefill_tokens`; 0 if not reported.
    pub queued_bulk_tokens: u64,
    /// Requests in decode.
    pub running: u32,
    /// Models and adapters loaded; empty if not reported. An engine with an empty list gets requests for any version.
    pub loaded: Vec<LoadedVersion>,
    /// Whether the engine is leaving.
    pub is_leaving: bool,
    /// Time since the engine measured its load; `None` if not known.
    pub age: Option<Duration>,
}

/// One change in the KV cache of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block is now cached.
    Stored(BlockHash),
    /// The block was evicted.
    Evicted(BlockHash),
    /// All blocks were evicted.
    Cleared,
}

/// A cache change with its position in the event stream of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Incarnation of the engine that sent it.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation, from 1.
    pub seq: u64,
    /// The change.
    pub change: CacheChange,
}
