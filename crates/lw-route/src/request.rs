//! Requests to place and the answers.

use std::time::Duration;

use derive_more::Display;
use lw_types::prelude::*;

use crate::{CacheScope, Fingerprint};

/// A request to place.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Id of the caller's request.
    pub id: RequestId,
    /// Role of the engines that may serve it.
    pub role: String,
    /// Scope of its cache use; its versions must be loaded at the engine.
    pub scope: CacheScope,
    /// Fingerprint of the prompt in `scope`.
    pub fingerprint: Fingerprint,
    /// Service class.
    pub class: Class,
    /// Time left for the first token.
    pub deadline: Duration,
    /// Engines that were tried already.
    pub tried: Vec<UpstreamId>,
}

/// Why an engine was or was not chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PlacementReason {
    /// First in rendezvous order of the prefix.
    #[display("home engine of the prefix")]
    Home,
    /// Another engine of the prefix, expected to be faster than the home engine.
    #[display("faster than the home engine")]
    Spill,
    /// A recovering engine gets a small amount of work to measure it.
    #[display("probe of a slow engine")]
    Probe,
    /// A usable alternative, expected to cost more than the choice.
    #[display("costs more")]
    Costlier,
    /// The first token would come after the deadline.
    #[display("first token after the deadline")]
    ExceedsDeadline,
    /// The engine is leaving.
    #[display("leaving")]
    Leaving,
    /// The request was tried there already.
    #[display("tried already")]
    AlreadyTried,
    /// A needed version is not loaded.
    #[display("version not loaded")]
    NotLoaded,
    /// Attempts failed there a moment ago.
    #[display("failed a moment ago")]
    Failed,
    /// The engine is much slower than others with the same work.
    #[display("slow")]
    Slow,
}

/// KV cache to move to an engine before it gets the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvImport {
    /// The engine that is believed to hold the blocks.
    pub from: UpstreamId,
    /// The incarnation of that engine that the belief is about.
    pub incarnation: Option<Incarnation>,
    /// Leading blocks of the prompt to hold at the target afterwards.
    pub blocks: usize,
    /// Tokens that are moved and not recomputed.
    pub tokens: u64,
    /// Expected time of the move; it is shorter than recomputing.
    pub expected: Duration,
}

/// A usable engine for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: UpstreamId,
    /// The incarnation the router knows; the engine must refuse the request in another one.
    pub incarnation: Option<Incarnation>,
    /// Expected time to first token.
    pub expected_first_token: Duration,
    /// Prompt tokens expected to be cached there.
    pub cached_tokens: u64,
    /// A move that makes the first token earlier, if there is one. The request is right without it.
    pub import: Option<KvImport>,
    /// Why it has its place in the order.
    pub reason: PlacementReason,
}

/// An engine that was considered and is not usable for the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejected {
    /// The engine.
    pub engine: UpstreamId,
    /// Why it is not usable.
    pub reason: PlacementReason,
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Usable engines, best first; never empty.
    pub candidates: Vec<Candidate>,
    /// Engines that were considered and are not usable.
    pub rejected: Vec<Rejected>,
    /// When to ask [`crate::Router::hedge_due`] if there is no first token by then.
    pub hedge_after: Duration,
}

/// What to do about a request that has no first token yet.
#[derive(Debug, Clone, PartialEq)]
pub enum Hedge {
    /// Send a second attempt there and cancel the one that loses.
    Send(Candidate),
    /// Ask again after this time.
    CheckAfter(Duration),
}

/// Why a request cannot be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// [`ResultCode::Overloaded`] or [`ResultCode::NoUpstream`].
    pub code: ResultCode,
    /// When to come back.
    pub retry_after: Duration,
    /// Least expected time to first token, if any engine is usable.
    pub expected_first_token: Option<Duration>,
    /// Engines that were considered.
    pub rejected: Vec<Rejected>,
}

/// The answer for one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Placement),
    /// Refuse it at once; nothing has run.
    Refuse(Refusal),
}
