//! Parts of the fleet: network faults, VMs and events.

use std::{cmp::Reverse, time::Duration};

use lw_member::{Member, Message, StoreCall, StoreOutcome};
use lw_types::prelude::*;

/// Faults of the network.
#[derive(Debug, Clone)]
pub struct Net {
    /// Share of messages lost, one way.
    pub loss: f64,
    /// Shortest delay one way.
    pub delay_min: Duration,
    /// Longest delay one way.
    pub delay_max: Duration,
    /// Share of requests and replies delivered twice, each copy with its own delay.
    pub duplicates: f64,
}

impl Default for Net {
    /// 5 % loss and up to 200 ms of delay.
    fn default() -> Self {
        let (delay_min, delay_max) = (Duration::from_millis(1), Duration::from_millis(200));
        Self { loss: 0.05, delay_min, delay_max, duplicates: 0.0 }
    }
}

/// One VM.
#[derive(Debug)]
pub struct Node {
    /// The running process, if it runs.
    pub member: Option<Member>,
    /// Name of the VM.
    pub id: VmId,
    /// Failure domain.
    pub domain: Domain,
    /// Network group; only VMs of one group reach each other. The store is in group 0.
    pub group: u32,
    /// Starts so far; also the incarnation.
    pub start: u64,
    /// Bytes sent, requests and replies.
    pub bytes: u64,
    /// Messages sent, requests and replies.
    pub messages: u64,
    pub(super) shown: ConfigVersion,
}

/// An operator's patch that was sent to a VM.
#[derive(Debug, Clone)]
pub struct Request {
    /// Index of the VM.
    pub node: usize,
    /// Start number of its process.
    pub start: u64,
    /// Version that the patch was made against.
    pub base: ConfigVersion,
}

/// Something that happens at a point in time.
#[derive(Debug)]
pub(super) enum Event {
    Tick(usize, u64),
    Request { from: usize, start: u64, to: usize, message: Message },
    Reply { to: usize, start: u64, message: Message },
    StoreRuns { node: usize, start: u64, call: u64, op: StoreCall },
    StoreResult { node: usize, start: u64, call: u64, outcome: StoreOutcome },
    PollEnds { node: usize, start: u64, call: u64 },
}

/// An event with its time and sequence number; the earliest is the greatest.
#[derive(Debug)]
pub(super) struct Timed(pub(super) Reverse<(Now, u64)>, pub(super) Box<Event>);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}
