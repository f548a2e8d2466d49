//! The platform's store, with leases that expire and returns from an older copy.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use lw_limit::quota::keeper::{SlotItem, SlotValue, SlotWrite};
use lw_types::prelude::*;

pub const LEASE_TIME: Duration = Duration::from_secs(4);

/// What a read of the whole store returns.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    pub era: Era,
    pub recorded_era: Option<Era>,
    pub items: HashMap<u8, SlotItem>,
    pub vms: Vec<String>,
    pub config: ConfigVersion,
}

#[derive(Debug, Clone, Default)]
struct Contents {
    revision: Revision,
    slots: HashMap<u8, (SlotValue, Revision, Option<u64>)>,
    recorded_era: Option<Era>,
    /// Name of the VM and end, by id.
    leases: BTreeMap<u64, (String, Now)>,
    next_lease: u64,
}

#[derive(Debug, Default)]
pub struct Store {
    pub era: Era,
    pub is_down: bool,
    pub config: ConfigVersion,
    contents: Contents,
    copies: Vec<(Now, Contents)>,
    snapshot: Option<Rc<Snapshot>>,
}

impl Store {
    pub fn new() -> Self {
        Self { era: 3, config: 1, ..Self::default() }
    }

    pub fn read(&mut self, now: Now) -> Rc<Snapshot> {
        self.expire(now);
        if let Some(snapshot) = &self.snapshot {
            return Rc::clone(snapshot);
        }
        let slots = self.contents.slots.iter();
        let items = slots.map(|(slot, (value, revision, _))| {
            (*slot, SlotItem { revision: *revision, value: Some(value.clone()), read_at: now })
        });
        let mut vms: Vec<_> = self.contents.leases.values().map(|(vm, _)| vm.clone()).collect();
        vms.sort_unstable();
        vms.dedup();
        let snapshot = Rc::new(Snapshot {
            era: self.era,
            recorded_era: self.contents.recorded_era,
            items: items.collect(),
            vms,
            config: self.config,
        });
        self.snapshot = Some(Rc::clone(&snapshot));
        snapshot
    }

    pub fn set_config(&mut self, config: ConfigVersion) {
        self.config = config;
        self.snapshot = None;
    }

    pub fn create_lease(&mut self, now: Now, vm: &str) -> (u64, Era) {
        self.expire(now);
        self.snapshot = None;
        self.contents.next_lease += 1;
        let id = self.contents.next_lease;
        self.contents.leases.insert(id, (vm.to_owned(), now + LEASE_TIME));
        (id, self.era)
    }

    pub fn renew(&mut self, now: Now, id: u64, era: Era) -> bool {
        self.expire(now);
        let lease = self.contents.leases.get_mut(&id).filter(|_| era == self.era);
        lease.map(|(_, end)| *end = now + LEASE_TIME).is_some()
    }

    /// Carries out a transaction. Each key gets a revision of its own, and the last one is returned. Ids of leases are not
    /// checked for their era, as in the real store.
    pub fn write(&mut self, now: Now, write: &SlotWrite) -> Option<Position> {
        self.expire(now);
        let lease = write.is_taking.then_some(write.lease.id);
        if lease.is_some_and(|id| !self.contents.leases.contains_key(&id)) {
            return None;
        }
        let revision = |slot| self.contents.slots.get(slot).map_or(0, |(_, revision, _)| *revision);
        if write.entries.iter().any(|(slot, expected, _)| revision(slot) != *expected) {
            return None;
        }
        self.snapshot = None;
        for (slot, _, value) in &write.entries {
            self.contents.revision += 1;
            let revision = self.contents.revision;
            self.contents.slots.insert(*slot, (value.clone(), revision, lease));
        }
        if write.records_era {
            self.contents.recorded_era = Some(write.lease.era);
        }
        Some(Position { era: self.era, revision: self.contents.revision })
    }

    /// Keeps a copy to return from.
    pub fn copy(&mut self, now: Now) {
        self.expire(now);
        self.copies.push((now, self.contents.clone()));
    }

    /// Returns from the copy that is at least so old. The leases in it begin anew.
    pub fn return_from(&mut self, now: Now, age: Duration) {
        let old = self.copies.iter().rev().find(|(at, _)| *at + age <= now);
        self.contents = old.map(|(_, contents)| contents.clone()).unwrap_or_default();
        self.contents.leases.values_mut().for_each(|(_, end)| *end = now + LEASE_TIME);
        self.era += 1;
        self.copies.clear();
        self.snapshot = None;
    }

    fn expire(&mut self, now: Now) {
        let Contents { leases, slots, revision, .. } = &mut self.contents;
        let before = leases.len();
        leases.retain(|_, (_, end)| now < *end);
        if leases.len() < before {
            slots.retain(|_, (_, _, lease)| lease.is_none_or(|id| leases.contains_key(&id)));
            *revision += 1;
            self.snapshot = None;
        }
    }
}
