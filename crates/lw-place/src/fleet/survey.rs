//! What a VM believes about its upstreams, for operators.

use std::net::SocketAddr;

use lw_catalog::Stage;
use lw_types::prelude::*;

use super::{Fleet, Member};

/// One upstream as a VM sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Its id.
    pub id: UpstreamId,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it gets new work.
    pub is_open: bool,
    /// Why it does or does not, and what it serves.
    pub why: String,
    /// Versions of weights that it serves, by model.
    pub weights: Vec<(ModelId, u64)>,
    /// Attempts there that have not ended.
    pub in_flight: usize,
}

impl Fleet {
    /// All upstreams as this VM sees them.
    #[must_use]
    pub fn survey(&self, now: Now) -> Vec<Seen> {
        self.members.values().map(|member| seen(now, member)).collect()
    }
}

fn seen(now: Now, member: &Member) -> Seen {
    let mut weights: Vec<_> = member.versions.iter().map(|(m, v)| (m.clone(), *v)).collect();
    weights.sort();
    let state = if member.upstream.stage == Stage::Leaving {
        "leaving"
    } else if now < member.hold_until {
        "held for a change of weights"
    } else if now < member.closed_until {
        "wants nothing for a while"
    } else if now < member.avoid_until {
        "avoided after a failure"
    } else {
        "open"
    };
    let versions = weights.iter().map(|(model, version)| format!(", {model} {version}"));
    Seen {
        id: member.upstream.id.clone(),
        addr: member.upstream.addr,
        is_open: state == "open",
        why: format!("{state}{}", versions.collect::<String>()),
        weights,
        in_flight: member.flights.len(),
    }
}
