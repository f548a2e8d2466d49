//! Offered work of each workspace and level: measured at this VM, and estimated for the fleet from samples of other VMs.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use super::Key;

/// Time constant of the average that shows a sudden change.
const SHORT_AVERAGE: Duration = Duration::from_millis(250);
/// Time constant of the average that is used while there is none.
const LONG_AVERAGE: Duration = Duration::from_secs(1);
/// Standard deviations by which the short average must exceed the long one to replace it.
const CHANGE_DEVIATIONS: f64 = 2.0;
/// Age from which the digest of another VM is not used. Older ones hide a sudden change: with 1 s, 84 VMs needed 0.5 s
/// longer to limit a peak.
const SAMPLE_MAX_AGE: Duration = Duration::from_millis(500);
/// Weight of a request of mean size in the average size.
const SIZE_WEIGHT: f64 = 0.1;
/// Offered work below which a workspace is forgotten, in ms of engine work a second.
const OFFERED_MIN: f64 = 0.01;
/// Most entries of a digest, those with the most work. The VMs that hold the rest report it with their own.
pub const ENTRIES_MAX: usize = 24;

/// Estimated demand, in milliseconds of engine work a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Offered work.
    pub offered: f64,
    /// Standard deviation of the estimate.
    pub deviation: f64,
}

/// Averages of the offered work of one workspace and level, in milliseconds of engine work a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Averages {
    short: f64,
    long: f64,
    /// Work of a request, weighted by work, in milliseconds.
    size: f64,
}

/// Demand that one VM sees at one workspace and level, as it tells other VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// Workspace and level.
    pub key: Key,
    /// Offered work over 0.25 s, in milliseconds of engine work a second.
    pub short: f64,
    /// The same over 1.5 s.
    pub long: f64,
    /// Work of a request, weighted by work, in milliseconds.
    pub size: f64,
}

/// Demand at one VM.
#[derive(Debug, Default)]
pub struct Demand {
    own: BTreeMap<Key, Averages>,
    /// Work that arrived since the averages were updated.
    arrived: BTreeMap<Key, f64>,
    /// When they were updated; none before the first arrival.
    updated_at: Option<Now>,
    /// When the averages began.
    since: Now,
    samples: BTreeMap<VmId, (Now, Vec<Entry>)>,
}

impl Demand {
    /// Counts a request that arrived at this VM.
    pub fn record(&mut self, key: Key, work_ms: f64) {
        *self.arrived.entry(key).or_default() += work_ms;
        let size = &mut self.own.entry(key).or_default().size;
        // Weighted by work, since the large requests of a heavy-tailed distribution make most of its variation.
        let weight = (SIZE_WEIGHT * work_ms / size.max(0.1)).min(1.0);
        *size += (work_ms - *size) * weight;
    }

    /// Updates the averages of this VM.
    pub fn update(&mut self, now: Now) {
        let updated_at = self.updated_at.replace(now);
        let Some(updated_at) = updated_at else {
            self.since = now;
            self.arrived.clear();
            return;
        };
        let elapsed = now.saturating_sub(updated_at).as_secs_f64().max(0.001);
        let age = now.saturating_sub(self.since).as_secs_f64();
        let weight = |time: Duration| {
            // A VM that has just started averages over the time for which it has run.
            1.0 - (-elapsed / time.as_secs_f64().min(age.max(elapsed))).exp()
        };
        let (short, long) = (weight(SHORT_AVERAGE), weight(LONG_AVERAGE));
        let arrived = &mut self.arrived;
        self.own.retain(|key, averages| {
            let rate = arrived.remove(key).unwrap_or_default() / elapsed;
            averages.short += (rate - averages.short) * short;
            averages.long += (rate - averages.long) * long;
            averages.long > OFFERED_MIN || averages.short > OFFERED_MIN
        });
        self.samples.retain(|_, (at, _)| *at + SAMPLE_MAX_AGE > now);
    }

    /// Returns what this VM tells others, the most work first.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let entry = |(key, averages): (&Key, &Averages)| Entry {
            key: *key,
            short: averages.short,
            long: averages.long,
            size: averages.size,
        };
        let mut entries: Vec<_> = self.own.iter().map(entry).collect();
        entries.sort_by(|a, b| b.long.total_cmp(&a.long));
        entries.truncate(ENTRIES_MAX);
        entries
    }

    /// Stores what another VM tells. Entries that are no numbers are left out.
    pub fn apply(&mut self, now: Now, vm: &str, mut entries: Vec<Entry>) {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        entries.retain(|entry| [entry.short, entry.long, entry.size].into_iter().all(is_valid));
        entries.truncate(ENTRIES_MAX);
        self.samples.insert(vm.to_owned(), (now, entries));
    }

    /// Returns the VMs whose demand is known, with this one.
    #[must_use]
    pub fn sampled(&self) -> usize {
        self.samples.len() + 1
    }

    /// Estimates the demand of a fleet of so many VMs from this VM's and the samples of others.
    #[must_use]
    pub fn fleet(&self, vms: usize) -> BTreeMap<Key, Estimate> {
        let mut sums: BTreeMap<Key, Averages> = BTreeMap::new();
        let samples = self.samples.values().flat_map(|(_, entries)| entries);
        let samples = samples.map(|entry| {
            let Entry { key, short, long, size } = *entry;
            (key, Averages { short, long, size })
        });
        for (key, averages) in self.own.iter().map(|(key, own)| (*key, *own)).chain(samples) {
            let sum = sums.entry(key).or_default();
            sum.short += averages.short;
            sum.long += averages.long;
            sum.size = sum.size.max(averages.size);
        }
        let scale = as_f64(vms.max(self.sampled())) / as_f64(self.sampled());
        sums.into_iter().map(|(key, sum)| (key, sum.estimate(scale))).collect()
    }
}

impl Averages {
    fn estimate(&self, scale: f64) -> Estimate {
        // The variance of an average of a Poisson process of requests of one size; twice the time constant counts. With one
        // request more than was seen, few requests are not taken for certain.
        let deviation = |offered: f64, time: Duration| {
            let request = self.size / (2.0 * time.as_secs_f64());
            ((offered + request) * request).sqrt()
        };
        let short = deviation(self.long.max(self.short), SHORT_AVERAGE);
        let has_changed = (self.short - self.long).abs() > CHANGE_DEVIATIONS * short;
        let (offered, deviation) = if has_changed {
            (self.short, short)
        } else {
            (self.long, deviation(self.long, LONG_AVERAGE))
        };
        Estimate { offered: offered * scale, deviation: deviation * scale }
    }
}

#[expect(clippy::cast_precision_loss, reason = "there are far fewer than 2^52 VMs and workspaces")]
pub(super) fn as_f64(count: usize) -> f64 {
    count as f64
}
