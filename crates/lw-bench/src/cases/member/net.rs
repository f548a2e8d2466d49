//! Network faults, VMs and events of the simulated fleet.

use std::{cmp::Reverse, time::Duration};

use lw_member::{Member, Message, StoreCall, StoreOutcome};
use lw_types::prelude::*;

/// Faults of the network.
#[derive(Debug, Clone)]
pub struct Net {
    /// Fraction of requests and replies that are lost.
    pub loss: f64,
    /// Shortest one-way delay.
    pub delay_min: Duration,
    /// Longest one-way delay.
    pub delay_max: Duration,
    /// Fraction of requests and replies that are delivered twice, each copy with its own delay.
    pub duplicates: f64,
}

impl Default for Net {
    /// Returns a network with 5 % loss and delays up to 200 ms.
    fn default() -> Self {
        let (delay_min, delay_max) = (Duration::from_millis(1), Duration::from_millis(200));
        Self { loss: 0.05, delay_min, delay_max, duplicates: 0.0 }
    }
}

/// One VM.
#[derive(Debug)]
pub struct Node {
    /// Membership of the running process; `None` if the VM does not run.
    pub member: Option<Member>,
    /// Id of the VM.
    pub id: VmId,
    /// Failure domain.
    pub domain: Domain,
    /// Network group; only VMs of one group reach each other. The store is in group 0.
    pub group: u32,
    /// Number of starts; also the incarnation of the process.
    pub start: u64,
    /// Bytes of the requests and replies sent.
    pub bytes: u64,
    /// Number of requests and replies sent.
    pub messages: u64,
    /// Newest configuration version that was in force in this process; 0 if none.
    pub(super) in_force_version: ConfigVersion,
}

/// An operator's patch that was sent to a VM.
#[derive(Debug, Clone)]
pub struct Request {
    /// Index of the VM that received the patch.
    pub node: usize,
    /// Start number of the process.
    pub start: u64,
    /// Version that the patch is based on.
    pub base: ConfigVersion,
}

/// Event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// VM and start number of the process.
    Tick(usize, u64),
    Request {
        from: usize,
        start: u64,
        to: usize,
        message: Message,
    },
    Reply {
        to: usize,
        start: u64,
        message: Message,
    },
    StoreCallArrives {
        node: usize,
        start: u64,
        call: u64,
        op: StoreCall,
    },
    StoreResult {
        node: usize,
        start: u64,
        call: u64,
        outcome: StoreOutcome,
    },
    WatchTimeout {
        node: usize,
        start: u64,
        call: u64,
    },
}

/// Event with its time and sequence number; the earliest is the greatest, as a heap returns the greatest first.
#[derive(Debug)]
pub(super) struct QueuedEvent(pub(super) Reverse<(Now, u64)>, pub(super) Box<Event>);

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}
