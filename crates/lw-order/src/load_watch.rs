//! Measures how long an engine loads, by polls until it serves the new weights.

use std::time::Duration;

use lw_types::prelude::*;

/// Time from an order to the first poll of its engine, unless the last load took longer: then the time of that load.
const FIRST_POLL_MIN: Duration = Duration::from_millis(500);
/// Usual time from the end of a load until a report shows it.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Longest delay of an answer, or of a poll with its answer, up to which they show when a load began or ended.
const ANSWER_DELAY_MAX: Duration = Duration::from_millis(500);

/// The polls of one engine after an order.
#[derive(Debug, Clone, Copy)]
pub struct LoadWatch {
    /// When the order was sent.
    ordered_at: Now,
    /// When the next poll is due.
    next_poll_at: Now,
    /// Whether the last answer came so late that the load may have ended, or begun, at any time before it.
    is_late: bool,
}

impl LoadWatch {
    /// Returns the watch for an order that was sent at `ordered_at` and answered at `now`. `load_time` is the time of the last load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_order::load_watch::LoadWatch;
    /// let second = Duration::from_secs(1);
    /// assert_eq!(LoadWatch::new(second, second, Some(3 * second)).next_poll_at(), 4 * second);
    /// ```
    #[must_use]
    pub fn new(ordered_at: Now, now: Now, load_time: Option<Duration>) -> Self {
        let delay = load_time.map_or(FIRST_POLL_MIN, |time| time.max(FIRST_POLL_MIN));
        let is_late = now > ordered_at + ANSWER_DELAY_MAX;
        Self { ordered_at, next_poll_at: now + delay, is_late }
    }

    /// Returns when the next poll is due.
    #[must_use]
    pub fn next_poll_at(&self) -> Now {
        self.next_poll_at
    }

    /// Records an answer at `now` by which the engine still loads, and when it is polled next.
    pub fn on_loading(&mut self, now: Now, next_poll_at: Now) {
        self.is_late = self.is_late_at(now);
        self.next_poll_at = next_poll_at;
    }

    /// Returns the time of the load, after an answer at `now` showed its end. None if this answer or the one before it is so
    /// late that they do not show it: the VM was paused, or earlier polls were not answered.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_order::load_watch::LoadWatch;
    /// let ms = Duration::from_millis;
    /// let watch = LoadWatch::new(ms(0), ms(20), Some(ms(2_000)));
    /// assert_eq!(watch.load_time(ms(2_050)), Some(ms(1_800)));
    /// assert_eq!(watch.load_time(ms(9_000)), None);
    /// ```
    #[must_use]
    pub fn load_time(&self, now: Now) -> Option<Duration> {
        // The delay is subtracted so that the next engine's pause before its order overlaps with the end of a load.
        (!self.is_late && !self.is_late_at(now))
            .then(|| now.saturating_sub(self.ordered_at + REPORT_DELAY))
    }

    fn is_late_at(&self, now: Now) -> bool {
        now > self.next_poll_at + ANSWER_DELAY_MAX
    }
}
