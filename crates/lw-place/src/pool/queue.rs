//! When an engine can begin to read a new request.
//!
//! Engines read one prompt after the other, the most urgent first, each as soon as there is memory and a slot for it.
//! Answers load of long prompts that fill the memory of engines, and of many short ones that fill their slots while few
//! engines are left.

use std::time::Duration;

use lw_types::prelude::*;

use super::{
    UpstreamState,
    in_flight::is_announced,
    upstream_state::{InFlight, STEP_MS, as_f64},
};
use crate::cache::SegmentKey;

/// Part of its expected time after which a reading in front is not believed to be over without its first event.
const UNSEEN_PART: f64 = 0.9;

/// Age at which what an engine stated about its queue says nothing. It counts less the older it is.
const STATED_MAX_MS: f64 = 1_000.0;

/// The requests that a new one has to wait for, followed in time.
struct Queue {
    /// Memory of requests that run, in tokens, and when it is freed, in milliseconds from now.
    running: Vec<(f64, u64)>,
    /// Tokens that are free.
    free: u64,
    /// When the engine has read all requests so far.
    read_ms: f64,
}

impl Queue {
    /// Lets the engine read a request of this size next; returns when it can begin, if it ever can.
    fn begin(&mut self, tokens: u64) -> Option<f64> {
        self.running.sort_by(|a, b| b.0.total_cmp(&a.0));
        while self.free < tokens {
            let (end, freed) = self.running.pop()?;
            self.read_ms = self.read_ms.max(end);
            self.free += freed;
        }
        Some(self.read_ms)
    }

    fn run(&mut self, end_ms: f64, tokens: u64) {
        self.free = self.free.saturating_sub(tokens);
        self.running.push((end_ms, tokens));
    }
}

/// A request that is to be sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewRequest {
    /// Rank, 0 is the most urgent.
    pub rank: u8,
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Other VMs that choose at the same time.
    pub peers: usize,
}

impl UpstreamState {
    /// Milliseconds until a new request is being read, if the engine has memory for `capacity_tokens` tokens. Requests of lower
    /// rank yield at once. Infinite if it never can.
    pub fn wait_ms(&self, now: Now, new: NewRequest, capacity_tokens: u64) -> f64 {
        let NewRequest { rank, tokens, peers } = new;
        let rivals: Vec<_> = self.in_flight.values().filter(|f| f.rank <= rank).collect();
        let mut queue = Queue { running: Vec::new(), free: capacity_tokens, read_ms: 0.0 };
        let mut shared = Vec::new();
        for attempt in rivals.iter().filter(|f| f.started.is_some()) {
            queue.run(self.rest_ms(now, attempt), own_tokens(attempt, &mut shared));
        }
        let mut waiting: Vec<_> = rivals.into_iter().filter(|f| f.started.is_none()).collect();
        waiting.sort_by_key(|f| (f.rank, f.sent));
        for (place, attempt) in waiting.into_iter().enumerate() {
            let tokens = own_tokens(attempt, &mut shared);
            let Some(begin) = queue.begin(tokens) else { continue };
            let fetched = attempt.fetched.saturating_sub(now).as_secs_f64() * 1000.0;
            let read = self.rate.read_ms(attempt.prefill_tokens);
            let done = if place == 0 { self.read_so_far_ms(now, attempt, read) } else { 0.0 };
            queue.read_ms = begin.max(fetched) + read - done;
            queue.run(queue.read_ms + self.rate.write_ms(attempt.output_tokens), tokens);
        }
        let begin = queue.begin(tokens).unwrap_or(f64::INFINITY);
        begin.max(self.slot_ms(now, rank, peers)) + self.step_ms(now)
    }

    /// Milliseconds until a slot is free for a new request of `rank`. Short requests of other VMs are known only from
    /// what the engine states in its answers; since then each of `peers` is taken to have sent as many as this VM.
    fn slot_ms(&self, now: Now, rank: u8, peers: usize) -> f64 {
        let (at, stated) = self.load.map_or((Now::ZERO, None), |(at, load)| (at, Some(load)));
        let age = now.saturating_sub(at).as_secs_f64() * 1000.0;
        let weight = 1.0 - (age / STATED_MAX_MS).min(1.0);
        let unread = || self.in_flight.iter().filter(|(_, f)| f.started.is_none());
        let before = count(unread().filter(|(_, f)| f.rank <= rank));
        let is_unseen = |vm: &str, f: &InFlight| vm.is_empty() && f.sent >= at && !is_announced(f);
        let alike = count(unread().filter(|((vm, _), f)| is_unseen(vm, f)))
            * as_f64(u64::try_from(peers).unwrap_or(u64::MAX));
        let known_running = count(self.in_flight.values().filter(|f| f.started.is_some()));
        let (running, waiting) = stated.map_or((0.0, 0.0), |load| {
            (f64::from(load.running) * weight, f64::from(load.waiting) * weight)
        });
        let unknown = (waiting - count(unread())).max(0.0);
        let slots = f64::from(stated.map_or(self.upstream.slots, |load| load.slots).max(1));
        let running = running.max(known_running).min(slots);
        let over = (running + unknown + before + alike + 1.0 - slots).max(0.0);
        over * self.rate.held_ms() / slots
    }

    /// Milliseconds that the reading in front has gone on for.
    fn read_so_far_ms(&self, now: Now, attempt: &InFlight, read_ms: f64) -> f64 {
        let begun = attempt.sent.max(attempt.fetched).max(self.last_start);
        let since = now.saturating_sub(begun).as_secs_f64() * 1000.0;
        since.min(read_ms * UNSEEN_PART)
    }

    /// Milliseconds until an answer that has begun is complete.
    fn rest_ms(&self, now: Now, attempt: &InFlight) -> f64 {
        let since = attempt.started.map_or(Duration::ZERO, |started| now.saturating_sub(started));
        (self.rate.write_ms(attempt.output_tokens) - since.as_secs_f64() * 1000.0).max(STEP_MS)
    }
}

/// Tokens of a request without the parts that requests before it hold as well.
fn own_tokens(attempt: &InFlight, shared: &mut Vec<SegmentKey>) -> u64 {
    let mut tokens = attempt.tokens;
    for (key, segment) in &attempt.segments {
        if shared.contains(key) {
            tokens = tokens.saturating_sub(*segment);
        } else {
            shared.push(*key);
        }
    }
    tokens
}

fn count<T>(in_flight: impl Iterator<Item = T>) -> f64 {
    as_f64(u64::try_from(in_flight.count()).unwrap_or(u64::MAX))
}
