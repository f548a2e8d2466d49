//! Estimate of the capacity and its weighted max-min fair division.

use super::{Options, Pressure};

/// Demand of one workspace.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Offered tokens per second.
    pub offered: f64,
    /// Weight of the share of the workspace.
    pub weight: f64,
}

/// Creates a demand with an integer weight.
///
/// ```
/// assert_eq!(lw_limit::admission::share::demand(10.0, 2).weight, 2.0);
/// ```
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "weights are far below 2^52")]
pub fn demand(offered: f64, weight: u64) -> Demand {
    Demand { offered, weight: weight as f64 }
}

/// Returns the level at which `sum(min(offered, level * weight))` equals `allowed`, or `None` when all demand fits.
///
/// ```
/// use lw_limit::admission::share::{demand, level};
/// let demands = [demand(10.0, 1), demand(100.0, 1), demand(100.0, 2)];
/// assert_eq!(level(&demands, 100.0), Some(30.0));
/// assert_eq!(level(&demands, 300.0), None);
/// ```
#[must_use]
pub fn level(demands: &[Demand], allowed: f64) -> Option<f64> {
    let mut sorted: Vec<_> = demands.iter().filter(|demand| demand.weight > 0.0).collect();
    sorted.sort_by(|a, b| (a.offered / a.weight).total_cmp(&(b.offered / b.weight)));
    let mut remaining = allowed;
    let mut remaining_weight: f64 = sorted.iter().map(|demand| demand.weight).sum();
    for demand in sorted {
        let level = remaining / remaining_weight;
        if demand.offered / demand.weight > level {
            return Some(level);
        }
        remaining -= demand.offered;
        remaining_weight -= demand.weight;
    }
    None
}

/// Decay factor of the highest estimate for each interval of 500 ms without overload. The capacity of removed engines
/// leaves the estimate within half a minute.
const IDLE_DECAY: f64 = 0.98;

/// Decay factor of the difference between the highest and the current estimate for each interval under overload.
const OVERLOAD_DECAY: f64 = 0.9;
/// Growth factor of the admitted rate for each interval after overload has ended.
const LIMIT_GROWTH: f64 = 1.1;
/// Admitted rate above which the limit is removed, relative to the highest recent estimate.
const LIMIT_REMOVAL_RATIO: f64 = 2.0;

/// Estimate of the tokens per second that the fleet can process, measured while it is saturated.
#[derive(Debug, Default)]
pub struct Capacity {
    estimate: f64,
    /// Highest recent estimate; it decays slowly.
    highest_estimate: f64,
    last_wait: f64,
    /// Number of samples since the start of this overload.
    samples: u32,
}

impl Capacity {
    /// Updates the estimate with the admitted rate of one interval. Returns the rate to admit next in tokens per
    /// second, or `None` without overload.
    ///
    /// The wait grows by (admitted / capacity - 1) seconds per second, from which the capacity follows. The rate to
    /// admit next is set so that the wait reaches its target within `recovery_time`.
    pub fn update(
        &mut self,
        elapsed: f64,
        admitted: f64,
        pressure: Pressure,
        options: &Options,
    ) -> Option<f64> {
        let wait = pressure.expected_wait.as_secs_f64();
        let growth = (wait - self.last_wait) / elapsed;
        self.last_wait = wait;
        if !pressure.is_saturated {
            // The capacity is at least the load that is processed without saturation.
            self.highest_estimate = (self.highest_estimate * IDLE_DECAY).max(admitted);
            // Requests refused during the load peak are retried in addition to the load after it, so the limit is
            // raised gradually.
            self.estimate *= LIMIT_GROWTH;
            if self.estimate > self.highest_estimate * LIMIT_REMOVAL_RATIO {
                self.estimate = 0.0;
            }
            return (self.estimate > 0.0).then_some(self.estimate);
        }
        let sample = admitted / (1.0 + growth).clamp(0.5, 3.0);
        self.samples = if self.estimate > 0.0 { self.samples.saturating_add(1) } else { 1 };
        // The first sample covers only the beginning of the overload, so it may not lower the estimate below the
        // load processed before, and the second sample replaces it.
        self.estimate = match self.samples {
            1 => sample.max(self.highest_estimate),
            2 => sample,
            _ => f64::midpoint(self.estimate, sample),
        };
        self.highest_estimate =
            self.estimate + (self.highest_estimate - self.estimate).max(0.0) * OVERLOAD_DECAY;
        // Reports and digests are about one interval old, during which the wait has grown further.
        let expected = wait + growth * options.digest_interval.as_secs_f64();
        let error =
            (options.target_wait.as_secs_f64() - expected) / options.recovery_time.as_secs_f64();
        Some(self.estimate * (1.0 + error).clamp(0.3, 1.5))
    }

    /// Returns the capacity in tokens per second that is divided even while a long wait is being reduced. Demand below
    /// the share of it is never refused, even when delayed reports lower the estimate temporarily.
    #[must_use]
    pub fn guaranteed_rate(&self) -> f64 {
        self.highest_estimate * 0.9
    }
}
