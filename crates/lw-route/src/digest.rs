//! Digests of the work that each VM sent to the engines. Every VM sends one to its peers every 50 ms.
//!
//! An entry takes about 20 bytes, and 8 more for each request. Digests are sent as datagrams: the headers of one HTTP
//! request for each digest would exceed the limit of 6 KB/s for control traffic.

use std::time::Duration;

use lw_types::prelude::*;

use crate::health::Speed;

/// Work that one VM sent since its last digest.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Digest {
    /// The sender.
    pub vm: VmId,
    /// Sequence number of the digest, which grows with each digest of the VM. Receivers drop a digest whose number is
    /// not above the last one of that VM.
    pub seq: u64,
    /// One entry for each engine with something to report.
    pub entries: Vec<DigestEntry>,
}

/// Work that one VM sent to one engine since its last digest, and what it observed there.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DigestEntry {
    /// [`name_hash`] of the id of the engine.
    pub engine: u64,
    /// Incarnation of the engine that the sender has on record. If the receiver has another one on record, it ignores
    /// `blocks`.
    pub incarnation: Option<Incarnation>,
    /// Prefill tokens sent since the last digest, of all classes but [`Class::Bulk`].
    pub urgent_tokens: u32,
    /// Prefill tokens of [`Class::Bulk`] sent since the last digest.
    pub bulk_tokens: u32,
    /// Last block of each request sent since the last digest; it implies that the blocks before it are cached as well.
    pub blocks: Vec<BlockHash>,
    /// Estimated mean age of that work when the digest was made.
    pub age: Duration,
    /// Whether the VM received a first token from the engine since the last digest.
    pub has_first_token: bool,
    /// Change that the VM itself observed since the last digest: slow, or normal again.
    pub speed: Option<Speed>,
    /// Whether the engine is leaving as far as the VM has been notified.
    pub is_leaving: bool,
}

/// Returns the 64-bit hash of a name, which stands for an engine id, a role or a VM id in digests and tables.
///
/// ```
/// assert_ne!(lw_route::digest::name_hash("a"), lw_route::digest::name_hash("b"));
/// ```
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
