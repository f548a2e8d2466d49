//! Estimate of the prefill queue of an engine, from its delayed load reports and the requests sent to it since.

use std::{collections::VecDeque, time::Duration};

use lw_types::prelude::*;

use crate::LoadReport;

/// Retention of sent work. Work sent longer ago is included in every load report that arrives.
const SENT_RETENTION: Duration = Duration::from_secs(4);

/// Weight of a load report; the estimate so far has the remaining weight. Reports are 0.5 s to 1.2 s old when they
/// arrive, and their age is not known exactly: with weight 1 they cost 0.5 % of the hit rate and 2 % of the answers at
/// twice the capacity.
const REPORT_WEIGHT: f64 = 0.3;

#[derive(Debug, Clone, Copy)]
struct SentWork {
    at: Now,
    tokens: f64,
    is_bulk: bool,
}

/// Estimate of the prefill queue of one engine, in tokens.
#[derive(Debug, Default)]
pub struct QueueEstimate {
    /// Time that the token counts refer to.
    at: Now,
    /// Queued tokens of all classes but [`Class::Bulk`].
    urgent_tokens: f64,
    bulk_tokens: f64,
    has_report: bool,
    sent: VecDeque<SentWork>,
}

impl QueueEstimate {
    /// Adds a request that this VM or a peer sent at `at`, with `tokens` tokens to prefill. `tokens_per_second`
    /// is the prefill speed of the engine.
    pub fn add_sent(
        &mut self,
        now: Now,
        at: Now,
        tokens: f64,
        class: Class,
        tokens_per_second: f64,
    ) {
        self.subtract_prefilled(now, tokens_per_second);
        let is_bulk = class == Class::Bulk;
        if is_bulk {
            self.bulk_tokens += tokens;
        } else {
            self.urgent_tokens += tokens;
        }
        self.sent.push_back(SentWork { at, tokens, is_bulk });
        while self.sent.front().is_some_and(|sent| sent.at + SENT_RETENTION < now) {
            self.sent.pop_front();
        }
    }

    /// Corrects the estimate by a load report that was measured at `measured`, plus the work sent since then.
    pub fn apply_report(
        &mut self,
        now: Now,
        measured: Now,
        report: &LoadReport,
        tokens_per_second: f64,
    ) {
        self.subtract_prefilled(now, tokens_per_second);
        let previous = (self.urgent_tokens, self.bulk_tokens);
        let bulk = report.queued_bulk_tokens.min(report.queued_prefill_tokens);
        self.at = measured;
        self.bulk_tokens = to_f64(bulk);
        self.urgent_tokens = to_f64(report.queued_prefill_tokens - bulk);
        let since: Vec<_> = self.sent.iter().copied().filter(|sent| sent.at > measured).collect();
        for sent in since {
            self.subtract_prefilled(sent.at, tokens_per_second);
            if sent.is_bulk {
                self.bulk_tokens += sent.tokens;
            } else {
                self.urgent_tokens += sent.tokens;
            }
        }
        self.subtract_prefilled(now, tokens_per_second);
        // A restarted router has no estimate of its own that the first report could be weighed against.
        let weight = if self.has_report { REPORT_WEIGHT } else { 1.0 };
        self.has_report = true;
        self.urgent_tokens = weight * self.urgent_tokens + (1.0 - weight) * previous.0;
        self.bulk_tokens = weight * self.bulk_tokens + (1.0 - weight) * previous.1;
    }

    /// Returns the tokens that the engine prefills before a request of `class` that arrives at `now`. Engines prefill
    /// [`Class::Bulk`] after all other classes.
    #[must_use]
    pub fn tokens_ahead(&self, now: Now, class: Class, tokens_per_second: f64) -> f64 {
        let done = now.saturating_sub(self.at).as_secs_f64() * tokens_per_second;
        let urgent = (self.urgent_tokens - done).max(0.0);
        if class == Class::Bulk {
            return urgent + (self.bulk_tokens - (done - self.urgent_tokens).max(0.0)).max(0.0);
        }
        urgent
    }

    /// Removes all work, because the engine restarted with an empty queue.
    pub fn clear(&mut self, now: Now) {
        *self = Self { at: now, ..Self::default() };
    }

    /// Subtracts the tokens that the engine prefilled from the time of the estimate until `now`.
    fn subtract_prefilled(&mut self, now: Now, tokens_per_second: f64) {
        let done = now.saturating_sub(self.at).as_secs_f64() * tokens_per_second;
        let bulk_done = (done - self.urgent_tokens).max(0.0);
        self.urgent_tokens = (self.urgent_tokens - done).max(0.0);
        self.bulk_tokens = (self.bulk_tokens - bulk_done).max(0.0);
        self.at = self.at.max(now);
    }
}

/// Converts a token count. Counts stay far below 2^52, up to which the conversion is exact.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
