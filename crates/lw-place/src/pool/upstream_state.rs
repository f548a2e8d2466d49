//! One upstream as a VM sees it: what was sent to it, what it is believed to hold, how fast it works.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::Upstream;
use lw_types::prelude::*;

use super::{InFlightId, rate::Rate, slowdown::Slowdown};
use crate::{CacheView, Load, cache::SegmentKey};

/// Age above which a stated load says nothing.
const LOAD_AGE_MAX: Duration = Duration::from_secs(1);
/// Time that an engine takes for one step without reading, until timings say otherwise, in milliseconds.
pub(super) const STEP_MS: f64 = 10.0;
/// Cost of a stream beside a reading, for each millisecond of it.
const DISTURBED_WEIGHT: f64 = 0.5;
/// Cost of a reading beside a stream, for each millisecond of it.
const DISTURBS_WEIGHT: f64 = 0.1;
/// Work of one request at a plain server, until timings say otherwise, in milliseconds.
const PLAIN_WORK_MS: f64 = 25.0;

/// One request at an upstream, sent by this VM or another one.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Tokens of its prompt that the engine has to read.
    pub prefill_tokens: u64,
    /// Tokens of its answer.
    pub output_tokens: u64,
    /// Rank, 0 is the most urgent.
    pub rank: u8,
    pub sent: Now,
    /// When its parts that come from elsewhere are there.
    pub fetched: Now,
    /// When its first event came.
    pub started: Option<Now>,
    /// Shared parts that it reads or fetches.
    pub segments: Vec<(SegmentKey, u64)>,
}

#[derive(Debug)]
pub(super) struct UpstreamState {
    pub upstream: Arc<Upstream>,
    pub in_flight: HashMap<InFlightId, InFlight>,
    pub load: Option<(Now, Load)>,
    pub slowdown: Slowdown,
    /// Gets no work until then while others can take it, since it failed.
    pub deprioritized_until: Now,
    /// Gets no new work until then, since its weights are about to be changed.
    pub paused_until: Now,
    /// Wants nothing until then, as it said when it turned a request away.
    pub backoff_until: Now,
    pub cache: CacheView,
    /// Versions of weights by model, the newest that any source told.
    pub versions: HashMap<ModelId, u64>,
    pub rate: Rate,
    /// When its link has carried all transfers that are known.
    pub link_free: Now,
    /// When a first event came last.
    pub last_start: Now,
}

impl UpstreamState {
    pub fn new(upstream: &Arc<Upstream>, capacity_tokens: u64) -> Self {
        Self {
            upstream: Arc::clone(upstream),
            in_flight: HashMap::new(),
            load: None,
            slowdown: Slowdown::default(),
            deprioritized_until: Now::ZERO,
            paused_until: Now::ZERO,
            backoff_until: Now::ZERO,
            cache: CacheView::new(capacity_tokens),
            versions: upstream.models.iter().map(|m| (m.model.clone(), m.version)).collect(),
            rate: Rate::default(),
            link_free: Now::ZERO,
            last_start: Now::ZERO,
        }
    }

    /// Takes a version of weights. New weights end the hold, and the parts read under the old ones are dropped.
    pub fn record_version(&mut self, model: &str, version: u64) {
        let known = self.versions.entry(model.to_owned()).or_default();
        if version > *known {
            *known = version;
            self.cache.clear();
            self.paused_until = Now::ZERO;
        }
    }

    /// Cost of reading beside answers in milliseconds: while an engine reads, its steps take several times as long, and
    /// the pauses of all streams with them. It answers long readings beside many short streams.
    pub fn disturbance_ms(&self, read_ms: f64, output_tokens: u64) -> f64 {
        let unread = self.in_flight.values().filter(|f| f.started.is_none());
        let backlog: f64 = unread.map(|f| self.rate.read_ms(f.prefill_tokens)).sum();
        let streams = self.in_flight.values().filter(|f| f.started.is_some()).count();
        let streams = as_f64(u64::try_from(streams).unwrap_or(u64::MAX));
        let disturbed = backlog.min(self.rate.write_ms(output_tokens)) * DISTURBED_WEIGHT;
        disturbed + read_ms * streams * DISTURBS_WEIGHT
    }

    /// Milliseconds of one step of the engine, which grows with the requests that run.
    pub fn step_ms(&self, now: Now) -> f64 {
        let is_reading = self.in_flight.values().any(|f| f.started.is_none());
        let step = STEP_MS * if is_reading { 1.5 } else { 1.0 };
        step * (1.0 + as_f64(self.running(now)) / 32.0)
    }

    /// Requests that run or wait, by what was sent or by what the upstream said, whichever is more.
    pub fn running(&self, now: Now) -> u64 {
        let load = self.load.filter(|(at, _)| now.saturating_sub(*at) < LOAD_AGE_MAX);
        let stated = load.map_or(0, |(_, load)| u64::from(load.running + load.waiting));
        u64::try_from(self.in_flight.len()).unwrap_or(u64::MAX).max(stated)
    }

    /// Milliseconds until a plain server can start on a new request.
    pub fn plain_ms(&self, now: Now) -> f64 {
        let slots = f64::from(self.upstream.slots.max(1));
        let wait = PLAIN_WORK_MS * (as_f64(self.running(now)) / slots).powi(2);
        wait + self.slowdown.delay_ms(now, wait + PLAIN_WORK_MS)
    }

    /// Milliseconds by which a request takes longer than usual that waits and is read for `before_ms`.
    pub fn delay_ms(&self, now: Now, before_ms: f64, output_tokens: u64) -> f64 {
        self.slowdown.delay_ms(now, before_ms + self.rate.write_ms(output_tokens))
    }
}

#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
pub(super) fn as_f64(count: u64) -> f64 {
    count as f64
}
