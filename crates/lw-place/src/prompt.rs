//! Prompts that consist of named parts.

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Least urgent rank of a request that can be on time. Those that cannot have ranks above it.
pub const RANK_MAX: u8 = 4;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Number that names its content.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What a request asks of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: ModelId,
    /// Parts in order; the last one belongs to the request or its session.
    pub segments: Vec<Segment>,
    /// Tokens of the whole prompt.
    pub tokens: u64,
    /// Expected tokens of the answer.
    pub output_tokens: u64,
    /// Workspace whose parts no other workspace may use.
    pub isolated_workspace: Option<WorkspaceId>,
    /// Rank at an engine among the requests that can be on time, from 0, the most urgent, to [`RANK_MAX`].
    pub rank: u8,
    /// Size of the request in bytes.
    pub bytes: usize,
}

impl Prompt {
    /// The parts that other requests may have as well.
    #[must_use]
    pub fn shared(&self) -> &[Segment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|segment| segment.tokens).sum()
    }
}

/// Salt under which an engine keeps the parts of a prompt: requests share parts only within one version of the
/// weights, and not across the wall of an isolated workspace.
///
/// ```
/// use lw_place::salt;
/// assert_ne!(salt("m", 1, None), salt("m", 2, None));
/// assert_ne!(salt("m", 1, None), salt("m", 1, Some("w")));
/// ```
#[must_use]
pub fn salt(model: &str, version: u64, isolated_workspace: Option<&str>) -> String {
    let isolated_workspace = isolated_workspace
        .map(|isolated_workspace| format!("-{:016x}", xxh3_64(isolated_workspace.as_bytes())))
        .unwrap_or_default();
    format!("{:08x}-{version}{isolated_workspace}", xxh3_64(model.as_bytes()) >> 32)
}
