//! The open connections of callers: what is held for each, and how those that make no progress are closed when that is scarce.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Waker},
    time::Duration,
};

use http::HeaderMap;
use tokio::{sync::Notify, time::Instant};

use super::{
    memory::{CallerMemory, Hold, Holder, NoRoom, Scarcity},
    progress::{CallerId, CallerUsage, ProgressTable, Resource, Stage},
};

/// Time without progress after which a caller counts as stalled.
const STALLED_MIN: Duration = Duration::from_secs(1);
/// Shortest time between two searches for callers that give way; what the evicted ones hold is released in between.
const EVICT_INTERVAL: Duration = Duration::from_millis(5);
/// Memory of one field of a decoded head, with the free places of its table, and of its copy for an upstream.
const FIELD_BYTES: usize = 320;
/// Memory of the read buffer that a decoded head keeps, if it is not longer.
const HEAD_MIN_BYTES: usize = 8 << 10;
/// Memory of the read buffer that the HTTP library allocates besides.
const NEXT_BUFFER_BYTES: usize = 8 << 10;

/// How an evicted connection is reached. It changes together with the table of connections, under its lock.
#[derive(Debug, Default)]
struct Signal {
    /// Whether its socket is to be closed.
    is_closing: AtomicBool,
    /// Waker of its task.
    waker: Mutex<Option<Waker>>,
    /// Whether the body that is being read is to be refused; its connection closes with the answer.
    is_body_refused: AtomicBool,
    /// Tells the reader of the body.
    body: Notify,
}

impl Signal {
    fn evict(&self, stage: Stage) {
        if stage == Stage::Body {
            self.is_body_refused.store(true, Ordering::Release);
            self.body.notify_waiters();
            return;
        }
        self.is_closing.store(true, Ordering::Release);
        if let Some(waker) = lock(&self.waker).take() {
            waker.wake();
        }
    }

    fn clear(&self) {
        self.is_closing.store(false, Ordering::Release);
        self.is_body_refused.store(false, Ordering::Release);
    }
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct Callers {
    memory: Arc<CallerMemory>,
    created: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    progress: ProgressTable<Arc<Signal>>,
    last_evicted: Option<Duration>,
}

impl Callers {
    /// Returns a table without connections, whose bytes are held in this memory.
    #[must_use]
    pub fn new(memory: Arc<CallerMemory>) -> Arc<Self> {
        Arc::new(Self { memory, created: Instant::now(), state: Mutex::default() })
    }

    /// Returns the memory that the bytes are held in.
    #[must_use]
    pub fn memory(&self) -> &Arc<CallerMemory> {
        &self.memory
    }

    /// Adds a connection.
    #[must_use]
    pub fn insert(self: &Arc<Self>) -> Caller {
        let (usage, signal) = (Arc::<CallerUsage>::default(), Arc::<Signal>::default());
        let now = self.created.elapsed();
        let id = lock(&self.state).progress.insert(now, Arc::clone(&usage), Arc::clone(&signal));
        Caller(Arc::new(Inner { callers: Arc::clone(self), id, usage, signal }))
    }

    /// Closes a connection whose caller makes no progress, unless more are about to close already than these. Returns whether
    /// one is about to close.
    #[must_use]
    pub fn make_place(&self) -> bool {
        let now = self.created.elapsed();
        let mut state = lock(&self.state);
        let amount = state.progress.evicted_count() + 1;
        let evicted = state.progress.evict(now, Resource::Connections, amount, Duration::ZERO);
        signal(&evicted);
        drop(state);
        self.log_evicted(evicted.len(), "connections");
        !evicted.is_empty()
    }

    /// Evicts callers that make no progress, if memory is scarce. Returns whether any are about to release what they hold.
    fn make_room(&self, scarcity: Scarcity) -> bool {
        let now = self.created.elapsed();
        let (resource, amount, stalled_min) = match scarcity {
            Scarcity::None => return false,
            Scarcity::Bytes { excess, is_severe } => {
                (Resource::Bytes, excess, if is_severe { Duration::ZERO } else { STALLED_MIN })
            }
            Scarcity::LargeRequests { excess } => (Resource::LargeRequests, excess, STALLED_MIN),
        };
        let mut state = lock(&self.state);
        let is_recent = state.last_evicted.is_some_and(|at| now < at + EVICT_INTERVAL);
        if is_recent {
            return true;
        }
        let evicted = state.progress.evict(now, resource, amount, stalled_min);
        signal(&evicted);
        let is_pending = state.progress.evicted_count() > 0;
        if !evicted.is_empty() {
            state.last_evicted = Some(now);
        }
        drop(state);
        self.log_evicted(evicted.len(), "memory");
        is_pending
    }

    fn log_evicted(&self, count: usize, what: &str) {
        if count == 0 {
            return;
        }
        let used = self.memory.used();
        log::warn!(
            "http: {count} connections closed for lack of {what}, their callers made no progress; {} of {} bytes are held, {} \
             of connections, {} of requests",
            used.total(),
            self.memory.shares().total,
            used.connections,
            used.requests
        );
    }
}

fn signal(evicted: &[(Stage, Arc<Signal>)]) {
    for (stage, signal) in evicted {
        signal.evict(*stage);
    }
}

/// One connection of a caller. Its requests carry it as an extension.
#[derive(Debug, Clone)]
pub struct Caller(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    callers: Arc<Callers>,
    id: CallerId,
    usage: Arc<CallerUsage>,
    signal: Arc<Signal>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        lock(&self.callers.state).progress.remove(self.id);
    }
}

impl Caller {
    /// Returns the memory that its bytes are held in.
    #[must_use]
    pub fn memory(&self) -> &Arc<CallerMemory> {
        &self.0.callers.memory
    }

    /// Returns a hold of no bytes yet for this caller, like [`CallerMemory::hold`].
    #[must_use]
    pub fn hold(&self, holder: Holder, announced: Option<u64>) -> Hold {
        self.0.callers.memory.hold(holder, announced).of_caller(self.clone())
    }

    /// Returns a hold of the memory of a decoded request head. It does not wait for room, since the head takes it already.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if there is none.
    pub fn hold_head(&self, headers: &HeaderMap) -> Result<Hold, NoRoom> {
        let bytes = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            name.as_str().len() + value.len()
        };
        let data: usize = headers.iter().map(bytes).sum();
        let mut hold = self.hold(Holder::Request, None);
        let buffers = data.next_power_of_two().max(HEAD_MIN_BYTES) + NEXT_BUFFER_BYTES;
        let bytes = buffers + headers.len() * FIELD_BYTES;
        hold.grow(bytes)?;
        Ok(hold)
    }

    /// Holds further bytes, and waits for those of callers that are being evicted.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if nobody gives way, or not in time.
    pub async fn grow(&self, hold: &mut Hold, bytes: usize) -> Result<(), NoRoom> {
        super::wait_for_room(Some(self), || hold.grow(bytes)).await
    }

    /// Marks the body of a request as awaited until the result is dropped.
    #[must_use]
    pub fn receive_body(&self) -> Receiving<'_> {
        self.set_stage(Stage::Body);
        Receiving { caller: self }
    }

    /// Evicts callers that make no progress, as the reason of a refusal requires. Returns whether any are about to release
    /// what they hold.
    #[must_use]
    pub fn make_room(&self, e: &NoRoom) -> bool {
        self.0.callers.make_room(e.scarcity)
    }

    /// Waits until the body of this caller gives way to others.
    pub(super) async fn body_evicted(&self) {
        let signal = &self.0.signal;
        loop {
            let changed = signal.body.notified();
            if signal.is_body_refused.load(Ordering::Acquire) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the refusal of a request that gives way to others.
    pub(super) fn evicted(&self) -> NoRoom {
        self.0.callers.memory.evicted()
    }

    pub(super) fn usage(&self) -> &CallerUsage {
        &self.0.usage
    }

    /// Lets others give way, if memory has become scarce.
    pub(super) fn relieve(&self, scarcity: Scarcity) {
        let _ = self.0.callers.make_room(scarcity);
    }

    pub(crate) fn set_stage(&self, stage: Stage) {
        let now = self.0.callers.created.elapsed();
        let mut table = lock(&self.0.callers.state);
        table.progress.set_stage(self.0.id, now, stage);
        self.0.signal.clear();
    }

    pub(crate) fn set_sending(&self, is_sending: bool) {
        let now = self.0.callers.created.elapsed();
        lock(&self.0.callers.state).progress.set_sending(self.0.id, now, is_sending);
    }

    /// Records that the head of a request is complete.
    pub(crate) fn begin_request(&self) {
        let now = self.0.callers.created.elapsed();
        let mut table = lock(&self.0.callers.state);
        table.progress.begin_request(self.0.id, now);
        self.0.signal.clear();
    }

    /// Marks it as closed since there is no memory for what it sends.
    pub(crate) fn close(&self) {
        self.0.signal.is_closing.store(true, Ordering::Release);
    }

    /// Whether it ever sent a complete head.
    pub(crate) fn has_sent_request(&self) -> bool {
        lock(&self.0.callers.state).progress.requests(self.0.id) > 0
    }

    /// Records bytes that it has sent. Returns the number of the request whose head they belong to, or none if they belong to a
    /// body.
    pub(crate) fn record_received(&self, bytes: usize) -> Option<u64> {
        let now = self.0.callers.created.elapsed();
        lock(&self.0.callers.state).progress.record_received(self.0.id, now, bytes)
    }

    /// Whether its socket is to be closed. Otherwise the task of `cx` is woken when that changes.
    pub(crate) fn is_closing(&self, cx: &Context<'_>) -> bool {
        let mut waker = lock(&self.0.signal.waker);
        match &mut *waker {
            Some(waker) => waker.clone_from(cx.waker()),
            None => *waker = Some(cx.waker().clone()),
        }
        self.was_closed()
    }

    /// Whether its socket was or is to be closed since connections or memory are scarce.
    pub(crate) fn was_closed(&self) -> bool {
        self.0.signal.is_closing.load(Ordering::Acquire)
    }
}

/// The body of a request is awaited.
#[derive(Debug)]
pub struct Receiving<'a> {
    caller: &'a Caller,
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.caller.set_stage(Stage::Busy);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
