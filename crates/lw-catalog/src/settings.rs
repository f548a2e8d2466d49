//! Settings of one VM on the platform.

use std::{net::SocketAddr, time::Duration};

use lw_types::prelude::*;

/// Settings of one VM.
#[derive(Debug, Clone, PartialEq)]
pub struct VmSettings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: Domain,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address on which the balancer asks whether this VM takes callers.
    pub readiness: SocketAddr,
    /// Address on which this VM talks to the other VMs.
    pub peers: SocketAddr,
    /// Address on which metrics are read and operators ask, if there is one.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory above which this process is killed, in bytes.
    pub memory_bytes: u64,
    /// Most open sockets.
    pub sockets_max: usize,
    /// Bounds that the deployment promises.
    pub bounds: Bounds,
}

/// Bounds that the deployment promises to its users.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time in which a leaving upstream must get no new work.
    pub drain: Duration,
    /// Time from the signal to terminate to the kill.
    pub grace: Duration,
    /// Time in which a revoked key must be refused; also the longest age of the knowledge about keys.
    pub revoke: Duration,
    /// Time in which all engines must serve a new version of the weights.
    pub version: Duration,
    /// Time between the end of a lease and the first order of another issuer.
    pub lease: Duration,
    /// Whether engines refuse orders with a lower fencing number than they have seen.
    pub is_fenced: bool,
    /// Extra arrivals at a service allowed for each request to it, over all VMs.
    pub retry_ratio: f64,
    /// Extra arrivals at a service allowed in each window besides, over all VMs.
    pub retry_floor: u64,
    /// Window of the two bounds before.
    pub retry_window: Duration,
    /// Shortest lifetime of a lease in the store.
    pub lease_min: Duration,
}
