//! A fleet in virtual time: VMs that place requests alone on engines of different lasting speeds.
//!
//! An engine processes steps. A step prefills up to one chunk of the waiting prompts, the most urgent first, and adds one
//! event to each running stream. All times are in microseconds.

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use lw_place::{
    AnnouncedAttempt, AttemptId, Ended, Load, PlacementRequest, Prompt, Segment, UpstreamPool,
};

use crate::common;

pub const ENGINES: usize = 30;
const VMS: usize = 84;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const SLOTS: usize = 32;
const MEMORY_TOKENS: u64 = 166_204;
const TOKENS_PER_MS: f64 = 61.4;
const STEP_MS: f64 = 4.55;
const CHUNK_TOKENS: u64 = 4_096;
/// Context at which a prompt token takes twice as long.
const ATTENTION_TOKENS: f64 = 80_000.0;
const TOKENS_PER_EVENT: u64 = 6;
/// Requests a second: 1.4 times a third of the rates for 90 engines, which uses about four fifths of the engines.
const LONG_PER_S: f64 = 1.4 * 125.0 / 3.0;
const SHORT_PER_S: f64 = 1.4 * 655.0 / 3.0;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_US: u64 = 600_000;
/// Mean time between slowdowns of an engine, so that 15 % of the engines are slow at a time.
const NORMAL_US: f64 = 3_400_000.0;
const LINK_US: u64 = 1_500;
/// Age of the load that an answer reports.
const REPORT_AGE_US: u64 = 200_000;
/// Requests that arrive before this time are not counted, since the estimators start without samples.
const WARM_UP_US: u64 = 10_000_000;
const END_US: u64 = 30_000_000;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    Pool,
    /// Knows the work at each engine, its speed and its slowdowns to come.
    Oracle,
    /// Knows how many requests each engine has.
    LeastOutstanding,
    TwoChoices,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// A tenth of the VMs is killed: their callers get nothing, and their announcements end.
    Killed,
    /// A tenth of the VMs is not heard by half of the others.
    OneWay,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub long: usize,
    pub short: usize,
    pub late_long: usize,
    pub late_short: usize,
    /// Refused requests. They count as late too.
    pub refused: usize,
}

impl Outcome {
    pub fn late(&self) -> usize {
        self.late_long + self.late_short
    }
}

#[derive(Debug, Clone)]
struct Job {
    id: u64,
    vm: usize,
    arrived: u64,
    is_long: bool,
    rank: u8,
    tokens: u64,
    prefilled: u64,
    events: u64,
    attempt: AttemptId,
    is_announced: bool,
}

impl Job {
    fn target(&self) -> u64 {
        if self.is_long { 1_000_000 } else { 600_000 }
    }
}

#[derive(Debug, Default)]
struct Engine {
    speed: f64,
    /// When its slowdowns begin.
    slow: Vec<u64>,
    waiting: Vec<Job>,
    streams: Vec<Job>,
    is_busy: bool,
    loads: BTreeMap<u64, Load>,
}

#[derive(Debug)]
enum Event {
    Caller(bool),
    Deliver(usize, Job),
    StepEnd(usize, Vec<(u64, u64)>),
    Started(usize, Job, Load),
    Ended(usize, Job),
    Announced(usize, Notice),
    Kill,
}

#[derive(Debug)]
enum Notice {
    Sent(AnnouncedAttempt),
    Started(usize, AttemptId),
    Ended(usize, AttemptId),
}

pub struct Fleet {
    policy: Policy,
    fault: Fault,
    rng: Rng,
    now: u64,
    order: u64,
    events: BTreeMap<(u64, u64), Event>,
    pools: Vec<UpstreamPool>,
    engines: Vec<Engine>,
    outcome: Outcome,
    killed: usize,
}

fn engine_id(engine: usize) -> String {
    format!("e{engine}")
}

fn index(id: &str) -> usize {
    id[1..].parse().unwrap()
}

#[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn us(ms: f64) -> u64 {
    (ms * 1_000.0) as u64
}

#[allow(clippy::cast_precision_loss)]
fn float(n: u64) -> f64 {
    n as f64
}

/// Milliseconds to prefill the tokens between two positions of a prompt at speed 1.
fn prefill_ms(from: u64, to: u64) -> f64 {
    float(to - from) / TOKENS_PER_MS * (1.0 + float(from + to) / 2.0 / ATTENTION_TOKENS)
}

impl Engine {
    fn is_slow(&self, at: u64) -> bool {
        self.slow.iter().any(|start| (*start..*start + SLOW_US).contains(&at))
    }

    /// Returns the time that work of `ms` takes from `now`.
    fn work_us(&self, now: u64, ms: f64) -> u64 {
        let (mut at, mut left) = (now, ms * 1_000.0 / self.speed);
        loop {
            let factor = if self.is_slow(at) { SLOW_FACTOR } else { 1.0 };
            let ends = self.slow.iter().flat_map(|start| [*start, *start + SLOW_US]);
            let next = ends.filter(|end| *end > at).min().unwrap_or(u64::MAX);
            if left * factor <= float(next - at) {
                return at + us(left * factor / 1_000.0) - now;
            }
            left -= float(next - at) / factor;
            at = next;
        }
    }

    fn load(&self, now: u64) -> Load {
        let running = self.streams.len() + self.waiting.iter().filter(|j| j.prefilled > 0).count();
        let waiting = self.waiting.iter().filter(|job| job.prefilled == 0).count();
        Load {
            running: u32::try_from(running).unwrap(),
            waiting: u32::try_from(waiting).unwrap(),
            slots: 32,
            slowness_percent: if self.is_slow(now) { 250 } else { 100 },
        }
    }

    /// Starts a step. Returns its duration and the tokens that it prefills of each job.
    fn step(&mut self, now: u64) -> Option<(u64, Vec<(u64, u64)>)> {
        self.waiting.sort_by_key(|job| (job.prefilled == 0, job.rank, job.arrived));
        let mut memory: u64 = self.streams.iter().map(|job| job.tokens).sum();
        let (mut budget, mut cost, mut taken) = (CHUNK_TOKENS, STEP_MS, Vec::new());
        for job in &self.waiting {
            memory += job.tokens;
            let is_full = memory > MEMORY_TOKENS || self.streams.len() + taken.len() >= SLOTS;
            if budget == 0 || is_full {
                break;
            }
            let tokens = budget.min(job.tokens - job.prefilled);
            cost += prefill_ms(job.prefilled, job.prefilled + tokens);
            budget -= tokens;
            taken.push((job.id, tokens));
        }
        self.is_busy = !taken.is_empty() || !self.streams.is_empty();
        self.is_busy.then(|| (self.work_us(now, cost), taken))
    }

    /// Returns when the first event of a new job is there.
    fn oracle_us(&self, now: u64, new: &Job) -> u64 {
        let ahead = self.waiting.iter().filter(|job| job.prefilled > 0 || job.rank <= new.rank);
        let prefill: f64 =
            ahead.chain([new]).map(|job| prefill_ms(job.prefilled, job.tokens)).sum();
        self.work_us(now, prefill + STEP_MS)
    }
}

impl Fleet {
    pub fn run(policy: Policy, fault: Fault, seed: u64) -> Outcome {
        let mut rng = Rng::with_seed(seed);
        let mut pools = Vec::new();
        for vm in 0..VMS {
            let mut pool = UpstreamPool::new(["a", "b", "c"][vm % 3].into());
            let spec = lw_catalog::EngineSpec { cache_tokens: MEMORY_TOKENS, ..common::spec() };
            pool.configure(Some(spec));
            for engine in 0..ENGINES {
                pool.put(&common::engine_in(&engine_id(engine), ["a", "b", "c"][vm % 3], "m", 1));
            }
            pools.push(pool);
        }
        let mut engines = Vec::new();
        for engine in 0..ENGINES {
            let (mut slow, mut at) = (Vec::new(), 0);
            while at < END_US * 2 {
                at += us(-rng.f64().max(1e-9).ln() * NORMAL_US / 1_000.0);
                slow.push(at);
                at += SLOW_US;
            }
            engines.push(Engine { speed: SPEEDS[engine % 3], slow, ..Engine::default() });
        }
        let mut fleet = Self {
            policy,
            fault,
            rng,
            now: 0,
            order: 0,
            events: BTreeMap::new(),
            pools,
            engines,
            outcome: Outcome::default(),
            killed: 0,
        };
        fleet.push(1, Event::Caller(true));
        fleet.push(2, Event::Caller(false));
        if fault == Fault::Killed {
            fleet.push(WARM_UP_US + 2_000_000, Event::Kill);
        }
        while let Some(((at, _), event)) = fleet.events.pop_first() {
            fleet.now = at;
            fleet.handle(event);
        }
        fleet.outcome
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.events.insert((self.now + delay, self.order), event);
    }

    fn time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Caller(is_long) => self.call(is_long),
            Event::Deliver(engine, job) => {
                self.engines[engine].waiting.push(job);
                self.step(engine);
            }
            Event::StepEnd(engine, taken) => self.end_step(engine, &taken),
            Event::Started(engine, job, load) => {
                let is_late = self.now - job.arrived > job.target();
                self.count(&job, is_late);
                let (now, id) = (self.time(), engine_id(engine));
                if job.vm >= self.killed {
                    self.pools[job.vm].record_started(now, &id, job.attempt);
                    self.pools[job.vm].on_load(now, &id, load);
                    self.announce(&job, Notice::Started(engine, job.attempt));
                }
            }
            Event::Ended(engine, job) => {
                let (now, id) = (self.time(), engine_id(engine));
                if job.vm >= self.killed {
                    self.pools[job.vm].record_ended(now, &id, job.attempt, Ended::Complete);
                    self.announce(&job, Notice::Ended(engine, job.attempt));
                }
            }
            Event::Announced(vm, notice) => self.apply(vm, &notice),
            Event::Kill => self.killed = VMS / 10,
        }
    }

    fn call(&mut self, is_long: bool) {
        if self.now > END_US {
            return;
        }
        let rate = if is_long { LONG_PER_S } else { SHORT_PER_S };
        let gap = us(-self.rng.f64().max(1e-9).ln() / rate * 1_000.0);
        self.push(gap.max(1), Event::Caller(is_long));
        let vm = self.rng.usize(self.killed..VMS);
        // The sum of four uniform variables is close to a normal one; its standard deviation is 0.577.
        let normal = ((0..4).map(|_| self.rng.f64()).sum::<f64>() - 2.0) / 0.577;
        let (median, sigma, events) = if is_long { (12_300.0, 0.8, 24) } else { (340.0, 0.5, 9) };
        let tokens = us(median * (normal * sigma).exp() / 1_000.0).min(93_000);
        let events = 1 + us(f64::from(events) * -self.rng.f64().max(0.01).ln() / 1_000.0);
        let hint =
            us(float(events * TOKENS_PER_EVENT) * 4_f64.powf(self.rng.f64() * 2.0 - 1.0) / 1e3);
        let id = self.order;
        let rank = if is_long { 0 } else { 2 };
        let mut job = Job {
            id,
            vm,
            arrived: self.now,
            is_long,
            rank,
            tokens,
            prefilled: 0,
            events,
            attempt: 0,
            is_announced: false,
        };
        let segments = vec![Segment { id, tokens }];
        let prompt = Prompt {
            model: "m".into(),
            segments,
            tokens,
            output_tokens: hint.max(1),
            rank,
            ..Prompt::default()
        };
        let engine = self.choose(&mut job, &prompt);
        let Some(engine) = engine else {
            self.outcome.refused += 1;
            self.count(&job, true);
            return;
        };
        self.push(LINK_US, Event::Deliver(engine, job));
    }

    fn choose(&mut self, job: &mut Job, prompt: &Prompt) -> Option<usize> {
        let outstanding = |engine: &Engine| engine.waiting.len() + engine.streams.len();
        let start = self.rng.usize(0..ENGINES);
        let all = (0..ENGINES).map(|i| (i + start) % ENGINES);
        match self.policy {
            Policy::Oracle => all.min_by_key(|i| self.engines[*i].oracle_us(self.now, job)),
            Policy::LeastOutstanding => all.min_by_key(|i| outstanding(&self.engines[*i])),
            Policy::TwoChoices => {
                let two = [start, self.rng.usize(0..ENGINES)];
                two.into_iter().min_by_key(|i| outstanding(&self.engines[*i]))
            }
            Policy::Pool => {
                let now = self.time();
                let time = |us| Duration::from_micros(us);
                let left = time(if job.is_long { 10_000_000 } else { 5_000_000 });
                let request = PlacementRequest {
                    peers: VMS - 1,
                    request_hash: job.id,
                    time_left: left,
                    max_wait: left,
                    time_to_target: time(job.target()),
                    ..common::request(prompt)
                };
                let pool = &mut self.pools[job.vm];
                let placement = pool.place(now, &request).ok()?;
                let (attempt, announced) = pool.record_sent(now, &placement, Some(prompt));
                job.attempt = attempt;
                job.rank = placement.rank;
                job.is_announced = announced.is_some();
                if let Some(announced) = announced {
                    self.announce(job, Notice::Sent(announced));
                }
                Some(index(&placement.upstream.id))
            }
        }
    }

    fn announce(&mut self, job: &Job, notice: Notice) {
        if job.is_announced {
            self.push(LINK_US, Event::Announced(job.vm, notice));
        }
    }

    fn apply(&mut self, from: usize, notice: &Notice) {
        let (now, name) = (self.time(), format!("vm{from}"));
        for (vm, pool) in self.pools.iter_mut().enumerate().skip(self.killed) {
            let is_lost = self.fault == Fault::OneWay && from < VMS / 10 && vm % 2 == 0;
            if vm == from || is_lost {
                continue;
            }
            match notice {
                Notice::Sent(sent) => pool.record_remote_sent(now, &name, sent),
                Notice::Started(engine, attempt) => {
                    pool.record_remote_started(now, &name, &engine_id(*engine), *attempt);
                }
                Notice::Ended(engine, attempt) => {
                    let id = engine_id(*engine);
                    pool.record_remote_ended(now, &name, &id, *attempt, Ended::Complete);
                }
            }
            pool.remove_expired(now);
        }
    }

    fn step(&mut self, engine: usize) {
        if self.engines[engine].is_busy {
            return;
        }
        let load = self.engines[engine].load(self.now);
        self.engines[engine].loads.insert(self.now, load);
        if let Some((time, taken)) = self.engines[engine].step(self.now) {
            self.push(time.max(1), Event::StepEnd(engine, taken));
        }
    }

    fn end_step(&mut self, at: usize, taken: &[(u64, u64)]) {
        let engine = &mut self.engines[at];
        engine.is_busy = false;
        for job in &mut engine.streams {
            job.events -= 1;
        }
        for (id, tokens) in taken {
            let job = engine.waiting.iter_mut().find(|job| job.id == *id).unwrap();
            job.prefilled += tokens;
        }
        let (started, waiting) =
            engine.waiting.drain(..).partition(|job: &Job| job.prefilled == job.tokens);
        engine.waiting = waiting;
        let started: Vec<Job> = started;
        engine.streams.extend(started.iter().cloned());
        let reported = self.now.saturating_sub(REPORT_AGE_US);
        let load = engine.loads.range(..=reported).next_back().map(|(_, load)| *load);
        let load = load.unwrap_or(engine.load(self.now));
        engine.loads = engine.loads.split_off(&reported.saturating_sub(REPORT_AGE_US));
        let (ended, streams) = engine.streams.drain(..).partition(|job: &Job| job.events == 0);
        engine.streams = streams;
        let ended: Vec<Job> = ended;
        for job in started {
            self.push(LINK_US, Event::Started(at, job, load));
        }
        for job in ended {
            self.push(LINK_US, Event::Ended(at, job));
        }
        self.step(at);
    }

    fn count(&mut self, job: &Job, is_late: bool) {
        if job.arrived < WARM_UP_US {
            return;
        }
        let (all, late) = if job.is_long {
            (&mut self.outcome.long, &mut self.outcome.late_long)
        } else {
            (&mut self.outcome.short, &mut self.outcome.late_short)
        };
        *all += 1;
        *late += usize::from(is_late);
    }
}
