//! Limit on calls per second.

use std::time::{Duration, Instant};

/// Burst that is allowed, as the time in which the rate allows as many calls.
const BURST: Duration = Duration::from_millis(200);

/// A rate limit, kept as a token bucket.
#[derive(Debug)]
pub(super) struct RateLimit {
    per_second: u32,
    /// Time up to which the calls so far have used up the rate.
    used_until: Instant,
}

impl RateLimit {
    pub(super) fn new(per_second: u32, now: Instant) -> Self {
        Self { per_second, used_until: now }
    }

    /// Returns whether a further call is within the rate, and counts it if so.
    pub(super) fn admit(&mut self, now: Instant) -> bool {
        if self.per_second == 0 {
            return true;
        }
        if self.used_until > now + BURST {
            return false;
        }
        self.used_until = self.used_until.max(now) + Duration::from_secs(1) / self.per_second;
        true
    }
}
