//! Selects the upstream with the lowest cost for a request.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::{Stage, Upstream};
use lw_types::prelude::*;

use super::{
    Placement, PlacementRequest, Prompt, Refusal, UpstreamPool, UpstreamState, in_flight::is_large,
    queue::NewRequest, source::Source, upstream_state::as_f64,
};
use crate::{CacheScope, RANK_MAX, cache::SegmentKey, salt};

/// Cost of each millisecond of prefill, in addition to the latency of the request itself: a prefill that repeats the
/// work of another engine takes time from other requests. It is the prefill at usual speed, since the same work at a slow
/// engine takes no more from others.
const WORK_WEIGHT: f64 = 1.0;
/// Cost of a request to another failure domain: it crosses domains twice, on links that are more expensive.
const CROSS_DOMAIN_COST_MS: f64 = 30.0;
/// Further cost of a request to another failure domain for each kilobyte.
const CROSS_DOMAIN_COST_MS_PER_KB: f64 = 4.0;
/// Cost of a request that runs on stale weights.
const STALE_WEIGHTS_COST_MS: f64 = 200.0;
/// Cost of each millisecond of a KV cache transfer.
const TRANSFER_WEIGHT: f64 = 0.3;
/// Ratio of the expected latency to the time until the target from which a request counts as late. Estimates err by up
/// to this factor.
const LATE_ESTIMATE_FACTOR: f64 = 1.75;
/// Fraction of the caller's longest wait above which a request that would be late is refused. Most requests that are
/// expected to wait longer for the work of others are answered only after their callers have left.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Cost of a request that exceeds its target latency.
const LATE_COST_MS: f64 = 200.0;
/// Most that a hash adds to the cost, so that VMs do not all select the same one of several upstreams of equal cost.
const TIE_BREAK_COST_MS: f64 = 2.0;

/// Number of other VMs from which on the spread of small requests does not grow.
const SPREAD_PEERS_MAX: f64 = 40.0;

/// The segments of a prompt under one version of the weights.
struct SegmentLookup<'a> {
    salt: String,
    keys: Vec<(SegmentKey, u64)>,
    sources: Vec<Source<'a>>,
}

/// A possible placement of a request and its cost in milliseconds.
struct Estimate {
    placement: Placement,
    cost: f64,
}

/// Whether a request is expected to be answered while its caller waits. The wait for others is compared with what the request's
/// own prefill leaves of the caller's longest wait, since that takes as long at an idle engine.
fn is_served_in_time(request: &PlacementRequest<'_>, placement: &Placement) -> bool {
    let is_late = placement.rank > RANK_MAX;
    let own = placement.expected_latency.saturating_sub(placement.wait);
    let wait_max = request.max_wait.saturating_sub(own).mul_f64(MAX_WAIT_FRACTION);
    !is_late || (placement.wait <= wait_max && placement.expected_latency <= request.time_left)
}

/// Whether the salt of a prompt at an engine is known. The salt names the version of the weights, and segments that are
/// cached without one are shared by all.
fn has_known_salt(request: &PlacementRequest<'_>, state: &UpstreamState) -> bool {
    let Some(prompt) = request.prompt else { return true };
    let needs_salt =
        !prompt.model.is_empty() || matches!(request.cache_scope, CacheScope::Isolated(_));
    !needs_salt || state.versions.contains_key(&prompt.model)
}

impl PlacementRequest<'_> {
    /// Whether the request may be placed on an upstream, as far as its earlier attempts tell.
    fn considers(&self, id: &UpstreamId) -> bool {
        match self.returns_to {
            Some(left) => id == left,
            None => !self.tried.contains(id),
        }
    }

    /// Whether the software of an upstream fits the request.
    fn fits_software(&self, upstream: &Upstream) -> bool {
        self.software.is_none_or(|software| upstream.software == software)
    }
}

impl UpstreamPool {
    /// Selects an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns why no upstream is used.
    pub fn place(&self, now: Now, request: &PlacementRequest<'_>) -> Result<Placement, Refusal> {
        let ready = || self.upstreams.values().filter(|u| u.upstream.stage == Stage::Ready);
        let fitting = || ready().filter(|u| request.fits_software(&u.upstream));
        if fitting().next().is_none() {
            let is_any_ready = ready().next().is_some();
            return Err(if is_any_ready { Refusal::NoneOfVersion } else { Refusal::NoneReady });
        }
        let considered = || fitting().filter(|u| request.considers(&u.upstream.id));
        let open = considered().filter(|u| u.is_open(now) && has_known_salt(request, u));
        let mut open: Vec<_> = open.filter(|u| self.has_turn(now, request, u)).collect();
        // If no engine serves newer weights, the rollout is stuck, and answers on stale weights are better than none.
        if ready().any(|state| !self.is_too_stale(now, request, state)) {
            open.retain(|state| !self.is_too_stale(now, request, state));
        }
        if open.is_empty() {
            let backoff = considered().filter_map(|u| u.backoff_until.checked_sub(now)).min();
            let backoff = backoff.filter(|time| !time.is_zero());
            let limited = considered().filter(|u| u.is_open(now));
            let refusal = backoff.map_or(Refusal::NoneUsable, Refusal::BackingOff);
            return Err(self.refuse_by_limit(now, request, limited).unwrap_or(refusal));
        }
        let preferred: Vec<_> =
            open.iter().copied().filter(|u| now >= u.deprioritized_until).collect();
        let usable = if preferred.is_empty() { open } else { preferred };
        let mut lookups = HashMap::new();
        let output_tokens = request
            .prompt
            .map_or(0, |prompt| self.lengths.expected(prompt.kind, prompt.output_tokens));
        let estimates = usable.into_iter().map(|state| match request.prompt {
            Some(prompt) => {
                let prompt = (prompt, output_tokens);
                self.estimate_engine(now, request, prompt, state, &mut lookups)
            }
            None => self.estimate_server(now, request, state),
        });
        let mut shortest = Duration::MAX;
        let estimates = estimates.map(|estimate| {
            shortest = shortest.min(estimate.placement.expected_latency);
            (is_served_in_time(request, &estimate.placement), estimate)
        });
        let best = estimates.min_by(|(is_a_in_time, a), (is_b_in_time, b)| {
            is_b_in_time.cmp(is_a_in_time).then(a.cost.total_cmp(&b.cost))
        });
        let (is_in_time, best) = best.ok_or(Refusal::NoneReady)?;
        // A request that was sent before may have run: a late answer is better for its caller than none.
        if !is_in_time && request.tried.is_empty() && !request.has_begun {
            return Err(Refusal::WaitTooLong(shortest));
        }
        Ok(best.placement)
    }

    fn estimate_server(
        &self,
        now: Now,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
    ) -> Estimate {
        let server = self.cost(state);
        let wait_ms = state.plain_wait_ms(now, server).max(self.turn_ms(now, state));
        let service_ms = if server.has_plain_samples(now) { server.plain_ms() } else { 0.0 };
        let expected_ms = wait_ms + service_ms;
        let cost = expected_ms
            + self.cross_domain_ms(state, 1)
            + tie_break_ms(state, request.request_hash);
        let placement = initial_placement(now, state, expected_ms);
        Estimate { placement: Placement { wait: duration(wait_ms), ..placement }, cost }
    }

    fn estimate_engine<'a>(
        &'a self,
        now: Now,
        request: &PlacementRequest<'_>,
        (prompt, output_tokens): (&Prompt, u64),
        state: &UpstreamState,
        lookups: &mut HashMap<u64, SegmentLookup<'a>>,
    ) -> Estimate {
        let turn_ms = self.turn_ms(now, state);
        let mut placement = initial_placement(now, state, 0.0);
        placement.version = state.versions.get(&prompt.model).copied();
        if let Some(version) = placement.version {
            let lookup = lookups
                .entry(version)
                .or_insert_with(|| self.look_up_segments(now, request, prompt, version));
            placement.cached_tokens = state.cache.leading_tokens(&lookup.keys);
            if let Some(transfer) =
                self.transfer(now, state, &lookup.sources, placement.cached_tokens)
            {
                placement.fetch_from = Some(transfer.from);
                placement.fetched_tokens = transfer.tokens;
                placement.fetched_at = transfer.done;
            }
            let uncached_tokens = prompt
                .shared_tokens()
                .saturating_sub(placement.cached_tokens + placement.fetched_tokens);
            placement.save_to = self.save_to(now, &lookup.keys, uncached_tokens);
            placement.salt = Some(lookup.salt.clone());
        }
        let prefill_tokens =
            prompt.tokens.saturating_sub(placement.cached_tokens + placement.fetched_tokens);
        let engine_cost = self.cost(state);
        let prefill_ms = engine_cost.prefill_ms(prefill_tokens);
        let fetch_ms = millis(placement.fetched_at.saturating_sub(now));
        let capacity_tokens = self.spec.as_ref().map_or(u64::MAX, |spec| spec.cache_tokens);
        let decode_ms = engine_cost.decode_ms(output_tokens);
        let tokens = prompt.tokens.saturating_add(output_tokens);
        let wait_at_rank = |rank: u8| {
            let new = NewRequest { rank, tokens, peers: request.peers };
            let wait =
                state.wait_ms(now, new, capacity_tokens, engine_cost).max(fetch_ms).max(turn_ms);
            wait + state.delay_ms(now, wait + prefill_ms, decode_ms)
        };
        placement.rank = prompt.rank.min(RANK_MAX);
        let mut wait_ms = wait_at_rank(placement.rank);
        let mut late_cost_ms = 0.0;
        if wait_ms + prefill_ms > millis(request.time_to_target) * LATE_ESTIMATE_FACTOR {
            placement.rank += RANK_MAX + 1;
            wait_ms = wait_at_rank(placement.rank);
            late_cost_ms = LATE_COST_MS;
        }
        placement.expected_latency = Duration::try_from_secs_f64((wait_ms + prefill_ms) / 1000.0)
            .unwrap_or(request.time_left);
        placement.wait = duration(wait_ms);
        let kilobytes = u64::try_from(prompt.bytes / 1024).unwrap_or(u64::MAX);
        let cost = wait_ms
            + late_cost_ms
            + prefill_ms
            + engine_cost.usual_prefill_ms(prefill_tokens) * WORK_WEIGHT
            + fetch_ms * TRANSFER_WEIGHT
            + state.interference_ms(now, engine_cost, prefill_ms, output_tokens, placement.rank)
            + self.cross_domain_ms(state, kilobytes)
            + self.stale_weights_ms(now, request, state)
            + tie_break_ms(state, affinity_seed(request, prompt))
            + spread_ms(state, request, tokens);
        Estimate { placement, cost }
    }

    /// Returns the milliseconds until the limit of an upstream allows the next request.
    fn turn_ms(&self, now: Now, state: &UpstreamState) -> f64 {
        self.turn_at(now, state).map_or(0.0, |at| millis(at.saturating_sub(now)))
    }

    /// Finds the keys of a prompt's segments under a version of the weights, and who can provide them.
    fn look_up_segments(
        &self,
        now: Now,
        request: &PlacementRequest<'_>,
        prompt: &Prompt,
        version: u64,
    ) -> SegmentLookup<'_> {
        let salt = salt(&prompt.model, version, request.cache_scope);
        let keys = prompt.keys(&salt);
        let sources = self.sources(now, &keys[..prompt.shared().len()]);
        SegmentLookup { salt, keys, sources }
    }

    fn cross_domain_ms(&self, state: &UpstreamState, kilobytes: u64) -> f64 {
        if state.upstream.failure_domain == self.failure_domain {
            return 0.0;
        }
        CROSS_DOMAIN_COST_MS + CROSS_DOMAIN_COST_MS_PER_KB * as_f64(kilobytes)
    }

    /// Returns the time since the first version that is newer than the one at `state` was set as the target.
    fn stale_time(
        &self,
        now: Now,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
    ) -> Option<Duration> {
        let model = &request.prompt?.model;
        let version = *state.versions.get(model)?;
        let newer = self.targets.get(model)?.iter().find(|target| target.version > version)?;
        Some((now + request.suspended).saturating_sub(newer.since))
    }

    /// Whether the weights at `state` have been stale for so long that no request may start on them.
    fn is_too_stale(
        &self,
        now: Now,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
    ) -> bool {
        self.stale_time(now, request, state).is_some_and(|time| time >= request.stale_weights_time)
    }

    /// Returns the cost of stale weights: answers on them are worth less.
    fn stale_weights_ms(
        &self,
        now: Now,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
    ) -> f64 {
        self.stale_time(now, request, state).map_or(0.0, |_| STALE_WEIGHTS_COST_MS)
    }
}

/// Returns a duration of `ms`; the longest one if it is infinite.
fn duration(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::MAX)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn initial_placement(now: Now, state: &UpstreamState, expected_ms: f64) -> Placement {
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
        expected_latency: duration(expected_ms),
        wait: Duration::ZERO,
        load_age: state.load.map(|(at, _)| now.saturating_sub(at)),
    }
}

/// Returns the seed of the tie-break, equal for requests with the same shared segments, so that among upstreams of
/// equal cost these prefer the same one.
fn affinity_seed(request: &PlacementRequest<'_>, prompt: &Prompt) -> u64 {
    prompt.shared().last().map_or(request.request_hash, |segment| segment.id)
}

/// Returns what spreads requests that other VMs do not see over upstreams whose costs differ little. All VMs have the same
/// view of the announced requests, so without it they would all select the same upstream until it reports its load.
fn spread_ms(state: &UpstreamState, request: &PlacementRequest<'_>, tokens: u64) -> f64 {
    if is_large(tokens) {
        return 0.0;
    }
    let peers = as_f64(u64::try_from(request.peers).unwrap_or(u64::MAX)).min(SPREAD_PEERS_MAX);
    tie_break_ms(state, request.request_hash) * peers
}

fn tie_break_ms(state: &UpstreamState, seed: u64) -> f64 {
    const STEPS: u64 = 1024;
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(state.upstream.id.as_bytes(), seed);
    as_f64(hash % STEPS) / as_f64(STEPS) * TIE_BREAK_COST_MS
}
