//! How fast an engine reads prompts, learnt from the times of first events.

use std::time::Duration;

use super::upstream_state::as_f64;

/// Milliseconds per prompt token until timings say otherwise.
const READ_MS_PER_TOKEN: f64 = 1.0 / 75.0;
/// Weight of a new timing that is shorter than those before.
const SHORTER_WEIGHT: f64 = 0.2;
/// Weight of a longer one. It is less, since a request may have waited for something unknown, such as memory.
const LONGER_WEIGHT: f64 = 0.05;
/// Tokens below which a timing says little, since it has a part that does not depend on the tokens.
const TOKENS_MIN: u64 = 2000;
/// Bounds of a timing in parts of the starting value.
const LEAST: f64 = 0.3;
const MOST: f64 = 2.0;

/// Milliseconds per token of an answer until timings say otherwise.
const WRITE_MS_PER_TOKEN: f64 = 8.0;
/// Tokens of an answer below which its time says little.
const WRITTEN_MIN: u64 = 30;
/// Most tokens of an answer that are counted on: estimates of callers are often far off.
const WRITTEN_MAX: u64 = 300;

/// Milliseconds for which a request holds a slot until timings say otherwise.
const HELD_MS: f64 = 100.0;
/// Weight of a new timing of it. Short and long requests alternate, and their mean counts.
const HELD_WEIGHT: f64 = 0.05;

/// Speed of one engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    ms_per_token: f64,
    write_ms_per_token: f64,
    held_ms: f64,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            ms_per_token: READ_MS_PER_TOKEN,
            write_ms_per_token: WRITE_MS_PER_TOKEN,
            held_ms: HELD_MS,
        }
    }
}

impl Rate {
    /// Milliseconds to read `tokens`.
    pub fn read_ms(self, tokens: u64) -> f64 {
        as_f64(tokens) * self.ms_per_token
    }

    /// Milliseconds to write an answer that its caller expects to have `tokens`.
    pub fn write_ms(self, tokens: u64) -> f64 {
        as_f64(tokens.min(WRITTEN_MAX)) * self.write_ms_per_token
    }

    /// Milliseconds for which a request holds a slot.
    pub fn held_ms(self) -> f64 {
        self.held_ms
    }

    /// Takes the time for which a request held its slot.
    pub fn observe_held(&mut self, time: Duration) {
        self.held_ms += HELD_WEIGHT * (time.as_secs_f64() * 1000.0 - self.held_ms);
    }

    /// Takes the time in which an answer was written that its caller expected to have `tokens`.
    pub fn observe_written(&mut self, tokens: u64, time: Duration) {
        if tokens >= WRITTEN_MIN {
            let sample = time.as_secs_f64() * 1000.0 / as_f64(tokens);
            let sample = sample.min(WRITE_MS_PER_TOKEN * MOST);
            self.write_ms_per_token = learn(self.write_ms_per_token, sample);
        }
    }

    /// Takes the time in which `tokens` were read.
    pub fn observe(&mut self, tokens: u64, time: Duration) {
        if tokens < TOKENS_MIN {
            return;
        }
        let sample = time.as_secs_f64() * 1000.0 / as_f64(tokens);
        let sample = sample.clamp(READ_MS_PER_TOKEN * LEAST, READ_MS_PER_TOKEN * MOST);
        self.ms_per_token = learn(self.ms_per_token, sample);
    }
}

fn learn(known: f64, sample: f64) -> f64 {
    let weight = if sample < known { SHORTER_WEIGHT } else { LONGER_WEIGHT };
    known + weight * (sample - known)
}
