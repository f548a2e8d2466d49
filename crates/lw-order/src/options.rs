//! Time limits and load limits of the issuer.

use std::time::Duration;

/// Time limits and load limits of the issuer.
#[derive(Debug, Clone)]
pub struct Options {
    /// Lifetime of the lease in the store.
    pub lease_ttl: Duration,
    /// How long before the end of the lease the issuer stops sending orders. It covers the clock drift
    /// during one lease.
    pub lease_margin: Duration,
    /// Time between two renewals, and between two attempts to acquire the lease.
    pub lease_interval: Duration,
    /// Time after which a store call without a result counts as lost.
    pub store_timeout: Duration,
    /// Longest time from the decision for an order to its sending. An order that is sent later, after a
    /// pause, would start a load that the issuer no longer counts.
    pub send_window: Duration,
    /// Longest time between sending an order and its arrival: the timeout of the call.
    pub order_delay: Duration,
    /// Longest age of the state in a load report on arrival.
    pub report_lag: Duration,
    /// Time without a report after which an engine counts as unresponsive.
    pub report_timeout: Duration,
    /// Longest time that a load takes. An unresponsive engine may be loading for this long.
    pub load_time_max: Duration,
    /// Most engines that load at once. More than two slow each other down.
    pub loading_max: usize,
    /// Most loads that the weight store serves in one `store_window`.
    pub store_loads: usize,
    /// Window of the weight store's rate limit.
    pub store_window: Duration,
    /// Shortest time between the last order of one issuer and the first order of another.
    pub handover_wait: Duration,
}

impl Options {
    /// Returns how long a new issuer waits before its first order. By then all orders of the former
    /// issuer have arrived and show in load reports, and its loads are out of the weight store's window.
    ///
    /// ```
    /// let options = lw_order::options::Options::default();
    /// assert!(options.takeover_wait() > options.order_delay);
    /// ```
    #[must_use]
    pub fn takeover_wait(&self) -> Duration {
        (self.order_delay + self.report_lag.max(self.store_window)).max(self.handover_wait)
    }

    /// Returns the longest time from the decision for an order to its arrival at the engine.
    pub(crate) fn arrival_delay_max(&self) -> Duration {
        self.send_window + self.order_delay
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(6),
            lease_margin: Duration::from_secs(1),
            lease_interval: Duration::from_secs(2),
            store_timeout: Duration::from_millis(500),
            send_window: Duration::from_millis(200),
            order_delay: Duration::from_millis(500),
            report_lag: Duration::from_secs(1),
            report_timeout: Duration::from_secs(3),
            load_time_max: Duration::from_secs(30),
            loading_max: 2,
            store_loads: 2,
            store_window: Duration::from_secs(1),
            handover_wait: Duration::ZERO,
        }
    }
}
