//! One upstream as this VM sees it: the attempts in flight there, its cache and its speed.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::{Stage, Upstream};
use lw_types::prelude::*;

use super::{InFlightId, rate::Rate, slowdown::Slowdown};
use crate::{CacheView, Load, cache::SegmentKey};

/// Age from which a reported load is ignored.
pub(super) const LOAD_MAX_AGE: Duration = Duration::from_secs(1);
/// Duration of one decoding step of an engine that prefills nothing.
pub(super) const STEP_MS: f64 = 10.0;
/// Cost of each millisecond for which the stream of a new request runs beside the prefill of others.
const OWN_STREAM_WEIGHT: f64 = 0.5;
/// Cost, for each running stream, of each millisecond of a new request's prefill.
const OTHER_STREAMS_WEIGHT: f64 = 0.1;
/// Assumed duration of one request at a plain server.
const PLAIN_REQUEST_MS: f64 = 25.0;

/// An attempt in flight at an upstream, sent by this VM or another one.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Tokens of its prompt that the engine has to prefill.
    pub prefill_tokens: u64,
    /// Expected tokens of its answer.
    pub output_tokens: u64,
    /// Rank, 0 is the most urgent.
    pub rank: u8,
    pub sent_at: Now,
    /// When the segments that the engine fetches are there.
    pub fetched_at: Now,
    /// When its first event arrived.
    pub started_at: Option<Now>,
    /// Keys and tokens of its segments.
    pub segments: Vec<(SegmentKey, u64)>,
}

#[derive(Debug)]
pub(super) struct UpstreamState {
    pub upstream: Arc<Upstream>,
    pub in_flight: HashMap<InFlightId, InFlight>,
    pub load: Option<(Now, Load)>,
    pub slowdown: Slowdown,
    /// Gets no requests until then while others can run them, since it failed.
    pub deprioritized_until: Now,
    /// Gets no requests until then, since its weights are about to be replaced or it did not run one.
    pub paused_until: Now,
    /// Gets no requests until then, as it requested when it rejected one.
    pub backoff_until: Now,
    pub cache: CacheView,
    /// Version of the weights by model, the newest that any source reported.
    pub versions: HashMap<ModelId, u64>,
    pub rate: Rate,
    /// When all recorded transfers over its link are complete.
    pub link_free_at: Now,
    /// When the last first event after a large prefill arrived.
    pub last_first_event: Now,
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
            link_free_at: Now::ZERO,
            last_first_event: Now::ZERO,
        }
    }

    /// Whether it accepts requests now, apart from its limit.
    pub fn is_open(&self, now: Now) -> bool {
        self.upstream.stage == Stage::Ready && now >= self.paused_until && now >= self.backoff_until
    }

    /// Records a version of weights. New weights end the pause and invalidate the segments cached under the old ones.
    pub fn record_version(&mut self, model: &str, version: u64) {
        let current = self.versions.entry(model.to_owned()).or_default();
        if version > *current {
            *current = version;
            self.cache.clear();
            self.paused_until = Now::ZERO;
        }
    }

    /// Returns the cost of prefill beside running streams, in milliseconds. During a prefill the steps of an engine,
    /// and so the pauses of all its streams, are several times as long. This keeps long prefills away from engines with
    /// many short streams.
    pub fn interference_ms(&self, prefill_ms: f64, output_tokens: u64) -> f64 {
        let waiting = self.in_flight.values().filter(|f| f.started_at.is_none());
        let backlog: f64 = waiting.map(|f| self.rate.prefill_ms(f.prefill_tokens)).sum();
        let streams = self.in_flight.values().filter(|f| f.started_at.is_some()).count();
        let streams = as_f64(u64::try_from(streams).unwrap_or(u64::MAX));
        let own_stream_ms = backlog.min(self.rate.decode_ms(output_tokens)) * OWN_STREAM_WEIGHT;
        own_stream_ms + prefill_ms * streams * OTHER_STREAMS_WEIGHT
    }

    /// Returns the duration of one step of the engine, in milliseconds. It grows with the number of requests.
    pub fn step_ms(&self, now: Now) -> f64 {
        let is_prefilling = self.in_flight.values().any(|f| f.started_at.is_none());
        let step = STEP_MS * if is_prefilling { 1.5 } else { 1.0 };
        step * (1.0 + as_f64(self.active_count(now)) / 32.0)
    }

    /// Returns the number of running and waiting requests, as tracked here or as reported, whichever is more.
    pub fn active_count(&self, now: Now) -> u64 {
        let load = self.load.filter(|(at, _)| now.saturating_sub(*at) < LOAD_MAX_AGE);
        let reported =
            load.map_or(0, |(_, load)| u64::from(load.running) + u64::from(load.waiting));
        u64::try_from(self.in_flight.len()).unwrap_or(u64::MAX).max(reported)
    }

    /// Returns the milliseconds until a plain server can start a new request.
    pub fn plain_wait_ms(&self, now: Now) -> f64 {
        let slots = f64::from(self.upstream.slots.max(1));
        let wait = PLAIN_REQUEST_MS * (as_f64(self.active_count(now)) / slots).powi(2);
        wait + self.slowdown.delay_ms(now, wait + PLAIN_REQUEST_MS)
    }

    /// Returns the milliseconds that the slowdown adds to a request that waits and is prefilled for `work_before_ms`.
    pub fn delay_ms(&self, now: Now, work_before_ms: f64, output_tokens: u64) -> f64 {
        self.slowdown.delay_ms(now, work_before_ms + self.rate.decode_ms(output_tokens))
    }
}

#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
pub(super) fn as_f64(count: u64) -> f64 {
    count as f64
}
