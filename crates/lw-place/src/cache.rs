//! Which segments of prompts an engine or the KV cache store has cached.

use std::collections::{BTreeSet, HashMap};

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Prompt, Segment};

/// Identifies a segment under a salt.
pub type SegmentKey = u64;

/// Tokens that a segment takes at least: engines cache whole blocks.
const BLOCK_TOKENS: u64 = 16;
/// Segments of one holder that are known at most.
pub const SEGMENTS_MAX: usize = 1 << 16;

/// One change of the segments that an engine or the store has cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// Salt of the segment.
    pub salt: String,
    /// Id of the segment.
    pub segment: u64,
    /// Model of the segment.
    pub model: ModelId,
    /// Tokens of it that are cached now; 0 if it was evicted.
    pub tokens: u64,
}

/// Changes since the last call that fetched them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachePage {
    /// Differs after each start of the holder.
    pub epoch: u64,
    /// Position from which the next call continues.
    pub next: u64,
    /// Whether changes before these were lost.
    pub has_gap: bool,
    /// The changes, oldest first.
    pub changes: Vec<CacheChange>,
}

#[derive(Debug, Clone, Copy)]
struct CachedSegment {
    tokens: u64,
    last_used: Now,
    /// Whether all of it is there; others can fetch it only then.
    is_complete: bool,
}

/// The segments that one holder, an engine or the KV cache store, is assumed to have cached.
///
/// An entry is a hint: events arrive late or never, and other VMs don't report which segments the holder evicted. The
/// view never has more tokens than the holder's capacity, nor more than [`SEGMENTS_MAX`] segments.
#[derive(Debug)]
pub struct CacheView {
    epoch: Option<u64>,
    segments: HashMap<SegmentKey, CachedSegment>,
    /// Their keys by when they were last used.
    by_use: BTreeSet<(Now, SegmentKey)>,
    tokens: u64,
    capacity_tokens: u64,
}

impl CacheView {
    /// Creates an empty view of a holder with a capacity of `capacity_tokens`.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            epoch: None,
            segments: HashMap::new(),
            by_use: BTreeSet::new(),
            tokens: 0,
            capacity_tokens,
        }
    }

    /// Applies changes. Another epoch means that the holder has restarted with an empty cache.
    pub fn apply(&mut self, now: Now, page: &CachePage) {
        if self.epoch.is_some_and(|epoch| epoch != page.epoch) {
            self.clear();
        }
        self.epoch = Some(page.epoch);
        for change in &page.changes {
            let key = segment_key(&change.salt, change.segment);
            if change.tokens == 0 {
                self.remove(key);
            } else {
                self.insert(now, key, change.tokens, true);
            }
        }
    }

    /// Records a segment that is being prefilled or transferred, or that is there if `is_complete`. Evicts the least
    /// recently used segments beyond the capacity.
    pub fn insert(&mut self, now: Now, key: SegmentKey, tokens: u64, is_complete: bool) {
        // Callers state the size of a segment. One that never fits would evict all others.
        if tokens > self.capacity_tokens {
            return;
        }
        let before = self.take(key);
        let is_complete = is_complete
            || before.is_some_and(|cached| cached.is_complete && cached.tokens >= tokens);
        self.segments.insert(key, CachedSegment { tokens, last_used: now, is_complete });
        self.by_use.insert((now, key));
        self.tokens += tokens.max(BLOCK_TOKENS);
        while self.tokens > self.capacity_tokens || self.segments.len() > SEGMENTS_MAX {
            let Some((_, oldest)) = self.by_use.first() else { break };
            self.remove(*oldest);
        }
    }

    /// Removes a segment and returns what was known of it.
    fn take(&mut self, key: SegmentKey) -> Option<CachedSegment> {
        let cached = self.segments.remove(&key)?;
        self.by_use.remove(&(cached.last_used, key));
        self.tokens -= cached.tokens.max(BLOCK_TOKENS);
        Some(cached)
    }

    /// Removes a segment.
    pub fn remove(&mut self, key: SegmentKey) {
        self.take(key);
    }

    /// Returns the tokens of the leading segments that are cached or about to be.
    #[must_use]
    pub fn leading_tokens(&self, keys: &[(SegmentKey, u64)]) -> u64 {
        self.count_leading(keys, |_| true)
    }

    /// Returns the tokens of the leading segments that can be fetched from this holder.
    #[must_use]
    pub fn fetchable_tokens(&self, keys: &[(SegmentKey, u64)]) -> u64 {
        self.count_leading(keys, |cached| cached.is_complete)
    }

    fn count_leading(
        &self,
        keys: &[(SegmentKey, u64)],
        is_counted: impl Fn(&CachedSegment) -> bool,
    ) -> u64 {
        let mut tokens = 0;
        for (key, needed) in keys {
            let cached = self
                .segments
                .get(key)
                .filter(|cached| is_counted(cached))
                .map_or(0, |cached| cached.tokens);
            tokens += cached.min(*needed);
            if cached < *needed {
                break;
            }
        }
        tokens
    }

    /// Number of segments that are assumed to be cached.
    #[must_use]
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Removes all segments, for a holder whose cache is empty now.
    pub fn clear(&mut self) {
        self.segments.clear();
        self.by_use.clear();
        self.tokens = 0;
    }
}

/// Returns the key of a segment under a salt.
#[must_use]
pub fn segment_key(salt: &str, segment: u64) -> SegmentKey {
    xxh3_64(salt.as_bytes()) ^ segment.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Returns the key and tokens of each segment.
#[must_use]
pub fn segment_keys(salt: &str, segments: &[Segment]) -> Vec<(SegmentKey, u64)> {
    segments.iter().map(|segment| (segment_key(salt, segment.id), segment.tokens)).collect()
}

impl Prompt {
    /// Returns the key and tokens of each segment under a salt.
    #[must_use]
    pub fn keys(&self, salt: &str) -> Vec<(SegmentKey, u64)> {
        segment_keys(salt, &self.segments)
    }
}
