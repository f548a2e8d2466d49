//! Requests to place, and the decisions about them.

use std::time::Duration;

use derive_more::Display;
use lw_types::prelude::*;

use crate::{CacheScope, Fingerprint};

/// A request to place.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Id of the caller's request.
    pub id: RequestId,
    /// Role of the engines that may run it.
    pub role: String,
    /// Cache scope of the request; an engine must have loaded its versions to run the request.
    pub scope: CacheScope,
    /// Fingerprint of the prompt in `scope`.
    pub fingerprint: Fingerprint,
    /// Service class.
    pub class: Class,
    /// Time left for the first token.
    pub deadline: Duration,
    /// Engines that earlier attempts of the request were sent to.
    pub tried: Vec<UpstreamId>,
}

/// Why an engine is or is not used for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PlacementReason {
    /// The home engine: the first usable one in rendezvous order of the prefix.
    #[display("home engine of the prefix")]
    Home,
    /// An engine after the home engine in rendezvous order.
    #[display("faster than the home engine")]
    NonHome,
    /// An engine that is or was slow; the first token shows whether it has recovered.
    #[display("probe of a slow engine")]
    Probe,
    /// A usable engine with a higher expected cost than the selected one.
    #[display("costs more")]
    Costlier,
    /// The first token is expected after the deadline.
    #[display("first token after the deadline")]
    ExceedsDeadline,
    /// The engine is leaving.
    #[display("leaving")]
    Leaving,
    /// An earlier attempt of the request was sent there.
    #[display("tried already")]
    AlreadyTried,
    /// The engine has not loaded the model or adapter version of the request.
    #[display("version not loaded")]
    NotLoaded,
    /// Attempts failed there a short time ago.
    #[display("failed a moment ago")]
    Failed,
    /// The engine stalled a short time ago, here or as reported by a peer.
    #[display("slow")]
    Slow,
}

/// KV cache to move to an engine before it gets the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvImport {
    /// Id of the engine that is assumed to have the blocks in its cache.
    pub from: UpstreamId,
    /// Incarnation of that engine that the assumption refers to.
    pub incarnation: Option<Incarnation>,
    /// Number of leading blocks of the prompt that the target has cached after the move.
    pub blocks: usize,
    /// Tokens whose KV cache is moved instead of recomputed.
    pub tokens: u64,
    /// Expected time of the move, which is shorter than recomputing.
    pub expected: Duration,
}

/// A usable engine for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Id of the engine.
    pub engine: UpstreamId,
    /// Incarnation that the decision is based on. An engine in another incarnation must refuse the request.
    pub incarnation: Option<Incarnation>,
    /// Expected time to first token.
    pub expected_first_token: Duration,
    /// Prompt tokens expected to be cached there.
    pub cached_tokens: u64,
    /// KV cache to move first, if this makes the first token earlier. The request also succeeds without the move.
    pub import: Option<KvImport>,
    /// Why the engine is a candidate.
    pub reason: PlacementReason,
}

/// An engine that was considered and is not usable for the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejected {
    /// Id of the engine.
    pub engine: UpstreamId,
    /// Why the engine is not usable.
    pub reason: PlacementReason,
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Usable engines by ascending expected cost; never empty.
    pub candidates: Vec<Candidate>,
    /// Engines that were considered and are not usable.
    pub rejected: Vec<Rejected>,
    /// Time after which to call [`crate::Router::hedge_due`] if there is no first token by then.
    pub hedge_after: Duration,
}

/// What to do about a request that has no first token yet.
#[derive(Debug, Clone, PartialEq)]
pub enum Hedge {
    /// Send a second attempt to this engine, and cancel whichever attempt gives its first token later.
    Send(Candidate),
    /// Check again after this time.
    CheckAfter(Duration),
}

/// Why a request cannot be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// [`ResultCode::Overloaded`] or [`ResultCode::NoUpstream`].
    pub code: ResultCode,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Shortest expected time to first token; `None` if no engine is usable.
    pub expected_first_token: Option<Duration>,
    /// Engines that were considered.
    pub rejected: Vec<Rejected>,
}

/// Decision for one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Placement),
    /// Refuse it at once; nothing of it has run.
    Refuse(Refusal),
}
