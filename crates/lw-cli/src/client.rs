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

/// Largest accepted answer; a configuration has at most 1 MB, and escapes in JSON make it longer.
const ANSWER_MAX_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The VM refused the call or failed.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// The patch was made against another version than the current one.
    #[display("stale version: the current version is {_0}; nothing changed")]
    StaleVersion(#[error(not(source))] ConfigVersion),
    /// The VM cannot be reached, or gave no complete answer.
    #[display("{address}: {message}")]
    NoAnswer {
        /// The VM's address.
        address: SocketAddr,
        /// What failed.
        message: String,
    },
}

/// A client of one interface of a VM.
#[derive(Debug)]
pub struct VmClient {
    clients: Clients,
    address: SocketAddr,
    headers: HeaderMap,
}

impl VmClient {
    /// Returns a client for the interface at `address` that sends `secret`, a token or key, as the bearer token.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the secret has characters that a header may not have.
    pub fn new(address: SocketAddr, secret: &str) -> Result<Self, Error> {
        let mut bearer = HeaderValue::try_from(format!("Bearer {secret}"))
            .map_err(|_| Error::Refused("the token or key has forbidden characters".to_owned()))?;
        bearer.set_sensitive(true);
        let json = HeaderValue::from_static("application/json");
        let headers =
            HeaderMap::from_iter([(header::AUTHORIZATION, bearer), (header::CONTENT_TYPE, json)]);
        let clients = Clients::new(Options {
            connect_timeout: CONNECT_TIMEOUT,
            pool_idle_timeout: POOL_IDLE_TIMEOUT,
        });
        Ok(Self { clients, address, headers })
    }

    /// Adds a header to all calls.
    pub fn add_header(&mut self, name: &'static str, value: &'static str) {
        self.headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
    }

    /// Sends a request and returns the answer when its headers have been received.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] when the VM cannot be reached or no headers are received within `timeout`.
    pub async fn send(
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
        self.clients.send(call).await.map_err(|e| self.no_answer_error(&e))
    }

    /// Sends a request and returns the JSON of an answer with status 200.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`].
    pub async fn request_json(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Value, Error> {
        let complete_answer = async {
            let response = self.send(method, path, body, timeout).await?;
            let status = response.status();
            Ok((status, self.collect_body(response).await?))
        };
        let (status, bytes) =
            tokio::time::timeout(timeout, complete_answer).await.map_err(|_| {
                self.no_answer_error(&format!("no complete answer within {timeout:?}"))
            })??;
        if status != StatusCode::OK {
            return Err(response_error(status, &bytes));
        }
        serde_json::from_slice(&bytes).map_err(|e| self.no_answer_error(&e))
    }

    /// Returns the body of an answer.
    ///
    /// # Errors
    ///
    /// [`Error::NoAnswer`] when the connection breaks or the body is too large.
    pub async fn collect_body(&self, response: Response) -> Result<Bytes, Error> {
        read_body(response.into_body(), ANSWER_MAX_BYTES)
            .await
            .map_err(|e| self.no_answer_error(&e))
    }

    fn no_answer_error(&self, reason: &dyn std::fmt::Display) -> Error {
        Error::NoAnswer { address: self.address, message: reason.to_string() }
    }
}

/// Returns the error for an answer with an error status.
#[must_use]
pub fn response_error(status: StatusCode, body: &[u8]) -> Error {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    if let Ok(refusal) = serde_json::from_value::<PatchRefusal>(body.clone()) {
        if refusal.number == ResultCode::StaleVersion.number() {
            return Error::StaleVersion(refusal.version);
        }
        let head = format!("{} ({})", refusal.code, refusal.number);
        let lines: Vec<_> = std::iter::once(head).chain(refusal.faults).collect();
        return Error::Refused(lines.join("\n  "));
    }
    Error::Refused(match body.get("error") {
        Some(error) => format_error_object(error),
        None => format!("status {status}"),
    })
}

/// Formats an error object as one line.
#[must_use]
pub fn format_error_object(error: &Value) -> String {
    let text = |key| error.get(key).and_then(Value::as_str).unwrap_or("?");
    let number = error.get("number").and_then(Value::as_u64).unwrap_or(0);
    format!("{} ({number}): {} [ran: {}]", text("code"), text("message"), text("ran"))
}
