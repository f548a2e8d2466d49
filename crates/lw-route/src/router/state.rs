//! State of one engine as the router has recorded it.

use std::time::Duration;

use lw_types::prelude::*;

use crate::{
    CacheEvent, DigestEntry, Engine, LoadReport, LoadedVersion, Options, Request,
    digest::name_hash, health::Health, index::PrefixIndex, queue::QueueEstimate,
};

/// Exclusion of an engine after a failure; it doubles with each further failure in a row.
const FAILURE_BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Longest exclusion of an engine after failures, so that a recovered engine gets requests again soon.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(4);

#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) engine: Engine,
    /// [`name_hash`] of the engine id.
    pub(super) id_hash: u64,
    /// [`name_hash`] of the role, which decisions compare without reading the string of each engine.
    pub(super) role_hash: u64,
    pub(super) index: PrefixIndex,
    pub(super) queue: QueueEstimate,
    pub(super) health: Health,
    loaded: Vec<LoadedVersion>,
    /// Whether the engine itself or a peer reported it as leaving, which may be earlier than the configuration.
    is_reported_leaving: bool,
    /// Whether the engine reported that it is leaving and no digest includes it yet.
    has_unreported_leaving: bool,
    /// When this VM or a peer last received a first token from the engine.
    pub(super) last_first_token: Now,
    /// Whether this VM received a first token that no digest includes yet.
    has_unreported_first_token: bool,
    /// Failures since the last first token.
    failures: u32,
    failed_until: Now,
    /// Prefill speed in tokens a second.
    pub(super) prefill_rate: f64,
    /// Prefill tokens of all classes but [`Class::Bulk`] that this VM sent since its last digest.
    unreported_urgent_tokens: f64,
    /// Prefill tokens of [`Class::Bulk`] that this VM sent since its last digest.
    unreported_bulk_tokens: f64,
    /// When this VM sent the first request since its last digest.
    unreported_since: Option<Now>,
    /// Last block of each request that this VM sent since its last digest.
    unreported_blocks: Vec<BlockHash>,
}

impl EngineState {
    pub(super) fn new(engine: Engine, options: &Options) -> Self {
        Self {
            id_hash: name_hash(&engine.id),
            role_hash: name_hash(&engine.role),
            engine,
            index: PrefixIndex::new(options.index_entries_max),
            queue: QueueEstimate::default(),
            health: Health::default(),
            loaded: Vec::new(),
            is_reported_leaving: false,
            has_unreported_leaving: false,
            last_first_token: Duration::ZERO,
            has_unreported_first_token: false,
            failures: 0,
            failed_until: Duration::ZERO,
            prefill_rate: options.prefill_tokens_per_second,
            unreported_urgent_tokens: 0.0,
            unreported_bulk_tokens: 0.0,
            unreported_since: None,
            unreported_blocks: Vec::new(),
        }
    }

    pub(super) fn update_description(&mut self, now: Now, engine: &Engine) {
        self.engine = engine.clone();
        self.role_hash = name_hash(&engine.role);
        if let Some(incarnation) = engine.incarnation {
            self.advance_incarnation(now, incarnation);
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.engine.is_leaving || self.is_reported_leaving
    }

    pub(super) fn has_failed(&self, now: Now) -> bool {
        now < self.failed_until
    }

    pub(super) fn loaded(&self) -> &[LoadedVersion] {
        &self.loaded
    }

    pub(super) fn has_loaded(&self, name: &str, version: &str) -> bool {
        self.loaded.is_empty() || self.loaded.iter().any(|l| l.name == name && l.version == version)
    }

    pub(super) fn record_sent(
        &mut self,
        now: Now,
        request: &Request,
        incarnation: Option<Incarnation>,
        uncached_tokens: f64,
    ) {
        let prefill_rate = self.prefill_rate;
        self.queue.add_sent(now, now, uncached_tokens, request.class, prefill_rate);
        // An engine refuses a request for another incarnation, so it caches nothing of it.
        if incarnation == self.index.incarnation() {
            self.index.record_sent(now, &request.fingerprint.blocks);
            self.unreported_blocks.extend(request.fingerprint.blocks.last());
        }
        if request.class == Class::Bulk {
            self.unreported_bulk_tokens += uncached_tokens;
        } else {
            self.unreported_urgent_tokens += uncached_tokens;
        }
        self.unreported_since.get_or_insert(now);
        self.health.record_sent(now);
    }

    pub(super) fn record_first_token(&mut self, now: Now, sent: Now, expected: Duration) {
        self.failures = 0;
        self.last_first_token = now;
        self.has_unreported_first_token = true;
        self.health.record_first_token(now, sent, expected);
    }

    pub(super) fn record_failure(&mut self, now: Now) {
        let backoff = FAILURE_BACKOFF_MIN * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        self.failed_until = now + backoff.min(FAILURE_BACKOFF_MAX);
    }

    pub(super) fn apply_load_report(&mut self, now: Now, measured: Now, report: &LoadReport) {
        if !self.advance_incarnation(now, report.incarnation) {
            return;
        }
        self.loaded.clone_from(&report.loaded);
        // A report may be older than the digest of a peer, so only a new incarnation clears `is_reported_leaving`.
        self.has_unreported_leaving |= report.is_leaving && !self.is_reported_leaving;
        self.is_reported_leaving |= report.is_leaving;
        let prefill_rate = self.prefill_rate;
        self.queue.apply_report(now, measured, report, prefill_rate);
    }

    pub(super) fn apply_cache_event(&mut self, now: Now, event: CacheEvent) {
        if self.advance_incarnation(now, event.incarnation) {
            self.index.apply(now, event);
        }
    }

    pub(super) fn apply_digest_entry(&mut self, now: Now, entry: &DigestEntry) {
        let prefill_rate = self.prefill_rate;
        let at = now.saturating_sub(entry.age);
        self.queue.add_sent(now, at, f64::from(entry.urgent_tokens), Class::Standard, prefill_rate);
        if entry.bulk_tokens > 0 {
            self.queue.add_sent(now, at, f64::from(entry.bulk_tokens), Class::Bulk, prefill_rate);
        }
        if entry.incarnation == self.index.incarnation() {
            self.index.record_sent(now, &entry.blocks);
        }
        self.is_reported_leaving |= entry.is_leaving;
        if entry.has_first_token {
            self.last_first_token = now;
        }
        if let Some(speed) = entry.speed {
            self.health.record_peer_speed(now, speed);
        }
    }

    pub(super) fn take_digest_entry(&mut self, now: Now) -> Option<DigestEntry> {
        let speed = self.health.take_unreported();
        let has_first_token = std::mem::take(&mut self.has_unreported_first_token);
        let is_newly_leaving = std::mem::take(&mut self.has_unreported_leaving);
        if self.unreported_since.is_none()
            && !has_first_token
            && speed.is_none()
            && !is_newly_leaving
        {
            return None;
        }
        let first_sent = self.unreported_since.take().unwrap_or(now);
        Some(DigestEntry {
            engine: self.id_hash,
            incarnation: self.index.incarnation(),
            urgent_tokens: to_u32(std::mem::take(&mut self.unreported_urgent_tokens)),
            bulk_tokens: to_u32(std::mem::take(&mut self.unreported_bulk_tokens)),
            blocks: std::mem::take(&mut self.unreported_blocks),
            age: now.saturating_sub(first_sent) / 2,
            has_first_token,
            speed,
            is_leaving: self.is_leaving(),
        })
    }

    /// Switches to `incarnation` if it is newer, and discards the state of the earlier one. Returns whether
    /// `incarnation` is the current one now.
    fn advance_incarnation(&mut self, now: Now, incarnation: Incarnation) -> bool {
        let previous = self.index.incarnation();
        let is_current = self.index.advance_incarnation(incarnation);
        if is_current && previous != Some(incarnation) && previous.is_some() {
            self.queue.clear(now);
            self.unreported_blocks.clear();
            self.health = Health::default();
            self.loaded.clear();
            self.is_reported_leaving = false;
            (self.failures, self.failed_until) = (0, Duration::ZERO);
        }
        is_current
    }
}

/// Rounds a token count; counts stay far below the largest `u32`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_u32(value: f64) -> u32 {
    value.round() as u32
}
