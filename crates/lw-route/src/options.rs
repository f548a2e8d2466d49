//! Settings of the placement policy.

use std::time::Duration;

use lw_types::prelude::*;

/// Cost of moving KV cache between engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvMoveCost {
    /// Bytes of KV cache for one token.
    pub bytes_per_token: f64,
    /// Speed of one move.
    pub bytes_per_second: f64,
    /// Time of a move without any data.
    pub setup: Duration,
}

impl KvMoveCost {
    /// Time to move the cache of `tokens` tokens.
    ///
    /// ```
    /// use std::time::Duration;
    /// let setup = Duration::from_millis(10);
    /// let link = lw_route::KvMoveCost { bytes_per_token: 1e5, bytes_per_second: 1e9, setup };
    /// assert_eq!(link.time(1000), Duration::from_millis(110));
    /// ```
    #[must_use]
    pub fn time(&self, tokens: u64) -> Duration {
        let bytes = crate::load::to_f64(tokens) * self.bytes_per_token;
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
    /// Pieces of the prompt that decide its home engine.
    pub home_prefix_pieces: usize,
    /// Engines in rendezvous order that a request may go to without pressure.
    pub usual_candidates: usize,
    /// Weight of recomputation against waiting, per second of mean wait (F in section 2.1 of the design).
    pub spill_weight: f64,
    /// Prefill speed of an engine at its usual batch, in tokens a second. It is not learnt; trials with 6,000 to 10,000
    /// instead of 8,000 refused too much or too little.
    pub prefill_tokens_per_second: f64,
    /// Time from sending to the first token of a fully cached prompt at an idle engine.
    pub first_token_base: Duration,
    /// Age assumed for load reports that do not tell theirs.
    pub assumed_report_age: Duration,
    /// A stream without a token for this long is reported as [`crate::Event::Stalled`]. More than twice the target
    /// for the gap between tokens, which engines at normal speed never reach.
    pub stall_after: Duration,
    /// Part of requests that may be hedged.
    pub hedge_budget: f64,
    /// Cost of KV moves between engines; `None` if the engines cannot import.
    pub kv_move: Option<KvMoveCost>,
    /// Most prefix entries held for one engine; the oldest go first.
    pub index_entries_max: usize,
    /// Seed of the tie breaks and of the spread of retry times.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            vm: VmId::new(),
            failure_domain: Domain::new(),
            home_prefix_pieces: 4,
            usual_candidates: 2,
            spill_weight: 2.0,
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
