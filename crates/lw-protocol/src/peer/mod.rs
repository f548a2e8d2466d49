//! Wire types of messages between VMs, encoded with `rmp-serde`.
//!
//! The crates `lw_member`, `lw_claim` and `lw_limit` define their own messages.

use std::time::Duration;

use lw_route::health::Speed;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Work that a VM sent to engines, and requests that it admitted, since its last message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Hash of the sender's name and incarnation. A restarted VM has a new one, because its `seq` starts again.
    pub sender: u64,
    /// Sequence number of the message.
    pub seq: u64,
    /// Work by engine.
    pub engines: Vec<EngineWork>,
    /// Admission digest, which only some of the messages have.
    pub admission: Option<lw_limit::admission::Digest>,
}

/// Work that a VM sent to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork {
    /// Hash of the engine's name.
    pub engine: u64,
    /// Incarnation of the engine, if the sender has received it.
    pub incarnation: Option<Incarnation>,
    /// Prefill tokens sent for all classes but bulk.
    pub urgent_tokens: u32,
    /// Prefill tokens sent for the bulk class.
    pub bulk_tokens: u32,
    /// Id of the last prefix block of each request sent.
    pub blocks: Vec<BlockHash>,
    /// Mean age of that work in milliseconds.
    pub age_ms: u32,
    /// Whether a first token was received from the engine.
    pub first_token: bool,
    /// New estimate of the engine's speed: 0 normal, 1 suspect, 2 slow.
    pub speed: Option<u8>,
    /// Whether the engine is leaving as far as the sender has been notified.
    pub leaving: bool,
}

impl From<&lw_route::DigestEntry> for EngineWork {
    fn from(entry: &lw_route::DigestEntry) -> Self {
        Self {
            engine: entry.engine,
            incarnation: entry.incarnation,
            urgent_tokens: entry.urgent_tokens,
            bulk_tokens: entry.bulk_tokens,
            blocks: entry.blocks.clone(),
            age_ms: u32::try_from(entry.age.as_millis()).unwrap_or(u32::MAX),
            first_token: entry.has_first_token,
            speed: entry.speed.map(|speed| match speed {
                Speed::Normal => 0,
                Speed::Suspect => 1,
                Speed::Slow => 2,
            }),
            leaving: entry.is_leaving,
        }
    }
}

impl From<&EngineWork> for lw_route::DigestEntry {
    fn from(work: &EngineWork) -> Self {
        Self {
            engine: work.engine,
            incarnation: work.incarnation,
            urgent_tokens: work.urgent_tokens,
            bulk_tokens: work.bulk_tokens,
            blocks: work.blocks.clone(),
            age: Duration::from_millis(work.age_ms.into()),
            has_first_token: work.first_token,
            speed: match work.speed {
                Some(0) => Some(Speed::Normal),
                Some(1) => Some(Speed::Suspect),
                Some(2) => Some(Speed::Slow),
                _ => None,
            },
            is_leaving: work.leaving,
        }
    }
}

impl From<&LoadMessage> for lw_route::Digest {
    fn from(message: &LoadMessage) -> Self {
        Self {
            vm: format!("{:x}", message.sender),
            seq: message.seq,
            entries: message.engines.iter().map(Into::into).collect(),
        }
    }
}

impl From<&lw_route::Digest> for LoadMessage {
    fn from(digest: &lw_route::Digest) -> Self {
        Self {
            sender: lw_route::digest::name_hash(&digest.vm),
            seq: digest.seq,
            engines: digest.entries.iter().map(Into::into).collect(),
            admission: None,
        }
    }
}
