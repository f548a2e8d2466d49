//! Schedule of the requests that were told to return.
//!
//! A caller returns at another VM under a new id, so returns are not recognized. Each VM books the work of those that it
//! told to return, and tells the next ones a time at which the earlier ones have been served.

use std::time::Duration;

use lw_types::prelude::*;

/// Shortest time until a return.
const RETURN_MIN: Duration = Duration::from_millis(100);
/// Longest time that is told, without the spread.
const RETURN_MAX: Duration = Duration::from_secs(30);
/// Spread of the returns, relative to their time.
const SPREAD: f64 = 0.4;
/// Fraction of its time left for which a caller waits before it returns.
const RETURN_FRACTION: f64 = 1.0 / 3.0;

/// Requests that this VM told to return.
#[derive(Debug, Default)]
pub struct Returns {
    booked_ms: f64,
    updated_at: Now,
}

/// What a time to return is computed from.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    /// Time until there is room, if no request returns.
    pub room: Duration,
    /// Work of returns that the fleet can do beside new requests, as the part of this VM, in milliseconds a second.
    pub spare: f64,
}

impl Returns {
    /// Returns the time after which a refused request of this work may return, and books it if its caller will.
    pub fn schedule(
        &mut self,
        now: Now,
        outlook: Outlook,
        work_ms: f64,
        time_left: Duration,
        id_hash: u64,
    ) -> Duration {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.booked_ms = (self.booked_ms - outlook.spare * elapsed).max(0.0);
        let queue = Duration::try_from_secs_f64(self.booked_ms / outlook.spare);
        let wait = outlook.room.saturating_add(queue.unwrap_or(RETURN_MAX));
        let spread = f64::from(u16::try_from(id_hash % 1_000).unwrap_or_default()) / 1_000.0;
        let wait = wait.clamp(RETURN_MIN, RETURN_MAX).mul_f64(1.0 + SPREAD * spread);
        if wait <= time_left.mul_f64(RETURN_FRACTION) {
            self.booked_ms += work_ms;
        }
        wait
    }
}
