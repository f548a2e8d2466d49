//! A stand-in for the platform's store: keys with revisions, leases, watches and conditional writes.

use std::{
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::{sync::Notify, time::Instant};

use super::http::{Request, Server, Step, answer, chunked_head, serve};

mod state;

use state::{State, item_json};

/// Most items of one page, and most bytes of their values unless one item has more.
const PAGE_ITEMS_MAX: usize = 500;
const PAGE_BYTES_MAX: usize = 1 << 20;

/// How the store answers calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers as the platform's store does.
    #[default]
    Normal,
    /// It answers 503.
    Unavailable,
    /// It resets connections.
    Reset,
    /// It does not answer.
    NoAnswer,
    /// It sends an endless answer.
    Endless,
    /// It applies writes at once and answers them [`ANSWER_DELAY`] later.
    DelayedWriteAnswers,
    /// It creates leases and applies writes at once, and answers both [`ANSWER_DELAY`] later.
    DelayedAnswers,
}

impl StoreMode {
    /// Whether calls are answered as the platform's store does, if late.
    fn is_answering(self) -> bool {
        matches!(self, Self::Normal | Self::DelayedWriteAnswers | Self::DelayedAnswers)
    }
}

/// Chunk that [`StoreMode::Endless`] repeats.
const ENDLESS_CHUNK: &[u8] = b"20\r\n{\"Events\":[{\"Key\":\"aaaaaaaaaaaaa\r\n";

/// Delay of answers in [`StoreMode::DelayedWriteAnswers`] and [`StoreMode::DelayedAnswers`].
pub const ANSWER_DELAY: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// What a store contained at some time.
#[derive(Debug, Clone)]
pub struct StoreCopy(State);

impl StoreCopy {
    /// Removes a key, as if it had been written after the copy was made. Leases stay: their ids are given out again.
    #[must_use]
    pub fn without(mut self, key: &str) -> Self {
        self.0.items.remove(key);
        self
    }
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

/// A value as it is encoded in answers, and the one of the same length that takes its place.
type Replacement = (Vec<u8>, Vec<u8>);

/// A further address of a store, which can be made unavailable while the other addresses work.
#[derive(Debug)]
pub struct StoreEndpoint {
    is_available: Arc<AtomicBool>,
    replaced: Arc<Mutex<Vec<Replacement>>>,
    server: Server,
}

impl StoreEndpoint {
    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr
    }

    /// Answers calls to this address, or refuses them with status 503.
    pub fn set_available(&self, is_available: bool) {
        self.is_available.store(is_available, Ordering::Release);
    }

    /// Answers calls to this address with the value `to` wherever a key has the value `from`.
    ///
    /// # Panics
    ///
    /// If the two do not have the same length.
    pub fn replace(&self, from: &Value, to: &Value) {
        let encode = |value: &Value| STANDARD.encode(value.to_string()).into_bytes();
        let (from, to) = (encode(from), encode(to));
        assert_eq!(from.len(), to.len(), "the length of an answer is stated before");
        self.replaced.lock().unwrap_or_else(PoisonError::into_inner).push((from, to));
    }
}

/// Replaces values in an answer.
fn replace_values(steps: &mut [Step], replaced: &[Replacement]) {
    for step in steps {
        let Step::Send(bytes) = step else { continue };
        for (from, to) in replaced {
            let found = |bytes: &[u8]| bytes.windows(from.len()).position(|part| part == from);
            while let Some(at) = found(bytes) {
                bytes[at..at + to.len()].copy_from_slice(to);
            }
        }
    }
}

impl Store {
    /// Listens on a further address.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn add_endpoint(&self) -> io::Result<StoreEndpoint> {
        let is_available = Arc::new(AtomicBool::new(true));
        let replaced: Arc<Mutex<Vec<Replacement>>> = Arc::default();
        let (shared, available) = (Arc::clone(&self.shared), Arc::clone(&is_available));
        let values = Arc::clone(&replaced);
        let server = serve(move |request| {
            let (shared, available) = (Arc::clone(&shared), Arc::clone(&available));
            let values = Arc::clone(&values);
            async move {
                if !available.load(Ordering::Acquire) {
                    return json_answer(503, &json!({}));
                }
                // The address may have become unavailable while a watch waited.
                let mut steps = handle_call(shared, request).await;
                replace_values(&mut steps, &values.lock().unwrap_or_else(PoisonError::into_inner));
                if available.load(Ordering::Acquire) { steps } else { json_answer(503, &json!({})) }
            }
        });
        Ok(StoreEndpoint { is_available, replaced, server: server.await? })
    }

    /// Starts an empty store on a free loopback port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler_state = Arc::clone(&shared);
        let server = serve(move |request| handle_call(Arc::clone(&handler_state), request)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the store.
    #[must_use]
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr
    }

    /// Sets how the store answers calls; a mode in which calls fail also resets the waiting watches.
    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.lock().mode = mode;
        self.shared.changed.notify_waiters();
    }

    /// Lets it stand still for this time: it keeps its connections, but reads and sends nothing.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use lw_standin::hosted::{caller::get, store::Store};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// let store = Store::start().await?;
    /// let (started_at, stall_time) = (Instant::now(), Duration::from_millis(300));
    /// store.stall(stall_time);
    /// let answer = get(store.addr(), "/api/kv-range?Prefix=op").await.expect("an answer");
    /// assert!(answer.is_complete && started_at.elapsed() >= stall_time);
    /// # Ok(())
    /// # }
    /// ```
    pub fn stall(&self, time: Duration) {
        self.server.stall(time);
    }

    /// Writes a key, without a lease, as operators and upstreams do.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a key with arbitrary bytes as its value.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.shared.lock().write(key, value.to_vec(), 0);
        self.shared.changed.notify_waiters();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.lock().remove(key);
        self.shared.changed.notify_waiters();
    }

    /// Returns all keys.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        self.shared.lock().items.keys().cloned().collect()
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.shared.lock().items.get(key).map(|item| item.value.clone())
    }

    /// Removes the history, so that watches from earlier revisions fail.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.compacted = state.revision;
        state.history.clear();
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Resets the waiting watches, and goes on to answer all calls.
    ///
    /// ```
    /// # use lw_standin::hosted::{caller::get, store::Store};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// let store = Store::start().await?;
    /// let addr = store.addr();
    /// let watch = tokio::spawn(async move { get(addr, "/api/kv-watch?after=0&WaitMs=9000").await });
    /// while store.calls() == 0 {
    ///     tokio::task::yield_now().await;
    /// }
    /// store.cut_watches();
    /// assert!(!watch.await.unwrap().is_some_and(|answer| answer.is_complete));
    /// assert!(get(addr, "/api/kv-range?Prefix=").await.unwrap().is_complete);
    /// # Ok(())
    /// # }
    /// ```
    pub fn cut_watches(&self) {
        self.shared.lock().cuts += 1;
        self.shared.changed.notify_waiters();
    }

    /// Returns a copy of what the store contains.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.lock().clone())
    }

    /// Returns to an older copy: revisions are given out again from there, later writes and leases are lost, and the era
    /// rises by one. Resets the waiting watches.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.shared.lock();
        let (mode, era, calls, cuts) = (state.mode, state.era + 1, state.calls, state.cuts);
        *state = State { mode, era, calls, cuts, ..copy.0.clone() };
        let now = Instant::now();
        state.leases.values_mut().for_each(|(end, ttl)| *end = now + *ttl);
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.lock().revision
    }

    /// Returns the number of calls received.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let expired: Vec<u64> =
            state.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in expired {
            state.end_lease(id);
        }
        state
    }
}

fn json_answer(status: u16, body: &Value) -> Vec<Step> {
    answer(status, &[("content-type", "application/json")], body.to_string().as_bytes())
}

async fn handle_call(shared: Arc<Shared>, request: Request) -> Vec<Step> {
    let mut steps = answer_call(&shared, request).await;
    let era = shared.lock().era;
    for step in &mut steps {
        if let Step::Send(bytes) = step
            && let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n")
        {
            let header = format!("\r\nstore-era: {era}");
            bytes.splice(end..end, header.into_bytes());
        }
    }
    steps
}

async fn answer_call(shared: &Shared, request: Request) -> Vec<Step> {
    let mode = {
        let mut state = shared.lock();
        state.calls += 1;
        state.mode
    };
    match mode {
        StoreMode::Normal | StoreMode::DelayedWriteAnswers | StoreMode::DelayedAnswers => {}
        StoreMode::Unavailable => return json_answer(503, &json!({})),
        StoreMode::Reset => return vec![Step::Reset],
        StoreMode::NoAnswer => return wait_for_other_mode(shared).await,
        StoreMode::Endless => return vec![chunked_head(200, &[]), Step::Repeat(ENDLESS_CHUNK)],
    }
    match (request.method.as_str(), request.path()) {
        ("GET", "/api/kv-range") => list_range(shared, &request),
        ("GET", "/api/kv-watch") => watch(shared, &request).await,
        ("POST", "/api/kv-txn") => {
            let steps = apply_writes(shared, &request);
            if mode == StoreMode::Normal { steps } else { delayed(steps) }
        }
        ("POST", "/api/kv-lease") => {
            let steps = create_lease(shared, &request);
            if mode == StoreMode::DelayedAnswers { delayed(steps) } else { steps }
        }
        ("POST", path) if path.starts_with("/api/kv-keep/") => renew_lease(shared, path),
        ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
            shared.lock().end_lease(last_number(path));
            shared.changed.notify_waiters();
            json_answer(200, &json!({}))
        }
        _ => json_answer(404, &json!({})),
    }
}

/// Returns the steps of an answer that begins [`ANSWER_DELAY`] later.
fn delayed(mut steps: Vec<Step>) -> Vec<Step> {
    steps.insert(0, Step::Wait(ANSWER_DELAY));
    steps
}

/// Waits while the store doesn't answer, then resets the connection.
async fn wait_for_other_mode(shared: &Shared) -> Vec<Step> {
    while shared.lock().mode == StoreMode::NoAnswer {
        shared.changed.notified().await;
    }
    vec![Step::Reset]
}

fn list_range(shared: &Shared, request: &Request) -> Vec<Step> {
    let state = shared.lock();
    let prefix = request.query("Prefix").unwrap_or_default();
    let after = request.query("after").unwrap_or_default();
    let mut items =
        state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after).peekable();
    let (mut page, mut bytes) = (Vec::new(), 0);
    while let Some((key, item)) = items.next_if(|(_, item)| {
        bytes == 0 || (page.len() < PAGE_ITEMS_MAX && bytes + item.value.len() <= PAGE_BYTES_MAX)
    }) {
        bytes += item.value.len().max(1);
        page.push(item_json(key, item));
    }
    let has_more = items.peek().is_some();
    json_answer(200, &json!({ "items": page, "MorePages": has_more, "AsOf": state.revision }))
}

async fn watch(shared: &Shared, request: &Request) -> Vec<Step> {
    let prefix = request.query("Prefix").unwrap_or_default();
    let parameter = |name| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let after = parameter("after");
    let end = Instant::now() + Duration::from_millis(parameter("WaitMs"));
    let (era, cuts) = {
        let state = shared.lock();
        (state.era, state.cuts)
    };
    loop {
        let changed = shared.changed.notified();
        {
            let state = shared.lock();
            if !state.mode.is_answering() || state.era != era || state.cuts != cuts {
                return vec![Step::Reset];
            }
            if after < state.compacted || after > state.revision {
                return json_answer(410, &json!({}));
            }
            let events = state.events_after(&prefix, after);
            if !events.is_empty() || Instant::now() >= end {
                return json_answer(200, &json!({ "Events": events, "AsOf": state.revision }));
            }
        }
        // The end of a lease notifies nobody, so the state is polled too.
        let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
    }
}

fn apply_writes(shared: &Shared, request: &Request) -> Vec<Step> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let mut state = shared.lock();
    let is_current = |row: &Value| {
        let key = row["Key"].as_str().unwrap_or_default();
        row["Revision"].as_u64() == Some(state.items.get(key).map_or(0, |item| item.revision))
    };
    if !rows("Expected").iter().all(is_current) {
        return json_answer(412, &json!({ "items": [] }));
    }
    let has_lease = |row: &Value| {
        let lease = row["Lease"].as_u64().unwrap_or(0);
        lease == 0 || state.leases.contains_key(&lease)
    };
    if !rows("Writes").iter().all(has_lease) {
        return json_answer(404, &json!({}));
    }
    for row in rows("Writes") {
        let value = STANDARD.decode(row["Value"].as_str().unwrap_or_default()).unwrap_or_default();
        let lease = row["Lease"].as_u64().unwrap_or(0);
        state.write(row["Key"].as_str().unwrap_or_default(), value, lease);
    }
    for key in rows("Remove") {
        state.remove(key.as_str().unwrap_or_default());
    }
    let revision = state.revision;
    drop(state);
    shared.changed.notify_waiters();
    json_answer(200, &json!({ "Revision": revision }))
}

fn create_lease(shared: &Shared, request: &Request) -> Vec<Step> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let ttl_ms = body["TtlMs"].as_u64().unwrap_or(0);
    let mut state = shared.lock();
    state.revision += 1;
    let id = state.revision;
    let ttl = Duration::from_millis(ttl_ms);
    state.leases.insert(id, (Instant::now() + ttl, ttl));
    json_answer(200, &json!({ "Lease": id, "TtlMs": ttl_ms }))
}

fn renew_lease(shared: &Shared, path: &str) -> Vec<Step> {
    let mut state = shared.lock();
    let Some((end, ttl)) = state.leases.get_mut(&last_number(path)) else {
        return json_answer(404, &json!({}));
    };
    *end = Instant::now() + *ttl;
    let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    json_answer(200, &json!({ "TtlMs": ttl_ms }))
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}
