//! How fast an engine prefills and decodes, as moving averages of the times of its answers.

use std::time::Duration;

use super::upstream_state::as_f64;

/// Prefill time per prompt token, until there are samples.
const PREFILL_MS_PER_TOKEN: f64 = 1.0 / 75.0;
/// Weight of a sample below the average.
const SHORTER_WEIGHT: f64 = 0.2;
/// Weight of a sample above the average. It is lower, since the request may also have waited, for example for memory.
const LONGER_WEIGHT: f64 = 0.05;
/// Prompts with fewer tokens give no sample, since their time has a share that does not depend on the tokens.
const PREFILL_SAMPLE_MIN_TOKENS: u64 = 2000;
/// Bounds of a sample as ratios to the initial value.
const SAMPLE_MIN_RATIO: f64 = 0.3;
const SAMPLE_MAX_RATIO: f64 = 2.0;

/// Decoding time per token of an answer, until there are samples.
const DECODE_MS_PER_TOKEN: f64 = 8.0;
/// Answers with fewer tokens give no sample, since their time says little about the rate.
const DECODE_SAMPLE_MIN_TOKENS: u64 = 30;
/// Most tokens of an answer that an estimate includes: callers often expect far too many.
const DECODE_MAX_TOKENS: u64 = 300;

/// Time for which a request occupies a slot, until there are samples.
const SLOT_TIME_MS: f64 = 100.0;
/// Weight of a sample of the slot time. It is low, since short and long requests alternate and their mean is needed.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Speed of one engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    prefill_ms_per_token: f64,
    decode_ms_per_token: f64,
    slot_time_ms: f64,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            prefill_ms_per_token: PREFILL_MS_PER_TOKEN,
            decode_ms_per_token: DECODE_MS_PER_TOKEN,
            slot_time_ms: SLOT_TIME_MS,
        }
    }
}

impl Rate {
    /// Returns the milliseconds to prefill `tokens`.
    pub fn prefill_ms(self, tokens: u64) -> f64 {
        as_f64(tokens) * self.prefill_ms_per_token
    }

    /// Returns the milliseconds to decode an answer that its caller expects to have `tokens`.
    pub fn decode_ms(self, tokens: u64) -> f64 {
        as_f64(tokens.min(DECODE_MAX_TOKENS)) * self.decode_ms_per_token
    }

    /// Returns the mean milliseconds for which a request occupies a slot.
    pub fn slot_time_ms(self) -> f64 {
        self.slot_time_ms
    }

    /// Records the time for which a request occupied its slot.
    pub fn observe_slot_time(&mut self, time: Duration) {
        self.slot_time_ms += SLOT_TIME_WEIGHT * (time.as_secs_f64() * 1000.0 - self.slot_time_ms);
    }

    /// Records the time to decode an answer that its caller expected to have `tokens`.
    pub fn observe_decode(&mut self, tokens: u64, time: Duration) {
        if tokens >= DECODE_SAMPLE_MIN_TOKENS {
            let sample = time.as_secs_f64() * 1000.0 / as_f64(tokens);
            let sample = sample.min(DECODE_MS_PER_TOKEN * SAMPLE_MAX_RATIO);
            self.decode_ms_per_token = moving_average(self.decode_ms_per_token, sample);
        }
    }

    /// Records the time to prefill `tokens`.
    pub fn observe_prefill(&mut self, tokens: u64, time: Duration) {
        if tokens < PREFILL_SAMPLE_MIN_TOKENS {
            return;
        }
        let sample = time.as_secs_f64() * 1000.0 / as_f64(tokens);
        let sample = sample.clamp(
            PREFILL_MS_PER_TOKEN * SAMPLE_MIN_RATIO,
            PREFILL_MS_PER_TOKEN * SAMPLE_MAX_RATIO,
        );
        self.prefill_ms_per_token = moving_average(self.prefill_ms_per_token, sample);
    }
}

fn moving_average(average: f64, sample: f64) -> f64 {
    let weight = if sample < average { SHORTER_WEIGHT } else { LONGER_WEIGHT };
    average + weight * (sample - average)
}
