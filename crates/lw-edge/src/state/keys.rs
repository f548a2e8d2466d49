//! Keys of the router's own in the platform's store.

use std::net::SocketAddr;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Beginning of all keys of the router's own.
pub const PREFIX: &str = "lavenderwood/";
/// Beginning of the keys under which VMs register.
pub const VM_PREFIX: &str = "lavenderwood/vm/";
/// Key that authenticates messages between VMs.
pub const PEER_KEY: &str = "lavenderwood/peer-key";
/// Key that the issuer of orders holds by a lease; its revision is the fencing number.
pub const ISSUER: &str = "lavenderwood/issuer";
/// Names the last issuer, without a lease.
pub const LAST_ISSUER: &str = "lavenderwood/last-issuer";

/// How a VM registers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Where it receives messages of other VMs.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Domain,
}

/// The last issuer of orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastIssuer {
    /// The VM.
    pub vm: VmId,
}
