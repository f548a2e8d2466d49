//! What the router knows of one engine.

use std::time::Duration;

use lw_types::prelude::*;

use crate::{
    CacheEvent, DigestEntry, Engine, LoadReport, LoadedVersion, Options, Request,
    digest::name_hash, health::Health, index::PrefixIndex, load::Load,
};

/// First exclusion after a failure; it doubles with each further failure in a row.
const FAILED_MIN: Duration = Duration::from_millis(250);
/// Longest exclusion after failures, so a returned engine is found again.
const FAILED_MAX: Duration = Duration::from_secs(4);

#[derive(Debug)]
pub(super) struct State {
    pub(super) engine: Engine,
    pub(super) key: u64,
    /// Hash of the role, so a decision does not follow a pointer for each engine.
    pub(super) role: u64,
    pub(super) index: PrefixIndex,
    pub(super) load: Load,
    pub(super) health: Health,
    loaded: Vec<LoadedVersion>,
    /// Own report and peers' digests may say so before the configuration does.
    reported_leaving: bool,
    unsent_leaving: bool,
    /// When this VM or a peer last got a first token from it.
    pub(super) last_first_token: Now,
    unsent_first_token: bool,
    failures: u32,
    failed_until: Now,
    /// Prefill speed in tokens a second.
    pub(super) rate: f64,
    unsent_urgent: f64,
    unsent_bulk: f64,
    unsent_since: Option<Now>,
    unsent_blocks: Vec<BlockHash>,
}

impl State {
    pub(super) fn new(engine: Engine, options: &Options) -> Self {
        Self {
            key: name_hash(&engine.id),
            role: name_hash(&engine.role),
            engine,
            index: PrefixIndex::new(options.index_entries_max),
            load: Load::default(),
            health: Health::default(),
            loaded: Vec::new(),
            reported_leaving: false,
            unsent_leaving: false,
            last_first_token: Duration::ZERO,
            unsent_first_token: false,
            failures: 0,
            failed_until: Duration::ZERO,
            rate: options.prefill_tokens_per_second,
            unsent_urgent: 0.0,
            unsent_bulk: 0.0,
            unsent_since: None,
            unsent_blocks: Vec::new(),
        }
    }

    pub(super) fn describe(&mut self, now: Now, engine: &Engine) {
        self.engine = engine.clone();
        self.role = name_hash(&engine.role);
        if let Some(incarnation) = engine.incarnation {
            self.advance(now, incarnation);
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.engine.is_leaving || self.reported_leaving
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

    pub(super) fn sent(
        &mut self,
        now: Now,
        request: &Request,
        incarnation: Option<Incarnation>,
        uncached: f64,
    ) {
        let rate = self.rate;
        self.load.add(now, now, uncached, request.class, rate);
        // The engine refuses a request that names another incarnation, so nothing of it is cached there.
        if incarnation == self.index.incarnation() {
            self.index.touch(now, &request.fingerprint.blocks);
            self.unsent_blocks.extend(request.fingerprint.blocks.last());
        }
        if request.class == Class::Bulk {
            self.unsent_bulk += uncached;
        } else {
            self.unsent_urgent += uncached;
        }
        self.unsent_since.get_or_insert(now);
        self.health.sent(now);
    }

    pub(super) fn first_token(&mut self, now: Now, sent: Now, expected: Duration) {
        self.failures = 0;
        self.last_first_token = now;
        self.unsent_first_token = true;
        self.health.timing(now, sent, expected);
    }

    pub(super) fn failed(&mut self, now: Now) {
        let pause = FAILED_MIN * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        self.failed_until = now + pause.min(FAILED_MAX);
    }

    pub(super) fn load_report(&mut self, now: Now, measured: Now, report: &LoadReport) {
        if !self.advance(now, report.incarnation) {
            return;
        }
        self.loaded.clone_from(&report.loaded);
        // A report may be older than what a peer said, so only a new incarnation takes it back.
        self.unsent_leaving |= report.is_leaving && !self.reported_leaving;
        self.reported_leaving |= report.is_leaving;
        let rate = self.rate;
        self.load.report(now, measured, report, rate);
    }

    pub(super) fn cache_event(&mut self, now: Now, event: CacheEvent) {
        if self.advance(now, event.incarnation) {
            self.index.apply(now, event);
        }
    }

    pub(super) fn peer(&mut self, now: Now, entry: &DigestEntry) {
        let rate = self.rate;
        let at = now.saturating_sub(entry.age);
        self.load.add(now, at, f64::from(entry.urgent_tokens), Class::Standard, rate);
        if entry.bulk_tokens > 0 {
            self.load.add(now, at, f64::from(entry.bulk_tokens), Class::Bulk, rate);
        }
        if entry.incarnation == self.index.incarnation() {
            self.index.touch(now, &entry.blocks);
        }
        self.reported_leaving |= entry.is_leaving;
        if entry.has_first_token {
            self.last_first_token = now;
        }
        if let Some(speed) = entry.speed {
            self.health.peer_saw(now, speed);
        }
    }

    pub(super) fn digest_entry(&mut self, now: Now) -> Option<DigestEntry> {
        let speed = self.health.take_new();
        let has_first_token = std::mem::take(&mut self.unsent_first_token);
        let leaving = std::mem::take(&mut self.unsent_leaving);
        if self.unsent_since.is_none() && !has_first_token && speed.is_none() && !leaving {
            return None;
        }
        let since = self.unsent_since.take().unwrap_or(now);
        Some(DigestEntry {
            engine: self.key,
            incarnation: self.index.incarnation(),
            urgent_tokens: to_u32(std::mem::take(&mut self.unsent_urgent)),
            bulk_tokens: to_u32(std::mem::take(&mut self.unsent_bulk)),
            blocks: std::mem::take(&mut self.unsent_blocks),
            age: now.saturating_sub(since) / 2,
            has_first_token,
            speed,
            is_leaving: self.is_leaving(),
        })
    }

    /// Moves to a newer incarnation; returns whether `incarnation` is the current one.
    fn advance(&mut self, now: Now, incarnation: Incarnation) -> bool {
        let known = self.index.incarnation();
        let is_current = self.index.advance(incarnation);
        if is_current && known != Some(incarnation) && known.is_some() {
            self.load.clear(now);
            self.unsent_blocks.clear();
            self.health = Health::default();
            self.loaded.clear();
            self.reported_leaving = false;
            (self.failures, self.failed_until) = (0, Duration::ZERO);
        }
        is_current
    }
}

/// Values are token counts and percentages, far inside the range.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_u32(value: f64) -> u32 {
    value.round() as u32
}
