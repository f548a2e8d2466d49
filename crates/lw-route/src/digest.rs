//! What VMs tell each other about their own work at the engines, each 50 ms.
//!
//! An entry takes about 20 bytes and 8 for each request. Digests are sent as datagrams: HTTP headers for each would
//! exceed the control budget of 6 KB/s.

use std::time::Duration;

use lw_types::prelude::*;

use crate::health::Speed;

/// Work that one VM sent since its last digest.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Digest {
    /// VM that sent it.
    pub vm: VmId,
    /// Grows with each digest of the VM; older ones are dropped.
    pub seq: u64,
    /// One entry for each engine with a change.
    pub entries: Vec<DigestEntry>,
}

/// Work at one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DigestEntry {
    /// [`name_hash`] of the engine.
    pub engine: u64,
    /// Incarnation of the engine that the VM knows. Entries about another one than the receiver knows say nothing of
    /// the cache.
    pub incarnation: Option<Incarnation>,
    /// Prefill tokens sent since the last digest, without [`Class::Bulk`].
    pub urgent_tokens: u32,
    /// Prefill tokens of [`Class::Bulk`] sent since the last digest.
    pub bulk_tokens: u32,
    /// Deepest block of each request sent since the last digest; the blocks before it are held as well.
    pub blocks: Vec<BlockHash>,
    /// Mean age of that work when the digest was made.
    pub age: Duration,
    /// Whether the VM got a first token from it since the last digest.
    pub has_first_token: bool,
    /// New evidence of the VM since the last digest: slow, or normal again.
    pub speed: Option<Speed>,
    /// Whether the VM knows that the engine is leaving.
    pub is_leaving: bool,
}

/// Short name of an engine in digests.
///
/// ```
/// assert_ne!(lw_route::digest::name_hash("a"), lw_route::digest::name_hash("b"));
/// ```
#[must_use]
pub fn name_hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}
