//! Requests and answers of the stand-ins.

use std::{io, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt as _, stream as streams};
use http::{HeaderMap, Method, StatusCode, header};
use http_body_util::BodyExt as _;
use serde::{Serialize, de::DeserializeOwned};
use volo_http::body::Body;

/// The answer of a stand-in.
pub type Response = volo_http::response::Response;

/// Time for the bytes before an abort to be sent; hyper discards what it has not flushed by then.
const ABORT_DELAY: Duration = Duration::from_millis(2);

/// One request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query, empty when there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    pub(super) async fn read(req: volo_http::request::Request) -> Option<Self> {
        let (parts, body) = req.into_parts();
        Some(Self {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().unwrap_or_default().to_owned(),
            headers: parts.headers,
            body: body.collect().await.ok()?.to_bytes(),
        })
    }

    /// Returns a number of the query; `None` if it is missing or not a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// Returns the value of a header, if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<String> {
        self.headers.get(name)?.to_str().ok().map(str::to_owned)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// When the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// Returns an answer with status 200 and a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response {
    status_json(StatusCode::OK, value)
}

/// Returns an answer with a JSON body, or status 500 if the value cannot be serialized.
pub fn status_json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let (status, text) = match serde_json::to_string(value) {
        Ok(text) => (status, text),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    };
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns an answer with status 400 and the parse error of the request body.
#[must_use]
pub fn bad_request(e: &serde_json::Error) -> Response {
    status_json(StatusCode::BAD_REQUEST, &serde_json::json!({ "error": e.to_string() }))
}

/// Returns an answer without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Returns an answer that aborts the connection before any byte of it is sent.
#[must_use]
pub fn abort() -> Response {
    let failing =
        streams::once(async { Err(io::Error::other("connection aborted by a fault").into()) });
    Response::new(Body::from_stream(failing))
}

/// Returns an answer with server-sent events; an item `Err` aborts the connection.
pub fn stream(events: impl Stream<Item = io::Result<String>> + Send + Sync + 'static) -> Response {
    let frames = events.then(|event| async {
        match event {
            Ok(text) => Ok(http_body::Frame::data(Bytes::from(text))),
            Err(e) => {
                tokio::time::sleep(ABORT_DELAY).await;
                Err(e.into())
            }
        }
    });
    let mut response = Response::new(Body::from_stream(frames));
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
