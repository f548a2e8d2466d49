//! Chained hashes of prompt pieces within one cache scope.

use lw_types::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of one hashed piece of a prompt.
pub const BLOCK_BYTES: usize = 4096;
/// Tokens that one piece stands for; the engines' cache pieces are about this long.
pub const BLOCK_TOKENS: u64 = 1000;

/// What a cached block depends on besides the prompt text.
///
/// Blocks of different scopes never compare equal, so a hit across workspaces or versions cannot be counted.
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
    /// The salt that seeds the block hashes and that engines get as cache salt.
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
            // Presence and length keep fields apart: "ab" + "c" must differ from "a" + "bc".
            bytes.push(u8::from(field.is_some()));
            let text = field.map_or("", String::as_str);
            bytes.extend_from_slice(&(text.len() as u64).to_le_bytes());
            bytes.extend_from_slice(text.as_bytes());
        }
        xxh3_64(&bytes)
    }
}

/// Hashes of the whole pieces of a prompt, and its length.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fingerprint {
    /// Salt of the scope.
    pub salt: u64,
    /// Chained hash of each whole piece, first piece first.
    pub blocks: Vec<BlockHash>,
    /// Estimated prompt length in tokens, with the piece that is not whole.
    pub tokens: u64,
}

impl Fingerprint {
    /// Fingerprint of `prompt` in `scope`.
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

    /// Key that places the prompt: the hash of its first `depth` pieces, or of all if it has fewer.
    ///
    /// Prompts without a whole piece share no work worth placing and are spread by `spread`.
    #[must_use]
    pub fn rendezvous_key(&self, depth: usize, spread: u64) -> u64 {
        match self.blocks.len().min(depth) {
            0 => self.salt ^ spread,
            n => self.blocks[n - 1],
        }
    }
}
