//! Limits that upstreams name in their answers: the requests a second that one takes from all VMs together.
//!
//! All VMs keep such a limit without a message for each request. As many VMs as the limit allows, selected by their names
//! and failure domains, share it equally; the others send that upstream nothing. What a VM knows of a limit comes from
//! answers to itself or to other VMs, which may be lost, late or reordered, so that a higher limit or none needs proof that
//! it is newer. A VM that learns from others that a limit has ended, or has heard nothing of it for long, sends one request
//! at a time until an answer to itself tells.

use std::time::Duration;

use lw_types::prelude::*;

mod knowledge;
mod loan;
mod rejections;
mod share;

pub use knowledge::{Evidence, Origin};
pub use rejections::Rejections;
pub use share::{FleetSize, Position};

use knowledge::Knowledge;
use loan::Loans;
use share::Share;

/// Time for which one request that finds out whether a limit has ended may remain without an answer.
const PROBE_TIME_MAX: Duration = Duration::from_secs(2);
/// Time after which a VM without a share no longer relies on what it knows of a limit. The VMs that have one repeat it each
/// [`REPEAT_PERIOD`].
const KNOWLEDGE_TIME_MAX: Duration = Duration::from_secs(10);
/// Time between two announcements of an unchanged limit.
const REPEAT_PERIOD: Duration = Duration::from_secs(2);
/// Shortest time between two announcements.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(250);
/// Time between two announcements of the end of a limit.
const END_REPEAT_PERIOD: Duration = Duration::from_millis(300);
/// Announcements of the end of a limit, some of which may be lost.
const END_ANNOUNCEMENTS: u32 = 3;
/// VMs that repeat an unchanged limit to the others.
const REPEATING_VMS: usize = 2;
/// Time after its turn at which a request must not be sent any more: the VM was suspended meanwhile.
const TURN_TIME_MAX: Duration = Duration::from_millis(250);
/// Time for which an ended limit is retained, so that older evidence does not restore it.
const ENDED_TIME: Duration = Duration::from_secs(10);

/// A reserved time at which one request may be sent to a limited upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// When the request may be sent.
    pub at: Now,
    generation: u64,
}

/// How requests to an upstream are limited at this VM now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// The next request may be sent at this time.
    At(Now),
    /// Other VMs have the shares of the limit, or the answer to one request is awaited that tells whether it has ended.
    Closed,
}

/// The limit of one upstream as one VM knows it, and this VM's share of it.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::upstream::{Evidence, Limiter, Opening, Origin, Position};
///
/// let ms = Duration::from_millis;
/// let named = Evidence { limit: Some(2.0), sent_at: ms(0), received_at: ms(10) };
/// let mut limiter = Limiter::new(ms(10), named, Origin::Own);
/// limiter.set_position(ms(10), Position { rank: 0, fleet: 1 }, false);
/// let Opening::At(first) = limiter.opening(ms(10)) else { panic!("it has a share") };
/// assert!(first > ms(10), "nothing was saved up before");
/// ```
#[derive(Debug)]
pub struct Limiter {
    knowledge: Knowledge,
    position: Option<Position>,
    is_stale: bool,
    share: Option<Share>,
    /// When the saved-up requests of the share are all used and another one would be allowed.
    used_until: Now,
    /// Increments whenever reserved turns become void.
    generation: u64,
    /// Until when the answer to a request that finds out whether the limit has ended is awaited.
    probe_until: Option<Now>,
    loans: Loans,
    announcements: Announcements,
}

/// What was announced to the other VMs.
#[derive(Debug, Default)]
struct Announcements {
    is_due: bool,
    last_at: Option<Now>,
    /// When the answer was received that was announced last.
    last_evidence: Option<Now>,
    of_end: u32,
}

impl Limiter {
    /// Returns the state of an upstream that names a limit for the first time.
    #[must_use]
    pub fn new(now: Now, evidence: Evidence, origin: Origin) -> Self {
        let announcements =
            Announcements { is_due: origin == Origin::Own, ..Announcements::default() };
        Self {
            knowledge: Knowledge::new(evidence, origin),
            position: None,
            is_stale: false,
            share: None,
            used_until: now,
            generation: 0,
            probe_until: None,
            loans: Loans::default(),
            announcements,
        }
    }

    /// Returns the limit in requests a second, or none if it has ended.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.knowledge.limit()
    }

    /// Returns the requests a second that this VM may send; none if it has no share.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.share.map(Share::rate)
    }

    /// Applies what an answer states about the limit. Returns whether the limit has changed.
    pub fn observe(&mut self, now: Now, evidence: Evidence, origin: Origin) -> bool {
        let was_probing = self.is_probing(now);
        let was_end_reported = self.knowledge.is_end_reported();
        let before = self.limit();
        if !self.knowledge.observe(evidence, origin) {
            return false;
        }
        let has_changed = before != self.limit();
        if origin == Origin::Own {
            self.probe_until = None;
            self.announcements.is_due |= has_changed || (was_probing && !was_end_reported);
            if was_end_reported {
                self.announcements.of_end = END_ANNOUNCEMENTS;
            }
        }
        if has_changed {
            self.loans.clear();
            self.update_share(now);
        }
        has_changed
    }

    /// Sets the position of this VM among those that may get a share; none if it is not registered. `is_stale` states that
    /// the position may be outdated, since the VM has not read the registered VMs for long.
    pub fn set_position(
        &mut self,
        now: Now,
        position: impl Into<Option<Position>>,
        is_stale: bool,
    ) {
        let position = position.into();
        if (position, is_stale) != (self.position, self.is_stale) {
            (self.position, self.is_stale) = (position, is_stale);
            self.update_share(now);
        }
    }

    fn update_share(&mut self, now: Now) {
        let before = self.share;
        let limit = self.limit().zip(self.position);
        self.share = limit.and_then(|(limit, position)| Share::new(limit, position, self.is_stale));
        let Some(share) = self.share else {
            self.generation += u64::from(before.is_some());
            return;
        };
        match before {
            Some(before) if before == share => {}
            Some(before) => self.rescale(now, before, share),
            None => {
                self.generation += 1;
                let delay = self.position.map_or(Duration::ZERO, |p| share.first_delay(p));
                self.used_until = now + delay + share.saving_time();
            }
        }
    }

    /// Adapts the time of the next turn to another rate. Under a lower one, what was saved up or reserved does not count
    /// any more.
    fn rescale(&mut self, now: Now, before: Share, share: Share) {
        let wait = self.used_until.saturating_sub(before.saving_time()).checked_sub(now);
        let mut wait = wait.map_or(0.0, |wait| wait.as_secs_f64());
        if share.rate() >= before.rate() {
            if wait == 0.0 {
                return;
            }
        } else {
            self.generation += 1;
            wait %= before.interval().as_secs_f64();
        }
        let ratio = before.rate() / share.rate();
        self.used_until = now + Duration::from_secs_f64(wait * ratio) + share.saving_time();
    }

    /// Whether one request at a time is sent to find out whether the limit has ended.
    fn is_probing(&self, now: Now) -> bool {
        if self.knowledge.is_end_reported() {
            return true;
        }
        let Some((limit, position)) = self.limit().zip(self.position) else { return false };
        // In sequence, so that the VMs do not all try at once.
        let time_max = KNOWLEDGE_TIME_MAX + share::probe_delay(limit, position);
        self.share.is_none() && now.saturating_sub(self.knowledge.received_at()) > time_max
    }

    /// Returns when the next request may be sent.
    #[must_use]
    pub fn opening(&self, now: Now) -> Opening {
        if self.knowledge.has_ended() {
            return Opening::At(now);
        }
        if self.is_probing(now) {
            let is_awaited = self.probe_until.is_some_and(|until| now < until);
            return if is_awaited { Opening::Closed } else { Opening::At(now) };
        }
        if self.loans.has_turn(now) {
            return Opening::At(now);
        }
        let at = |share: Share| now.max(self.used_until.saturating_sub(share.saving_time()));
        self.share.map_or(Opening::Closed, |share| Opening::At(at(share)))
    }

    /// Reserves the next turn; none if no request may be sent.
    pub fn reserve(&mut self, now: Now) -> Option<Turn> {
        let Opening::At(at) = self.opening(now) else { return None };
        if self.is_probing(now) {
            self.probe_until = Some(now + PROBE_TIME_MAX);
        } else if self.loans.take_turn(now) {
            return Some(Turn { at: now, generation: self.generation });
        } else if let Some(share) = self.share {
            self.used_until = self.used_until.max(at) + share.interval();
        }
        Some(Turn { at, generation: self.generation })
    }

    /// Whether a request may be sent in a turn that was reserved before.
    #[must_use]
    pub fn is_valid(&self, now: Now, turn: Turn) -> bool {
        turn.generation == self.generation && now <= turn.at + TURN_TIME_MAX
    }

    /// Returns the number of VMs that have a share, if this VM may ask them for turns.
    #[must_use]
    pub fn lenders(&self) -> Option<usize> {
        let (limit, position) = self.limit().zip(self.position)?;
        Some(share::sharing_vms(limit, position.fleet))
    }

    /// Returns how many borrowed turns were used since the last call.
    pub fn take_used_loans(&mut self) -> usize {
        self.loans.take_used()
    }

    /// Records that another VM was asked for a turn. `nonce` identifies the request.
    pub fn ask_for_turn(&mut self, now: Now, nonce: u64) {
        self.loans.ask(now, nonce);
    }

    /// Records the turn that another VM lent on a request. Returns whether it can be used.
    pub fn accept_turn(&mut self, now: Now, nonce: u64) -> bool {
        self.loans.accept(now, nonce)
    }

    /// Gives up a turn of the own share for another VM. Returns whether there is one.
    pub fn lend_turn(&mut self, now: Now) -> bool {
        let Some(share) = self.share.filter(|_| !self.is_probing(now)) else { return false };
        if self.used_until.saturating_sub(share.saving_time()) > now {
            return false;
        }
        self.used_until = self.used_until.max(now) + share.interval();
        true
    }

    /// Returns what is to be announced to the other VMs now, if anything.
    pub fn announcement(&mut self, now: Now) -> Option<Evidence> {
        let evidence = self.knowledge.evidence();
        let since_last = self.announcements.last_at.map(|at| now.saturating_sub(at));
        if since_last.is_some_and(|time| time < ANNOUNCEMENT_PERIOD) {
            return None;
        }
        let is_due = if self.knowledge.has_ended() {
            self.announcements.of_end < END_ANNOUNCEMENTS
                && since_last.is_none_or(|time| time >= END_REPEAT_PERIOD)
        } else {
            let repeats = self.position.is_some_and(|position| position.rank < REPEATING_VMS);
            let is_new = self.announcements.last_evidence < Some(evidence.received_at);
            repeats && is_new && since_last.is_none_or(|time| time >= REPEAT_PERIOD)
        };
        if !std::mem::take(&mut self.announcements.is_due) && !is_due {
            return None;
        }
        let of_end = if evidence.limit.is_none() { self.announcements.of_end + 1 } else { 0 };
        self.announcements = Announcements {
            is_due: false,
            last_at: Some(now),
            last_evidence: Some(evidence.received_at),
            of_end,
        };
        Some(evidence)
    }

    /// Whether the limit ended so long ago that nothing needs to be retained of it.
    #[must_use]
    pub fn is_obsolete(&self, now: Now) -> bool {
        self.knowledge.has_ended() && now.saturating_sub(self.knowledge.received_at()) > ENDED_TIME
    }

    /// Returns what this VM knows of the limit, for a VM that asks; none if it has ended.
    #[must_use]
    pub fn known(&self) -> Option<Evidence> {
        self.limit().map(|_| self.knowledge.evidence())
    }
}
