//! Rejections of an upstream that fails if it has to reject too many requests.

use std::{collections::VecDeque, time::Duration};

use lw_types::prelude::*;

/// Time within which the upstream counts its rejections.
const WINDOW: Duration = Duration::from_secs(1);
/// VMs use one in so many of the rejections that an upstream stands: others are on their way while VMs tell each other.
const RESERVE_FACTOR: u32 = 2;

/// The latest rejections of one upstream, of requests of all VMs.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::upstream::Rejections;
/// let mut rejections = Rejections::default();
/// assert_eq!(rejections.record(Duration::from_millis(100), 4), None);
/// let until = rejections.record(Duration::from_millis(300), 4);
/// assert_eq!(until, Some(Duration::from_millis(1_100)));
/// ```
#[derive(Debug, Default)]
pub struct Rejections {
    /// When they were received, the oldest first.
    recent: VecDeque<Now>,
}

impl Rejections {
    /// Records a rejection by an upstream that stands `max` rejections in a second. Returns until when it must get no requests, if
    /// further rejections could be too many.
    pub fn record(&mut self, now: Now, max: u32) -> Option<Now> {
        let used = usize::try_from(max / RESERVE_FACTOR).unwrap_or(usize::MAX).max(1);
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.recent.pop_front();
        }
        let first = self.recent.len().checked_sub(used)?;
        self.recent.drain(..first);
        self.recent.front().map(|at| *at + WINDOW)
    }
}
