//! Notices to the other VMs about loads of weights. Those of a short period are sent together: while a large fleet loads, an
//! engine begins to load and another one ends every few milliseconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use lw_observe::logs::millis;
use lw_types::prelude::*;

use crate::peers::Notice;

/// Most bytes of the ids of engines in one notice, so that it fits into a datagram that is not fragmented.
const IDS_MAX_BYTES: usize = 900;

/// Engines by model and version of the weights.
type Engines = BTreeMap<(ModelId, u64), BTreeSet<UpstreamId>>;

/// The notices that are sent next.
#[derive(Debug, Default)]
pub struct LoadNotices {
    queued: Mutex<Queued>,
}

#[derive(Debug, Default)]
struct Queued {
    loading: Engines,
    loaded: Engines,
    /// What was sent last of `loaded`. It is sent twice, since a datagram may be lost and the notice is not repeated later.
    resent: Engines,
}

impl LoadNotices {
    /// Queues a notice that an engine loads a version.
    pub fn loading(&self, upstream: &str, model: &str, version: u64) {
        self.with(|queued| insert(&mut queued.loading, upstream, model, version));
    }

    /// Queues a notice that an engine serves a version.
    pub fn loaded(&self, upstream: &str, model: &str, version: u64) {
        self.with(|queued| insert(&mut queued.loaded, upstream, model, version));
    }

    /// Returns the notices that are to be sent now. Engines that load get no new work for `pause`.
    #[must_use]
    pub fn take(&self, pause: Duration) -> Vec<Notice> {
        let (loading, loaded, resent) = self.with(|queued| {
            let loaded = std::mem::take(&mut queued.loaded);
            let resent = std::mem::replace(&mut queued.resent, loaded.clone());
            (std::mem::take(&mut queued.loading), loaded, resent)
        });
        let ms = millis(pause);
        let loading = batches(loading).map(|(model, version, upstreams)| Notice::Loading {
            model,
            version,
            ms,
            upstreams,
        });
        let loaded = batches(loaded).chain(batches(resent));
        let loaded =
            loaded.map(|(model, version, upstreams)| Notice::Loaded { model, version, upstreams });
        loading.chain(loaded).collect()
    }

    fn with<T>(&self, f: impl FnOnce(&mut Queued) -> T) -> T {
        f(&mut self.queued.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn insert(engines: &mut Engines, upstream: &str, model: &str, version: u64) {
    engines.entry((model.to_owned(), version)).or_default().insert(upstream.to_owned());
}

/// Returns the engines of each model and version, as many together as one notice may name.
fn batches(engines: Engines) -> impl Iterator<Item = (ModelId, u64, Vec<UpstreamId>)> {
    engines.into_iter().flat_map(|((model, version), upstreams)| {
        let mut batches: Vec<Vec<UpstreamId>> = Vec::new();
        let mut bytes = IDS_MAX_BYTES;
        for upstream in upstreams {
            // The length of an id is encoded in up to three bytes.
            let id_bytes = upstream.len() + 3;
            if bytes + id_bytes > IDS_MAX_BYTES {
                batches.push(Vec::new());
                bytes = 0;
            }
            bytes += id_bytes;
            if let Some(batch) = batches.last_mut() {
                batch.push(upstream);
            }
        }
        batches.into_iter().map(move |batch| (model.clone(), version, batch))
    })
}
