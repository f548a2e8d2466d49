//! The rule for engines that name a limit: how many calls they may get from all VMs together.

use std::time::Duration;

/// Window in which calls are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Ratio of the calls that are allowed to those that the limit names.
const TOLERANCE: f64 = 1.5;
/// Calls that are allowed in addition in each window.
const ALLOWANCE: f64 = 5.0;

/// The limits that an engine named, and when.
#[derive(Debug, Clone, Default)]
pub struct LimitHistory {
    /// Start of each limit, in calls a second; none means that the engine names no limit from then on.
    changes: Vec<(Duration, Option<f64>)>,
}

/// A window in which an engine got too many calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Excess {
    /// End of the window.
    pub at: Duration,
    /// Calls in the window.
    pub calls: usize,
    /// Calls that are allowed in it.
    pub allowed: f64,
}

impl LimitHistory {
    /// Records that the engine names this limit from `at` on, which is not before the last change.
    pub fn set(&mut self, at: Duration, limit: Option<f64>) {
        self.changes.push((at, limit));
    }

    /// Returns the calls that the limits allow between two times; none if no limit was in force for some of that time. A
    /// limit is in force from `settle` after it was named; until then a higher one before it is.
    #[must_use]
    pub fn allowed(&self, from: Duration, to: Duration, settle: Duration) -> Option<f64> {
        let mut times: Vec<Duration> = self
            .changes
            .iter()
            .flat_map(|(at, _)| [*at, *at + settle])
            .chain([from, to])
            .filter(|at| (from..=to).contains(at))
            .collect();
        times.sort_unstable();
        times.windows(2).try_fold(0.0, |sum, span| {
            Some(
                sum + self.limit_at(span[0], settle)?
                    * span[1].saturating_sub(span[0]).as_secs_f64(),
            )
        })
    }

    /// Returns the limit that is in force at a time: the highest of the last `settle`.
    fn limit_at(&self, at: Duration, settle: Duration) -> Option<f64> {
        let since = at.checked_sub(settle)?;
        let first =
            self.changes.partition_point(|(changed, _)| *changed <= since).checked_sub(1)?;
        let recent = self.changes[first..].iter().take_while(|(changed, _)| *changed <= at);
        recent.map(|(_, limit)| *limit).try_fold(0.0, |highest, limit| Some(limit?.max(highest)))
    }

    /// Returns the first window in which more calls arrived than one and a half times what the limits allow, and five.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_standin::hosted::limit::LimitHistory;
    ///
    /// let mut history = LimitHistory::default();
    /// history.set(Duration::ZERO, Some(2.0));
    /// let settle = Duration::from_secs(1);
    /// let calls_each = |gap| (0..100).map(move |n| Duration::from_millis(gap) * n).collect::<Vec<_>>();
    /// assert!(history.first_excess(&calls_each(300), settle).is_none());
    /// assert!(history.first_excess(&calls_each(200), settle).is_some());
    /// ```
    #[must_use]
    pub fn first_excess(&self, arrivals: &[Duration], settle: Duration) -> Option<Excess> {
        let mut arrivals = arrivals.to_vec();
        arrivals.sort_unstable();
        arrivals.iter().enumerate().find_map(|(last, at)| {
            let from = at.checked_sub(WINDOW)?;
            let allowed = TOLERANCE * self.allowed(from, *at, settle)? + ALLOWANCE;
            let first = arrivals.partition_point(|arrival| *arrival <= from);
            let calls = last + 1 - first;
            (as_f64(calls) > allowed).then_some(Excess { at: *at, calls, allowed })
        })
    }

    /// Returns the fraction of the limits that was used, from one time to another; none where no limit was in force.
    #[must_use]
    pub fn used(
        &self,
        arrivals: &[Duration],
        from: Duration,
        to: Duration,
        settle: Duration,
    ) -> Option<f64> {
        let allowed = self.allowed(from, to, settle)?;
        let calls = arrivals.iter().filter(|at| (from..to).contains(*at)).count();
        Some(as_f64(calls) / allowed)
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
