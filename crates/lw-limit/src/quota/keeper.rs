//! The slots of one VM: takes, loses and hands them over, by their keys in the store.

use std::collections::{BTreeMap, HashMap};

use lw_types::prelude::*;

use super::{
    SLOTS, Share,
    holder::{Holder, Return},
    ownership::{Ownership, SlotKey},
};

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
    /// Its value, if it can be read.
    pub value: Option<SlotValue>,
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
    /// Slots that this VM released, with the revisions of their keys before.
    released: HashMap<u8, Revision>,
    is_writing: bool,
    is_leaving: bool,
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
        let lease = fleet.lease.filter(|lease| lease.era == fleet.era && now < lease.valid_until);
        let Some(lease) = lease.filter(|_| !self.is_writing) else {
            return Update { lost, write: None };
        };
        let may_take = fleet.is_current
            && (fleet.recorded_era == Some(fleet.era)
                || fleet.former_leases_end.is_some_and(|end| now >= end));
        let write = if !fleet.has_caps || self.is_leaving {
            self.release(now, lease, (0..SLOTS).collect())
        } else if may_take {
            self.take_or_hand_over(now, lease, fleet)
        } else {
            None
        };
        self.is_writing = write.is_some();
        Update { lost, write }
    }

    /// Stops to hold the slots whose keys are not this VM's any more, and returns them.
    fn drop_lost(&mut self, fleet: &Fleet<'_>) -> Vec<u8> {
        let lease = fleet.lease.map(|lease| (lease.id, lease.era));
        let mut lost = Vec::new();
        if lease != self.lease || lease.is_none() {
            self.lease = lease;
            lost.extend(self.holder.clear());
        }
        self.holder.set_valid_until(fleet.lease.map(|lease| lease.valid_until).unwrap_or_default());
        for (slot, item) in fleet.items {
            let held = self.holder.slots().find(|(held, _)| held == slot);
            if held.is_some_and(|(_, revision)| item.revision > revision) {
                self.holder.forget(*slot);
                lost.push(*slot);
            }
        }
        lost
    }

    /// Takes no slots from now on, and releases those that are held with the next update.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Whether this VM holds no slot and writes none.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.is_writing && self.holder.slots().next().is_none()
    }

    /// Records the outcome of a write: the position at which it took effect; none if it did not, or if that is unknown.
    /// Returns whether the slots are held or released now.
    pub fn on_written(&mut self, now: Now, write: SlotWrite, position: Option<Position>) -> bool {
        self.is_writing = false;
        let position = position.filter(|position| position.era == write.lease.era);
        let is_own_lease = self.lease == Some((write.lease.id, write.lease.era));
        let Some(position) = position.filter(|_| !write.is_taking || is_own_lease) else {
            self.ownership.on_failure(now);
            if !write.is_taking {
                // The key may still name this VM, which then takes the slot again.
                self.released.retain(|slot, _| write.entries.iter().all(|(of, ..)| of != slot));
            }
            return false;
        };
        if write.is_taking {
            let mut levels = write.levels;
            for (slot, ..) in write.entries {
                self.released.remove(&slot);
                let levels = levels.remove(&slot).unwrap_or_default();
                self.holder.take(now, slot, position.revision, levels);
            }
        }
        true
    }

    /// Takes back grants whose slots this VM holds, and returns the others.
    pub fn take_back_own(&mut self, now: Now, returns: Vec<Return>) -> Vec<Return> {
        let is_held = |slot: u8| self.holder.slots().any(|(held, _)| held == slot);
        let (own, others): (Vec<_>, Vec<_>) =
            returns.into_iter().partition(|returned| is_held(returned.slot));
        for returned in own {
            self.holder.take_back(now, &returned);
        }
        others
    }

    /// Stops to hold these slots, and returns the write that hands them over.
    fn release(&mut self, now: Now, lease: Lease, slots: Vec<u8>) -> Option<SlotWrite> {
        let mut entries = Vec::new();
        for slot in slots {
            let Some((revision, levels)) = self.holder.release(now, slot) else { continue };
            self.released.insert(slot, revision);
            entries.push((slot, revision, SlotValue { holder: None, era: lease.era, levels }));
        }
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
        let held: Vec<_> = self.holder.slots().map(|(slot, _)| slot).collect();
        let is_held = |slot: u8| held.contains(&slot);
        let released = &self.released;
        let key = |slot: u8| {
            let Some(item) = fleet.items.get(&slot) else { return SlotKey::Free };
            match item.value.as_ref().map(|value| value.holder.as_deref()) {
                // The view may not show yet that this process has released it.
                _ if released.get(&slot) == Some(&item.revision) => SlotKey::Other,
                Some(None) => SlotKey::Free,
                Some(Some(holder)) if holder == fleet.own => SlotKey::Own,
                Some(Some(_)) | None => SlotKey::Other,
            }
        };
        let slots = self.ownership.to_take(now, fleet.own, fleet.vms, key, is_held);
        if slots.is_empty() {
            let slot = self.ownership.to_hand_over(now, fleet.own, fleet.vms, is_held)?;
            return self.release(now, lease, vec![slot]);
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
