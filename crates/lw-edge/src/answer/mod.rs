//! Answers to callers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use lw_platform::headers;
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

/// Why the body of an answer ended early. The caller's connection is closed then.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;
/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Marks an answer that the router itself gives, in the extensions of the response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnFailure(pub ResultCode);

pub(crate) fn empty_body() -> AnswerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body of the bytes that `next` returns with the rest of its source, until it returns none. If it fails, the caller's
/// connection is closed.
pub(crate) fn stream_body<T, F>(source: T, next: impl Fn(T) -> F + Send + 'static) -> AnswerBody
where
    T: Send + 'static,
    F: Future<Output = Result<Option<(Bytes, T)>, BodyError>> + Send + 'static,
{
    let frames = futures::stream::unfold(Some(source), move |source| {
        let next = source.map(&next);
        async move {
            match next?.await {
                Ok(Some((bytes, source))) => Some((Ok(Frame::data(bytes)), Some(source))),
                Ok(None) => None,
                Err(e) => {
                    // The HTTP library writes what it has, the head of the answer too, before it polls the body again. It ends
                    // the connection at once when the body fails.
                    tokio::task::yield_now().await;
                    Some((Err(e), None))
                }
            }
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Returns the answer for a request that the router itself refuses or fails.
pub(crate) fn failure_answer(request: &str, failure: &Failure) -> Answer {
    let status = StatusCode::from_u16(failure.code.http_status());
    let mut response = Response::new(full_body(failure.body().to_string().into()));
    response.extensions_mut().insert(OwnFailure(failure.code));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers::set_request_id(headers, request);
    if let Some(delay) = failure.retry_after.filter(|_| failure.code.may_retry()) {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
