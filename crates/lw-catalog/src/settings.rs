//! Settings of one VM on the platform.

use std::{net::SocketAddr, time::Duration};

use lw_types::prelude::*;

/// Settings of one VM, as read from its settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct VmSettings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: Domain,
    /// Address on which this VM accepts callers.
    pub callers: SocketAddr,
    /// Address on which the load balancer checks whether this VM accepts callers.
    pub readiness: SocketAddr,
    /// Address on which this VM receives messages from the other VMs.
    pub peers: SocketAddr,
    /// Address on which this VM receives requests that other VMs pass on.
    pub forwarded: SocketAddr,
    /// Address for metrics and operators' requests, if there is one.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory above which this process is killed, in bytes.
    pub memory_bytes: u64,
    /// Most sockets that may be open at the same time.
    pub sockets_max: usize,
    /// Bandwidth of the VM's link, in megabits per second.
    pub link_mbps: u32,
    /// Processor time of this process, in percent of a core.
    pub cpu_percent: u32,
    /// Whether requests are admitted by their share of the engines' work while engines cannot serve all in time.
    pub limits_overload: bool,
    /// Bounds that the deployment promises.
    pub bounds: Bounds,
}

impl VmSettings {
    /// Returns the names of the settings that differ from those in `new` and take effect only after a restart.
    ///
    /// ```
    /// # let settings = lw_catalog::VmSettings::example();
    /// let mut new = settings.clone();
    /// new.bounds.grace *= 2;
    /// assert!(settings.changes_needing_restart(&new).is_empty());
    /// new.vm = "another".into();
    /// assert_eq!(settings.changes_needing_restart(&new), ["name"]);
    /// ```
    #[must_use]
    pub fn changes_needing_restart(&self, new: &Self) -> Vec<&'static str> {
        let (old_bounds, bounds) = (&self.bounds, &new.bounds);
        let settings = [
            ("name", self.vm == new.vm),
            ("failure domain", self.failure_domain == new.failure_domain),
            ("address for callers", self.callers == new.callers),
            ("address for readiness", self.readiness == new.readiness),
            ("address for other VMs", self.peers == new.peers),
            ("address for passed-on requests", self.forwarded == new.forwarded),
            ("address for metrics", self.metrics == new.metrics),
            ("address of the store", self.store == new.store),
            ("memory", self.memory_bytes == new.memory_bytes),
            ("sockets", self.sockets_max == new.sockets_max),
            ("link", self.link_mbps == new.link_mbps),
            ("processor time", self.cpu_percent == new.cpu_percent),
            ("admission under overload", self.limits_overload == new.limits_overload),
            ("time between issuers", old_bounds.lease == bounds.lease),
            ("fencing", old_bounds.is_fenced == bounds.is_fenced),
            ("shortest lease", old_bounds.lease_min == bounds.lease_min),
        ];
        settings.into_iter().filter(|(_, is_same)| !is_same).map(|(name, _)| name).collect()
    }

    /// Returns how much this VM can send to others, by its link and its processor time. Only the ratio between VMs has a meaning.
    ///
    /// ```
    /// # let settings = lw_catalog::VmSettings::example();
    /// let wide = lw_catalog::VmSettings { link_mbps: settings.link_mbps * 2, ..settings.clone() };
    /// assert_eq!(wide.capacity(), settings.capacity() * 2);
    /// ```
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.link_mbps.saturating_mul(self.cpu_percent).max(1)
    }

    /// Returns settings for examples and tests.
    #[must_use]
    pub fn example() -> Self {
        let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let seconds = Duration::from_secs;
        Self {
            vm: "vm-1".into(),
            failure_domain: "a".into(),
            callers: addr(7400),
            readiness: addr(7401),
            peers: addr(7402),
            forwarded: addr(7403),
            metrics: None,
            store: addr(7500),
            memory_bytes: 64 << 20,
            sockets_max: 1000,
            link_mbps: 1000,
            cpu_percent: 100,
            limits_overload: true,
            bounds: Bounds {
                drain: seconds(2),
                config: seconds(2),
                grace: seconds(8),
                revoke: seconds(5),
                version: seconds(15),
                lease: seconds(3),
                is_fenced: true,
                retry_ratio: 0.2,
                retry_floor: 50,
                retry_window: seconds(10),
                heartbeat: Duration::from_millis(1_200),
                lease_min: seconds(1),
                quota: QuotaBounds::default(),
            },
        }
    }
}

/// Bounds that the deployment promises to its users.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time within which a leaving upstream must stop receiving new requests.
    pub drain: Duration,
    /// Time within which a configuration must be in force.
    pub config: Duration,
    /// Time between the signal to terminate this process and the kill.
    pub grace: Duration,
    /// Time within which a revoked key must be rejected; also the longest age of the view of the keys.
    pub revoke: Duration,
    /// Time within which all engines must serve a new version of the weights.
    pub version: Duration,
    /// Least time between the end of an issuer's lease and the first order of the next issuer.
    pub lease: Duration,
    /// Whether engines reject orders whose fencing number is lower than one that they have received.
    pub is_fenced: bool,
    /// Attempts beyond the first that may arrive at a service for each request to it, over all VMs.
    pub retry_ratio: f64,
    /// Attempts beyond the first that may arrive at a service in each window in addition, over all VMs.
    pub retry_floor: u64,
    /// Window of `retry_ratio` and `retry_floor`.
    pub retry_window: Duration,
    /// Time between two heartbeats with which an upstream keeps its entry in the store.
    pub heartbeat: Duration,
    /// Shortest lifetime of a lease in the store.
    pub lease_min: Duration,
    /// How far workspaces may exceed their usage caps.
    pub quota: QuotaBounds,
}

impl Bounds {
    /// Returns the time within which every VM must know a change of the store: that an upstream leaves, a configuration, or a
    /// revoked key.
    ///
    /// ```
    /// let bounds = lw_catalog::VmSettings::example().bounds;
    /// assert_eq!(bounds.known_within(), bounds.drain);
    /// ```
    #[must_use]
    pub fn known_within(&self) -> Duration {
        self.drain.min(self.config).min(self.revoke)
    }
}

/// How far workspaces may exceed their usage caps: in any window the usage is at most
/// `(rate * window + burst) * (1 + overshoot) + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Time in which usage is counted.
    pub window: Duration,
    /// Fraction by which usage may exceed the rate and the burst.
    pub overshoot: f64,
    /// Tokens by which usage may exceed them in addition, if the settings state it.
    pub slack: Option<f64>,
}

impl Default for QuotaBounds {
    /// Returns the strictest bounds that may be meant by a deployment that states none.
    fn default() -> Self {
        Self { window: Duration::from_secs(8), overshoot: 0.0, slack: None }
    }
}
