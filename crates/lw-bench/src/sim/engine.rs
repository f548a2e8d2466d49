//! Model of one engine: queues by class, continuous batching and a prefix cache with LRU eviction.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use lw_route::{CacheChange, CacheEvent, LoadReport, fingerprint::BLOCK_TOKENS};
use lw_types::prelude::*;

use super::{Micros, micros};

/// Most prompt tokens that one step prefills. Engines limit it so that running requests keep generating.
const STEP_PROMPT_TOKENS_MAX: u64 = 512;
/// Most requests that are generating or about to generate.
const ACTIVE_REQUESTS_MAX: usize = 32;
/// Fixed time of each step.
const STEP_BASE_SECONDS: f64 = 0.010;
/// Time that each prefilled prompt token adds to a step.
const SECONDS_PER_PROMPT_TOKEN: f64 = 0.000_08;
/// Time that each generating request adds to a step.
const SECONDS_PER_RUNNING_REQUEST: f64 = 0.000_4;

/// One attempt that was sent to the engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the attempt in the simulation.
    pub id: usize,
    /// Class, which is also the priority.
    pub class: Class,
    /// Block hashes of the prompt.
    pub blocks: Arc<[BlockHash]>,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Leading blocks that were cached when prefill started; `None` before.
    pub cached_blocks: Option<usize>,
    prefilled_tokens: u64,
    generated_tokens: u32,
    last_token_at: Micros,
}

impl Job {
    /// Creates a job that has not started.
    #[must_use]
    pub fn new(
        id: usize,
        class: Class,
        blocks: Arc<[BlockHash]>,
        prompt_tokens: u64,
        output_tokens: u32,
    ) -> Self {
        let output_tokens = output_tokens.max(1);
        Self {
            id,
            class,
            blocks,
            prompt_tokens,
            output_tokens,
            cached_blocks: None,
            prefilled_tokens: 0,
            generated_tokens: 0,
            last_token_at: 0,
        }
    }
}

/// Results of one step.
#[derive(Debug, Default)]
pub struct StepResult {
    /// Attempts that produced their first token, each with its number of cached blocks.
    pub first_tokens: Vec<(usize, usize)>,
    /// Attempts that are complete.
    pub finished: Vec<usize>,
    /// Times between two consecutive tokens of a request, one for each token after the first.
    pub token_gaps: Vec<Micros>,
}

/// Simulated engine.
#[derive(Debug, Default)]
pub struct SimulatedEngine {
    /// Incarnation; increases with each restart.
    pub incarnation: Incarnation,
    /// Factor by which steps take longer; 1 is normal.
    pub slowdown: f64,
    /// Whether the engine accepts requests.
    pub is_up: bool,
    /// Whether a step is running.
    pub is_stepping: bool,
    /// Virtual time spent on steps.
    pub busy_seconds: f64,
    waiting: [VecDeque<Job>; 3],
    prefilled: Vec<Job>,
    running: Vec<Job>,
    capacity_blocks: usize,
    use_count: u64,
    last_uses: HashMap<BlockHash, u64>,
    blocks_by_last_use: BTreeMap<u64, BlockHash>,
    event_seq: u64,
    events: Vec<CacheEvent>,
}

impl SimulatedEngine {
    /// Creates an idle engine that caches at most `capacity_blocks` blocks.
    #[must_use]
    pub fn new(capacity_blocks: usize) -> Self {
        Self { incarnation: 1, slowdown: 1.0, is_up: true, capacity_blocks, ..Self::default() }
    }

    /// Crashes the engine and starts it again at once with an empty cache. Returns the lost attempts.
    pub fn restart(&mut self) -> Vec<usize> {
        let lost = self.all_jobs().map(|job| job.id).collect();
        let (capacity_blocks, busy_seconds, was_stepping) =
            (self.capacity_blocks, self.busy_seconds, self.is_stepping);
        let incarnation = self.incarnation + 1;
        *self = Self {
            incarnation,
            busy_seconds,
            is_stepping: was_stepping,
            ..Self::new(capacity_blocks)
        };
        lost
    }

    /// Queues a job.
    pub fn enqueue(&mut self, job: Job) {
        self.waiting[job.class as usize].push_back(job);
    }

    /// Removes an attempt, whether it is waiting or running.
    pub fn cancel(&mut self, id: usize) {
        self.waiting.iter_mut().for_each(|queue| queue.retain(|job| job.id != id));
        self.prefilled.retain(|job| job.id != id);
        self.running.retain(|job| job.id != id);
    }

    /// Adds blocks that were copied from another engine to the cache.
    pub fn import_blocks(&mut self, blocks: &[BlockHash]) {
        self.store_blocks(blocks);
    }

    /// Whether `block` is cached.
    #[must_use]
    pub fn has_block(&self, block: BlockHash) -> bool {
        self.last_uses.contains_key(&block)
    }

    /// Returns the number of leading blocks that are cached.
    #[must_use]
    pub fn cached_prefix_blocks(&self, blocks: &[BlockHash]) -> usize {
        blocks.iter().take_while(|block| self.has_block(**block)).count()
    }

    /// Returns the uncached prompt tokens that are prefilled before a new job of `class`.
    #[must_use]
    pub fn queued_prompt_tokens(&self, class: Class) -> u64 {
        let queues = self.waiting.iter().take(class as usize + 1).flatten();
        queues
            .map(|job| match job.cached_blocks {
                Some(_) => job.prompt_tokens - job.prefilled_tokens,
                None => job.prompt_tokens - self.cached_prompt_tokens(job),
            })
            .sum()
    }

    /// Returns the prompt tokens prefilled per second beside the requests that are generating now.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        let chunk = f64::from(u32::try_from(STEP_PROMPT_TOKENS_MAX).unwrap_or(0));
        chunk / self.step_seconds(STEP_PROMPT_TOKENS_MAX)
    }

    /// Returns the current load report.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let queued_total = self.queued_prompt_tokens(Class::Bulk);
        LoadReport {
            incarnation: self.incarnation,
            queued_prefill_tokens: queued_total,
            queued_bulk_tokens: queued_total - self.queued_prompt_tokens(Class::Standard),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            ..LoadReport::default()
        }
    }

    /// Returns the attempts that are generating.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        self.running.iter().map(|job| job.id).collect()
    }

    /// Returns the cache events since the last call.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    /// Starts a step if there is work. Returns its duration and the jobs whose prefill starts.
    pub fn start_step(&mut self) -> Option<(Micros, Vec<Job>)> {
        let mut token_budget = STEP_PROMPT_TOKENS_MAX;
        let mut started = Vec::new();
        for class in 0..self.waiting.len() {
            while token_budget > 0
                && self.running.len() + self.prefilled.len() < ACTIVE_REQUESTS_MAX
            {
                let Some(mut job) = self.waiting[class].pop_front() else { break };
                if job.cached_blocks.is_none() {
                    let cached_blocks = self.cached_prefix_blocks(&job.blocks);
                    self.mark_used(&job.blocks.clone()[..cached_blocks]);
                    job.cached_blocks = Some(cached_blocks);
                    job.prefilled_tokens =
                        (cached_blocks as u64 * BLOCK_TOKENS).min(job.prompt_tokens - 1);
                    started.push(job.clone());
                }
                let tokens = token_budget.min(job.prompt_tokens - job.prefilled_tokens);
                job.prefilled_tokens += tokens;
                token_budget -= tokens;
                if job.prefilled_tokens == job.prompt_tokens {
                    self.prefilled.push(job);
                } else {
                    self.waiting[class].push_front(job);
                }
            }
        }
        let tokens = STEP_PROMPT_TOKENS_MAX - token_budget;
        if tokens == 0 && self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let time = self.step_seconds(tokens);
        self.busy_seconds += time;
        Some((micros(time), started))
    }

    /// Ends the running step.
    pub fn end_step(&mut self, now: Micros) -> StepResult {
        self.is_stepping = false;
        let mut result = StepResult::default();
        for job in &mut self.running {
            result.token_gaps.push(now - job.last_token_at);
            job.last_token_at = now;
            job.generated_tokens += 1;
        }
        for mut job in std::mem::take(&mut self.prefilled) {
            let blocks = job.blocks.clone();
            self.store_blocks(&blocks);
            job.generated_tokens = 1;
            job.last_token_at = now;
            result.first_tokens.push((job.id, job.cached_blocks.unwrap_or(0)));
            self.running.push(job);
        }
        self.running.retain(|job| {
            let is_finished = job.generated_tokens >= job.output_tokens;
            if is_finished {
                result.finished.push(job.id);
            }
            !is_finished
        });
        result
    }

    fn all_jobs(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter().flatten().chain(&self.prefilled).chain(&self.running)
    }

    fn cached_prompt_tokens(&self, job: &Job) -> u64 {
        (self.cached_prefix_blocks(&job.blocks) as u64 * BLOCK_TOKENS).min(job.prompt_tokens - 1)
    }

    fn step_seconds(&self, prompt_tokens: u64) -> f64 {
        let tokens = f64::from(u32::try_from(prompt_tokens).unwrap_or(u32::MAX));
        let sequences = f64::from(u32::try_from(self.running.len()).unwrap_or(u32::MAX));
        (STEP_BASE_SECONDS
            + SECONDS_PER_PROMPT_TOKEN * tokens
            + SECONDS_PER_RUNNING_REQUEST * sequences)
            * self.slowdown
    }

    /// Marks the blocks of one prefix as used. Later blocks count as used earlier, so that a prefix is evicted from
    /// its end: a block is useless without the blocks before it.
    fn mark_used(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.use_count += 1;
            if let Some(last_use) = self.last_uses.get_mut(block) {
                self.blocks_by_last_use.remove(last_use);
                *last_use = self.use_count;
                self.blocks_by_last_use.insert(self.use_count, *block);
            }
        }
    }

    fn store_blocks(&mut self, blocks: &[BlockHash]) {
        for &block in blocks.iter().rev() {
            self.use_count += 1;
            match self.last_uses.insert(block, self.use_count) {
                Some(previous_use) => {
                    self.blocks_by_last_use.remove(&previous_use);
                }
                None => self.record_event(CacheChange::Stored(block)),
            }
            self.blocks_by_last_use.insert(self.use_count, block);
        }
        while self.last_uses.len() > self.capacity_blocks {
            let Some((_, block)) = self.blocks_by_last_use.pop_first() else { break };
            self.last_uses.remove(&block);
            self.record_event(CacheChange::Evicted(block));
        }
    }

    fn record_event(&mut self, change: CacheChange) {
        self.event_seq += 1;
        self.events.push(CacheEvent { incarnation: self.incarnation, seq: self.event_seq, change });
    }
}
