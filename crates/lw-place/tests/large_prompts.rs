//! Simulates engines at twice their capacity, with prompts of heavy-tailed lengths.
//!
//! Guards against large prompts that are refused, or wait until their callers leave, because of their size: the largest
//! tenth must be served at least half as often as all together.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times of a short run"
)]

mod common;

use std::{collections::HashMap, ops::Range, time::Duration};

use common::{engine, ms, pool, prompt, request};
use fastrand::Rng;
use lw_limit::admission::overload::{Arrival, Decision, Key, Level, Overload};
use lw_place::{AttemptId, Ended, Load, PlacementRequest, Prompt, Refusal, Segment, UpstreamPool};

const ENGINES: usize = 12;
const SLOTS: u32 = 32;
const CACHE_TOKENS: u64 = 170_000;
const WORKSPACES: usize = 16;
/// Time from the first event to the end of an answer.
const DECODE_MS: u64 = 160;
const PEAK_MS: Range<u64> = 5_000..11_000;
const END_MS: u64 = 18_000;
const NORMAL_LOAD: f64 = 0.7;
const PEAK_LOAD: f64 = 2.0;
/// Prompt lengths have a Pareto distribution with this shape and these bounds, which has a mean of 17,000 tokens.
const SHAPE: f64 = 1.5;
const TOKENS: Range<f64> = 7_800.0..93_000.0;
const MEAN_TOKENS: f64 = 17_000.0;
/// Nine of ten prompts are shorter.
const LARGE_TOKENS: u64 = 31_700;

/// A deployment: tokens that an engine prefills in a millisecond, and the target latency, the longest wait and the deadline
/// of a request.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    tokens_per_ms: f64,
    target_ms: u64,
    max_wait_ms: u64,
    deadline_ms: u64,
    has_admission: bool,
}

const ARCHIVE: Deployment = Deployment {
    tokens_per_ms: 112.0,
    target_ms: 500,
    max_wait_ms: 2_400,
    deadline_ms: 6_000,
    has_admission: true,
};
const RAILWAY: Deployment = Deployment {
    tokens_per_ms: 61.4,
    target_ms: 1_000,
    max_wait_ms: 4_000,
    deadline_ms: 10_000,
    has_admission: false,
};

/// Requests of the peak by size: all, and the largest tenth.
#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    offered: [u32; 2],
    served: [u32; 2],
    in_time: [u32; 2],
    refused: [u32; 2],
    left: [u32; 2],
}

#[derive(Debug, Clone)]
struct Job {
    id: u64,
    tokens: u64,
    arrived: u64,
    is_retry: bool,
    rank: u8,
    sent: u64,
    attempt: AttemptId,
    to_prefill: f64,
}

#[derive(Debug, Default)]
struct Engine {
    waiting: Vec<Job>,
    /// Requests with memory whose prefill is not complete.
    prefilling: Vec<Job>,
    /// Answers: time of the end in milliseconds, tokens in memory, and attempt.
    running: Vec<(u64, u64, AttemptId)>,
}

impl Engine {
    fn free_tokens(&self) -> u64 {
        let prefilling = self.prefilling.iter().map(|job| job.tokens);
        let running = self.running.iter().map(|(_, tokens, _)| *tokens);
        CACHE_TOKENS - prefilling.chain(running).sum::<u64>()
    }

    fn load(&self) -> Load {
        let count = |count: usize| u32::try_from(count).unwrap();
        let running = count(self.running.len() + self.prefilling.len()).min(SLOTS);
        Load { running, waiting: count(self.waiting.len()), slots: SLOTS, slowness_percent: 100 }
    }
}

struct Simulation {
    deployment: Deployment,
    rng: Rng,
    pool: UpstreamPool,
    overload: Overload,
    engines: HashMap<String, Engine>,
    returns: Vec<(u64, Job)>,
    counts: Counts,
}

fn sizes(tokens: u64) -> impl Iterator<Item = usize> {
    0..=usize::from(tokens > LARGE_TOKENS)
}

fn prompt_of(job: &Job) -> Prompt {
    let segments = vec![Segment { id: job.id, tokens: job.tokens }];
    Prompt { segments, tokens: job.tokens, ..prompt("m") }
}

impl Simulation {
    fn run(deployment: Deployment, seed: u64) -> Counts {
        let mut pool = pool();
        pool.configure(Some(lw_catalog::EngineSpec {
            cache_tokens: CACHE_TOKENS,
            ..common::spec()
        }));
        let ids: Vec<_> = (0..ENGINES).map(|i| format!("e{i}")).collect();
        for id in &ids {
            pool.put(&engine(id, "m", 1));
        }
        let mut simulation = Self {
            deployment,
            rng: Rng::with_seed(seed),
            pool,
            overload: Overload::default(),
            engines: ids.into_iter().map(|id| (id, Engine::default())).collect(),
            returns: Vec::new(),
            counts: Counts::default(),
        };
        for now in 0..END_MS {
            simulation.step(now);
        }
        simulation.counts
    }

    fn step(&mut self, now: u64) {
        if now.is_multiple_of(100) {
            self.pool.update_mean_speed();
            let pressure = self.pool.pressure(ms(now)).expect("a service with engines");
            self.overload.update(ms(now), pressure, 1);
        }
        let due: Vec<_> = self.returns.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, job) in due {
            self.arrive(now, Job { is_retry: true, ..job });
        }
        let load = if PEAK_MS.contains(&now) { PEAK_LOAD } else { NORMAL_LOAD };
        let rate = load * ENGINES as f64 * self.deployment.tokens_per_ms / MEAN_TOKENS;
        if self.rng.f64() < rate {
            let job = self.new_job(now);
            if PEAK_MS.contains(&now) {
                sizes(job.tokens).for_each(|size| self.counts.offered[size] += 1);
            }
            self.arrive(now, job);
        }
        let ids: Vec<_> = self.engines.keys().cloned().collect();
        for id in ids {
            self.advance(now, &id);
        }
    }

    fn new_job(&mut self, now: u64) -> Job {
        // The inverse of the distribution function of a bounded Pareto distribution.
        let ratio = (TOKENS.start / TOKENS.end).powf(SHAPE);
        let tail = 1.0 - self.rng.f64() * (1.0 - ratio);
        let tokens = (TOKENS.start * tail.powf(-1.0 / SHAPE)) as u64;
        let id = self.rng.u64(..);
        Job {
            id,
            tokens,
            arrived: now,
            is_retry: false,
            rank: 0,
            sent: now,
            attempt: 0,
            to_prefill: tokens as f64,
        }
    }

    fn arrive(&mut self, now: u64, mut job: Job) {
        let prompt = prompt_of(&job);
        let left = ms((job.arrived + self.deployment.deadline_ms).saturating_sub(now));
        let target = ms((job.arrived + self.deployment.target_ms).saturating_sub(now));
        let workspace = format!("w{}", self.rng.usize(..WORKSPACES));
        let arrival = Arrival {
            id_hash: self.rng.u64(..),
            key: Key::new(&workspace, Level::default()),
            work_ms: self.pool.expected_work_ms(&prompt),
            target_latency: ms(self.deployment.target_ms),
            time_left: left,
        };
        if self.deployment.has_admission
            && let Decision::Refused { retry_after } = self.overload.decide(ms(now), &arrival)
        {
            return self.refuse(now, job, retry_after, left);
        }
        let request = PlacementRequest {
            request_hash: job.id,
            time_left: left,
            time_to_target: target,
            max_wait: ms(self.deployment.max_wait_ms),
            ..request(&prompt)
        };
        match self.pool.place(ms(now), &request) {
            Ok(placement) => {
                job.attempt = self.pool.record_sent(ms(now), &placement, Some(&prompt)).0;
                (job.rank, job.sent) = (placement.rank, now);
                let engine = self.engines.get_mut(&placement.upstream.id).unwrap();
                engine.waiting.push(job);
            }
            Err(Refusal::WaitTooLong(wait)) => {
                let wait = if self.deployment.has_admission {
                    self.overload.retry_after(ms(now), &arrival)
                } else {
                    wait
                };
                self.refuse(now, job, wait, left);
            }
            Err(refusal) => panic!("{refusal}"),
        }
    }

    /// Callers return once, if they may within a third of the time that they have left.
    fn refuse(&mut self, now: u64, job: Job, retry_after: Duration, left: Duration) {
        if !job.is_retry && retry_after <= left / 3 {
            self.returns.push((now + retry_after.as_millis() as u64, job));
        } else {
            self.count(&job, |counts| &mut counts.refused);
        }
    }

    fn count(&mut self, job: &Job, counter: fn(&mut Counts) -> &mut [u32; 2]) {
        if PEAK_MS.contains(&job.arrived) {
            sizes(job.tokens).for_each(|size| counter(&mut self.counts)[size] += 1);
        }
    }

    /// Engines prefill the most urgent request first, as soon as there is memory for it.
    fn advance(&mut self, now: u64, id: &str) {
        let engine = self.engines.get_mut(id).unwrap();
        for (_, _, attempt) in engine.running.extract_if(.., |(end, _, _)| *end <= now) {
            self.pool.record_ended(ms(now), id, attempt, Ended::Complete);
        }
        let max_wait = self.deployment.max_wait_ms;
        let gives_up = |job: &mut Job| now >= job.sent + max_wait;
        let mut gone: Vec<_> = engine.waiting.extract_if(.., gives_up).collect();
        gone.extend(engine.prefilling.extract_if(.., gives_up));
        engine.waiting.sort_by_key(|job| (job.rank, job.sent));
        while engine.waiting.first().is_some_and(|job| job.tokens <= engine.free_tokens()) {
            engine.prefilling.push(engine.waiting.remove(0));
        }
        engine.prefilling.sort_by_key(|job| (job.rank, job.sent));
        let mut started = None;
        if let Some(first) = engine.prefilling.first_mut() {
            first.to_prefill -= self.deployment.tokens_per_ms;
            if first.to_prefill <= 0.0 {
                let job = engine.prefilling.remove(0);
                engine.running.push((now + DECODE_MS, job.tokens, job.attempt));
                started = Some(job);
            }
        }
        let load = engine.load();
        for job in gone {
            self.pool.record_ended(ms(now), id, job.attempt, Ended::Cancelled);
            self.count(&job, |counts| &mut counts.left);
        }
        if let Some(job) = started {
            self.pool.on_load(ms(now), id, load);
            self.pool.record_started(ms(now), id, job.attempt);
            self.count(&job, |counts| &mut counts.served);
            if now <= job.arrived + self.deployment.target_ms {
                self.count(&job, |counts| &mut counts.in_time);
            }
        }
    }
}

fn check(deployments: [Deployment; 2]) {
    let mut short = Vec::new();
    for (deployment, seed) in deployments.into_iter().flat_map(|d| (0..3).map(move |s| (d, s))) {
        let counts = Simulation::run(deployment, seed);
        let served =
            |size: usize| f64::from(counts.served[size]) / f64::from(counts.offered[size].max(1));
        let text = format!(
            "{} tokens/ms, seed {seed}: {:.3} of all, {:.3} of the largest tenth; {counts:?}",
            deployment.tokens_per_ms,
            served(0),
            served(1)
        );
        println!("{text}");
        if served(1) < served(0) * 0.5 {
            short.push(text);
        }
    }
    assert!(short.is_empty(), "{}", short.join("\n"));
}

#[test]
fn the_largest_prompts_are_served_at_twice_the_capacity_with_admission() {
    check([ARCHIVE, RAILWAY].map(|d| Deployment { has_admission: true, ..d }));
}

/// Where the settings do not list the contract of admission, requests are refused by their wait alone.
#[test]
fn the_largest_prompts_are_served_at_twice_the_capacity_without_admission() {
    check([ARCHIVE, RAILWAY].map(|d| Deployment { has_admission: false, ..d }));
}
