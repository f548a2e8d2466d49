//! The router: places each request and records the events of its attempts.

use std::{collections::HashMap, time::Duration};

use lw_types::prelude::*;

use crate::{
    CacheEvent, Candidate, Digest, DigestEntry, Engine, LoadReport, Options, Request,
    digest::name_hash, fingerprint::BLOCK_TOKENS, queue::to_f64,
};

mod decide;
mod hedge;
mod state;
pub mod status;
pub mod versions;

use state::EngineState;

/// An event that later decisions depend on.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// A request was sent to an engine.
    Sent {
        /// The request.
        request: &'a Request,
        /// Number of this attempt.
        attempt: Attempt,
        /// The candidate that it was sent to.
        candidate: &'a Candidate,
    },
    /// The first token of an attempt arrived.
    FirstToken {
        /// Id of the request.
        request: &'a str,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// A stream had no token for [`Options::stall_after`]. Recorded once for each such gap.
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
    /// [`name_hash`] of the engine id.
    engine_hash: u64,
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
    engines: Vec<EngineState>,
    /// Position in `engines` by [`name_hash`] of the engine id.
    position_by_hash: HashMap<u64, usize>,
    in_flight: HashMap<(RequestId, Attempt), InFlight>,
    /// Sequence number of the last digest of each peer.
    last_digest_seqs: HashMap<VmId, u64>,
    digest_seq: u64,
    /// Unused part of the hedge budget, in hedges.
    unused_hedges: f64,
}

impl Router {
    /// Creates a router without engines.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            engines: Vec::new(),
            position_by_hash: HashMap::new(),
            in_flight: HashMap::new(),
            last_digest_seqs: HashMap::new(),
            digest_seq: 0,
            unused_hedges: 0.0,
        }
    }

    /// Replaces the set of engines. The state of engines that remain in the set is retained.
    pub fn set_engines(&mut self, now: Now, engines: &[Engine]) {
        let mut previous: HashMap<u64, EngineState> =
            self.engines.drain(..).map(|state| (state.id_hash, state)).collect();
        self.position_by_hash.clear();
        for engine in engines {
            let id_hash = name_hash(&engine.id);
            let mut state = previous
                .remove(&id_hash)
                .unwrap_or_else(|| EngineState::new(engine.clone(), &self.options));
            state.update_description(now, engine);
            self.position_by_hash.insert(id_hash, self.engines.len());
            self.engines.push(state);
        }
    }

    /// Returns the number of blocks in the prefix indexes of all engines.
    #[must_use]
    pub fn index_entries(&self) -> usize {
        self.engines.iter().map(|state| state.index.len()).sum()
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Records an event.
    pub fn record(&mut self, now: Now, event: Event<'_>) {
        match event {
            Event::Sent { request, attempt, candidate } => {
                self.record_sent(now, request, attempt, candidate);
            }
            Event::FirstToken { request, attempt } => self.mark_first_token(now, request, attempt),
            Event::Stalled { request, attempt } => {
                let engine_hash =
                    self.in_flight.get(&(request.to_owned(), attempt)).map(|e| e.engine_hash);
                if let Some(state) =
                    engine_hash.and_then(|engine_hash| self.engine_state(engine_hash))
                {
                    state.health.record_stall(now);
                }
            }
            Event::Finished { request, attempt } | Event::Cancelled { request, attempt } => {
                self.remove_attempt(request, attempt);
            }
            Event::Failed { request, attempt } => {
                if let Some(state) = self.remove_attempt(request, attempt) {
                    state.record_failure(now);
                }
            }
            Event::Load { engine, report } => {
                let age = report.age.unwrap_or(self.options.assumed_report_age);
                if let Some(state) = self.engine_state(name_hash(engine)) {
                    state.apply_load_report(now, now.saturating_sub(age), report);
                }
            }
            Event::Cache { engine, event } => {
                if let Some(state) = self.engine_state(name_hash(engine)) {
                    state.apply_cache_event(now, event);
                }
            }
            Event::PeerDigest { digest } => self.apply_digest(now, digest),
        }
    }

    /// Returns the digest of the work that this VM sent since its last digest, for its peers.
    pub fn digest(&mut self, now: Now) -> Digest {
        self.digest_seq += 1;
        let entries: Vec<DigestEntry> =
            self.engines.iter_mut().filter_map(|state| state.take_digest_entry(now)).collect();
        Digest { vm: self.options.vm.clone(), seq: self.digest_seq, entries }
    }

    fn engine_state(&mut self, id_hash: u64) -> Option<&mut EngineState> {
        let &position = self.position_by_hash.get(&id_hash)?;
        self.engines.get_mut(position)
    }

    fn record_sent(
        &mut self,
        now: Now,
        request: &Request,
        attempt: Attempt,
        candidate: &Candidate,
    ) {
        self.unused_hedges =
            (self.unused_hedges + self.options.hedge_budget).min(hedge::UNUSED_HEDGES_MAX);
        let engine_hash = name_hash(&candidate.engine);
        let Some(state) = self.engine_state(engine_hash) else { return };
        let imported_tokens = candidate.import.as_ref().map_or(0, |import| import.tokens);
        let uncached =
            request.fingerprint.tokens.saturating_sub(candidate.cached_tokens + imported_tokens);
        state.record_sent(now, request, candidate.incarnation, to_f64(uncached));
        let expected = candidate.expected_first_token;
        let entry = InFlight { engine_hash, sent: now, expected, has_first_token: false };
        self.in_flight.insert((request.id.clone(), attempt), entry);
    }

    fn mark_first_token(&mut self, now: Now, request: &str, attempt: Attempt) {
        let Some(entry) = self.in_flight.get_mut(&(request.to_owned(), attempt)) else { return };
        if entry.has_first_token {
            return;
        }
        entry.has_first_token = true;
        let (engine_hash, sent, expected) = (entry.engine_hash, entry.sent, entry.expected);
        if let Some(state) = self.engine_state(engine_hash) {
            state.record_first_token(now, sent, expected);
        }
    }

    fn remove_attempt(&mut self, request: &str, attempt: Attempt) -> Option<&mut EngineState> {
        let entry = self.in_flight.remove(&(request.to_owned(), attempt))?;
        self.engine_state(entry.engine_hash)
    }

    fn apply_digest(&mut self, now: Now, digest: &Digest) {
        let last = self.last_digest_seqs.entry(digest.vm.clone()).or_default();
        if digest.seq <= *last {
            return;
        }
        *last = digest.seq;
        for entry in &digest.entries {
            if let Some(state) = self.engine_state(entry.engine) {
                state.apply_digest_entry(now, entry);
            }
        }
    }

    fn cached_tokens(request: &Request, state: &EngineState) -> u64 {
        let cached_blocks = state.index.cached_prefix_len(&request.fingerprint.blocks) as u64;
        (cached_blocks * BLOCK_TOKENS).min(request.fingerprint.tokens)
    }
}
