//! Work in front of a new request at one engine, from late reports and from what was sent since.

use std::{collections::VecDeque, time::Duration};

use lw_types::prelude::*;

use crate::LoadReport;

/// Sent work older than this is in every report.
const SENT_KEPT: Duration = Duration::from_secs(4);

/// Weight of a load report against the own estimate. Reports are 0.5 s to 1.2 s old when they arrive and their age is
/// not known exactly; with weight 1 they cost 0.5 % of the hit rate and 2 % of the answers at twice the capacity.
const REPORT_WEIGHT: f64 = 0.3;

#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Now,
    tokens: f64,
    bulk: bool,
}

/// Estimate of the queue of one engine, in prefill tokens.
#[derive(Debug, Default)]
pub struct Load {
    at: Now,
    urgent: f64,
    bulk: f64,
    has_report: bool,
    sent: VecDeque<Sent>,
}

impl Load {
    /// Adds work sent at `at` by this VM or a peer.
    pub fn add(&mut self, now: Now, at: Now, tokens: f64, class: Class, rate: f64) {
        self.drain(now, rate);
        let bulk = class == Class::Bulk;
        if bulk {
            self.bulk += tokens;
        } else {
            self.urgent += tokens;
        }
        self.sent.push_back(Sent { at, tokens, bulk });
        while self.sent.front().is_some_and(|sent| sent.at + SENT_KEPT < now) {
            self.sent.pop_front();
        }
    }

    /// Corrects the estimate by a report that was measured at `measured`, plus what was sent since.
    pub fn report(&mut self, now: Now, measured: Now, report: &LoadReport, rate: f64) {
        self.drain(now, rate);
        let believed = (self.urgent, self.bulk);
        let bulk = report.queued_bulk_tokens.min(report.queued_prefill_tokens);
        self.at = measured;
        self.bulk = to_f64(bulk);
        self.urgent = to_f64(report.queued_prefill_tokens - bulk);
        let since: Vec<_> = self.sent.iter().copied().filter(|sent| sent.at > measured).collect();
        for sent in since {
            self.drain(sent.at, rate);
            if sent.bulk {
                self.bulk += sent.tokens;
            } else {
                self.urgent += sent.tokens;
            }
        }
        self.drain(now, rate);
        // The first report is all that a restarted router knows.
        let weight = if self.has_report { REPORT_WEIGHT } else { 1.0 };
        self.has_report = true;
        self.urgent = weight * self.urgent + (1.0 - weight) * believed.0;
        self.bulk = weight * self.bulk + (1.0 - weight) * believed.1;
    }

    /// Tokens in front of a request of `class` at `now`. Engines prefill urgent classes first.
    #[must_use]
    pub fn ahead(&self, now: Now, class: Class, rate: f64) -> f64 {
        let done = now.saturating_sub(self.at).as_secs_f64() * rate;
        let urgent = (self.urgent - done).max(0.0);
        if class == Class::Bulk {
            return urgent + (self.bulk - (done - self.urgent).max(0.0)).max(0.0);
        }
        urgent
    }

    /// Forgets all work, for an engine that came back empty.
    pub fn clear(&mut self, now: Now) {
        *self = Self { at: now, ..Self::default() };
    }

    fn drain(&mut self, now: Now, rate: f64) {
        let done = now.saturating_sub(self.at).as_secs_f64() * rate;
        let rest = (done - self.urgent).max(0.0);
        self.urgent = (self.urgent - done).max(0.0);
        self.bulk = (self.bulk - rest).max(0.0);
        self.at = self.at.max(now);
    }
}

/// Token counts stay far below 2^52, where the conversion is exact.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
