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

/// Longest event that a stream may have, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call has no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The connection could not be made or ended too early.
    #[display("connection: {_0}")]
    Connection(#[error(not(source))] String),
    /// Nothing came in time.
    #[display("nothing received for {} ms", _0.as_millis())]
    Silence(#[error(not(source))] Duration),
    /// The answer has another form than expected.
    #[display("answer: {_0}")]
    Answer(#[error(not(source))] String),
}

/// A client; all its calls share one pool of connections.
#[derive(Clone)]
pub struct Http {
    client: Client,
    silence: Duration,
}

/// A whole answer.
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
    /// A client that gives up after this much silence.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be made.
    pub fn new(silence: Duration) -> Result<Self, Error> {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        Ok(Self { client: builder.build().map_err(connection)?, silence })
    }

    /// Sends a request and reads the start of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connection`] or [`Error::Silence`].
    pub async fn open(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Opened, Error> {
        let uri = format!("http://{address}{path}");
        let mut request = self.client.request(method, uri).data(Bytes::from(body));
        for (name, value) in headers {
            let name = HeaderName::try_from(*name).map_err(connection)?;
            let value = HeaderValue::try_from(*value).map_err(connection)?;
            request.headers_mut().insert(name, value);
        }
        let response = tokio::time::timeout(self.silence, request.send())
            .await
            .map_err(|_| Error::Silence(self.silence))?
            .map_err(connection)?;
        let (parts, body) = response.into_parts();
        Ok(Opened {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            silence: self.silence,
            parser: sse::Parser::new(EVENT_MAX_BYTES),
            events: VecDeque::new(),
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`Http::open`], also when the answer ends too early.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Answer, Error> {
        let opened = self.open(method, address, path, headers, body).await?;
        tokio::time::timeout(self.silence, opened.collect())
            .await
            .map_err(|_| Error::Silence(self.silence))?
    }

    /// `GET`.
    ///
    /// # Errors
    ///
    /// As [`Http::call`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Answer, Error> {
        self.call(Method::GET, address, path, &[], Vec::new()).await
    }

    /// `POST` of a JSON body.
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

    /// `PUT` of a JSON body.
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
    /// The body as JSON.
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

/// An answer whose body is still to come; dropping it closes the connection.
pub struct Opened {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    body: Body,
    silence: Duration,
    parser: sse::Parser,
    events: VecDeque<String>,
}

impl Opened {
    /// The data of the next server-sent event; none at the end of the body.
    ///
    /// # Errors
    ///
    /// When the connection breaks, goes silent, or carries something else.
    pub async fn next(&mut self) -> Result<Option<String>, Error> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(Some(event));
            }
            let frame = tokio::time::timeout(self.silence, self.body.frame())
                .await
                .map_err(|_| Error::Silence(self.silence))?;
            let Some(frame) = frame else { return Ok(None) };
            if let Ok(data) = frame.map_err(connection)?.into_data() {
                let events = self.parser.push(&data).map_err(|e| Error::Answer(e.to_string()))?;
                self.events.extend(events);
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// When the connection breaks.
    pub async fn collect(self) -> Result<Answer, Error> {
        let body = self.body.collect().await.map_err(connection)?.to_bytes();
        Ok(Answer { status: self.status, headers: self.headers, body })
    }
}

fn connection(e: impl std::fmt::Display) -> Error {
    Error::Connection(e.to_string())
}
