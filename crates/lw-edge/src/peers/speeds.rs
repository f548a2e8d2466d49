//! Learned speeds of upstreams. A VM that starts requests them from others, and later from one VM at a time, since each VM
//! sees few requests of each upstream.

use std::{net::SocketAddr, time::Duration};

use lw_place::{Learned, LearnedCosts};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Notice, random_others, send_to};
use crate::state::Edge;

/// Requests after a start. One may not be enough, since messages may be lost and the other VMs may start at the same time.
const FIRST_REQUESTS: usize = 3;
/// Time between these.
const FIRST_REQUEST_PERIOD: Duration = Duration::from_secs(1);
/// VMs to which each of these is sent.
const FIRST_RECIPIENTS: usize = 2;
/// Time between two later requests, each to one VM.
const REQUEST_PERIOD: Duration = Duration::from_secs(30);
/// Most upstreams in one message, so that it fits into one datagram of 1,200 bytes.
const UPSTREAMS_MAX: usize = 24;
/// Most messages of one reply.
const MESSAGES_MAX: usize = 32;

/// A ratio with its confidence: the ratio in thousandths, the number of samples in tenths, and their age in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedWire(u32, u32, u32);

/// What a VM has learned about some upstreams of one service, as it is encoded in [`Notice::Speeds`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedsWire {
    service: String,
    model: Vec<LearnedWire>,
    speeds: Vec<(UpstreamId, LearnedWire)>,
}

impl From<&Learned> for LearnedWire {
    fn from(learned: &Learned) -> Self {
        let age = u32::try_from(learned.age.as_secs()).unwrap_or(u32::MAX);
        Self(rounded(learned.ratio * 1000.0), rounded(learned.weight * 10.0), age)
    }
}

impl From<&LearnedWire> for Learned {
    fn from(LearnedWire(ratio, weight, age): &LearnedWire) -> Self {
        Self {
            ratio: f64::from(*ratio) / 1000.0,
            weight: f64::from(*weight) / 10.0,
            age: Duration::from_secs(u64::from(*age)),
        }
    }
}

impl From<&SpeedsWire> for LearnedCosts {
    fn from(wire: &SpeedsWire) -> Self {
        Self {
            model: wire.model.iter().map(Learned::from).collect(),
            speeds: wire.speeds.iter().map(|(id, speed)| (id.clone(), speed.into())).collect(),
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "casts saturate")]
fn rounded(value: f64) -> u32 {
    value.round() as u32
}

impl SpeedsWire {
    /// Returns the messages that carry what was learned about a service.
    #[must_use]
    pub fn split(service: &str, learned: &LearnedCosts) -> Vec<Self> {
        let speeds = learned.speeds.chunks(UPSTREAMS_MAX).map(|speeds| Self {
            service: service.to_owned(),
            model: learned.model.iter().map(LearnedWire::from).collect(),
            speeds: speeds.iter().map(|(id, speed)| (id.clone(), speed.into())).collect(),
        });
        speeds.collect()
    }
}

/// Requests learned speeds from other VMs, often after the start and rarely later.
pub(super) async fn request(edge: &Edge) {
    for _ in 0..FIRST_REQUESTS {
        request_from(edge, FIRST_RECIPIENTS);
        tokio::time::sleep(FIRST_REQUEST_PERIOD).await;
    }
    loop {
        // Requests of VMs that started together are spread.
        tokio::time::sleep(REQUEST_PERIOD.mul_f64(0.5 + fastrand::f64())).await;
        request_from(edge, 1);
    }
}

fn request_from(edge: &Edge, recipients: usize) {
    for addr in random_others(edge, recipients) {
        send_to(edge, addr, Notice::SpeedsRequest { addr: edge.settings.peers });
    }
}

/// Replies to a VM that requests learned speeds.
pub(super) fn reply(edge: &Edge, addr: SocketAddr) {
    let now = edge.timer.now();
    let learned: Vec<_> = {
        let pools = edge.upstream_pools();
        let learned =
            pools.iter().filter_map(|(service, pool)| Some((service, pool.learned(now)?)));
        learned.flat_map(|(service, learned)| SpeedsWire::split(service, &learned)).collect()
    };
    for speeds in learned.into_iter().take(MESSAGES_MAX) {
        send_to(edge, addr, Notice::Speeds(speeds));
    }
}

/// Adopts the speeds of which another VM has more samples.
pub(super) fn apply(edge: &Edge, vm: &str, wire: &SpeedsWire) {
    let now = edge.timer.now();
    let adopt = |pool: &mut lw_place::UpstreamPool| pool.adopt(now, &wire.into());
    let adopted = edge.with_upstream_pool(&wire.service, adopt).unwrap_or_default();
    if adopted > 0 {
        log::info!(target: "member", service = wire.service.as_str(), vm = vm,
            upstreams = adopted; "speeds adopted from another VM");
    }
}
