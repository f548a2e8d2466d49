//! Lengths of answers by kind of request.
//!
//! The length that a caller expects is right at the median, but often off by a factor. The estimate is the mean of that
//! length and the usual one of the kind, both in logarithms and each weighted by how far off it was lately.

use std::collections::HashMap;

use crate::pool::as_f64;

/// Kinds of requests that are tracked. Further ones are estimated by what their callers expect.
const KINDS_MAX: usize = 512;
/// Weight of a sample, once there are as many as its inverse.
const SAMPLE_WEIGHT_MIN: f64 = 0.02;
/// Samples from which on the usual length counts.
const SAMPLES_MIN: u32 = 8;
/// Least variance of a logarithm, so that no estimate counts alone.
const VARIANCE_MIN: f64 = 0.01;

/// Distribution of the answers to one kind of request, as means of logarithms.
#[derive(Debug, Clone, Copy, Default)]
struct Lengths {
    samples: u32,
    mean: f64,
    variance: f64,
    /// Mean and variance of the length against the expected one.
    hint_mean: f64,
    hint_variance: f64,
}

/// Lengths of answers by kind of request.
#[derive(Debug, Default)]
pub(crate) struct OutputLengths {
    kinds: HashMap<u64, Lengths>,
}

impl OutputLengths {
    /// Records that the answer to a request of `kind` had `actual` tokens, while its caller expected `hint`.
    pub fn observe(&mut self, kind: u64, hint: u64, actual: u64) {
        if actual == 0 || (!self.kinds.contains_key(&kind) && self.kinds.len() >= KINDS_MAX) {
            return;
        }
        let lengths = self.kinds.entry(kind).or_default();
        lengths.samples = lengths.samples.saturating_add(1);
        let weight = (1.0 / f64::from(lengths.samples)).max(SAMPLE_WEIGHT_MIN);
        let length = as_f64(actual).ln();
        update(&mut lengths.mean, &mut lengths.variance, length, weight);
        if hint > 0 {
            let ratio = length - as_f64(hint).ln();
            update(&mut lengths.hint_mean, &mut lengths.hint_variance, ratio, weight);
        }
    }

    /// Returns the expected length of the answer to a request of `kind` whose caller expects `hint` tokens, or 0 if it
    /// does not tell.
    pub fn expected(&self, kind: u64, hint: u64) -> u64 {
        let Some(lengths) = self.kinds.get(&kind).filter(|l| l.samples >= SAMPLES_MIN) else {
            return hint;
        };
        if hint == 0 {
            return tokens(lengths.mean);
        }
        let corrected = as_f64(hint).ln() + lengths.hint_mean;
        let usual_weight = 1.0 / lengths.variance.max(VARIANCE_MIN);
        let hint_weight = 1.0 / lengths.hint_variance.max(VARIANCE_MIN);
        let sum = usual_weight + hint_weight;
        tokens((lengths.mean * usual_weight + corrected * hint_weight) / sum)
    }
}

fn update(mean: &mut f64, variance: &mut f64, sample: f64, weight: f64) {
    let deviation = sample - *mean;
    *mean += weight * deviation;
    *variance = (1.0 - weight) * (*variance + weight * deviation * deviation);
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
fn tokens(log: f64) -> u64 {
    log.exp().clamp(1.0, 1e6) as u64
}
