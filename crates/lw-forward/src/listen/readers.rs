//! Callers that read their answers more slowly than these are written. When memory for callers' bytes is scarce, the
//! connection of the one that reads least is closed.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::Waker,
    time::Duration,
};

use tokio::time::Instant;

use crate::{drain::Drain, intake::CallerMemory};

/// Shortest time between two closed connections: the memory of the first one is released when its task has run.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);

/// The slow readers of one listener.
#[derive(Debug)]
pub(super) struct SlowReaders {
    memory: Option<Arc<CallerMemory>>,
    created: Instant,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    last_id: u64,
    readers: HashMap<u64, Reader>,
    last_closed: Option<Duration>,
}

#[derive(Debug)]
struct Reader {
    drain: Drain,
    waker: Waker,
    /// Whether its connection is to be closed.
    is_closing: bool,
}

impl SlowReaders {
    /// Returns an empty set. Without a memory, no connection is closed.
    pub(super) fn new(memory: Option<Arc<CallerMemory>>) -> Arc<Self> {
        Arc::new(Self { memory, created: Instant::now(), table: Mutex::default() })
    }

    /// Returns the time since this set was created, the time of all its records.
    pub(super) fn now(&self) -> Duration {
        self.created.elapsed()
    }

    /// Adds a caller for which bytes wait; `waker` is that of its connection.
    pub(super) fn add(self: &Arc<Self>, drain: Drain, waker: &Waker) -> SlowReader {
        let mut table = self.lock();
        table.last_id += 1;
        let id = table.last_id;
        table.readers.insert(id, Reader { drain, waker: waker.clone(), is_closing: false });
        SlowReader { readers: Arc::clone(self), id }
    }

    /// Marks the connection that drains least for closing, if memory is scarce.
    fn close_least(&self) {
        let now = self.now();
        let Some(memory) = &self.memory else { return };
        let mut table = self.lock();
        if table.last_closed.is_some_and(|at| now < at + CLOSE_INTERVAL) || !memory.needs_room() {
            return;
        }
        let open = table.readers.values_mut().filter(|reader| !reader.is_closing);
        let rated = open.filter_map(|reader| Some((reader.drain.rate(now)?, reader)));
        let Some((rate, reader)) = rated.min_by_key(|(rate, _)| *rate) else { return };
        reader.is_closing = true;
        reader.waker.wake_by_ref();
        table.last_closed = Some(now);
        let used = memory.used();
        log::warn!(
            "http: connection closed for lack of memory, its caller reads {rate} bytes/s, least of {}; {} of {} bytes are \
             held, {} of answers",
            table.readers.len(),
            used.total(),
            memory.shares().total,
            used.answers
        );
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller for which bytes wait, until this is dropped.
#[derive(Debug)]
pub(super) struct SlowReader {
    readers: Arc<SlowReaders>,
    id: u64,
}

impl SlowReader {
    /// Records the progress of this caller, and closes a connection if memory is scarce.
    pub(super) fn update(&self, drain: Drain, waker: &Waker) {
        if let Some(reader) = self.readers.lock().readers.get_mut(&self.id) {
            reader.drain = drain;
            reader.waker.clone_from(waker);
        }
        self.readers.close_least();
    }

    /// Whether the connection of this caller is to be closed.
    pub(super) fn is_closing(&self) -> bool {
        self.readers.lock().readers.get(&self.id).is_some_and(|reader| reader.is_closing)
    }
}

impl Drop for SlowReader {
    fn drop(&mut self) {
        self.readers.lock().readers.remove(&self.id);
    }
}
