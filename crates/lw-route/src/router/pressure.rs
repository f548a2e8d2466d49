//! How much work waits at the engines of a role.

use std::time::Duration;

use lw_types::prelude::*;

use super::Router;

/// An engine with a longer wait than this counts as one with work waiting. It is half of the wait that admission holds
/// under pressure. With 100 ms, two engines with an idle queue and six callers counted as saturated.
const WAITING: Duration = Duration::from_millis(250);

/// The wait at the engines of one role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Whether all usable engines have work waiting.
    pub is_saturated: bool,
    /// Mean wait for an engine.
    pub wait: Duration,
}

impl Router {
    /// The wait that a request of [`Class::Standard`] meets now at the engines of `role`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let router = lw_route::Router::new(lw_route::Options::default());
    /// assert!(!router.pressure(Duration::ZERO, "assistant").is_saturated);
    /// ```
    #[must_use]
    pub fn pressure(&self, now: Now, role: &str) -> Pressure {
        let usable = self.engines.iter().filter(|s| s.engine.role == role && !s.is_leaving());
        let (mut sum, mut count, mut waiting) = (Duration::ZERO, 0, 0);
        for state in usable {
            let rate = state.rate;
            let wait = Duration::from_secs_f64(state.load.ahead(now, Class::Standard, rate) / rate);
            sum += wait;
            count += 1;
            waiting += u32::from(wait > WAITING);
        }
        if count == 0 {
            return Pressure::default();
        }
        Pressure { is_saturated: waiting == count, wait: sum / count }
    }
}
