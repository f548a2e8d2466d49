//! Calls to a VM.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use lw_protocol::operator::PatchRefusal;
use lw_transport::client::{Call, Clients, Options, Reuse, read_body};
use lw_types::prelude::*;
use serde_json::Value;
use volo_http::response::Response;

/// Largest answer in bytes; a configuration has at most 1 MB and grows by escapes.
const ANSWER_MAX_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const POOL_IDLE: Duration = Duration::from_secs(1);

/// Why a call has no good answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The VM refused the call or failed.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// The patch was made against another version.
    #[display("stale version: the current version is {_0}; nothing changed")]
    Stale(#[error(not(source))] ConfigVersion),
    /// The VM cannot be reached, or its answer did not come.
    #[display("{address}: {message}")]
    NoAnswer {
        /// The VM's address.
        address: SocketAddr,
        /// What happened.
        message: String,
    },
}

/// One VM's interface.
#[derive(Debug)]
pub struct Remote {
    clients: Clients,
    address: SocketAddr,
    headers: HeaderMap,
}

impl Remote {
    /// The interface at an address, with the token or key that is sent as bearer.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the secret cannot be part of a header.
    pub fn new(address: SocketAddr, secret: &str) -> Result<Self, Error> {
        let mut bearer = HeaderValue::try_from(format!("Bearer {secret}"))
            .map_err(|_| Error::Refused("the token or key has forbidden characters".to_owned()))?;
        bearer.set_sensitive(true);
        let json = HeaderValue::from_static("application/json");
        let headers =
            HeaderMap::from_iter([(header::AUTHORIZATION, bearer), (header::CONTENT_TYPE, json)]);
        let clients = Clients::new(Options {
            connect_timeout: CONNECT_TIMEOUT,
            pool_idle_timeout: POOL_IDLE,
        });
        Ok(Self { clients, address, headers })
    }

    /// Adds a header to all calls.
    pub fn header(&mut self, name: &'static str, value: &'static str) {
        self.headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
    }

    /// The answer to a call as soon as its headers are there.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`].
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let headers = self.headers.clone();
        let call = Call {
            headers,
            body,
            reuse: Reuse::Fresh,
            ..Call::new(method, self.address, path, timeout)
        };
        self.clients.send(call).await.map_err(|e| self.no_answer(&e))
    }

    /// The JSON of a good answer.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`].
    pub async fn json(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Value, Error> {
        let whole = async {
            let response = self.open(method, path, body, timeout).await?;
            let status = response.status();
            Ok((status, self.body(response).await?))
        };
        let (status, bytes) = tokio::time::timeout(timeout, whole)
            .await
            .map_err(|_| self.no_answer(&format!("no whole answer within {timeout:?}")))??;
        if status != StatusCode::OK {
            return Err(refusal(status, &bytes));
        }
        serde_json::from_slice(&bytes).map_err(|e| self.no_answer(&e))
    }

    /// The rest of an answer.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] when the connection breaks.
    pub async fn body(&self, response: Response) -> Result<Bytes, Error> {
        read_body(response.into_body(), ANSWER_MAX_BYTES).await.map_err(|e| self.no_answer(&e))
    }

    fn no_answer(&self, what: &dyn std::fmt::Display) -> Error {
        Error::NoAnswer { address: self.address, message: what.to_string() }
    }
}

/// What an answer with an error status says.
#[must_use]
pub fn refusal(status: StatusCode, body: &[u8]) -> Error {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    if let Ok(refusal) = serde_json::from_value::<PatchRefusal>(body.clone()) {
        if refusal.number == ResultCode::StaleVersion.number() {
            return Error::Stale(refusal.version);
        }
        let head = format!("{} ({})", refusal.code, refusal.number);
        let lines: Vec<_> = std::iter::once(head).chain(refusal.faults).collect();
        return Error::Refused(lines.join("\n  "));
    }
    Error::Refused(match body.get("error") {
        Some(error) => error_text(error),
        None => format!("status {status}"),
    })
}

/// One line of an error object.
#[must_use]
pub fn error_text(error: &Value) -> String {
    let text = |key| error.get(key).and_then(Value::as_str).unwrap_or("?");
    let number = error.get("number").and_then(Value::as_u64).unwrap_or(0);
    format!("{} ({number}): {} [ran: {}]", text("code"), text("message"), text("ran"))
}
