//! Turns that a VM without enough turns of its own borrows from one with a share that it does not use.
//!
//! The lender counts a turn when it lends it, and the borrower may use it until shortly after it asked, so that a turn is
//! late at most. A turn whose message is lost is not used at all.

use std::time::Duration;

use lw_types::prelude::*;

/// Time after a VM asked for a turn until which it may use it.
const LOAN_TIME: Duration = Duration::from_millis(500);

/// Turns that a VM asked for and those that it has borrowed.
#[derive(Debug, Default)]
pub(super) struct Loans {
    /// Number of each request for a turn, and when it was made.
    asked: Vec<(u64, Now)>,
    /// Until when each borrowed turn may be used.
    borrowed: Vec<Now>,
    /// Borrowed turns that were used since the last request for further ones.
    used: usize,
}

impl Loans {
    /// Records a request for a turn.
    pub fn ask(&mut self, now: Now, nonce: u64) {
        self.asked.retain(|(_, at)| now < *at + LOAN_TIME);
        self.asked.push((nonce, now));
    }

    /// Records the turn that another VM lent on a request. Returns whether it is used.
    pub fn accept(&mut self, now: Now, nonce: u64) -> bool {
        let Some(index) = self.asked.iter().position(|(asked, _)| *asked == nonce) else {
            return false;
        };
        let (_, asked_at) = self.asked.swap_remove(index);
        let until = asked_at + LOAN_TIME;
        if now < until {
            self.borrowed.push(until);
        }
        now < until
    }

    /// Whether there is a borrowed turn.
    pub fn has_turn(&self, now: Now) -> bool {
        self.borrowed.iter().any(|until| now < *until)
    }

    /// Uses a borrowed turn, if there is one.
    pub fn take_turn(&mut self, now: Now) -> bool {
        self.borrowed.retain(|until| now < *until);
        let has_turn = self.borrowed.pop().is_some();
        self.used += usize::from(has_turn);
        has_turn
    }

    /// Returns how many borrowed turns were used since the last call.
    pub fn take_used(&mut self) -> usize {
        std::mem::take(&mut self.used)
    }

    /// Voids all turns, since the limit has changed.
    pub fn clear(&mut self) {
        self.asked.clear();
        self.borrowed.clear();
    }
}
