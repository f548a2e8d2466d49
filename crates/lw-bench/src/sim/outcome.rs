//! What a run gave, and the figures taken from it.

use lw_types::prelude::*;

use super::{Micros, SECOND, count, seconds};

/// Time to first token counted for a request that got no answer, in seconds.
pub const NO_ANSWER_SECONDS: f64 = 30.0;

/// One request after the run.
#[derive(Debug, Clone, Default)]
pub struct Served {
    /// First arrival.
    pub at: Micros,
    /// Arrival of the last try.
    pub try_at: Micros,
    /// Workspace.
    pub workspace: usize,
    /// Class.
    pub class: Class,
    /// Time to first token allowed.
    pub deadline: Micros,
    /// When the first token reached the caller.
    pub first: Option<Micros>,
    /// When the last token reached the caller.
    pub finished: Option<Micros>,
    /// Times it was refused.
    pub refused: u32,
    /// Attempts at engines.
    pub attempts: u32,
    /// Whether it was hedged.
    pub hedged: bool,
    /// Whether its deadline passed and it was cancelled.
    pub cancelled: bool,
    /// Blocks of the prompt.
    pub blocks: usize,
    /// Blocks found in the cache by the attempt that answered.
    pub hits: usize,
    /// Prompt tokens.
    pub prompt: u64,
}

impl Served {
    /// Seconds from the first arrival to the first token.
    #[must_use]
    pub fn first_token(&self) -> f64 {
        self.first.map_or(NO_ANSWER_SECONDS, |first| seconds(first - self.at))
    }

    /// Whether the first token came within the deadline of the last try.
    #[must_use]
    pub fn is_in_time(&self) -> bool {
        self.first.is_some_and(|first| first - self.try_at <= self.deadline)
    }
}

/// One run.
#[derive(Debug, Clone, Default)]
pub struct Run {
    /// All requests in order of arrival.
    pub served: Vec<Served>,
    /// Gaps between tokens, in milliseconds, counted.
    pub gaps: Vec<usize>,
    /// Seconds of engine time for blocks that another engine held.
    pub wasted: f64,
    /// Seconds of engine time spent on steps.
    pub busy: f64,
    /// Seconds of engine time offered.
    pub engine_seconds: f64,
    /// Payload bytes of digests sent.
    pub digest_bytes: usize,
    /// Blocks moved between engines.
    pub moved_blocks: usize,
    /// Moves that took longer than recomputing.
    pub dear_moves: usize,
    /// Blocks computed.
    pub computed_blocks: usize,
    /// Refusals: time, and the wait that was told.
    pub refusals: Vec<(Micros, Micros)>,
    /// Attempts sent to each engine, with their time.
    pub sent: Vec<(Micros, usize)>,
}

impl Run {
    /// Requests that arrived in `from..until`.
    pub fn between(&self, from: Micros, until: Micros) -> impl Iterator<Item = &Served> {
        self.served.iter().filter(move |s| (from..until).contains(&s.at))
    }

    /// Hit blocks among the blocks of answered requests that arrived in the window.
    #[must_use]
    pub fn hit_rate(&self, from: Micros, until: Micros) -> f64 {
        let answered = || self.between(from, until).filter(|s| s.first.is_some());
        let hits: usize = answered().map(|s| s.hits).sum();
        let blocks: usize = answered().map(|s| s.blocks).sum();
        count(hits) / count(blocks.max(1))
    }

    /// Quantile of the time to first token in seconds, from the first arrival.
    #[must_use]
    pub fn first_token(&self, q: f64, from: Micros, until: Micros) -> f64 {
        quantile(self.between(from, until).map(Served::first_token).collect(), q)
    }

    /// Quantiles of the time to first token up to 0.99, for plots.
    #[must_use]
    pub fn first_token_curve(&self, from: Micros, until: Micros) -> Vec<(f64, f64)> {
        let mut values: Vec<f64> = self.between(from, until).map(Served::first_token).collect();
        values.sort_by(f64::total_cmp);
        let at = |percent: usize| values.get(values.len() * percent / 100).copied();
        (1..100).filter_map(|percent| Some((count(percent) / 100.0, at(percent)?))).collect()
    }

    /// As [`Run::first_token`] for one class.
    #[must_use]
    pub fn first_token_of(&self, class: Class, q: f64, from: Micros, until: Micros) -> f64 {
        let of_class = self.between(from, until).filter(|s| s.class == class);
        quantile(of_class.map(Served::first_token).collect(), q)
    }

    /// Part of the requests answered in time of their first arrival.
    #[must_use]
    pub fn part_in_time(&self, from: Micros, until: Micros) -> f64 {
        let all = self.between(from, until).count();
        let good = self.between(from, until).filter(|s| s.refused == 0 && s.is_in_time()).count();
        count(good) / count(all.max(1))
    }

    /// Answers a second whose first token came in the window and in time of its try.
    #[must_use]
    pub fn goodput(&self, from: Micros, until: Micros) -> f64 {
        let good = self.served.iter().filter(|s| {
            s.is_in_time() && s.first.is_some_and(|first| (from..until).contains(&first))
        });
        count(good.count()) / seconds(until - from)
    }

    /// Gap between tokens at quantile `q`, in milliseconds.
    #[must_use]
    pub fn gap(&self, q: f64) -> f64 {
        let total: usize = self.gaps.iter().sum();
        let mut seen = 0;
        let at = self.gaps.iter().position(|&n| {
            seen += n;
            count(seen) >= q * count(total)
        });
        count(at.unwrap_or(0) + 1)
    }

    /// Seconds after `at` until the hit rate of 1 s windows stays at `level` for a second, if within 30 s.
    #[must_use]
    pub fn recovery(&self, at: Micros, level: f64) -> f64 {
        let step = SECOND / 4;
        let is_back = |i: u64| self.hit_rate(at + i * step, at + i * step + SECOND) >= level;
        let first = (0..120).find(|&i| is_back(i) && is_back(i + 2) && is_back(i + 4));
        first.map_or(30.0, |i| seconds(i * step))
    }
}

/// Quantile by the nearest-rank method; 0 of nothing.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn quantile(mut values: Vec<f64>, q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (count(values.len()) * q).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
