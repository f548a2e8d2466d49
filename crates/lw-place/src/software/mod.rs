//! Which software version of a service's engines begins a stream.
//!
//! Streams of two software versions do not fit together, so a stream that broke may only go on at the version that began it.
//! The id of its first request falls into one of [`SLOTS`] slots, and each slot belongs to one version at a time. So every VM
//! can tell the version from the id alone, also after all VMs have lost their memory, as long as it knows to which versions
//! the slot has belonged lately.

use std::collections::{BTreeMap, BTreeSet};

use lw_types::prelude::*;

mod assignment;
mod planner;

pub use assignment::{Assignment, SLOTS};
pub use planner::{Planner, PlannerInput};

/// Requests that the ready engines of each software version run at the same time.
pub type Capacities = BTreeMap<SoftwareVersion, u64>;

/// Most former assignments that a history has.
const FORMER_MAX: usize = 16;

/// Which versions the slots of a service belong to, and belonged to while streams that began then may still go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct History {
    /// Era of the store in which it was recorded.
    pub era: Era,
    /// The assignment in force.
    pub current: Assignment,
    /// Former assignments, the oldest first.
    pub former: Vec<Former>,
    /// Number of the next former assignment.
    pub next_number: u64,
}

/// A former assignment, under which streams may have begun that still go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Former {
    /// Its number, which is not used twice.
    pub number: u64,
    /// The assignment; none if streams may have begun at any version.
    pub assignment: Option<Assignment>,
}

/// What a history tells about the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin<'a> {
    /// This version began it.
    Version(&'a str),
    /// One of several versions began it.
    Ambiguous,
}

impl History {
    /// Returns a history that begins now. Whatever began streams before is not known.
    #[must_use]
    pub fn new(era: Era, current: Assignment) -> Self {
        let former = vec![Former { number: 0, assignment: None }];
        Self { era, current, former, next_number: 1 }
    }

    /// Returns which version began a stream whose first request's id has this hash.
    ///
    /// ```
    /// use lw_place::software::{Assignment, Capacities, History, Origin};
    /// let old = Assignment::new(&Capacities::from([("v1".into(), 8)])).unwrap();
    /// let new = old.rebalanced(&Capacities::from([("v2".into(), 8)]));
    /// let mut history = History { former: Vec::new(), ..History::new(1, old) };
    /// assert_eq!(history.origin(7), Origin::Version("v1"));
    /// history = history.followed_by(new);
    /// assert_eq!(history.origin(7), Origin::Ambiguous);
    /// ```
    #[must_use]
    pub fn origin(&self, id_hash: u64) -> Origin<'_> {
        let version = self.current.version(id_hash);
        let is_same = |former: &Former| {
            former.assignment.as_ref().is_some_and(|former| former.version(id_hash) == version)
        };
        if self.former.iter().all(is_same) { Origin::Version(version) } else { Origin::Ambiguous }
    }

    /// Whether a version begins streams, or began some that may still go on.
    ///
    /// ```
    /// use lw_place::software::{Assignment, Capacities, History};
    /// let old = Assignment::new(&Capacities::from([("v1".into(), 8)])).unwrap();
    /// let new = old.rebalanced(&Capacities::from([("v2".into(), 8)]));
    /// let history = History::new(1, old).followed_by(new);
    /// assert!(history.has("v1") && history.has("v2") && !history.has("v3"));
    /// ```
    #[must_use]
    pub fn has(&self, version: &str) -> bool {
        let former = self.former.iter().filter_map(|former| former.assignment.as_ref());
        former.chain([&self.current]).any(|assignment| assignment.count(version) > 0)
    }

    /// Returns which version began any stream, if one version has begun all that may still go on.
    #[must_use]
    pub fn only_version(&self) -> Origin<'_> {
        let [version] = self.current.versions() else { return Origin::Ambiguous };
        let is_same = |former: &Former| {
            former.assignment.as_ref().is_some_and(|former| former == &self.current)
        };
        if self.former.iter().all(is_same) { Origin::Version(version) } else { Origin::Ambiguous }
    }

    /// Returns the history after another assignment has come into force.
    #[must_use]
    pub fn followed_by(&self, current: Assignment) -> Self {
        let Self { era, next_number, .. } = *self;
        let mut former = self.former.clone();
        former.push(Former { number: next_number, assignment: Some(self.current.clone()) });
        if former.len() > FORMER_MAX {
            former = vec![Former { number: next_number, assignment: None }];
        }
        Self { era, current, former, next_number: next_number + 1 }
    }

    /// Returns the history of another era of the store, which may have lost changes of this one.
    #[must_use]
    pub fn continued_in(&self, era: Era, current: Assignment) -> Self {
        let number = self.next_number;
        let former = vec![Former { number, assignment: None }];
        Self { era, current, former, next_number: number + 1 }
    }

    /// Returns the history without former assignments of these numbers.
    #[must_use]
    pub fn without(&self, numbers: &BTreeSet<u64>) -> Self {
        let mut history = self.clone();
        history.former.retain(|former| !numbers.contains(&former.number));
        history
    }
}
