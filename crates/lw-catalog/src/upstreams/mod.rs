//! Upstreams that registered themselves in the platform's store.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use lw_types::prelude::*;

/// Time after an outage of the store in which upstreams whose entries lapsed meanwhile register again. The platform
/// states about two seconds.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1900);

/// Leaving upstreams that are remembered after their entries are gone, since a store that comes back may list them once
/// more.
const LEAVING_MAX: usize = 4096;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes new work.
    Ready,
    /// It is leaving and must get no new work.
    Leaving,
}

/// A version of the weights that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: u64,
}

/// One registered upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its id, which names one run of it in most cases.
    pub id: UpstreamId,
    /// Start of this run, in milliseconds since the Unix epoch. The id alone may come again after a restart.
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Domain,
    /// Whether it takes new work.
    pub stage: Stage,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Weights that it serves.
    pub models: Vec<LoadedModel>,
}

impl Upstream {
    /// Version of the weights of `model` that it serves.
    #[must_use]
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|loaded| loaded.model == model).map(|loaded| loaded.version)
    }
}

/// What changed in a [`Directory`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An upstream appeared, restarted or changed.
    Present(Arc<Upstream>),
    /// An upstream is gone.
    Gone(UpstreamId),
}

/// All registered upstreams.
///
/// Entries that vanish are gone at once, except shortly after an outage of the store: the store may have
/// dropped the entries of living upstreams meanwhile, and these register again.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: HashMap<UpstreamId, Arc<Upstream>>,
    /// Entries that vanished and may come back, with the time at which they count as gone.
    expired: HashMap<UpstreamId, Now>,
    /// Until when vanished entries may come back.
    grace_until: Option<Now>,
    /// Runs of upstreams that said in an answer that they are leaving. Their entries may say so later or never.
    leaving: HashMap<UpstreamId, Incarnation>,
}

impl Directory {
    /// The upstream with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(id)
    }

    /// Whether the entry of an upstream vanished, and may come back.
    #[must_use]
    pub fn is_expired(&self, id: &str) -> bool {
        self.expired.contains_key(id)
    }

    /// All upstreams, also leaving ones.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// The store answers again after it did not.
    pub fn on_store_recovered(&mut self, now: Now) {
        self.grace_until = Some(now + REREGISTRATION_TIME);
    }

    /// Takes one entry as it was written. `None` stands for an entry that names no usable upstream.
    pub fn put(&mut self, now: Now, id: &str, entry: Option<Upstream>) -> Vec<Change> {
        let Some(mut entry) = entry else { return self.remove(now, id) };
        self.expired.remove(id);
        match self.leaving.get(id) {
            Some(leaving) if *leaving == entry.incarnation => entry.stage = Stage::Leaving,
            Some(_) => drop(self.leaving.remove(id)),
            None => {}
        }
        if self.upstreams.get(id).is_some_and(|known| **known == entry) {
            return Vec::new();
        }
        let entry = Arc::new(entry);
        self.upstreams.insert(id.to_owned(), Arc::clone(&entry));
        vec![Change::Present(entry)]
    }

    /// An upstream said in an answer of this run that it is leaving.
    pub fn mark_leaving(&mut self, id: &str, incarnation: Incarnation) -> Vec<Change> {
        let known = self.upstreams.get(id).filter(|known| known.incarnation == incarnation);
        let Some(known) = known.filter(|known| known.stage == Stage::Ready) else {
            return Vec::new();
        };
        let entry = Arc::new(Upstream { stage: Stage::Leaving, ..Upstream::clone(known) });
        if self.leaving.len() >= LEAVING_MAX {
            self.leaving.retain(|id, _| self.upstreams.contains_key(id));
        }
        self.leaving.insert(id.to_owned(), incarnation);
        self.upstreams.insert(id.to_owned(), Arc::clone(&entry));
        vec![Change::Present(entry)]
    }

    /// An entry vanished.
    pub fn remove(&mut self, now: Now, id: &str) -> Vec<Change> {
        let Some(known) = self.upstreams.get(id) else { return Vec::new() };
        match self.grace_until {
            Some(until) if now < until && known.stage == Stage::Ready => {
                self.expired.entry(id.to_owned()).or_insert(until);
                Vec::new()
            }
            _ => self.drop_entry(id),
        }
    }

    /// Takes all entries of one read; those that are not in it have vanished.
    pub fn replace_all(
        &mut self,
        now: Now,
        entries: Vec<(UpstreamId, Option<Upstream>)>,
    ) -> Vec<Change> {
        let missing: Vec<_> = self
            .upstreams
            .keys()
            .filter(|id| !entries.iter().any(|(listed, _)| listed == *id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = missing.iter().flat_map(|id| self.remove(now, id)).collect();
        for (id, entry) in entries {
            changes.extend(self.put(now, &id, entry));
        }
        changes
    }

    /// Ends the hold on entries that did not come back in time.
    pub fn remove_expired(&mut self, now: Now) -> Vec<Change> {
        let due = |(id, until): (&UpstreamId, &Now)| (now >= *until).then(|| id.clone());
        let gone: Vec<_> = self.expired.iter().filter_map(due).collect();
        gone.iter().flat_map(|id| self.drop_entry(id)).collect()
    }

    fn drop_entry(&mut self, id: &str) -> Vec<Change> {
        self.expired.remove(id);
        self.upstreams.remove(id).map(|_| Change::Gone(id.to_owned())).into_iter().collect()
    }
}
