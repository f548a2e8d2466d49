//! One upstream as this VM sees it: the attempts in flight there, its cache and its speed.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::{Stage, Upstream};
use lw_limit::upstream::Rejections;
use lw_types::prelude::*;

use super::{InFlightId, slowdown::Slowdown};
use crate::{
    CacheView, Load,
    cache::SegmentKey,
    work::{EngineCost, Speed},
};

/// Age from which a reported load is ignored.
pub(super) const LOAD_MAX_AGE: Duration = Duration::from_secs(1);
/// Duration of one decoding step of an engine that prefills nothing.
pub(super) const STEP_MS: f64 = 10.0;
/// Cost of each millisecond for which the stream of a new request runs beside the prefill of others.
const OWN_STREAM_WEIGHT: f64 = 0.5;
/// Cost, for each request that waits behind a new one, of each millisecond of the new one's prefill.
const DELAYED_WEIGHT: f64 = 0.3;
/// Cost, for each running stream, of each millisecond of a new request's prefill.
const OTHER_STREAMS_WEIGHT: f64 = 0.1;

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
    /// What this VM expected of it; none for an attempt of another VM.
    pub expected: Option<Expected>,
}

/// What this VM expected of an attempt that it sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expected {
    /// Time to the first event or the answer, in milliseconds.
    pub latency_ms: f64,
    /// Kind of the request, and the tokens that its caller expected of the answer.
    pub kind: u64,
    pub hint: u64,
    /// Tokens of the answer so far.
    pub output_tokens: u64,
    /// Whether a slot of the server was free as far as known.
    pub has_free_slot: bool,
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
    /// Its latest rejections of requests of all VMs, if too many of them make it fail.
    pub rejections: Rejections,
    /// Until when it counts as an upstream that too many rejections make fail.
    pub fragile_until: Now,
    pub cache: CacheView,
    /// Version of the weights by model, the newest that any source reported.
    pub versions: HashMap<ModelId, u64>,
    /// Its lasting speed.
    pub speed: Speed,
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
            rejections: Rejections::default(),
            fragile_until: Now::ZERO,
            cache: CacheView::new(capacity_tokens),
            versions: upstream.models.iter().map(|m| (m.model.clone(), m.version)).collect(),
            speed: Speed::default(),
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

    /// Returns the cost of a prefill to others, in milliseconds. During a prefill the steps of an engine, and so the pauses
    /// of all its streams, are several times as long, and what waits behind it starts later. This keeps long prefills
    /// away from engines with many short requests.
    pub fn interference_ms(
        &self,
        now: Now,
        cost: EngineCost<'_>,
        prefill_ms: f64,
        output_tokens: u64,
        rank: u8,
    ) -> f64 {
        let (mut backlog, mut streams, mut waiting, mut delayed) = (0.0, 0.0, 0.0, 0.0);
        for attempt in self.in_flight.values() {
            if attempt.started_at.is_some() {
                streams += 1.0;
                continue;
            }
            waiting += 1.0;
            backlog += cost.prefill_ms(attempt.prefill_tokens);
            delayed += if attempt.rank > rank { 1.0 } else { 0.0 };
        }
        // Short requests of other VMs are seen only in the reported load.
        if let Some((at, load)) = self.load {
            let age = now.saturating_sub(at).as_secs_f64() / LOAD_MAX_AGE.as_secs_f64();
            let weight = (1.0 - age).max(0.0);
            // The request whose answer carries the report is one of those that run.
            let others = load.running.min(load.slots).saturating_sub(1);
            streams = f64::max(streams, f64::from(others) * weight);
            delayed += (f64::from(load.waiting.min(load.slots)) * weight - waiting).max(0.0);
        }
        let own_stream_ms = f64::min(backlog, cost.decode_ms(output_tokens)) * OWN_STREAM_WEIGHT;
        let others = streams * OTHER_STREAMS_WEIGHT + delayed * DELAYED_WEIGHT;
        own_stream_ms + prefill_ms * others
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
    pub fn plain_wait_ms(&self, now: Now, cost: EngineCost<'_>) -> f64 {
        let slots = f64::from(self.upstream.slots.max(1));
        let usage = as_f64(self.active_count(now) + self.sent_since_report(now)) / slots;
        // With free slots the wait is that behind requests which the report does not include yet.
        let is_learned = cost.has_plain_samples(now);
        let requests = if is_learned && usage > 1.0 { usage } else { usage.powi(2) };
        let wait = cost.plain_ms() * requests;
        wait + self.slowdown.delay_ms(now, wait + cost.plain_ms())
    }

    /// Returns the number of own attempts that the reported load does not include, beyond those that are tracked anyway.
    fn sent_since_report(&self, now: Now) -> u64 {
        let Some((at, load)) = self.load.filter(|(at, _)| now.saturating_sub(*at) < LOAD_MAX_AGE)
        else {
            return 0;
        };
        let tracked = u64::try_from(self.in_flight.len()).unwrap_or(u64::MAX);
        let reported = u64::from(load.running) + u64::from(load.waiting);
        let sent = self.in_flight.values().filter(|attempt| attempt.sent_at >= at).count();
        let all = reported.saturating_add(u64::try_from(sent).unwrap_or(u64::MAX));
        all.saturating_sub(tracked.max(reported))
    }

    /// Returns the milliseconds that the slowdown adds to a request that waits and is prefilled for `work_before_ms`.
    pub fn delay_ms(&self, now: Now, work_before_ms: f64, decode_ms: f64) -> f64 {
        self.slowdown.delay_ms(now, work_before_ms + decode_ms)
    }
}

#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
