//! What callers ask for, what runs, and the rule that limits it.

use std::time::Duration;

use lw_limit::quota::{Cap, Rule};
use lw_types::prelude::*;

/// Changes of a workspace's cap: when it was acknowledged; none for no cap.
#[derive(Debug, Clone, Default)]
pub struct CapHistory(pub Vec<(Now, Option<Cap>)>);

impl CapHistory {
    pub fn at(&self, now: Now) -> Option<Cap> {
        self.0.iter().rev().find(|(at, _)| *at <= now)?.1
    }

    /// Returns the most that may run in a window that begins at `start`; none if there is no bound. A lower cap binds
    /// `binding` after it was acknowledged.
    fn allowed(&self, rule: &Rule, start: Now, binding: Duration) -> Option<f64> {
        let end = start + rule.window;
        let (mut burst, mut units, mut at) = (0.0_f64, 0.0, start);
        while at < end {
            // The highest cap in force from `binding` before until now, up to the next change of that.
            let in_force = self.0.iter().enumerate().filter(|(index, (since, _))| {
                let until = self.0.get(index + 1).map_or(Duration::MAX, |(at, _)| *at + binding);
                *since <= at && at < until
            });
            let caps: Option<Vec<Cap>> = in_force.map(|(_, (_, cap))| *cap).collect();
            let caps = caps?;
            let changes = self.0.iter().flat_map(|(change, _)| [*change, *change + binding]);
            let next = changes.filter(|change| *change > at).min().unwrap_or(end).min(end);
            let rate = caps.iter().map(|cap| cap.rate).fold(0.0, f64::max);
            burst = caps.iter().map(|cap| cap.burst).fold(burst, f64::max);
            units += rate * next.saturating_sub(at).as_secs_f64();
            at = next;
        }
        Some((units + burst) * (1.0 + rule.overshoot) + rule.slack.unwrap_or(0.0))
    }

    /// Returns the first window in which more ran than is allowed: its start, what ran and what was allowed.
    pub fn excess(
        &self,
        rule: &Rule,
        binding: Duration,
        runs: &mut [(Now, u64)],
    ) -> Option<(Now, u64, f64)> {
        runs.sort_unstable();
        let (mut end, mut sum) = (0, 0);
        for (index, (start, cost)) in runs.iter().enumerate() {
            while runs.get(end).is_some_and(|(at, _)| *at < *start + rule.window) {
                sum += runs[end].1;
                end += 1;
            }
            if let Some(allowed) = self.allowed(rule, *start, binding)
                && units(sum) > allowed
            {
                return Some((*start, sum, allowed));
            }
            assert!(index < end);
            sum -= cost;
        }
        None
    }
}

pub fn units(cost: u64) -> f64 {
    f64::from(u32::try_from(cost).expect("a small cost"))
}

/// Lets through demand that stays under a fraction of a cap in any window.
#[derive(Debug)]
pub struct Shaper {
    level: f64,
    at: Now,
}

impl Shaper {
    pub fn new() -> Self {
        Self { level: 0.0, at: Now::ZERO }
    }

    pub fn admits(&mut self, now: Now, cap: Cap, cost: u64) -> bool {
        let refilled = now.saturating_sub(self.at).as_secs_f64() * cap.rate;
        (self.level, self.at) = ((self.level + refilled).min(cap.burst), now);
        let admits = self.level >= units(cost);
        if admits {
            self.level -= units(cost);
        }
        admits
    }
}
