//! Wire types of the platform's interface: key-value store, leases, watches and the VM list.

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Largest size of a value in bytes.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// Answer to `GET /kv/{key}` and `GET /watch/{key}?after=REV`; status 404 when the key is absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The value.
    pub value: String,
    /// Revision of the last write to the key. All keys share one increasing sequence of revisions.
    pub revision: Revision,
}

/// Body of `PUT /kv/{key}`.
///
/// The write is applied only when the key's revision equals `prev`; `Some(0)` means that the key must be absent. The
/// answer to a conflict has status 409 and a [`PutAnswer`] with the current revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The new value.
    pub value: String,
    /// Revision to compare with, if any.
    pub prev: Option<Revision>,
    /// Lease that the key is bound to; the key is deleted when the lease expires.
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

/// Answer to `POST /leases` and `POST /leases/{id}/renew`; status 404 when the lease has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Id of the lease.
    pub id: u64,
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Answer to `GET /vms`; the list may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// VMs on the list.
    pub vms: Vec<VmEntry>,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the router VM or upstream.
    pub id: String,
    /// `router`, `engine` or `service`.
    pub kind: String,
    /// Peer address of a router VM, or HTTP address of an upstream.
    pub address: String,
    /// Failure domain.
    pub failure_domain: Domain,
    /// Whether the VM is leaving.
    pub leaving: bool,
}
