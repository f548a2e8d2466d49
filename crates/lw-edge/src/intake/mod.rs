//! Reads callers' requests within the memory for callers, and derives the limits on it from the size of the VM.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use http::HeaderMap;
use hyper::body::Incoming;
use lw_forward::{
    intake::{self, BodyError, BodyLimits, Caller, CallerMemory, Hold, NoRoom, Shares},
    listen::ClosedCounts,
};
use lw_observe::metrics::{KindLabel, Metrics, as_gauge, increment};
use lw_protocol::caller::Failure;

/// The memory of the VM divided by this number is the limit on all that is held for callers. The rest is for the views of the
/// store and of caches, and a body that is held twice while it is joined.
const MEMORY_DIVISOR: u64 = 2;
/// The memory of the VM divided by this number is the limit on large requests and, halved, on large answers.
const LARGE_DIVISOR: u64 = 8;
/// The memory of the VM divided by this number limits the number of connections, each of this size. Those without progress
/// give way to others before.
const CONNECTIONS_DIVISOR: u64 = 4;
const CONNECTION_BYTES: usize = 16 << 10;
/// Memory of one segment of a prompt while its request is served: in the request, for the placement and for the quarantine.
const SEGMENT_BYTES: usize = 64;

/// Returns the memory for callers of a VM with this memory.
///
/// ```
/// let shares = lw_edge::intake::caller_memory(160 << 20).shares();
/// assert_eq!((shares.total, shares.large_requests, shares.large_answers), (80 << 20, 20 << 20, 10 << 20));
/// ```
#[must_use]
pub fn caller_memory(memory_bytes: u64) -> Arc<CallerMemory> {
    let part = |divisor| usize::try_from(memory_bytes / divisor).unwrap_or(usize::MAX);
    let large_requests = part(LARGE_DIVISOR);
    CallerMemory::new(Shares {
        total: part(MEMORY_DIVISOR),
        large_requests,
        large_answers: large_requests / 2,
    })
}

/// Returns the maximum number of callers' connections: half of the sockets, and at most as many as a quarter of the
/// memory holds.
///
/// ```
/// // The smallest VM of the platform: the sockets are the lower limit.
/// assert_eq!(lw_edge::intake::connections_max(3_075, 120 << 20), 1_537);
/// assert_eq!(lw_edge::intake::connections_max(8_192, 64 << 20), 1_024);
/// ```
#[must_use]
pub fn connections_max(sockets_max: usize, memory_bytes: u64) -> usize {
    let by_memory = usize::try_from(memory_bytes / CONNECTIONS_DIVISOR).unwrap_or(usize::MAX);
    (sockets_max / 2).min(by_memory / CONNECTION_BYTES)
}

/// A request that is being received.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Intake<'a> {
    /// Its connection.
    pub caller: &'a Caller,
    /// Counts refusals.
    pub metrics: &'a Metrics,
    /// Its id.
    pub request: &'a str,
}

impl Intake<'_> {
    /// Holds the memory of its head.
    ///
    /// # Errors
    ///
    /// A failure that says that the request has not run. Its body is not read, so the connection has to be closed.
    pub fn hold_head(&self, headers: &HeaderMap) -> Result<Hold, Failure> {
        self.caller.hold_head(headers).map_err(|e| self.refuse_head(e))
    }

    /// Holds the memory of the segments of its prompt, too.
    ///
    /// # Errors
    ///
    /// A failure that says that the request has not run.
    pub fn hold_segments(&self, hold: &mut Hold, segments: usize) -> Result<(), Failure> {
        hold.grow(segments * SEGMENT_BYTES).map_err(|e| self.refuse_head(e))
    }

    /// Reads its body.
    ///
    /// # Errors
    ///
    /// A failure that says that the request has not run. The rest of the body is not read, so the connection has to be closed.
    pub async fn read_body(
        &self,
        mut body: Incoming,
        limits: BodyLimits,
    ) -> Result<Bytes, Failure> {
        let read = intake::read_body(self.caller, &mut body, limits).await;
        read.map_err(|e| self.refuse("body not read", &e))
    }

    fn refuse_head(&self, e: NoRoom) -> Failure {
        self.refuse("head not held", &BodyError::NoRoom(e))
    }

    fn refuse(&self, what: &str, e: &BodyError) -> Failure {
        increment(&self.metrics.body_refusals, e.kind());
        let memory = self.caller.memory();
        let used = memory.used();
        log::warn!(target: "http", request = self.request, kind = e.kind(), why = e.to_string(),
            held_bytes = used.total(), connections = used.connections,
            large_requests = used.large_requests, large_answers = used.large_answers,
            total_max = memory.shares().total;
            "{what}");
        failure(e)
    }
}

fn failure(e: &BodyError) -> Failure {
    let failure = Failure::new(e.code(), e.to_string());
    match e.retry_after() {
        Some(time) => failure.retry_after(time),
        None => failure,
    }
}

/// Sets the gauges of what is held for callers and of closed connections.
pub(crate) fn update_gauges(metrics: &Metrics, memory: &CallerMemory, closed: &ClosedCounts) {
    let used = memory.used();
    let bytes = [
        ("connections", used.connections),
        ("requests", used.requests),
        ("large_requests", used.large_requests),
        ("answers", used.answers),
        ("large_answers", used.large_answers),
    ];
    for (kind, bytes) in bytes {
        metrics.caller_bytes.get_or_create(&KindLabel { kind }).set(as_gauge(bytes));
    }
    let closed = [
        ("too_many", closed.too_many.load(Ordering::Relaxed)),
        ("stalled", closed.stalled.load(Ordering::Relaxed)),
        ("unread", closed.unread.load(Ordering::Relaxed)),
        ("slowest", closed.slowest.load(Ordering::Relaxed)),
    ];
    for (kind, count) in closed {
        metrics.closed_connections.get_or_create(&KindLabel { kind }).set(as_gauge(count));
    }
}
