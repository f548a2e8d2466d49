//! Reads callers' requests within the memory for callers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::HeaderMap;
use lw_config::settings::Limits;
use lw_forward::intake::{self, BodyError, BodyLimits, Caller, CallerMemory, Hold, Holder, Shares};
use lw_metrics::statsd::Statsd;
use lw_protocol::caller::Failure;
use lw_transport::server;
use volo_http::body::Body;

/// Most memory for large answers, an eighth of the memory of a node. Answers of services are collected only for calls that may
/// not be repeated.
const LARGE_ANSWERS_MAX_BYTES: usize = 8 << 20;

/// Returns the memory for callers.
#[must_use]
pub fn caller_memory(limits: &Limits) -> Arc<CallerMemory> {
    CallerMemory::new(Shares {
        large_answers: (limits.memory / 6).min(LARGE_ANSWERS_MAX_BYTES),
        ..Shares::of_total(limits.memory)
    })
}

/// Holds the memory of the head of a caller's request.
///
/// # Errors
///
/// A failure that says that the request has not run.
pub(crate) fn hold_head(
    connection: &Caller,
    statsd: &Statsd,
    request: &str,
    headers: &HeaderMap,
) -> Result<Hold, Failure> {
    connection.hold_head(headers).map_err(|e| {
        let error = BodyError::NoRoom(e);
        record_refusal(connection, statsd, request, "head not held", &error);
        failure(&error)
    })
}

/// Reads the body of a caller's request within a size limit and a time limit.
///
/// # Errors
///
/// A failure that says that the request has not run.
pub(crate) async fn read_body(
    connection: &Caller,
    statsd: &Statsd,
    request: &str,
    mut body: Body,
    bytes_max: usize,
    time_max: Duration,
) -> Result<Bytes, Failure> {
    let limits = BodyLimits { bytes_max, idle_max: time_max, time_max };
    let error = match intake::read_body(connection, &mut body, limits).await {
        Ok(bytes) => return Ok(bytes),
        Err(e) => e,
    };
    record_refusal(connection, statsd, request, "body not read", &error);
    if matches!(error, BodyError::TooLarge(_) | BodyError::NoRoom(_)) {
        server::discard(body).await;
    }
    Err(failure(&error))
}

/// Accounts for the copies of a prompt: that of the request and that of the attempts to answer it.
///
/// # Errors
///
/// A failure that says that the request has not run, if there is no memory for them.
pub(crate) async fn hold_prompt(
    connection: &Caller,
    statsd: &Statsd,
    request: &str,
    prompt: &str,
) -> Result<Hold, Failure> {
    let bytes = 2 * prompt.len();
    let mut hold = connection.hold(Holder::Request, u64::try_from(prompt.len()).ok());
    match connection.grow(&mut hold, bytes).await {
        Ok(()) => Ok(hold),
        Err(e) => {
            let error = BodyError::NoRoom(e);
            record_refusal(connection, statsd, request, "prompt not held", &error);
            Err(failure(&error))
        }
    }
}

/// Counts and logs a request that is refused because of its bytes.
fn record_refusal(
    connection: &Caller,
    statsd: &Statsd,
    request: &str,
    what: &str,
    error: &BodyError,
) {
    let memory = connection.memory();
    let used = memory.used();
    statsd.count(&format!("body_refusals.{}", error.kind()), 1);
    log::warn!(
        "http: {request} {what} ({}): {error}; {} of {} bytes are held, {} of large requests, {} of large answers",
        error.kind(),
        used.total(),
        memory.shares().total,
        used.large_requests,
        used.large_answers
    );
}

fn failure(e: &BodyError) -> Failure {
    let failure = Failure::new(e.code(), e.to_string());
    match e.retry_after() {
        Some(time) => failure.retry_after(time),
        None => failure,
    }
}
