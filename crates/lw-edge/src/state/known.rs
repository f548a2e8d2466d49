//! What the store said, and how old that is.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::{Catalog, Directory};
use lw_types::prelude::*;

/// Part of the time in which a revoked key must be refused for which the knowledge about keys is used. The rest covers
/// a watch that heard nothing for its last second.
const KEY_AGE_PART: f64 = 0.8;

/// What the store said.
#[derive(Debug, Default)]
pub struct Known {
    catalog: Option<Arc<Catalog>>,
    versions: HashMap<ModelId, u64>,
    /// The registered upstreams.
    pub directory: Directory,
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
    pub fn name_version(&mut self, model: &str, version: u64) -> bool {
        let known = self.versions.entry(model.to_owned()).or_default();
        let is_newer = version > *known;
        *known = version.max(*known);
        is_newer
    }

    /// The newest named version of a model's weights.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<u64> {
        self.versions.get(model).copied()
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
