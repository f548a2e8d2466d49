//! The software versions that began streams, as far as this VM knows.

use std::collections::{HashMap, VecDeque};

use lw_types::prelude::*;

/// Most streams that are remembered, about 100 bytes each. Beyond, the oldest are forgotten.
const STREAMS_MAX: usize = 16_384;

/// A stream that callers may take up again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamId {
    /// Hash of its service's name.
    pub service: u64,
    /// Hash of the id of the request that brought its first event.
    pub id: u64,
}

impl StreamId {
    /// Returns the stream of a service whose first event was brought by the request whose id has this hash.
    #[must_use]
    pub fn new(service: &str, id: u64) -> Self {
        Self { service: service_hash(service), id }
    }
}

fn service_hash(service: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(service.as_bytes())
}

/// Returns the position of a version in a list, to which it is added if it is missing.
pub(crate) fn position_of(versions: &mut Vec<SoftwareVersion>, version: &str) -> usize {
    versions.iter().position(|known| known == version).unwrap_or_else(|| {
        versions.push(version.to_owned());
        versions.len() - 1
    })
}

/// Who relayed the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relayer {
    /// This VM.
    Own,
    /// Another VM, which told this one.
    Other,
}

#[derive(Debug)]
struct Remembered {
    /// Position in `versions`.
    version: usize,
    relayer: Relayer,
    at: Now,
}

/// Remembers which software version began each stream.
#[derive(Debug, Default)]
pub struct Memory {
    streams: HashMap<StreamId, Remembered>,
    /// The streams, the oldest first.
    order: VecDeque<StreamId>,
    /// All versions that were ever seen.
    versions: Vec<SoftwareVersion>,
}

impl Memory {
    /// Remembers that a version began a stream, unless one is remembered already. Returns whether none was.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_edge::software::{Memory, Relayer, StreamId};
    /// let (mut memory, stream) = (Memory::default(), StreamId::new("engines", 7));
    /// assert!(memory.insert(Duration::ZERO, stream, "v1", Relayer::Own));
    /// assert!(!memory.insert(Duration::ZERO, stream, "v2", Relayer::Own));
    /// assert_eq!(memory.get(stream), Some("v1"));
    /// ```
    pub fn insert(&mut self, now: Now, stream: StreamId, version: &str, relayer: Relayer) -> bool {
        if self.streams.contains_key(&stream) {
            return false;
        }
        let version = position_of(&mut self.versions, version);
        self.streams.insert(stream, Remembered { version, relayer, at: now });
        self.order.push_back(stream);
        if self.order.len() > STREAMS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.streams.remove(&oldest);
        }
        true
    }

    /// Returns the version that began a stream, if it is remembered.
    #[must_use]
    pub fn get(&self, stream: StreamId) -> Option<&str> {
        Some(&self.versions[self.streams.get(&stream)?.version])
    }

    /// Returns the streams of a service whose first events this VM relayed at `since` or later, with their versions.
    pub fn own_since(&self, service: &str, since: Now) -> impl Iterator<Item = (StreamId, &str)> {
        let service = service_hash(service);
        let remembered =
            self.order.iter().rev().filter_map(|id| Some((*id, self.streams.get(id)?)));
        let recent = remembered.take_while(move |(_, remembered)| remembered.at >= since);
        recent
            .filter(move |(id, of)| id.service == service && of.relayer == Relayer::Own)
            .map(|(id, of)| (id, self.versions[of.version].as_str()))
    }
}
