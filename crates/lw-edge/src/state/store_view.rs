//! This VM's view of the platform's store, and the age of that view.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::{Catalog, Directory};
use lw_limit::quota::SLOTS;
use lw_place::software::History;
use lw_platform::registry;
use lw_types::prelude::*;

use super::keys::{self, SettledEra, VmEntry};
use crate::{quota::SlotEntry, software};

/// Age of the view up to which the keys in it are used, as a fraction of the time in which a revoked key must be
/// refused. The remainder covers clocks that run at different rates.
const KEY_AGE_MAX_FRACTION: f64 = 0.95;

/// Time after the return of the store from an older copy within which operators and upstreams have written again what it
/// lost. The platform promises about two seconds for upstreams.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Number of target versions that are kept for each model.
const TARGET_VERSIONS_MAX: usize = 64;

/// An item in the store under a key of the router.
#[derive(Debug, Clone)]
pub struct RouterItem {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change; 0 if it was not read in this era.
    pub revision: Revision,
    /// When this VM first read this revision, by the clock that counts suspended time.
    pub read_at: Now,
}

/// A version of a model's weights that operators set as the target in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetVersion {
    /// The version.
    pub version: u64,
    /// Earliest time at which it may have become the target, by the clock that counts suspended time.
    pub since: Now,
    /// Whether a VM was following the store when the version became the target, so that `since` is not an estimate.
    pub is_dated: bool,
}

/// This VM's view of the platform's store.
#[derive(Debug, Default)]
pub struct StoreView {
    catalog: Option<Arc<Catalog>>,
    /// Target versions by model, in ascending order.
    versions: HashMap<ModelId, Vec<TargetVersion>>,
    /// The registered upstreams.
    pub directory: Directory,
    router_items: HashMap<String, RouterItem>,
    /// Decoded values of the keys of quota slots.
    quota_slots: [Option<SlotEntry>; SLOTS as usize],
    /// Decoded values of the keys of software versions, by service.
    software: HashMap<String, Arc<History>>,
    vms: HashMap<VmId, (VmEntry, Revision)>,
    vms_max: usize,
    /// Era of the store that was read last, and when it was first read.
    era: Option<(Era, Now)>,
    /// Whether the view has been current in this era.
    is_settled: bool,
    /// Time from the first read in an era until the store has settled.
    settle_time: Duration,
    /// Time up to which all acknowledged changes are in the view, by the clock that counts suspended time.
    current_as_of: Option<Now>,
    /// Where the last changes came from, for the log.
    provenance: Provenance,
}

/// Where the last changes in a view of the store came from.
#[derive(Debug, Clone, Default)]
pub struct Provenance {
    /// Revision up to which the view contains all changes.
    pub revision: Revision,
    /// The VM that passed them on, or the store. Shared, since each request that is sent logs it.
    pub from: Arc<str>,
}

impl StoreView {
    /// Returns the view of a VM that has read nothing yet. `lease_ttl` is the lifetime of the longest lease whose holder
    /// may still rely on it after the store has lost it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_edge::state::StoreView;
    /// let seconds = Duration::from_secs;
    /// let mut view = StoreView::new(seconds(1));
    /// view.set_era(1, seconds(10));
    /// view.mark_read(seconds(11));
    /// assert_eq!(view.age(seconds(13)), None);
    /// view.mark_read(seconds(12));
    /// assert_eq!(view.age(seconds(13)), Some(seconds(1)));
    /// ```
    #[must_use]
    pub fn new(lease_ttl: Duration) -> Self {
        Self { settle_time: REWRITE_TIME.max(lease_ttl), ..Self::default() }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.clone()
    }

    /// Puts a configuration in force if it is newer than the previous one; returns whether it is.
    pub fn install(&mut self, catalog: Catalog) -> bool {
        let is_newer =
            self.catalog.as_ref().is_none_or(|current| catalog.version > current.version);
        if is_newer {
            self.catalog = Some(Arc::new(catalog));
        }
        is_newer
    }

    /// Adds a target version of weights if it is newer than the previous one; returns whether it is.
    pub fn add_target_version(&mut self, model: &str, target: TargetVersion) -> bool {
        let is_newer = self.newest_version(model).is_none_or(|newest| target.version > newest);
        if is_newer {
            let versions = self.versions.entry(model.to_owned()).or_default();
            versions.push(target);
            if versions.len() > TARGET_VERSIONS_MAX {
                versions.remove(0);
            }
        }
        is_newer
    }

    /// Sets the earliest time at which a version became the target, as reported by another VM. Returns whether this
    /// changed anything.
    pub fn set_target_since(&mut self, model: &str, version: u64, since: Now) -> bool {
        let Some(versions) = self.versions.get_mut(model) else { return false };
        let dated = TargetVersion { version, since, is_dated: true };
        match versions.binary_search_by_key(&version, |target| target.version) {
            Ok(at) if versions[at].is_dated && versions[at].since >= since => return false,
            Ok(at) => versions[at] = dated,
            // A version newer than all in this view is taken only from the store.
            Err(at) if at == versions.len() => return false,
            Err(at) => versions.insert(at, dated),
        }
        true
    }

    /// Returns the target versions of weights with their models, in ascending order for each model.
    pub fn target_versions(&self) -> impl Iterator<Item = (&ModelId, TargetVersion)> {
        let models = self.versions.iter();
        models.flat_map(|(model, versions)| versions.iter().map(move |target| (model, *target)))
    }

    /// Returns the newest target version of a model's weights.
    #[must_use]
    pub fn newest_version(&self, model: &str) -> Option<u64> {
        Some(self.versions.get(model)?.last()?.version)
    }

    /// Returns the item under a key of the router. Entries of VMs are returned by [`StoreView::vms`] instead.
    #[must_use]
    pub fn router_item(&self, key: &str) -> Option<&RouterItem> {
        self.router_items.get(key)
    }

    /// Returns the key that authenticates messages between VMs, once it was read.
    #[must_use]
    pub fn peer_key(&self) -> Option<Vec<u8>> {
        self.router_item(keys::PEER_KEY).map(|item| item.value.clone())
    }

    /// Returns the items under keys of the router that begin with `prefix`.
    pub fn router_items_below(&self, prefix: &str) -> impl Iterator<Item = (&String, &RouterItem)> {
        self.router_items.iter().filter(move |(key, _)| key.starts_with(prefix))
    }

    /// Sets the item under a key of the router, or removes it.
    pub fn set_router_item(&mut self, key: &str, item: Option<RouterItem>) {
        if let Some(vm) = key.strip_prefix(keys::VM_PREFIX) {
            let decode = |item: RouterItem| {
                serde_json::from_slice(&item.value).map(|entry| (entry, item.revision))
            };
            match item.map(decode) {
                Some(Ok(entry)) => {
                    self.vms.insert(vm.to_owned(), entry);
                    self.vms_max = self.vms_max.max(self.vms.len());
                }
                Some(Err(e)) => {
                    log::warn!(target: "member", vm = vm, why = e.to_string(); "unreadable entry of a VM");
                }
                None => drop(self.vms.remove(vm)),
            }
            return;
        }
        if let Some(slot) = keys::quota_slot(key) {
            let decode = |item: &RouterItem| {
                let former = self.router_items.get(key).map(|former| former.revision);
                let entry = serde_json::from_slice(&item.value);
                let log_error = |e: &serde_json::Error| {
                    if former != Some(item.revision) {
                        log::warn!(target: "quota", key = key, revision = item.revision,
                            why = e.to_string(); "unreadable key of a quota slot");
                    }
                };
                entry.inspect_err(log_error).ok()
            };
            self.quota_slots[usize::from(slot)] = item.as_ref().and_then(decode);
        }
        if let Some(service) = key.strip_prefix(keys::SOFTWARE_PREFIX) {
            let history = item.as_ref().and_then(|item| software::decode(key, &item.value));
            match history {
                Some(history) => drop(self.software.insert(service.to_owned(), Arc::new(history))),
                None => drop(self.software.remove(service)),
            }
        }
        match item {
            Some(item) => {
                let same = self.router_items.get(key).filter(|old| old.revision == item.revision);
                let read_at = same.map_or(item.read_at, |old| old.read_at);
                self.router_items.insert(key.to_owned(), RouterItem { read_at, ..item });
            }
            None => drop(self.router_items.remove(key)),
        }
    }

    /// Removes all items under keys of the router for which `is_listed` is false, after a read of the whole store. The key
    /// of the messages between VMs stays, with the revision 0, as long as any VM has it.
    pub fn retain_router_items(&mut self, is_listed: impl Fn(&str) -> bool) {
        if let Some(item) = self.router_items.get_mut(keys::PEER_KEY)
            && !is_listed(keys::PEER_KEY)
        {
            item.revision = 0;
        }
        self.router_items.retain(|key, _| is_listed(key) || key == keys::PEER_KEY);
        for (slot, entry) in (0..SLOTS).zip(&mut self.quota_slots) {
            entry.take_if(|_| !is_listed(&keys::quota(slot)));
        }
        self.software.retain(|service, _| is_listed(&keys::software(service)));
        self.vms.retain(|vm, _| is_listed(&format!("{}{vm}", keys::VM_PREFIX)));
    }

    /// Returns the value of the key of a quota slot, if there is one that can be decoded.
    #[must_use]
    pub fn quota_slot(&self, slot: u8) -> Option<&SlotEntry> {
        self.quota_slots.get(usize::from(slot))?.as_ref()
    }

    /// Returns the history of the software versions of a service, if there is one that can be decoded.
    #[must_use]
    pub fn software(&self, service: &str) -> Option<&Arc<History>> {
        self.software.get(service)
    }

    /// Returns the keys of the entries of upstreams and of all items of the router.
    pub fn keys(&self) -> impl Iterator<Item = String> {
        let upstreams = self.directory.iter().map(|upstream| registry::key(&upstream.id));
        let vms = self.vms.keys().map(|vm| format!("{}{vm}", keys::VM_PREFIX));
        self.router_items.keys().cloned().chain(vms).chain(upstreams)
    }

    /// Returns the entry of a registered VM.
    #[must_use]
    pub fn vm(&self, vm: &str) -> Option<&VmEntry> {
        self.vms.get(vm).map(|(entry, _)| entry)
    }

    /// Returns the registered VMs.
    pub fn vms(&self) -> impl Iterator<Item = (&VmId, &VmEntry)> {
        self.vms.iter().map(|(vm, (entry, _))| (vm, entry))
    }

    /// Returns the revision at which a VM registered: the later its process started, the higher the revision.
    #[must_use]
    pub fn registered_at(&self, vm: &str) -> Option<Revision> {
        self.vms.get(vm).map(|(_, revision)| *revision)
    }

    /// Returns the largest number of VMs that were registered at the same time. Entries expire during an outage of the
    /// store, so fewer entries do not mean fewer VMs.
    #[must_use]
    pub fn vms_max(&self) -> usize {
        self.vms_max
    }

    /// Returns the era of the store that was read last.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        self.era.map(|(era, _)| era)
    }

    /// Sets the era of the store that was read at `now`; returns the former one if it has changed.
    pub fn set_era(&mut self, era: Era, now: Now) -> Option<Era> {
        let former = self.era();
        if former != Some(era) {
            self.era = Some((era, now));
            self.is_settled = false;
            // The revisions of two eras cannot be compared, so that each item is read as a new one.
            self.router_items.values_mut().for_each(|item| item.revision = 0);
        }
        former.filter(|former| *former != era)
    }

    /// Returns the last era that a VM recorded as settled.
    #[must_use]
    pub fn recorded_era(&self) -> Option<Era> {
        let item = self.router_item(keys::SETTLED_ERA)?;
        let record: Result<SettledEra, _> = serde_json::from_slice(&item.value);
        let record = record.inspect_err(|e| {
            log::warn!(target: "config", revision = item.revision, why = e.to_string();
                "unreadable record of the settled era");
        });
        Some(record.ok()?.era)
    }

    /// Whether the view has been current in the era of the store.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns when the VMs that held leases before this era have stopped to rely on them, if these last `lease_ttl`.
    #[must_use]
    pub fn former_leases_end_at(&self, lease_ttl: Duration) -> Option<Now> {
        self.era.map(|(_, since)| since + lease_ttl)
    }

    /// Returns from when on a read makes the view current, or `None` if any read does.
    #[must_use]
    pub fn settles_at(&self) -> Option<Now> {
        let (_, since) = self.era.filter(|_| !self.is_settled)?;
        Some(since + self.settle_time)
    }

    /// Records that the store answered a read that was sent at `sent`, all of which is in the view. The view is then
    /// current, unless changes that the store has lost may not be written again yet.
    pub fn mark_read(&mut self, sent: Now) {
        let is_settled = self.settles_at().is_none_or(|at| sent >= at);
        if is_settled || self.recorded_era() == self.era() {
            self.mark_current_as_of(sent);
        }
    }

    /// Records that the view contains all changes that were acknowledged before `as_of`.
    pub fn mark_current_as_of(&mut self, as_of: Now) {
        self.is_settled = true;
        self.current_as_of = self.current_as_of.max(Some(as_of));
    }

    /// Returns where the last changes came from.
    #[must_use]
    pub fn provenance(&self) -> &Provenance {
        &self.provenance
    }

    /// Records where the last changes came from.
    pub fn set_provenance(&mut self, revision: Revision, from: &str) {
        self.provenance.revision = revision;
        if *self.provenance.from != *from {
            self.provenance.from = from.into();
        }
    }

    /// Whether the view was ever current.
    #[must_use]
    pub fn has_been_current(&self) -> bool {
        self.current_as_of.is_some()
    }

    /// Returns the age of the view, or `None` if it was never current.
    #[must_use]
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.current_as_of.map(|as_of| now.saturating_sub(as_of))
    }

    /// Whether the view is young enough to use the keys in it. `revoke` is the time in which a revoked key must be
    /// refused.
    #[must_use]
    pub fn may_use_keys(&self, now: Now, revoke: Duration) -> bool {
        self.catalog.is_some()
            && self.age(now).is_some_and(|age| age < revoke.mul_f64(KEY_AGE_MAX_FRACTION))
    }
}
