//! The decision for one request.

use std::time::Duration;

use lw_types::prelude::*;

use super::{Router, state::EngineState};
use crate::{
    Candidate, Decision, KvImport, Placement, PlacementReason, Refusal, Rejected, Request,
    digest::name_hash, health::Speed, queue::to_f64,
};

/// Shortest time to wait in a refusal, before the random addition.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// Longest time to wait in a refusal, before the random addition.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Time to wait in a refusal because no engine is usable.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_secs(2);
/// Fraction of the deadline that is kept as a margin when the mean wait is as long as the deadline; the margin shrinks
/// with the mean wait. Expected times are least certain at a high load, and a request that is sent and then exceeds its
/// deadline has cost a complete prefill.
const DEADLINE_MARGIN_FRACTION: f64 = 0.3;
/// Mean wait, as a fraction of the deadline, below which a request that no usual candidate can answer in time may use
/// further engines. Above it, recomputing the prompt there would make other requests exceed their deadlines.
const FALLBACK_WAIT_FRACTION: f64 = 0.35;
/// Number of engines, the first in rendezvous order, that are considered as the source of a KV move. The first pieces
/// of a prompt may be cached at engines far down the order, but checking more than these takes too long on the
/// request path.
const IMPORT_SOURCES_MAX: usize = 32;
/// Largest number of uncached tokens of a request that probes a slow engine. A longer prefill would use up the deadline
/// before it shows the speed of the engine.
const PROBE_UNCACHED_TOKENS_MAX: u64 = 2000;
/// Number of engines, the first in rendezvous order, that a decision considers. With all of 500 engines sorted, a
/// decision took more than 50 us.
const RANKED_ENGINES_MAX: usize = 64;
/// Time from sending a request until the first check whether it needs a hedge.
const FIRST_HEDGE_CHECK: Duration = Duration::from_millis(100);

struct ScoredCandidate {
    candidate: Candidate,
    /// Expected time to first token in seconds, with the prefill time at engines other than the home engine weighted by
    /// [`crate::Options::non_home_prefill_weight`].
    cost: f64,
}

impl Router {
    /// Decides where to send `request`, or refuses it.
    ///
    /// The decision itself is not recorded; record [`crate::Event::Sent`] when the request is sent.
    pub fn decide(&mut self, now: Now, request: &Request) -> Decision {
        let mut rejected = Vec::new();
        let (ranked, mean_wait) = self.rank_engines(now, request, &mut rejected);
        let home = ranked.first().copied();
        let mut scored: Vec<ScoredCandidate> = ranked
            .iter()
            .take(self.options.usual_candidates)
            .map(|&position| {
                self.score(now, request, &ranked, position, mean_wait, Some(position) == home)
            })
            .collect();
        let wait_ratio = (mean_wait / request.deadline.as_secs_f64().max(0.001)).min(1.0);
        let expected_max = request.deadline.mul_f64(1.0 - DEADLINE_MARGIN_FRACTION * wait_ratio);
        let is_too_late = |s: &ScoredCandidate| s.candidate.expected_first_token > expected_max;
        if wait_ratio < FALLBACK_WAIT_FRACTION && scored.iter().all(is_too_late) {
            let others = ranked.iter().skip(self.options.usual_candidates);
            scored
                .extend(others.map(|&position| {
                    self.score(now, request, &ranked, position, mean_wait, false)
                }));
        }
        scored.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let shortest = scored.iter().map(|s| s.candidate.expected_first_token).min();
        let (too_late, usable): (Vec<_>, Vec<_>) = scored.into_iter().partition(is_too_late);
        rejected.extend(too_late.into_iter().map(|s| Rejected {
            engine: s.candidate.engine,
            reason: PlacementReason::ExceedsDeadline,
        }));
        let candidates: Vec<Candidate> = usable.into_iter().map(|s| s.candidate).collect();
        match candidates.first() {
            Some(_) => {
                Decision::Send(Placement { candidates, rejected, hedge_after: FIRST_HEDGE_CHECK })
            }
            None => Decision::Refuse(self.build_refusal(request, shortest, rejected)),
        }
    }

    /// Returns the usable engines in rendezvous order of the request's prefix, and the mean wait in seconds. The mean
    /// includes slow engines: without them, engines other than the home engine would get a low cost just when
    /// capacity is short.
    fn rank_engines(
        &self,
        now: Now,
        request: &Request,
        rejected: &mut Vec<Rejected>,
    ) -> (Vec<usize>, f64) {
        let request_hash = xxhash_rust::xxh3::xxh3_64(request.id.as_bytes());
        let key = request.fingerprint.rendezvous_key(self.options.home_prefix_pieces, request_hash);
        let role_hash = name_hash(&request.role);
        let mut ranked: Vec<(u64, usize)> = Vec::with_capacity(self.engines.len());
        let mut failed: Vec<(u64, usize)> = Vec::new();
        for (position, state) in self.engines.iter().enumerate() {
            if state.role_hash != role_hash {
                continue;
            }
            match exclusion_reason(now, request, state) {
                Some(PlacementReason::Failed) => failed.push((mix(key, state.id_hash), position)),
                Some(reason) => rejected.push(Rejected { engine: state.engine.id.clone(), reason }),
                None => ranked.push((mix(key, state.id_hash), position)),
            }
        }
        // Engines that failed a short time ago may work again. They are used rather than refusing the request.
        if ranked.is_empty() {
            std::mem::swap(&mut ranked, &mut failed);
        }
        let id = |position: usize| self.engines[position].engine.id.clone();
        rejected.extend(failed.into_iter().map(|(_, position)| Rejected {
            engine: id(position),
            reason: PlacementReason::Failed,
        }));
        if ranked.len() > RANKED_ENGINES_MAX {
            ranked.select_nth_unstable_by(RANKED_ENGINES_MAX, |a, b| b.cmp(a));
            ranked.truncate(RANKED_ENGINES_MAX);
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let ranked: Vec<usize> = ranked.into_iter().map(|(_, position)| position).collect();
        let mean_wait = self.mean_wait(now, request.class, &ranked);
        let health = |position: usize| &self.engines[position].health;
        let has_short_prefill = |state: &EngineState| {
            let cached = Self::cached_tokens(request, state);
            request.fingerprint.tokens - cached <= PROBE_UNCACHED_TOKENS_MAX
        };
        let is_probe = |position: usize| {
            ranked.first() == Some(&position)
                && request.tried.is_empty()
                && health(position).may_probe(now)
                && has_short_prefill(&self.engines[position])
        };
        let (normal, slow): (Vec<_>, Vec<_>) = ranked.iter().partition(|&&position| {
            health(position).speed(now) == Speed::Normal || is_probe(position)
        });
        if normal.is_empty() {
            return (slow, mean_wait);
        }
        rejected.extend(
            slow.into_iter()
                .map(|position| Rejected { engine: id(position), reason: PlacementReason::Slow }),
        );
        (normal, mean_wait)
    }

    fn score(
        &self,
        now: Now,
        request: &Request,
        ranked: &[usize],
        position: usize,
        mean_wait: f64,
        is_home: bool,
    ) -> ScoredCandidate {
        let state = &self.engines[position];
        let prefill_rate = state.prefill_rate;
        let cached_tokens = Self::cached_tokens(request, state);
        let import = self.best_import(request, ranked, state, cached_tokens);
        let imported_tokens = import.as_ref().map_or(0, |import| import.tokens);
        let uncached = to_f64(request.fingerprint.tokens - cached_tokens - imported_tokens);
        let wait = state.queue.tokens_ahead(now, request.class, prefill_rate) / prefill_rate;
        // The request joins the queue after the move, behind the requests that arrive until then.
        let wait = wait + import.as_ref().map_or(0.0, |import| import.expected.as_secs_f64());
        let base = self.options.first_token_base.as_secs_f64();
        let expected = base + wait + uncached / prefill_rate;
        let prefill_weight =
            if is_home { 1.0 } else { 1.0 + self.options.non_home_prefill_weight * mean_wait };
        let cost = base + wait + uncached / prefill_rate * prefill_weight;
        let candidate = Candidate {
            engine: state.engine.id.clone(),
            incarnation: state.index.incarnation(),
            expected_first_token: Duration::from_secs_f64(expected),
            cached_tokens,
            import,
            reason: match state.health.speed(now) {
                Speed::Normal if is_home => PlacementReason::Home,
                Speed::Normal => PlacementReason::NonHome,
                Speed::Suspect | Speed::Slow => PlacementReason::Probe,
            },
        };
        ScoredCandidate { candidate, cost }
    }

    /// Returns the KV move to `target` from the engine that has most of the prompt cached, among the first
    /// [`IMPORT_SOURCES_MAX`] in rendezvous order; `None` if recomputing is at least as fast.
    fn best_import(
        &self,
        request: &Request,
        ranked: &[usize],
        target: &EngineState,
        cached_tokens: u64,
    ) -> Option<KvImport> {
        let move_cost = self.options.kv_move?;
        let sources =
            ranked.iter().take(IMPORT_SOURCES_MAX).map(|&position| &self.engines[position]);
        let best = sources
            .filter(|source| source.id_hash != target.id_hash)
            .max_by_key(|source| source.index.cached_prefix_len(&request.fingerprint.blocks))?;
        let tokens = Self::cached_tokens(request, best).checked_sub(cached_tokens)?;
        let expected = move_cost.time(tokens);
        let recompute_seconds = to_f64(tokens) / target.prefill_rate;
        (tokens > 0 && expected.as_secs_f64() < recompute_seconds).then(|| KvImport {
            from: best.engine.id.clone(),
            incarnation: best.index.incarnation(),
            blocks: best.index.cached_prefix_len(&request.fingerprint.blocks),
            tokens,
            expected,
        })
    }

    /// Returns the mean wait in seconds of the ranked engines. They are an unbiased sample if there are more than
    /// [`RANKED_ENGINES_MAX`] engines.
    fn mean_wait(&self, now: Now, class: Class, ranked: &[usize]) -> f64 {
        let wait = |&position: &usize| {
            let state = &self.engines[position];
            state.queue.tokens_ahead(now, class, state.prefill_rate) / state.prefill_rate
        };
        ranked.iter().map(wait).sum::<f64>() / to_f64(ranked.len().max(1) as u64)
    }

    fn build_refusal(
        &self,
        request: &Request,
        shortest: Option<Duration>,
        rejected: Vec<Rejected>,
    ) -> Refusal {
        let (code, wait) = match shortest {
            Some(shortest) => (ResultCode::Overloaded, shortest.saturating_sub(request.deadline)),
            None => (ResultCode::NoUpstream, RETRY_AFTER_NO_UPSTREAM),
        };
        // Up to the same time is added at random, so that callers refused together do not retry together.
        let jitter = mix(xxhash_rust::xxh3::xxh3_64(request.id.as_bytes()), self.options.seed);
        let jitter_fraction = f64::from(u16::try_from(jitter & 0xffff).unwrap_or(0)) / 65_536.0;
        let wait = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        Refusal {
            code,
            retry_after: wait.mul_f64(1.0 + jitter_fraction),
            expected_first_token: shortest,
            rejected,
        }
    }
}

fn exclusion_reason(now: Now, request: &Request, state: &EngineState) -> Option<PlacementReason> {
    let scope = &request.scope;
    let adapter = scope.adapter.as_deref().zip(scope.adapter_version.as_deref());
    if state.is_leaving() {
        Some(PlacementReason::Leaving)
    } else if request.tried.contains(&state.engine.id) {
        Some(PlacementReason::AlreadyTried)
    } else if state.has_failed(now) {
        Some(PlacementReason::Failed)
    } else if !state.has_loaded(&scope.model, &scope.model_version)
        || adapter.is_some_and(|(name, version)| !state.has_loaded(name, version))
    {
        Some(PlacementReason::NotLoaded)
    } else {
        None
    }
}

/// Mixes two hashes with the finaliser of splitmix64.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
