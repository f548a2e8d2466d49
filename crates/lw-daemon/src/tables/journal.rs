//! The decision log: the steps of the last requests, for `explain`.

use std::collections::{HashMap, VecDeque};

use lw_protocol::operator::{Explanation, Step};
use lw_types::prelude::*;

/// Steps kept of one request; later ones are dropped.
const STEPS_MAX: usize = 64;

#[derive(Debug)]
struct Entry {
    started: Now,
    steps: Vec<Step>,
}

/// A bounded ring of requests and their steps.
#[derive(Debug)]
pub struct Journal {
    capacity: usize,
    order: VecDeque<RequestId>,
    entries: HashMap<RequestId, Entry>,
}

impl Journal {
    /// Keeps the steps of the last `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, order: VecDeque::new(), entries: HashMap::new() }
    }

    /// Adds a step.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_daemon::tables::journal::Journal;
    /// let mut journal = Journal::new(1);
    /// journal.add(Duration::ZERO, "a", "admitted");
    /// journal.add(Duration::ZERO, "b", "admitted");
    /// assert!(journal.explain("a").is_none());
    /// assert_eq!(journal.explain("b").unwrap().steps.len(), 1);
    /// ```
    pub fn add(&mut self, now: Now, request: &str, what: &str) {
        if !self.entries.contains_key(request) {
            if self.order.len() >= self.capacity
                && let Some(oldest) = self.order.pop_front()
            {
                self.entries.remove(&oldest);
            }
            self.order.push_back(request.to_owned());
            self.entries.insert(request.to_owned(), Entry { started: now, steps: Vec::new() });
        }
        let Some(entry) = self.entries.get_mut(request) else { return };
        if entry.steps.len() < STEPS_MAX {
            let at = now.saturating_sub(entry.started).as_millis();
            let at_ms = u64::try_from(at).unwrap_or(u64::MAX);
            entry.steps.push(Step { at_ms, what: what.to_owned() });
        }
    }

    /// The steps of a request, if it is still kept.
    #[must_use]
    pub fn explain(&self, request: &str) -> Option<Explanation> {
        let entry = self.entries.get(request)?;
        Some(Explanation { request: request.to_owned(), steps: entry.steps.clone() })
    }
}
