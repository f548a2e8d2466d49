//! Index of the prompt blocks that are assumed to be cached at an engine.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
    time::Duration,
};

use lw_types::prelude::*;

use crate::{CacheChange, CacheEvent};

/// Hasher that returns block hashes unchanged. They are uniformly distributed already, and hashing them again costs
/// time on the request path.
#[derive(Debug, Default, Clone, Copy)]
pub struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

type Blocks = HashMap<BlockHash, Duration, BuildHasherDefault<BlockHasher>>;

/// Blocks assumed to be cached by one incarnation of one engine, each with the time when it was last sent or reported.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    incarnation: Option<Incarnation>,
    last_seq: u64,
    has_gap: bool,
    blocks: Blocks,
    max_blocks: usize,
}

impl PrefixIndex {
    /// Creates an empty index for at most `max_blocks` blocks.
    #[must_use]
    pub fn new(max_blocks: usize) -> Self {
        Self { max_blocks, ..Self::default() }
    }

    /// Returns the incarnation of the engine that the entries belong to; `None` if it is not known.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the number of blocks in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the index has no blocks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Whether cache events were lost since the incarnation began or its cache was last cleared.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Switches to `incarnation` and removes all entries if it is newer. Returns whether it is the current one now.
    pub fn advance_incarnation(&mut self, incarnation: Incarnation) -> bool {
        match self.incarnation {
            Some(current) if current == incarnation => true,
            Some(current) if current > incarnation => false,
            // Entries recorded before the first incarnation is known may belong to an older one, so they are removed
            // too.
            _ => {
                self.incarnation = Some(incarnation);
                self.blocks.clear();
                self.last_seq = 0;
                self.has_gap = false;
                true
            }
        }
    }

    /// Applies a cache event. Events of older incarnations and repeated events change nothing.
    pub fn apply(&mut self, now: Now, event: CacheEvent) {
        if !self.advance_incarnation(event.incarnation) || event.seq <= self.last_seq {
            return;
        }
        self.has_gap |= event.seq > self.last_seq + 1;
        self.last_seq = event.seq;
        match event.change {
            CacheChange::Stored(block) => self.insert(now, block),
            CacheChange::Evicted(block) => {
                self.blocks.remove(&block);
            }
            CacheChange::Cleared => {
                self.blocks.clear();
                self.has_gap = false;
            }
        }
    }

    /// Records `blocks` as cached, because a request with them was sent to the engine.
    pub fn record_sent(&mut self, now: Now, blocks: &[BlockHash]) {
        for &block in blocks {
            self.insert(now, block);
        }
    }

    /// Returns how many of the first `blocks` are assumed to be cached.
    ///
    /// A cached block implies that all blocks before it are cached: a chained hash covers the complete prefix, and
    /// engines evict prefixes from their end. Digests therefore list only the last block of a request.
    #[must_use]
    pub fn cached_prefix_len(&self, blocks: &[BlockHash]) -> usize {
        blocks.iter().rposition(|block| self.blocks.contains_key(block)).map_or(0, |i| i + 1)
    }

    fn insert(&mut self, now: Now, block: BlockHash) {
        self.blocks.insert(block, now);
        if self.blocks.len() > self.max_blocks {
            self.remove_older_half();
        }
    }

    /// Removes the older half of the blocks at once, which keeps the mean cost of an insert low.
    fn remove_older_half(&mut self) {
        let mut times: Vec<_> = self.blocks.values().copied().collect();
        let middle = times.len() / 2;
        let (_, &mut median, _) = times.select_nth_unstable(middle);
        self.blocks.retain(|_, recorded| *recorded > median);
    }
}
