//! A token bucket whose rate may change and which may go into debt for one large request.

use std::time::Duration;

use lw_types::prelude::*;

/// A token bucket. Its level never exceeds `rate` times the burst time.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::bucket::Bucket;
/// let mut bucket = Bucket::new(Duration::ZERO, 10.0, Duration::from_millis(100));
/// assert!(bucket.wait(Duration::ZERO, 1.0).is_zero());
/// bucket.take(1.0);
/// assert_eq!(bucket.wait(Duration::ZERO, 1.0), Duration::from_millis(100));
/// ```
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst_seconds: f64,
    level: f64,
    filled_at: Now,
}

impl Bucket {
    /// A full bucket of `rate` units a second.
    #[must_use]
    pub fn new(now: Now, rate: f64, burst: Duration) -> Self {
        let burst_seconds = burst.as_secs_f64();
        Self { rate, burst_seconds, level: rate * burst_seconds, filled_at: now }
    }

    /// Units a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate from `now` on. A level above the new burst is lost.
    pub fn set_rate(&mut self, now: Now, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(rate * self.burst_seconds);
    }

    /// Time until `units` may be taken; zero means now.
    ///
    /// Requests larger than the burst need a full bucket and leave a debt, so that they are possible at all.
    pub fn wait(&mut self, now: Now, units: f64) -> Duration {
        self.fill(now);
        let missing = units.min(self.rate * self.burst_seconds) - self.level;
        if self.rate <= 0.0 {
            return Duration::MAX;
        }
        // Rounding in the refill must not refuse a request that is exactly due.
        if missing <= self.rate * 1e-9 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    /// Takes `units`, whatever the level.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Level as a part of the burst, at most 1.
    pub fn fullness(&mut self, now: Now) -> f64 {
        self.fill(now);
        self.level / (self.rate * self.burst_seconds).max(f64::MIN_POSITIVE)
    }

    fn fill(&mut self, now: Now) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + self.rate * elapsed).min(self.rate * self.burst_seconds);
    }
}
