//! HTTP client with one connection pool per address and explicit time-outs.

use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderMap, Method, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{body::Body, error::ClientError, response::Response};

/// Largest body that [`Clients::json`] and [`Clients::msgpack`] read, in bytes.
///
/// Twice the largest value of the store, which is sent as JSON with escapes.
pub const ANSWER_MAX_BYTES: usize = 2 << 20;

/// Limits of connections.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time to establish a connection.
    pub connect_timeout: Duration,
    /// Idle time after which a pooled connection is closed.
    pub pool_idle_timeout: Duration,
}

/// Which connections a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle pooled connection or a new one.
    Pooled,
    /// Only a new connection, since a pooled one may no longer respond.
    Fresh,
}

/// Time limits of the body of an answer that is collected. A large answer over a narrow link takes long without a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTime {
    /// Longest time without any bytes.
    pub pause_max: Duration,
    /// Longest time until the body is complete.
    pub total_max: Duration,
}

/// One HTTP request.
#[derive(Debug)]
pub struct Call<'a> {
    /// Method.
    pub method: Method,
    /// Target address.
    pub addr: SocketAddr,
    /// Path with query.
    pub path: &'a str,
    /// Headers besides the ones that the client sets.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Longest time until the headers of the answer arrive, or its complete body where that is collected without limits of
    /// its own.
    pub timeout: Duration,
    /// Limits of the body, counted from the headers of the answer.
    pub body_time: Option<BodyTime>,
    /// Largest body that is collected, in bytes.
    pub answer_max_bytes: usize,
    /// Which connections may be used.
    pub reuse: Reuse,
}

impl<'a> Call<'a> {
    /// Returns a call without body and headers that may use a pooled connection.
    #[must_use]
    pub fn new(method: Method, addr: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        Self {
            method,
            addr,
            path,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout,
            body_time: None,
            answer_max_bytes: ANSWER_MAX_BYTES,
            reuse: Reuse::Pooled,
        }
    }
}

impl Call<'_> {
    /// Sets a JSON body.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when it cannot be encoded.
    pub fn set_json(&mut self, body: &impl Serialize) -> Result<(), Error> {
        self.body = serde_json::to_vec(body).map_err(encode_error)?.into();
        let json = http::HeaderValue::from_static("application/json");
        self.headers.insert(http::header::CONTENT_TYPE, json);
        Ok(())
    }
}

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection was made, so the target did not receive the call.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// No answer came in time; the target may have received the call.
    #[display("no answer within {_0:?}")]
    Timeout(#[error(not(source))] Duration),
    /// The connection broke; the target may have received the call.
    #[display("connection broke: {_0}")]
    Broken(#[error(not(source))] String),
    /// The answer has an error status.
    #[display("status {status}: {body}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body, if it was read.
        body: String,
    },
    /// The body of the answer is longer than this number of bytes.
    #[display("an answer of more than {_0} bytes")]
    TooLong(#[error(not(source))] usize),
    /// The body of the answer could not be read or decoded.
    #[display("unreadable answer: {_0}")]
    Unreadable(#[error(not(source))] String),
}

impl Error {
    /// Whether the target certainly did not receive the call.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

type HttpClient = volo_http::client::Client;

/// The clients for one address; `fresh` keeps no idle connections.
struct ClientPair {
    pooled: HttpClient,
    fresh: HttpClient,
}

/// The clients of a process, one pool per address.
pub struct Clients {
    options: Options,
    by_addr: RwLock<HashMap<SocketAddr, Arc<ClientPair>>>,
}

impl fmt::Debug for Clients {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clients").field("options", &self.options).finish_non_exhaustive()
    }
}

impl Clients {
    /// Returns a set of clients without connections.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, by_addr: RwLock::default() }
    }

    /// Removes the pools of addresses that are no longer in use.
    pub fn retain(&self, is_in_use: impl Fn(&SocketAddr) -> bool) {
        let mut by_addr = self.by_addr.write().unwrap_or_else(PoisonError::into_inner);
        by_addr.retain(|addr, _| is_in_use(addr));
    }

    fn client_pair(&self, addr: SocketAddr) -> Result<Arc<ClientPair>, Error> {
        if let Some(pair) = self.by_addr.read().unwrap_or_else(PoisonError::into_inner).get(&addr) {
            return Ok(Arc::clone(pair));
        }
        let pair = Arc::new(ClientPair {
            pooled: self.build_client(None)?,
            fresh: self.build_client(Some(0))?,
        });
        let mut by_addr = self.by_addr.write().unwrap_or_else(PoisonError::into_inner);
        Ok(Arc::clone(by_addr.entry(addr).or_insert(pair)))
    }

    fn build_client(&self, max_idle: Option<usize>) -> Result<HttpClient, Error> {
        let mut builder = volo_http::client::ClientBuilder::new();
        builder.set_connect_timeout(self.options.connect_timeout);
        builder.set_pool_idle_timeout(self.options.pool_idle_timeout);
        if let Some(max_idle) = max_idle {
            builder.set_max_idle_per_host(max_idle);
        }
        builder.build().map_err(|e| Error::NotSent(e.to_string()))
    }

    /// Sends a call and returns the answer as soon as its headers have arrived, whatever its status.
    ///
    /// Dropping the body of the answer closes the connection, which cancels the call at the target.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`], [`Error::Timeout`] or [`Error::Broken`].
    pub async fn send(&self, call: Call<'_>) -> Result<Response, Error> {
        let pair = self.client_pair(call.addr)?;
        let client = match call.reuse {
            Reuse::Pooled => &pair.pooled,
            Reuse::Fresh => &pair.fresh,
        };
        let uri = format!("http://{}{}", call.addr, call.path);
        let mut req = client.request(call.method, uri.as_str()).address(call.addr);
        req.headers_mut().extend(call.headers);
        let sent = tokio::time::timeout(call.timeout, req.data(Body::from(call.body)).send());
        match sent.await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) => Err(classify(&e)),
            Err(_) => Err(Error::Timeout(call.timeout)),
        }
    }

    /// Sends a JSON body and decodes a JSON answer with a success status.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`].
    pub async fn json<R: DeserializeOwned>(
        &self,
        mut call: Call<'_>,
        body: Option<&impl Serialize>,
    ) -> Result<R, Error> {
        if let Some(body) = body {
            call.set_json(body)?;
        }
        decode_json(&self.send_and_collect(call).await?)
    }

    /// Sends a `MessagePack` body and decodes a `MessagePack` answer with a success status.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`].
    pub async fn msgpack<R: DeserializeOwned>(
        &self,
        mut call: Call<'_>,
        body: &impl Serialize,
    ) -> Result<R, Error> {
        call.body = rmp_serde::to_vec(body).map_err(encode_error)?.into();
        let bytes = self.send_and_collect(call).await?;
        rmp_serde::from_slice(&bytes).map_err(|e| Error::Unreadable(e.to_string()))
    }

    /// Sends a JSON body and returns the status of the answer, whatever it is.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`], [`Error::Timeout`] or [`Error::Broken`].
    pub async fn status(
        &self,
        mut call: Call<'_>,
        body: &impl Serialize,
    ) -> Result<StatusCode, Error> {
        call.body = serde_json::to_vec(body).map_err(encode_error)?.into();
        let json = http::HeaderValue::from_static("application/json");
        call.headers.insert(http::header::CONTENT_TYPE, json);
        Ok(self.send(call).await?.status())
    }

    /// Sends a call and reads the complete body of an answer with a success status.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`].
    pub async fn send_and_collect(&self, call: Call<'_>) -> Result<Bytes, Error> {
        success_body(self.collect(call).await?)
    }

    /// Sends a call and reads the complete body of the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`] except [`Error::Status`].
    pub async fn collect(&self, call: Call<'_>) -> Result<http::Response<Bytes>, Error> {
        let (timeout, body_time, max_bytes) = (call.timeout, call.body_time, call.answer_max_bytes);
        let collected = async {
            let (head, body) = self.send(call).await?.into_parts();
            let bytes = match body_time {
                Some(time) => read_body_in(body, max_bytes, time).await?,
                None => read_body(body, max_bytes).await?,
            };
            Ok(http::Response::from_parts(head, bytes))
        };
        if body_time.is_some() {
            return collected.await;
        }
        tokio::time::timeout(timeout, collected).await.unwrap_or(Err(Error::Timeout(timeout)))
    }
}

/// Decodes a JSON body.
///
/// # Errors
///
/// [`Error::Unreadable`] when it cannot be decoded.
pub fn decode_json<R: DeserializeOwned>(body: &[u8]) -> Result<R, Error> {
    serde_json::from_slice(body).map_err(|e| Error::Unreadable(e.to_string()))
}

/// Returns the body of an answer with a success status.
///
/// # Errors
///
/// [`Error::Status`] for any other status.
pub fn success_body(answer: http::Response<Bytes>) -> Result<Bytes, Error> {
    let (status, body) = (answer.status(), answer.into_body());
    if status.is_success() {
        return Ok(body);
    }
    Err(Error::Status { status, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Reads a complete body of at most `max_bytes` within time limits.
async fn read_body_in(mut body: Body, max_bytes: usize, time: BodyTime) -> Result<Bytes, Error> {
    if body.size_hint().lower() > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(Error::TooLong(max_bytes));
    }
    let end = tokio::time::Instant::now() + time.total_max;
    let mut bytes = BytesMut::new();
    loop {
        let pause_end = end.min(tokio::time::Instant::now() + time.pause_max);
        let frame = tokio::time::timeout_at(pause_end, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Error::Timeout(time.pause_max))? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|e| Error::Unreadable(e.to_string()))?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > max_bytes {
            return Err(Error::TooLong(max_bytes));
        }
    }
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
///
/// [`Error::TooLong`] when the body is longer, [`Error::Unreadable`] when it breaks.
pub async fn read_body(body: Body, max_bytes: usize) -> Result<Bytes, Error> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::TooLong(max_bytes)),
        Err(e) => Err(Error::Unreadable(e.to_string())),
    }
}

fn encode_error(e: impl fmt::Display) -> Error {
    Error::NotSent(e.to_string())
}

/// Returns [`Error::NotSent`] for a failed connect and [`Error::Broken`] for any later failure.
///
/// Only a failed connect has an I/O error as its direct source; all later errors come from the HTTP library.
fn classify(e: &ClientError) -> Error {
    let source = std::error::Error::source(e);
    if source.is_some_and(<dyn std::error::Error>::is::<io::Error>) {
        Error::NotSent(e.to_string())
    } else {
        Error::Broken(e.to_string())
    }
}
