//! A sound prompt that engines meet as they crash for other reasons, and whose callers send it again.

use std::time::Duration;

use super::{Fleet, Request};

/// Segments of the prompt.
const PROMPT: [u64; 2] = [1, 3_000_000];

/// When the prompt is sent and how many engines crash with it.
#[derive(Debug, Clone)]
pub struct Unlucky {
    /// When it is sent first.
    pub from: Duration,
    /// Engines that crash as they begin to answer it.
    pub crashes: usize,
    /// Time after which it is sent again after such a crash.
    pub return_time: Duration,
}

/// What its caller saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub crashes: Vec<Duration>,
    /// Requests sent since the last of the crashes.
    pub tries: usize,
    pub answered_at: Option<Duration>,
    /// When it is sent next.
    next: Option<Duration>,
}

impl Seen {
    pub(super) fn record_sound(&mut self, now: Duration, segments: &[u64]) {
        if segments == PROMPT {
            self.answered_at.get_or_insert(now);
        }
    }
}

impl Fleet {
    pub(super) fn send_unlucky(&mut self) {
        let Some(unlucky) = &self.options.unlucky else { return };
        let seen = &mut self.outcome.unlucky;
        if seen.next.get_or_insert(unlucky.from) > &mut self.now {
            return;
        }
        seen.next = Some(Duration::MAX);
        seen.tries += 1;
        let vm = self.rng.usize(..self.vms.len());
        let attempts = self.options.attempts;
        self.place(Request { segments: PROMPT.to_vec(), vm, attempts, retries: 0 });
    }

    pub(super) fn is_unlucky(&mut self, engine: usize) -> bool {
        let Some(unlucky) = &self.options.unlucky else { return false };
        let is_begun = |attempt: &super::Attempt| {
            attempt.request.segments == PROMPT && attempt.begins_at <= self.now
        };
        let seen = &mut self.outcome.unlucky;
        let is_hit = seen.crashes.len() < unlucky.crashes
            && self.engines[engine].in_flight.iter().any(is_begun);
        if is_hit {
            seen.crashes.push(self.now);
            seen.tries = 0;
        }
        is_hit
    }

    pub(super) fn on_unlucky_refused(&mut self, request: &Request, retry_time: Duration) {
        if request.segments == PROMPT {
            self.outcome.unlucky.next = Some(self.now + retry_time);
        }
    }

    pub(super) fn on_unlucky_broken(&mut self, request: &Request) {
        if let Some(unlucky) = self.options.unlucky.as_ref().filter(|_| request.segments == PROMPT)
        {
            self.outcome.unlucky.next = Some(self.now + unlucky.return_time);
        }
    }
}
