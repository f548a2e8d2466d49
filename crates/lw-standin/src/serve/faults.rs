//! Fault switches.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Faults that every stand-in supports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpFaults {
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
    /// Requests are received and never answered.
    pub silent: bool,
    /// Nothing more is sent on the connections that are open now; new ones work.
    pub silence_open: bool,
    /// Requests are answered with status 503.
    pub unavailable: bool,
    /// The stand-in closes all connections and its listener, and starts again after this many milliseconds.
    pub down_ms: Option<u64>,
}

/// The fault switches of a running stand-in.
#[derive(Debug, Default)]
pub struct Switches<F>(Mutex<F>);

impl<F: Clone> Switches<F> {
    /// Returns switches that are set to these faults.
    pub fn new(faults: F) -> Self {
        Self(Mutex::new(faults))
    }

    /// Returns the current faults.
    pub fn get(&self) -> F {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Changes the faults under the lock, for instance to count one down, and returns the result of the change.
    pub fn update<T>(&self, change: impl FnOnce(&mut F) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts a fault down and returns whether it applies this time.
pub fn count_down(remaining: &mut u32) -> bool {
    let applies = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    applies
}
