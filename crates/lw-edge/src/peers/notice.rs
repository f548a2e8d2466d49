//! Messages between VMs as they are encoded.

use std::net::SocketAddr;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{
    DemandWire, LimitWire, OriginRequestWire, OriginsWire, SentAttempt, SpeedsWire, TurnWire,
    suspicion::{SoundWire, SuspectWire},
};
use crate::quota::QuotaNotice;

/// A message from one VM to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The VM that sends it.
    pub vm: VmId,
    /// Its content.
    #[serde(rename = "news")]
    pub notice: Notice,
    /// Whether the receiver relays it to the other VMs of its failure domain. VMs of an older release omit this field.
    #[serde(default, rename = "passes_on")]
    pub is_for_relay: bool,
}

/// Content of a message to other VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// As [`Notice::Loading`], of one engine, from VMs of an older release.
    #[serde(rename = "Hold")]
    Pause {
        /// The engine.
        upstream: UpstreamId,
        /// Its model.
        model: ModelId,
        /// The version that it loads.
        version: u64,
        /// Duration, in milliseconds.
        ms: u64,
    },
    /// An engine does not answer. The receivers send it no work for a while. A duration of 0 means that it answers
    /// again.
    #[serde(rename = "Silent")]
    Unresponsive {
        /// The engine.
        upstream: UpstreamId,
        /// Duration, in milliseconds.
        ms: u64,
    },
    /// An upstream stated in an answer that it is leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// An attempt of a large request was sent to an engine.
    Sent(SentAttempt),
    /// The answer to such an attempt has begun.
    Started {
        /// The engine.
        upstream: UpstreamId,
        /// Id of the attempt, unique at the VM that sent it.
        #[serde(rename = "ticket")]
        attempt_id: u64,
    },
    /// Such an attempt ended.
    Ended {
        /// The engine.
        upstream: UpstreamId,
        /// Id of the attempt, unique at the VM that sent it.
        #[serde(rename = "ticket")]
        attempt_id: u64,
        /// Whether its answer is complete.
        is_complete: bool,
    },
    /// An engine has a slowdown, or works at its normal speed again.
    #[serde(rename = "Pace")]
    Slowdown {
        /// The engine.
        upstream: UpstreamId,
        /// Time that work takes there now, in percent of the normal time.
        percent: u32,
    },
    /// Requests the ages of the target versions of weights.
    #[serde(rename = "AskNamed")]
    VersionAgesRequest {
        /// Address to which the reply is sent.
        addr: SocketAddr,
        /// Number that the reply repeats.
        nonce: u64,
    },
    /// Answers [`Notice::VersionAgesRequest`].
    #[serde(rename = "Named")]
    VersionAges {
        /// Number of the request.
        nonce: u64,
        /// Model, version, and upper bound on the time from when the version became the target until this was sent,
        /// in milliseconds.
        versions: Vec<(ModelId, u64, u64)>,
    },
    /// Attempts of the sender that broke when an engine went down.
    Crash {
        /// The engine.
        upstream: UpstreamId,
        /// Time since the first of them broke, in milliseconds.
        age_ms: u64,
        /// The attempts.
        suspects: Vec<SuspectWire>,
    },
    /// Answers on segments of prompts were sound.
    Sound(Vec<SoundWire>),
    /// Requests whose prompt has all of these segments crash engines.
    Quarantined {
        /// The segments.
        segments: Vec<SegmentId>,
        /// Time since the first crash, in milliseconds.
        age_ms: u64,
        /// Number of crashes.
        crashes: usize,
    },
    /// Requests whose prompt has these segments are served again.
    Released {
        /// The segments.
        segments: Vec<SegmentId>,
    },
    /// Limits that upstreams name.
    Limits(Vec<LimitWire>),
    /// Requests all limits that the receiver knows.
    LimitsRequest {
        /// Address to which the reply is sent.
        addr: SocketAddr,
    },
    /// Asks for a turn at a limited upstream that the receiver does not need.
    TurnRequest(TurnWire),
    /// Lends a turn on such a request.
    Turn(TurnWire),
    /// Usage of a workspace that has a cap.
    Quota(QuotaNotice),
    /// Requests the speeds of upstreams that the receiver has learned.
    SpeedsRequest {
        /// Address to which the reply is sent.
        addr: SocketAddr,
    },
    /// Answers [`Notice::SpeedsRequest`], in one message or several.
    Speeds(SpeedsWire),
    /// Asks which software version began a stream.
    OriginRequest(OriginRequestWire),
    /// Answers [`Notice::OriginRequest`], if the VM began the stream.
    Origin {
        /// Number of the request.
        nonce: u64,
        /// The version.
        software: SoftwareVersion,
    },
    /// The software versions that began streams whose ids do not tell them.
    Origins(OriginsWire),
    /// Demand for the engines of a service under pressure.
    Demand {
        /// Hash of the service's name.
        service: u32,
        /// Demand that the sender sees, by workspace and level.
        entries: Vec<DemandWire>,
    },
    /// An upstream rejected a request of the sender, and too many rejections in a second make it fail.
    Rejected {
        /// The upstream.
        upstream: UpstreamId,
        /// Rejections in a second that it stands.
        max: u32,
    },
    /// The sender has no path to any upstream of these services, and the receivers pass no requests for them on to it. The list
    /// replaces that of the sender's last notice.
    PathsLost {
        /// Names of the services.
        services: Vec<String>,
    },
    /// Engines are loading weights. The receivers send them no new work for a while, or until they serve the new ones.
    Loading {
        /// The model.
        model: ModelId,
        /// The version that they load.
        version: u64,
        /// Time without new work, in milliseconds.
        ms: u64,
        /// The engines.
        upstreams: Vec<UpstreamId>,
    },
    /// Engines serve a version of a model's weights.
    Loaded {
        /// The model.
        model: ModelId,
        /// The version.
        version: u64,
        /// The engines.
        upstreams: Vec<UpstreamId>,
    },
    /// As [`Notice::Loaded`], of one engine, from VMs of an older release.
    Serves {
        /// The engine.
        upstream: UpstreamId,
        /// Its model.
        model: ModelId,
        /// The version.
        version: u64,
    },
}
