//! Simulates engines and connections in virtual time, with a list of faults for each attempt.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lw_stream::{
    assembler::{Assembler, Options},
    event::{Action, End, Event, EventSource, Usage},
};
use lw_types::prelude::*;
use proptest::prelude::*;

/// A fault of one attempt. A number of type `u8` selects a token of the attempt, modulo its length.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The connection closes just before the token arrives.
    Close(u8),
    /// The engine reports an error at the token.
    Error(u8),
    /// The engine sends nothing from the token on, while the connection stays open.
    Hang(u8),
    Drop(u8),
    Duplicate(u8),
    /// The token arrives later by this number of milliseconds.
    Delay(u8, u16),
    /// The engine pauses for this number of milliseconds before the token.
    Pause(u8, u16),
    /// A corrupt token and a corrupt end event arrive from another source.
    StrayEvents(u8, Source),
    /// All events of the attempt come from another engine than expected.
    WrongSource(Source),
    NoEnd,
    /// The end event arrives before the last tokens.
    EarlyEnd(u8),
    /// The end event gives half of the token count.
    EndCountTooLow,
    /// The end event gives one token too many.
    EndCountTooHigh,
    /// The attempt does not reach the engine.
    NotSent,
}

/// The source that an event names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Source {
    Expected,
    OtherRequest,
    OtherVersion,
    OtherIncarnation,
}

fn source() -> impl Strategy<Value = Source> {
    prop::sample::select(vec![Source::OtherRequest, Source::OtherVersion, Source::OtherIncarnation])
}

pub fn fault() -> impl Strategy<Value = Fault> {
    let n = any::<u8>;
    prop_oneof![
        n().prop_map(Fault::Close),
        n().prop_map(Fault::Error),
        n().prop_map(Fault::Hang),
        n().prop_map(Fault::Drop),
        n().prop_map(Fault::Duplicate),
        (n(), 0..600_u16).prop_map(|(at, ms)| Fault::Delay(at, ms)),
        (n(), source()).prop_map(|(at, from)| Fault::StrayEvents(at, from)),
        source().prop_map(Fault::WrongSource),
        Just(Fault::NoEnd),
        n().prop_map(Fault::EarlyEnd),
        Just(Fault::EndCountTooLow),
        Just(Fault::EndCountTooHigh),
        Just(Fault::NotSent),
    ]
}

/// An event that is due at a scheduled time.
#[derive(Debug, Clone, Copy)]
enum Scheduled {
    Token(TokenIndex, Source),
    End(u64, Source),
    Closed,
    Failed(ResultCode),
    Hedge,
}

type Time = Duration;
/// Time between two tokens of an engine without faults.
const TOKEN_INTERVAL: Time = Time::from_millis(10);

pub struct Simulation {
    pub now: Time,
    pub delivered_text: String,
    pub result: Option<Result<End, ResultCode>>,
    pub open_attempts: BTreeSet<Attempt>,
    pub started_attempts: u32,
    pub has_run: bool,
    /// Length of the answer in tokens.
    tokens: u64,
    plans: Vec<Vec<Fault>>,
    queue: BTreeMap<(Time, u64), (Attempt, Scheduled)>,
    sequence: u64,
}

impl Simulation {
    pub fn options() -> Options {
        Options { max_attempts: 5, ..Options::default() }
    }

    pub fn expected_text(&self) -> String {
        (0..self.tokens).map(expected_token).collect()
    }

    /// Runs one stream to its end, or for 10,000 steps, which only a stream that does not end can reach.
    pub fn run(tokens: u64, plans: Vec<Vec<Fault>>, hedge_after_ms: Option<u32>) -> Self {
        let mut simulation = Self {
            now: Time::ZERO,
            delivered_text: String::new(),
            result: None,
            open_attempts: BTreeSet::new(),
            started_attempts: 0,
            has_run: false,
            tokens,
            plans,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        let (mut assembler, actions) =
            Assembler::start("r".into(), "v".into(), Self::options(), Time::ZERO);
        if let Some(ms) = hedge_after_ms {
            simulation.push(Time::from_millis(ms.into()), 0, Scheduled::Hedge);
        }
        simulation.apply(&mut assembler, actions);
        for _ in 0..10_000 {
            let next = simulation.queue.keys().next().map(|key| key.0);
            let Some(at) = next.into_iter().chain(assembler.next_tick()).min() else { break };
            simulation.now = at;
            let actions = if next == Some(at) {
                let (_, (attempt, item)) = simulation.queue.pop_first().unwrap();
                simulation.step_with(&mut assembler, attempt, item)
            } else {
                assembler.step(at, Event::Tick)
            };
            simulation.apply(&mut assembler, actions);
        }
        simulation
    }

    fn push(&mut self, at: Time, attempt: Attempt, item: Scheduled) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (attempt, item));
    }

    fn step_with(
        &mut self,
        assembler: &mut Assembler,
        attempt: Attempt,
        item: Scheduled,
    ) -> Vec<Action> {
        // Events of a cancelled attempt are corrupt, so that a test fails when the assembler accepts one.
        let is_valid = self.open_attempts.contains(&attempt);
        let event_source = |from| EventSource {
            request: if from == Source::OtherRequest { "other" } else { "r" },
            attempt,
            incarnation: if from == Source::OtherIncarnation { 99 } else { attempt.into() },
            version: if from == Source::OtherVersion { "old" } else { "v" },
        };
        let event = match item {
            Scheduled::Token(index, source) => {
                let is_valid = is_valid && source == Source::Expected;
                let text = if is_valid { expected_token(index) } else { "corrupt".into() };
                Event::Token { source: event_source(source), index, text }
            }
            Scheduled::End(tokens, source) => {
                let tokens = if is_valid { tokens } else { assembler.delivered_tokens() };
                let end = End { finish_reason: "stop".into(), tokens, usage: Usage::default() };
                Event::End { source: event_source(source), end }
            }
            Scheduled::Closed => {
                self.open_attempts.remove(&attempt);
                Event::Closed { attempt }
            }
            Scheduled::Failed(code) => {
                self.open_attempts.remove(&attempt);
                Event::Failed { attempt, code }
            }
            Scheduled::Hedge => Event::Hedge,
        };
        assembler.step(self.now, event)
    }

    fn apply(&mut self, assembler: &mut Assembler, actions: Vec<Action>) {
        for action in actions {
            assert!(self.result.is_none(), "{action:?} after the end");
            match action {
                Action::Deliver { text, .. } => self.delivered_text.push_str(&text),
                Action::Start { attempt, resume_from, .. } => {
                    assert_eq!(resume_from, assembler.delivered_tokens());
                    self.started_attempts += 1;
                    self.open_attempts.insert(attempt);
                    self.schedule_attempt(assembler, attempt, resume_from);
                }
                Action::Cancel { attempt } => {
                    assert!(self.open_attempts.remove(&attempt), "attempt {attempt} was not open");
                }
                Action::Finish(end) => {
                    // Only the attempt that completed the answer may still be open.
                    assert!(
                        self.open_attempts.pop_first().is_some() && self.open_attempts.is_empty()
                    );
                    self.result = Some(Ok(end));
                }
                Action::Fail(code) => self.result = Some(Err(code)),
            }
        }
    }

    /// Schedules all events that the engine and the connection of one attempt produce.
    fn schedule_attempt(
        &mut self,
        assembler: &mut Assembler,
        attempt: Attempt,
        resume_from: TokenIndex,
    ) {
        let plan = self.plans.get(attempt as usize).cloned().unwrap_or_default();
        if plan.iter().any(|fault| matches!(fault, Fault::NotSent)) {
            return self.push(
                self.now + TOKEN_INTERVAL,
                attempt,
                Scheduled::Failed(ResultCode::NotSent),
            );
        }
        self.has_run = true;
        let started = Event::Started { attempt, incarnation: Some(attempt.into()) };
        assert_eq!(assembler.step(self.now, started), []);
        let length = (self.tokens - resume_from).max(1);
        let token = |n: u8| resume_from + u64::from(n) % length;
        let begin = self.now + 2 * TOKEN_INTERVAL;
        let at = |index: u64| begin + TOKEN_INTERVAL * u32::try_from(index - resume_from).unwrap();

        let just_before = |n: u8| at(token(n)).saturating_sub(TOKEN_INTERVAL);

        let mut source = Source::Expected;
        let mut delay = BTreeMap::new();
        let (mut stop, mut dropped, mut has_end) = (self.tokens, None, true);
        let (mut end_at, mut end_tokens) = (at(self.tokens), self.tokens);
        let (mut pause_from, mut pause) = (self.tokens, Time::ZERO);
        for fault in plan {
            match fault {
                // The close is processed before tokens that were sent earlier.
                Fault::Close(n) => self.push(just_before(n), attempt, Scheduled::Closed),
                Fault::Error(n) => {
                    self.push(at(token(n)), attempt, Scheduled::Failed(ResultCode::UpstreamError));
                }
                Fault::Hang(n) => (stop, has_end) = (stop.min(token(n)), false),
                Fault::Drop(n) => dropped = Some(token(n)),
                Fault::Duplicate(n) if resume_from < self.tokens => {
                    self.push(
                        at(token(n)) + 3 * TOKEN_INTERVAL,
                        attempt,
                        Scheduled::Token(token(n), source),
                    );
                }
                Fault::Delay(n, ms) => drop(delay.insert(token(n), Time::from_millis(ms.into()))),
                Fault::Pause(n, ms) => {
                    pause_from = token(n);
                    pause = Time::from_millis(ms.into());
                }
                Fault::StrayEvents(n, stray) => {
                    self.push(just_before(n), attempt, Scheduled::Token(token(n), stray));
                    self.push(just_before(n), attempt, Scheduled::End(token(n), stray));
                }
                Fault::WrongSource(other) => source = other,
                Fault::NoEnd => has_end = false,
                Fault::EarlyEnd(n) => end_at = at(token(n)),
                Fault::EndCountTooLow => end_tokens = self.tokens / 2,
                Fault::EndCountTooHigh => end_tokens = self.tokens + 1,
                Fault::Duplicate(_) | Fault::NotSent => {}
            }
        }
        for index in (resume_from..stop).filter(|&index| Some(index) != dropped) {
            let mut late_by = delay.get(&index).copied().unwrap_or_default();
            if index >= pause_from {
                late_by += pause;
            }
            self.push(at(index) + late_by, attempt, Scheduled::Token(index, source));
        }
        if has_end {
            // A count that is too low is sent after all tokens, which contradict it. Sent earlier, it could not be
            // distinguished from a correct one.
            let end_at = if end_tokens < self.tokens { at(self.tokens) } else { end_at };
            self.push(end_at + pause, attempt, Scheduled::End(end_tokens, source));
        }
    }
}

fn expected_token(index: TokenIndex) -> String {
    format!("മ{index} ")
}
