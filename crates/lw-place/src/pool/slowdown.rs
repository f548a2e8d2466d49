//! Engines that work slowly for a moment, since they share their machines with others.

use std::time::Duration;

use lw_types::prelude::*;

use super::upstream_state::as_f64;

/// Pace of an engine that works as usual, in percent.
const USUAL_PERCENT: u32 = 100;
/// Pace from which on an engine counts as slow, in percent.
const SLOW_PERCENT: u32 = 130;
/// Time after which half of the engines that were slow are as usual again. Measured over 15,000 answers on played days:
/// 89 % are still slow after 35 ms, 62 % after 150 ms, 33 % after 300 ms.
const HALF_LIFE_MS: f64 = 200.0;
/// Mean time for which an engine stays slow, in milliseconds. It follows from the half-life.
const SLOW_TIME_MS: f64 = HALF_LIFE_MS / std::f64::consts::LN_2;
/// Age up to which the last statement stands for the present, so that it is not announced again.
const FRESH: Duration = Duration::from_millis(100);
/// Age from which on a slow engine counts as usual without a statement.
const OLD: Duration = Duration::from_millis(400);

/// What an engine said last about its pace.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Slowdown {
    stated: Option<(Now, u32)>,
}

impl Slowdown {
    /// Takes a statement. Returns whether it is news for VMs that know what this one knew.
    pub fn update(&mut self, now: Now, percent: u32) -> bool {
        let before = self.stated.replace((now, percent));
        let before = before.map(|(at, percent)| (now.saturating_sub(at), percent >= SLOW_PERCENT));
        if percent >= SLOW_PERCENT {
            before.is_none_or(|(age, was_slow)| !was_slow || age > FRESH)
        } else {
            before.is_some_and(|(age, was_slow)| was_slow && age < OLD)
        }
    }

    /// Milliseconds by which work of `work_ms` is expected to take longer than usual.
    pub fn delay_ms(self, now: Now, work_ms: f64) -> f64 {
        let Some((at, percent)) = self.stated.filter(|(_, p)| *p >= SLOW_PERCENT) else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64() * 1000.0;
        let is_still_slow = (-age / SLOW_TIME_MS).exp();
        let factor = as_f64(u64::from(percent)) / f64::from(USUAL_PERCENT);
        is_still_slow * (factor - 1.0) * work_ms.min(SLOW_TIME_MS / factor)
    }
}
