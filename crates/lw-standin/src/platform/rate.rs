//! Bound on calls a second.

use std::time::{Duration, Instant};

/// Burst that a rate allows, as a time.
const BURST: Duration = Duration::from_millis(200);

/// A token bucket.
#[derive(Debug)]
pub(super) struct Rate {
    per_second: u32,
    /// Time up to which the calls so far have used the rate.
    used: Instant,
}

impl Rate {
    pub(super) fn new(per_second: u32, now: Instant) -> Self {
        Self { per_second, used: now }
    }

    /// Whether one more call is within the rate.
    pub(super) fn take(&mut self, now: Instant) -> bool {
        if self.per_second == 0 {
            return true;
        }
        if self.used > now + BURST {
            return false;
        }
        self.used = self.used.max(now) + Duration::from_secs(1) / self.per_second;
        true
    }
}
