//! The router: decides for each request and records what happens to it.

use std::{collections::HashMap, time::Duration};

use lw_types::prelude::*;

use crate::{
    CacheEvent, Candidate, Digest, DigestEntry, Engine, LoadReport, Options, Request,
    digest::name_hash, fingerprint::BLOCK_TOKENS, load::to_f64,
};

mod decide;
mod hedge;
mod state;
pub mod status;
pub mod versions;

use state::State;

/// Something that happened and that later decisions depend on.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// A request was sent to an engine.
    Sent {
        /// The request.
        request: &'a Request,
        /// Number of this attempt.
        attempt: Attempt,
        /// The candidate it was sent to.
        candidate: &'a Candidate,
    },
    /// The first token of an attempt arrived.
    FirstToken {
        /// Id of the request.
        request: &'a str,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// A stream gave no token for [`Options::stall_after`]. Recorded once for each silence.
    Stalled {
        /// Id of the request.
        request: &'a str,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An attempt is complete.
    Finished {
        /// Id of the request.
        request: &'a str,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An attempt failed because of the engine or the connection to it.
    Failed {
        /// Id of the request.
        request: &'a str,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// An attempt was cancelled by this VM or the caller.
    Cancelled {
        /// Id of the request.
        request: &'a str,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// A load report arrived.
    Load {
        /// Id of the engine.
        engine: &'a str,
        /// The report.
        report: &'a LoadReport,
    },
    /// A cache event arrived.
    Cache {
        /// Id of the engine.
        engine: &'a str,
        /// The event.
        event: CacheEvent,
    },
    /// A digest of a peer arrived.
    PeerDigest {
        /// The digest.
        digest: &'a Digest,
    },
}

#[derive(Debug)]
struct InFlight {
    engine: u64,
    sent: Now,
    expected: Duration,
    has_first_token: bool,
}

/// Places requests on engines. See the crate documentation.
///
/// ```
/// use std::time::Duration;
/// use lw_route::{Decision, Engine, Fingerprint, Options, Request, Router};
/// let mut router = Router::new(Options::default());
/// router.set_engines(
///     Duration::ZERO,
///     &[Engine { id: "engine-1".into(), role: "assistant".into(), ..Engine::default() }],
/// );
/// let mut request = Request { role: "assistant".into(), ..Request::default() };
/// request.fingerprint = Fingerprint::of(&request.scope, b"Summarise the wishes.");
/// request.deadline = Duration::from_millis(1700);
/// let Decision::Send(placement) = router.decide(Duration::ZERO, &request) else { panic!() };
/// assert_eq!(placement.candidates[0].engine, "engine-1");
/// ```
#[derive(Debug)]
pub struct Router {
    options: Options,
    engines: Vec<State>,
    by_key: HashMap<u64, usize>,
    in_flight: HashMap<(RequestId, Attempt), InFlight>,
    peers: HashMap<VmId, u64>,
    digest_seq: u64,
    /// Hedges that may be sent now.
    hedges: f64,
}

impl Router {
    /// A router that knows no engines yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            engines: Vec::new(),
            by_key: HashMap::new(),
            in_flight: HashMap::new(),
            peers: HashMap::new(),
            digest_seq: 0,
            hedges: 0.0,
        }
    }

    /// Replaces the set of engines. What is known of engines that stay is kept.
    pub fn set_engines(&mut self, now: Now, engines: &[Engine]) {
        let mut known: HashMap<u64, State> =
            self.engines.drain(..).map(|state| (state.key, state)).collect();
        self.by_key.clear();
        for engine in engines {
            let key = name_hash(&engine.id);
            let mut state =
                known.remove(&key).unwrap_or_else(|| State::new(engine.clone(), &self.options));
            state.describe(now, engine);
            self.by_key.insert(key, self.engines.len());
            self.engines.push(state);
        }
    }

    /// Number of prefix entries held for all engines.
    #[must_use]
    pub fn index_entries(&self) -> usize {
        self.engines.iter().map(|state| state.index.len()).sum()
    }

    /// Number of attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Records an event.
    pub fn record(&mut self, now: Now, event: Event<'_>) {
        match event {
            Event::Sent { request, attempt, candidate } => {
                self.sent(now, request, attempt, candidate);
            }
            Event::FirstToken { request, attempt } => self.first_token(now, request, attempt),
            Event::Stalled { request, attempt } => {
                let engine = self.in_flight.get(&(request.to_owned(), attempt)).map(|e| e.engine);
                if let Some(state) = engine.and_then(|engine| self.state(engine)) {
                    state.health.stalled(now);
                }
            }
            Event::Finished { request, attempt } | Event::Cancelled { request, attempt } => {
                self.ended(request, attempt);
            }
            Event::Failed { request, attempt } => {
                if let Some(state) = self.ended(request, attempt) {
                    state.failed(now);
                }
            }
            Event::Load { engine, report } => {
                let age = report.age.unwrap_or(self.options.assumed_report_age);
                if let Some(state) = self.state(name_hash(engine)) {
                    state.load_report(now, now.saturating_sub(age), report);
                }
            }
            Event::Cache { engine, event } => {
                if let Some(state) = self.state(name_hash(engine)) {
                    state.cache_event(now, event);
                }
            }
            Event::PeerDigest { digest } => self.peer(now, digest),
        }
    }

    /// What this VM sent since the last digest, for its peers.
    pub fn digest(&mut self, now: Now) -> Digest {
        self.digest_seq += 1;
        let entries: Vec<DigestEntry> =
            self.engines.iter_mut().filter_map(|state| state.digest_entry(now)).collect();
        Digest { vm: self.options.vm.clone(), seq: self.digest_seq, entries }
    }

    fn state(&mut self, key: u64) -> Option<&mut State> {
        let &place = self.by_key.get(&key)?;
        self.engines.get_mut(place)
    }

    fn sent(&mut self, now: Now, request: &Request, attempt: Attempt, candidate: &Candidate) {
        self.hedges = (self.hedges + self.options.hedge_budget).min(hedge::HEDGES_MAX);
        let engine = name_hash(&candidate.engine);
        let Some(state) = self.state(engine) else { return };
        let moved = candidate.import.as_ref().map_or(0, |import| import.tokens);
        let uncached = request.fingerprint.tokens.saturating_sub(candidate.cached_tokens + moved);
        state.sent(now, request, candidate.incarnation, to_f64(uncached));
        let expected = candidate.expected_first_token;
        let entry = InFlight { engine, sent: now, expected, has_first_token: false };
        self.in_flight.insert((request.id.clone(), attempt), entry);
    }

    fn first_token(&mut self, now: Now, request: &str, attempt: Attempt) {
        let Some(entry) = self.in_flight.get_mut(&(request.to_owned(), attempt)) else { return };
        if entry.has_first_token {
            return;
        }
        entry.has_first_token = true;
        let (engine, sent, expected) = (entry.engine, entry.sent, entry.expected);
        if let Some(state) = self.state(engine) {
            state.first_token(now, sent, expected);
        }
    }

    fn ended(&mut self, request: &str, attempt: Attempt) -> Option<&mut State> {
        let entry = self.in_flight.remove(&(request.to_owned(), attempt))?;
        self.state(entry.engine)
    }

    fn peer(&mut self, now: Now, digest: &Digest) {
        let last = self.peers.entry(digest.vm.clone()).or_default();
        if digest.seq <= *last {
            return;
        }
        *last = digest.seq;
        for entry in &digest.entries {
            if let Some(state) = self.state(entry.engine) {
                state.peer(now, entry);
            }
        }
    }

    fn cached_tokens(request: &Request, state: &State) -> u64 {
        let held = state.index.held(&request.fingerprint.blocks) as u64;
        (held * BLOCK_TOKENS).min(request.fingerprint.tokens)
    }
}
