//! A small model of one engine: queue, continuous batching, prefix cache with LRU eviction, priorities.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use lw_route::{CacheChange, CacheEvent, LoadReport, fingerprint::BLOCK_TOKENS};
use lw_types::prelude::*;

use super::{Micros, micros};

/// Most prompt tokens of one step. Engines bound it so that generation continues beside prefill.
const CHUNK_TOKENS: u64 = 512;
/// Most requests that generate at once.
const SEQUENCES_MAX: usize = 32;
/// Time of a step without any token, in seconds.
const STEP_BASE: f64 = 0.010;
/// Time for each prompt token of a step, in seconds.
const STEP_PER_PROMPT_TOKEN: f64 = 0.000_08;
/// Time for each generating request of a step, in seconds.
const STEP_PER_SEQUENCE: f64 = 0.000_4;

/// One attempt at the engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Attempt number in the world's list.
    pub id: usize,
    /// Priority.
    pub class: Class,
    /// Block hashes of the prompt.
    pub blocks: Arc<[BlockHash]>,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Tokens to generate.
    pub output: u32,
    /// Blocks found in the cache, once prefill started.
    pub cached: Option<usize>,
    done: u64,
    produced: u32,
    last_token: Micros,
}

impl Job {
    /// A job that has not started.
    #[must_use]
    pub fn new(
        id: usize,
        class: Class,
        blocks: Arc<[BlockHash]>,
        prompt: u64,
        output: u32,
    ) -> Self {
        let output = output.max(1);
        Self {
            id,
            class,
            blocks,
            prompt,
            output,
            cached: None,
            done: 0,
            produced: 0,
            last_token: 0,
        }
    }
}

/// What a finished step gave.
#[derive(Debug, Default)]
pub struct StepEnd {
    /// Attempts whose first token is out, with the cached blocks of each.
    pub first: Vec<(usize, usize)>,
    /// Attempts that are complete.
    pub finished: Vec<usize>,
    /// Gaps between tokens that ended with this step.
    pub gaps: Vec<Micros>,
}

/// One engine.
#[derive(Debug, Default)]
pub struct EngineFake {
    /// Grows at each restart.
    pub incarnation: Incarnation,
    /// Factor on step times; 1 is normal.
    pub slowness: f64,
    /// Whether it accepts work.
    pub is_up: bool,
    /// Whether a step runs.
    pub is_stepping: bool,
    /// Virtual seconds spent on steps.
    pub busy: f64,
    waiting: [VecDeque<Job>; 3],
    prefilled: Vec<Job>,
    running: Vec<Job>,
    capacity: usize,
    stamp: u64,
    held: HashMap<BlockHash, u64>,
    oldest: BTreeMap<u64, BlockHash>,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl EngineFake {
    /// An empty engine that holds at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { incarnation: 1, slowness: 1.0, is_up: true, capacity, ..Self::default() }
    }

    /// Crashes it; it is back at once with an empty cache. Returns the attempts that were lost.
    pub fn restart(&mut self) -> Vec<usize> {
        let lost = self.jobs().map(|job| job.id).collect();
        let (capacity, busy, stepping) = (self.capacity, self.busy, self.is_stepping);
        let incarnation = self.incarnation + 1;
        *self = Self { incarnation, busy, is_stepping: stepping, ..Self::new(capacity) };
        lost
    }

    /// Queues a job.
    pub fn enqueue(&mut self, job: Job) {
        self.waiting[job.class as usize].push_back(job);
    }

    /// Drops an attempt wherever it is.
    pub fn cancel(&mut self, id: usize) {
        self.waiting.iter_mut().for_each(|queue| queue.retain(|job| job.id != id));
        self.prefilled.retain(|job| job.id != id);
        self.running.retain(|job| job.id != id);
    }

    /// Puts imported blocks into the cache.
    pub fn import(&mut self, blocks: &[BlockHash]) {
        self.store(blocks);
    }

    /// Whether `block` is held.
    #[must_use]
    pub fn holds(&self, block: BlockHash) -> bool {
        self.held.contains_key(&block)
    }

    /// Leading blocks held.
    #[must_use]
    pub fn held(&self, blocks: &[BlockHash]) -> usize {
        blocks.iter().take_while(|block| self.holds(**block)).count()
    }

    /// Prompt tokens that wait in front of a new job of `class`, with present cache contents.
    #[must_use]
    pub fn queued_tokens(&self, class: Class) -> u64 {
        let queues = self.waiting.iter().take(class as usize + 1).flatten();
        queues
            .map(|job| match job.cached {
                Some(_) => job.prompt - job.done,
                None => job.prompt - self.cached_tokens(job),
            })
            .sum()
    }

    /// Prompt tokens a second at the present batch.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        let chunk = f64::from(u32::try_from(CHUNK_TOKENS).unwrap_or(0));
        chunk / self.step_time(CHUNK_TOKENS)
    }

    /// The load report of this moment.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let all = self.queued_tokens(Class::Bulk);
        LoadReport {
            incarnation: self.incarnation,
            queued_prefill_tokens: all,
            queued_bulk_tokens: all - self.queued_tokens(Class::Standard),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            ..LoadReport::default()
        }
    }

    /// Attempts that generate.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        self.running.iter().map(|job| job.id).collect()
    }

    /// Cache events since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    /// Starts a step if there is work. Returns its length and the jobs whose prefill starts.
    pub fn start_step(&mut self) -> Option<(Micros, Vec<Job>)> {
        let mut budget = CHUNK_TOKENS;
        let mut started = Vec::new();
        for class in 0..self.waiting.len() {
            while budget > 0 && self.running.len() + self.prefilled.len() < SEQUENCES_MAX {
                let Some(mut job) = self.waiting[class].pop_front() else { break };
                if job.cached.is_none() {
                    let cached = self.held(&job.blocks);
                    self.touch(&job.blocks.clone()[..cached]);
                    job.cached = Some(cached);
                    job.done = (cached as u64 * BLOCK_TOKENS).min(job.prompt - 1);
                    started.push(job.clone());
                }
                let tokens = budget.min(job.prompt - job.done);
                job.done += tokens;
                budget -= tokens;
                if job.done == job.prompt {
                    self.prefilled.push(job);
                } else {
                    self.waiting[class].push_front(job);
                }
            }
        }
        let tokens = CHUNK_TOKENS - budget;
        if tokens == 0 && self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let time = self.step_time(tokens);
        self.busy += time;
        Some((micros(time), started))
    }

    /// Ends the step that runs.
    pub fn end_step(&mut self, now: Micros) -> StepEnd {
        self.is_stepping = false;
        let mut end = StepEnd::default();
        for job in &mut self.running {
            end.gaps.push(now - job.last_token);
            job.last_token = now;
            job.produced += 1;
        }
        for mut job in std::mem::take(&mut self.prefilled) {
            let blocks = job.blocks.clone();
            self.store(&blocks);
            job.produced = 1;
            job.last_token = now;
            end.first.push((job.id, job.cached.unwrap_or(0)));
            self.running.push(job);
        }
        self.running.retain(|job| {
            let is_done = job.produced >= job.output;
            if is_done {
                end.finished.push(job.id);
            }
            !is_done
        });
        end
    }

    fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter().flatten().chain(&self.prefilled).chain(&self.running)
    }

    fn cached_tokens(&self, job: &Job) -> u64 {
        (self.held(&job.blocks) as u64 * BLOCK_TOKENS).min(job.prompt - 1)
    }

    fn step_time(&self, prompt_tokens: u64) -> f64 {
        let tokens = f64::from(u32::try_from(prompt_tokens).unwrap_or(u32::MAX));
        let sequences = f64::from(u32::try_from(self.running.len()).unwrap_or(u32::MAX));
        (STEP_BASE + STEP_PER_PROMPT_TOKEN * tokens + STEP_PER_SEQUENCE * sequences) * self.slowness
    }

    /// Last pieces get older stamps, so a prefix is evicted from its end: a piece is of no use without those
    /// before it.
    fn touch(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.stamp += 1;
            if let Some(stamp) = self.held.get_mut(block) {
                self.oldest.remove(stamp);
                *stamp = self.stamp;
                self.oldest.insert(self.stamp, *block);
            }
        }
    }

    fn store(&mut self, blocks: &[BlockHash]) {
        for &block in blocks.iter().rev() {
            self.stamp += 1;
            match self.held.insert(block, self.stamp) {
                Some(old) => {
                    self.oldest.remove(&old);
                }
                None => self.event(CacheChange::Stored(block)),
            }
            self.oldest.insert(self.stamp, block);
        }
        while self.held.len() > self.capacity {
            let Some((_, block)) = self.oldest.pop_first() else { break };
            self.held.remove(&block);
            self.event(CacheChange::Evicted(block));
        }
    }

    fn event(&mut self, change: CacheChange) {
        self.seq += 1;
        self.events.push(CacheEvent { incarnation: self.incarnation, seq: self.seq, change });
    }
}
