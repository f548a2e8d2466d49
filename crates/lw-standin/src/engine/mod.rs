//! A model engine: continuous batching, a bounded prefix cache, orders and KV cache moves.
//!
//! It has the interface of `lw_protocol::upstream` and `GET /log`, which lists the requests with their outcome.
//! `POST /orders` answers with the load report, `POST /kv/import` with status 204, `POST /kv/export` with status 404
//! when no block is cached, and `GET /cache-events` with an empty list when nothing happened in time or when `after`
//! is above the newest number.
//! While weights are loaded, requests for them are refused with `version`.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use http::{Method, StatusCode};
use lw_protocol::upstream::{CacheEvents, LoadReport};
use lw_types::prelude::*;
use tokio::sync::Notify;

use crate::serve::{
    self, App, Call, Handle, HttpFaults, Response, Switches, bad_request, empty, json,
};

mod cache;
mod emitter;
mod generate;
mod options;
mod orders;
mod slots;
mod state;

pub use self::{
    cache::{Cache, Owner},
    generate::{answer_text, prompt_tokens, token_text},
    options::{Faults, Options, StreamFaults},
    state::LogEntry,
};
use self::{
    slots::Slots,
    state::{Shared, State},
};

struct Engine {
    options: Options,
    incarnation: Incarnation,
    switches: Switches<Faults>,
    state: Shared,
    /// One slot for each running request.
    slots: Slots,
    /// Prefill computes one block at a time, that of the most urgent request first.
    prefill_slot: Slots,
    cache_changed: Notify,
}

/// Starts an engine. After the fault `down_ms` it has a new incarnation, an empty cache and no faults.
///
/// # Errors
///
/// When the address cannot be bound.
///
/// ```
/// use lw_standin::engine::{Options, start};
/// let engine = start(Options::default()).unwrap();
/// assert_ne!(engine.address().port(), 0);
/// ```
pub fn start(options: Options) -> io::Result<Handle> {
    let listen = options.listen;
    serve::start(listen, move |start_number, _| {
        let mut options = options.clone();
        if start_number > 0 {
            options.faults = Faults::default();
        }
        Arc::new(Engine::new(options, start_number))
    })
}

impl Engine {
    fn new(options: Options, start_number: u64) -> Self {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let now_ms = now.as_millis().try_into().unwrap_or(u64::MAX);
        let incarnation = options.incarnation.map_or(now_ms, |first| first + start_number);
        Self {
            incarnation,
            switches: Switches::new(options.faults.clone()),
            state: Shared::new(State::new(&options, incarnation)),
            slots: Slots::new(options.running_max),
            prefill_slot: Slots::new(1),
            cache_changed: Notify::new(),
            options,
        }
    }

    /// Returns the load report of the given time ago.
    fn load_report(&self, lag: Duration) -> LoadReport {
        let mut report = self.state.lock().report_at(Instant::now(), lag);
        let age = lag.as_millis().try_into().unwrap_or(u64::MAX);
        report.age_ms = self.options.has_report_age.then_some(age);
        report.leaving = self.switches.get().leaving;
        report
    }

    fn load_lag(&self) -> Duration {
        let switch = self.switches.get().load_lag_ms;
        switch.map_or(self.options.load_lag, Duration::from_millis)
    }

    async fn cache_events(&self, after: u64) -> Response {
        let deadline = Instant::now() + self.options.events_wait;
        loop {
            let changed = self.cache_changed.notified();
            tokio::pin!(changed);
            // Registered before the cache is read, so that a change in between is not missed.
            changed.as_mut().enable();
            let now = Instant::now();
            let lag_ms = self.switches.get().events_lag_ms;
            let lag = lag_ms.map_or(self.options.events_lag, Duration::from_millis);
            let (events, last) = {
                let state = self.state.lock();
                (state.cache.events_after(now, after, lag), state.cache.last_seq())
            };
            if !events.is_empty() || after > last || now >= deadline {
                return json(&CacheEvents { incarnation: self.incarnation, events });
            }
            if after < last && !lag.is_zero() {
                // There are events that are not visible before the lag is over.
                tokio::time::sleep(lag.min(deadline - now)).await;
            } else {
                let _ = tokio::time::timeout_at(deadline.into(), changed).await;
            }
        }
    }
}

impl App for Engine {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.switches
    }

    fn http_faults(faults: &Faults) -> &HttpFaults {
        &faults.http
    }

    fn is_exempt_from_faults(path: &str) -> bool {
        path == "/log"
    }

    async fn call(self: Arc<Self>, call: Call) -> Response {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/generate") => {
                call.json().map_or_else(|e| bad_request(&e), |req| self.generate(req))
            }
            (&Method::GET, "/load") => json(&self.load_report(self.load_lag())),
            (&Method::GET, "/cache-events") => {
                self.cache_events(call.number("after").unwrap_or(0)).await
            }
            (&Method::POST, "/orders") => {
                call.json().map_or_else(|e| bad_request(&e), |req| self.apply_order(req))
            }
            (&Method::POST, "/kv/export") => {
                call.json().map_or_else(|e| bad_request(&e), |req| self.export_blocks(&req))
            }
            (&Method::POST, "/kv/import") => {
                call.json().map_or_else(|e| bad_request(&e), |req| self.import_blocks(req))
            }
            (&Method::GET, "/log") => json(&self.state.lock().log),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}
