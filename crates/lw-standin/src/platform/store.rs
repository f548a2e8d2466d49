//! A key-value store with compare-and-swap and leases that expire.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use lw_protocol::platform::{KeyValue, PutRequest};
use lw_types::prelude::*;

/// Why a write was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conflict {
    /// The key's current revision, which differs from the expected one; 0 when the key is absent.
    Revision(Revision),
    /// The lease has expired or never existed.
    Lease,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug)]
struct Entry {
    kv: KeyValue,
    lease: Option<u64>,
}

/// Keys, leases and revisions.
#[derive(Debug, Default)]
pub struct Store {
    revision: Revision,
    last_lease: u64,
    entries: BTreeMap<String, Entry>,
    /// Revision of the deletion, by deleted key.
    deleted: BTreeMap<String, Revision>,
    leases: BTreeMap<u64, Lease>,
}

impl Store {
    /// Returns the key's value and revision.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        self.entries.get(key).map(|entry| &entry.kv)
    }

    /// Returns the revision of the last write or deletion of the key; 0 when there was none.
    #[must_use]
    pub fn last_change(&self, key: &str) -> Revision {
        let deleted = || self.deleted.get(key).copied();
        self.get(key).map(|kv| kv.revision).or_else(deleted).unwrap_or(0)
    }

    /// Writes a key and returns its new revision.
    ///
    /// # Errors
    ///
    /// [`Conflict`] when the key's revision differs from `prev` or the lease has expired.
    pub fn put(&mut self, key: &str, put: PutRequest) -> Result<Revision, Conflict> {
        self.check_revision(key, put.prev)?;
        if put.lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(Conflict::Lease);
        }
        self.revision += 1;
        let kv = KeyValue { value: put.value, revision: self.revision };
        self.entries.insert(key.to_owned(), Entry { kv, lease: put.lease });
        self.deleted.remove(key);
        Ok(self.revision)
    }

    /// Deletes a key and returns the revision of the deletion.
    ///
    /// # Errors
    ///
    /// [`Conflict::Revision`] when the key's revision differs from `prev`.
    pub fn delete(&mut self, key: &str, prev: Option<Revision>) -> Result<Revision, Conflict> {
        self.check_revision(key, prev)?;
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            self.deleted.insert(key.to_owned(), self.revision);
        }
        Ok(self.last_change(key))
    }

    fn check_revision(&self, key: &str, prev: Option<Revision>) -> Result<(), Conflict> {
        let current = self.get(key).map_or(0, |kv| kv.revision);
        match prev {
            Some(prev) if prev != current => Err(Conflict::Revision(current)),
            _ => Ok(()),
        }
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, now: Instant, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: now + ttl });
        self.last_lease
    }

    /// Renews a lease and returns its time to live; `None` when it has expired.
    pub fn renew_lease(&mut self, now: Instant, id: u64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Removes expired leases with their keys, and returns whether any key was deleted.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let before = self.revision;
        self.leases.retain(|_, lease| now < lease.expires_at);
        let leases = &self.leases;
        let has_lost_lease =
            |entry: &Entry| entry.lease.is_some_and(|id| !leases.contains_key(&id));
        let expired: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| has_lost_lease(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.entries.remove(&key);
            self.revision += 1;
            self.deleted.insert(key, self.revision);
        }
        self.revision > before
    }

    /// Returns when the next lease expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Lets all leases expire now, as happens when their holders pause for long.
    pub fn expire_all(&mut self) {
        for lease in self.leases.values_mut() {
            lease.expires_at = Instant::now();
        }
    }
}
