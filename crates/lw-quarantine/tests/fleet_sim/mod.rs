//! VMs, engines and callers in virtual time. Messages between VMs are delayed and lost, VMs restart, the store is away,
//! and engines crash by requests and for other reasons.

#![allow(dead_code, reason = "each test file uses only some of these")]

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use fastrand::Rng;
use lw_quarantine::{Action, Quarantine, SegmentSet, StoredSet, Suspect};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

pub use unlucky::Unlucky;

mod unlucky;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Time for which an engine is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(3_300);
/// Time from the start of an answer from which on it counts as sound.
const SOUND_TIME: Duration = Duration::from_millis(250);
/// Period in which VMs decide.
const POLL_STEPS: u64 = 5;
/// First of the segments that crash engines.
pub const DEADLY: u64 = 900_000;

/// Returns how a property runs: with this many cases, unless `PROPTEST_CASES` is set.
pub fn config(cases: u32, seed: u64) -> ProptestConfig {
    let config = ProptestConfig::default();
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { config.cases } else { cases };
    ProptestConfig { cases, failure_persistence: None, rng_seed: RngSeed::Fixed(seed), ..config }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Copies of one request that crashes engines.
#[derive(Debug, Clone)]
pub struct Copies {
    /// Segments before the one that crashes engines.
    pub prefix: Vec<u64>,
    /// Time between two bursts.
    pub period: Duration,
    /// Copies that are sent at the same moment.
    pub burst: usize,
}

/// Load and faults of one run.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "each is an option of its own")]
pub struct Options {
    pub seed: u64,
    pub vms: usize,
    pub engines: usize,
    /// Sound requests a second.
    pub sound_rate: f64,
    /// Requests a second for each segment that crashes engines.
    pub deadly_rate: f64,
    /// When the first of them may arrive.
    pub deadly_from: Duration,
    /// Segments that crash engines.
    pub deadly_segments: u64,
    /// Copies of one request with the first of these segments, sent from `deadly_from` on.
    pub copies: Option<Copies>,
    /// A sound prompt whose engines crash for other reasons.
    pub unlucky: Option<Unlucky>,
    /// Whether an answer to a request with the prompt of the copies was sound before, as to one of the same session.
    pub copies_once_sound: bool,
    /// Whether copies of a second request are sent beside them, with another deadly segment.
    pub has_twin_copies: bool,
    /// Whether VMs are ranked by when they started, the latest first, as in the store.
    pub are_ranked_by_start: bool,
    /// Longest time for which a request waits at its engine.
    pub wait_max: Duration,
    /// First segments that prompts share.
    pub first_segments: u64,
    /// Whether deadly requests always have the same first segment.
    pub has_fixed_first: bool,
    /// Attempts of a request.
    pub attempts: u32,
    /// Fraction of the messages between VMs that are lost.
    pub loss: f64,
    /// Longest delay of a message.
    pub delay_max: Duration,
    /// Crashes a second for other reasons.
    pub other_crash_rate: f64,
    /// Times at which half of the engines crash at the same moment.
    pub outages: Vec<Duration>,
    /// Time between two restarts of VMs, in turn.
    pub restart_period: Option<Duration>,
    /// When the store cannot be reached.
    pub store_away: Option<(Duration, Duration)>,
    pub run_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            vms: 9,
            engines: 14,
            sound_rate: 60.0,
            deadly_rate: 2.0,
            deadly_from: ms(3_000),
            deadly_segments: 1,
            copies: None,
            unlucky: None,
            copies_once_sound: false,
            has_twin_copies: false,
            are_ranked_by_start: false,
            wait_max: ms(400),
            first_segments: 60,
            has_fixed_first: true,
            attempts: 2,
            loss: 0.05,
            delay_max: ms(50),
            other_crash_rate: 0.0,
            outages: Vec::new(),
            restart_period: None,
            store_away: None,
            run_time: ms(30_000),
        }
    }
}

/// What callers and engines saw.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Times of the crashes that requests caused, by deadly segment.
    pub crashes: BTreeMap<u64, Vec<Duration>>,
    /// Times and VMs of deadly requests that reached engines, by segment.
    pub arrivals: BTreeMap<u64, Vec<(Duration, usize)>>,
    /// When each VM started last before each time: starts by VM.
    pub starts: Vec<Vec<Duration>>,
    /// Refusals of sound requests, with their times.
    pub sound_refused: Vec<Duration>,
    pub sound_sent: usize,
    /// Sets that are quarantined at the end, by VM.
    pub quarantined: Vec<Vec<SegmentSet>>,
    pub unlucky: unlucky::Seen,
}

impl Outcome {
    /// Deadly requests that reached engines later than `reaction` after this crash by their segment, counted from one,
    /// from VMs that had been running for that time.
    pub fn late_arrivals(&self, crash: usize, reaction: Duration) -> usize {
        let late = |(segment, arrivals): (&u64, &Vec<(Duration, usize)>)| {
            let crash = self.crashes.get(segment).and_then(|crashes| crashes.get(crash - 1));
            let Some(crash) = crash else { return 0 };
            let is_in_touch = |at: Duration, vm: usize| {
                let started = self.starts[vm].iter().rev().find(|start| **start <= at);
                started.is_some_and(|start| start.is_zero() || *start + reaction <= at)
            };
            let is_late =
                |(at, vm): &&(Duration, usize)| *at > *crash + reaction && is_in_touch(*at, *vm);
            arrivals.iter().filter(is_late).count()
        };
        self.arrivals.iter().map(late).sum()
    }
}

#[derive(Debug, Clone)]
struct Request {
    segments: Vec<u64>,
    vm: usize,
    /// Attempts left to the VM.
    attempts: u32,
    /// Retries left to the caller.
    retries: u32,
}

#[derive(Debug)]
struct Attempt {
    id: u64,
    request: Request,
    begins_at: Duration,
    ends_at: Duration,
}

#[derive(Debug, Default)]
struct Engine {
    down_until: Duration,
    in_flight: Vec<Attempt>,
}

#[derive(Debug, Clone)]
enum Message {
    Down(String),
    Action(String, Action),
}

pub struct Fleet {
    options: Options,
    rng: Rng,
    now: Duration,
    vms: Vec<Quarantine>,
    engines: Vec<Engine>,
    store: HashMap<SegmentSet, StoredSet>,
    /// The store as each VM sees it, which lags.
    views: Vec<HashMap<SegmentSet, StoredSet>>,
    revision: u64,
    messages: BTreeMap<(Duration, u64), (usize, Message)>,
    message_count: u64,
    attempt_count: u64,
    own_segments: u64,
    outcome: Outcome,
}

fn engine_name(n: usize) -> String {
    format!("engine-{n}")
}

fn vm_name(n: usize) -> String {
    format!("vm-{n}")
}

impl Fleet {
    pub fn run(options: Options) -> Outcome {
        let mut fleet = Self {
            rng: Rng::with_seed(options.seed),
            now: Duration::ZERO,
            vms: (0..options.vms).map(|n| Quarantine::new(vm_name(n))).collect(),
            engines: (0..options.engines).map(|_| Engine::default()).collect(),
            store: HashMap::new(),
            views: vec![HashMap::new(); options.vms],
            revision: 1,
            messages: BTreeMap::new(),
            message_count: 0,
            attempt_count: 0,
            own_segments: 1_000_000,
            outcome: Outcome {
                starts: vec![vec![Duration::ZERO]; options.vms],
                ..Outcome::default()
            },
            options,
        };
        while fleet.now < fleet.options.run_time && fleet.outcome.unlucky.answered_at.is_none() {
            fleet.step();
        }
        let sets = |vm: &Quarantine| vm.sets(fleet.now).map(|(set, _)| set.clone()).collect();
        fleet.outcome.quarantined = fleet.vms.iter().map(sets).collect();
        fleet.outcome
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.restart();
        self.arrive();
        self.crash_for_other_reasons();
        for engine in 0..self.engines.len() {
            self.work(engine);
        }
        let steps = u64::try_from(self.now.as_millis() / STEP.as_millis()).unwrap();
        if steps.is_multiple_of(POLL_STEPS) {
            (0..self.vms.len()).for_each(|vm| self.poll(vm));
        }
    }

    fn is_store_away(&self) -> bool {
        self.options.store_away.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    fn happens(&mut self, rate: f64) -> bool {
        self.rng.f64() < rate * STEP.as_secs_f64()
    }

    fn restart(&mut self) {
        let Some(period) = self.options.restart_period else { return };
        if !self.now.as_millis().is_multiple_of(period.as_millis()) {
            return;
        }
        let turn = usize::try_from(self.now.as_millis() / period.as_millis()).unwrap();
        let vm = turn % self.vms.len();
        // A VM without the store serves nothing, so it is not restarted here.
        if !self.is_store_away() {
            self.vms[vm] = Quarantine::new(vm_name(vm));
            self.views[vm] = self.store.clone();
            self.outcome.starts[vm].push(self.now);
        }
    }

    fn arrive(&mut self) {
        for deadly in 0..self.options.deadly_segments {
            let is_deadly = self.happens(self.options.deadly_rate);
            if is_deadly && self.now >= self.options.deadly_from {
                let first = if self.options.has_fixed_first { 1 } else { self.first_segment() };
                let own = self.own_segment();
                self.receive(vec![first, DEADLY + deadly, own]);
            }
        }
        self.send_copies();
        self.send_unlucky();
        let mut left = self.options.sound_rate * STEP.as_secs_f64();
        while self.rng.f64() < left {
            left -= 1.0;
            let segments = vec![self.first_segment(), self.own_segment()];
            self.outcome.sound_sent += 1;
            self.receive(segments);
        }
    }

    fn send_copies(&mut self) {
        let Some(copies) = self.options.copies.clone() else { return };
        if self.options.copies_once_sound && self.now + ms(1_000) == self.options.deadly_from {
            let segments = [&copies.prefix[..], &[DEADLY]].concat();
            let vm = self.rng.usize(..self.vms.len());
            self.vms[vm].record_sound(self.now, &segments);
        }
        let since = self.now.checked_sub(self.options.deadly_from);
        if since.is_some_and(|since| since.as_millis().is_multiple_of(copies.period.as_millis())) {
            let segments = [copies.prefix, vec![DEADLY]].concat();
            (0..copies.burst).for_each(|_| self.receive(segments.clone()));
            if self.options.has_twin_copies {
                let segments = [&segments[..segments.len() - 1], &[DEADLY + 1]].concat();
                (0..copies.burst).for_each(|_| self.receive(segments.clone()));
            }
        }
    }

    /// A quarter of the requests have the first segment that the deadly ones may have too.
    fn first_segment(&mut self) -> u64 {
        if self.rng.u8(..) < 64 { 1 } else { self.rng.u64(1..=self.options.first_segments) }
    }

    fn own_segment(&mut self) -> u64 {
        self.own_segments += 1;
        self.own_segments
    }

    fn receive(&mut self, segments: Vec<u64>) {
        let vm = self.rng.usize(..self.vms.len());
        self.place(Request { segments, vm, attempts: self.options.attempts, retries: 1 });
    }

    fn place(&mut self, request: Request) {
        let deadly = deadly_segment(&request.segments);
        let vm = &mut self.vms[request.vm];
        let time_left = vm.time_left(self.now, &request.segments);
        let begun = time_left.map_or_else(|| vm.try_begin(self.now, &request.segments), Err);
        if let Err(retry_time) = begun {
            if deadly.is_none() {
                self.outcome.sound_refused.push(self.now);
            }
            return self.on_unlucky_refused(&request, retry_time);
        }
        let up: Vec<_> =
            (0..self.engines.len()).filter(|n| self.engines[*n].down_until <= self.now).collect();
        let Some(engine) = self.rng.choice(up) else { return };
        if let Some(segment) = deadly {
            self.outcome.arrivals.entry(segment).or_default().push((self.now, request.vm));
        }
        self.attempt_count += 1;
        let wait_max = u64::try_from(self.options.wait_max.as_millis()).unwrap();
        let begins_at = self.now + ms(self.rng.u64(40..wait_max));
        let ends_at = begins_at + ms(self.rng.u64(100..1_500));
        let attempt = Attempt { id: self.attempt_count, request, begins_at, ends_at };
        self.engines[engine].in_flight.push(attempt);
    }

    fn work(&mut self, engine: usize) {
        let now = self.now;
        let begun = |attempt: &Attempt| attempt.begins_at <= now;
        let mut deadly = self.engines[engine].in_flight.iter().filter(|attempt| begun(attempt));
        let deadly = deadly.find_map(|attempt| deadly_segment(&attempt.request.segments));
        if let Some(segment) = deadly {
            self.outcome.crashes.entry(segment).or_default().push(now);
            return self.crash(engine);
        }
        if self.is_unlucky(engine) {
            return self.crash(engine);
        }
        for attempt in &self.engines[engine].in_flight {
            if attempt.begins_at + SOUND_TIME <= now && now < attempt.begins_at + SOUND_TIME + STEP
            {
                self.vms[attempt.request.vm].record_sound(now, &attempt.request.segments);
                self.outcome.unlucky.record_sound(now, &attempt.request.segments);
            }
        }
        let in_flight = std::mem::take(&mut self.engines[engine].in_flight);
        let (done, rest): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|attempt| attempt.ends_at <= now);
        self.engines[engine].in_flight = rest;
        for attempt in done {
            self.vms[attempt.request.vm].record_sound(now, &attempt.request.segments);
            self.outcome.unlucky.record_sound(now, &attempt.request.segments);
        }
    }

    fn crash_for_other_reasons(&mut self) {
        if self.options.outages.contains(&self.now) {
            for engine in 0..self.engines.len() / 2 {
                self.crash(engine);
            }
        }
        if self.happens(self.options.other_crash_rate) {
            let engine = self.rng.usize(..self.engines.len());
            self.crash(engine);
        }
    }

    fn crash(&mut self, engine: usize) {
        let name = engine_name(engine);
        self.engines[engine].down_until = self.now + DOWN_TIME;
        // The VMs that watch the engine report that it is down again and again.
        for repeat in 0..3 {
            for vm in 0..self.vms.len() {
                self.send_later(vm, Message::Down(name.clone()), ms(200 * repeat));
            }
        }
        for attempt in std::mem::take(&mut self.engines[engine].in_flight) {
            let Attempt { id, mut request, begins_at, .. } = attempt;
            let vm = &mut self.vms[request.vm];
            if begins_at + SOUND_TIME <= self.now {
                continue;
            }
            let segments = request.segments.clone();
            vm.record_broken(self.now, &name, Suspect { attempt_id: id, segments });
            request.attempts -= 1;
            if !vm.may_send_again(&request.segments) {
                request.attempts = 0;
            }
            if request.attempts == 0 && request.retries > 0 {
                request.retries -= 1;
                request.attempts = self.options.attempts;
                request.vm = self.rng.usize(..self.vms.len());
            }
            if request.attempts > 0 {
                self.place(request);
            } else {
                self.on_unlucky_broken(&request);
            }
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        self.send_later(to, message, Duration::ZERO);
    }

    fn send_later(&mut self, to: usize, message: Message, later: Duration) {
        if self.rng.f64() >= self.options.loss {
            let delay_ms = u64::try_from(self.options.delay_max.as_millis()).unwrap();
            self.message_count += 1;
            let at = self.now + later + ms(self.rng.u64(1..=delay_ms.max(1)));
            self.messages.insert((at, self.message_count), (to, message));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) =
            self.messages.first_entry().filter(|entry| entry.key().0 <= self.now)
        {
            let (to, message) = entry.remove();
            let (vm, now) = (&mut self.vms[to], self.now);
            match message {
                Message::Down(engine) => vm.record_down(now, &engine),
                Message::Action(from, Action::Report(report)) => {
                    vm.record_report(now, &from, &report);
                }
                Message::Action(_, Action::Vouch(segments)) => vm.record_vouched(now, &segments),
                Message::Action(_, Action::Announce(set, basis)) => {
                    vm.record_announced(now, set, basis);
                }
                Message::Action(_, Action::AnnounceRelease(set)) => vm.record_released(now, &set),
                Message::Action(..) => {}
            }
        }
    }

    fn poll(&mut self, vm: usize) {
        let is_away = self.is_store_away();
        // A VM learns of changes of the store with a delay.
        if !is_away && self.rng.u8(..) < 50 {
            self.views[vm] = self.store.clone();
        }
        let starts = &self.outcome.starts;
        let start = |vm: usize| (starts[vm].last().copied(), vm);
        let later = (0..starts.len()).filter(|other| start(*other) > start(vm)).count();
        let is_ranked_by_start = self.options.are_ranked_by_start;
        let rank = u32::try_from(if is_ranked_by_start { later } else { vm }).unwrap();
        for action in self.vms[vm].poll(self.now, &self.views[vm], rank) {
            match action {
                Action::Store(set, crashes) if !is_away && !self.store.contains_key(&set) => {
                    self.revision += 1;
                    self.store.insert(set, StoredSet { revision: self.revision, crashes });
                }
                Action::Unstore(set, revision) if !is_away => {
                    self.store.retain(|key, stored| *key != set || stored.revision != revision);
                }
                Action::Report(_)
                | Action::Vouch(_)
                | Action::Announce(..)
                | Action::AnnounceRelease(_) => {
                    for to in (0..self.vms.len()).filter(|to| *to != vm) {
                        self.send(to, Message::Action(vm_name(vm), action.clone()));
                    }
                }
                _ => {}
            }
        }
    }
}

fn deadly_segment(segments: &[u64]) -> Option<u64> {
    segments.iter().copied().find(|segment| (DEADLY..DEADLY + 100).contains(segment))
}
