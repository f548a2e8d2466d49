//! Which parts of prompts an engine or a store of KV cache holds.

use std::collections::HashMap;

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Prompt, Segment};

/// Number that names a part under a salt.
pub type SegmentKey = u64;

/// One change of what an engine or store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// Salt of the part.
    pub salt: String,
    /// The part.
    pub segment: u64,
    /// Its model.
    pub model: ModelId,
    /// Tokens of it that are held now.
    pub tokens: u64,
}

/// Changes since the last call for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachePage {
    /// Changes with each start of the holder.
    pub epoch: u64,
    /// Where the next call goes on.
    pub next: u64,
    /// Whether changes were lost.
    pub has_gap: bool,
    /// The changes in order.
    pub changes: Vec<CacheChange>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: u64,
    used: Now,
    /// Whether it was read; others can fetch it only then.
    is_read: bool,
}

/// The parts that one holder is believed to hold. Events come late and some never, and the parts that the holder
/// dropped to make room are not told by other VMs, so an entry is a hint. The view never holds more than the holder can.
#[derive(Debug)]
pub struct CacheView {
    epoch: Option<u64>,
    held: HashMap<SegmentKey, Held>,
    tokens: u64,
    capacity_tokens: u64,
}

impl CacheView {
    /// An empty view of a holder with room for `capacity_tokens` tokens.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        Self { epoch: None, held: HashMap::new(), tokens: 0, capacity_tokens }
    }

    /// Applies events. Another epoch means that the holder has started again and is empty.
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

    /// Records a part that is being read, or was read if `is_read`.
    pub fn insert(&mut self, now: Now, key: SegmentKey, tokens: u64, is_read: bool) {
        let before = self.held.remove(&key);
        self.tokens -= before.map_or(0, |held| held.tokens);
        let is_read = is_read || before.is_some_and(|held| held.is_read && held.tokens >= tokens);
        self.held.insert(key, Held { tokens, used: now, is_read });
        self.tokens += tokens;
        while self.tokens > self.capacity_tokens {
            let Some(oldest) = self.held.iter().min_by_key(|(_, held)| held.used) else { break };
            let oldest = *oldest.0;
            self.remove(oldest);
        }
    }

    /// Drops a part.
    pub fn remove(&mut self, key: SegmentKey) {
        if let Some(held) = self.held.remove(&key) {
            self.tokens -= held.tokens;
        }
    }

    /// Tokens of the leading parts that are held or are being read.
    #[must_use]
    pub fn leading_tokens(&self, keys: &[(SegmentKey, u64)]) -> u64 {
        self.count(keys, |_| true)
    }

    /// Tokens of the leading parts that can be fetched from this holder.
    #[must_use]
    pub fn fetchable_tokens(&self, keys: &[(SegmentKey, u64)]) -> u64 {
        self.count(keys, |held| held.is_read)
    }

    fn count(&self, keys: &[(SegmentKey, u64)], counts: impl Fn(&Held) -> bool) -> u64 {
        let mut tokens = 0;
        for (key, wanted) in keys {
            let held = self.held.get(key).filter(|held| counts(held)).map_or(0, |held| held.tokens);
            tokens += held.min(*wanted);
            if held < *wanted {
                break;
            }
        }
        tokens
    }

    /// Forgets everything, for a holder that is empty now.
    pub fn clear(&mut self) {
        self.held.clear();
        self.tokens = 0;
    }
}

/// The key of a part under a salt.
#[must_use]
pub fn segment_key(salt: &str, segment: u64) -> SegmentKey {
    xxh3_64(salt.as_bytes()) ^ segment.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Keys and tokens of the parts of a prompt.
#[must_use]
pub fn segment_keys(salt: &str, segments: &[Segment]) -> Vec<(SegmentKey, u64)> {
    segments.iter().map(|segment| (segment_key(salt, segment.id), segment.tokens)).collect()
}

impl Prompt {
    /// Keys and tokens of all parts under a salt.
    #[must_use]
    pub fn keys(&self, salt: &str) -> Vec<(SegmentKey, u64)> {
        segment_keys(salt, &self.segments)
    }
}
