//! A small HTTP client for tests and the load tool.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use http_body_util::BodyExt as _;
use lw_protocol::sse;
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::Body,
    client::{Client, ClientBuilder},
};

/// Maximum size of an event of a stream.
const EVENT_MAX_BYTES: usize = 1 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call has no usable answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The connection failed, or ended before the end of the answer.
    #[display("connection: {_0}")]
    Connection(#[error(not(source))] String),
    /// Nothing was received for this time.
    #[display("nothing received for {} ms", _0.as_millis())]
    IdleTimeout(#[error(not(source))] Duration),
    /// The answer has an unexpected form.
    #[display("answer: {_0}")]
    Answer(#[error(not(source))] String),
}

/// An HTTP client; all its calls share one pool of connections.
#[derive(Clone)]
pub struct Http {
    client: Client,
    idle_timeout: Duration,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Http {
    /// Returns a client that fails a call when nothing is received for `idle_timeout`.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be made.
    pub fn new(idle_timeout: Duration) -> Result<Self, Error> {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        Ok(Self { client: builder.build().map_err(connection_error)?, idle_timeout })
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connection`] or [`Error::IdleTimeout`].
    pub async fn open(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<OpenAnswer, Error> {
        let uri = format!("http://{address}{path}");
        let mut request = self.client.request(method, uri).data(Bytes::from(body));
        for (name, value) in headers {
            let name = HeaderName::try_from(*name).map_err(connection_error)?;
            let value = HeaderValue::try_from(*value).map_err(connection_error)?;
            request.headers_mut().insert(name, value);
        }
        let response = tokio::time::timeout(self.idle_timeout, request.send())
            .await
            .map_err(|_| Error::IdleTimeout(self.idle_timeout))?
            .map_err(connection_error)?;
        let (parts, body) = response.into_parts();
        Ok(OpenAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            idle_timeout: self.idle_timeout,
            parser: sse::Parser::new(EVENT_MAX_BYTES),
            events: VecDeque::new(),
        })
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// As [`Http::open`], also when the answer is cut off or its body takes longer than the idle timeout.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Answer, Error> {
        let answer = self.open(method, address, path, headers, body).await?;
        tokio::time::timeout(self.idle_timeout, answer.collect())
            .await
            .map_err(|_| Error::IdleTimeout(self.idle_timeout))?
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    ///
    /// As [`Http::call`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Answer, Error> {
        self.call(Method::GET, address, path, &[], Vec::new()).await
    }

    /// Sends a `POST` request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`Http::call`].
    pub async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<Answer, Error> {
        let body = serde_json::to_vec(body).map_err(|e| Error::Answer(e.to_string()))?;
        self.call(Method::POST, address, path, &[], body).await
    }

    /// Sends a `PUT` request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`Http::call`].
    pub async fn put<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<Answer, Error> {
        let body = serde_json::to_vec(body).map_err(|e| Error::Answer(e.to_string()))?;
        self.call(Method::PUT, address, path, &[], body).await
    }
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Answer`] when it is not of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let text = String::from_utf8_lossy(&self.body);
            Error::Answer(format!("status {}: {e}: {text}", self.status))
        })
    }
}

/// An answer whose body has not been read yet; dropping it closes the connection.
pub struct OpenAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    body: Body,
    idle_timeout: Duration,
    parser: sse::Parser,
    events: VecDeque<String>,
}

impl OpenAnswer {
    /// Returns the data of the next server-sent event; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// When the connection fails, nothing is received in time, or the body is not an event stream.
    pub async fn next(&mut self) -> Result<Option<String>, Error> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(Some(event));
            }
            let frame = tokio::time::timeout(self.idle_timeout, self.body.frame())
                .await
                .map_err(|_| Error::IdleTimeout(self.idle_timeout))?;
            let Some(frame) = frame else { return Ok(None) };
            if let Ok(data) = frame.map_err(connection_error)?.into_data() {
                let events = self.parser.push(&data).map_err(|e| Error::Answer(e.to_string()))?;
                self.events.extend(events);
            }
        }
    }

    /// Reads the remaining body.
    ///
    /// # Errors
    ///
    /// When the connection fails.
    pub async fn collect(self) -> Result<Answer, Error> {
        let body = self.body.collect().await.map_err(connection_error)?.to_bytes();
        Ok(Answer { status: self.status, headers: self.headers, body })
    }
}

fn connection_error(e: impl std::fmt::Display) -> Error {
    Error::Connection(e.to_string())
}
