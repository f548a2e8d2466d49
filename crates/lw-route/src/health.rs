//! Slowness of an engine from own timings.

use std::time::Duration;

use lw_types::prelude::*;

/// Weight of one new timing in the moving average.
const TIMING_WEIGHT: f64 = 0.3;
/// Slowness estimates lose half of their distance from 1 in this time without a timing, so a recovered
/// engine gets work again.
const FORGET: Duration = Duration::from_secs(2);

/// Moving average of measured against expected time to first token.
#[derive(Debug)]
pub struct Health {
    ratio: f64,
    at: Now,
}

impl Default for Health {
    fn default() -> Self {
        Self { ratio: 1.0, at: Duration::ZERO }
    }
}

impl Health {
    /// Records the time to first token of one request.
    pub fn timing(&mut self, now: Now, measured: Duration, expected: Duration) {
        let ratio = measured.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.ratio = self.slowness(now) * (1.0 - TIMING_WEIGHT) + ratio.min(20.0) * TIMING_WEIGHT;
        self.at = now;
    }

    /// Measured against expected time; 1 for an engine as fast as expected.
    #[must_use]
    pub fn slowness(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64() / FORGET.as_secs_f64();
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(age)
    }
}
