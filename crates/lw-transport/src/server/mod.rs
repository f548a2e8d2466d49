//! Helpers for HTTP servers: bounded bodies and answers in JSON and `MessagePack`.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;
use serde::Serialize;
use volo_http::{body::Body, response::Response};

/// Reads a caller's body within a size and a time.
///
/// # Errors
///
/// [`ResultCode::BodyTooLarge`], [`ResultCode::BodyTimeout`] or [`ResultCode::MalformedBody`].
pub async fn read_body(body: Body, max: usize, timeout: Duration) -> Result<Bytes, Failure> {
    match tokio::time::timeout(timeout, Limited::new(body, max).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let text = format!("the body is larger than {max} bytes");
            Err(Failure::new(ResultCode::BodyTooLarge, text))
        }
        Ok(Err(e)) => Err(Failure::new(ResultCode::MalformedBody, e.to_string())),
        Err(_) => {
            let text = format!("the body did not arrive within {timeout:?}");
            Err(Failure::new(ResultCode::BodyTimeout, text))
        }
    }
}

/// An answer with a body and a content type.
#[must_use]
pub fn respond(status: StatusCode, content_type: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// An answer in JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => respond(status, "application/json", Body::from(body)),
        Err(e) => failure(&Failure::new(ResultCode::Internal, e.to_string())),
    }
}

/// An answer in `MessagePack`.
#[must_use]
pub fn packed(value: &impl Serialize) -> Response {
    match rmp_serde::to_vec(value) {
        Ok(body) => respond(StatusCode::OK, "application/msgpack", Body::from(body)),
        Err(e) => failure(&Failure::new(ResultCode::Internal, e.to_string())),
    }
}

/// The answer for a refusal or failure, with `Retry-After` where a retry may help.
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
