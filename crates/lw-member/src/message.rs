//! Messages between members, encoded with `rmp-serde`, which writes the names of variants as text; so they
//! are shortened to one letter.

use std::net::SocketAddr;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A request or a reply. Each request is a POST; its reply has the same type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sender.
    pub from: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Accepted configuration version of the sender; 0 while it has none.
    pub version: ConfigVersion,
    /// Digest of the sender's live view.
    pub digest: u32,
    /// Changes of members.
    #[serde(rename = "news")]
    pub updates: Vec<MemberUpdate>,
    /// The purpose of the message.
    pub body: Body,
}

/// The purpose of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A sign of life to a ring successor.
    #[serde(rename = "h")]
    Heartbeat,
    /// News only, or the plain reply to any request.
    #[serde(rename = "g")]
    Gossip,
    /// The receiver's incarnation is not known to the sender, which asks for its card.
    #[serde(rename = "i")]
    Introduce,
    /// Asks for a reply as a sign of life.
    #[serde(rename = "p")]
    Probe,
    /// Asks the receiver to probe another VM and to vouch for it.
    #[serde(rename = "f")]
    ProbeFor(VmId, SocketAddr),
    /// The sender has just had a reply of this incarnation of another VM.
    #[serde(rename = "v")]
    Vouch(VmId, Incarnation),
    /// First contact or comparison of views: digests of the buckets of the sender's view.
    #[serde(rename = "s")]
    Sync(Vec<u32>),
    /// Reply to `Sync`: some of the live members in buckets that differ, and the buckets given in full.
    #[serde(rename = "m")]
    Members(Vec<u8>),
    /// Patches in ascending order, each to the version it names.
    #[serde(rename = "d")]
    Patches(Vec<VersionedPatch>),
    /// Asks for the configuration; the sender has this version.
    #[serde(rename = "q")]
    Fetch(ConfigVersion),
    /// The whole accepted document as JSON text.
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

/// News about one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// The member takes part.
    #[serde(rename = "a")]
    Alive(MemberInfo),
    /// The member is draining and must get no new work.
    #[serde(rename = "l")]
    Leaving(MemberInfo),
    /// The member is silent; it refutes this with a higher incarnation.
    #[serde(rename = "x")]
    Suspect(VmId, Incarnation),
}

impl MemberUpdate {
    /// The member that the news is about, with its incarnation.
    #[must_use]
    pub fn subject(&self) -> (&VmId, Incarnation) {
        match self {
            Self::Alive(card) | Self::Leaving(card) => (&card.id, card.incarnation),
            Self::Suspect(id, incarnation) => (id, *incarnation),
        }
    }
}

/// What a member says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the VM.
    pub id: VmId,
    /// Incarnation; the higher one is right.
    pub incarnation: Incarnation,
    /// Address of the peer interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
}
