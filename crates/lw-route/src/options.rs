//! Settings of the placement policy.

use std::time::Duration;

use lw_types::prelude::*;

/// Cost of moving KV cache between engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvMoveCost {
    /// Bytes of KV cache for one token.
    pub bytes_per_token: f64,
    /// Transfer speed of one move, in bytes a second.
    pub bytes_per_second: f64,
    /// Fixed time of a move, whatever its size.
    pub setup: Duration,
}

impl KvMoveCost {
    /// Returns the time to move the KV cache of `tokens` tokens.
    ///
    /// ```
    /// use std::time::Duration;
    /// let setup = Duration::from_millis(10);
    /// let cost = lw_route::KvMoveCost { bytes_per_token: 1e5, bytes_per_second: 1e9, setup };
    /// assert_eq!(cost.time(1000), Duration::from_millis(110));
    /// ```
    #[must_use]
    pub fn time(&self, tokens: u64) -> Duration {
        let bytes = crate::queue::to_f64(tokens) * self.bytes_per_token;
        self.setup + Duration::from_secs_f64(bytes / self.bytes_per_second)
    }
}

/// Settings of a [`crate::Router`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this VM, sent in digests.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: Domain,
    /// Number of leading pieces of a prompt whose hash determines its home engine.
    pub home_prefix_pieces: usize,
    /// Number of engines, the first in rendezvous order, that a request is normally sent to. Engines further down are
    /// used only if none of these can answer in time.
    pub usual_candidates: usize,
    /// Additional weight of the prefill time at an engine other than the home engine, for each second of mean wait (F
    /// in section 2.1 of `docs/design.md`).
    pub non_home_prefill_weight: f64,
    /// Prefill speed of an engine with its usual batch, in tokens a second. It is not adapted at run time. Other values
    /// between 6,000 and 10,000 than 8,000 refused too many or too few requests.
    pub prefill_tokens_per_second: f64,
    /// Time from sending to the first token of a fully cached prompt at an idle engine.
    pub first_token_base: Duration,
    /// Age assumed for load reports without one.
    pub assumed_report_age: Duration,
    /// Time without a token after which a stream is reported as [`crate::Event::Stalled`]. It is more than twice the
    /// target for the gap between tokens; engines at normal speed have no such gaps.
    pub stall_after: Duration,
    /// Fraction of requests that may be hedged.
    pub hedge_budget: f64,
    /// Cost of KV moves between engines; `None` if the engines cannot import KV cache.
    pub kv_move: Option<KvMoveCost>,
    /// Largest number of blocks in the prefix index of one engine; the oldest are removed first.
    pub index_entries_max: usize,
    /// Seed of the random addition to retry times.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            vm: VmId::new(),
            failure_domain: Domain::new(),
            home_prefix_pieces: 4,
            usual_candidates: 2,
            non_home_prefill_weight: 2.0,
            prefill_tokens_per_second: 8000.0,
            first_token_base: Duration::from_millis(60),
            assumed_report_age: Duration::from_millis(700),
            stall_after: Duration::from_millis(150),
            hedge_budget: 0.05,
            kv_move: None,
            index_entries_max: 32_768,
            seed: 0,
        }
    }
}
