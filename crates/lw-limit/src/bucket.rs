//! A token bucket with an adjustable rate, whose level may become negative after one large request.

use std::time::Duration;

use lw_types::prelude::*;

/// Time after a refusal during which the larger minimum burst applies.
const REFUSAL_BURST_PERIOD: Duration = Duration::from_secs(1);
/// Minimum burst after a refusal, relative to that of an idle bucket.
const REFUSAL_BURST_FACTOR: f64 = 3.0;

/// A token bucket. Its level never exceeds `rate` times the burst time, or the minimum burst where that is more.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::bucket::TokenBucket;
/// let mut bucket = TokenBucket::new(Duration::ZERO, 10.0, Duration::from_millis(100));
/// assert!(bucket.wait_time(Duration::ZERO).is_zero());
/// bucket.consume(3.0);
/// assert_eq!(bucket.wait_time(Duration::ZERO), Duration::from_millis(200));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst_seconds: f64,
    min_burst: f64,
    refused_at: Option<Now>,
    level: f64,
    refilled_at: Now,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` units per second and holds `burst` of that rate.
    #[must_use]
    pub fn new(now: Now, rate: f64, burst: Duration) -> Self {
        let burst_seconds = burst.as_secs_f64();
        Self {
            rate,
            burst_seconds,
            min_burst: 0.0,
            refused_at: None,
            level: rate * burst_seconds,
            refilled_at: now,
        }
    }

    /// Allows a burst of at least `units`, and three times as much for one second after a refusal.
    /// A low rate is then used fully despite random gaps between arrivals, while an idle bucket holds little.
    #[must_use]
    pub fn with_min_burst(mut self, units: f64) -> Self {
        self.min_burst = units;
        self
    }

    fn burst(&self, now: Now) -> f64 {
        let is_recently_refused = self.refused_at.is_some_and(|at| at + REFUSAL_BURST_PERIOD > now);
        let min_burst = if is_recently_refused {
            self.min_burst * REFUSAL_BURST_FACTOR
        } else {
            self.min_burst
        };
        (self.rate * self.burst_seconds).max(min_burst)
    }

    /// Returns the refill rate in units per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate from `now` on. Units above the new burst are discarded.
    pub fn set_rate(&mut self, now: Now, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.burst(now));
    }

    /// Returns the time until a request may be admitted; zero means now.
    ///
    /// Any positive level admits a request, after which the level may be negative by up to the size of the request.
    /// This admits requests larger than the burst, and uses low rates fully, since a small burst does not discard
    /// the units that accrue between two requests.
    pub fn wait_time(&mut self, now: Now) -> Duration {
        self.refill(now);
        if self.rate <= 0.0 {
            return Duration::MAX;
        }
        if self.level > 0.0 {
            return Duration::ZERO;
        }
        self.refused_at = Some(now);
        let wait = Duration::try_from_secs_f64(-self.level / self.rate).unwrap_or(Duration::MAX);
        wait.max(Duration::from_millis(1))
    }

    /// Removes `units` at any level, even if it becomes negative.
    pub fn consume(&mut self, units: f64) {
        self.level -= units;
    }

    /// Returns the level as a fraction of the burst, at most 1.
    pub fn fill_ratio(&mut self, now: Now) -> f64 {
        self.refill(now);
        self.level / self.burst(now).max(f64::MIN_POSITIVE)
    }

    fn refill(&mut self, now: Now) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + self.rate * elapsed).min(self.burst(now));
    }
}
