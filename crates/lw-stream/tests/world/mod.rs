//! Engines and connections in virtual time, with a fault plan for each attempt.

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

/// A fault of one attempt. Numbers select a token of the attempt, modulo its length.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Cut(u8),
    Error(u8),
    Silent(u8),
    Lose(u8),
    Duplicate(u8),
    Late(u8, u16),
    /// A corrupt event from somewhere else.
    Crossed(u8, Source),
    /// All events of the attempt come from another engine than expected.
    Displaced(Source),
    NoEnd,
    /// The end event arrives before the last tokens.
    EarlyEnd(u8),
    LowEnd,
    HighEnd,
    NotSent,
}

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
        n().prop_map(Fault::Cut),
        n().prop_map(Fault::Error),
        n().prop_map(Fault::Silent),
        n().prop_map(Fault::Lose),
        n().prop_map(Fault::Duplicate),
        (n(), 0..600_u16).prop_map(|(at, ms)| Fault::Late(at, ms)),
        (n(), source()).prop_map(|(at, from)| Fault::Crossed(at, from)),
        source().prop_map(Fault::Displaced),
        Just(Fault::NoEnd),
        n().prop_map(Fault::EarlyEnd),
        Just(Fault::LowEnd),
        Just(Fault::HighEnd),
        Just(Fault::NotSent),
    ]
}

#[derive(Debug, Clone, Copy)]
enum Item {
    Token(TokenIndex, Source),
    End(u64, Source),
    Closed,
    Failed(ResultCode),
    Hedge,
}

type Time = Duration;
/// Time between tokens of a sound engine.
const PACE: Time = Time::from_millis(10);

pub struct World {
    pub now: Time,
    pub text: String,
    pub result: Option<Result<End, ResultCode>>,
    pub open: BTreeSet<Attempt>,
    pub started: u32,
    pub has_run: bool,
    tokens: u64,
    plans: Vec<Vec<Fault>>,
    queue: BTreeMap<(Time, u64), (Attempt, Item)>,
    sequence: u64,
}

impl World {
    pub fn options() -> Options {
        Options { max_attempts: 5, ..Options::default() }
    }

    pub fn expected(&self) -> String {
        (0..self.tokens).map(genuine).collect()
    }

    /// Runs one stream to its end, or for a number of steps that no sound run reaches.
    pub fn run(tokens: u64, plans: Vec<Vec<Fault>>, hedge_after_ms: Option<u32>) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            text: String::new(),
            result: None,
            open: BTreeSet::new(),
            started: 0,
            has_run: false,
            tokens,
            plans,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        let (mut assembler, actions) =
            Assembler::start("r".into(), "v".into(), Self::options(), Time::ZERO);
        if let Some(ms) = hedge_after_ms {
            world.push(Time::from_millis(ms.into()), 0, Item::Hedge);
        }
        world.apply(&mut assembler, actions);
        for _ in 0..10_000 {
            let next = world.queue.keys().next().map(|key| key.0);
            let Some(at) = next.into_iter().chain(assembler.next_tick()).min() else { break };
            world.now = at;
            let actions = if next == Some(at) {
                let (_, (attempt, item)) = world.queue.pop_first().unwrap();
                world.feed(&mut assembler, attempt, item)
            } else {
                assembler.step(at, Event::Tick)
            };
            world.apply(&mut assembler, actions);
        }
        world
    }

    fn push(&mut self, at: Time, attempt: Attempt, item: Item) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (attempt, item));
    }

    fn feed(&mut self, assembler: &mut Assembler, attempt: Attempt, item: Item) -> Vec<Action> {
        // Whatever an abandoned attempt still sends is corrupt, so that accepting it shows.
        let is_sound = self.open.contains(&attempt);
        let event_source = |from| EventSource {
            request: if from == Source::OtherRequest { "other" } else { "r" },
            attempt,
            incarnation: if from == Source::OtherIncarnation { 99 } else { attempt.into() },
            version: if from == Source::OtherVersion { "old" } else { "v" },
        };
        let event = match item {
            Item::Token(index, source) => {
                let is_sound = is_sound && source == Source::Expected;
                let text = if is_sound { genuine(index) } else { "corrupt".into() };
                Event::Token { source: event_source(source), index, text }
            }
            Item::End(tokens, source) => {
                let tokens = if is_sound { tokens } else { assembler.delivered_tokens() };
                let end = End { finish_reason: "stop".into(), tokens, usage: Usage::default() };
                Event::End { source: event_source(source), end }
            }
            Item::Closed => {
                self.open.remove(&attempt);
                Event::Closed { attempt }
            }
            Item::Failed(code) => {
                self.open.remove(&attempt);
                Event::Failed { attempt, code }
            }
            Item::Hedge => Event::Hedge,
        };
        assembler.step(self.now, event)
    }

    fn apply(&mut self, assembler: &mut Assembler, actions: Vec<Action>) {
        for action in actions {
            assert!(self.result.is_none(), "{action:?} after the end");
            match action {
                Action::Deliver { text, .. } => self.text.push_str(&text),
                Action::Start { attempt, resume_from, .. } => {
                    assert_eq!(resume_from, assembler.delivered_tokens());
                    self.started += 1;
                    self.open.insert(attempt);
                    self.engine(assembler, attempt, resume_from);
                }
                Action::Cancel { attempt } => {
                    assert!(self.open.remove(&attempt), "attempt {attempt} was not open");
                }
                Action::Finish(end) => {
                    // The finished attempt is the only one that may still be open.
                    assert!(self.open.pop_first().is_some() && self.open.is_empty());
                    self.result = Some(Ok(end));
                }
                Action::Fail(code) => self.result = Some(Err(code)),
            }
        }
    }

    /// Schedules all that the engine of one attempt sends.
    fn engine(&mut self, assembler: &mut Assembler, attempt: Attempt, from: TokenIndex) {
        let plan = self.plans.get(attempt as usize).cloned().unwrap_or_default();
        if plan.iter().any(|fault| matches!(fault, Fault::NotSent)) {
            return self.push(self.now + PACE, attempt, Item::Failed(ResultCode::NotSent));
        }
        self.has_run = true;
        let started = Event::Started { attempt, incarnation: Some(attempt.into()) };
        assert_eq!(assembler.step(self.now, started), []);
        let length = (self.tokens - from).max(1);
        let pick = |n: u8| from + u64::from(n) % length;
        let begin = self.now + 2 * PACE;
        let at = |index: u64| begin + PACE * u32::try_from(index - from).unwrap();

        let before = |n: u8| at(pick(n)).saturating_sub(PACE);

        let mut source = Source::Expected;
        let mut delay = BTreeMap::new();
        let (mut stop, mut lost, mut has_end) = (self.tokens, None, true);
        let (mut end_at, mut end_tokens) = (at(self.tokens), self.tokens);
        for fault in plan {
            match fault {
                // The close overtakes tokens that are still in flight.
                Fault::Cut(n) => self.push(before(n), attempt, Item::Closed),
                Fault::Error(n) => {
                    self.push(at(pick(n)), attempt, Item::Failed(ResultCode::UpstreamError));
                }
                Fault::Silent(n) => (stop, has_end) = (stop.min(pick(n)), false),
                Fault::Lose(n) => lost = Some(pick(n)),
                Fault::Duplicate(n) if from < self.tokens => {
                    self.push(at(pick(n)) + 3 * PACE, attempt, Item::Token(pick(n), source));
                }
                Fault::Late(n, ms) => drop(delay.insert(pick(n), Time::from_millis(ms.into()))),
                Fault::Crossed(n, from) => {
                    self.push(before(n), attempt, Item::Token(pick(n), from));
                    self.push(before(n), attempt, Item::End(pick(n), from));
                }
                Fault::Displaced(other) => source = other,
                Fault::NoEnd => has_end = false,
                Fault::EarlyEnd(n) => end_at = at(pick(n)),
                Fault::LowEnd => end_tokens = self.tokens / 2,
                Fault::HighEnd => end_tokens = self.tokens + 1,
                Fault::Duplicate(_) | Fault::NotSent => {}
            }
        }
        for index in (from..stop).filter(|&index| Some(index) != lost) {
            let late = delay.get(&index).copied().unwrap_or_default();
            self.push(at(index) + late, attempt, Item::Token(index, source));
        }
        if has_end {
            // A low count is contradicted by tokens that were sent before; an earlier one would be a lie
            // that no receiver can detect.
            let end_at = if end_tokens < self.tokens { at(self.tokens) } else { end_at };
            self.push(end_at, attempt, Item::End(end_tokens, source));
        }
    }
}

fn genuine(index: TokenIndex) -> String {
    format!("മ{index} ")
}
