//! Reads callers' bodies within the memory for callers' bytes, and derives the limits on it from the size of the VM.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use hyper::body::Incoming;
use lw_forward::{
    intake::{self, BodyError, BodyLimits, CallerMemory, Shares},
    listen::ClosedCounts,
};
use lw_observe::metrics::{KindLabel, Metrics, as_gauge, increment};
use lw_protocol::caller::Failure;

/// The memory of the VM divided by this number is the limit on callers' bytes. The rest is for connections, the views of
/// the store and of caches, and a body that is held twice while it is joined.
const MEMORY_DIVISOR: u64 = 4;
/// Memory of one connection of a caller without its body: 17 KiB were measured for an idle stream.
const CONNECTION_BYTES: u64 = 16 << 10;

/// Returns the memory for callers' bytes of a VM with this memory.
#[must_use]
pub fn caller_memory(memory_bytes: u64) -> Arc<CallerMemory> {
    let total = usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
    CallerMemory::new(Shares::of_total(total))
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
    let by_memory = memory_bytes / MEMORY_DIVISOR / CONNECTION_BYTES;
    (sockets_max / 2).min(usize::try_from(by_memory).unwrap_or(usize::MAX))
}

/// Reads the body of a request.
///
/// # Errors
///
/// A failure that says that the request has not run. The rest of the body is not read, so the connection has to be closed.
pub(crate) async fn read_body(
    memory: &Arc<CallerMemory>,
    metrics: &Metrics,
    request: &str,
    mut body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, Failure> {
    intake::read_body(memory, &mut body, limits).await.map_err(|e| {
        increment(&metrics.body_refusals, e.kind());
        let used = memory.used();
        log::warn!(target: "http", request = request, kind = e.kind(), why = e.to_string(),
            held_bytes = used.total(), large_requests = used.large_requests,
            large_answers = used.large_answers, total_max = memory.shares().total;
            "body not read");
        failure(&e)
    })
}

fn failure(e: &BodyError) -> Failure {
    let failure = Failure::new(e.code(), e.to_string());
    match e.retry_after() {
        Some(time) => failure.retry_after(time),
        None => failure,
    }
}

/// Sets the gauges of callers' bytes and of closed connections.
pub(crate) fn update_gauges(metrics: &Metrics, memory: &CallerMemory, closed: &ClosedCounts) {
    let used = memory.used();
    let bytes = [
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
        ("unread", closed.unread.load(Ordering::Relaxed)),
        ("slowest", closed.slowest.load(Ordering::Relaxed)),
    ];
    for (kind, count) in closed {
        metrics.closed_connections.get_or_create(&KindLabel { kind }).set(as_gauge(count));
    }
}
