//! How a VM picks an engine: the router, four baselines and the reference with perfect sight.

use std::time::Duration;

use fastrand::Rng;
use lw_limit::admission::{self, Admission};
use lw_route::{Candidate, Decision, Engine, Options, Request, Router, digest::name_hash};
use lw_types::prelude::*;

use super::{count, engine::EngineFake};

/// Which policy the VMs run.
#[derive(Debug, Clone)]
pub enum Policy {
    /// The router, as in the daemon.
    Router(Box<Options>),
    /// Baseline: any engine.
    Random,
    /// Baseline: each VM in turn over the engines.
    RoundRobin,
    /// Baseline: the engine with the fewest requests in flight from this VM.
    LeastInFlight,
    /// Baseline: rendezvous hash of the prefix, without load.
    PrefixHash,
    /// Reference: [`Policy::PrefixHash`] that sees caches and queues without lag and refuses what would be late.
    HashRefusing,
    /// Reference: least time to first token, with caches and queues seen without lag.
    Greedy,
}

impl Policy {
    /// The router with default options.
    #[must_use]
    pub fn router() -> Self {
        Self::Router(Box::default())
    }

    /// The baselines with their names.
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

/// Answer of a VM for one request.
#[derive(Debug)]
pub enum Pick {
    /// Send to this engine; with the router's candidate and the time of a hedge.
    Send(usize, Option<(Candidate, Duration)>),
    /// Come back later.
    Refuse(Duration),
}

/// One entry VM.
#[derive(Debug)]
pub struct Vm {
    /// The router, if the policy is the router.
    pub router: Option<Router>,
    /// Fair shares under pressure, beside the router.
    pub admission: Option<Admission>,
    /// Requests in flight from this VM for each engine.
    pub in_flight: Vec<u32>,
    turn: usize,
    rng: Rng,
}

/// Name of an engine.
#[must_use]
pub fn engine_id(engine: usize) -> String {
    format!("engine-{engine}")
}

/// Role of all engines.
pub const ROLE: &str = "assistant";

impl Vm {
    /// A VM that just started.
    #[must_use]
    pub fn new(policy: &Policy, number: usize, engines: usize, seed: u64) -> Self {
        let router = match policy {
            Policy::Router(options) => {
                let vm = format!("vm-{number}");
                let failure_domain = format!("domain-{}", number % 3);
                let seed = seed ^ number as u64;
                let mut router =
                    Router::new(Options { vm, failure_domain, seed, ..(**options).clone() });
                let list: Vec<_> = (0..engines).map(engine).collect();
                router.set_engines(Duration::ZERO, &list);
                Some(router)
            }
            _ => None,
        };
        let rng = Rng::with_seed(seed.wrapping_mul(31) + number as u64);
        let admission = router
            .is_some()
            .then(|| Admission::new(format!("vm-{number}"), admission::Options::default()));
        Self { router, admission, in_flight: vec![0; engines], turn: number, rng }
    }

    /// Picks an engine for `request`.
    pub fn pick(
        &mut self,
        policy: &Policy,
        now: Now,
        request: &Request,
        engines: &[EngineFake],
    ) -> Pick {
        let n = engines.len();
        match policy {
            Policy::Router(_) => self.ask_router(now, request),
            Policy::Random => Pick::Send(self.rng.usize(0..n), None),
            Policy::RoundRobin => {
                self.turn += 1;
                Pick::Send(self.turn % n, None)
            }
            Policy::LeastInFlight => {
                let start = self.rng.usize(0..n);
                let order = (0..n).map(|i| (start + i) % n);
                Pick::Send(order.min_by_key(|&e| self.in_flight[e]).unwrap_or(0), None)
            }
            Policy::PrefixHash => Pick::Send(home(request, n), None),
            Policy::HashRefusing => {
                let home = home(request, n);
                best_of(request, engines, &mut self.rng, [home].into_iter())
            }
            Policy::Greedy => {
                let start = self.rng.usize(0..n);
                let all = (0..n).map(|i| (start + i) % n);
                best_of(request, engines, &mut self.rng, all)
            }
        }
    }

    fn ask_router(&mut self, now: Now, request: &Request) -> Pick {
        let Some(router) = &mut self.router else { return Pick::Refuse(Duration::from_secs(1)) };
        match router.decide(now, request) {
            Decision::Send(placement) => {
                let hedge = placement.hedge_after;
                let Some(first) = placement.candidates.into_iter().next() else {
                    return Pick::Refuse(Duration::from_secs(1));
                };
                Pick::Send(engine_number(&first.engine), Some((first, hedge)))
            }
            Decision::Refuse(refusal) => Pick::Refuse(refusal.retry_after),
        }
    }
}

/// Number in an engine's name.
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

/// First engine in rendezvous order of the prefix.
fn home(request: &Request, engines: usize) -> usize {
    let key = request.fingerprint.rendezvous_key(Options::default().home_prefix_pieces, 0);
    let rank = |e: &usize| {
        let mixed = (key ^ name_hash(&engine_id(*e))).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    };
    (0..engines).max_by_key(rank).unwrap_or(0)
}

/// The engine with the least time to first token among `places`, with full sight.
fn best_of(
    request: &Request,
    engines: &[EngineFake],
    rng: &mut Rng,
    places: impl Iterator<Item = usize>,
) -> Pick {
    let blocks = &request.fingerprint.blocks;
    let time = |e: usize| {
        let engine = &engines[e];
        let cached = count(engine.held(blocks)) * 1000.0;
        let prompt = count(usize::try_from(request.fingerprint.tokens).unwrap_or(0));
        let queued = count(usize::try_from(engine.queued_tokens(request.class)).unwrap_or(0));
        (queued + prompt - cached) / engine.prefill_rate()
    };
    let best = places.map(|e| (time(e), e)).min_by(|a, b| a.0.total_cmp(&b.0));
    let Some((least, engine)) = best else { return Pick::Refuse(Duration::from_secs(1)) };
    let late = least - request.deadline.as_secs_f64();
    if late > 0.0 {
        return Pick::Refuse(Duration::from_secs_f64(late.max(0.5) * (1.0 + rng.f64())));
    }
    Pick::Send(engine, None)
}
