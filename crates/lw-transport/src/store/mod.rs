//! Client of the platform's key-value store, leases, watches and VM list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, Error};
use http::{Method, StatusCode};
use lw_protocol::platform::{KeyValue, LeaseAnswer, LeaseRequest, PutAnswer, PutRequest, VmList};
use lw_types::prelude::*;

use crate::client::{self, Call, Clients};

/// Why a call to the store failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The key's revision is not the expected one; nothing was written.
    #[display("revision conflict, current revision {current}")]
    Conflict {
        /// Revision of the key now.
        current: Revision,
    },
    /// The key or lease does not exist.
    #[display("no such key or lease")]
    Absent,
    /// The key did not change while a watch waited.
    #[display("no change")]
    Unchanged,
    /// The store did not accept the call; nothing was written.
    #[display("store unavailable: {_0}")]
    Unavailable(client::Error),
    /// The outcome is not known; a write may have taken effect.
    #[display("store did not answer: {_0}")]
    Unknown(client::Error),
}

/// Client of the platform's services at one address.
#[derive(Debug, Clone)]
pub struct Store {
    clients: Arc<Clients>,
    addr: SocketAddr,
    timeout: Duration,
}

impl Store {
    /// Returns a client of the platform at `addr` whose calls take at most `timeout`, except watches.
    #[must_use]
    pub fn new(clients: Arc<Clients>, addr: SocketAddr, timeout: Duration) -> Self {
        Self { clients, addr, timeout }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] and failures of the store.
    pub async fn get(&self, key: &str) -> Result<KeyValue, Error> {
        let path = format!("/kv/{key}");
        let call = Call::new(Method::GET, self.addr, &path, self.timeout);
        self.clients.json(call, None::<&()>).await.map_err(from_client_error)
    }

    /// Writes a key if its revision is the request's `prev`; 0 means that the key must be absent.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] and failures of the store. After [`Error::Unknown`] the caller must read the key back.
    pub async fn put(&self, key: &str, req: &PutRequest) -> Result<PutAnswer, Error> {
        let path = format!("/kv/{key}");
        let call = Call::new(Method::PUT, self.addr, &path, self.timeout);
        self.clients.json(call, Some(req)).await.map_err(from_client_error)
    }

    /// Waits until the key's revision is above `after` and reads it; at most `wait`.
    ///
    /// # Errors
    ///
    /// [`Error::Unchanged`] when nothing changed, and failures of the store.
    pub async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<KeyValue, Error> {
        let path = format!("/watch/{key}?after={after}");
        let call = Call::new(Method::GET, self.addr, &path, wait);
        let response = self.clients.send(call).await.map_err(from_client_error)?;
        match response.status() {
            StatusCode::NO_CONTENT => return Err(Error::Unchanged),
            StatusCode::OK => {}
            status => {
                let body = String::new();
                return Err(from_client_error(client::Error::Status { status, body }));
            }
        }
        let bytes = client::read_body(response.into_body(), client::ANSWER_MAX_BYTES);
        let bytes = bytes.await.map_err(from_client_error)?;
        serde_json::from_slice(&bytes)
            .map_err(|e| from_client_error(client::Error::Unreadable(e.to_string())))
    }

    /// Creates a lease.
    ///
    /// # Errors
    ///
    /// Failures of the store.
    pub async fn lease(&self, ttl: Duration) -> Result<LeaseAnswer, Error> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let call = Call::new(Method::POST, self.addr, "/leases", self.timeout);
        self.clients.json(call, Some(&LeaseRequest { ttl_ms })).await.map_err(from_client_error)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::Absent`] when it has expired, and failures of the store.
    pub async fn renew(&self, id: u64) -> Result<LeaseAnswer, Error> {
        let path = format!("/leases/{id}/renew");
        let call = Call::new(Method::POST, self.addr, &path, self.timeout);
        self.clients.json(call, None::<&()>).await.map_err(from_client_error)
    }

    /// Reads the platform's list of VMs, which may be out of date.
    ///
    /// # Errors
    ///
    /// Failures of the store.
    pub async fn vms(&self) -> Result<VmList, Error> {
        let call = Call::new(Method::GET, self.addr, "/vms", self.timeout);
        self.clients.json(call, None::<&()>).await.map_err(from_client_error)
    }
}

fn from_client_error(e: client::Error) -> Error {
    match e {
        client::Error::Status { status: StatusCode::CONFLICT, ref body } => {
            let answer = serde_json::from_str::<PutAnswer>(body);
            Error::Conflict { current: answer.map_or(0, |answer| answer.revision) }
        }
        client::Error::Status { status: StatusCode::NOT_FOUND, .. } => Error::Absent,
        client::Error::NotSent(_)
        | client::Error::Status {
            status: StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS,
            ..
        } => Error::Unavailable(e),
        _ => Error::Unknown(e),
    }
}
