//! Estimate of the capacity and its max-min division by weight.

use super::{Options, Pressure};

/// Demand of one workspace.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Tokens a second.
    pub offered: f64,
    /// Weight of its share.
    pub weight: f64,
}

/// A demand with an integer weight.
///
/// ```
/// assert_eq!(lw_limit::admission::share::demand(10.0, 2).weight, 2.0);
/// ```
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "weights are far below 2^52")]
pub fn demand(offered: f64, weight: u64) -> Demand {
    Demand { offered, weight: weight as f64 }
}

/// The level at which `sum(min(offered, level * weight))` equals `allowed`, or `None` when all demand fits.
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
    let mut left = allowed;
    let mut weights: f64 = sorted.iter().map(|demand| demand.weight).sum();
    for demand in sorted {
        let level = left / weights;
        if demand.offered / demand.weight > level {
            return Some(level);
        }
        left -= demand.offered;
        weights -= demand.weight;
    }
    None
}

/// Decay of the highest estimate in an interval of 500 ms. Engines that are gone are forgotten in half a minute.
const DECAY: f64 = 0.98;

/// Decay of the highest estimate towards the present one in an interval under pressure.
const PEAK_DECAY: f64 = 0.9;
/// Growth of the admitted rate in an interval after the pressure ended.
const RELEASE: f64 = 1.1;
/// Admitted rate, relative to the highest recent estimate, from which nothing is limited any more.
const RELEASED: f64 = 2.0;

/// Tokens a second that the fleet takes, learnt while it is saturated.
#[derive(Debug, Default)]
pub struct Capacity {
    estimate: f64,
    /// Highest recent estimate; it decays slowly.
    peak: f64,
    last_wait: f64,
    /// Samples of this peak.
    samples: u32,
}

impl Capacity {
    /// Takes the admitted rate of one interval. Returns the rate to admit next, or `None` without pressure.
    ///
    /// The wait grows by (admitted / capacity - 1) seconds a second, which gives the capacity. What is admitted
    /// next makes up for the difference between the wait and its target within the horizon.
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
            // Engines that keep up with the load take at least that much.
            self.peak = (self.peak * DECAY).max(admitted);
            // Requests refused at the peak come back together with the load after it. The limit therefore ends
            // step by step.
            self.estimate *= RELEASE;
            if self.estimate > self.peak * RELEASED {
                self.estimate = 0.0;
            }
            return (self.estimate > 0.0).then_some(self.estimate);
        }
        let sample = admitted / (1.0 + growth).clamp(0.5, 3.0);
        self.samples = if self.estimate > 0.0 { self.samples.saturating_add(1) } else { 1 };
        // The first sample covers little of the peak, so it neither counts below what the engines took before nor
        // enters the second one.
        self.estimate = match self.samples {
            1 => sample.max(self.peak),
            2 => sample,
            _ => f64::midpoint(self.estimate, sample),
        };
        self.peak = self.estimate + (self.peak - self.estimate).max(0.0) * PEAK_DECAY;
        // Reports and digests lag by about an interval, in which the wait goes on growing.
        let expected = wait + growth * options.digest_interval.as_secs_f64();
        let error =
            (options.target_wait.as_secs_f64() - expected) / options.recovery_time.as_secs_f64();
        Some(self.estimate * (1.0 + error).clamp(0.3, 1.5))
    }

    /// Capacity that is divided even while a long wait is worked off. Demand below the share of it is never
    /// refused, although the estimate dips when reports lag.
    #[must_use]
    pub fn guaranteed(&self) -> f64 {
        self.peak * 0.9
    }
}
