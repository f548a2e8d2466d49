//! What the store said, and how old that is.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::{Catalog, Directory};
use lw_types::prelude::*;

use super::keys::{self, VmEntry};

/// Part of the time in which a revoked key must be refused for which the knowledge about keys is used. The rest covers
/// a watch that heard nothing for its last second.
const KEY_AGE_PART: f64 = 0.8;

/// Named versions of a model that are remembered.
const NAMED_MAX: usize = 64;

/// An item of the router's own in the store.
#[derive(Debug, Clone)]
pub struct RouterItem {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: Revision,
    /// When this VM read it, by the clock that counts suspended time.
    pub read_at: Now,
}

/// A version of a model's weights that operators named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// It was not named before, by the clock that counts suspended time.
    pub since: Now,
    /// Whether a VM followed the store when it was named, so that `since` is no guess.
    pub is_dated: bool,
}

/// What the store said.
#[derive(Debug, Default)]
pub struct StoreView {
    catalog: Option<Arc<Catalog>>,
    /// Named versions by model, in their order.
    versions: HashMap<ModelId, Vec<NamedVersion>>,
    /// The registered upstreams.
    pub directory: Directory,
    own: HashMap<String, RouterItem>,
    vms: HashMap<VmId, (VmEntry, Revision)>,
    vms_max: usize,
    /// When the last answered read was sent, by the clock that counts suspended time.
    confirmed: Option<Now>,
}

impl StoreView {
    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.clone()
    }

    /// Takes a configuration; returns whether it is newer than the one in force.
    pub fn install(&mut self, catalog: Catalog) -> bool {
        let is_newer = self.catalog.as_ref().is_none_or(|known| catalog.version > known.version);
        if is_newer {
            self.catalog = Some(Arc::new(catalog));
        }
        is_newer
    }

    /// Takes a named version of weights; returns whether it is newer than the one before.
    pub fn add_named_version(&mut self, model: &str, named: NamedVersion) -> bool {
        let is_newer = self.newest_version(model).is_none_or(|known| named.version > known);
        if is_newer {
            let versions = self.versions.entry(model.to_owned()).or_default();
            versions.push(named);
            if versions.len() > NAMED_MAX {
                versions.remove(0);
            }
        }
        is_newer
    }

    /// Another VM says that a version was not named before `since`. Returns whether that is news.
    pub fn set_naming_time(&mut self, model: &str, version: u64, since: Now) -> bool {
        let Some(versions) = self.versions.get_mut(model) else { return false };
        let dated = NamedVersion { version, since, is_dated: true };
        match versions.binary_search_by_key(&version, |named| named.version) {
            Ok(at) if versions[at].is_dated && versions[at].since >= since => return false,
            Ok(at) => versions[at] = dated,
            // The store names the newest one.
            Err(at) if at == versions.len() => return false,
            Err(at) => versions.insert(at, dated),
        }
        true
    }

    /// The named versions of weights by model, each model's in their order.
    pub fn named_versions(&self) -> impl Iterator<Item = (&ModelId, NamedVersion)> {
        let all = self.versions.iter();
        all.flat_map(|(model, versions)| versions.iter().map(move |named| (model, *named)))
    }

    /// The newest named version of a model's weights.
    #[must_use]
    pub fn newest_version(&self, model: &str) -> Option<u64> {
        Some(self.versions.get(model)?.last()?.version)
    }

    /// An item of the router's own.
    #[must_use]
    pub fn router_item(&self, key: &str) -> Option<&RouterItem> {
        self.own.get(key)
    }

    /// Takes an item of the router's own, or its removal.
    pub fn set_router_item(&mut self, key: &str, item: Option<RouterItem>) {
        if let Some(vm) = key.strip_prefix(keys::VM_PREFIX) {
            let read = |item: RouterItem| {
                serde_json::from_slice(&item.value).map(|entry| (entry, item.revision))
            };
            match item.map(read) {
                Some(Ok(entry)) => {
                    self.vms.insert(vm.to_owned(), entry);
                    self.vms_max = self.vms_max.max(self.vms.len());
                }
                Some(Err(e)) => {
                    log::warn!(target: "member", vm = vm, why = e.to_string(); "unreadable entry");
                }
                None => drop(self.vms.remove(vm)),
            }
            return;
        }
        match item {
            Some(item) => {
                let known = self.own.get(key).filter(|known| known.revision == item.revision);
                let read_at = known.map_or(item.read_at, |known| known.read_at);
                self.own.insert(key.to_owned(), RouterItem { read_at, ..item });
            }
            None => drop(self.own.remove(key)),
        }
    }

    /// Drops all items of the router's own that a read of all of them did not list.
    pub fn retain_router_items(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.own.retain(|key, _| is_listed(key));
        self.vms.retain(|vm, _| is_listed(&format!("{}{vm}", keys::VM_PREFIX)));
    }

    /// The registered VMs.
    pub fn vms(&self) -> impl Iterator<Item = (&VmId, &VmEntry)> {
        self.vms.iter().map(|(vm, (entry, _))| (vm, entry))
    }

    /// Revision at which a VM registered. The younger its process, the higher it is.
    #[must_use]
    pub fn registered_at(&self, vm: &str) -> Option<Revision> {
        self.vms.get(vm).map(|(_, revision)| *revision)
    }

    /// Most VMs that were registered at a time. Entries lapse with the store, so fewer of them do not mean fewer VMs.
    #[must_use]
    pub fn vms_max(&self) -> usize {
        self.vms_max
    }

    /// All that was known until `sent` is known: a read that was sent then was answered.
    pub fn confirm(&mut self, sent: Now) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Age of the knowledge, if there is any.
    #[must_use]
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Whether the knowledge about keys is young enough to use them, if `revoke` is the time in which a revoked key
    /// must be refused.
    #[must_use]
    pub fn may_use_keys(&self, now: Now, revoke: Duration) -> bool {
        self.catalog.is_some()
            && self.age(now).is_some_and(|age| age < revoke.mul_f64(KEY_AGE_PART))
    }
}
