//! Decides whether KV cache is moved to another engine or recomputed there.

use std::time::Duration;

/// Costs of moving KV cache between two engines and of recomputing it.
#[derive(Debug, Clone, PartialEq)]
pub struct KvCost {
    /// Size of the cache of one token in bytes.
    pub bytes_per_token: f64,
    /// Fixed time of a move: two calls and their connections.
    pub setup: Duration,
    /// Rate at which an engine exports cache, in bytes/s.
    pub export_rate: f64,
    /// Rate of the link between the engines, in bytes/s.
    pub link_rate: f64,
    /// Rate at which an engine imports cache, in bytes/s.
    pub import_rate: f64,
    /// Rate at which the receiving engine computes prompts, in tokens/s.
    pub prefill_rate: f64,
}

impl KvCost {
    /// Returns the time to export, transfer and import the cache of `tokens` tokens, one step after
    /// the other.
    ///
    /// ```
    /// # let cost = lw_order::kv::KvCost { bytes_per_token: 1e5, setup: std::time::Duration::from_millis(20),
    /// #     export_rate: 2e9, link_rate: 1e9, import_rate: 2e9, prefill_rate: 5_000.0 };
    /// assert_eq!(cost.move_time(1_000).as_millis(), 220);
    /// ```
    #[must_use]
    pub fn move_time(&self, tokens: u32) -> Duration {
        let bytes = f64::from(tokens) * self.bytes_per_token;
        let seconds = bytes / self.export_rate + bytes / self.link_rate + bytes / self.import_rate;
        self.setup + seconds_or_max(seconds)
    }

    /// Returns the time to compute `tokens` tokens at the receiving engine.
    #[must_use]
    pub fn recompute_time(&self, tokens: u32) -> Duration {
        seconds_or_max(f64::from(tokens) / self.prefill_rate)
    }

    /// Whether moving takes less time than recomputing. With equal times the cache is
    /// recomputed, which needs no other engine.
    ///
    /// ```
    /// # let cost = lw_order::kv::KvCost { bytes_per_token: 1e5, setup: std::time::Duration::from_millis(20),
    /// #     export_rate: 2e9, link_rate: 1e9, import_rate: 2e9, prefill_rate: 2_500.0 };
    /// assert!(cost.should_move(4_000));
    /// assert!(!cost.should_move(50));
    /// ```
    #[must_use]
    pub fn should_move(&self, tokens: u32) -> bool {
        self.move_time(tokens) < self.recompute_time(tokens)
    }

    /// Returns the number of tokens above which moving takes less time, or `None` if it never does.
    ///
    /// ```
    /// # let mut cost = lw_order::kv::KvCost { bytes_per_token: 1e5, setup: std::time::Duration::from_millis(20),
    /// #     export_rate: 2e9, link_rate: 1e9, import_rate: 2e9, prefill_rate: 2_500.0 };
    /// assert!((cost.break_even_tokens().unwrap() - 100.0).abs() < 1e-6);
    /// cost.link_rate = 1e8;
    /// assert!(cost.break_even_tokens().is_none());
    /// ```
    #[must_use]
    pub fn break_even_tokens(&self) -> Option<f64> {
        let rates = 1.0 / self.export_rate + 1.0 / self.link_rate + 1.0 / self.import_rate;
        let saved = 1.0 / self.prefill_rate - self.bytes_per_token * rates;
        (saved > 0.0).then(|| self.setup.as_secs_f64() / saved)
    }
}

/// Converts seconds to a duration of at most [`u32::MAX`] seconds. A rate of 0, of an unavailable engine or
/// link, results in this longest duration, so that the path through it is never the shorter one.
fn seconds_or_max(seconds: f64) -> Duration {
    const LONGEST: Duration = Duration::from_secs(u32::MAX as u64);
    Duration::try_from_secs_f64(seconds).map_or(LONGEST, |time| time.min(LONGEST))
}
