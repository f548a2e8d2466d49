//! Messages between the executing VM and the bucket's owner.

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::{BodyDigest, ClaimKey, Outcome};

/// Id of one attempt to run a call. It is unique as long as a VM raises its incarnation at each start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The executing VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the attempt at this incarnation.
    pub seq: u64,
}

/// From the executing VM to the bucket's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Bucket of the key.
    pub bucket: u32,
    /// Key of the call.
    pub key: ClaimKey,
    /// Attempt that asks, and that the reply goes to.
    pub attempt: AttemptId,
    /// What is asked.
    #[serde(rename = "ask")]
    pub kind: RequestKind,
}

/// What the executing VM asks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Claim the key for a call with this body.
    Claim(BodyDigest),
    /// Record how the claimed call ended.
    Record(Outcome),
}

/// From the bucket's owner to the VM that `attempt` names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Attempt the reply is for.
    pub attempt: AttemptId,
    /// Bucket of the key.
    pub bucket: u32,
    /// Key of the call.
    pub key: ClaimKey,
    /// What the owner found.
    #[serde(rename = "finding")]
    pub claim_status: ClaimStatus,
}

/// What the owner found for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The key is durably claimed for this attempt.
    Granted,
    /// Another attempt has run the call; its answer if a copy is still held.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Option<Vec<u8>>,
    },
    /// Another attempt has claimed the key and recorded no outcome.
    Held(AttemptId),
    /// Another attempt has sent the call and never learnt the outcome.
    Unknown,
    /// The key was used with another body.
    KeyReused,
    /// The claim was not taken.
    Refused {
        /// The claim may be in the store or get there late.
        maybe_written: bool,
    },
    /// The outcome is durable, or no record needs it.
    Recorded,
}
