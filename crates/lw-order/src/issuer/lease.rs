//! The issuer's lease. Its end is counted from when a call was sent, so that a late reply or a pause never
//! makes it longer.

use lw_types::prelude::*;

use super::{Action, LeaseResult};
use crate::options::Options;

/// A lease that is held.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Term {
    pub fence: Revision,
    /// First order allowed.
    pub ready_at: Now,
    /// Last order allowed.
    pub valid_until: Now,
}

#[derive(Debug)]
enum State {
    Idle,
    Asking,
    Held(Term),
}

#[derive(Debug)]
pub(super) struct Lease {
    state: State,
    eligible: bool,
    next_op: u64,
    /// Number and time of the open store call.
    call: Option<(u64, Now)>,
    next_at: Now,
}

impl Lease {
    pub fn new() -> Self {
        Self { state: State::Idle, eligible: false, next_op: 0, call: None, next_at: Now::ZERO }
    }

    pub fn set_eligible(&mut self, eligible: bool) {
        self.eligible = eligible;
    }

    /// The lease, if orders may be sent under it now.
    pub fn term(&self, now: Now) -> Option<Term> {
        match self.state {
            State::Held(term) if now < term.valid_until => Some(term),
            _ => None,
        }
    }

    pub fn tick(&mut self, now: Now, options: &Options) -> Option<Action> {
        if let State::Held(term) = self.state
            && now >= term.valid_until
        {
            self.give_up(now, options);
        }
        if self.call.is_some_and(|(_, sent)| now >= sent + options.store_timeout) {
            self.call = None;
        }
        if self.call.is_some() || now < self.next_at || !self.eligible {
            return None;
        }
        self.next_op += 1;
        self.call = Some((self.next_op, now));
        self.next_at = now + options.lease_interval;
        if let State::Held(term) = self.state {
            return Some(Action::Renew { op: self.next_op, fence: term.fence });
        }
        self.state = State::Asking;
        Some(Action::Acquire { op: self.next_op })
    }

    pub fn on_result(&mut self, now: Now, op: u64, result: LeaseResult, options: &Options) {
        let Some((_, sent)) = self.call.take_if(|(call, _)| *call == op) else { return };
        let valid_until = sent + options.lease_ttl.saturating_sub(options.lease_margin);
        match (&mut self.state, result) {
            (State::Asking, LeaseResult::Granted(fence)) => {
                let ready_at = now + options.takeover_wait();
                self.state = State::Held(Term { fence, ready_at, valid_until });
            }
            (State::Asking, LeaseResult::GrantedFrom(fence, ready_at)) => {
                self.state = State::Held(Term { fence, ready_at, valid_until });
            }
            (State::Held(term), LeaseResult::Granted(fence)) if term.fence == fence => {
                term.valid_until = valid_until;
            }
            // A failed renewal leaves the lease as it is until its end.
            (State::Held(_), LeaseResult::Failed) => {}
            _ => self.give_up(now, options),
        }
    }

    /// Stops issuing, for instance after an engine has seen a higher fencing number.
    pub fn give_up(&mut self, now: Now, options: &Options) {
        self.state = State::Idle;
        self.call = None;
        self.next_at = now + options.lease_interval;
    }
}
