//! The decision log: the steps of the latest requests, for `explain`.

use std::collections::{HashMap, VecDeque};

use lw_protocol::operator::{Explanation, Step};
use lw_types::prelude::*;

/// Number of steps kept for one request; later ones are dropped.
const STEPS_MAX: usize = 64;

#[derive(Debug)]
struct Entry {
    started: Now,
    steps: Vec<Step>,
}

/// A limited number of requests and their steps. A new request replaces the oldest one.
#[derive(Debug)]
pub struct DecisionLog {
    capacity: usize,
    by_age: VecDeque<RequestId>,
    entries: HashMap<RequestId, Entry>,
}

impl DecisionLog {
    /// Creates a log of the last `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, by_age: VecDeque::new(), entries: HashMap::new() }
    }

    /// Adds a step to a request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_daemon::tables::decision_log::DecisionLog;
    /// let mut decision_log = DecisionLog::new(1);
    /// decision_log.add(Duration::ZERO, "a", "admitted");
    /// decision_log.add(Duration::ZERO, "b", "admitted");
    /// assert!(decision_log.explain("a").is_none());
    /// assert_eq!(decision_log.explain("b").unwrap().steps.len(), 1);
    /// ```
    pub fn add(&mut self, now: Now, request: &str, step: &str) {
        if !self.entries.contains_key(request) {
            if self.by_age.len() >= self.capacity
                && let Some(oldest) = self.by_age.pop_front()
            {
                self.entries.remove(&oldest);
            }
            self.by_age.push_back(request.to_owned());
            self.entries.insert(request.to_owned(), Entry { started: now, steps: Vec::new() });
        }
        let Some(entry) = self.entries.get_mut(request) else { return };
        if entry.steps.len() < STEPS_MAX {
            let at = now.saturating_sub(entry.started).as_millis();
            let at_ms = u64::try_from(at).unwrap_or(u64::MAX);
            entry.steps.push(Step { at_ms, what: step.to_owned() });
        }
    }

    /// Returns the steps of a request, if the log still has them.
    #[must_use]
    pub fn explain(&self, request: &str) -> Option<Explanation> {
        let entry = self.entries.get(request)?;
        Some(Explanation { request: request.to_owned(), steps: entry.steps.clone() })
    }
}
