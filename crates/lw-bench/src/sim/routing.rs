//! How a VM selects an engine: the router, four baselines and two references that read the engines without delay.

use std::time::Duration;

use fastrand::Rng;
use lw_limit::admission::{self, Admission};
use lw_route::{Candidate, Decision, Engine, Options, Request, Router, digest::name_hash};
use lw_types::prelude::*;

use super::{engine::SimulatedEngine, to_f64};

/// How the VMs select an engine.
#[derive(Debug, Clone)]
pub enum RoutingPolicy {
    /// Router of the daemon.
    Router(Box<Options>),
    /// Baseline: a random engine.
    Random,
    /// Baseline: each VM sends to the engines one after the other.
    RoundRobin,
    /// Baseline: the engine with the fewest requests in flight from the VM.
    LeastInFlight,
    /// Baseline: rendezvous hash of the prefix, whatever the load.
    PrefixHash,
    /// Reference: [`RoutingPolicy::PrefixHash`] that refuses requests whose first token would miss the deadline, by the
    /// current cache and queue of the engine.
    HashRefusing,
    /// Reference: the engine with the least time to first token by its current cache and queue; refuses like
    /// [`RoutingPolicy::HashRefusing`].
    Greedy,
}

impl RoutingPolicy {
    /// Returns the router with default options.
    #[must_use]
    pub fn router() -> Self {
        Self::Router(Box::default())
    }

    /// Returns the baselines with their names.
    #[must_use]
    pub fn baselines() -> [(&'static str, Self); 4] {
        [
            ("random", Self::Random),
            ("round robin", Self::RoundRobin),
            ("least in flight", Self::LeastInFlight),
            ("prefix hash", Self::PrefixHash),
        ]
    }
}

/// Decision of a VM on one request.
#[derive(Debug)]
pub enum RoutingDecision {
    /// Send to this engine; the router adds its candidate and the time after which to hedge.
    Send(usize, Option<(Candidate, Duration)>),
    /// Refuse; the caller may retry after this time.
    Refuse(Duration),
}

/// One entry VM.
#[derive(Debug)]
pub struct Vm {
    /// Router, if the VM has one.
    pub router: Option<Router>,
    /// Admission by the shares of workspaces, beside the router.
    pub admission: Option<Admission>,
    /// Requests in flight from this VM at each engine.
    pub in_flight: Vec<u32>,
    round_robin_index: usize,
    rng: Rng,
}

/// Returns the id of an engine.
#[must_use]
pub fn engine_id(engine: usize) -> String {
    format!("engine-{engine}")
}

/// Role of all engines.
pub const ROLE: &str = "assistant";

impl Vm {
    /// Creates a VM that has just started.
    #[must_use]
    pub fn new(policy: &RoutingPolicy, number: usize, engines: usize, seed: u64) -> Self {
        let router = match policy {
            RoutingPolicy::Router(options) => {
                let vm = format!("vm-{number}");
                let failure_domain = format!("domain-{}", number % 3);
                let seed = seed ^ number as u64;
                let mut router =
                    Router::new(Options { vm, failure_domain, seed, ..(**options).clone() });
                let all_engines: Vec<_> = (0..engines).map(engine).collect();
                router.set_engines(Duration::ZERO, &all_engines);
                Some(router)
            }
            _ => None,
        };
        let rng = Rng::with_seed(seed.wrapping_mul(31) + number as u64);
        let admission = router
            .is_some()
            .then(|| Admission::new(format!("vm-{number}"), admission::Options::default()));
        Self { router, admission, in_flight: vec![0; engines], round_robin_index: number, rng }
    }

    /// Selects an engine for `request`.
    pub fn route(
        &mut self,
        policy: &RoutingPolicy,
        now: Now,
        request: &Request,
        engines: &[SimulatedEngine],
    ) -> RoutingDecision {
        let n = engines.len();
        match policy {
            RoutingPolicy::Router(_) => self.route_by_router(now, request),
            RoutingPolicy::Random => RoutingDecision::Send(self.rng.usize(0..n), None),
            RoutingPolicy::RoundRobin => {
                self.round_robin_index += 1;
                RoutingDecision::Send(self.round_robin_index % n, None)
            }
            RoutingPolicy::LeastInFlight => {
                let offset = self.rng.usize(0..n);
                let rotated = (0..n).map(|i| (offset + i) % n);
                RoutingDecision::Send(rotated.min_by_key(|&e| self.in_flight[e]).unwrap_or(0), None)
            }
            RoutingPolicy::PrefixHash => RoutingDecision::Send(home_engine(request, n), None),
            RoutingPolicy::HashRefusing => {
                let home_engine = home_engine(request, n);
                least_time_engine(request, engines, &mut self.rng, [home_engine].into_iter())
            }
            RoutingPolicy::Greedy => {
                let offset = self.rng.usize(0..n);
                let all = (0..n).map(|i| (offset + i) % n);
                least_time_engine(request, engines, &mut self.rng, all)
            }
        }
    }

    fn route_by_router(&mut self, now: Now, request: &Request) -> RoutingDecision {
        let Some(router) = &mut self.router else {
            return RoutingDecision::Refuse(Duration::from_secs(1));
        };
        match router.decide(now, request) {
            Decision::Send(placement) => {
                let hedge = placement.hedge_after;
                let Some(candidate) = placement.candidates.into_iter().next() else {
                    return RoutingDecision::Refuse(Duration::from_secs(1));
                };
                RoutingDecision::Send(engine_number(&candidate.engine), Some((candidate, hedge)))
            }
            Decision::Refuse(refusal) => RoutingDecision::Refuse(refusal.retry_after),
        }
    }
}

/// Returns the index of the engine with this id.
#[must_use]
pub fn engine_number(id: &str) -> usize {
    id.trim_start_matches("engine-").parse().unwrap_or(0)
}

fn engine(number: usize) -> Engine {
    Engine {
        id: engine_id(number),
        failure_domain: format!("domain-{}", number % 3),
        role: ROLE.to_owned(),
        ..Engine::default()
    }
}

/// Returns the first engine in rendezvous order of the prefix.
fn home_engine(request: &Request, engines: usize) -> usize {
    let key = request.fingerprint.rendezvous_key(Options::default().home_prefix_pieces, 0);
    let rendezvous_score = |e: &usize| {
        let mixed = (key ^ name_hash(&engine_id(*e))).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    };
    (0..engines).max_by_key(rendezvous_score).unwrap_or(0)
}

/// Returns the engine with the least time to first token among `candidates`, by their current caches and queues, or
/// a refusal if its first token would miss the deadline.
fn least_time_engine(
    request: &Request,
    engines: &[SimulatedEngine],
    rng: &mut Rng,
    candidates: impl Iterator<Item = usize>,
) -> RoutingDecision {
    let blocks = &request.fingerprint.blocks;
    let first_token_seconds = |e: usize| {
        let engine = &engines[e];
        let cached = to_f64(engine.cached_prefix_blocks(blocks)) * 1000.0;
        let prompt = to_f64(usize::try_from(request.fingerprint.tokens).unwrap_or(0));
        let queued =
            to_f64(usize::try_from(engine.queued_prompt_tokens(request.class)).unwrap_or(0));
        (queued + prompt - cached) / engine.prefill_rate()
    };
    let best = candidates.map(|e| (first_token_seconds(e), e)).min_by(|a, b| a.0.total_cmp(&b.0));
    let Some((least_seconds, engine)) = best else {
        return RoutingDecision::Refuse(Duration::from_secs(1));
    };
    let excess_seconds = least_seconds - request.deadline.as_secs_f64();
    if excess_seconds > 0.0 {
        return RoutingDecision::Refuse(Duration::from_secs_f64(
            excess_seconds.max(0.5) * (1.0 + rng.f64()),
        ));
    }
    RoutingDecision::Send(engine, None)
}
