//! Fault switches.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Faults that every stand-in can show.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpFaults {
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
    /// Requests are accepted and never answered.
    pub silent: bool,
    /// Connections that are open now go silent for good; new ones work.
    pub silence_open: bool,
    /// Requests are answered with status 503.
    pub unavailable: bool,
    /// The process ends now and starts again after this many milliseconds.
    pub down_ms: Option<u64>,
}

/// The fault switches of a running stand-in.
#[derive(Debug, Default)]
pub struct Switches<F>(Mutex<F>);

impl<F: Clone> Switches<F> {
    /// Switches that start as given.
    pub fn new(faults: F) -> Self {
        Self(Mutex::new(faults))
    }

    /// The current faults.
    pub fn get(&self) -> F {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Changes the faults in one step, for instance to count one down.
    pub fn update<T>(&self, change: impl FnOnce(&mut F) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts a fault down and says whether it applies this time.
pub fn count_down(left: &mut u32) -> bool {
    let applies = *left > 0;
    *left = left.saturating_sub(1);
    applies
}
