//! Load that upstreams report in their answers.

/// Load of one upstream as it reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// How long work takes there now, in percent of the normal time.
    pub slowness_percent: u32,
}
