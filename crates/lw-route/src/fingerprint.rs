//! Fingerprints of prompts: chained hashes of their pieces, within one cache scope.

use lw_types::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Length of one hashed piece of a prompt, in bytes.
pub const BLOCK_BYTES: usize = 4096;
/// Estimated tokens of one piece; the blocks in the KV caches of the engines are about this long.
pub const BLOCK_TOKENS: u64 = 1000;

/// What a cached block depends on besides the prompt text.
///
/// Block hashes of different scopes differ, so a block of another workspace or version never counts as cached.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CacheScope {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model of the request.
    pub model: ModelId,
    /// Version of the model's weights.
    pub model_version: String,
    /// Adapter, if the request names one.
    pub adapter: Option<String>,
    /// Version of the adapter.
    pub adapter_version: Option<String>,
}

impl CacheScope {
    /// Returns the salt that seeds the block hashes. It is also sent to the engines as cache salt.
    ///
    /// ```
    /// use lw_route::CacheScope;
    /// let old = CacheScope { model_version: "1".into(), ..CacheScope::default() };
    /// let new = CacheScope { model_version: "2".into(), ..CacheScope::default() };
    /// assert_ne!(old.salt(), new.salt());
    /// ```
    #[must_use]
    pub fn salt(&self) -> u64 {
        let mut bytes = Vec::with_capacity(96);
        let fields = [
            Some(&self.workspace),
            Some(&self.model),
            Some(&self.model_version),
            self.adapter.as_ref(),
            self.adapter_version.as_ref(),
        ];
        for field in fields {
            // Presence and length delimit the fields: "ab" + "c" must give another salt than "a" + "bc".
            bytes.push(u8::from(field.is_some()));
            let text = field.map_or("", String::as_str);
            bytes.extend_from_slice(&(text.len() as u64).to_le_bytes());
            bytes.extend_from_slice(text.as_bytes());
        }
        xxh3_64(&bytes)
    }
}

/// Block hashes of a prompt and its length.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fingerprint {
    /// Salt of the scope.
    pub salt: u64,
    /// Chained hash of each complete piece, in the order of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Estimated prompt length in tokens, including the incomplete last piece; at least 1.
    pub tokens: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of `prompt` in `scope`.
    ///
    /// ```
    /// use lw_route::{Fingerprint, CacheScope};
    /// let scope = CacheScope::default();
    /// let short = Fingerprint::of(&scope, &[b'a'; 8192]);
    /// let long = Fingerprint::of(&scope, &[b'a'; 9000]);
    /// assert_eq!(short.blocks, long.blocks);
    /// assert_eq!(short.tokens, 2000);
    /// ```
    #[must_use]
    pub fn of(scope: &CacheScope, prompt: &[u8]) -> Self {
        let salt = scope.salt();
        let mut previous = salt;
        let (pieces, _) = prompt.as_chunks::<BLOCK_BYTES>();
        let blocks = pieces
            .iter()
            .map(|piece| {
                previous = xxh3_64_with_seed(piece, previous);
                previous
            })
            .collect();
        let tokens = prompt.len() as u64 * BLOCK_TOKENS / BLOCK_BYTES as u64;
        Self { salt, blocks, tokens: tokens.max(1) }
    }

    /// Returns the key for rendezvous hashing: the chained hash of the first `pieces` pieces, or of all if the prompt
    /// has fewer.
    ///
    /// Prompts without a complete piece have no prefix worth sharing. `fallback_hash` distributes them over the
    /// engines.
    #[must_use]
    pub fn rendezvous_key(&self, pieces: usize, fallback_hash: u64) -> u64 {
        match self.blocks.len().min(pieces) {
            0 => self.salt ^ fallback_hash,
            n => self.blocks[n - 1],
        }
    }
}
