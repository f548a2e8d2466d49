//! Helpers for HTTP servers: bounded bodies and answers in JSON and `MessagePack`.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;
use serde::Serialize;
use volo_http::{body::Body, response::Response};

/// Longest time to read the rest of a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read of the rest of a refused body.
const DISCARD_MAX_BYTES: usize = 64 << 20;

/// Reads a caller's body within a size limit and a time limit.
///
/// # Errors
///
/// [`ResultCode::BodyTooLarge`], [`ResultCode::BodyTimeout`] or [`ResultCode::MalformedBody`].
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use lw_transport::server::read_body;
/// use lw_types::prelude::*;
/// let second = std::time::Duration::from_secs(1);
/// assert_eq!(read_body("abc".into(), 3, second).await.unwrap(), "abc");
/// let failure = read_body("abcd".into(), 3, second).await.unwrap_err();
/// assert_eq!(failure.code, ResultCode::BodyTooLarge);
/// # });
/// ```
pub async fn read_body(
    mut body: Body,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Failure> {
    match tokio::time::timeout(timeout, collect(&mut body, max_bytes)).await {
        Ok(Err(failure)) if failure.code == ResultCode::BodyTooLarge => {
            discard(body).await;
            Err(failure)
        }
        Ok(result) => result,
        Err(_) => {
            let text = format!("the body did not arrive within {timeout:?}");
            Err(Failure::new(ResultCode::BodyTimeout, text))
        }
    }
}

async fn collect(body: &mut Body, max_bytes: usize) -> Result<Bytes, Failure> {
    let too_large = || {
        Failure::new(ResultCode::BodyTooLarge, format!("the body is larger than {max_bytes} bytes"))
    };
    if body.size_hint().lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(too_large());
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(too_large()),
        Err(e) => Err(Failure::new(ResultCode::MalformedBody, e.to_string())),
    }
}

/// Reads and drops the rest of a body that is not used, within limits.
///
/// Closing a connection with unread data resets it, and a caller that is still sending would then not receive the
/// refusal.
pub async fn discard(body: Body) {
    let mut body = Limited::new(body, DISCARD_MAX_BYTES);
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Returns an answer with a body and a content type.
#[must_use]
pub fn respond(status: StatusCode, content_type: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns an answer in JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => respond(status, "application/json", Body::from(body)),
        Err(e) => failure(&Failure::new(ResultCode::Internal, e.to_string())),
    }
}

/// Returns an answer in `MessagePack`.
#[must_use]
pub fn msgpack(value: &impl Serialize) -> Response {
    match rmp_serde::to_vec(value) {
        Ok(body) => respond(StatusCode::OK, "application/msgpack", Body::from(body)),
        Err(e) => failure(&Failure::new(ResultCode::Internal, e.to_string())),
    }
}

/// Returns the answer for a refusal or failure, with `Retry-After` where a retry may help.
#[must_use]
pub fn failure(failure: &Failure) -> Response {
    let status = StatusCode::from_u16(failure.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = failure.body().to_string();
    let mut response = respond(status, "application/json", Body::from(body));
    if let Some(secs) = failure.retry_after_secs() {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(secs));
    }
    response
}
