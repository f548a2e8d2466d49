//! Results of a run and the measures computed from them.

use lw_types::prelude::*;

use super::{Micros, SECOND, seconds, to_f64};

/// Time to first token that is assumed for a request without an answer.
pub const UNANSWERED_FIRST_TOKEN_SECONDS: f64 = 30.0;

/// What happened to one request.
#[derive(Debug, Clone, Default)]
pub struct RequestResult {
    /// Time of the first arrival at a VM.
    pub arrived_at: Micros,
    /// Time of the last arrival; later than the first if the caller retried after a refusal.
    pub last_arrived_at: Micros,
    /// Index of the workspace.
    pub workspace: usize,
    /// Class.
    pub class: Class,
    /// Longest time to first token.
    pub deadline: Micros,
    /// Time at which the first token reached the caller.
    pub first_token_at: Option<Micros>,
    /// Time at which the last token reached the caller.
    pub finished_at: Option<Micros>,
    /// Number of refusals.
    pub refusal_count: u32,
    /// Number of attempts sent to engines.
    pub attempt_count: u32,
    /// Whether a hedge was sent.
    pub is_hedged: bool,
    /// Whether the request was cancelled because its deadline passed.
    pub is_cancelled: bool,
    /// Number of blocks of the prompt.
    pub prompt_blocks: usize,
    /// Cached blocks of the attempt that answered.
    pub hit_blocks: usize,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
}

impl RequestResult {
    /// Returns the time from the first arrival to the first token.
    #[must_use]
    pub fn first_token_seconds(&self) -> f64 {
        self.first_token_at
            .map_or(UNANSWERED_FIRST_TOKEN_SECONDS, |first| seconds(first - self.arrived_at))
    }

    /// Whether the first token came within the deadline, counted from the last arrival.
    #[must_use]
    pub fn is_in_time(&self) -> bool {
        self.first_token_at.is_some_and(|first| first - self.last_arrived_at <= self.deadline)
    }
}

/// Results of one run.
#[derive(Debug, Clone, Default)]
pub struct RunResult {
    /// All requests in order of arrival.
    pub requests: Vec<RequestResult>,
    /// Number of gaps between tokens for each length in whole milliseconds; the last entry counts all longer ones.
    pub gaps_by_ms: Vec<usize>,
    /// Engine time spent on computing blocks that another engine had cached.
    pub wasted_seconds: f64,
    /// Engine time spent on steps.
    pub busy_seconds: f64,
    /// Engine time available: duration of the run times the number of engines.
    pub engine_seconds: f64,
    /// Bytes of the digests sent, with IP and UDP headers.
    pub digest_bytes: usize,
    /// Number of blocks moved between engines.
    pub moved_blocks: usize,
    /// Number of moves that took longer than recomputing the blocks.
    pub unprofitable_moves: usize,
    /// Number of blocks computed.
    pub computed_blocks: usize,
    /// Time of each refusal and the wait that it asked for.
    pub refusals: Vec<(Micros, Micros)>,
    /// Time and engine of each attempt sent.
    pub sent_attempts: Vec<(Micros, usize)>,
}

impl RunResult {
    /// Returns the requests that first arrived in `from..until`.
    pub fn requests_between(
        &self,
        from: Micros,
        until: Micros,
    ) -> impl Iterator<Item = &RequestResult> {
        self.requests.iter().filter(move |s| (from..until).contains(&s.arrived_at))
    }

    /// Returns the fraction of blocks that were cached, over the answered requests that arrived in the window.
    #[must_use]
    pub fn hit_rate(&self, from: Micros, until: Micros) -> f64 {
        let answered = || self.requests_between(from, until).filter(|s| s.first_token_at.is_some());
        let hit_blocks: usize = answered().map(|s| s.hit_blocks).sum();
        let prompt_blocks: usize = answered().map(|s| s.prompt_blocks).sum();
        to_f64(hit_blocks) / to_f64(prompt_blocks.max(1))
    }

    /// Returns quantile `q` of [`RequestResult::first_token_seconds`] of the requests that arrived in the window.
    #[must_use]
    pub fn first_token_seconds(&self, q: f64, from: Micros, until: Micros) -> f64 {
        quantile(
            self.requests_between(from, until).map(RequestResult::first_token_seconds).collect(),
            q,
        )
    }

    /// Returns the quantiles 0.01 to 0.99 of the time to first token in seconds, for plots.
    #[must_use]
    pub fn first_token_curve(&self, from: Micros, until: Micros) -> Vec<(f64, f64)> {
        let mut values: Vec<f64> =
            self.requests_between(from, until).map(RequestResult::first_token_seconds).collect();
        values.sort_by(f64::total_cmp);
        let at = |percent: usize| values.get(values.len() * percent / 100).copied();
        (1..100).filter_map(|percent| Some((to_f64(percent) / 100.0, at(percent)?))).collect()
    }

    /// Returns [`RunResult::first_token_seconds`] of the requests of one class.
    #[must_use]
    pub fn first_token_seconds_of_class(
        &self,
        class: Class,
        q: f64,
        from: Micros,
        until: Micros,
    ) -> f64 {
        let of_class = self.requests_between(from, until).filter(|s| s.class == class);
        quantile(of_class.map(RequestResult::first_token_seconds).collect(), q)
    }

    /// Returns the fraction of requests that were answered in time without a refusal.
    #[must_use]
    pub fn in_time_fraction(&self, from: Micros, until: Micros) -> f64 {
        let all = self.requests_between(from, until).count();
        let in_time = self
            .requests_between(from, until)
            .filter(|s| s.refusal_count == 0 && s.is_in_time())
            .count();
        to_f64(in_time) / to_f64(all.max(1))
    }

    /// Returns the answers per second whose first token came in the window and in time.
    #[must_use]
    pub fn goodput(&self, from: Micros, until: Micros) -> f64 {
        let in_time = self.requests.iter().filter(|s| {
            s.is_in_time() && s.first_token_at.is_some_and(|first| (from..until).contains(&first))
        });
        to_f64(in_time.count()) / seconds(until - from)
    }

    /// Returns quantile `q` of the gaps between tokens, in milliseconds.
    #[must_use]
    pub fn token_gap_ms(&self, q: f64) -> f64 {
        let total: usize = self.gaps_by_ms.iter().sum();
        let mut counted = 0;
        let index = self.gaps_by_ms.iter().position(|&n| {
            counted += n;
            to_f64(counted) >= q * to_f64(total)
        });
        to_f64(index.unwrap_or(0) + 1)
    }

    /// Returns the seconds after `at` until the hit rate of 1 s windows stays at `level` for a second; at most 30.
    #[must_use]
    pub fn recovery_seconds(&self, at: Micros, level: f64) -> f64 {
        let step = SECOND / 4;
        let is_recovered = |i: u64| self.hit_rate(at + i * step, at + i * step + SECOND) >= level;
        let first =
            (0..120).find(|&i| is_recovered(i) && is_recovered(i + 2) && is_recovered(i + 4));
        first.map_or(30.0, |i| seconds(i * step))
    }
}

/// Returns quantile `q` by the nearest-rank method; 0 without values.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn quantile(mut values: Vec<f64>, q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (to_f64(values.len()) * q).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
