//! Software versions of engines: which one begins a stream, and which one began a stream that a caller takes up again.
//!
//! [`lw_place::software`] decides. The history of a service is in the store, so that it outlasts all VMs.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use lw_place::software::{Capacities, History, Origin, Planner};
use lw_types::prelude::*;
use tokio::sync::oneshot;

use crate::state::Edge;

mod memory;
mod origin;
mod publish;
mod wire;

pub(crate) use memory::position_of;
pub use memory::{Memory, Relayer, StreamId};
pub(crate) use origin::{OriginError, find as find_origin};
pub(crate) use publish::run;
pub use wire::HistoryWire;

/// What this VM knows about the software versions that began streams.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    memory: Mutex<Memory>,
    /// Streams that other VMs are to be told of.
    untold: Mutex<Vec<(StreamId, SoftwareVersion)>>,
    planners: Mutex<HashMap<String, Planner>>,
    /// Counts the changes of registered upstreams.
    changes: AtomicU64,
    /// Last reads of histories, by service. Its lock is held during a read, so that requests share one.
    reads: tokio::sync::Mutex<HashMap<String, origin::Read>>,
    /// Wakes the request that waits for the reply of this number.
    waiting: Mutex<HashMap<u64, oneshot::Sender<SoftwareVersion>>>,
}

impl SoftwareVersions {
    /// Remembers that a version began a stream. Returns whether that was not remembered before.
    pub fn remember(&self, now: Now, stream: StreamId, software: &str, relayer: Relayer) -> bool {
        lock(&self.memory).insert(now, stream, software, relayer)
    }

    /// Tells other VMs soon which version began a stream.
    pub fn tell(&self, stream: StreamId, software: &str) {
        lock(&self.untold).push((stream, software.to_owned()));
    }

    /// Returns the version that began a stream, if this VM remembers it.
    #[must_use]
    pub fn remembered(&self, stream: StreamId) -> Option<SoftwareVersion> {
        lock(&self.memory).get(stream).map(str::to_owned)
    }

    /// Records that registered upstreams have changed.
    pub fn on_upstreams_changed(&self) {
        self.changes.fetch_add(1, Ordering::Relaxed);
    }

    /// Passes the reply of another VM to the request that waits for it.
    pub fn on_reply(&self, nonce: u64, software: &str) {
        if let Some(wake) = lock(&self.waiting).remove(&nonce) {
            // The result is an error if the request does not wait any more.
            let _ = wake.send(software.to_owned());
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decodes the history under a key, or logs why it cannot be.
pub(crate) fn decode(key: &str, value: &[u8]) -> Option<History> {
    let wire = serde_json::from_slice::<HistoryWire>(value).map_err(|e| e.to_string());
    let history = wire.and_then(History::try_from);
    history
        .inspect_err(|e| {
            log::warn!(target: "route", key = key, why = e.as_str();
                "unreadable history of software versions");
        })
        .ok()
}

/// Returns the ready engines of each software version of a service.
fn capacities(edge: &Edge, service: &str) -> Capacities {
    let mut capacities = Capacities::new();
    let view = edge.store_view();
    for upstream in view.directory.ready_of(service) {
        *capacities.entry(upstream.software.clone()).or_default() += u64::from(upstream.slots);
    }
    capacities
}

/// Returns the version that begins a stream of a service now whose first request's id has this hash. It is none if several
/// versions are in service and the store does not say which of them it is.
pub(crate) fn version_for(edge: &Edge, service: &str, id_hash: u64) -> Option<SoftwareVersion> {
    if let Some(history) = edge.store_view().software(service) {
        return Some(history.current.version(id_hash).to_owned());
    }
    let mut capacities = capacities(edge, service).into_keys();
    capacities.next().filter(|_| capacities.next().is_none())
}

/// Whether several versions may have begun the streams of a service that still go on.
pub(crate) fn is_mixed(edge: &Edge, service: &str) -> bool {
    let history = edge.store_view().software(service).cloned();
    history.is_none_or(|history| history.only_version() == Origin::Ambiguous)
}

/// Whether engines of a version have been ready, as far as the view of the store tells.
pub(crate) fn has_been_in_service(edge: &Edge, service: &str, software: &str) -> bool {
    edge.store_view().software(service).is_some_and(|history| history.has(software))
}

/// Whether engines of a version are ready for requests to a service.
pub(crate) fn is_in_service(edge: &Edge, service: &str, software: &str) -> bool {
    edge.store_view().directory.ready_of(service).any(|upstream| upstream.software == software)
}
