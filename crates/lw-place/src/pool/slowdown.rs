//! Engines that are slow for a few hundred milliseconds, since they share their machines with others.

use std::time::Duration;

use lw_types::prelude::*;

use super::upstream_state::as_f64;

/// Time that work takes at an engine without slowdown.
const NORMAL_PERCENT: u32 = 100;
/// Time that work takes, in percent of the normal time, from which an engine counts as slow.
const SLOW_PERCENT: u32 = 130;
/// Time after which half of the slow engines have recovered.
const SLOW_HALF_LIFE_MS: f64 = 200.0;
/// Mean time for which an engine stays slow, derived from the half-life.
const SLOW_MEAN_MS: f64 = SLOW_HALF_LIFE_MS / std::f64::consts::LN_2;
/// Shortest time between two reports to other VMs that an engine is slow.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Age from which other VMs treat a slow engine as recovered without a further report.
const REPORT_MAX_AGE: Duration = Duration::from_millis(400);

/// The last report of an engine about how slow it is.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Slowdown {
    /// When it was received, and the time that work takes in percent of the normal time.
    reported: Option<(Now, u32)>,
    /// When the last report of a slowdown was received.
    slow_at: Option<Now>,
}

impl Slowdown {
    /// Records a report. Returns whether it should be sent to VMs that have received the same reports so far.
    pub fn update(&mut self, now: Now, percent: u32) -> bool {
        if percent >= SLOW_PERCENT {
            self.slow_at = Some(now);
        }
        let before = self.reported.replace((now, percent));
        let before = before.map(|(at, percent)| (now.saturating_sub(at), percent >= SLOW_PERCENT));
        if percent >= SLOW_PERCENT {
            before.is_none_or(|(age, was_slow)| !was_slow || age > REPORT_INTERVAL)
        } else {
            before.is_some_and(|(age, was_slow)| was_slow && age < REPORT_MAX_AGE)
        }
    }

    /// Whether no slowdown was reported since a time.
    pub fn is_clear_since(self, time: Now) -> bool {
        self.slow_at.is_none_or(|at| at < time)
    }

    /// Returns the milliseconds by which work of `work_ms` is expected to exceed its normal time.
    pub fn delay_ms(self, now: Now, work_ms: f64) -> f64 {
        let Some((at, percent)) = self.reported.filter(|(_, p)| *p >= SLOW_PERCENT) else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64() * 1000.0;
        let still_slow_probability = (-age / SLOW_MEAN_MS).exp();
        let factor = as_f64(u64::from(percent)) / f64::from(NORMAL_PERCENT);
        still_slow_probability * (factor - 1.0) * work_ms.min(SLOW_MEAN_MS / factor)
    }
}
