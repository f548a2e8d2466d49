//! What a VM has learned about the speed of upstreams, for other VMs.

use std::time::Duration;

use lw_types::prelude::*;

use super::UpstreamPool;

/// A learned ratio of times with its confidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Learned {
    /// The time that work takes against the usual or the initial one.
    pub ratio: f64,
    /// Number of samples, discounted by their age.
    pub weight: f64,
    /// Time since the last sample.
    pub age: Duration,
}

/// What a VM has learned about one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedCosts {
    /// The cost model of the service.
    pub model: Vec<Learned>,
    /// The speeds of its upstreams.
    pub speeds: Vec<(UpstreamId, Learned)>,
}

impl UpstreamPool {
    /// Returns what this VM has learned, in the order of the upstreams' ids; none without samples.
    #[must_use]
    pub fn learned(&self, now: Now) -> Option<LearnedCosts> {
        let model = self.costs.learned(now);
        let speeds = self
            .upstreams
            .values()
            .map(|state| (state.upstream.id.clone(), state.speed.learned(now)));
        let mut speeds: Vec<_> = speeds.filter(|(_, speed)| speed.weight > 0.0).collect();
        speeds.sort_by(|a, b| a.0.cmp(&b.0));
        (!speeds.is_empty()).then_some(LearnedCosts { model, speeds })
    }

    /// Lets the speeds of upstreams without new samples decay towards the usual one of the service.
    pub fn decay_speeds(&mut self, now: Now) {
        for state in self.upstreams.values_mut() {
            state.speed.update_factor(now);
        }
    }

    /// Adopts what another VM has learned where it has more samples than this one. Returns the number of speeds that
    /// were adopted.
    pub fn adopt(&mut self, now: Now, learned: &LearnedCosts) -> usize {
        self.costs.adopt(now, &learned.model);
        let mut adopted = 0;
        for (id, speed) in &learned.speeds {
            if let Some(state) = self.upstreams.get_mut(id) {
                adopted += usize::from(state.speed.adopt(now, *speed));
            }
        }
        adopted
    }
}
