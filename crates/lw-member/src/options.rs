//! Options of one member.

use std::{net::SocketAddr, time::Duration};

use lw_config::document::Document;
use lw_types::prelude::*;

/// Identity and settings of a member, fixed at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this VM, unique in the fleet (all VMs of one installation).
    pub id: VmId,
    /// Address of the peer interface of this VM.
    pub address: SocketAddr,
    /// Failure domain of this VM.
    pub domain: Domain,
    /// Number that must increase with each start, for instance the start time in seconds since 1970.
    pub incarnation: Incarnation,
    /// Peer addresses to contact in order to join.
    pub seeds: Vec<SocketAddr>,
    /// Document to serve from while neither the store nor a peer has answered.
    pub bootstrap: Option<Document>,
    /// Seed of the member's random number generator.
    pub seed: u64,
    /// Intervals and timeouts.
    pub timings: Timings,
}

impl Options {
    /// Returns options with no peer addresses, no bootstrap document and the default timings.
    ///
    /// ```
    /// use lw_member::Options;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// assert_eq!(options.domain, "kochi-1");
    /// ```
    #[must_use]
    pub fn new(id: &str, address: SocketAddr, domain: &str, incarnation: Incarnation) -> Self {
        Self {
            id: id.to_owned(),
            address,
            domain: domain.to_owned(),
            incarnation,
            seeds: Vec::new(),
            bootstrap: None,
            seed: xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), incarnation),
            timings: Timings::default(),
        }
    }
}

/// Intervals and timeouts of a member. With the defaults a dead peer is excluded, and a new configuration is
/// in force, within 3 s at 5 % message loss and a one-way delay of 200 ms.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timings {
    /// Time between two heartbeats to the same ring successor.
    pub heartbeat_interval: Duration,
    /// Time between two gossip rounds while updates are queued.
    pub gossip_interval: Duration,
    /// Time without a message from a peer after which it is probed, first directly, then also through others.
    pub probe_after: Duration,
    /// Time without a message from a peer after which it is suspected.
    pub suspect_after: Duration,
    /// Time for which a peer stays suspect before it is removed.
    pub remove_after: Duration,
    /// Time for which a removed peer is kept in the view, so that delayed updates cannot add it again.
    pub forget_after: Duration,
    /// Time after which a store call without a result has an unknown outcome.
    pub call_timeout: Duration,
    /// Time after which a configuration fetch without a reply is repeated; doubles with each repetition.
    pub fetch_retry: Duration,
    /// Time after which a watch without a result is started again. Longer than the platform's long poll.
    pub watch_timeout: Duration,
    /// Time without an accepted document after which the bootstrap document is in force.
    pub bootstrap_after: Duration,
    /// Time after which an operator's patch is answered even without a result from the store.
    pub patch_deadline: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            gossip_interval: Duration::from_millis(100),
            probe_after: Duration::from_millis(700),
            suspect_after: Duration::from_millis(1500),
            remove_after: Duration::from_secs(60),
            forget_after: Duration::from_secs(2 * 3600),
            call_timeout: Duration::from_secs(1),
            fetch_retry: Duration::from_millis(600),
            watch_timeout: Duration::from_secs(60),
            bootstrap_after: Duration::from_millis(500),
            patch_deadline: Duration::from_secs(5),
        }
    }
}

/// One VM in the platform's list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub id: VmId,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}
