//! Load that upstreams state in their answers.

/// Load of one upstream as it stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there at this moment, in percent of the usual.
    pub slowness_percent: u32,
}
