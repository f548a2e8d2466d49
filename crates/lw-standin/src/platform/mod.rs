//! The platform's services: key-value store, leases, watches and the VM list.
//!
//! It has the interface of `lw_protocol::platform`, `PUT /vms` to set the VM list and `GET /stats` for the counters of
//! calls. Keys may contain slashes. A watch without a change during `watch_time`, or during `wait_ms` of its query when
//! that is given, is answered with status 204. Calls above the rate limits are answered with status 429.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use lw_protocol::platform::{
    KeyValue, LeaseAnswer, LeaseRequest, PutAnswer, PutRequest, VALUE_MAX_BYTES, VmList,
};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::serve::{
    self, App, Call, Handle, HttpFaults, Response, Switches, abort, bad_request, count_down, empty,
    json, status_json,
};

mod rate;
mod store;

use self::rate::RateLimit;
pub use self::store::{Conflict, Store};

/// Options of the platform.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Limit on writes per second, including grants and renewals of leases; 0 means no limit.
    pub writes_per_second: u32,
    /// Limit on reads, watches and VM lists per second; 0 means no limit.
    pub reads_per_second: u32,
    /// Delay after which a change of the VM list becomes visible.
    pub vms_lag: Duration,
    /// Longest wait of a watch without `wait_ms`.
    pub watch_time: Duration,
    /// Fault switches at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_second: 300,
            reads_per_second: 2000,
            vms_lag: Duration::ZERO,
            watch_time: Duration::from_secs(20),
            faults: Faults::default(),
        }
    }
}

/// Fault switches of the platform, the body of `POST /faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults that affect any request.
    pub http: HttpFaults,
    /// Number of writes that are applied and whose connection is then aborted without an answer.
    pub lose_replies: u32,
    /// Number of writes whose connection is aborted before they are applied.
    pub lose_writes: u32,
    /// All leases expire at the next call, once.
    pub lapse_leases: bool,
}

/// Counters of calls, the answer to `GET /stats`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// `GET /kv`.
    pub reads: u64,
    /// `PUT /kv` and `DELETE /kv`, including those with a conflict.
    pub writes: u64,
    /// Writes that were refused because of a conflict.
    pub conflicts: u64,
    /// `GET /watch`; a watch counts once, however long it waits.
    pub watches: u64,
    /// `POST /leases`.
    pub leases: u64,
    /// `POST /leases/{id}/renew`.
    pub renewals: u64,
    /// `GET /vms`.
    pub vm_lists: u64,
    /// Calls above the rate limits, which no other counter includes.
    pub refused: u64,
}

struct State {
    store: Store,
    stats: Stats,
    writes: RateLimit,
    reads: RateLimit,
    /// VM lists with the time of their change, oldest first.
    vms: VecDeque<(Instant, VmList)>,
}

struct Platform {
    options: Options,
    switches: Switches<Faults>,
    state: Mutex<State>,
    changed: Notify,
}

/// Starts the platform. Its data persists through the fault `down_ms`.
///
/// # Errors
///
/// When the address cannot be bound.
///
/// ```
/// use lw_standin::platform::{Options, start};
/// let platform = start(Options::default()).unwrap();
/// assert_ne!(platform.address().port(), 0);
/// ```
pub fn start(options: Options) -> io::Result<Handle> {
    let now = Instant::now();
    let state = State {
        store: Store::default(),
        stats: Stats::default(),
        writes: RateLimit::new(options.writes_per_second, now),
        reads: RateLimit::new(options.reads_per_second, now),
        vms: VecDeque::from([(now, VmList::default())]),
    };
    let platform = Arc::new(Platform {
        switches: Switches::new(options.faults.clone()),
        state: Mutex::new(state),
        changed: Notify::new(),
        options,
    });
    serve::start(platform.options.listen, move |_, _| platform.clone())
}

impl App for Platform {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.switches
    }

    fn http_faults(faults: &Faults) -> &HttpFaults {
        &faults.http
    }

    fn is_exempt_from_faults(path: &str) -> bool {
        path == "/stats"
    }

    async fn call(self: Arc<Self>, call: Call) -> Response {
        if self.switches.update(|faults| std::mem::take(&mut faults.lapse_leases)) {
            self.lock().store.expire_all();
        }
        let path = call.path.clone();
        if let Some(key) = path.strip_prefix("/kv/") {
            return self.key_call(&call, key);
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            return self.watch(&call, key).await;
        }
        match (&call.method, path.as_str()) {
            (&Method::POST, "/leases") => self.grant_lease(&call),
            (&Method::POST, _) => match lease_id(&path) {
                Some(id) => self.renew_lease(id),
                None => empty(StatusCode::NOT_FOUND),
            },
            (&Method::GET, "/vms") => self.list_vms(),
            (&Method::PUT, "/vms") => self.set_vms(&call),
            (&Method::GET, "/stats") => json(&self.lock().stats),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}

fn lease_id(path: &str) -> Option<u64> {
    path.strip_prefix("/leases/")?.strip_suffix("/renew")?.parse().ok()
}

impl Platform {
    /// Locks the state and removes expired leases.
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.store.remove_expired(Instant::now()) {
            self.changed.notify_waiters();
        }
        state
    }

    fn key_call(&self, call: &Call, key: &str) -> Response {
        match call.method {
            Method::GET => {
                let mut state = self.lock();
                if !state.reads.admit(Instant::now()) {
                    return refuse_call(&mut state);
                }
                state.stats.reads += 1;
                key_value_answer(state.store.get(key))
            }
            Method::PUT => match call.json::<PutRequest>() {
                Ok(put) if put.value.len() > VALUE_MAX_BYTES => {
                    empty(StatusCode::PAYLOAD_TOO_LARGE)
                }
                Ok(put) => {
                    let prev = put.prev.or_else(|| call.number("prev"));
                    self.write(|store| store.put(key, PutRequest { prev, ..put }))
                }
                Err(e) => bad_request(&e),
            },
            Method::DELETE => self.write(|store| store.delete(key, call.number("prev"))),
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn write(&self, write: impl FnOnce(&mut Store) -> Result<Revision, Conflict>) -> Response {
        if self.switches.update(|faults| count_down(&mut faults.lose_writes)) {
            return abort();
        }
        let mut state = self.lock();
        if !state.writes.admit(Instant::now()) {
            return refuse_call(&mut state);
        }
        state.stats.writes += 1;
        let response = match write(&mut state.store) {
            Ok(revision) => json(&PutAnswer { revision }),
            Err(conflict) => {
                state.stats.conflicts += 1;
                match conflict {
                    Conflict::Revision(revision) => {
                        status_json(StatusCode::CONFLICT, &PutAnswer { revision })
                    }
                    Conflict::Lease => empty(StatusCode::NOT_FOUND),
                }
            }
        };
        drop(state);
        self.changed.notify_waiters();
        if self.switches.update(|faults| count_down(&mut faults.lose_replies)) {
            return abort();
        }
        response
    }

    async fn watch(&self, call: &Call, key: &str) -> Response {
        {
            let mut state = self.lock();
            if !state.reads.admit(Instant::now()) {
                return refuse_call(&mut state);
            }
            state.stats.watches += 1;
        }
        let after = call.number("after").unwrap_or(0);
        let wait = call.number("wait_ms").map_or(self.options.watch_time, Duration::from_millis);
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registered before the store is read, so that a change in between is not missed.
            changed.as_mut().enable();
            let wake = {
                let state = self.lock();
                if state.store.last_change(key) > after {
                    return key_value_answer(state.store.get(key));
                }
                state.store.next_expiry().map_or(deadline, |expiry| expiry.min(deadline))
            };
            if Instant::now() >= deadline {
                return empty(StatusCode::NO_CONTENT);
            }
            let _ = tokio::time::timeout_at(wake.into(), changed).await;
        }
    }

    fn grant_lease(&self, call: &Call) -> Response {
        let req = match call.json::<LeaseRequest>() {
            Ok(req) => req,
            Err(e) => return bad_request(&e),
        };
        let mut state = self.lock();
        let now = Instant::now();
        if !state.writes.admit(now) {
            return refuse_call(&mut state);
        }
        state.stats.leases += 1;
        let id = state.store.grant_lease(now, Duration::from_millis(req.ttl_ms));
        json(&LeaseAnswer { id, ttl_ms: req.ttl_ms })
    }

    fn renew_lease(&self, id: u64) -> Response {
        let mut state = self.lock();
        let now = Instant::now();
        if !state.writes.admit(now) {
            return refuse_call(&mut state);
        }
        state.stats.renewals += 1;
        match state.store.renew_lease(now, id) {
            Some(ttl) => {
                let ttl_ms = ttl.as_millis().try_into().unwrap_or(u64::MAX);
                json(&LeaseAnswer { id, ttl_ms })
            }
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn list_vms(&self) -> Response {
        let mut state = self.lock();
        let now = Instant::now();
        if !state.reads.admit(now) {
            return refuse_call(&mut state);
        }
        state.stats.vm_lists += 1;
        while state.vms.get(1).is_some_and(|(at, _)| *at + self.options.vms_lag <= now) {
            state.vms.pop_front();
        }
        json(&state.vms.front().map(|(_, list)| list.clone()).unwrap_or_default())
    }

    fn set_vms(&self, call: &Call) -> Response {
        match call.json::<VmList>() {
            Ok(list) => {
                self.lock().vms.push_back((Instant::now(), list));
                empty(StatusCode::NO_CONTENT)
            }
            Err(e) => bad_request(&e),
        }
    }
}

fn key_value_answer(kv: Option<&KeyValue>) -> Response {
    kv.map_or_else(|| empty(StatusCode::NOT_FOUND), json)
}

fn refuse_call(state: &mut State) -> Response {
    state.stats.refused += 1;
    empty(StatusCode::TOO_MANY_REQUESTS)
}
