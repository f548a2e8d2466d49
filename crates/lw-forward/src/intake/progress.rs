//! Decides which callers give way when memory or connections are scarce. Uses no sockets and no clock.
//!
//! Those give way that keep the process waiting: first callers that have begun a request and stopped, then idle ones, each by
//! the time since their last progress. A request that is complete never gives way.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Number of a connection.
pub type CallerId = u64;

/// Bytes of a request that count as progress. Fewer would let a caller keep its place a byte at a time.
const PROGRESS_BYTES: usize = 1 << 10;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A request head, of which some bytes may have arrived.
    Head,
    /// The rest of a body.
    Body,
    /// Nothing that its caller has to send: its request is served.
    Busy,
    /// The next request.
    Idle,
}

/// What is scarce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Open connections.
    Connections,
    /// All bytes.
    Bytes,
    /// Bytes of large requests.
    LargeRequests,
}

/// Bytes that are held for one caller.
#[derive(Debug, Default)]
pub struct CallerUsage {
    pub(super) all: AtomicUsize,
    pub(super) large_requests: AtomicUsize,
}

impl CallerUsage {
    fn of(&self, resource: Resource) -> usize {
        match resource {
            Resource::Connections => 1,
            Resource::Bytes => self.all.load(Ordering::Relaxed),
            Resource::LargeRequests => self.large_requests.load(Ordering::Relaxed),
        }
    }
}

#[derive(Debug)]
struct Entry<S> {
    stage: Stage,
    /// Whether bytes of an answer wait for the caller, for whose progress the listener has limits of its own.
    is_sending: bool,
    progressed: Duration,
    /// Bytes received since then.
    received: usize,
    /// Requests whose heads are complete.
    requests: u64,
    usage: Arc<CallerUsage>,
    is_evicted: bool,
    signal: S,
}

impl<S> Entry<S> {
    /// Returns the order in which callers give way, or none if this one does not.
    fn rank(&self) -> Option<u8> {
        match self.stage {
            _ if self.is_evicted || self.is_sending => None,
            Stage::Head | Stage::Body => Some(0),
            Stage::Idle => Some(1),
            Stage::Busy => None,
        }
    }
}

/// The open connections with the progress of their callers. `S` is what reaches an evicted one. Times are since any fixed
/// moment.
///
/// ```
/// use std::time::Duration;
/// use lw_forward::intake::{ProgressTable, Resource, Stage};
/// let second = Duration::from_secs(1);
/// let mut table = ProgressTable::default();
/// let stopped = table.insert(0 * second, Default::default(), "stopped");
/// let served = table.insert(0 * second, Default::default(), "served");
/// table.set_stage(served, 0 * second, Stage::Busy);
/// table.insert(2 * second, Default::default(), "new");
/// assert_eq!(table.evict(2 * second, Resource::Connections, 1, second), [(Stage::Head, "stopped")]);
/// // Its place is about to be free.
/// assert!(table.evict(2 * second, Resource::Connections, 1, second).is_empty());
/// table.remove(stopped);
/// assert!(table.evict(2 * second, Resource::Connections, 1, second).is_empty());
/// ```
#[derive(Debug)]
pub struct ProgressTable<S> {
    last_id: CallerId,
    entries: HashMap<CallerId, Entry<S>>,
}

impl<S> Default for ProgressTable<S> {
    fn default() -> Self {
        Self { last_id: 0, entries: HashMap::new() }
    }
}

impl<S: Clone> ProgressTable<S> {
    /// Adds a new connection.
    pub fn insert(&mut self, now: Duration, usage: Arc<CallerUsage>, signal: S) -> CallerId {
        self.last_id += 1;
        let entry = Entry {
            stage: Stage::Head,
            is_sending: false,
            progressed: now,
            received: 0,
            requests: 0,
            usage,
            is_evicted: false,
            signal,
        };
        self.entries.insert(self.last_id, entry);
        self.last_id
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: CallerId) {
        self.entries.remove(&id);
    }

    /// Records that the head of a request is complete. One that was evicted meanwhile is not any more.
    pub fn begin_request(&mut self, id: CallerId, now: Duration) {
        self.set_stage(id, now, Stage::Busy);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.requests += 1;
        }
    }

    /// Returns the number of requests of a connection whose heads are complete.
    #[must_use]
    pub fn requests(&self, id: CallerId) -> u64 {
        self.entries.get(&id).map_or(0, |entry| entry.requests)
    }

    /// Records what a connection waits for from now on. One that was evicted meanwhile is not any more.
    pub fn set_stage(&mut self, id: CallerId, now: Duration, stage: Stage) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        (entry.stage, entry.progressed, entry.received) = (stage, now, 0);
        entry.is_evicted = false;
    }

    /// Records whether bytes of an answer wait for a caller.
    pub fn set_sending(&mut self, id: CallerId, now: Duration, is_sending: bool) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        (entry.is_sending, entry.progressed) = (is_sending, now);
    }

    /// Records bytes that a caller has sent. Returns the number of the request whose head they belong to, or none if they
    /// belong to a body.
    pub fn record_received(&mut self, id: CallerId, now: Duration, bytes: usize) -> Option<u64> {
        let entry = self.entries.get_mut(&id)?;
        entry.received += bytes;
        let is_begun = entry.stage == Stage::Idle;
        if is_begun {
            entry.stage = Stage::Head;
        }
        if is_begun || entry.received >= PROGRESS_BYTES {
            (entry.progressed, entry.received) = (now, 0);
        }
        (entry.stage != Stage::Body).then_some(entry.requests)
    }

    /// Evicts callers without progress for at least `stalled_min` until this amount of the resource is free, or about to be.
    /// Returns what they waited for and how to reach them.
    pub fn evict(
        &mut self,
        now: Duration,
        resource: Resource,
        amount: usize,
        stalled_min: Duration,
    ) -> Vec<(Stage, S)> {
        let evicted = self.entries.values().filter(|entry| entry.is_evicted);
        let mut freed: usize = evicted.map(|entry| entry.usage.of(resource)).sum();
        if freed >= amount {
            return Vec::new();
        }
        let is_stalled = |entry: &Entry<S>| now.saturating_sub(entry.progressed) >= stalled_min;
        let entries = self.entries.values_mut();
        let mut stalled: Vec<_> = entries
            .filter(|entry| is_stalled(entry) && entry.usage.of(resource) > 0)
            .filter_map(|entry| Some((entry.rank()?, entry)))
            .collect();
        stalled.sort_by_key(|(rank, entry)| (*rank, entry.progressed));
        let mut signals = Vec::new();
        for (_, entry) in stalled {
            if freed >= amount {
                break;
            }
            freed += entry.usage.of(resource);
            entry.is_evicted = true;
            signals.push((entry.stage, entry.signal.clone()));
        }
        signals
    }

    /// Number of evicted connections that are still open.
    #[must_use]
    pub fn evicted_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_evicted).count()
    }
}
