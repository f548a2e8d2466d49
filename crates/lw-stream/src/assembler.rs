//! Assembles one caller's stream of tokens from the events of its attempts.

use std::time::Duration;

use lw_types::prelude::*;

use crate::{
    attempt::{RunningAttempt, SourceMatch},
    event::{Action, Cause, End, Event, EventSource},
};

/// Time between two requests for a replacement of a silent attempt.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Limits of one stream.
#[derive(Debug, Clone)]
pub struct Options {
    /// Largest number of attempts, including the first one and hedges.
    pub max_attempts: u32,
    /// Time from the start of an attempt to its first event after which it counts as silent.
    pub first_event_timeout: Duration,
    /// Time between two events that carry a new token or the end of the answer after which an attempt counts as silent.
    pub idle_timeout: Duration,
    /// Longest time for which an attempt that counts as silent may still go on, unless another one takes its place.
    pub replacement_timeout: Duration,
    /// Longest time for which a missing token may delay the delivery of later ones.
    pub gap_timeout: Duration,
    /// Largest number of out-of-order tokens buffered for one attempt.
    pub buffer_tokens: usize,
    /// Largest number of bytes of out-of-order text buffered for one attempt.
    pub buffer_bytes: usize,
}

impl Default for Options {
    /// A first event is due within 1 s, so that a second attempt still fits into the 1.7 s to first token. The
    /// buffer stays under half of the 16 KiB of memory that a stream may use.
    fn default() -> Self {
        Self {
            max_attempts: 4,
            first_event_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
            replacement_timeout: Duration::from_secs(10),
            gap_timeout: Duration::from_millis(250),
            buffer_tokens: 64,
            buffer_bytes: 4 << 10,
        }
    }
}

/// Assembles one complete, ordered stream from attempts, or ends it with an explicit error.
///
/// It does no input or output: its user passes events to [`Assembler::step`] and carries out the returned actions.
///
/// Silence does not prove that an engine has stopped, and another engine may refuse to take over. A silent attempt
/// therefore keeps running beside its replacement, and the first to produce the next token wins.
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
    /// Index of the next token to deliver.
    next_index: TokenIndex,
    attempts: Vec<RunningAttempt>,
    /// Number of the next attempt to start.
    next_attempt: Attempt,
    remaining_attempts: u32,
    /// Earliest time of the next request for a replacement of a silent attempt.
    next_replacement: Now,
    /// Whether an attempt that has ended may have run at its engine.
    may_have_run: bool,
    is_over: bool,
}

impl Assembler {
    /// Returns the assembler of `request`, which accepts only engines with `version` of the weights, and its first
    /// action.
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
            remaining_attempts: options.max_attempts,
            options,
            next_index: 0,
            attempts: Vec::with_capacity(1),
            next_attempt: 0,
            next_replacement: now,
            may_have_run: false,
            is_over: false,
        };
        let mut out = Vec::new();
        assembler.start_attempt(now, Cause::First, &mut out);
        (assembler, out)
    }

    /// Processes one event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Now, event: Event<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        if self.is_over {
            return out;
        }
        match event {
            Event::Started { attempt, incarnation } => {
                if let Some(at) = self.position(attempt) {
                    let running = &mut self.attempts[at];
                    running.is_sent = true;
                    running.incarnation = running.incarnation.or(incarnation);
                }
            }
            Event::Token { source, index, text } => {
                self.on_token(now, source, index, text, &mut out);
            }
            Event::End { source, end } => self.on_end(now, source, end, &mut out),
            Event::Closed { attempt } => self.replace_lost(now, attempt, Cause::Closed, &mut out),
            Event::Failed { attempt, code } => {
                self.replace_lost(now, attempt, Cause::Failed(code), &mut out);
            }
            Event::StartRefused { attempt, code } => self.on_start_refused(attempt, code, &mut out),
            Event::Hedge => {
                if self.next_index == 0 && self.attempts.len() == 1 && !self.has_no_attempts_left()
                {
                    self.start_attempt(now, Cause::Hedge, &mut out);
                }
            }
            Event::Abort { code } => self.fail(code, &mut out),
            Event::Tick => {}
        }
        self.cancel_expired(now, &mut out);
        if self.replacement_due().is_some_and(|due| due <= now) {
            self.next_replacement = now + REPLACEMENT_INTERVAL;
            self.start_attempt(now, Cause::Unresponsive, &mut out);
        }
        out
    }

    /// Returns when the next [`Event::Tick`] is due, or `None` after the stream ended.
    #[must_use]
    pub fn next_tick(&self) -> Option<Now> {
        let expiries = self.attempts.iter().flat_map(|running| {
            [Some(running.expires_at(&self.options)), running.gap_expires_at(&self.options)]
        });
        expiries.chain([self.replacement_due()]).flatten().min()
    }

    /// Returns when the next replacement of silent attempts is due, or `None` if no attempt is running or left.
    fn replacement_due(&self) -> Option<Now> {
        if self.has_no_attempts_left() {
            return None;
        }
        let all_silent_at =
            self.attempts.iter().map(|running| running.silent_at(&self.options)).max()?;
        Some(all_silent_at.max(self.next_replacement))
    }

    fn all_silent(&self, now: Now) -> bool {
        self.attempts.iter().all(|running| running.silent_at(&self.options) <= now)
    }

    /// Returns the number of tokens delivered so far.
    #[must_use]
    pub fn delivered_tokens(&self) -> TokenIndex {
        self.next_index
    }

    /// Whether the stream finished or failed.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    fn position(&self, attempt: Attempt) -> Option<usize> {
        self.attempts.iter().position(|running| running.number == attempt)
    }

    fn has_no_attempts_left(&self) -> bool {
        self.remaining_attempts == 0
    }

    /// Returns the position of the attempt that an upstream event belongs to, or `None` when the event must be
    /// ignored. An attempt whose first event comes from the wrong engine is cancelled.
    fn find_attempt(
        &mut self,
        now: Now,
        source: EventSource<'_>,
        out: &mut Vec<Action>,
    ) -> Option<usize> {
        if source.request != self.request {
            return None;
        }
        let at = self.position(source.attempt)?;
        match self.attempts[at].check_source(&source, &self.version) {
            SourceMatch::Same => Some(at),
            SourceMatch::Unrelated => None,
            SourceMatch::WrongEngine => {
                self.cancel_and_replace(now, source.attempt, Cause::Mismatch, out);
                None
            }
        }
    }

    fn on_token(
        &mut self,
        now: Now,
        source: EventSource<'_>,
        index: TokenIndex,
        text: String,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.find_attempt(now, source, out) else { return };
        self.attempts[at].record_token(now, index);
        if self.attempts[at].has_inconsistent_length(self.next_index) {
            return self.cancel_and_replace(now, source.attempt, Cause::Mismatch, out);
        }
        if index < self.next_index {
            return;
        }
        if index > self.next_index {
            if !self.attempts[at].buffer_token(index, text, &self.options) {
                return self.cancel_and_replace(now, source.attempt, Cause::Gap, out);
            }
            return self.attempts[at].update_gap_timer(now, false);
        }
        let at = self.cancel_others(at, out);
        self.deliver(text, out);
        while let Some(text) = self.attempts[at].take_buffered(self.next_index) {
            self.deliver(text, out);
        }
        self.attempts[at].update_gap_timer(now, true);
        self.finish_if_complete(at, out);
    }

    fn on_end(&mut self, now: Now, source: EventSource<'_>, end: End, out: &mut Vec<Action>) {
        let Some(at) = self.find_attempt(now, source, out) else { return };
        self.attempts[at].record_end(now, end);
        if self.attempts[at].has_inconsistent_length(self.next_index) {
            return self.cancel_and_replace(now, source.attempt, Cause::Mismatch, out);
        }
        self.attempts[at].update_gap_timer(now, false);
        self.finish_if_complete(at, out);
    }

    /// Delivers the next token.
    fn deliver(&mut self, text: String, out: &mut Vec<Action>) {
        out.push(Action::Deliver { index: self.next_index, text });
        self.next_index += 1;
    }

    /// Cancels all attempts but the one at position `at` and returns its new position.
    fn cancel_others(&mut self, at: usize, out: &mut Vec<Action>) -> usize {
        if self.attempts.len() > 1 {
            let winner = self.attempts.swap_remove(at);
            self.cancel_all(out);
            self.attempts.push(winner);
        }
        0
    }

    fn cancel_all(&mut self, out: &mut Vec<Action>) {
        out.extend(
            self.attempts.drain(..).map(|running| Action::Cancel { attempt: running.number }),
        );
    }

    fn finish_if_complete(&mut self, at: usize, out: &mut Vec<Action>) {
        let next = self.next_index;
        let Some(mut end) = self.attempts[at].end.take_if(|end| end.tokens == next) else { return };
        end.usage.completion_tokens = next;
        self.attempts.swap_remove(at);
        self.cancel_all(out);
        self.is_over = true;
        out.push(Action::Finish(end));
    }

    fn start_attempt(&mut self, now: Now, cause: Cause, out: &mut Vec<Action>) {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.remaining_attempts = self.remaining_attempts.saturating_sub(1);
        self.attempts.push(RunningAttempt::new(attempt, now));
        out.push(Action::Start { attempt, resume_from: self.next_index, cause });
    }

    /// Cancels an attempt that an engine may still work on, and starts another one when none is left but silent ones.
    fn cancel_and_replace(
        &mut self,
        now: Now,
        attempt: Attempt,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        if self.position(attempt).is_some() {
            out.push(Action::Cancel { attempt });
            self.replace_lost(now, attempt, cause, out);
        }
    }

    /// Removes an attempt that ended early. When none is left but silent ones, starts another one. Fails the stream if
    /// that is not possible and none is left at all.
    fn replace_lost(&mut self, now: Now, attempt: Attempt, cause: Cause, out: &mut Vec<Action>) {
        let Some(at) = self.position(attempt) else { return };
        self.attempts.swap_remove(at);
        let code = match cause {
            Cause::Failed(code) => code,
            _ => ResultCode::StreamBroken,
        };
        self.may_have_run |= code.executed() != Executed::No;
        if !self.all_silent(now) {
            return;
        }
        if !self.has_no_attempts_left() && code.may_retry() {
            return self.start_attempt(now, cause, out);
        }
        if self.attempts.is_empty() {
            self.fail(code, out);
        }
    }

    /// Removes an attempt that was not made; it does not count against the largest number of attempts.
    fn on_start_refused(&mut self, attempt: Attempt, code: ResultCode, out: &mut Vec<Action>) {
        let Some(at) = self.position(attempt) else { return };
        self.attempts.swap_remove(at);
        self.remaining_attempts += 1;
        if self.attempts.is_empty() {
            self.fail(code, out);
        }
    }

    /// Cancels all attempts and ends the stream with an error.
    fn fail(&mut self, code: ResultCode, out: &mut Vec<Action>) {
        // A result code that says "not run" must hold for all attempts, not only for the last one.
        let may_have_run = self.may_have_run || self.attempts.iter().any(|running| running.is_sent);
        let is_refusal_after_run = code.executed() == Executed::No && may_have_run;
        self.cancel_all(out);
        self.is_over = true;
        out.push(Action::Fail(if is_refusal_after_run { ResultCode::StreamBroken } else { code }));
    }

    /// Cancels attempts with a missing token, and those that were silent for too long.
    fn cancel_expired(&mut self, now: Now, out: &mut Vec<Action>) {
        while let Some((attempt, cause)) = self.find_expired(now) {
            self.cancel_and_replace(now, attempt, cause, out);
        }
    }

    fn find_expired(&self, now: Now) -> Option<(Attempt, Cause)> {
        self.attempts.iter().find_map(|running| {
            if running.gap_expires_at(&self.options).is_some_and(|at| at <= now) {
                return Some((running.number, Cause::Gap));
            }
            let has_expired = running.expires_at(&self.options) <= now;
            has_expired.then_some((running.number, Cause::Unresponsive))
        })
    }
}
