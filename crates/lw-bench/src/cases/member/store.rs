//! Model of the platform's key-value service: one key with compare-and-swap and watches.

use std::{collections::BTreeMap, time::Duration};

use lw_member::{StoreCall, StoreOutcome, config::stored::StoredConfig};
use lw_types::prelude::*;

/// Longest time that a watch waits for a change.
pub const WATCH_TIME_MAX: Duration = Duration::from_secs(30);

/// Faults and delays of the store.
#[derive(Debug, Clone)]
pub struct StoreFaults {
    /// Whether the store answers calls.
    pub is_up: bool,
    /// Fraction of replies that are lost after the call took effect.
    pub reply_loss: f64,
    /// Fraction of swaps that take effect only after a delay of up to 3 s.
    pub late_swaps: f64,
    /// Fraction of replies that arrive only after a delay of up to 3 s.
    pub late_replies: f64,
}

impl Default for StoreFaults {
    fn default() -> Self {
        Self { is_up: true, reply_loss: 0.0, late_swaps: 0.0, late_replies: 0.0 }
    }
}

/// Accepted version of the configuration.
#[derive(Debug, Clone)]
pub struct Accepted {
    /// Time of the swap.
    pub at: Now,
    /// Id of the attempt that stored it.
    pub attempt: String,
    /// The document as JSON text.
    pub document: String,
}

/// Watch that waits for a change.
#[derive(Debug, Clone)]
pub struct PendingWatch {
    /// Index of the calling node.
    pub node: usize,
    /// Start number of the calling process.
    pub start: u64,
    /// Number of the call.
    pub call: u64,
}

/// Value and history of the key `config/current`.
#[derive(Debug, Default)]
pub struct Store {
    /// Current faults.
    pub faults: StoreFaults,
    /// Number of calls received.
    pub calls: u64,
    /// All accepted versions by number.
    pub accepted: BTreeMap<ConfigVersion, Accepted>,
    /// Watches that wait for a change.
    pub pending_watches: Vec<PendingWatch>,
    value: Option<(Revision, String)>,
    revision: Revision,
}

impl Store {
    /// Runs a call; returns `None` for a watch that has to wait.
    ///
    /// # Panics
    ///
    /// If a swap stores an invalid value or one whose version does not follow the accepted one.
    pub fn run_call(&mut self, now: Now, op: &StoreCall) -> Option<StoreOutcome> {
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
                let last_entry = stored.history.last().expect("a swap stores its attempt");
                let accepted = Accepted {
                    at: now,
                    attempt: last_entry.attempt.clone(),
                    document: stored.document.as_json().to_string(),
                };
                let last_version =
                    self.accepted.last_key_value().map_or(0, |(version, _)| *version);
                assert_eq!(stored.document.version, last_version + 1, "versions follow each other");
                self.accepted.insert(stored.document.version, accepted);
                self.revision += 1;
                self.value = Some((self.revision, value.clone()));
                Some(StoreOutcome::Swapped(self.revision))
            }
        }
    }

    /// Returns the value as a read or a watch does.
    #[must_use]
    pub fn read(&self) -> StoreOutcome {
        match &self.value {
            Some((revision, value)) => StoreOutcome::Value(*revision, value.clone()),
            None => StoreOutcome::Absent,
        }
    }

    /// Returns the number of the newest accepted version; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.accepted.last_key_value().map_or(0, |(version, _)| *version)
    }
}
