//! The software versions that began streams: what VMs tell each other, and requests for what one remembers.

use std::net::SocketAddr;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Notice, Path, random_others, send, send_to};
use crate::{
    software::{Relayer, StreamId, position_of},
    state::Edge,
};

/// Number of VMs up to which a request is sent to each of them directly.
const DIRECT_VMS_MAX: usize = 32;

/// VMs that are told of a stream. Several may be killed together with the one that relays it.
const TOLD_VMS: usize = 4;
/// Streams in one message, so that it fits into a datagram that is not fragmented.
const STREAMS_MAX: usize = 40;

/// The software versions that began streams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginsWire {
    versions: Vec<SoftwareVersion>,
    /// Hashes of the service and of the id of the first request, and position of the version.
    streams: Vec<(u64, u64, usize)>,
}

impl From<&[(StreamId, SoftwareVersion)]> for OriginsWire {
    fn from(origins: &[(StreamId, SoftwareVersion)]) -> Self {
        let mut wire = Self::default();
        for (StreamId { service, id }, software) in origins {
            let position = position_of(&mut wire.versions, software);
            wire.streams.push((*service, *id, position));
        }
        wire
    }
}

/// Tells some other VMs which software versions began streams.
pub(crate) fn tell(edge: &Edge, origins: &[(StreamId, SoftwareVersion)]) {
    for origins in origins.chunks(STREAMS_MAX) {
        let wire = OriginsWire::from(origins);
        for addr in random_others(edge, TOLD_VMS) {
            send_to(edge, addr, Notice::Origins(wire.clone()));
        }
    }
}

/// Remembers what another VM tells.
pub(super) fn apply(edge: &Edge, origins: &OriginsWire) {
    let now = edge.timer.now_including_suspend();
    for (service, id, position) in &origins.streams {
        let stream = StreamId { service: *service, id: *id };
        if let Some(software) = origins.versions.get(*position) {
            edge.software.remember(now, stream, software, Relayer::Other);
        }
    }
}

/// A request for the software version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRequestWire {
    /// Address to which the reply is sent.
    pub addr: SocketAddr,
    /// Number that the reply repeats.
    pub nonce: u64,
    /// Hash of the service.
    pub service: u64,
    /// Hash of the id of the request that brought the first event of the stream.
    pub id: u64,
}

/// Asks all other VMs which software version began a stream.
pub(crate) fn ask(edge: &Edge, stream: StreamId, nonce: u64) {
    let StreamId { service, id } = stream;
    let request = OriginRequestWire { addr: edge.settings.peers, nonce, service, id };
    let is_small = edge.store_view().vms().count() <= DIRECT_VMS_MAX;
    let path = if is_small { Path::Direct } else { Path::RelayedEverywhere(nonce) };
    send(edge, Notice::OriginRequest(request), path);
}

/// Replies to another VM if this one relayed the first event of the stream.
pub(super) fn reply(edge: &Edge, request: &OriginRequestWire) {
    let OriginRequestWire { addr, nonce, service, id } = *request;
    let software = edge.software.remembered(StreamId { service, id });
    if let Some(software) = software {
        send_to(edge, addr, Notice::Origin { nonce, software });
    }
}
