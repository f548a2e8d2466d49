//! The assembler of one caller's stream.

use std::time::Duration;

use lw_types::prelude::*;

use crate::{
    attempt::{Identity, Live},
    event::{Action, Cause, End, Event, EventSource},
};

/// Limits of one stream.
#[derive(Debug, Clone)]
pub struct Options {
    /// Attempts including the first and hedges.
    pub max_attempts: u32,
    /// Time from the start of an attempt to its first event.
    pub first_event_timeout: Duration,
    /// Time between two events that bring something new.
    pub idle_timeout: Duration,
    /// Time that a missing token may delay later ones.
    pub gap_timeout: Duration,
    /// Tokens held out of order, per attempt.
    pub buffer_tokens: usize,
    /// Bytes of text held out of order, per attempt.
    pub buffer_bytes: usize,
}

impl Default for Options {
    /// First event within the 1.7 s budget with room for a second attempt; the buffer stays under half of the
    /// 16 KiB that a stream may take.
    fn default() -> Self {
        Self {
            max_attempts: 4,
            first_event_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
            gap_timeout: Duration::from_millis(250),
            buffer_tokens: 64,
            buffer_bytes: 4 << 10,
        }
    }
}

/// Assembles one complete, ordered stream from attempts, or ends it with an explicit error.
///
/// ```
/// use std::time::Duration;
/// use lw_stream::{assembler::{Assembler, Options}, event::{Action, Event, EventSource}};
///
/// let now = Duration::ZERO;
/// let (mut assembler, actions) = Assembler::start("r1".into(), "v1".into(), Options::default(), now);
/// assert!(matches!(actions[..], [Action::Start { attempt: 0, resume_from: 0, .. }]));
///
/// let source = EventSource { request: "r1", attempt: 0, incarnation: 7, version: "v1" };
/// let token = Event::Token { source, index: 0, text: "Hello".into() };
/// let expected = Action::Deliver { index: 0, text: "Hello".into() };
/// assert_eq!(assembler.step(now, token), [expected]);
///
/// let actions = assembler.step(now, Event::Closed { attempt: 0 });
/// assert!(matches!(actions[..], [Action::Start { attempt: 1, resume_from: 1, .. }]));
/// ```
#[derive(Debug)]
pub struct Assembler {
    request: RequestId,
    version: String,
    options: Options,
    next: TokenIndex,
    attempts: Vec<Live>,
    started: Attempt,
    remaining: u32,
    may_have_run: bool,
    is_over: bool,
}

impl Assembler {
    /// A stream for `request` from engines with `version` of the weights, and its first action.
    #[must_use]
    pub fn start(
        request: RequestId,
        version: String,
        options: Options,
        now: Now,
    ) -> (Self, Vec<Action>) {
        let mut assembler = Self {
            request,
            version,
            remaining: options.max_attempts,
            options,
            next: 0,
            attempts: Vec::with_capacity(1),
            started: 0,
            may_have_run: false,
            is_over: false,
        };
        let mut out = Vec::new();
        assembler.begin(now, Cause::First, &mut out);
        (assembler, out)
    }

    /// Takes one event and returns what to do, in order.
    pub fn step(&mut self, now: Now, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        if self.is_over {
            return out;
        }
        match event {
            Event::Started { attempt, incarnation } => {
                if let Some(at) = self.position(attempt) {
                    let live = &mut self.attempts[at];
                    live.is_sent = true;
                    live.incarnation = live.incarnation.or(incarnation);
                }
            }
            Event::Token { source, index, text } => self.token(now, source, index, text, &mut out),
            Event::End { source, end } => self.end(now, source, end, &mut out),
            Event::Closed { attempt } => self.lost(now, attempt, Cause::Closed, &mut out),
            Event::Failed { attempt, code } => {
                self.lost(now, attempt, Cause::Failed(code), &mut out);
            }
            Event::StartRefused { attempt, code } => self.denied(attempt, code, &mut out),
            Event::Hedge => {
                if self.next == 0 && self.attempts.len() == 1 && !self.is_exhausted() {
                    self.begin(now, Cause::Hedge, &mut out);
                }
            }
            Event::Abort { code } => self.fail(code, &mut out),
            Event::Tick => {}
        }
        self.expire(now, &mut out);
        out
    }

    /// When the next [`Event::Tick`] is due, or `None` after the stream ended.
    #[must_use]
    pub fn next_tick(&self) -> Option<Now> {
        self.attempts.iter().map(|live| live.expiry(&self.options).0).min()
    }

    /// Tokens delivered so far.
    #[must_use]
    pub fn delivered_tokens(&self) -> TokenIndex {
        self.next
    }

    /// Whether the stream finished or failed.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    fn position(&self, attempt: Attempt) -> Option<usize> {
        self.attempts.iter().position(|live| live.number == attempt)
    }

    fn is_exhausted(&self) -> bool {
        self.remaining == 0
    }

    /// The attempt that an upstream event belongs to; `None` when the event is to be dropped.
    fn accept(
        &mut self,
        now: Now,
        source: EventSource<'_>,
        out: &mut Vec<Action>,
    ) -> Option<usize> {
        if source.request != self.request {
            return None;
        }
        let at = self.position(source.attempt)?;
        match self.attempts[at].identify(&source, &self.version) {
            Identity::Same => Some(at),
            Identity::Foreign => None,
            Identity::WrongEngine => {
                self.abandon(now, source.attempt, Cause::Mismatch, out);
                None
            }
        }
    }

    fn token(
        &mut self,
        now: Now,
        source: EventSource<'_>,
        index: TokenIndex,
        text: String,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.accept(now, source, out) else { return };
        self.attempts[at].note_token(now, index);
        if self.attempts[at].contradicts_itself(self.next) {
            return self.abandon(now, source.attempt, Cause::Mismatch, out);
        }
        if index < self.next {
            return;
        }
        if index > self.next {
            if !self.attempts[at].hold(index, text, &self.options) {
                return self.abandon(now, source.attempt, Cause::Gap, out);
            }
            return self.attempts[at].update_gap(now, false);
        }
        let at = self.keep_only(at, out);
        self.deliver(text, out);
        while let Some(text) = self.attempts[at].take(self.next) {
            self.deliver(text, out);
        }
        self.attempts[at].update_gap(now, true);
        self.finish_if_complete(at, out);
    }

    fn end(&mut self, now: Now, source: EventSource<'_>, end: End, out: &mut Vec<Action>) {
        let Some(at) = self.accept(now, source, out) else { return };
        self.attempts[at].note_end(now, end);
        if self.attempts[at].contradicts_itself(self.next) {
            return self.abandon(now, source.attempt, Cause::Mismatch, out);
        }
        self.attempts[at].update_gap(now, false);
        self.finish_if_complete(at, out);
    }

    fn deliver(&mut self, text: String, out: &mut Vec<Action>) {
        out.push(Action::Deliver { index: self.next, text });
        self.next += 1;
    }

    /// Cancels all attempts but one and returns its new position.
    fn keep_only(&mut self, at: usize, out: &mut Vec<Action>) -> usize {
        if self.attempts.len() > 1 {
            let winner = self.attempts.swap_remove(at);
            self.cancel_all(out);
            self.attempts.push(winner);
        }
        0
    }

    fn cancel_all(&mut self, out: &mut Vec<Action>) {
        out.extend(self.attempts.drain(..).map(|live| Action::Cancel { attempt: live.number }));
    }

    fn finish_if_complete(&mut self, at: usize, out: &mut Vec<Action>) {
        let next = self.next;
        let Some(mut end) = self.attempts[at].end.take_if(|end| end.tokens == next) else { return };
        end.usage.completion_tokens = next;
        self.attempts.swap_remove(at);
        self.cancel_all(out);
        self.is_over = true;
        out.push(Action::Finish(end));
    }

    fn begin(&mut self, now: Now, cause: Cause, out: &mut Vec<Action>) {
        let attempt = self.started;
        self.started += 1;
        self.remaining = self.remaining.saturating_sub(1);
        self.attempts.push(Live::new(attempt, now));
        out.push(Action::Start { attempt, resume_from: self.next, cause });
    }

    /// Gives up an attempt that the engine may still work on.
    fn abandon(&mut self, now: Now, attempt: Attempt, cause: Cause, out: &mut Vec<Action>) {
        if self.position(attempt).is_some() {
            out.push(Action::Cancel { attempt });
            self.lost(now, attempt, cause, out);
        }
    }

    /// Removes an attempt and starts another one when none is left.
    fn lost(&mut self, now: Now, attempt: Attempt, cause: Cause, out: &mut Vec<Action>) {
        let Some(at) = self.position(attempt) else { return };
        self.attempts.swap_remove(at);
        let code = match cause {
            Cause::Failed(code) => code,
            _ => ResultCode::StreamBroken,
        };
        self.may_have_run |= code.ran() != Ran::No;
        if !self.attempts.is_empty() {
            return;
        }
        if self.is_exhausted() || !code.may_retry() {
            return self.fail(code, out);
        }
        self.begin(now, cause, out);
    }

    fn denied(&mut self, attempt: Attempt, code: ResultCode, out: &mut Vec<Action>) {
        let Some(at) = self.position(attempt) else { return };
        self.attempts.swap_remove(at);
        self.remaining += 1;
        if self.attempts.is_empty() {
            self.fail(code, out);
        }
    }

    fn fail(&mut self, code: ResultCode, out: &mut Vec<Action>) {
        // A refusal that says "not run" must be true for all attempts, not only for the last one.
        let may_have_run = self.may_have_run || self.attempts.iter().any(|live| live.is_sent);
        let is_false_refusal = code.ran() == Ran::No && may_have_run;
        self.cancel_all(out);
        self.is_over = true;
        out.push(Action::Fail(if is_false_refusal { ResultCode::StreamBroken } else { code }));
    }

    fn expire(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut at = 0;
        while let Some(live) = self.attempts.get(at) {
            let (due, cause) = live.expiry(&self.options);
            if due <= now {
                self.abandon(now, live.number, cause, out);
                at = 0;
            } else {
                at += 1;
            }
        }
    }
}
