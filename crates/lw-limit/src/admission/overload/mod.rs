//! Admission to the engines of one service under overload.
//!
//! Each VM estimates the demand of the fleet by workspace and level, and the work that the engines can do in time, from
//! their number and from the wait there. What exceeds it is refused: less urgent levels first, and within a level what
//! exceeds the fair share of its workspace. A VM applies the fraction that is admitted to its own requests, so that
//! decisions need no message; digests of other VMs make the estimate more precise.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

pub mod demand;
pub mod returns;
pub mod shares;

use demand::{Demand, Entry};
use returns::{Outlook, Returns};

/// Fraction of the target latency that requests may wait under overload. The rest is for their prefill, and for load
/// reports that are up to 200 ms old.
const TARGET_WAIT_FRACTION: f64 = 0.3;
/// Target latency that is assumed until a request names one.
const TARGET_LATENCY: Duration = Duration::from_millis(500);
/// Least target latency that counts, since one of 0 would never be exceeded again by the average.
const TARGET_LATENCY_MIN: Duration = Duration::from_millis(10);
/// Fraction of the target wait at which requests are refused.
const LIMIT_WAIT_FRACTION: f64 = 0.5;
/// Time within which a wait above the target is to return to it.
const RECOVERY_TIME: f64 = 0.5;
/// Time constant with which the estimated work of the engines is corrected, in seconds.
const CORRECTION_TIME: f64 = 1.0;
/// Part that a wait other than its target has in the correction. It removes what is left of the difference.
const ERROR_WEIGHT: f64 = 0.2;
/// Bound on the actual over the estimated demand in a sudden peak.
const SURGE_MAX: f64 = 4.0;
/// Weight of the newest growth of the wait in it.
const SURGE_WEIGHT: f64 = 0.5;
/// Growth of the wait that is assumed to be missing where requests are refused and nothing waits.
const IDLE_EXCESS: f64 = 0.5;
/// Time constant with which the correction is forgotten while there is room.
const FORGET_TIME: f64 = 30.0;
/// Bounds of the correction: estimates of the work of a request err by less.
const CORRECTION: std::ops::RangeInclusive<f64> = 0.2..=5.0;
/// Largest age of load reports over which the wait is extrapolated.
const REPORT_AGE_MAX: Duration = Duration::from_millis(300);
/// Time between two digests under pressure, a little less than two updates.
const DIGEST_PERIOD: Duration = Duration::from_millis(180);
/// Part of the capacity that is assumed to be left for returns at least.
const SPARE_MIN: f64 = 0.1;
/// Weight of a request in the average of the target latency.
const TARGET_WEIGHT: f64 = 0.02;

/// Urgency of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level {
    /// Priority of the workspace.
    pub workspace: u8,
    /// Priority of the route.
    pub route: u8,
}

/// Requests that are counted together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Level.
    pub level: Level,
}

impl Key {
    /// Returns the key of a workspace, empty for callers without one, and a level.
    #[must_use]
    pub fn new(workspace: &str, level: Level) -> Self {
        Self { workspace: name_hash(workspace), level }
    }
}

/// Load of the engines that a VM may use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    /// Usable engines.
    pub engines: u32,
    /// Their slots.
    pub slots: u32,
    /// Slots that are taken.
    pub taken: u32,
    /// Requests that wait for a slot or for another prefill.
    pub waiting: u32,
    /// Expected wait of the least urgent request, as the mean over the middle half of the engines.
    pub wait: Duration,
    /// Mean age of the load that engines reported.
    pub age: Duration,
}

impl Pressure {
    /// Whether less than half of the slots are taken and nothing waits, so that no request may be refused.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.waiting == 0 && self.taken * 2 < self.slots
    }
}

/// An arriving request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Hash of its id.
    pub id_hash: u64,
    /// Workspace and level.
    pub key: Key,
    /// Expected engine work, in milliseconds.
    pub work_ms: f64,
    /// Target latency.
    pub target_latency: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent to an engine.
    Admitted,
    /// It is refused, since its workspace and level have used their share of the capacity.
    Refused {
        /// When its caller may return.
        retry_after: Duration,
    },
}

/// What decided about a request, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Inputs {
    /// Load of the engines.
    pub pressure: Pressure,
    /// When it was recorded.
    pub recorded_at: Now,
    /// Estimated work of the fleet in engines that are busy all the time.
    pub capacity: f64,
    /// Estimated demand, in the same unit.
    pub offered: f64,
    /// Fraction of the requests of this workspace and level that are admitted.
    pub fraction: f64,
    /// VMs whose demand is known.
    pub sampled: usize,
}

/// Admission of one VM to the engines of one service.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::admission::overload::{Arrival, Decision, Key, Level, Overload, Pressure};
/// let mut overload = Overload::default();
/// overload.update(Duration::ZERO, Pressure { engines: 4, slots: 48, ..Pressure::default() }, 9);
/// let arrival = Arrival {
///     id_hash: 1,
///     key: Key::new("station", Level::default()),
///     work_ms: 40.0,
///     target_latency: Duration::from_millis(500),
///     time_left: Duration::from_secs(6),
/// };
/// assert_eq!(overload.decide(Duration::ZERO, &arrival), Decision::Admitted);
/// ```
#[derive(Debug)]
pub struct Overload {
    demand: Demand,
    pressure: Pressure,
    updated_at: Now,
    vms: usize,
    /// Actual over estimated work of the engines.
    correction: f64,
    /// Actual over estimated demand in a sudden peak, which the averages show later than the wait does.
    surge: f64,
    /// Average target latency of the requests, weighted towards the shortest.
    target_latency: Duration,
    /// Fractions that are admitted; all of the others.
    fractions: BTreeMap<Key, f64>,
    /// Offered work in engines that are busy all the time.
    offered: f64,
    /// Admitted work since the load was reported, on average, in the same unit.
    admitted: f64,
    /// Since when more is offered than the engines can do.
    overloaded_since: Option<Now>,
    returns: Returns,
    next_digest: Now,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            demand: Demand::default(),
            pressure: Pressure::default(),
            updated_at: Now::ZERO,
            vms: 1,
            correction: 1.0,
            surge: 1.0,
            target_latency: TARGET_LATENCY,
            fractions: BTreeMap::new(),
            offered: 0.0,
            admitted: 0.0,
            overloaded_since: None,
            returns: Returns::default(),
            next_digest: Now::ZERO,
        }
    }
}

impl Overload {
    /// Records the load of the engines and the number of VMs, and decides what is admitted until the next update.
    pub fn update(&mut self, now: Now, pressure: Pressure, vms: usize) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64().min(1.0);
        self.updated_at = now;
        self.vms = vms.max(1);
        let last_wait = std::mem::replace(&mut self.pressure, pressure).wait;
        self.demand.update(now);
        if pressure.engines == 0 {
            // Nothing is learned about the capacity while no engine is usable.
            self.fractions.clear();
            return;
        }
        if pressure.has_room() {
            self.correction += (1.0 - self.correction) * (elapsed / FORGET_TIME);
            self.overloaded_since = None;
            self.fractions.clear();
            self.admitted = 0.0;
            return;
        }
        let demand = self.demand.fleet(self.vms);
        self.offered = demand.values().map(|estimate| estimate.offered).sum::<f64>() / 1_000.0;
        let error = self.wait_error();
        self.correct(elapsed, last_wait, error);
        let is_limiting = !self.fractions.is_empty() || self.expected_wait() >= self.limit_wait();
        self.fractions.clear();
        if is_limiting {
            let capacity = self.capacity() * 1_000.0;
            let allowed = capacity / self.surge * (1.0 - error);
            self.fractions = shares::fractions(&demand, capacity, self.surge, allowed);
        }
        let admitted = demand.iter().map(|(key, work)| work.offered * self.fraction(*key));
        let admitted = admitted.sum::<f64>() / 1_000.0;
        let weight = 1.0 - (-elapsed / pressure.age.as_secs_f64().max(0.001)).exp();
        self.admitted += (admitted - self.admitted) * weight;
        self.overloaded_since =
            self.overloaded_since.or(Some(now)).filter(|_| !self.fractions.is_empty());
    }

    /// Admits or refuses a request, and counts it.
    pub fn decide(&mut self, now: Now, arrival: &Arrival) -> Decision {
        self.demand.record(arrival.key, arrival.work_ms);
        let target = arrival.target_latency.min(self.target_latency * 4).max(TARGET_LATENCY_MIN);
        self.target_latency = if target < self.target_latency {
            target
        } else {
            self.target_latency + target.saturating_sub(self.target_latency).mul_f64(TARGET_WEIGHT)
        };
        let is_admitted =
            self.pressure.has_room() || unit_interval(arrival.id_hash) < self.fraction(arrival.key);
        if is_admitted {
            return Decision::Admitted;
        }
        Decision::Refused { retry_after: self.retry_after(now, arrival) }
    }

    /// Returns the time after which a refused request may return.
    pub fn retry_after(&mut self, now: Now, arrival: &Arrival) -> Duration {
        let capacity = self.capacity();
        // An overload lasts as long again as it has lasted, on average over its duration.
        let lasting =
            self.overloaded_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let excess = self.pressure.wait.saturating_sub(self.target_wait());
        let spare = (capacity - self.offered).max(capacity * SPARE_MIN) * 1_000.0;
        let spare = spare / f64::from(u32::try_from(self.vms).unwrap_or(u32::MAX));
        let outlook = Outlook { room: lasting + excess, spare: spare.max(1.0) };
        self.returns.schedule(now, outlook, arrival.work_ms, arrival.time_left, arrival.id_hash)
    }

    /// Returns what decides about requests of a workspace and level.
    #[must_use]
    pub fn inputs(&self, key: Key) -> Inputs {
        Inputs {
            pressure: self.pressure,
            recorded_at: self.updated_at,
            capacity: self.capacity(),
            offered: self.offered,
            fraction: self.fraction(key),
            sampled: self.demand.sampled(),
        }
    }

    /// Returns what this VM tells others, if there is pressure and it is due.
    pub fn digest(&mut self, now: Now) -> Option<Vec<Entry>> {
        if self.pressure.has_room() || now < self.next_digest {
            return None;
        }
        self.next_digest = now + DIGEST_PERIOD;
        Some(self.demand.entries()).filter(|entries| !entries.is_empty())
    }

    /// Stores the digest of another VM.
    pub fn apply(&mut self, now: Now, vm: &str, entries: Vec<Entry>) {
        self.demand.apply(now, vm, entries);
    }

    /// Returns the estimated work of the engines, as a number of engines that are busy all the time.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.correction * f64::from(self.pressure.engines)
    }

    fn fraction(&self, key: Key) -> f64 {
        self.fractions.get(&key).copied().unwrap_or(1.0)
    }

    fn target_wait(&self) -> Duration {
        self.target_latency.mul_f64(TARGET_WAIT_FRACTION)
    }

    /// Corrects the estimated work of the engines: the wait should have changed as the admitted work exceeds it. A short
    /// wait says nothing about that, since it is also seen while the engines have room.
    fn correct(&mut self, elapsed: f64, last_wait: Duration, error: f64) {
        let wait = self.pressure.wait;
        let expected = self.admitted / self.capacity().max(0.001);
        let growth = (wait.as_secs_f64() - last_wait.as_secs_f64()) / elapsed.max(0.001);
        let surge = if wait >= self.target_wait() {
            ((1.0 + growth) / expected.max(0.1)).clamp(1.0, SURGE_MAX)
        } else {
            1.0
        };
        self.surge += (surge - self.surge) * SURGE_WEIGHT;
        let excess = if wait.min(last_wait) >= self.limit_wait() {
            (growth + 1.0 - expected).clamp(-1.0, 1.0) / self.surge + error * ERROR_WEIGHT
        } else if self.fractions.is_empty() {
            0.0
        } else {
            // Requests are refused although hardly any waits: the engines can do more.
            -IDLE_EXCESS
        };
        let change = (-excess * elapsed / CORRECTION_TIME).exp();
        self.correction = (self.correction * change).clamp(*CORRECTION.start(), *CORRECTION.end());
    }

    /// Returns the wait now: it has changed since the load was reported, as more or less was admitted than the engines
    /// can do.
    fn expected_wait(&self) -> Duration {
        let age = self.pressure.age.min(REPORT_AGE_MAX).as_secs_f64();
        let growth = self.admitted / self.capacity().max(0.001) - 1.0;
        let wait = self.pressure.wait.as_secs_f64() + age * growth;
        Duration::try_from_secs_f64(wait).unwrap_or_default()
    }

    /// Returns the wait from which on requests are refused.
    fn limit_wait(&self) -> Duration {
        self.target_wait().mul_f64(LIMIT_WAIT_FRACTION)
    }

    /// Returns by how much the wait differs from its target, relative to what can be corrected within [`RECOVERY_TIME`].
    fn wait_error(&self) -> f64 {
        let error = self.expected_wait().as_secs_f64() - self.target_wait().as_secs_f64();
        (error / RECOVERY_TIME).clamp(-0.3, 0.8)
    }
}

/// Returns the hash of the name of a workspace or a service, as digests name it.
///
/// ```
/// use lw_limit::admission::overload::name_hash;
/// assert_ne!(name_hash("station"), name_hash("desk"));
/// ```
#[must_use]
pub fn name_hash(name: &str) -> u32 {
    upper_half(xxh3_64(name.as_bytes()))
}

fn upper_half(hash: u64) -> u32 {
    u32::try_from(hash >> 32).unwrap_or_default()
}

/// Maps a hash to a number from 0 to less than 1.
fn unit_interval(hash: u64) -> f64 {
    f64::from(upper_half(hash)) / 4_294_967_296.0
}
