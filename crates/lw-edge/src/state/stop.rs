//! What became of the requests of a VM that is leaving.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Counts the requests that were accepted since a VM began to leave, and how requests have ended since.
///
/// ```
/// let account = lw_edge::state::StopAccount::default();
/// account.record_taken();
/// account.record_end("ok");
/// account.record_end("caller_left");
/// assert_eq!((account.taken(), account.to_string()), (1, "caller_left 1, ok 1".to_owned()));
/// ```
#[derive(Debug, Default)]
pub struct StopAccount {
    taken: AtomicU64,
    /// Numbers of ended requests, by the name of their outcome.
    ends: Mutex<BTreeMap<&'static str, u64>>,
}

impl StopAccount {
    /// Counts a request that was accepted.
    pub fn record_taken(&self) {
        self.taken.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that ended with this outcome.
    pub fn record_end(&self, outcome: &'static str) {
        *self.ends.lock().unwrap_or_else(PoisonError::into_inner).entry(outcome).or_default() += 1;
    }

    /// Returns the number of requests that were accepted.
    #[must_use]
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }
}

impl fmt::Display for StopAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        for (n, (outcome, count)) in ends.iter().enumerate() {
            let separator = if n == 0 { "" } else { ", " };
            write!(f, "{separator}{outcome} {count}")?;
        }
        Ok(())
    }
}
