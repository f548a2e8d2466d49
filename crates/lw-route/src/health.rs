//! Whether an engine is slow, from own timings and from what peers saw.
//!
//! A moving average of measured against expected times was tried first. Queues that the router cannot see delay
//! first tokens too, so the average moved without cause: it cost 1 % of the hit rate and 7 % of the answers in
//! time at twice the capacity. Single late first tokens are no better (0.4 % of the answers in time at 0.9 of the
//! capacity). Only silence counts now, and one normal first token clears it.

use std::time::Duration;

use lw_types::prelude::*;

/// An engine with evidence younger than this gets no work. Streams at a slow engine renew it well within.
const EVIDENCE_KEPT: Duration = Duration::from_millis(1500);
/// A probe is normal if its first token comes within this of the expected time: about one step of an engine. With
/// 250 ms, short prompts at an engine 10 times slower passed as normal.
const NORMAL_EXCESS: Duration = Duration::from_millis(60);
/// Time between probes of one VM at one engine.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// What is believed of an engine's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speed {
    /// As expected.
    Normal,
    /// Slow a moment ago; a probe may show that it has recovered.
    Suspect,
    /// Slow.
    Slow,
}

/// Evidence about an engine's speed.
#[derive(Debug, Default)]
pub struct Health {
    slow_seen: Option<Now>,
    probed: Option<Now>,
    new: Option<Speed>,
}

impl Health {
    /// Records a stream without a token for longer than [`crate::Options::stall_after`], or a first token that is
    /// overdue while the engine gives none to anybody.
    pub fn stalled(&mut self, now: Now) {
        self.slow_seen = Some(now);
        self.new = Some(Speed::Slow);
    }

    /// Records the time to first token of one request that was sent at `sent`.
    pub fn timing(&mut self, now: Now, sent: Now, expected: Duration) {
        let is_normal = now.saturating_sub(sent) <= expected + NORMAL_EXCESS;
        if is_normal && self.slow_seen.is_some_and(|seen| sent > seen) {
            self.slow_seen = None;
            self.new = Some(Speed::Normal);
        }
    }

    /// Records what a peer saw. It is not passed on, so evidence cannot circulate.
    pub fn peer_saw(&mut self, now: Now, speed: Speed) {
        match speed {
            Speed::Slow => self.slow_seen = Some(now),
            Speed::Normal if self.speed(now) == Speed::Suspect => self.slow_seen = None,
            Speed::Normal | Speed::Suspect => {}
        }
    }

    /// What is believed of the speed.
    #[must_use]
    pub fn speed(&self, now: Now) -> Speed {
        match self.slow_seen {
            None => Speed::Normal,
            Some(seen) if now < seen + EVIDENCE_KEPT => Speed::Slow,
            Some(_) => Speed::Suspect,
        }
    }

    /// Whether a request may be sent to a suspect engine now to measure it.
    #[must_use]
    pub fn may_probe(&self, now: Now) -> bool {
        self.speed(now) == Speed::Suspect
            && self.probed.is_none_or(|probed| now >= probed + PROBE_EVERY)
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Now) {
        if self.speed(now) == Speed::Suspect {
            self.probed = Some(now);
        }
    }

    /// Own evidence since the last call, for digests.
    pub fn take_new(&mut self) -> Option<Speed> {
        self.new.take()
    }
}
