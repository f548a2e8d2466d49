//! The state of each upstream as this VM sees it, for operators.

use std::net::SocketAddr;

use lw_catalog::Stage;
use lw_types::prelude::*;

use super::{Learned, UpstreamPool, UpstreamState};

/// An upstream that requests may be placed on, as this VM sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Whether it gets new requests.
    pub is_open: bool,
    /// Its status, which is why it does or does not, and the weights that it serves.
    pub reason: String,
    /// Versions of weights that it serves, by model.
    pub weights: Vec<(ModelId, u64)>,
    /// Attempts in flight there.
    pub in_flight: usize,
}

impl UpstreamPool {
    /// Returns the state of all upstreams as this VM sees them.
    #[must_use]
    pub fn candidates(&self, now: Now) -> Vec<Candidate> {
        let limit = |state: &UpstreamState| self.limit(&state.upstream.id);
        self.upstreams.values().map(|state| candidate(now, state, limit(state))).collect()
    }
}

fn candidate(now: Now, state: &UpstreamState, limit: Option<(f64, f64)>) -> Candidate {
    let mut weights: Vec<_> = state.versions.iter().map(|(m, v)| (m.clone(), *v)).collect();
    weights.sort();
    let status = if state.upstream.stage == Stage::Leaving {
        "leaving"
    } else if now < state.paused_until {
        "paused for a change of weights or after a request that it did not run"
    } else if now < state.backoff_until {
        "paused as it requested"
    } else if now < state.deprioritized_until {
        "deprioritized after a failure"
    } else {
        "open"
    };
    let limit = limit.map(|(limit, share)| {
        format!(", limited to {limit} requests a second, {share:.2} from this VM")
    });
    let speed = state.speed.learned(now);
    let speed = (speed.weight > 0.0).then(|| {
        let Learned { ratio, weight, age } = speed;
        format!(
            ", takes {ratio:.2} of the usual time ({weight:.1} samples, {} s old)",
            age.as_secs()
        )
    });
    let versions = weights.iter().map(|(model, version)| format!(", {model} {version}"));
    Candidate {
        id: state.upstream.id.clone(),
        addr: state.upstream.addr,
        is_open: status == "open",
        reason: format!(
            "{status}{}{}{}",
            limit.unwrap_or_default(),
            speed.unwrap_or_default(),
            versions.collect::<String>()
        ),
        weights,
        in_flight: state.in_flight.len(),
    }
}
