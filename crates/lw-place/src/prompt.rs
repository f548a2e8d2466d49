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
    /// Workspace that shares no cached segments with other workspaces, if the request belongs to one.
    pub isolated_workspace: Option<WorkspaceId>,
    /// Rank at an engine among the requests that can meet their target latency, from 0, the most urgent, to
    /// [`RANK_MAX`].
    pub rank: u8,
    /// Size of the request in bytes.
    pub bytes: usize,
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
        self.shared().iter().map(|segment| segment.tokens).sum()
    }
}

/// Returns the salt under which an engine caches the segments of a prompt: requests share segments only within one
/// version of the weights, and an isolated workspace shares none with others.
///
/// ```
/// use lw_place::salt;
/// assert_ne!(salt("m", 1, None), salt("m", 2, None));
/// assert_ne!(salt("m", 1, None), salt("m", 1, Some("w")));
/// ```
#[must_use]
pub fn salt(model: &str, version: u64, isolated_workspace: Option<&str>) -> String {
    let suffix = isolated_workspace
        .map(|workspace| format!("-{:016x}", xxh3_64(workspace.as_bytes())))
        .unwrap_or_default();
    format!("{:08x}-{version}{suffix}", xxh3_64(model.as_bytes()) >> 32)
}
