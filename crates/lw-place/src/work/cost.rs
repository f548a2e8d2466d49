//! The cost model of a service: how long work takes at an engine of usual speed.

use lw_types::prelude::*;

use super::{LogRatio, Speed};
use crate::pool::{Learned, as_f64};

/// Prefill time per prompt token, until there are samples.
const PREFILL_MS_PER_TOKEN: f64 = 1.0 / 75.0;
/// Prompts with fewer tokens give no sample of the prefill, since their time has a share that does not depend on the
/// tokens.
const PREFILL_SAMPLE_MIN_TOKENS: u64 = 2000;
/// Logarithm to base 2 of the first prompt length with a ratio of its own, and the steps to the next ones: 2,048, 8,192,
/// 32,768 and 131,072 tokens.
const FIRST_LENGTH_LOG2: f64 = 11.0;
const LENGTH_STEP_LOG2: f64 = 2.0;
const LENGTHS: usize = 4;
/// Decoding time per token of an answer, until there are samples.
const DECODE_MS_PER_TOKEN: f64 = 8.0;
/// Answers with fewer tokens give no sample, since their time says little about the rate.
const DECODE_SAMPLE_MIN_TOKENS: u64 = 30;
/// Most tokens of an answer that an estimate includes: callers often expect far too many.
const DECODE_MAX_TOKENS: u64 = 300;
/// Duration of one request at a plain server, until there are samples.
const PLAIN_REQUEST_MS: f64 = 25.0;
/// Most samples that count in a mean of all engines.
const MEMORY: f64 = 200.0;

/// What work costs at an engine of the service with the usual speed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CostModel {
    /// Prefill time per token against [`PREFILL_MS_PER_TOKEN`] at several prompt lengths. It grows with the length, since
    /// attention does.
    prefill: [LogRatio; LENGTHS],
    /// Decoding time per token against [`DECODE_MS_PER_TOKEN`].
    decode: LogRatio,
    /// Time of a request at a plain server against [`PLAIN_REQUEST_MS`].
    plain: LogRatio,
}

/// What work costs at one engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineCost<'a> {
    model: &'a CostModel,
    /// Time that work takes there, as a multiple of the usual.
    factor: f64,
}

impl EngineCost<'_> {
    /// Returns the milliseconds to prefill a prompt of which `tokens` are not cached.
    pub fn prefill_ms(self, tokens: u64) -> f64 {
        self.model.prefill_ms(tokens) * self.factor
    }

    /// Returns the milliseconds to prefill them at an engine of usual speed.
    pub fn usual_prefill_ms(self, tokens: u64) -> f64 {
        self.model.prefill_ms(tokens)
    }

    /// Returns the milliseconds to decode an answer of `tokens`.
    pub fn decode_ms(self, tokens: u64) -> f64 {
        let tokens = as_f64(tokens.min(DECODE_MAX_TOKENS));
        tokens * DECODE_MS_PER_TOKEN * self.model.decode.ratio() * self.factor
    }

    /// Returns the milliseconds that one request takes at a plain server.
    pub fn plain_ms(self) -> f64 {
        PLAIN_REQUEST_MS * self.model.plain.ratio() * self.factor
    }

    /// Whether the time of a request at a plain server was observed.
    pub fn has_plain_samples(self, now: Now) -> bool {
        self.model.plain.weight(now) > 0.0
    }
}

/// Returns the two prompt lengths next to `tokens`, by index, and the share of the upper one.
fn neighbours(tokens: u64) -> (usize, usize, f64) {
    let log2 = tokens.max(1).ilog2();
    let log2 = f64::from(log2) + as_f64(tokens.max(1)) / as_f64(1 << log2) - 1.0;
    let position = ((log2 - FIRST_LENGTH_LOG2) / LENGTH_STEP_LOG2).max(0.0);
    let lower = (0..LENGTHS - 1).rev().find(|i| as_f64(*i as u64) <= position).unwrap_or(0);
    (lower, lower + 1, (position - as_f64(lower as u64)).min(1.0))
}

impl CostModel {
    /// Returns what work costs at an engine of this speed.
    pub fn at(&self, speed: &Speed) -> EngineCost<'_> {
        EngineCost { model: self, factor: speed.factor() }
    }

    /// Returns the ratios of the model for other VMs.
    pub fn learned(&self, now: Now) -> Vec<Learned> {
        let ratios = self.prefill.iter().chain([&self.decode, &self.plain]);
        ratios.map(|ratio| ratio.learned(now)).collect()
    }

    /// Adopts each ratio of which another VM has more samples.
    pub fn adopt(&mut self, now: Now, learned: &[Learned]) {
        let ratios = self.prefill.iter_mut().chain([&mut self.decode, &mut self.plain]);
        for (ratio, learned) in ratios.zip(learned) {
            ratio.adopt(now, *learned, MEMORY);
        }
    }

    fn prefill_ms(&self, tokens: u64) -> f64 {
        let (lower, upper, share) = neighbours(tokens);
        let ratio =
            self.prefill[lower].ratio() * (1.0 - share) + self.prefill[upper].ratio() * share;
        as_f64(tokens) * PREFILL_MS_PER_TOKEN * ratio
    }

    /// Records that an engine prefilled `tokens` in `ms`, without a slowdown.
    pub fn observe_prefill(&mut self, now: Now, speed: &mut Speed, tokens: u64, ms: f64) {
        if tokens < PREFILL_SAMPLE_MIN_TOKENS {
            return;
        }
        let ratio = ms / (as_f64(tokens) * PREFILL_MS_PER_TOKEN) / speed.factor();
        let (lower, upper, share) = neighbours(tokens);
        self.prefill[lower].observe(now, ratio, 1.0 - share, MEMORY);
        self.prefill[upper].observe(now, ratio, share, MEMORY);
        let nearest = self.prefill[if share < 0.5 { lower } else { upper }].log();
        self.prefill.iter_mut().for_each(|length| length.assume(nearest));
        speed.observe_prefill(now, ms / self.prefill_ms(tokens));
    }

    /// Records that an engine decoded an answer of `tokens` in `ms`, without a slowdown.
    pub fn observe_decode(&mut self, now: Now, speed: &mut Speed, tokens: u64, ms: f64) {
        if tokens < DECODE_SAMPLE_MIN_TOKENS {
            return;
        }
        let ratio = ms / (as_f64(tokens) * DECODE_MS_PER_TOKEN);
        self.decode.observe(now, ratio / speed.factor(), 1.0, MEMORY);
        speed.observe_decode(now, ratio / self.decode.ratio());
    }

    /// Records that a plain server with free slots answered in `ms`.
    pub fn observe_plain(&mut self, now: Now, speed: &mut Speed, ms: f64) {
        let ratio = ms / PLAIN_REQUEST_MS;
        self.plain.observe(now, ratio / speed.factor(), 1.0, MEMORY);
        speed.observe_decode(now, ratio / self.plain.ratio());
    }
}
