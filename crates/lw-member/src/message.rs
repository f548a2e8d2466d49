//! Messages between members. They are encoded with `rmp-serde`, which writes the names of enum variants as
//! text; one-letter names keep the messages small.

use std::net::SocketAddr;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A request or a reply. Each request is an HTTP POST; its reply has the same type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sender.
    pub from: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Accepted configuration version of the sender; 0 while it has none.
    pub version: ConfigVersion,
    /// Digest of the alive and leaving members in the sender's view.
    pub digest: u32,
    /// Piggybacked membership updates.
    #[serde(rename = "news")]
    pub updates: Vec<MemberUpdate>,
    /// Purpose of the message.
    pub body: Body,
}

/// Purpose of a message and its data.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Shows a ring successor that the sender is alive.
    #[serde(rename = "h")]
    Heartbeat,
    /// Only piggybacked updates, or the plain reply to any request.
    #[serde(rename = "g")]
    Gossip,
    /// Requests the receiver's [`MemberInfo`], because the sender does not have its incarnation.
    #[serde(rename = "i")]
    Introduce,
    /// Requests a reply, which shows that the receiver is alive.
    #[serde(rename = "p")]
    Probe,
    /// Indirect probe: requests the receiver to probe this VM and to send [`Body::Vouch`] when it replies.
    #[serde(rename = "f")]
    ProbeFor(VmId, SocketAddr),
    /// Acknowledges an indirect probe: this VM has just replied to the sender with this incarnation.
    #[serde(rename = "v")]
    Vouch(VmId, Incarnation),
    /// Join or anti-entropy sync: digests of the buckets of the sender's view.
    #[serde(rename = "s")]
    Sync(Vec<u32>),
    /// Reply to `Sync`: the updates hold alive and leaving members of buckets that differ; these are the
    /// indices of the buckets that are complete.
    #[serde(rename = "m")]
    Members(Vec<u8>),
    /// Patches in ascending order of their versions.
    #[serde(rename = "d")]
    Patches(Vec<VersionedPatch>),
    /// Requests the configuration; the sender has this version.
    #[serde(rename = "q")]
    Fetch(ConfigVersion),
    /// The complete accepted document as JSON text.
    #[serde(rename = "w")]
    Whole(String),
}

/// A merge patch that leads to `version` from the version before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedPatch {
    /// Version after the patch.
    pub version: ConfigVersion,
    /// JSON text of the patch.
    pub patch: String,
}

/// A membership update about one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// The member is running and accepts work.
    #[serde(rename = "a")]
    Alive(MemberInfo),
    /// The member is draining and accepts no new work.
    #[serde(rename = "l")]
    Leaving(MemberInfo),
    /// The member is unresponsive; if it is alive, it refutes this with a higher incarnation.
    #[serde(rename = "x")]
    Suspect(VmId, Incarnation),
}

impl MemberUpdate {
    /// Returns the name and incarnation of the member that the update is about.
    #[must_use]
    pub fn subject(&self) -> (&VmId, Incarnation) {
        match self {
            Self::Alive(info) | Self::Leaving(info) => (&info.id, info.incarnation),
            Self::Suspect(id, incarnation) => (id, *incarnation),
        }
    }
}

/// Identity and address of a member, as it announces them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the VM.
    pub id: VmId,
    /// Incarnation; information with a higher one replaces that with a lower one.
    pub incarnation: Incarnation,
    /// Address of the peer interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
}
