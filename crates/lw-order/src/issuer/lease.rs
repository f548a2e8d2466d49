//! The issuer's lease. Its end is counted from when a call was sent, so that a delayed reply or a pause
//! never makes it longer.

use lw_types::prelude::*;

use super::{Action, LeaseResult};
use crate::options::Options;

/// A lease that this VM holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct HeldLease {
    pub fence: Revision,
    /// Time from which orders may be sent.
    pub ready_at: Now,
    /// Time until which orders may be sent.
    pub valid_until: Now,
}

#[derive(Debug)]
enum State {
    Idle,
    Acquiring,
    Held(HeldLease),
}

#[derive(Debug)]
pub(super) struct Lease {
    state: State,
    is_eligible: bool,
    last_op: u64,
    /// Number and time of the store call whose result is awaited.
    pending_call: Option<(u64, Now)>,
    next_call_at: Now,
}

impl Lease {
    pub fn new() -> Self {
        Self {
            state: State::Idle,
            is_eligible: false,
            last_op: 0,
            pending_call: None,
            next_call_at: Now::ZERO,
        }
    }

    pub fn set_eligible(&mut self, is_eligible: bool) {
        self.is_eligible = is_eligible;
    }

    /// Returns the lease if it is held and has not reached its end at `now`.
    pub fn valid_at(&self, now: Now) -> Option<HeldLease> {
        match self.state {
            State::Held(held) if now < held.valid_until => Some(held),
            _ => None,
        }
    }

    pub fn tick(&mut self, now: Now, options: &Options) -> Option<Action> {
        if let State::Held(held) = self.state
            && now >= held.valid_until
        {
            self.abandon(now, options);
        }
        if self.pending_call.is_some_and(|(_, sent_at)| now >= sent_at + options.store_timeout) {
            self.pending_call = None;
        }
        if self.pending_call.is_some() || now < self.next_call_at || !self.is_eligible {
            return None;
        }
        self.last_op += 1;
        self.pending_call = Some((self.last_op, now));
        self.next_call_at = now + options.lease_interval;
        if let State::Held(held) = self.state {
            return Some(Action::Renew { op: self.last_op, fence: held.fence });
        }
        self.state = State::Acquiring;
        Some(Action::Acquire { op: self.last_op })
    }

    pub fn on_result(&mut self, now: Now, op: u64, result: LeaseResult, options: &Options) {
        let Some((_, sent_at)) = self.pending_call.take_if(|(call, _)| *call == op) else { return };
        let valid_until = sent_at + options.lease_ttl.saturating_sub(options.lease_margin);
        match (&mut self.state, result) {
            (State::Acquiring, LeaseResult::Granted(fence)) => {
                let ready_at = now + options.takeover_wait();
                self.state = State::Held(HeldLease { fence, ready_at, valid_until });
            }
            (State::Acquiring, LeaseResult::GrantedFrom(fence, ready_at)) => {
                self.state = State::Held(HeldLease { fence, ready_at, valid_until });
            }
            (State::Held(held), LeaseResult::Granted(fence)) if held.fence == fence => {
                held.valid_until = valid_until;
            }
            // A failed renewal leaves the lease valid until its end.
            (State::Held(_), LeaseResult::Failed) => {}
            _ => self.abandon(now, options),
        }
    }

    /// Stops issuing orders under the lease, for instance after an engine has seen a higher fencing number.
    /// The lease in the store is not released.
    pub fn abandon(&mut self, now: Now, options: &Options) {
        self.state = State::Idle;
        self.pending_call = None;
        self.next_call_at = now + options.lease_interval;
    }
}
