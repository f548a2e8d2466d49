//! A bounded prefix cache that evicts the least recently used block first.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use lw_protocol::upstream::{CacheChange, CacheEvent};
use lw_types::prelude::*;

/// Events that are retained; a reader that is further behind finds a gap in the numbers.
const CACHE_EVENTS_MAX: usize = 65_536;

/// What a cached block was computed for; requests with another owner don't use it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Cache salt.
    pub scope: String,
    /// Model name.
    pub model: ModelId,
    /// Version of the weights.
    pub version: String,
}

type Key = (BlockHash, Owner);

/// The cached blocks and the events that report their changes.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    use_count: u64,
    last_use: HashMap<Key, u64>,
    by_last_use: BTreeMap<u64, Key>,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    /// Returns an empty cache with a capacity in blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_count: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns how many of the blocks, counted from the first, are cached, and marks them as used.
    ///
    /// The end of a prefix is marked before its start, so that a prefix is evicted from its end: a block is useless
    /// without those before it.
    pub fn count_hits(&mut self, owner: &Owner, blocks: &[BlockHash]) -> usize {
        let hits = blocks.iter().take_while(|&&block| self.contains(owner, block)).count();
        for &block in blocks[..hits].iter().rev() {
            self.mark_used((block, owner.clone()));
        }
        hits
    }

    /// Returns an owner for which the block is cached; `None` if it is cached for none.
    #[must_use]
    pub fn owner_of(&self, block: BlockHash) -> Option<Owner> {
        self.last_use.keys().find(|(cached, _)| *cached == block).map(|(_, owner)| owner.clone())
    }

    /// Whether a block is cached for this owner.
    #[must_use]
    pub fn contains(&self, owner: &Owner, block: BlockHash) -> bool {
        self.last_use.contains_key(&(block, owner.clone()))
    }

    /// Stores a block and evicts the least recently used blocks above the capacity.
    ///
    /// Every `gap_every`-th event is omitted but numbered; 0 omits none.
    pub fn store(&mut self, now: Instant, owner: &Owner, block: BlockHash, gap_every: u64) {
        if self.capacity == 0 {
            return;
        }
        let key = (block, owner.clone());
        let is_new = !self.last_use.contains_key(&key);
        self.mark_used(key);
        if is_new {
            self.record_event(now, CacheChange::Stored, block, gap_every);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, key)) = self.by_last_use.pop_first() else { return };
            self.last_use.remove(&key);
            self.record_event(now, CacheChange::Evicted, key.0, gap_every);
        }
    }

    /// Removes all blocks of a model whose weights have changed.
    pub fn remove_model(&mut self, now: Instant, model: &str, gap_every: u64) {
        let removed: Vec<u64> = self
            .by_last_use
            .iter()
            .filter(|(_, (_, owner))| owner.model == model)
            .map(|(&at, _)| at)
            .collect();
        for at in removed {
            if let Some(key) = self.by_last_use.remove(&at) {
                self.last_use.remove(&key);
                self.record_event(now, CacheChange::Evicted, key.0, gap_every);
            }
        }
    }

    /// Returns the events after a sequence number that happened at least `lag` ago.
    #[must_use]
    pub fn events_after(&self, now: Instant, seq: u64, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq > seq && *at + lag <= now)
            .map(|(_, event)| *event)
            .collect()
    }

    /// Returns the sequence number of the last event.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.seq
    }

    fn mark_used(&mut self, key: Key) {
        self.use_count += 1;
        if let Some(before) = self.last_use.insert(key.clone(), self.use_count) {
            self.by_last_use.remove(&before);
        }
        self.by_last_use.insert(self.use_count, key);
    }

    fn record_event(
        &mut self,
        now: Instant,
        change: CacheChange,
        block: BlockHash,
        gap_every: u64,
    ) {
        self.seq += 1;
        if gap_every > 0 && self.seq.is_multiple_of(gap_every) {
            return;
        }
        if self.events.len() >= CACHE_EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back((now, CacheEvent { seq: self.seq, change, block }));
    }
}
