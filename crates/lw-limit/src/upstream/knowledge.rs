//! What a VM knows of a limit, by answers to itself and to other VMs.

use lw_types::prelude::*;

/// What an answer states about the limit of its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// Requests a second from all VMs together; none if the answer names no limit.
    pub limit: Option<f64>,
    /// When the request was sent. For an answer to another VM, a time that is certainly not later.
    pub sent_at: Now,
    /// When the answer was received. For an answer to another VM, a time that is certainly not earlier.
    pub received_at: Now,
}

/// Which VM received an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This VM.
    Own,
    /// Another VM.
    Other,
}

/// The newest evidence of a limit.
#[derive(Debug)]
pub(super) struct Knowledge {
    evidence: Evidence,
    origin: Origin,
}

impl Knowledge {
    pub fn new(evidence: Evidence, origin: Origin) -> Self {
        Self { evidence, origin }
    }

    pub fn evidence(&self) -> Evidence {
        self.evidence
    }

    pub fn limit(&self) -> Option<f64> {
        self.evidence.limit
    }

    pub fn received_at(&self) -> Now {
        self.evidence.received_at
    }

    /// Whether an answer to this VM showed that the limit has ended.
    pub fn has_ended(&self) -> bool {
        self.limit().is_none() && self.origin == Origin::Own
    }

    /// Whether another VM reported that the limit has ended.
    pub fn is_end_reported(&self) -> bool {
        self.limit().is_none() && self.origin == Origin::Other
    }

    /// Applies further evidence and returns whether it was used. Answers overtake each other, so a higher limit is used
    /// only if its request was sent after the answer with the current one was received, and a lower one unless it is
    /// certainly older.
    pub fn observe(&mut self, new: Evidence, origin: Origin) -> bool {
        let current = self.evidence;
        if self.has_ended() && new.limit.is_none() {
            return false;
        }
        let is_higher = match (current.limit, new.limit) {
            (Some(current), Some(new)) => new > current,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let is_confirmed_end = self.is_end_reported() && new.limit.is_none();
        let is_used = if is_higher || is_confirmed_end {
            new.sent_at > current.received_at || (is_confirmed_end && origin == Origin::Own)
        } else {
            new.received_at >= current.sent_at
        };
        if !is_used {
            return false;
        }
        let is_same = current.limit == new.limit;
        if is_same && origin == Origin::Other && new.received_at <= current.received_at {
            return false;
        }
        self.origin = if is_same && self.origin == Origin::Own { Origin::Own } else { origin };
        self.evidence = Evidence {
            limit: new.limit,
            sent_at: if is_same { new.sent_at.max(current.sent_at) } else { new.sent_at },
            received_at: if is_same {
                new.received_at.max(current.received_at)
            } else {
                new.received_at
            },
        };
        true
    }
}
