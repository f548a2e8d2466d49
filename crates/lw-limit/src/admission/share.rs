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

/// Tokens a second that the fleet takes, learnt while it is saturated.
#[derive(Debug, Default)]
pub struct Capacity {
    estimate: f64,
    /// Highest recent estimate; it decays slowly.
    peak: f64,
    last_wait: f64,
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
            return None;
        }
        let sample = admitted / (1.0 + growth).clamp(0.5, 3.0);
        self.estimate =
            if self.estimate > 0.0 { f64::midpoint(self.estimate, sample) } else { sample };
        // A decay of 2 % an interval forgets engines that are gone within half a minute.
        self.peak = (self.peak * 0.98).max(self.estimate);
        let error = (options.target_wait.as_secs_f64() - wait) / options.horizon.as_secs_f64();
        Some(self.estimate * (1.0 + error).clamp(0.3, 1.5))
    }

    /// Capacity that is divided even while a long wait is worked off. Demand below the share of it is never
    /// refused, although the estimate dips when reports lag.
    #[must_use]
    pub fn guaranteed(&self) -> f64 {
        self.peak * 0.9
    }
}
