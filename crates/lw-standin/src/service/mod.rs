//! A plain service: runs any call and answers with a record of the run.
//!
//! `GET /log` lists all runs, so that tests can count the runs of one call. The log persists through the fault `down_ms`.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lw_protocol::caller::{IDEMPOTENCY_HEADER, REQUEST_ID_HEADER};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::serve::{
    self, App, Call, Handle, HttpFaults, Response, Switches, abort, count_down, json,
};

/// Options of a service.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the instance, repeated in each answer.
    pub name: String,
    /// Time that each call takes.
    pub work_time: Duration,
    /// Fault switches at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "service".to_owned(),
            work_time: Duration::ZERO,
            faults: Faults::default(),
        }
    }
}

/// Fault switches of a service, the body of `POST /faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults that affect any request.
    pub http: HttpFaults,
    /// Number of calls that run and whose connection is then aborted without an answer.
    pub lose_replies: u32,
    /// Number of calls whose connection is aborted before they run.
    pub lose_calls: u32,
}

/// One run of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Number of the run, from 1.
    pub run: u64,
    /// Name of the instance.
    pub service: String,
    /// Method.
    pub method: String,
    /// Path, with the query if there is one.
    pub path: String,
    /// Digest of the body.
    pub body_digest: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Request id.
    pub request_id: Option<String>,
}

struct Service {
    options: Options,
    switches: Switches<Faults>,
    runs: Mutex<Vec<Run>>,
}

/// Starts a service.
///
/// # Errors
///
/// When the address cannot be bound.
///
/// ```
/// use lw_standin::service::{Options, start};
/// let service = start(Options::default()).unwrap();
/// assert_ne!(service.address().port(), 0);
/// ```
pub fn start(options: Options) -> io::Result<Handle> {
    let listen = options.listen;
    let switches = Switches::new(options.faults.clone());
    let service = Arc::new(Service { options, switches, runs: Mutex::default() });
    serve::start(listen, move |_, _| service.clone())
}

/// Returns the digest of a body, as in [`Run::body_digest`].
///
/// ```
/// assert_eq!(lw_standin::service::body_digest(b"a").len(), 16);
/// ```
#[must_use]
pub fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

impl App for Service {
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
        if call.path == "/log" {
            return json(&*self.runs.lock().unwrap_or_else(PoisonError::into_inner));
        }
        if self.switches.update(|faults| count_down(&mut faults.lose_calls)) {
            return abort();
        }
        let run = self.record_run(&call);
        tokio::time::sleep(self.options.work_time).await;
        if self.switches.update(|faults| count_down(&mut faults.lose_replies)) {
            return abort();
        }
        json(&run)
    }
}

impl Service {
    fn record_run(&self, call: &Call) -> Run {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let query = if call.query.is_empty() { String::new() } else { format!("?{}", call.query) };
        let run = Run {
            run: runs.len() as u64 + 1,
            service: self.options.name.clone(),
            method: call.method.to_string(),
            path: format!("{}{query}", call.path),
            body_digest: body_digest(&call.body),
            idempotency_key: call.header(IDEMPOTENCY_HEADER),
            request_id: call.header(REQUEST_ID_HEADER),
        };
        runs.push(run.clone());
        run
    }
}
