//! What a router is told about engines: description, load reports, cache events.

use std::time::Duration;

use lw_types::prelude::*;

/// Description of one engine, from configuration and membership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Engine {
    /// Name of the engine.
    pub id: UpstreamId,
    /// Failure domain it runs in.
    pub failure_domain: Domain,
    /// Role that routing rules name.
    pub role: String,
    /// Whether it must get no new work.
    pub is_leaving: bool,
    /// Its incarnation, if known; otherwise the first load report tells it.
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
    /// Incarnation of the engine that wrote it.
    pub incarnation: Incarnation,
    /// Prompt tokens that wait for prefill, of all classes.
    pub queued_prefill_tokens: u64,
    /// The part of `queued_prefill_tokens` that belongs to [`Class::Bulk`]; 0 if not reported.
    pub queued_bulk_tokens: u64,
    /// Requests that are generating.
    pub running: u32,
    /// Models and adapters loaded; empty if not reported, which excludes nothing.
    pub loaded: Vec<LoadedVersion>,
    /// Whether the engine is leaving.
    pub is_leaving: bool,
    /// Time since the engine measured it; `None` if not known.
    pub age: Option<Duration>,
}

/// One change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block is now held.
    Stored(BlockHash),
    /// The block was evicted.
    Evicted(BlockHash),
    /// The whole cache was dropped.
    Cleared,
}

/// A cache change with its place in the engine's event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Incarnation of the engine that sent it.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation, from 1.
    pub seq: u64,
    /// The change.
    pub change: CacheChange,
}
