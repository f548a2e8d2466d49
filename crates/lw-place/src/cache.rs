//! Which parts of prompts an engine or a store of KV cache holds.

use std::collections::HashMap;

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Part, Prompt};

/// Parts remembered of one holder. An engine holds some tens of large parts and some hundreds of small ones.
const PARTS_MAX: usize = 20_000;

/// One change of what an engine or store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// Salt of the part.
    pub salt: String,
    /// The part.
    pub part: u64,
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
    at: Now,
}

/// The parts that one holder is believed to hold. Events come late and some never, so an entry is a hint.
#[derive(Debug, Default)]
pub struct CacheView {
    epoch: Option<u64>,
    held: HashMap<u64, Held>,
}

impl CacheView {
    /// Applies events. Another epoch means that the holder has started again and is empty.
    pub fn apply(&mut self, now: Now, page: &CachePage) {
        if self.epoch.is_some_and(|epoch| epoch != page.epoch) {
            self.held.clear();
        }
        self.epoch = Some(page.epoch);
        for change in &page.changes {
            let key = key(&change.salt, change.part);
            if change.tokens == 0 {
                self.held.remove(&key);
            } else {
                self.insert(now, key, change.tokens);
            }
        }
    }

    /// Records that the parts of `prompt` were read or fetched.
    pub fn touch(&mut self, now: Now, salt: &str, parts: &[Part]) {
        for part in parts {
            self.insert(now, key(salt, part.id), part.tokens);
        }
    }

    /// Tokens of the leading parts of `prompt` that are held.
    #[must_use]
    pub fn tokens(&self, salt: &str, prompt: &Prompt) -> u64 {
        let mut tokens = 0;
        for part in &prompt.parts {
            let held = self.held.get(&key(salt, part.id)).map_or(0, |held| held.tokens);
            tokens += held.min(part.tokens);
            if held < part.tokens {
                break;
            }
        }
        tokens
    }

    /// Forgets everything, for a holder that is empty now.
    pub fn clear(&mut self) {
        self.held.clear();
    }

    fn insert(&mut self, now: Now, key: u64, tokens: u64) {
        self.held.insert(key, Held { tokens, at: now });
        if self.held.len() > PARTS_MAX {
            let mut times: Vec<_> = self.held.values().map(|held| held.at).collect();
            let middle = times.len() / 2;
            let (_, &mut median, _) = times.select_nth_unstable(middle);
            self.held.retain(|_, held| held.at > median);
        }
    }
}

fn key(salt: &str, part: u64) -> u64 {
    xxh3_64(salt.as_bytes()) ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
