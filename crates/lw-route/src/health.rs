//! Detection of slow engines, from the timings of this VM and from the digests of its peers.
//!
//! An engine counts as slow only after a time without tokens, and one first token within the expected time clears it.
//! A late first token alone does not count, because queues that the router cannot see delay first tokens too: a
//! moving average of measured against expected times cost 1 % of the hit rate and 7 % of the answers in time at twice
//! the capacity, and counting single late first tokens cost 0.4 % of the answers in time at 0.9 of the capacity.

use std::time::Duration;

use lw_types::prelude::*;

/// Time for which an engine counts as slow after it stalled. Each further stall starts it anew; the streams at a slow
/// engine stall more often than this.
const SLOW_DURATION: Duration = Duration::from_millis(1500);
/// Largest delay beyond the expected time to first token that still counts as normal: about one step of an engine. With
/// 250 ms, short prompts at an engine 10 times slower counted as normal.
const NORMAL_EXCESS_MAX: Duration = Duration::from_millis(60);
/// Minimum time between two probes that one VM sends to one engine.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Assumed speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speed {
    /// As expected.
    Normal,
    /// No longer counted as slow, but no first token has confirmed normal speed yet. A probe can do so.
    Suspect,
    /// Stalled a short time ago.
    Slow,
}

/// Observations of the speed of one engine.
#[derive(Debug, Default)]
pub struct Health {
    last_stall: Option<Now>,
    last_probe: Option<Now>,
    /// Own observation that is in no digest yet.
    unreported: Option<Speed>,
}

impl Health {
    /// Records a stall: a stream without a token for [`crate::Options::stall_after`], or an overdue first token while
    /// no VM received one from the engine.
    pub fn record_stall(&mut self, now: Now) {
        self.last_stall = Some(now);
        self.unreported = Some(Speed::Slow);
    }

    /// Records that the first token of a request sent at `sent` arrived at `now`. A normal time to first token clears a
    /// stall if the request was sent after it.
    pub fn record_first_token(&mut self, now: Now, sent: Now, expected: Duration) {
        let is_normal = now.saturating_sub(sent) <= expected + NORMAL_EXCESS_MAX;
        if is_normal && self.last_stall.is_some_and(|stall| sent > stall) {
            self.last_stall = None;
            self.unreported = Some(Speed::Normal);
        }
    }

    /// Records an observation of a peer. It is not reported to other peers, so it cannot circulate between VMs.
    pub fn record_peer_speed(&mut self, now: Now, speed: Speed) {
        match speed {
            Speed::Slow => self.last_stall = Some(now),
            Speed::Normal if self.speed(now) == Speed::Suspect => self.last_stall = None,
            Speed::Normal | Speed::Suspect => {}
        }
    }

    /// Returns the speed that is assumed at `now`.
    #[must_use]
    pub fn speed(&self, now: Now) -> Speed {
        match self.last_stall {
            None => Speed::Normal,
            Some(stall) if now < stall + SLOW_DURATION => Speed::Slow,
            Some(_) => Speed::Suspect,
        }
    }

    /// Whether a request may be sent to the engine now as a probe of a suspected slowdown.
    #[must_use]
    pub fn may_probe(&self, now: Now) -> bool {
        self.speed(now) == Speed::Suspect
            && self.last_probe.is_none_or(|probe| now >= probe + PROBE_INTERVAL)
    }

    /// Records that a request was sent to the engine. It counts as a probe if the engine is suspect.
    pub fn record_sent(&mut self, now: Now) {
        if self.speed(now) == Speed::Suspect {
            self.last_probe = Some(now);
        }
    }

    /// Returns and clears the latest own observation since the last call, for the next digest.
    pub fn take_unreported(&mut self) -> Option<Speed> {
        self.unreported.take()
    }
}
