//! The decision for one request.

use std::time::Duration;

use lw_types::prelude::*;

use super::{Router, state::State};
use crate::{
    Candidate, Decision, KvImport, Placement, PlacementReason, Refusal, Rejected, Request,
    digest::name_hash, health::Speed, load::to_f64,
};

/// Bounds of the time that a refusal tells the caller to wait.
const RETRY_MIN: Duration = Duration::from_millis(500);
const RETRY_MAX: Duration = Duration::from_secs(30);
/// Answer to a request without any usable engine.
const RETRY_NO_UPSTREAM: Duration = Duration::from_secs(2);
/// Part of the deadline kept as margin when the mean wait is as long as the deadline. Expected times are then least
/// certain, and a request that is admitted and comes late has cost a whole prefill.
const MARGIN: f64 = 0.3;
/// Mean wait, as part of the deadline, up to which engines beyond the usual candidates may be used for a request
/// that none of those can answer in time. Above it the recomputation there would cost other requests their answers.
const FALLBACK_WAIT: f64 = 0.35;
/// Engines in rendezvous order that are looked at as sources of a move. Upper levels of a prefix are held at engines
/// far down the order; more than these would cost time on the request path.
const IMPORT_SOURCES: usize = 32;
/// Most uncached tokens of a probe of a slow engine. A longer prefill would use up the deadline before it tells
/// anything.
const PROBE_TOKENS_MAX: u64 = 2000;
/// Engines in rendezvous order that a decision looks at. Sorting all of 500 engines took a decision above 50 us.
const RANKED_MAX: usize = 64;
/// Time between looks at a request that has no first token yet.
const HEDGE_LOOK: Duration = Duration::from_millis(100);

struct Scored {
    candidate: Candidate,
    cost: f64,
}

impl Router {
    /// Decides where to send `request`, or refuses it.
    ///
    /// The decision is not recorded; record [`crate::Event::Sent`] when the request leaves.
    pub fn decide(&mut self, now: Now, request: &Request) -> Decision {
        let mut rejected = Vec::new();
        let (ranked, mean_wait) = self.ranked(now, request, &mut rejected);
        let home = ranked.first().copied();
        let mut scored: Vec<Scored> = ranked
            .iter()
            .take(self.options.usual_candidates)
            .map(|&place| self.score(now, request, &ranked, place, mean_wait, Some(place) == home))
            .collect();
        let busy = (mean_wait / request.deadline.as_secs_f64().max(0.001)).min(1.0);
        let limit = request.deadline.mul_f64(1.0 - MARGIN * busy);
        let is_late = |s: &Scored| s.candidate.expected_first_token > limit;
        if busy < FALLBACK_WAIT && scored.iter().all(is_late) {
            let others = ranked.iter().skip(self.options.usual_candidates);
            scored.extend(
                others.map(|&place| self.score(now, request, &ranked, place, mean_wait, false)),
            );
        }
        scored.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let least = scored.iter().map(|s| s.candidate.expected_first_token).min();
        let (late, usable): (Vec<_>, Vec<_>) = scored.into_iter().partition(is_late);
        rejected.extend(late.into_iter().map(|s| Rejected {
            engine: s.candidate.engine,
            reason: PlacementReason::ExceedsDeadline,
        }));
        let candidates: Vec<Candidate> = usable.into_iter().map(|s| s.candidate).collect();
        match candidates.first() {
            Some(_) => Decision::Send(Placement { candidates, rejected, hedge_after: HEDGE_LOOK }),
            None => Decision::Refuse(self.refusal(request, least, rejected)),
        }
    }

    /// Usable engines in rendezvous order of the request's prefix, and the mean wait in seconds. The mean counts slow
    /// engines too: without them spills look cheap just when capacity is missing.
    fn ranked(
        &self,
        now: Now,
        request: &Request,
        rejected: &mut Vec<Rejected>,
    ) -> (Vec<usize>, f64) {
        let spread = xxhash_rust::xxh3::xxh3_64(request.id.as_bytes());
        let key = request.fingerprint.rendezvous_key(self.options.home_prefix_pieces, spread);
        let role = name_hash(&request.role);
        let mut ranked: Vec<(u64, usize)> = Vec::with_capacity(self.engines.len());
        let mut failed: Vec<(u64, usize)> = Vec::new();
        for (place, state) in self.engines.iter().enumerate() {
            if state.role != role {
                continue;
            }
            match unusable(now, request, state) {
                Some(PlacementReason::Failed) => failed.push((mix(key, state.key), place)),
                Some(reason) => rejected.push(Rejected { engine: state.engine.id.clone(), reason }),
                None => ranked.push((mix(key, state.key), place)),
            }
        }
        // An engine that failed a moment ago may work again; without any other it is better than a refusal.
        if ranked.is_empty() {
            std::mem::swap(&mut ranked, &mut failed);
        }
        let id = |place: usize| self.engines[place].engine.id.clone();
        rejected.extend(
            failed
                .into_iter()
                .map(|(_, p)| Rejected { engine: id(p), reason: PlacementReason::Failed }),
        );
        if ranked.len() > RANKED_MAX {
            ranked.select_nth_unstable_by(RANKED_MAX, |a, b| b.cmp(a));
            ranked.truncate(RANKED_MAX);
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let ranked: Vec<usize> = ranked.into_iter().map(|(_, place)| place).collect();
        let mean_wait = self.mean_wait(now, request.class, &ranked);
        let health = |place: usize| &self.engines[place].health;
        let is_cheap = |state: &State| {
            let cached = Self::cached_tokens(request, state);
            request.fingerprint.tokens - cached <= PROBE_TOKENS_MAX
        };
        let is_probe = |place: usize| {
            ranked.first() == Some(&place)
                && request.tried.is_empty()
                && health(place).may_probe(now)
                && is_cheap(&self.engines[place])
        };
        let (normal, slow): (Vec<_>, Vec<_>) = ranked
            .iter()
            .partition(|&&place| health(place).speed(now) == Speed::Normal || is_probe(place));
        if normal.is_empty() {
            return (slow, mean_wait);
        }
        rejected.extend(
            slow.into_iter().map(|p| Rejected { engine: id(p), reason: PlacementReason::Slow }),
        );
        (normal, mean_wait)
    }

    fn score(
        &self,
        now: Now,
        request: &Request,
        ranked: &[usize],
        place: usize,
        mean_wait: f64,
        home: bool,
    ) -> Scored {
        let state = &self.engines[place];
        let rate = state.rate;
        let cached_tokens = Self::cached_tokens(request, state);
        let import = self.import(request, ranked, state, cached_tokens);
        let moved = import.as_ref().map_or(0, |import| import.tokens);
        let uncached = to_f64(request.fingerprint.tokens - cached_tokens - moved);
        let wait = state.load.ahead(now, request.class, rate) / rate;
        // The request joins the queue after the move, behind what arrives meanwhile.
        let wait = wait + import.as_ref().map_or(0.0, |import| import.expected.as_secs_f64());
        let base = self.options.first_token_base.as_secs_f64();
        let expected = base + wait + uncached / rate;
        let pressure = if home { 1.0 } else { 1.0 + self.options.spill_weight * mean_wait };
        let cost = base + wait + uncached / rate * pressure;
        let candidate = Candidate {
            engine: state.engine.id.clone(),
            incarnation: state.index.incarnation(),
            expected_first_token: Duration::from_secs_f64(expected),
            cached_tokens,
            import,
            reason: match state.health.speed(now) {
                Speed::Normal if home => PlacementReason::Home,
                Speed::Normal => PlacementReason::Spill,
                Speed::Suspect | Speed::Slow => PlacementReason::Probe,
            },
        };
        Scored { candidate, cost }
    }

    /// The move to `target` that saves the most time, from one of the first [`IMPORT_SOURCES`] engines in rendezvous order.
    fn import(
        &self,
        request: &Request,
        ranked: &[usize],
        target: &State,
        cached_tokens: u64,
    ) -> Option<KvImport> {
        let link = self.options.kv_move?;
        let sources = ranked.iter().take(IMPORT_SOURCES).map(|&p| &self.engines[p]);
        let best = sources
            .filter(|source| source.key != target.key)
            .max_by_key(|source| source.index.held(&request.fingerprint.blocks))?;
        let tokens = Self::cached_tokens(request, best).checked_sub(cached_tokens)?;
        let expected = link.time(tokens);
        let recompute = to_f64(tokens) / target.rate;
        (tokens > 0 && expected.as_secs_f64() < recompute).then(|| KvImport {
            from: best.engine.id.clone(),
            incarnation: best.index.incarnation(),
            blocks: best.index.held(&request.fingerprint.blocks),
            tokens,
            expected,
        })
    }

    /// Mean wait in seconds over the ranked engines, which are a fair sample of a larger fleet.
    fn mean_wait(&self, now: Now, class: Class, ranked: &[usize]) -> f64 {
        let wait = |&place: &usize| {
            let state = &self.engines[place];
            state.load.ahead(now, class, state.rate) / state.rate
        };
        ranked.iter().map(wait).sum::<f64>() / to_f64(ranked.len().max(1) as u64)
    }

    fn refusal(
        &self,
        request: &Request,
        least: Option<Duration>,
        rejected: Vec<Rejected>,
    ) -> Refusal {
        let (code, wait) = match least {
            Some(least) => (ResultCode::Overloaded, least.saturating_sub(request.deadline)),
            None => (ResultCode::NoUpstream, RETRY_NO_UPSTREAM),
        };
        // Callers refused together must not come back together, so up to the same time again is added.
        let spread = mix(xxhash_rust::xxh3::xxh3_64(request.id.as_bytes()), self.options.seed);
        let part = f64::from(u16::try_from(spread & 0xffff).unwrap_or(0)) / 65_536.0;
        let wait = wait.clamp(RETRY_MIN, RETRY_MAX);
        Refusal {
            code,
            retry_after: wait.mul_f64(1.0 + part),
            expected_first_token: least,
            rejected,
        }
    }
}

fn unusable(now: Now, request: &Request, state: &State) -> Option<PlacementReason> {
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

/// Mixes two hashes (the finaliser of splitmix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
