//! Messages between the executing VM and the bucket's owner.

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::{BodyDigest, ClaimKey, Outcome};

/// Id of one attempt to run a call. It is unique, since a VM has a higher incarnation after each start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The executing VM.
    pub vm: VmId,
    /// Incarnation of the executing VM.
    pub incarnation: Incarnation,
    /// Number of the attempt within this incarnation.
    pub seq: u64,
}

/// Request of the executing VM to the bucket's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Bucket of the key.
    pub bucket: u32,
    /// Key of the call.
    pub key: ClaimKey,
    /// Attempt that sends the request and receives the reply.
    pub attempt: AttemptId,
    /// Kind of the request, with its content.
    #[serde(rename = "ask")]
    pub kind: RequestKind,
}

/// Kind of a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Claim the key for a call with the body of this digest.
    Claim(BodyDigest),
    /// Record the outcome of the claimed call.
    Record(Outcome),
}

/// Reply of the bucket's owner to the VM of `attempt`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Attempt that the reply is for.
    pub attempt: AttemptId,
    /// Bucket of the key.
    pub bucket: u32,
    /// Key of the call.
    pub key: ClaimKey,
    /// State of the claim after the request.
    #[serde(rename = "finding")]
    pub claim_status: ClaimStatus,
}

/// State of a claim, as the owner reports it in a [`Reply`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The key is durably claimed for this attempt.
    Granted,
    /// Another attempt has run the call; with its answer if a copy is still stored.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Option<Vec<u8>>,
    },
    /// Another attempt has claimed the key and recorded no outcome.
    Held(AttemptId),
    /// Another attempt has sent the call and received no answer.
    Unknown,
    /// The key was used with a different body.
    KeyReused,
    /// The key was not claimed.
    Refused {
        /// Whether the claim may be in the store or may still be written to it.
        maybe_written: bool,
    },
    /// The outcome is durable, or there is no claim of this attempt to record it for.
    Recorded,
}
