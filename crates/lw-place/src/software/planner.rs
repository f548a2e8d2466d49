//! Decides when the slots of a service are assigned to other software versions, and when former assignments are dropped.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lw_types::prelude::*;

use super::{Assignment, Capacities, History};

/// Factor by which a version may have more slots than its part of the capacity. Each change of a slot makes the origin of its
/// streams ambiguous for a while.
const OVERLOAD_MAX: f64 = 1.2;
/// Time between two changes for a better balance. A release replaces engines one after the other.
const REBALANCE_PERIOD: Duration = Duration::from_millis(500);

/// What a VM knows when it decides about the history of a service.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// The time.
    pub now: Now,
    /// The history in the store.
    pub stored: Option<&'a History>,
    /// Era of the store.
    pub era: Era,
    /// The ready engines of each version.
    pub capacities: &'a Capacities,
    /// Time for which streams may go on that began under a former assignment. It includes the time for which VMs may not know
    /// that another one is in force.
    pub retention: Duration,
}

/// What one VM has observed of the history of a service.
#[derive(Debug, Default)]
pub struct Planner {
    /// When each former assignment was first seen.
    seen: BTreeMap<u64, Now>,
    /// Number of the next former assignment, and since when it has been so.
    changed: Option<(u64, Now)>,
    /// The latest history.
    latest: Option<History>,
}

impl Planner {
    /// Returns the history that should replace the one in the store, if any should.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_place::software::{Capacities, Planner, PlannerInput};
    /// let capacities = Capacities::from([("v1".into(), 16)]);
    /// let (now, retention) = (Duration::ZERO, Duration::from_secs(12));
    /// let input = PlannerInput { now, stored: None, era: 1, capacities: &capacities, retention };
    /// let mut planner = Planner::default();
    /// let first = planner.next(&input).unwrap();
    /// assert_eq!(planner.next(&PlannerInput { stored: Some(&first), ..input }), None);
    /// ```
    pub fn next(&mut self, input: &PlannerInput<'_>) -> Option<History> {
        self.observe(input);
        let PlannerInput { stored, era, capacities, .. } = *input;
        let Some(stored) = stored.filter(|stored| stored.era == era) else {
            // The store has none, or the one of an older copy.
            let base = self.latest.as_ref().or(stored);
            let Some(base) = base else {
                return Some(History::new(era, Assignment::new(capacities)?));
            };
            return Some(base.continued_in(era, base.current.rebalanced(capacities)));
        };
        let expired = self.expired(input);
        let kept = if expired.is_empty() { None } else { Some(stored.without(&expired)) };
        if self.is_change_due(input, stored) {
            let base = kept.as_ref().unwrap_or(stored);
            return Some(base.followed_by(stored.current.rebalanced(capacities)));
        }
        kept
    }

    /// Returns when [`Planner::next`] may next return something else although only the time has changed.
    #[must_use]
    pub fn next_due(&self, now: Now, retention: Duration) -> Option<Now> {
        let expiries = self.seen.values().map(|seen| *seen + retention);
        let rebalance = self.changed.map(|(_, at)| at + REBALANCE_PERIOD);
        expiries.chain(rebalance).filter(|due| *due > now).min()
    }

    fn observe(&mut self, input: &PlannerInput<'_>) {
        let Some(stored) = input.stored.filter(|stored| stored.era == input.era) else { return };
        // The store may have lost numbers of the former era, which are given out again.
        if self.latest.as_ref().is_some_and(|latest| latest.era != stored.era) {
            self.seen.clear();
            self.changed = None;
        }
        let numbers: BTreeSet<u64> = stored.former.iter().map(|former| former.number).collect();
        self.seen.retain(|number, _| numbers.contains(number));
        for number in numbers {
            self.seen.entry(number).or_insert(input.now);
        }
        if self.changed.is_none_or(|(number, _)| number != stored.next_number) {
            self.changed = Some((stored.next_number, input.now));
        }
        if self.latest.as_ref() != Some(stored) {
            self.latest = Some(stored.clone());
        }
    }

    fn expired(&self, input: &PlannerInput<'_>) -> BTreeSet<u64> {
        let is_expired = |seen: Now| input.now.saturating_sub(seen) >= input.retention;
        self.seen.iter().filter(|(_, seen)| is_expired(**seen)).map(|(number, _)| *number).collect()
    }

    fn is_change_due(&self, input: &PlannerInput<'_>, stored: &History) -> bool {
        let current = &stored.current;
        let is_settled =
            self.changed.is_some_and(|(_, at)| input.now.saturating_sub(at) >= REBALANCE_PERIOD);
        current.is_stranded(input.capacities)
            || is_settled && current.overload(input.capacities) > OVERLOAD_MAX
    }
}
