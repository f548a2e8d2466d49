//! Slots of ids, and the software version that each belongs to.

use lw_types::prelude::*;

use super::Capacities;

/// Number of slots, one for each value of the first byte of a hash. Versions with less than half a slot's share of the capacity begin no streams.
pub const SLOTS: usize = 256;

/// The software version that each slot belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The versions, in ascending order.
    versions: Vec<SoftwareVersion>,
    /// For each slot, the position of its version.
    slots: Vec<u8>,
}

impl Assignment {
    /// Returns an assignment in proportion to the capacities, or none if there is no capacity.
    #[must_use]
    pub fn new(capacities: &Capacities) -> Option<Self> {
        let (version, _) = capacities.iter().max_by_key(|(_, capacity)| **capacity)?;
        let all = Self { versions: vec![version.clone()], slots: vec![0; SLOTS] };
        Some(all.rebalanced(capacities))
    }

    /// Returns the assignment with these versions and the position of each slot's version, or none if it is no valid one.
    #[must_use]
    pub fn from_parts(versions: Vec<SoftwareVersion>, slots: Vec<u8>) -> Option<Self> {
        let is_valid = slots.len() == SLOTS
            && versions.is_sorted_by(|a, b| a < b)
            && slots.iter().all(|slot| usize::from(*slot) < versions.len());
        is_valid.then_some(Self { versions, slots })
    }

    /// Returns the versions, in ascending order.
    #[must_use]
    pub fn versions(&self) -> &[SoftwareVersion] {
        &self.versions
    }

    /// Returns the position in [`Assignment::versions`] of each slot's version.
    #[must_use]
    pub fn slots(&self) -> &[u8] {
        &self.slots
    }

    /// Returns the version that begins streams whose first request's id has this hash.
    #[must_use]
    pub fn version(&self, id_hash: u64) -> &str {
        let slot = usize::from(id_hash.to_be_bytes()[0]);
        &self.versions[usize::from(self.slots[slot])]
    }

    /// Returns the number of slots of each version, in the order of [`Assignment::versions`].
    fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.versions.len()];
        for slot in &self.slots {
            counts[usize::from(*slot)] += 1;
        }
        counts
    }

    /// Returns the number of slots of a version.
    #[must_use]
    pub fn count(&self, version: &str) -> usize {
        let position = self.versions.iter().position(|known| known == version);
        position.map_or(0, |position| self.counts()[position])
    }

    /// Returns an assignment in proportion to the capacities in which as few slots as possible belong to another version. It is
    /// this one if there is no capacity.
    ///
    /// ```
    /// use lw_place::software::{Assignment, Capacities};
    /// let old = Assignment::new(&Capacities::from([("v1".into(), 16)])).unwrap();
    /// let new = old.rebalanced(&Capacities::from([("v1".into(), 12), ("v2".into(), 4)]));
    /// assert_eq!((new.count("v1"), new.count("v2")), (192, 64));
    /// ```
    #[must_use]
    pub fn rebalanced(&self, capacities: &Capacities) -> Self {
        let targets = targets(capacities);
        if targets.is_empty() {
            return self.clone();
        }
        let mut left: Vec<usize> = targets.iter().map(|(_, target)| *target).collect();
        let position = |version: &str| targets.iter().position(|(known, _)| known == version);
        let mut slots: Vec<Option<u8>> = vec![None; SLOTS];
        for (slot, former) in slots.iter_mut().zip(&self.slots) {
            let Some(position) = position(&self.versions[usize::from(*former)]) else { continue };
            if left[position] > 0 {
                left[position] -= 1;
                *slot = u8::try_from(position).ok();
            }
        }
        let mut free = left.iter().enumerate().flat_map(|(n, left)| vec![n; *left]);
        let mut next = || free.next().and_then(|position| u8::try_from(position).ok());
        let slots = slots.into_iter().map(|slot| slot.or_else(&mut next).unwrap_or_default());
        let slots = slots.collect();
        Self { versions: targets.into_iter().map(|(version, _)| version).collect(), slots }
    }

    /// Returns by which factor the most loaded version has more slots than its part of the capacity: infinite if it has no
    /// capacity, or if another one should have slots and has none.
    ///
    /// ```
    /// use lw_place::software::{Assignment, Capacities};
    /// let both = Assignment::new(&Capacities::from([("v1".into(), 8), ("v2".into(), 8)])).unwrap();
    /// assert!((both.overload(&Capacities::from([("v1".into(), 12), ("v2".into(), 4)])) - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn overload(&self, capacities: &Capacities) -> f64 {
        let targets = targets(capacities);
        if targets.is_empty() {
            return 1.0;
        }
        if targets.iter().any(|(version, _)| self.count(version) == 0) {
            return f64::INFINITY;
        }
        let overload = |(version, count): (&SoftwareVersion, usize)| {
            let target = targets.iter().find(|(known, _)| known == version);
            target.map_or(f64::INFINITY, |(_, target)| as_f64(count) / as_f64(*target))
        };
        self.versions.iter().zip(self.counts()).map(overload).fold(1.0, f64::max)
    }

    /// Whether slots belong to a version without capacity, while another one has some.
    #[must_use]
    pub fn is_stranded(&self, capacities: &Capacities) -> bool {
        let has_capacity = |version: &SoftwareVersion| capacities.get(version).copied() > Some(0);
        capacities.values().any(|capacity| *capacity > 0) && !self.versions.iter().all(has_capacity)
    }
}

/// Returns the number of slots of each version that gets any, in ascending order of the versions.
fn targets(capacities: &Capacities) -> Vec<(SoftwareVersion, usize)> {
    let total: u64 = capacities.values().sum();
    if total == 0 {
        return Vec::new();
    }
    let slots = u64::try_from(SLOTS).unwrap_or(u64::MAX);
    // Slots, and what is left over, in parts of the total.
    let parts = |(version, capacity): (&SoftwareVersion, &u64)| {
        let product = u128::from(*capacity) * u128::from(slots);
        let (whole, rest) = (product / u128::from(total), product % u128::from(total));
        (version.clone(), usize::try_from(whole).unwrap_or(SLOTS), rest)
    };
    let mut parts: Vec<_> = capacities.iter().map(parts).collect();
    let missing = SLOTS - parts.iter().map(|(_, whole, _)| whole).sum::<usize>();
    let mut order: Vec<usize> = (0..parts.len()).collect();
    order.sort_by_key(|n| std::cmp::Reverse(parts[*n].2));
    for n in order.into_iter().take(missing) {
        parts[n].1 += 1;
    }
    parts.retain(|(_, slots, _)| *slots > 0);
    parts.into_iter().map(|(version, slots, _)| (version, slots)).collect()
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
