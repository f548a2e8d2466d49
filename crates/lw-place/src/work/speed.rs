//! The lasting speed of one engine or plain server.

use std::time::Duration;

use lw_types::prelude::*;

use super::LogRatio;
use crate::pool::Learned;

/// Weight of the assumption that an upstream has the usual speed, in samples.
const PRIOR_WEIGHT: f64 = 2.0;
/// Influence of a decoding time on the speed. It is below that of a prefill, since an answer also pauses while the engine
/// prefills the prompts of others.
const DECODE_SHARE: f64 = 0.3;
/// Most samples that count in the speed of one upstream.
const MEMORY: f64 = 40.0;

/// Time for which a request occupies a slot, until there are samples.
const SLOT_TIME_MS: f64 = 100.0;
/// Weight of a sample of the slot time. It is low, since short and long requests alternate and their mean is needed.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// How long work takes at one upstream, as a multiple of the usual time of its service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    ratio: LogRatio,
    /// The ratio, moved towards 1 while there are few samples.
    factor: f64,
    slot_time_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self { ratio: LogRatio::default(), factor: 1.0, slot_time_ms: SLOT_TIME_MS }
    }
}

impl Speed {
    /// Returns the time that work takes as a multiple of the usual; 1 without samples.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Returns the mean milliseconds for which a request occupies a slot.
    pub fn slot_time_ms(&self) -> f64 {
        self.slot_time_ms
    }

    /// Records the time for which a request occupied its slot.
    pub fn observe_slot_time(&mut self, time: Duration) {
        self.slot_time_ms += SLOT_TIME_WEIGHT * (time.as_secs_f64() * 1000.0 - self.slot_time_ms);
    }

    /// Records the time of a prefill against the usual.
    pub fn observe_prefill(&mut self, now: Now, ratio: f64) {
        self.observe(now, ratio, 1.0);
    }

    /// Records the time of an answer against the usual.
    pub fn observe_decode(&mut self, now: Now, ratio: f64) {
        self.observe(now, ratio, DECODE_SHARE);
    }

    fn observe(&mut self, now: Now, ratio: f64, share: f64) {
        self.ratio.observe(now, ratio, share, MEMORY);
        self.update_factor(now);
    }

    /// Moves the factor towards 1 as the samples lose weight. Without it the speed of an idle upstream would stay as it was
    /// at the last sample.
    pub fn update_factor(&mut self, now: Now) {
        let weight = self.ratio.weight(now);
        self.factor = (self.ratio.log() * weight / (weight + PRIOR_WEIGHT)).exp();
    }

    /// Adopts a speed that another VM learned, unless this VM has as many samples. Returns whether it does.
    pub fn adopt(&mut self, now: Now, learned: Learned) -> bool {
        let is_adopted = self.ratio.adopt(now, learned, MEMORY);
        self.update_factor(now);
        is_adopted
    }

    /// Returns the speed for other VMs.
    pub fn learned(&self, now: Now) -> Learned {
        self.ratio.learned(now)
    }
}
