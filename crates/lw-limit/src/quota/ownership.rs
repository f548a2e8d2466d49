//! Which VM takes a slot.

use std::time::Duration;

use lw_types::prelude::*;

use super::{HALF, SLOTS, rendezvous_hash};

/// Time for which a VM waits for each VM that ranks before it for a slot. A VM reads a change of the store within 0.25 s.
const RANK_WAIT: Duration = Duration::from_millis(400);
/// Pause after a write of slots that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time for which another VM ranks first until its slot is handed over to it.
const MISPLACED_TIME: Duration = Duration::from_secs(5);
/// Time between two slots that a VM hands over while it goes on, so that a workspace does not lose both at once.
const HANDOVER_PERIOD: Duration = Duration::from_secs(1);
/// Seed of the hash that decides for which half of the slots a VM ranks first. Those of the slots are smaller.
const HALF_SEED: u8 = 255;

/// What the store says of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotKey {
    /// It has no holder: there is no key, or the last holder has released it.
    Free,
    /// The key names this VM. If this process does not hold it, a former one of the same name did.
    Own,
    /// The key names another VM. It goes when that VM's lease ends.
    Other,
}

/// Decides which slots a VM takes and hands over.
#[derive(Debug, Default)]
pub struct Ownership {
    free_since: [Option<Now>; SLOTS as usize],
    misplaced_since: [Option<Now>; SLOTS as usize],
    paused_until: Now,
    next_handover: Now,
}

impl Ownership {
    /// Returns the slots that this VM takes now. `is_held` states whether this process holds a slot.
    pub fn to_take(
        &mut self,
        now: Now,
        own: &str,
        vms: &[&str],
        key: impl Fn(u8) -> SlotKey,
        is_held: impl Fn(u8) -> bool,
    ) -> Vec<u8> {
        let ranks = Ranks::new(own, vms);
        let mut slots = Vec::new();
        for (slot, free_since) in (0..SLOTS).zip(&mut self.free_since) {
            match key(slot) {
                SlotKey::Own if !is_held(slot) => slots.push(slot),
                SlotKey::Free if !is_held(slot) => {
                    let since = *free_since.get_or_insert(now);
                    let wait = RANK_WAIT * ranks.rank(slot);
                    if now >= since + wait {
                        slots.push(slot);
                    }
                    continue;
                }
                SlotKey::Free | SlotKey::Own | SlotKey::Other => {}
            }
            *free_since = None;
        }
        if now < self.paused_until { Vec::new() } else { slots }
    }

    /// Records that slots could not be taken.
    pub fn on_failure(&mut self, now: Now) {
        self.paused_until = now + RETRY_PAUSE;
    }

    /// Returns a slot that this VM hands over, since another VM has ranked first for a while.
    pub fn to_hand_over(
        &mut self,
        now: Now,
        own: &str,
        vms: &[&str],
        is_held: impl Fn(u8) -> bool,
    ) -> Option<u8> {
        let ranks = Ranks::new(own, vms);
        let mut misplaced = None;
        for (slot, since) in (0..SLOTS).zip(&mut self.misplaced_since) {
            if !is_held(slot) || ranks.rank(slot) == 0 {
                *since = None;
            } else if now >= *since.get_or_insert(now) + MISPLACED_TIME {
                misplaced = misplaced.or(Some(slot));
            }
        }
        let slot = misplaced.filter(|_| now >= self.next_handover)?;
        self.next_handover = now + HANDOVER_PERIOD;
        Some(slot)
    }
}

/// The order in which the VMs take slots: for each half of the slots those that belong to it, then the others.
///
/// A VM belongs to one half by the hash of its name, so that another VM that joins or leaves moves no slots but its own. If
/// all VMs belong to the same half, the one with the greatest hash belongs to the other one.
struct Ranks<'a> {
    own: &'a str,
    vms: &'a [&'a str],
    /// The VM that does not belong to the half of its hash.
    exception: Option<&'a str>,
}

impl<'a> Ranks<'a> {
    fn new(own: &'a str, vms: &'a [&'a str]) -> Self {
        let first_half = vms.iter().filter(|vm| is_of_first_half(vm)).count();
        let has_one_half = first_half == 0 || first_half == vms.len();
        let greatest = vms.iter().max_by_key(|vm| (rendezvous_hash(HALF_SEED, vm), **vm));
        let exception = greatest.filter(|_| has_one_half && vms.len() > 1).copied();
        Self { own, vms, exception }
    }

    /// Returns the number of VMs that rank before this one for a slot.
    fn rank(&self, slot: u8) -> u32 {
        let own = self.key(slot, self.own);
        let before = self.vms.iter().filter(|vm| self.key(slot, vm) > own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    fn key<'b>(&self, slot: u8, vm: &'b str) -> (bool, u64, &'b str) {
        let is_of_first_half = is_of_first_half(vm) != (self.exception == Some(vm));
        ((slot < HALF) == is_of_first_half, rendezvous_hash(slot, vm), vm)
    }
}

fn is_of_first_half(vm: &str) -> bool {
    rendezvous_hash(HALF_SEED, vm) & 1 == 0
}
