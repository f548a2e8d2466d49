//! A robust mean of ratios, with its age and confidence.

use std::time::Duration;

use lw_types::prelude::*;

use crate::pool::Learned;

/// Largest logarithm by which a sample above the mean moves it. A request that waited for others gives such a sample.
const ABOVE_MAX: f64 = 0.4;
/// Largest logarithm by which a sample below the mean moves it.
const BELOW_MAX: f64 = 0.7;
/// Time after which the samples so far count half. Lasting speeds change when an engine moves to another machine.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Least ratio of the samples of another VM to the own ones for which its mean is adopted.
const ADOPTED_MIN_RATIO: f64 = 1.1;
/// Bounds of a learned ratio.
const RATIO_MAX: f64 = 20.0;

/// A mean of the logarithms of positive ratios, in which single samples have a bounded influence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogRatio {
    mean: f64,
    /// `exp(mean)`, since placements read it for each engine.
    ratio: f64,
    /// Number of samples, each discounted by its age.
    weight: f64,
    updated_at: Now,
    /// Age of the last sample at that time, if another VM has learned the mean.
    adopted_age: Duration,
}

impl Default for LogRatio {
    fn default() -> Self {
        Self {
            mean: 0.0,
            ratio: 1.0,
            weight: 0.0,
            updated_at: Now::ZERO,
            adopted_age: Duration::ZERO,
        }
    }
}

impl LogRatio {
    /// Returns the mean for other VMs.
    pub fn learned(&self, now: Now) -> Learned {
        Learned { ratio: self.ratio, weight: self.weight(now), age: self.age(now) }
    }

    /// Adopts a mean that another VM learned if it has more samples. Returns whether it does.
    pub fn adopt(&mut self, now: Now, learned: Learned, memory: f64) -> bool {
        let Learned { ratio, weight, age } = learned;
        let is_valid = ratio.is_finite() && ratio > 0.0 && weight.is_finite();
        if !is_valid || weight.min(memory) <= self.weight(now) * ADOPTED_MIN_RATIO {
            return false;
        }
        self.weight = weight.min(memory);
        self.updated_at = now;
        self.adopted_age = age;
        self.set(ratio.ln());
        true
    }

    /// Returns the mean ratio; 1 without samples.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns the logarithm of the mean ratio.
    pub fn log(&self) -> f64 {
        self.mean
    }

    /// Returns the number of samples, discounted by their age.
    pub fn weight(&self, now: Now) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.weight * 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64())
    }

    /// Returns the time since the last sample.
    pub fn age(&self, now: Now) -> Duration {
        now.saturating_sub(self.updated_at) + self.adopted_age
    }

    /// Records a ratio. `share` is the influence of the sample, and at most `memory` earlier ones count.
    pub fn observe(&mut self, now: Now, ratio: f64, share: f64, memory: f64) {
        if !ratio.is_finite() || ratio <= 0.0 || share <= 0.0 {
            return;
        }
        let weight = self.weight(now).min(memory);
        let deviation = (ratio.ln() - self.mean).clamp(-BELOW_MAX, ABOVE_MAX);
        self.weight = weight + share;
        self.updated_at = now;
        self.adopted_age = Duration::ZERO;
        self.set(self.mean + deviation * share / (weight + share));
    }

    /// Assumes a mean that no own sample supports.
    pub fn assume(&mut self, mean: f64) {
        if self.weight <= 0.0 {
            self.set(mean);
        }
    }

    fn set(&mut self, mean: f64) {
        let max = RATIO_MAX.ln();
        self.mean = mean.clamp(-max, max);
        self.ratio = self.mean.exp();
    }
}
