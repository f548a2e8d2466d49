//! The slots of one VM: takes, loses and hands them over, by their keys in the store.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lw_types::prelude::*;

use super::{
    SLOTS, Share,
    holder::{Holder, Return},
    ownership::{Ownership, SlotKey},
};

/// Pause after a release that failed. A planned shutdown hands its slots over within a second.
const RELEASE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Value of the key of a slot.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SlotValue {
    /// The holder; none if it has released the slot.
    pub holder: Option<VmId>,
    /// Era of the store that the VM which wrote it had read.
    pub era: Era,
    /// Levels of the buckets at the release.
    pub levels: BTreeMap<WorkspaceId, f64>,
}

/// The key of a slot, as a VM has read it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SlotItem {
    /// Its revision, which is 0 if it was read in an earlier era.
    pub revision: Revision,
    /// Its value, if it can be decoded.
    pub value: Option<SlotValue>,
    /// When this VM first read this revision.
    pub read_at: Now,
}

/// The lease of a VM's registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its id in the era.
    pub id: u64,
    /// Era in which it was created.
    pub era: Era,
    /// Until when it has certainly not ended.
    pub valid_until: Now,
}

/// What a VM knows of the store and of the other VMs.
#[derive(Debug)]
pub struct Fleet<'a> {
    /// Name of this VM.
    pub own: &'a str,
    /// The registered VMs, of which this one is one.
    pub vms: &'a [&'a str],
    /// Era of the store.
    pub era: Era,
    /// Last era in which a VM has taken slots.
    pub recorded_era: Option<Era>,
    /// When all leases of earlier eras have ended.
    pub former_leases_end: Option<Now>,
    /// Longest lifetime of a lease that is not renewed.
    pub lease_time: Duration,
    /// Whether this VM's view of the store is current.
    pub is_current: bool,
    /// Lease of this VM's registration; none if it is lost.
    pub lease: Option<Lease>,
    /// Keys of the slots.
    pub items: &'a HashMap<u8, SlotItem>,
    /// Whether the configuration has caps.
    pub has_caps: bool,
}

/// One transaction on the keys of slots.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotWrite {
    /// Slot, revision that its key must have, and its new value.
    pub entries: Vec<(u8, Revision, SlotValue)>,
    /// Whether slots are taken. Otherwise they are released, and their keys are not bound to the lease.
    pub is_taking: bool,
    /// Lease of the registration at the time of the decision.
    pub lease: Lease,
    /// Whether the era is recorded as one in which slots were taken.
    pub records_era: bool,
    /// Levels that former holders handed over.
    levels: HashMap<u8, BTreeMap<WorkspaceId, f64>>,
}

/// Result of [`Keeper::update`].
#[derive(Debug, Default)]
pub struct Update {
    /// Slots that were held and are lost.
    pub lost: Vec<u8>,
    /// A transaction to carry out, whose result must be passed to [`Keeper::on_written`].
    pub write: Option<SlotWrite>,
}

/// The slots of one VM.
#[derive(Debug, Default)]
pub struct Keeper {
    /// Buckets of the slots that are held.
    pub holder: Holder,
    ownership: Ownership,
    /// The lease that the keys of the held slots are bound to.
    lease: Option<(u64, Era)>,
    /// Held slots whose keys the view does not show as written yet, with the revisions that the write replaced. A
    /// transaction may give each key a revision of its own, up to the one that its answer states.
    unconfirmed: HashMap<u8, Revision>,
    /// Slots that this VM does not hold any more, until the view shows a later revision of their keys.
    released: HashMap<u8, Release>,
    release_paused_until: Now,
    /// From when on slots are taken in this era, and when certain slots are, if that is later.
    taken_from: Now,
    slots_taken_from: HashMap<u8, Now>,
    is_writing: bool,
    is_leaving: bool,
}

/// The release of a slot.
#[derive(Debug)]
struct Release {
    /// Revision of the slot's key before.
    revision: Revision,
    /// Levels for the next holder.
    levels: BTreeMap<WorkspaceId, f64>,
    /// Whether the store has confirmed it.
    is_written: bool,
}

impl Keeper {
    /// Applies the caps of a configuration.
    pub fn configure(
        &mut self,
        now: Now,
        config: ConfigVersion,
        shares: HashMap<WorkspaceId, Share>,
    ) {
        self.holder.configure(now, config, shares);
    }

    /// Decides which slots are taken or released now.
    pub fn update(&mut self, now: Now, fleet: &Fleet<'_>) -> Update {
        let lost = self.drop_lost(fleet);
        self.update_times(fleet);
        let lease = fleet.lease.filter(|lease| lease.era == fleet.era && now < lease.valid_until);
        let Some(lease) = lease.filter(|_| !self.is_writing) else {
            return Update { lost, write: None };
        };
        let may_take = fleet.is_current
            && (fleet.recorded_era == Some(fleet.era) || fleet.former_leases_end.is_some())
            && now >= self.taken_from;
        if self.is_leaving {
            self.release_unheld(fleet);
        }
        if !fleet.has_caps || self.is_leaving {
            (0..SLOTS).for_each(|slot| self.release(now, slot));
        }
        let write = match self.release_write(now, lease) {
            Some(write) => Some(write),
            None if fleet.has_caps && !self.is_leaving && may_take => {
                self.take_or_hand_over(now, lease, fleet)
            }
            None => None,
        };
        self.is_writing = write.is_some();
        Update { lost, write }
    }

    /// Updates when slots are taken, as far as that is known.
    fn update_times(&mut self, fleet: &Fleet<'_>) {
        let is_recorded = fleet.recorded_era == Some(fleet.era);
        self.taken_from = fleet.former_leases_end.filter(|_| !is_recorded).unwrap_or(Now::ZERO);
        let unreadable = fleet.items.iter().filter(|(_, item)| item.value.is_none());
        self.slots_taken_from =
            unreadable.map(|(slot, item)| (*slot, item.read_at + fleet.lease_time)).collect();
    }

    /// Returns the time until a VM may take a slot that is not held, as far as it is known, and 0 otherwise.
    #[must_use]
    pub fn time_until_taken(&self, now: Now, slot: u8) -> Duration {
        let of_slot = self.slots_taken_from.get(&slot).copied().unwrap_or_default();
        self.taken_from.max(of_slot).saturating_sub(now)
    }

    /// Stops to hold the slots whose keys are not this VM's any more, and returns them.
    fn drop_lost(&mut self, fleet: &Fleet<'_>) -> Vec<u8> {
        let lease = fleet.lease.map(|lease| (lease.id, lease.era));
        let mut lost = Vec::new();
        if lease != self.lease || lease.is_none() {
            self.lease = lease;
            lost.extend(self.holder.clear());
            self.unconfirmed.clear();
            self.released.clear();
        }
        self.holder.set_valid_until(fleet.lease.map(|lease| lease.valid_until).unwrap_or_default());
        let is_own_era = fleet.lease.is_some_and(|lease| lease.era == fleet.era);
        for (slot, item) in fleet.items {
            let Some(revision) = self.holder.revision(*slot) else { continue };
            if item.revision > revision {
                self.holder.forget(*slot);
                self.unconfirmed.remove(slot);
                lost.push(*slot);
            } else if is_own_era
                && self.unconfirmed.get(slot).is_some_and(|before| item.revision > *before)
            {
                // No other write can have changed the key between these revisions.
                self.holder.set_revision(*slot, item.revision);
                self.unconfirmed.remove(slot);
            }
        }
        self.released.retain(|slot, release| {
            fleet.items.get(slot).is_some_and(|item| item.revision <= release.revision)
        });
        lost
    }

    /// Takes no slots from now on, and releases those that are held with the next update.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Whether this VM holds no slot, writes none and has released those that it held.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.is_writing
            && self.holder.slots().next().is_none()
            && self.released.values().all(|release| release.is_written)
    }

    /// Records the outcome of a write: the position at which it took effect; none if it did not, or if that is unknown.
    /// Returns whether the slots are held or released now.
    pub fn on_written(&mut self, now: Now, write: SlotWrite, position: Option<Position>) -> bool {
        self.is_writing = false;
        let position = position.filter(|position| position.era == write.lease.era);
        let is_own_lease = self.lease == Some((write.lease.id, write.lease.era));
        let Some(position) = position.filter(|_| !write.is_taking || is_own_lease) else {
            if write.is_taking {
                self.ownership.on_failure(now);
            } else {
                self.release_paused_until = now + RELEASE_RETRY_PAUSE;
            }
            return false;
        };
        let mut levels = write.levels;
        for (slot, before, _) in write.entries {
            if write.is_taking {
                self.released.remove(&slot);
                self.unconfirmed.insert(slot, before);
                let levels = levels.remove(&slot).unwrap_or_default();
                self.holder.take(now, slot, position.revision, levels);
            } else if let Some(release) = self.released.get_mut(&slot) {
                release.is_written = true;
            }
        }
        true
    }

    /// Takes back grants whose slots this VM holds, and returns the others.
    pub fn take_back_own(&mut self, now: Now, returns: Vec<Return>) -> Vec<Return> {
        let (own, others): (Vec<_>, Vec<_>) =
            returns.into_iter().partition(|returned| self.holder.revision(returned.slot).is_some());
        for returned in own {
            self.holder.take_back(now, &returned);
        }
        others
    }

    /// Stops to hold a slot, unless the revision of its key is not known yet.
    fn release(&mut self, now: Now, slot: u8) {
        if self.unconfirmed.contains_key(&slot) {
            return;
        }
        let Some((revision, levels)) = self.holder.release(now, slot) else { return };
        self.released.insert(slot, Release { revision, levels, is_written: false });
    }

    /// Releases the slots whose keys name this VM although it does not hold them: the outcome of its write is unknown, or a
    /// former process of the same name held them. The next holder starts at the lowest levels.
    fn release_unheld(&mut self, fleet: &Fleet<'_>) {
        for (slot, SlotItem { revision, value, .. }) in fleet.items {
            let holder = value.as_ref().and_then(|value| value.holder.as_deref());
            if holder == Some(fleet.own) && self.holder.revision(*slot).is_none() {
                let (revision, levels) = (*revision, BTreeMap::new());
                let release = Release { revision, levels, is_written: false };
                self.released.entry(*slot).or_insert(release);
            }
        }
    }

    /// Returns the write of the releases that are not written yet. One that failed is repeated with the same levels, since
    /// the slots were not used any more; if its outcome was unknown and it took effect, the revisions prevent a second one.
    fn release_write(&mut self, now: Now, lease: Lease) -> Option<SlotWrite> {
        if now < self.release_paused_until {
            return None;
        }
        let open = self.released.iter().filter(|(_, release)| !release.is_written);
        let mut entries: Vec<_> = open
            .map(|(slot, Release { revision, levels, .. })| {
                let value = SlotValue { holder: None, era: lease.era, levels: levels.clone() };
                (*slot, *revision, value)
            })
            .collect();
        entries.sort_unstable_by_key(|(slot, ..)| *slot);
        let (is_taking, records_era, levels) = (false, false, HashMap::new());
        let is_any = !entries.is_empty();
        is_any.then_some(SlotWrite { entries, is_taking, lease, records_era, levels })
    }

    fn take_or_hand_over(
        &mut self,
        now: Now,
        lease: Lease,
        fleet: &Fleet<'_>,
    ) -> Option<SlotWrite> {
        let holder = &self.holder;
        let is_held = |slot: u8| holder.revision(slot).is_some();
        let (released, taken_from) = (&self.released, &self.slots_taken_from);
        let key = |slot: u8| {
            let Some(item) = fleet.items.get(&slot) else { return SlotKey::Free };
            match item.value.as_ref().map(|value| value.holder.as_deref()) {
                // The view may not show yet that this process has released it.
                _ if released.get(&slot).is_some_and(|r| r.revision == item.revision) => {
                    SlotKey::Other
                }
                Some(None) => SlotKey::Free,
                Some(Some(holder)) if holder == fleet.own => SlotKey::Own,
                // A former holder sees a later revision of its key and stops. One that is cut from the store, so that it does not
                // see it, cannot renew its lease.
                None if taken_from.get(&slot).is_some_and(|from| now >= *from) => SlotKey::Free,
                Some(Some(_)) | None => SlotKey::Other,
            }
        };
        let slots = self.ownership.to_take(now, fleet.own, fleet.vms, key, is_held);
        if slots.is_empty() {
            let slot = self.ownership.to_hand_over(now, fleet.own, fleet.vms, is_held)?;
            self.release(now, slot);
            return self.release_write(now, lease);
        }
        let value = || SlotValue {
            holder: Some(fleet.own.to_owned()),
            era: fleet.era,
            levels: BTreeMap::new(),
        };
        let item = |slot: u8| fleet.items.get(&slot);
        let revision = |slot: u8| item(slot).map_or(0, |item| item.revision);
        // A record of an earlier era may be older than grants that were made on it.
        let levels = |slot: u8| {
            let value = item(slot)?.value.as_ref()?;
            (value.era == fleet.era && value.holder.is_none()).then(|| value.levels.clone())
        };
        Some(SlotWrite {
            entries: slots.iter().map(|slot| (*slot, revision(*slot), value())).collect(),
            is_taking: true,
            lease,
            records_era: fleet.recorded_era != Some(fleet.era),
            levels: slots.iter().filter_map(|slot| Some((*slot, levels(*slot)?))).collect(),
        })
    }
}
