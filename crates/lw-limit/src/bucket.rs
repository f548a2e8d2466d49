//! A token bucket whose rate may change and which may go into debt for one large request.

use std::time::Duration;

use lw_types::prelude::*;

/// Time after a refusal in which a bucket counts as pressed.
const PRESSED_TIME: Duration = Duration::from_secs(1);
/// Least burst of a pressed bucket, relative to that of an idle one.
const PRESSED_BURSTS: f64 = 3.0;

/// A token bucket. Its level never exceeds `rate` times the burst time, or the least burst where that is more.
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
    filled_at: Now,
}

impl TokenBucket {
    /// A full bucket of `rate` units a second.
    #[must_use]
    pub fn new(now: Now, rate: f64, burst: Duration) -> Self {
        let burst_seconds = burst.as_secs_f64();
        Self {
            rate,
            burst_seconds,
            min_burst: 0.0,
            refused_at: None,
            level: rate * burst_seconds,
            filled_at: now,
        }
    }

    /// Allows a burst of at least `units`, and of three times as much for a second after a refusal.
    /// Chance gaps between arrivals then do not waste a low rate, while a bucket after idle time holds little.
    #[must_use]
    pub fn with_min_burst(mut self, units: f64) -> Self {
        self.min_burst = units;
        self
    }

    fn burst(&self, now: Now) -> f64 {
        let is_pressed = self.refused_at.is_some_and(|at| at + PRESSED_TIME > now);
        let least = if is_pressed { self.min_burst * PRESSED_BURSTS } else { self.min_burst };
        (self.rate * self.burst_seconds).max(least)
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
        self.level = self.level.min(self.burst(now));
    }

    /// Time until a request may be taken; zero means now.
    ///
    /// Any positive level admits a request, which may leave a debt of up to its size. Large requests are possible
    /// at all, and low rates are used up, because what arrives between two requests is not lost at a low burst.
    pub fn wait_time(&mut self, now: Now) -> Duration {
        self.fill(now);
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

    /// Takes `units`, whatever the level.
    pub fn consume(&mut self, units: f64) {
        self.level -= units;
    }

    /// Level as a part of the burst, at most 1.
    pub fn fill_ratio(&mut self, now: Now) -> f64 {
        self.fill(now);
        self.level / self.burst(now).max(f64::MIN_POSITIVE)
    }

    fn fill(&mut self, now: Now) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + self.rate * elapsed).min(self.burst(now));
    }
}
