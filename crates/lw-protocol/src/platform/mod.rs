//! The interface of the platform: key-value store, leases, watches and the VM list.

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Largest value of a key in bytes.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// Answer to `GET /kv/{key}` and `GET /watch/{key}?after=REV`; status 404 when the key is absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The value.
    pub value: String,
    /// Revision of the last write to the key; revisions grow over all keys.
    pub revision: Revision,
}

/// Body of `PUT /kv/{key}`.
///
/// The write applies only when the key's revision equals `prev`; `Some(0)` means the key must be absent. A conflict
/// is answered with status 409 and [`PutAnswer`] with the current revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The new value.
    pub value: String,
    /// Revision to compare with, if any.
    pub prev: Option<Revision>,
    /// Lease that the key is bound to; the key goes when the lease lapses.
    pub lease: Option<u64>,
}

/// Answer to `PUT` and `DELETE /kv/{key}?prev=REV`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutAnswer {
    /// The key's revision after the call.
    pub revision: Revision,
}

/// Body of `POST /leases`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live in milliseconds, counted from each renewal.
    pub ttl_ms: u64,
}

/// Answer to `POST /leases` and `POST /leases/{id}/renew`; status 404 when the lease has lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Id of the lease.
    pub id: u64,
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Answer to `GET /vms`; the list lags behind reality.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Known VMs.
    pub vms: Vec<VmEntry>,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM or upstream.
    pub id: String,
    /// `router`, `engine` or `service`.
    pub kind: String,
    /// Address: the peer address of a router VM, else the HTTP address.
    pub address: String,
    /// Failure domain.
    pub failure_domain: Domain,
    /// Whether it is leaving.
    pub leaving: bool,
}
