//! Bounded prefix cache with the least recently used block evicted first.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use lw_protocol::upstream::{CacheChange, CacheEvent};
use lw_types::prelude::*;

/// Events kept for readers; a reader that is further behind sees a gap.
const EVENTS_MAX: usize = 65_536;

/// What a cached block belongs to: blocks of different owners are never shared.
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

/// The cached blocks and the events that tell of their changes.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<Key, u64>,
    by_use: BTreeMap<u64, Key>,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    /// An empty cache for this many blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
            by_use: BTreeMap::new(),
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// How many of the blocks are cached from the first on; marks them as used.
    ///
    /// The end of a prefix counts as used before its start, so that a prefix is evicted from its end: a block is
    /// of no use without those before it.
    pub fn hit(&mut self, owner: &Owner, blocks: &[BlockHash]) -> usize {
        let hits = blocks.iter().take_while(|&&block| self.holds(owner, block)).count();
        for &block in blocks[..hits].iter().rev() {
            self.touch((block, owner.clone()));
        }
        hits
    }

    /// Whether a block is cached for anyone, and for whom.
    #[must_use]
    pub fn owner_of(&self, block: BlockHash) -> Option<Owner> {
        self.used.keys().find(|(held, _)| *held == block).map(|(_, owner)| owner.clone())
    }

    /// Whether a block is cached for this owner.
    #[must_use]
    pub fn holds(&self, owner: &Owner, block: BlockHash) -> bool {
        self.used.contains_key(&(block, owner.clone()))
    }

    /// Stores a block and evicts the least recently used ones above the capacity.
    ///
    /// Every `gap_every`th event is lost; 0 loses none.
    pub fn store(&mut self, now: Instant, owner: &Owner, block: BlockHash, gap_every: u64) {
        if self.capacity == 0 {
            return;
        }
        let key = (block, owner.clone());
        let is_new = !self.used.contains_key(&key);
        self.touch(key);
        if is_new {
            self.record(now, CacheChange::Stored, block, gap_every);
        }
        while self.used.len() > self.capacity {
            let Some((_, key)) = self.by_use.pop_first() else { return };
            self.used.remove(&key);
            self.record(now, CacheChange::Evicted, key.0, gap_every);
        }
    }

    /// Drops all blocks of a model, whose weights have changed.
    pub fn drop_model(&mut self, now: Instant, model: &str, gap_every: u64) {
        let gone: Vec<u64> = self
            .by_use
            .iter()
            .filter(|(_, (_, owner))| owner.model == model)
            .map(|(&at, _)| at)
            .collect();
        for at in gone {
            if let Some(key) = self.by_use.remove(&at) {
                self.used.remove(&key);
                self.record(now, CacheChange::Evicted, key.0, gap_every);
            }
        }
    }

    /// The events after a sequence number that are older than the lag.
    #[must_use]
    pub fn events_after(&self, now: Instant, seq: u64, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq > seq && *at + lag <= now)
            .map(|(_, event)| *event)
            .collect()
    }

    /// Number of the last event.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.seq
    }

    fn touch(&mut self, key: Key) {
        self.clock += 1;
        if let Some(before) = self.used.insert(key.clone(), self.clock) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, key);
    }

    fn record(&mut self, now: Instant, change: CacheChange, block: BlockHash, gap_every: u64) {
        self.seq += 1;
        if gap_every > 0 && self.seq.is_multiple_of(gap_every) {
            return;
        }
        if self.events.len() >= EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back((now, CacheEvent { seq: self.seq, change, block }));
    }
}
