//! Estimates when an engine can start the prefill of a new request.
//!
//! Engines prefill one prompt at a time, the most urgent first, each as soon as there are memory and a slot for it. The
//! estimate covers long prompts that fill the memory of engines, and many short ones that fill their slots when few
//! engines are available.

use std::{collections::HashSet, time::Duration};

use lw_types::prelude::*;

use super::{
    UpstreamState,
    in_flight::is_announced,
    upstream_state::{InFlight, STEP_MS, as_f64},
};
use crate::{cache::SegmentKey, work::EngineCost};

/// Largest fraction of its expected time that counts as done for a prefill whose first event has not arrived.
const PREFILL_PROGRESS_MAX_FRACTION: f64 = 0.9;

/// Age from which the load that an engine reported is ignored. Its weight falls linearly until then.
const LOAD_WEIGHT_MAX_AGE_MS: f64 = 1_000.0;

/// Segments up to which they are compared one by one.
const FEW_SEGMENTS_MAX: usize = 128;

/// Simulates the requests that a new one has to wait for.
struct Queue {
    /// When each running request ends, in milliseconds from now, and the memory that it then frees, in tokens.
    running: Vec<(f64, u64)>,
    /// Memory that is free, in tokens.
    free_tokens: u64,
    /// When the prefill of all requests so far ends, in milliseconds from now.
    prefill_end_ms: f64,
}

impl Queue {
    /// Frees memory for a request of this size and returns when its prefill can start, in milliseconds from now, or
    /// `None` if it never fits.
    fn next_start_ms(&mut self, tokens: u64) -> Option<f64> {
        self.running.sort_by(|a, b| b.0.total_cmp(&a.0));
        while self.free_tokens < tokens {
            let (end, freed) = self.running.pop()?;
            self.prefill_end_ms = self.prefill_end_ms.max(end);
            self.free_tokens += freed;
        }
        Some(self.prefill_end_ms)
    }

    fn add_running(&mut self, end_ms: f64, tokens: u64) {
        self.free_tokens = self.free_tokens.saturating_sub(tokens);
        self.running.push((end_ms, tokens));
    }
}

/// A request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewRequest {
    /// Rank, 0 is the most urgent.
    pub rank: u8,
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Other VMs that send requests at the same time.
    pub peers: usize,
}

impl UpstreamState {
    /// Returns the milliseconds until the prefill of a new request starts at an engine with memory for
    /// `capacity_tokens`, or infinity if it never can. Less urgent requests yield at once.
    pub fn wait_ms(
        &self,
        now: Now,
        new: NewRequest,
        capacity_tokens: u64,
        cost: EngineCost<'_>,
    ) -> f64 {
        let NewRequest { rank, tokens, peers } = new;
        let competing: Vec<_> = self.in_flight.values().filter(|f| f.rank <= rank).collect();
        let mut queue =
            Queue { running: Vec::new(), free_tokens: capacity_tokens, prefill_end_ms: 0.0 };
        let mut shared = SeenSegments::default();
        for attempt in competing.iter().filter(|f| f.started_at.is_some()) {
            queue.add_running(
                Self::remaining_ms(now, attempt, cost),
                unshared_tokens(attempt, &mut shared),
            );
        }
        let mut waiting: Vec<_> =
            competing.into_iter().filter(|f| f.started_at.is_none()).collect();
        waiting.sort_by_key(|f| (f.rank, f.sent_at));
        for (position, attempt) in waiting.into_iter().enumerate() {
            let tokens = unshared_tokens(attempt, &mut shared);
            let Some(start_ms) = queue.next_start_ms(tokens) else { continue };
            let fetch_ms = attempt.fetched_at.saturating_sub(now).as_secs_f64() * 1000.0;
            let prefill_ms = cost.prefill_ms(attempt.prefill_tokens);
            let progress_ms = if position == 0 {
                self.prefill_progress_ms(now, attempt, prefill_ms)
            } else {
                0.0
            };
            queue.prefill_end_ms = start_ms.max(fetch_ms) + prefill_ms - progress_ms;
            queue.add_running(queue.prefill_end_ms + cost.decode_ms(attempt.output_tokens), tokens);
        }
        let start_ms = queue.next_start_ms(tokens).unwrap_or(f64::INFINITY);
        start_ms.max(self.slot_wait_ms(now, rank, peers)) + self.step_ms(now)
    }

    /// Returns the milliseconds until a slot is free for a new request of `rank`. Short requests of other VMs appear
    /// only in the load that the engine reports; since the last report each of `peers` is assumed to have sent as many
    /// as this VM.
    fn slot_wait_ms(&self, now: Now, rank: u8, peers: usize) -> f64 {
        let (reported_at, reported) =
            self.load.map_or((Now::ZERO, None), |(reported_at, load)| (reported_at, Some(load)));
        let age = now.saturating_sub(reported_at).as_secs_f64() * 1000.0;
        let weight = 1.0 - (age / LOAD_WEIGHT_MAX_AGE_MS).min(1.0);
        let waiting_attempts = || self.in_flight.iter().filter(|(_, f)| f.started_at.is_none());
        let ahead = count(waiting_attempts().filter(|(_, f)| f.rank <= rank));
        let is_unreported =
            |vm: &str, f: &InFlight| vm.is_empty() && f.sent_at >= reported_at && !is_announced(f);
        let unannounced_remote =
            count(waiting_attempts().filter(|((vm, _), f)| is_unreported(vm, f)))
                * as_f64(u64::try_from(peers).unwrap_or(u64::MAX));
        let tracked_running = count(self.in_flight.values().filter(|f| f.started_at.is_some()));
        let (running, waiting) = reported.map_or((0.0, 0.0), |load| {
            (f64::from(load.running) * weight, f64::from(load.waiting) * weight)
        });
        let untracked = (waiting - count(waiting_attempts())).max(0.0);
        let slots = f64::from(reported.map_or(self.upstream.slots, |load| load.slots).max(1));
        let running = running.max(tracked_running).min(slots);
        let excess = (running + untracked + ahead + unannounced_remote + 1.0 - slots).max(0.0);
        excess * self.speed.slot_time_ms() / slots
    }

    /// Returns the milliseconds for which the first prefill has been running.
    fn prefill_progress_ms(&self, now: Now, attempt: &InFlight, prefill_ms: f64) -> f64 {
        let prefill_began = attempt.sent_at.max(attempt.fetched_at).max(self.last_first_event);
        let elapsed = now.saturating_sub(prefill_began).as_secs_f64() * 1000.0;
        elapsed.min(prefill_ms * PREFILL_PROGRESS_MAX_FRACTION)
    }

    /// Returns the milliseconds until an answer that has started is complete.
    fn remaining_ms(now: Now, attempt: &InFlight, cost: EngineCost<'_>) -> f64 {
        let elapsed =
            attempt.started_at.map_or(Duration::ZERO, |started| now.saturating_sub(started));
        (cost.decode_ms(attempt.output_tokens) - elapsed.as_secs_f64() * 1000.0).max(STEP_MS)
    }
}

/// Segments of the requests so far. Most requests have few, and comparing few is faster than hashing them.
#[derive(Debug, Default)]
struct SeenSegments {
    few: Vec<SegmentKey>,
    many: HashSet<SegmentKey>,
}

impl SeenSegments {
    /// Adds a segment and returns whether it is new.
    fn insert(&mut self, key: SegmentKey) -> bool {
        if !self.many.is_empty() {
            return self.many.insert(key);
        }
        if self.few.contains(&key) {
            return false;
        }
        self.few.push(key);
        if self.few.len() > FEW_SEGMENTS_MAX {
            self.many.extend(self.few.drain(..));
        }
        true
    }
}

/// Returns the memory of a request without the segments that are in `seen`, and adds its segments to these.
fn unshared_tokens(attempt: &InFlight, seen: &mut SeenSegments) -> u64 {
    let mut tokens = attempt.tokens;
    for (key, segment) in &attempt.segments {
        if !seen.insert(*key) {
            tokens = tokens.saturating_sub(*segment);
        }
    }
    tokens
}

fn count<T>(items: impl Iterator<Item = T>) -> f64 {
    as_f64(u64::try_from(items.count()).unwrap_or(u64::MAX))
}
