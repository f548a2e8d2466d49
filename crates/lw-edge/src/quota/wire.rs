//! Messages about usage caps between VMs, and the value of the key of a slot.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lw_limit::quota::{
    holder::{Claim, Reply, Return},
    keeper::SlotValue,
};
use lw_observe::logs::millis;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A message to one other VM about the usage of a workspace that has a cap.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QuotaNotice {
    /// Asks the holder of a quota slot for a grant.
    Claim(ClaimWire),
    /// Replies to such a request.
    Reply {
        /// Number of the request.
        number: u64,
        /// The reply.
        reply: ReplyWire,
    },
    /// Returns a grant that was not used.
    Return(ReturnWire),
    /// Charges a further attempt of a request that may have run.
    Charge(ClaimWire),
}

/// A request for a grant, or a charge without a decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimWire {
    slot: u8,
    number: u64,
    workspace: WorkspaceId,
    cost: u64,
    config: ConfigVersion,
    /// Address to which the reply is sent.
    pub addr: SocketAddr,
}

impl ClaimWire {
    /// Returns the encoded form of a request whose reply goes to `addr`.
    #[must_use]
    pub fn new(claim: &Claim, addr: SocketAddr) -> Self {
        let Claim { slot, number, workspace, cost, config } = claim.clone();
        Self { slot, number, workspace, cost, config, addr }
    }
}

impl From<&ClaimWire> for Claim {
    fn from(wire: &ClaimWire) -> Self {
        let ClaimWire { slot, number, workspace, cost, config, .. } = wire.clone();
        Self { slot, number, workspace, cost, config }
    }
}

/// A reply to a request for a grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplyWire {
    /// The cost is granted.
    Granted {
        /// Level of the bucket.
        level: f64,
    },
    /// The cost is above what is left.
    Wait {
        /// Time until the cap allows it, in milliseconds.
        ms: u64,
        /// Level of the bucket.
        level: f64,
    },
    /// The sender does not hold the slot.
    NotHolder,
}

impl From<Reply> for ReplyWire {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Granted { level } => Self::Granted { level },
            Reply::Wait { time, level } => Self::Wait { ms: millis(time).saturating_add(1), level },
            Reply::NotHolder => Self::NotHolder,
        }
    }
}

impl From<&ReplyWire> for Reply {
    fn from(wire: &ReplyWire) -> Self {
        match wire {
            ReplyWire::Granted { level } => Self::Granted { level: *level },
            ReplyWire::Wait { ms, level } => {
                Self::Wait { time: Duration::from_millis(*ms), level: *level }
            }
            ReplyWire::NotHolder => Self::NotHolder,
        }
    }
}

/// A grant, or a part of it, that is returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnWire {
    slot: u8,
    number: u64,
    amount: u64,
}

impl From<&Return> for ReturnWire {
    fn from(returned: &Return) -> Self {
        let Return { slot, number, amount } = *returned;
        Self { slot, number, amount }
    }
}

impl From<&ReturnWire> for Return {
    fn from(wire: &ReturnWire) -> Self {
        let ReturnWire { slot, number, amount } = *wire;
        Self { slot, number, amount }
    }
}

/// Value of the key of a slot.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SlotEntry {
    /// The holder; none if it has released the slot.
    pub holder: Option<VmId>,
    /// Era of the store in which it was written.
    #[serde(default)]
    pub era: Era,
    /// Levels of the buckets at the release.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub levels: BTreeMap<WorkspaceId, f64>,
}

impl From<&SlotValue> for SlotEntry {
    fn from(value: &SlotValue) -> Self {
        let SlotValue { holder, era, levels } = value.clone();
        Self { holder, era, levels }
    }
}

impl From<SlotEntry> for SlotValue {
    fn from(entry: SlotEntry) -> Self {
        let SlotEntry { holder, era, levels } = entry;
        Self { holder, era, levels }
    }
}
