//! Options of one member.

use std::{net::SocketAddr, time::Duration};

use lw_config::document::Document;
use lw_types::prelude::*;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this VM, unique in the fleet.
    pub id: VmId,
    /// Address of the peer interface of this VM.
    pub address: SocketAddr,
    /// Failure domain of this VM.
    pub domain: Domain,
    /// Number that must grow at each start, for instance the start time in seconds since 1970.
    pub incarnation: Incarnation,
    /// Peer addresses for the first contact.
    pub seeds: Vec<SocketAddr>,
    /// Document to serve from while neither store nor peers have answered.
    pub bootstrap: Option<Document>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time bounds.
    pub timings: Timings,
}

impl Options {
    /// Options with no seeds, no bootstrap document and the default timings.
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

/// Time bounds of a member. The defaults keep the target of 3 s with 5 % loss and 200 ms of delay one way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timings {
    /// Between two heartbeats to the same ring successor.
    pub heartbeat_interval: Duration,
    /// Between two gossip rounds while there is news.
    pub gossip_interval: Duration,
    /// Silence after which a peer is probed directly and through others.
    pub probe_after: Duration,
    /// Silence after which a probed peer is suspect.
    pub suspect_after: Duration,
    /// Time a peer stays suspect before it is removed.
    pub remove_after: Duration,
    /// Time a removed peer is remembered, so that old news cannot bring it back.
    pub forget_after: Duration,
    /// Time after which the answer to a store call counts as lost.
    pub call_timeout: Duration,
    /// Time after which a configuration fetch without an answer is repeated; doubles with each repeat.
    pub fetch_retry: Duration,
    /// Time after which a watch without a result counts as lost. Longer than the platform's long poll.
    pub watch_timeout: Duration,
    /// Time without any accepted document after which the bootstrap document is in force.
    pub bootstrap_after: Duration,
    /// Time after which an operator's patch gets an answer even if the store has given none.
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

/// One VM in the platform's list, which lags behind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the VM.
    pub id: VmId,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}
