//! How fast an engine reads prompts, learnt from the times of first events.

use std::time::Duration;

use super::member::as_f64;

/// Milliseconds per prompt token until timings say otherwise.
const READ_MS_PER_TOKEN: f64 = 1.0 / 75.0;
/// Weight of a new timing.
const NEW_WEIGHT: f64 = 0.15;
/// Tokens below which a timing says little, since it has a part that does not depend on the tokens.
const TOKENS_MIN: u64 = 2000;
/// Bounds of a timing in parts of the starting value: a request may have waited for something unknown.
const LEAST: f64 = 0.4;
const MOST: f64 = 3.0;

/// Reading speed of one engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    ms_per_token: f64,
}

impl Default for Rate {
    fn default() -> Self {
        Self { ms_per_token: READ_MS_PER_TOKEN }
    }
}

impl Rate {
    /// Milliseconds to read `tokens`.
    pub fn read_ms(self, tokens: u64) -> f64 {
        as_f64(tokens) * self.ms_per_token
    }

    /// Takes the time in which `tokens` were read.
    pub fn observe(&mut self, tokens: u64, time: Duration) {
        if tokens < TOKENS_MIN {
            return;
        }
        let sample = time.as_secs_f64() * 1000.0 / as_f64(tokens);
        let sample = sample.clamp(READ_MS_PER_TOKEN * LEAST, READ_MS_PER_TOKEN * MOST);
        self.ms_per_token += NEW_WEIGHT * (sample - self.ms_per_token);
    }
}
