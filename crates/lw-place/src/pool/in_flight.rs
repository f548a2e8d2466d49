//! The books of what was sent: own attempts, and those that other VMs announce.

use super::{
    AttemptId, Ended, InFlightId, Now, Placement, Prompt, SegmentKey, UpstreamPool, UpstreamState,
    upstream_state::InFlight,
};
use lw_types::prelude::*;

use std::time::Duration;

/// Time for which an upstream that failed gets no work while others can take it.
const AVOID_TIME: Duration = Duration::from_millis(1500);
/// Time for which an upstream that did not run a request gets no further one.
const NOT_RUN_TIME: Duration = Duration::from_millis(300);
/// Least memory of an attempt that other VMs are told of, in tokens. Smaller ones change no choice.
const ANNOUNCED_MIN_TOKENS: u64 = 1500;
/// Time after which an attempt of another VM is dropped, since the message about its end may be lost.
const FOREIGN_TIME: Duration = Duration::from_secs(7);

/// An attempt that other VMs are told of.
#[derive(Debug, Clone, PartialEq)]
pub struct AnnouncedAttempt {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of the attempt at the VM that sent it.
    pub attempt_id: AttemptId,
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Tokens of its prompt that the engine has to read.
    pub prefill_tokens: u64,
    /// Tokens of its answer.
    pub output_tokens: u64,
    /// Rank, 0 is the most urgent.
    pub rank: u8,
    /// Shared parts that it reads or fetches.
    pub segments: Vec<(SegmentKey, u64)>,
    /// Time until its parts that come from elsewhere are there.
    pub fetch_time: Duration,
    /// Whether the engine sends the parts to the store of KV cache.
    pub is_saved: bool,
}

impl UpstreamPool {
    /// Records an attempt that is about to be sent. Large ones are to be announced to the other VMs.
    pub fn record_sent(
        &mut self,
        now: Now,
        placement: &Placement,
        prompt: Option<&Prompt>,
    ) -> (AttemptId, Option<AnnouncedAttempt>) {
        self.last_ticket += 1;
        let announced = self.announcement(now, placement, prompt);
        self.record(now, VmId::new(), &announced);
        if let Some(from) = placement.fetch_from {
            self.count_transfer(from, placement.fetched_at);
        }
        let is_large = is_large(announced.tokens);
        (self.last_ticket, is_large.then_some(announced))
    }

    fn announcement(
        &self,
        now: Now,
        placement: &Placement,
        prompt: Option<&Prompt>,
    ) -> AnnouncedAttempt {
        let segments = prompt.zip(placement.salt.as_ref()).map(|(prompt, salt)| prompt.keys(salt));
        let moved = placement.cached_tokens + placement.fetched_tokens;
        AnnouncedAttempt {
            upstream: placement.upstream.id.clone(),
            attempt_id: self.last_ticket,
            tokens: prompt.map_or(0, |prompt| prompt.tokens + prompt.output_tokens),
            prefill_tokens: prompt.map_or(0, |prompt| prompt.tokens.saturating_sub(moved)),
            output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens),
            rank: placement.rank,
            segments: segments.unwrap_or_default(),
            fetch_time: placement.fetched_at.saturating_sub(now),
            is_saved: placement.save_to.is_some(),
        }
    }

    /// Records an attempt of another VM.
    pub fn record_remote_sent(&mut self, now: Now, vm: &str, announced: &AnnouncedAttempt) {
        self.record(now, vm.to_owned(), announced);
    }

    fn record(&mut self, now: Now, vm: VmId, sent: &AnnouncedAttempt) {
        let Some(state) = self.upstreams.get_mut(&sent.upstream) else { return };
        let attempt = InFlight {
            tokens: sent.tokens,
            prefill_tokens: sent.prefill_tokens,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            sent: now,
            fetched: now + sent.fetch_time,
            started: None,
            segments: sent.segments.clone(),
        };
        for (key, tokens) in &sent.segments {
            state.cache.insert(now, *key, *tokens, false);
        }
        if !sent.fetch_time.is_zero() {
            state.link_free = state.link_free.max(attempt.fetched);
        }
        state.in_flight.insert((vm, sent.attempt_id), attempt);
        if let Some(store) = self.store.as_mut().filter(|_| sent.is_saved) {
            for (key, tokens) in &sent.segments {
                store.view.insert(now, *key, *tokens, false);
            }
        }
    }

    /// The first event or the head of an own answer came.
    pub fn record_started(&mut self, now: Now, id: &str, attempt_id: AttemptId) {
        self.start(now, id, &(VmId::new(), attempt_id));
    }

    /// The first event of another VM's answer came.
    pub fn record_remote_started(&mut self, now: Now, vm: &str, id: &str, attempt_id: AttemptId) {
        self.start(now, id, &(vm.to_owned(), attempt_id));
    }

    fn start(&mut self, now: Now, id: &str, attempt: &InFlightId) {
        let Some(state) = self.upstreams.get_mut(id) else { return };
        let Some(attempt) = state.in_flight.get_mut(attempt) else { return };
        if attempt.started.is_some() {
            return;
        }
        attempt.started = Some(now);
        let begin = attempt.sent.max(attempt.fetched).max(state.last_start);
        state.rate.observe(attempt.prefill_tokens, now.saturating_sub(begin));
        if attempt.prefill_tokens >= ANNOUNCED_MIN_TOKENS {
            state.last_start = now;
        }
        for (key, tokens) in &attempt.segments {
            state.cache.insert(now, *key, *tokens, true);
        }
        if let Some(store) = &mut self.store {
            store.read(now, &attempt.segments);
        }
    }

    /// An own attempt ended.
    pub fn record_ended(&mut self, now: Now, id: &str, attempt_id: AttemptId, how: Ended) {
        self.end(now, id, &(VmId::new(), attempt_id), how);
        let Some(state) = self.upstreams.get_mut(id) else { return };
        match how {
            Ended::Failed => state.deprioritized_until = now + AVOID_TIME,
            Ended::NotRun => state.paused_until = state.paused_until.max(now + NOT_RUN_TIME),
            Ended::Complete | Ended::Cancelled => {}
        }
    }

    /// An attempt of another VM ended.
    pub fn record_remote_ended(
        &mut self,
        now: Now,
        vm: &str,
        id: &str,
        attempt_id: AttemptId,
        how: Ended,
    ) {
        self.end(now, id, &(vm.to_owned(), attempt_id), how);
    }

    fn end(&mut self, now: Now, id: &str, attempt: &InFlightId, how: Ended) {
        let Some(state) = self.upstreams.get_mut(id) else { return };
        let Some(attempt) = state.in_flight.remove(attempt) else { return };
        if let Some(started) = attempt.started.filter(|_| how == Ended::Complete) {
            let time = now.saturating_sub(started);
            state.rate.observe_written(attempt.output_tokens, time);
            state.rate.observe_held(time);
        }
        if attempt.started.is_none() && how != Ended::Complete {
            forget_unread(state, &attempt);
        }
    }

    /// Attempts that have not ended, those of other VMs included.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.upstreams.values().map(|state| state.in_flight.len()).sum()
    }

    /// Drops attempts of other VMs whose end was not heard of.
    pub fn remove_expired(&mut self, now: Now) {
        for state in self.upstreams.values_mut() {
            state.in_flight.retain(|(vm, _), attempt| {
                vm.is_empty() || now.saturating_sub(attempt.sent) < FOREIGN_TIME
            });
        }
    }
}

fn is_large(tokens: u64) -> bool {
    tokens >= ANNOUNCED_MIN_TOKENS
}

/// Whether the other VMs were told of an attempt.
pub(super) fn is_announced(attempt: &InFlight) -> bool {
    is_large(attempt.tokens)
}

/// Parts that nobody else reads either are not held.
fn forget_unread(state: &mut UpstreamState, attempt: &InFlight) {
    for (key, tokens) in &attempt.segments {
        let is_read = state.cache.fetchable_tokens(&[(*key, *tokens)]) == *tokens;
        let reads = |f: &InFlight| f.segments.iter().any(|(segment, _)| segment == key);
        if !is_read && !state.in_flight.values().any(reads) {
            state.cache.remove(*key);
        }
    }
}
