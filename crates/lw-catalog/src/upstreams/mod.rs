//! Upstreams that registered themselves in the platform's store.

mod outage;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use lw_types::prelude::*;

use outage::OutageDetector;

/// Time after an outage of the store within which upstreams whose entries expired meanwhile register again, and after an
/// unusable entry within which a running upstream writes its own. The platform promises about two seconds for the former,
/// and heartbeats are more frequent.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1900);

/// Time after the return of the store from an older copy after which an entry that was gone before is used if it is still
/// listed. The platform removes it sooner if its upstream does not run.
const STALE_ENTRY_TIME: Duration = Duration::from_secs(4);

/// Entries of [`Directory`]'s lists of leaving upstreams and of those that are gone at which old ones are removed. They are
/// retained until then, since a store that recovers may list these upstreams again.
const LEAVING_MAX: usize = 4096;

/// Whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It accepts new requests.
    Ready,
    /// It is leaving and must get no new requests.
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

/// A registered upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Id of the upstream. It usually differs after a restart, but not always.
    pub id: UpstreamId,
    /// Start of this run, in milliseconds since the Unix epoch, which distinguishes runs with the same id.
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: Domain,
    /// Whether it accepts new requests.
    pub stage: Stage,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Weights that it serves.
    pub models: Vec<LoadedModel>,
}

impl Upstream {
    /// Returns the version of the weights of `model` that it serves.
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
    /// An upstream is no longer registered.
    Gone(UpstreamId),
}

/// All registered upstreams.
///
/// An upstream whose entry disappears is removed at once, except shortly after an outage of the store: the entries of
/// running upstreams may have expired meanwhile, and these upstreams register again.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: HashMap<UpstreamId, Arc<Upstream>>,
    /// Upstreams whose entries disappeared and may come back, with the time at which they are removed.
    expired: HashMap<UpstreamId, Now>,
    outages: OutageDetector,
    /// Until when entries that disappear may come back.
    grace_until: Option<Now>,
    /// Runs of upstreams that reported in an answer that they are leaving. Their entries may show it later or never.
    leaving: HashMap<UpstreamId, Incarnation>,
    /// Runs of upstreams whose entries disappeared. An older copy of the store may contain them.
    gone: HashMap<UpstreamId, Incarnation>,
    /// Entries of such runs that the store lists after its return from an older copy, with the time from which they are
    /// used.
    stale: HashMap<UpstreamId, (Upstream, Now)>,
}

impl Directory {
    /// Returns the upstream with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(id)
    }

    /// Whether the entry of an upstream disappeared and may come back.
    #[must_use]
    pub fn is_expired(&self, id: &str) -> bool {
        self.expired.contains_key(id)
    }

    /// Returns the upstreams of a service that accept new requests and whose entries have not disappeared.
    pub fn ready_of(&self, service: &str) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values().filter(move |upstream| {
            upstream.service == service
                && upstream.stage == Stage::Ready
                && !self.expired.contains_key(&upstream.id)
        })
    }

    /// Returns all upstreams, including leaving ones.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Records at `now` that a call to the store failed, which has given no sign of life since `silent_since`. After a failure
    /// for as long as an upstream's `heartbeat` period, entries that disappear soon may come back.
    pub fn on_store_failure(&mut self, now: Now, silent_since: Now, heartbeat: Duration) {
        self.outages.on_failure(silent_since);
        if self.outages.time_at(now).is_some_and(|time| time >= heartbeat) {
            self.begin_grace(now);
        }
    }

    /// Records that the store answered a call at `at`, by this VM or by another one whose changes this VM receives. Returns
    /// how long the outage was that has ended with it, if there was one.
    pub fn on_store_answer(&mut self, at: Now, heartbeat: Duration) -> Option<Duration> {
        let outage = self.outages.on_answer(at).filter(|time| *time >= heartbeat)?;
        self.begin_grace(at);
        Some(outage)
    }

    fn begin_grace(&mut self, now: Now) {
        self.grace_until = self.grace_until.max(Some(now + REREGISTRATION_TIME));
    }

    /// Applies an entry of the store and returns the changes. `None` stands for an entry without a usable upstream.
    pub fn put(&mut self, now: Now, id: &str, entry: Option<Upstream>) -> Vec<Change> {
        let Some(mut entry) = entry else { return self.on_unusable_entry(now, id) };
        self.expired.remove(id);
        self.gone.remove(id);
        self.stale.remove(id);
        match self.leaving.get(id) {
            Some(leaving) if *leaving == entry.incarnation => entry.stage = Stage::Leaving,
            Some(_) => drop(self.leaving.remove(id)),
            None => {}
        }
        if self.upstreams.get(id).is_some_and(|current| **current == entry) {
            return Vec::new();
        }
        let entry = Arc::new(entry);
        self.upstreams.insert(id.to_owned(), Arc::clone(&entry));
        vec![Change::Present(entry)]
    }

    /// Records that the entry of an upstream cannot be used. If another program wrote it, a running upstream writes its own
    /// again with its next heartbeat.
    fn on_unusable_entry(&mut self, now: Now, id: &str) -> Vec<Change> {
        self.stale.remove(id);
        if self.upstreams.get(id).is_some_and(|current| current.stage == Stage::Ready) {
            self.expired.entry(id.to_owned()).or_insert(now + REREGISTRATION_TIME);
            return Vec::new();
        }
        self.drop_entry(id)
    }

    /// Records that an upstream reported in an answer of this run that it is leaving.
    pub fn mark_leaving(&mut self, id: &str, incarnation: Incarnation) -> Vec<Change> {
        let current = self.upstreams.get(id).filter(|current| current.incarnation == incarnation);
        let Some(current) = current.filter(|current| current.stage == Stage::Ready) else {
            return Vec::new();
        };
        let entry = Arc::new(Upstream { stage: Stage::Leaving, ..Upstream::clone(current) });
        if self.leaving.len() >= LEAVING_MAX {
            self.leaving.retain(|id, _| self.upstreams.contains_key(id));
        }
        self.leaving.insert(id.to_owned(), incarnation);
        self.upstreams.insert(id.to_owned(), Arc::clone(&entry));
        vec![Change::Present(entry)]
    }

    /// Records that the entry of an upstream disappeared.
    pub fn remove(&mut self, now: Now, id: &str) -> Vec<Change> {
        self.stale.remove(id);
        let Some(current) = self.upstreams.get(id) else { return Vec::new() };
        match self.grace_until {
            Some(until) if now < until && current.stage == Stage::Ready => {
                self.expired.entry(id.to_owned()).or_insert(until);
                Vec::new()
            }
            _ => self.drop_entry(id),
        }
    }

    /// Applies a complete list of the entries; upstreams that are not in it have disappeared. `is_restored` states whether
    /// it was read after the store returned from an older copy. A run of an upstream that was leaving then stays so until
    /// it registers again; one that was gone is used when it registers again, or is still listed after some time.
    pub fn replace_all(
        &mut self,
        now: Now,
        entries: Vec<(UpstreamId, Option<Upstream>)>,
        is_restored: bool,
    ) -> Vec<Change> {
        self.stale.clear();
        if is_restored {
            self.begin_grace(now);
        }
        let missing: Vec<_> = self
            .upstreams
            .keys()
            .filter(|id| !entries.iter().any(|(listed, _)| listed == *id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = missing.iter().flat_map(|id| self.remove(now, id)).collect();
        for (id, entry) in entries {
            match entry {
                Some(entry) if is_restored && self.is_leaving(&entry) => {}
                Some(entry) if is_restored && self.gone.get(&id) == Some(&entry.incarnation) => {
                    self.stale.insert(id, (entry, now + STALE_ENTRY_TIME));
                }
                entry => changes.extend(self.put(now, &id, entry)),
            }
        }
        changes
    }

    /// Removes the upstreams whose entries did not come back in time, and adds those that were gone before the store
    /// returned from an older copy and are still listed.
    pub fn apply_due_changes(&mut self, now: Now) -> Vec<Change> {
        let expired_id = |(id, until): (&UpstreamId, &Now)| (now >= *until).then(|| id.clone());
        let gone: Vec<_> = self.expired.iter().filter_map(expired_id).collect();
        let mut changes: Vec<_> = gone.iter().flat_map(|id| self.drop_entry(id)).collect();
        let due: Vec<_> = self.stale.extract_if(|_, (_, from)| now >= *from).collect();
        for (id, (entry, _)) in due {
            changes.extend(self.put(now, &id, Some(entry)));
        }
        changes
    }

    /// Returns when [`Directory::apply_due_changes`] next has something to change, if no entry changes before.
    #[must_use]
    pub fn next_due(&self) -> Option<Now> {
        let expired = self.expired.values().copied();
        let stale = self.stale.values().map(|(_, from)| *from);
        expired.chain(stale).min()
    }

    /// Whether this run of an upstream was leaving by its last entry.
    fn is_leaving(&self, entry: &Upstream) -> bool {
        let current = self.upstreams.get(&entry.id);
        current.is_some_and(|current| {
            current.stage == Stage::Leaving && current.incarnation == entry.incarnation
        })
    }

    fn drop_entry(&mut self, id: &str) -> Vec<Change> {
        self.expired.remove(id);
        let Some(gone) = self.upstreams.remove(id) else { return Vec::new() };
        if self.gone.len() >= LEAVING_MAX {
            self.gone.clear();
        }
        self.gone.insert(id.to_owned(), gone.incarnation);
        vec![Change::Gone(id.to_owned())]
    }
}
