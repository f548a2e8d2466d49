//! Prompts that consist of segments, which requests may share.

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Least urgent rank of a request that can meet its target latency. Requests that cannot have ranks above it.
pub const RANK_MAX: u8 = 4;

/// One segment of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Identifies its content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The requests with which the cached segments of a prompt are shared. Each attempt takes it from the configuration in force
/// when its engine is selected: a workspace may become isolated while a request of another one waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheScope {
    /// Those of all workspaces that are not isolated.
    Shared {
        /// Identifies the set of isolated workspaces. What was cached under another set may have been made by a workspace that
        /// is isolated now.
        isolated_set: u64,
    },
    /// Those of this isolated workspace.
    Isolated(WorkspaceId),
}

impl Default for CacheScope {
    fn default() -> Self {
        Self::Shared { isolated_set: 0 }
    }
}

/// A prompt and what it needs of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model that answers it.
    pub model: ModelId,
    /// Segments in order; the last one belongs to the request or its session alone.
    pub segments: Vec<Segment>,
    /// Tokens of the whole prompt.
    pub tokens: u64,
    /// Expected tokens of the answer.
    pub output_tokens: u64,
    /// Rank at an engine among the requests that can meet their target latency, from 0, the most urgent, to
    /// [`RANK_MAX`].
    pub rank: u8,
    /// Size of the request in bytes.
    pub bytes: usize,
    /// Identifies requests whose answers have similar lengths: those of one route and workspace.
    pub kind: u64,
}

impl Prompt {
    /// Returns the segments that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the tokens of the shared segments.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        let tokens = self.shared().iter().map(|segment| segment.tokens);
        tokens.fold(0, u64::saturating_add)
    }
}

/// Returns the salt under which an engine caches the segments of a prompt: requests share segments only within one
/// version of the weights and one scope.
///
/// ```
/// use lw_place::{CacheScope, salt};
/// let shared = CacheScope::default();
/// assert_ne!(salt("m", 1, &shared), salt("m", 2, &shared));
/// assert_ne!(salt("m", 1, &shared), salt("m", 1, &CacheScope::Isolated("w".into())));
/// assert_ne!(salt("m", 1, &shared), salt("m", 1, &CacheScope::Shared { isolated_set: 7 }));
/// ```
#[must_use]
pub fn salt(model: &str, version: u64, scope: &CacheScope) -> String {
    let suffix = match scope {
        CacheScope::Shared { isolated_set } => format!("-s{isolated_set:016x}"),
        CacheScope::Isolated(workspace) => format!("-{:016x}", xxh3_64(workspace.as_bytes())),
    };
    format!("{:08x}-{version}{suffix}", xxh3_64(model.as_bytes()) >> 32)
}
