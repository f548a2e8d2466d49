//! Stand-in for the platform's key-value service: one key with compare-and-swap and watches.

use std::{collections::BTreeMap, time::Duration};

use lw_member::{StoreCall, StoreOutcome, config::stored::StoredConfig};
use lw_types::prelude::*;

/// Longest time that a watch waits.
pub const LONG_POLL: Duration = Duration::from_secs(30);

/// Faults and delays of the store.
#[derive(Debug, Clone)]
pub struct StoreFaults {
    /// Whether it answers at all.
    pub up: bool,
    /// Share of replies lost after the call took effect.
    pub reply_loss: f64,
    /// Share of swaps that take effect only after a delay of up to 3 s.
    pub late_swaps: f64,
    /// Share of replies that arrive only after up to 3 s.
    pub late_replies: f64,
}

impl Default for StoreFaults {
    fn default() -> Self {
        Self { up: true, reply_loss: 0.0, late_swaps: 0.0, late_replies: 0.0 }
    }
}

/// One accepted version.
#[derive(Debug, Clone)]
pub struct Accepted {
    /// Time of the swap.
    pub at: Now,
    /// Id of the attempt.
    pub attempt: String,
    /// The document as JSON text.
    pub document: String,
}

/// A call that waits for a change.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Index of the calling node.
    pub node: usize,
    /// Start number of the calling process.
    pub start: u64,
    /// Number of the call.
    pub call: u64,
}

/// The key `config/current`.
#[derive(Debug, Default)]
pub struct Store {
    /// Faults in force.
    pub faults: StoreFaults,
    /// Calls counted by the platform.
    pub calls: u64,
    /// All accepted versions.
    pub accepted: BTreeMap<ConfigVersion, Accepted>,
    /// Watches that wait.
    pub waiting: Vec<Waiting>,
    value: Option<(Revision, String)>,
    revision: Revision,
}

impl Store {
    /// Runs a call that has arrived; `None` for a watch that has to wait.
    ///
    /// # Panics
    ///
    /// When a swap stores a value that does not follow the accepted version.
    pub fn run(&mut self, now: Now, op: &StoreCall) -> Option<StoreOutcome> {
        match op {
            StoreCall::Read => Some(self.read()),
            StoreCall::Watch { after } => {
                self.value.as_ref().filter(|(rev, _)| rev > after).map(|_| self.read())
            }
            StoreCall::Swap { prev, value } => {
                if self.value.as_ref().map_or(0, |(rev, _)| *rev) != *prev {
                    return Some(StoreOutcome::Conflict);
                }
                let stored = StoredConfig::parse(value).expect("a swap stores a valid value");
                let entry = stored.history.last().expect("a swap stores its attempt");
                let accepted = Accepted {
                    at: now,
                    attempt: entry.attempt.clone(),
                    document: stored.document.as_json().to_string(),
                };
                let before = self.accepted.last_key_value().map_or(0, |(version, _)| *version);
                assert_eq!(stored.document.version, before + 1, "versions follow each other");
                self.accepted.insert(stored.document.version, accepted);
                self.revision += 1;
                self.value = Some((self.revision, value.clone()));
                Some(StoreOutcome::Swapped(self.revision))
            }
        }
    }

    /// The value, as a read or a watch returns it.
    #[must_use]
    pub fn read(&self) -> StoreOutcome {
        match &self.value {
            Some((revision, value)) => StoreOutcome::Value(*revision, value.clone()),
            None => StoreOutcome::Absent,
        }
    }

    /// The accepted version; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.accepted.last_key_value().map_or(0, |(version, _)| *version)
    }
}
