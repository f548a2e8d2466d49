//! What the store contains, and the history of its changes.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::StoreMode;

/// Number of changes that are retained for watches.
const HISTORY_MAX: usize = 4096;

/// The value of a key.
#[derive(Debug, Clone)]
pub(super) struct Item {
    pub value: Vec<u8>,
    pub revision: u64,
    pub created: u64,
    pub lease: u64,
}

/// All that a copy of the store contains.
#[derive(Debug, Clone, Default)]
pub(super) struct State {
    pub mode: StoreMode,
    /// Number of returns from an older copy.
    pub era: u64,
    pub revision: u64,
    pub items: BTreeMap<String, Item>,
    pub leases: HashMap<u64, (Instant, Duration)>,
    pub history: Vec<(u64, Value)>,
    /// Revision up to which the history was removed.
    pub compacted: u64,
    pub calls: u64,
    /// How often the waiting watches were cut.
    pub cuts: u64,
}

impl State {
    pub fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.record_change(item_json(key, &item));
        self.items.insert(key.to_owned(), item);
    }

    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.record_change(json!({ "Key": key, "Revision": revision, "Removed": true }));
        }
    }

    fn record_change(&mut self, event: Value) {
        self.history.push((self.revision, event));
        if self.history.len() > HISTORY_MAX {
            let (dropped, _) = self.history.remove(0);
            self.compacted = dropped;
        }
    }

    pub fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    pub fn events_after(&self, prefix: &str, after: u64) -> Vec<Value> {
        let has_prefix = |event: &Value| event["Key"].as_str().unwrap_or("").starts_with(prefix);
        let newer = self.history.iter().filter(|(revision, _)| *revision > after);
        newer.filter(|(_, event)| has_prefix(event)).map(|(_, event)| event.clone()).collect()
    }
}

pub(super) fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "Key": key,
        "Value": STANDARD.encode(&item.value),
        "Revision": item.revision,
        "Created": item.created,
        "Lease": item.lease,
    })
}
