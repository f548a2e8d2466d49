//! Tells outages of the store from single calls that fail.

use std::time::Duration;

use lw_types::prelude::*;

/// Measures for how long the store has not answered.
///
/// The entry of a running upstream expires only if several heartbeats in a row fail. A watch that is cut, or a call that is
/// refused once, says nothing about the heartbeats of others.
#[derive(Debug, Default)]
pub(super) struct OutageDetector {
    /// Since when the store has given no sign of life. `None` while calls succeed.
    silent_since: Option<Now>,
}

impl OutageDetector {
    /// Records that a call failed and the store has given no sign of life since then.
    pub fn on_failure(&mut self, silent_since: Now) {
        self.silent_since.get_or_insert(silent_since);
    }

    /// Records that a call was answered at this time. Returns how long the store had not answered before.
    pub fn on_answer(&mut self, at: Now) -> Option<Duration> {
        let since = self.silent_since.take_if(|since| *since <= at)?;
        Some(at.saturating_sub(since))
    }

    /// Returns for how long the store has not answered, if calls fail.
    pub fn time_at(&self, now: Now) -> Option<Duration> {
        self.silent_since.map(|since| now.saturating_sub(since))
    }
}
