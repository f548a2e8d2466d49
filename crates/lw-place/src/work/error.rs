//! The error of the estimates: quantiles of the actual time over the expected one.

/// Step of a quantile for one sample, in logarithms.
const STEP: f64 = 0.02;
/// Bound of the logarithm of an error.
const LOG_MAX: f64 = 4.0;

/// The median and the 95th percentile of actual over expected times, of the last few hundred requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EstimateErrors {
    p50_log: f64,
    p95_log: f64,
    samples: u64,
}

impl EstimateErrors {
    /// Records a request that was expected to take `expected_ms` and took `actual_ms`.
    pub fn observe(&mut self, expected_ms: f64, actual_ms: f64) {
        let log = (actual_ms.max(1.0) / expected_ms.max(1.0)).ln();
        if !log.is_finite() {
            return;
        }
        self.samples += 1;
        for (quantile, value) in [(0.5, &mut self.p50_log), (0.95, &mut self.p95_log)] {
            let step = if log > *value { quantile } else { quantile - 1.0 };
            *value = (*value + STEP * step).clamp(-LOG_MAX, LOG_MAX);
        }
    }

    /// Returns the median and the 95th percentile, or none without samples.
    pub fn quantiles(&self) -> Option<(f64, f64)> {
        (self.samples > 0).then(|| (self.p50_log.exp(), self.p95_log.exp()))
    }
}
