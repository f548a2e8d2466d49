//! What a VM believes about its upstreams, for operators.

use std::net::SocketAddr;

use lw_catalog::Stage;
use lw_types::prelude::*;

use super::{UpstreamPool, UpstreamState};

/// One upstream as a VM sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its id.
    pub id: UpstreamId,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it gets new work.
    pub is_open: bool,
    /// Why it does or does not, and what it serves.
    pub reason: String,
    /// Versions of weights that it serves, by model.
    pub weights: Vec<(ModelId, u64)>,
    /// Attempts there that have not ended.
    pub in_flight: usize,
}

impl UpstreamPool {
    /// All upstreams as this VM sees them.
    #[must_use]
    pub fn candidates(&self, now: Now) -> Vec<Candidate> {
        self.upstreams.values().map(|state| candidate(now, state)).collect()
    }
}

fn candidate(now: Now, state: &UpstreamState) -> Candidate {
    let mut weights: Vec<_> = state.versions.iter().map(|(m, v)| (m.clone(), *v)).collect();
    weights.sort();
    let status = if state.upstream.stage == Stage::Leaving {
        "leaving"
    } else if now < state.paused_until {
        "held for a change of weights"
    } else if now < state.backoff_until {
        "wants nothing for a while"
    } else if now < state.deprioritized_until {
        "avoided after a failure"
    } else {
        "open"
    };
    let versions = weights.iter().map(|(model, version)| format!(", {model} {version}"));
    Candidate {
        id: state.upstream.id.clone(),
        addr: state.upstream.addr,
        is_open: status == "open",
        reason: format!("{status}{}", versions.collect::<String>()),
        weights,
        in_flight: state.in_flight.len(),
    }
}
