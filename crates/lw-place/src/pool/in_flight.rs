//! In-flight bookkeeping: attempts of this VM, and those that other VMs announce.

use super::{
    AttemptId, Ended, InFlightId, Now, Placement, Prompt, SegmentKey, UpstreamPool, UpstreamState,
    source::TRANSFER_MAX_WAIT,
    upstream_state::{Expected, InFlight},
};
use lw_types::prelude::*;

use std::{collections::HashSet, time::Duration};

/// Time for which an upstream that failed gets no requests while others can run them.
const DEPRIORITIZED_TIME: Duration = Duration::from_millis(1500);
/// Time for which an upstream that did not run a request gets no further ones.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(300);
/// Least memory of an attempt that is announced to other VMs, in tokens. Smaller ones change no placement.
const ANNOUNCED_MIN_TOKENS: u64 = 1500;
/// Age at which an attempt of another VM is removed, since the message about its end may be lost.
const REMOTE_ATTEMPT_MAX_AGE: Duration = Duration::from_secs(7);

/// Time before an attempt within which a reported slowdown may have affected it.
const SLOWDOWN_TIME: Duration = Duration::from_millis(300);

/// An attempt as it is announced to other VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct AnnouncedAttempt {
    /// Upstream that it is sent to.
    pub upstream: UpstreamId,
    /// Number of the attempt at the VM that sent it.
    pub attempt_id: AttemptId,
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Tokens of its prompt that the engine has to prefill.
    pub prefill_tokens: u64,
    /// Expected tokens of its answer.
    pub output_tokens: u64,
    /// Rank, 0 is the most urgent.
    pub rank: u8,
    /// Keys and tokens of its segments.
    pub segments: Vec<(SegmentKey, u64)>,
    /// Time until the segments that the engine fetches are there.
    pub fetch_time: Duration,
    /// Whether the engine sends the segments to a KV cache store.
    pub is_saved: bool,
}

impl UpstreamPool {
    /// Records an attempt that is about to be sent. Also returns the announcement to the other VMs if it is large.
    pub fn record_sent(
        &mut self,
        now: Now,
        placement: &Placement,
        prompt: Option<&Prompt>,
    ) -> (AttemptId, Option<AnnouncedAttempt>) {
        self.last_attempt_id += 1;
        let announced = self.announcement(now, placement, prompt);
        let expected = self.expected(now, placement, prompt);
        self.insert_attempt(now, VmId::new(), &announced, expected);
        if let Some(from) = placement.fetch_from {
            self.reserve_link(from, placement.fetched_at);
        }
        let is_large = is_large(announced.tokens);
        (self.last_attempt_id, is_large.then_some(announced))
    }

    fn announcement(
        &self,
        now: Now,
        placement: &Placement,
        prompt: Option<&Prompt>,
    ) -> AnnouncedAttempt {
        let segments = prompt.zip(placement.salt.as_ref()).map(|(prompt, salt)| prompt.keys(salt));
        let available_tokens = placement.cached_tokens + placement.fetched_tokens;
        let output_tokens =
            prompt.map_or(0, |prompt| self.lengths.expected(prompt.kind, prompt.output_tokens));
        AnnouncedAttempt {
            upstream: placement.upstream.id.clone(),
            attempt_id: self.last_attempt_id,
            tokens: prompt.map_or(0, |prompt| prompt.tokens.saturating_add(output_tokens)),
            prefill_tokens: prompt
                .map_or(0, |prompt| prompt.tokens.saturating_sub(available_tokens)),
            output_tokens,
            rank: placement.rank,
            segments: segments.unwrap_or_default(),
            fetch_time: placement.fetched_at.saturating_sub(now),
            is_saved: placement.save_to.is_some(),
        }
    }

    fn expected(
        &self,
        now: Now,
        placement: &Placement,
        prompt: Option<&Prompt>,
    ) -> Option<Expected> {
        let state = self.upstreams.get(&placement.upstream.id)?;
        Some(Expected {
            latency_ms: placement.expected_latency.as_secs_f64() * 1000.0,
            kind: prompt.map_or(0, |prompt| prompt.kind),
            hint: prompt.map_or(0, |prompt| prompt.output_tokens),
            output_tokens: 0,
            has_free_slot: state.active_count(now) < u64::from(state.upstream.slots),
        })
    }

    /// Records an attempt that another VM announced. An engine with a fetch of an excessive time would get no requests, and
    /// fetch nothing, for that long.
    pub fn record_remote_sent(&mut self, now: Now, vm: &str, announced: &AnnouncedAttempt) {
        let fetch_time = announced.fetch_time.min(TRANSFER_MAX_WAIT);
        let announced = AnnouncedAttempt { fetch_time, ..announced.clone() };
        self.insert_attempt(now, vm.to_owned(), &announced, None);
    }

    fn insert_attempt(
        &mut self,
        now: Now,
        vm: VmId,
        sent: &AnnouncedAttempt,
        expected: Option<Expected>,
    ) {
        let Some(state) = self.upstreams.get_mut(&sent.upstream) else { return };
        let attempt = InFlight {
            tokens: sent.tokens,
            prefill_tokens: sent.prefill_tokens,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            sent_at: now,
            fetched_at: now + sent.fetch_time,
            started_at: None,
            segments: sent.segments.clone(),
            expected,
        };
        for (key, tokens) in &sent.segments {
            state.cache.insert(now, *key, *tokens, false);
        }
        if !sent.fetch_time.is_zero() {
            state.link_free_at = state.link_free_at.max(attempt.fetched_at);
        }
        state.in_flight.insert((vm, sent.attempt_id), attempt);
        if let Some(home) = self.home_store(&sent.segments).filter(|_| sent.is_saved) {
            for (key, tokens) in &sent.segments {
                self.stores[home].view.insert(now, *key, *tokens, false);
            }
        }
    }

    /// Records that the first event or the head of the answer to a local attempt arrived.
    pub fn record_started(&mut self, now: Now, id: &str, attempt_id: AttemptId) {
        self.mark_started(now, id, &(VmId::new(), attempt_id));
    }

    /// Records that another VM received the first event of an answer.
    pub fn record_remote_started(&mut self, now: Now, vm: &str, id: &str, attempt_id: AttemptId) {
        self.mark_started(now, id, &(vm.to_owned(), attempt_id));
    }

    fn mark_started(&mut self, now: Now, id: &str, attempt: &InFlightId) {
        let Some(state) = self.upstreams.get_mut(id) else { return };
        let Some(attempt) = state.in_flight.get_mut(attempt) else { return };
        if attempt.started_at.is_some() {
            return;
        }
        attempt.started_at = Some(now);
        let prefill_began = attempt.sent_at.max(attempt.fetched_at).max(state.last_first_event);
        let prefill_ms = now.saturating_sub(prefill_began).as_secs_f64() * 1000.0;
        if state.slowdown.is_clear_since(attempt.sent_at.saturating_sub(SLOWDOWN_TIME)) {
            let (speed, tokens) = (&mut state.speed, attempt.prefill_tokens);
            self.costs.observe_prefill(now, speed, tokens, prefill_ms);
        }
        if let Some(expected) = attempt.expected {
            let actual = now.saturating_sub(attempt.sent_at);
            self.errors.observe(expected.latency_ms, actual.as_secs_f64() * 1000.0);
        }
        if attempt.prefill_tokens >= ANNOUNCED_MIN_TOKENS {
            state.last_first_event = now;
        }
        for (key, tokens) in &attempt.segments {
            state.cache.insert(now, *key, *tokens, true);
        }
        for store in &mut self.stores {
            store.mark_saved(now, &attempt.segments);
        }
    }

    /// Records that a local attempt ended.
    pub fn record_ended(&mut self, now: Now, id: &str, attempt_id: AttemptId, ended: Ended) {
        self.remove_attempt(now, id, &(VmId::new(), attempt_id), ended);
        let Some(state) = self.upstreams.get_mut(id) else { return };
        match ended {
            Ended::Failed => state.deprioritized_until = now + DEPRIORITIZED_TIME,
            Ended::NotRun => state.paused_until = state.paused_until.max(now + NOT_RUN_PAUSE),
            Ended::Complete | Ended::Cancelled => {}
        }
    }

    /// Records that an attempt of another VM ended.
    pub fn record_remote_ended(
        &mut self,
        now: Now,
        vm: &str,
        id: &str,
        attempt_id: AttemptId,
        ended: Ended,
    ) {
        self.remove_attempt(now, id, &(vm.to_owned(), attempt_id), ended);
    }

    /// Records how many events of the answer to a local attempt have arrived so far.
    pub fn record_output(&mut self, id: &str, attempt_id: AttemptId, events: u64) {
        let tokens_per_event = self.spec.as_ref().map_or(0, |spec| spec.tokens_per_event);
        let tokens = events.saturating_mul(u64::from(tokens_per_event));
        let state = self.upstreams.get_mut(id);
        let attempt = state.and_then(|s| s.in_flight.get_mut(&(VmId::new(), attempt_id)));
        if let Some(expected) = attempt.and_then(|attempt| attempt.expected.as_mut()) {
            expected.output_tokens = tokens;
        }
    }

    /// Discards what was expected of a local attempt, since its answer is an error: an upstream that fails fast would be
    /// learned as a fast one.
    pub fn discard_sample(&mut self, id: &str, attempt_id: AttemptId) {
        let state = self.upstreams.get_mut(id);
        if let Some(attempt) = state.and_then(|s| s.in_flight.get_mut(&(VmId::new(), attempt_id))) {
            attempt.expected = None;
        }
    }

    fn remove_attempt(&mut self, now: Now, id: &str, attempt: &InFlightId, ended: Ended) {
        let Some(state) = self.upstreams.get_mut(id) else { return };
        let Some(attempt) = state.in_flight.remove(attempt) else { return };
        if ended == Ended::Complete {
            let is_clear =
                state.slowdown.is_clear_since(attempt.sent_at.saturating_sub(SLOWDOWN_TIME));
            let time = now.saturating_sub(attempt.started_at.unwrap_or(attempt.sent_at));
            let ms = time.as_secs_f64() * 1000.0;
            let actual_tokens = attempt.expected.map_or(0, |expected| expected.output_tokens);
            if attempt.started_at.is_some() {
                // The length that the caller expected is no sample: it is often off by a factor of four.
                if is_clear && actual_tokens > 0 {
                    self.costs.observe_decode(now, &mut state.speed, actual_tokens, ms);
                }
                state.speed.observe_slot_time(time);
            } else if let Some(expected) = attempt.expected {
                self.errors.observe(expected.latency_ms, ms);
                if is_clear && expected.has_free_slot && attempt.tokens == 0 {
                    self.costs.observe_plain(now, &mut state.speed, ms);
                }
            }
            if let Some(expected) = attempt.expected.filter(|e| e.output_tokens > 0) {
                self.lengths.observe(expected.kind, expected.hint, expected.output_tokens);
            }
        }
        if attempt.started_at.is_none() && ended != Ended::Complete {
            remove_unfinished_segments(state, &attempt);
        }
    }

    /// Returns the number of attempts that have not ended, including those of other VMs.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.upstreams.values().map(|state| state.in_flight.len()).sum()
    }

    /// Removes attempts of other VMs whose end was never reported.
    pub fn remove_expired(&mut self, now: Now) {
        for state in self.upstreams.values_mut() {
            state.in_flight.retain(|(vm, _), attempt| {
                vm.is_empty() || now.saturating_sub(attempt.sent_at) < REMOTE_ATTEMPT_MAX_AGE
            });
        }
    }
}

/// Whether an attempt of this size is announced to the other VMs.
pub(super) fn is_large(tokens: u64) -> bool {
    tokens >= ANNOUNCED_MIN_TOKENS
}

/// Whether an attempt is announced to the other VMs.
pub(super) fn is_announced(attempt: &InFlight) -> bool {
    is_large(attempt.tokens)
}

/// Removes the segments that the attempt would have cached, unless they are complete or another attempt has them.
fn remove_unfinished_segments(state: &mut UpstreamState, attempt: &InFlight) {
    let others = state.in_flight.values().flat_map(|other| &other.segments);
    let others: HashSet<SegmentKey> = others.map(|(key, _)| *key).collect();
    for (key, tokens) in &attempt.segments {
        let is_complete = state.cache.fetchable_tokens(&[(*key, *tokens)]) == *tokens;
        if !is_complete && !others.contains(key) {
            state.cache.remove(*key);
        }
    }
}
