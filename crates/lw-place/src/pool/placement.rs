//! The choice for one request.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::Stage;
use lw_types::prelude::*;

use super::{
    Placement, PlacementRequest, Prompt, Refusal, UpstreamPool, UpstreamState, queue::NewRequest,
    source::Source, upstream_state::as_f64,
};
use crate::{RANK_MAX, cache::SegmentKey, salt};

/// Weight of the work that a request causes at an engine against the time for which it waits: work that is done
/// twice is missing for others.
const WORK_WEIGHT: f64 = 1.0;
/// Cost of a request to another failure domain, in milliseconds: two crossings, and links that cost more than usual.
const AWAY_MS: f64 = 30.0;
/// Further cost for each kilobyte of it.
const AWAY_MS_PER_KB: f64 = 4.0;
/// Cost of weights that were replaced, in milliseconds.
const OUTDATED_MS: f64 = 200.0;
/// Cost of a transfer for each millisecond of it.
const TRANSFER_WEIGHT: f64 = 0.3;
/// Factor of the time in which a request is on time above which it will be late: estimates err by that much.
const LATE_FACTOR: f64 = 1.75;
/// Part of the time for which callers wait above which a request that will be late is refused. On a played day 12 of
/// 131 long requests above it were answered, and the others waited in vain.
const PATIENCE_PART: f64 = 0.5;
/// Cost of a request that is late.
const LATE_MS: f64 = 200.0;
/// Most that chance adds to the cost, in milliseconds, so that VMs do not all choose the same of equals.
const TIE_MS: f64 = 2.0;

/// The parts of a prompt under one version of the weights.
struct Parts<'a> {
    salt: String,
    keys: Vec<(SegmentKey, u64)>,
    sources: Vec<Source<'a>>,
}

/// Costs of a request at an engine in milliseconds.
struct Estimate {
    placement: Placement,
    cost: f64,
}

impl UpstreamPool {
    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// Why none can take it.
    pub fn place(&self, now: Now, request: &PlacementRequest<'_>) -> Result<Placement, Refusal> {
        let ready = || self.upstreams.values().filter(|m| m.upstream.stage == Stage::Ready);
        let untried = || ready().filter(|m| !request.tried.contains(&m.upstream.id));
        let open = untried().filter(|m| now >= m.paused_until && now >= m.backoff_until);
        let mut open: Vec<_> = open.collect();
        // Without any engine that serves newer weights the rollout is stuck, and old answers are better than none.
        if ready().any(|state| !self.is_expired(now, request, state)) {
            open.retain(|state| !self.is_expired(now, request, state));
        }
        if open.is_empty() {
            let unwanted = untried().filter_map(|m| m.backoff_until.checked_sub(now)).min();
            let unwanted = unwanted.filter(|time| !time.is_zero());
            let closed = unwanted.map_or(Refusal::NoneUsable, Refusal::BackingOff);
            return Err(if self.ready_count() == 0 { Refusal::NoneReady } else { closed });
        }
        let sound: Vec<_> = open.iter().copied().filter(|m| now >= m.deprioritized_until).collect();
        let usable = if sound.is_empty() { open } else { sound };
        let mut segments = HashMap::new();
        let estimates = usable.into_iter().map(|state| match request.prompt {
            Some(prompt) => self.engine(now, request, prompt, state, &mut segments),
            None => self.server(now, request, state),
        });
        let best = estimates.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let placement = best.map(|estimate| estimate.placement).ok_or(Refusal::NoneReady)?;
        // Whatever was sent before may have run, and then the caller is better off with the rest of the answer late.
        let is_hopeless = placement.expected_latency > request.max_wait.mul_f64(PATIENCE_PART);
        if placement.rank > RANK_MAX && is_hopeless && request.tried.is_empty() {
            return Err(Refusal::WaitTooLong(placement.expected_latency));
        }
        Ok(placement)
    }

    fn server(&self, now: Now, request: &PlacementRequest<'_>, state: &UpstreamState) -> Estimate {
        let wait = state.plain_ms(now);
        let cost = wait + self.away_ms(state, 1) + tie_ms(state, request.request_hash);
        Estimate { placement: placement(now, state, wait), cost }
    }

    fn engine<'a>(
        &'a self,
        now: Now,
        request: &PlacementRequest<'_>,
        prompt: &Prompt,
        state: &UpstreamState,
        segments: &mut HashMap<u64, Parts<'a>>,
    ) -> Estimate {
        let mut placement = placement(now, state, 0.0);
        placement.version = state.versions.get(&prompt.model).copied();
        if let Some(version) = placement.version {
            let segments =
                segments.entry(version).or_insert_with(|| self.segments(now, prompt, version));
            placement.cached_tokens = state.cache.leading_tokens(&segments.keys);
            if let Some(transfer) =
                self.transfer(now, state, &segments.sources, placement.cached_tokens)
            {
                placement.fetch_from = Some(transfer.from);
                placement.fetched_tokens = transfer.tokens;
                placement.fetched_at = transfer.done;
            }
            let unread = prompt
                .shared_tokens()
                .saturating_sub(placement.cached_tokens + placement.fetched_tokens);
            placement.save_to = self.save_to(now, unread);
            placement.salt = Some(segments.salt.clone());
        }
        let prefill_tokens =
            prompt.tokens.saturating_sub(placement.cached_tokens + placement.fetched_tokens);
        let read = state.rate.read_ms(prefill_tokens);
        let fetch = placement.fetched_at.saturating_sub(now).as_secs_f64() * 1000.0;
        let capacity_tokens = self.spec.as_ref().map_or(u64::MAX, |spec| spec.cache_tokens);
        let tokens = prompt.tokens + prompt.output_tokens;
        let wait = |rank: u8| {
            let new = NewRequest { rank, tokens, peers: request.peers };
            let wait = state.wait_ms(now, new, capacity_tokens).max(fetch);
            wait + state.delay_ms(now, wait + read, prompt.output_tokens)
        };
        placement.rank = prompt.rank.min(RANK_MAX);
        let mut wait_ms = wait(placement.rank);
        let mut late_ms = 0.0;
        if wait_ms + read > request.time_to_target.as_secs_f64() * 1000.0 * LATE_FACTOR {
            placement.rank += RANK_MAX + 1;
            wait_ms = wait(placement.rank);
            late_ms = LATE_MS;
        }
        placement.expected_latency =
            Duration::try_from_secs_f64((wait_ms + read) / 1000.0).unwrap_or(request.time_left);
        let kilobytes = u64::try_from(prompt.bytes / 1024).unwrap_or(u64::MAX);
        let cost = wait_ms
            + late_ms
            + read * (1.0 + WORK_WEIGHT)
            + fetch * TRANSFER_WEIGHT
            + state.disturbance_ms(read, prompt.output_tokens)
            + self.away_ms(state, kilobytes)
            + self.outdated_ms(now, request, state)
            + tie_ms(state, home(request, prompt));
        Estimate { placement, cost }
    }

    /// What a version of the weights means for the parts of a prompt.
    fn segments(&self, now: Now, prompt: &Prompt, version: u64) -> Parts<'_> {
        let salt = salt(&prompt.model, version, prompt.isolated_workspace.as_deref());
        let keys = prompt.keys(&salt);
        let sources = self.sources(now, &keys[..prompt.shared().len()]);
        Parts { salt, keys, sources }
    }

    fn away_ms(&self, state: &UpstreamState, kilobytes: u64) -> f64 {
        if state.upstream.failure_domain == self.failure_domain {
            return 0.0;
        }
        AWAY_MS + AWAY_MS_PER_KB * as_f64(kilobytes)
    }

    /// How long ago the first version was named that is newer than the one that `state` serves.
    fn outdated(
        &self,
        now: Now,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
    ) -> Option<Duration> {
        let model = &request.prompt?.model;
        let version = *state.versions.get(model)?;
        let newer = self.named.get(model)?.iter().find(|named| named.version > version)?;
        Some((now + request.suspended).saturating_sub(newer.since))
    }

    /// Whether requests must not begin on the weights of `state` any more.
    fn is_expired(&self, now: Now, request: &PlacementRequest<'_>, state: &UpstreamState) -> bool {
        self.outdated(now, request, state).is_some_and(|time| time >= request.stale_weights_time)
    }

    /// Cost of outdated weights: answers on them are worth less.
    fn outdated_ms(&self, now: Now, request: &PlacementRequest<'_>, state: &UpstreamState) -> f64 {
        self.outdated(now, request, state).map_or(0.0, |_| OUTDATED_MS)
    }
}

fn placement(now: Now, state: &UpstreamState, expected_ms: f64) -> Placement {
    Placement {
        upstream: Arc::clone(&state.upstream),
        version: None,
        rank: 0,
        salt: None,
        cached_tokens: 0,
        fetched_tokens: 0,
        fetch_from: None,
        fetched_at: now,
        save_to: None,
        expected_latency: Duration::from_secs_f64(expected_ms / 1000.0),
    }
}

/// Requests with the same shared parts prefer the same upstream among equals.
fn home(request: &PlacementRequest<'_>, prompt: &Prompt) -> u64 {
    prompt.shared().last().map_or(request.request_hash, |segment| segment.id)
}

fn tie_ms(state: &UpstreamState, seed: u64) -> f64 {
    const STEPS: u64 = 1024;
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(state.upstream.id.as_bytes(), seed);
    as_f64(hash % STEPS) / as_f64(STEPS) * TIE_MS
}
