//! What the store said, and how old that is.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::{Catalog, Directory};
use lw_types::prelude::*;

use super::keys::{self, VmEntry};

/// Part of the time in which a revoked key must be refused for which the knowledge about keys is used. The rest covers
/// a watch that heard nothing for its last second.
const KEY_AGE_PART: f64 = 0.8;

/// An item of the router's own in the store.
#[derive(Debug, Clone)]
pub struct OwnItem {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: Revision,
}

/// What the store said.
#[derive(Debug, Default)]
pub struct Known {
    catalog: Option<Arc<Catalog>>,
    versions: HashMap<ModelId, (u64, Now)>,
    /// The registered upstreams.
    pub directory: Directory,
    own: HashMap<String, OwnItem>,
    vms: HashMap<VmId, VmEntry>,
    vms_max: usize,
    /// When the last answered read was sent, by the clock that counts suspended time.
    confirmed: Option<Now>,
}

impl Known {
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
    pub fn name_version(&mut self, now: Now, model: &str, version: u64) -> bool {
        let is_newer = self.version(model).is_none_or(|known| version > known);
        if is_newer {
            self.versions.insert(model.to_owned(), (version, now));
        }
        is_newer
    }

    /// The newest named versions of weights by model, with the times at which they became known.
    pub fn versions(&self) -> impl Iterator<Item = (&ModelId, u64, Now)> {
        self.versions.iter().map(|(model, (version, since))| (model, *version, *since))
    }

    /// The newest named version of a model's weights.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<u64> {
        self.versions.get(model).map(|(version, _)| *version)
    }

    /// An item of the router's own.
    #[must_use]
    pub fn own(&self, key: &str) -> Option<&OwnItem> {
        self.own.get(key)
    }

    /// Takes an item of the router's own, or its removal.
    pub fn set_own(&mut self, key: &str, item: Option<OwnItem>) {
        if let Some(vm) = key.strip_prefix(keys::VM_PREFIX) {
            let read = |item: OwnItem| serde_json::from_slice(&item.value);
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
            Some(item) => drop(self.own.insert(key.to_owned(), item)),
            None => drop(self.own.remove(key)),
        }
    }

    /// Drops all items of the router's own that a read of all of them did not list.
    pub fn retain_own(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.own.retain(|key, _| is_listed(key));
        self.vms.retain(|vm, _| is_listed(&format!("{}{vm}", keys::VM_PREFIX)));
    }

    /// The registered VMs.
    pub fn vms(&self) -> impl Iterator<Item = (&VmId, &VmEntry)> {
        self.vms.iter()
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
