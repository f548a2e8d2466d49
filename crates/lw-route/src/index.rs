//! Which blocks an engine is believed to hold.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
    time::Duration,
};

use lw_types::prelude::*;

use crate::{CacheChange, CacheEvent};

/// Block hashes are uniform already; hashing them again costs time on the request path.
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

/// Blocks believed to be held by one engine in one incarnation, with the time of the last hint.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    incarnation: Option<Incarnation>,
    last_seq: u64,
    has_gap: bool,
    blocks: Blocks,
    max: usize,
}

impl PrefixIndex {
    /// An empty index that holds at most `max` blocks.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self { max, ..Self::default() }
    }

    /// The incarnation that the entries belong to.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Number of entries held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no entry is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Whether events were lost since the last resync.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Moves to `incarnation` if it is newer and drops all entries; returns whether it is current now.
    pub fn advance(&mut self, incarnation: Incarnation) -> bool {
        match self.incarnation {
            Some(known) if known == incarnation => true,
            Some(known) if known > incarnation => false,
            // Entries recorded before the first incarnation is known may belong to an older one.
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
        if !self.advance(event.incarnation) || event.seq <= self.last_seq {
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

    /// Records that `blocks` were sent to the engine.
    pub fn touch(&mut self, now: Now, blocks: &[BlockHash]) {
        for &block in blocks {
            self.insert(now, block);
        }
    }

    /// Number of leading blocks believed to be held.
    ///
    /// A held block means that all before it are held: a chained hash names the whole prefix, and engines evict
    /// prefixes from their end. Digests therefore name only the deepest block of a request.
    #[must_use]
    pub fn held(&self, blocks: &[BlockHash]) -> usize {
        blocks.iter().rposition(|block| self.blocks.contains_key(block)).map_or(0, |i| i + 1)
    }

    fn insert(&mut self, now: Now, block: BlockHash) {
        self.blocks.insert(block, now);
        if self.blocks.len() > self.max {
            self.shrink();
        }
    }

    /// Drops the older half, so the cost is spread over many inserts.
    fn shrink(&mut self) {
        let mut times: Vec<_> = self.blocks.values().copied().collect();
        let middle = times.len() / 2;
        let (_, &mut median, _) = times.select_nth_unstable(middle);
        self.blocks.retain(|_, at| *at > median);
    }
}
