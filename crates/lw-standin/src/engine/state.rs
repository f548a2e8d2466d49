//! What an engine holds in memory: cache, loaded weights, load and log.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use lw_protocol::upstream::{GenerateRequest, LoadReport};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Cache, Options};

/// How long load reports are kept; a longer lag shows the oldest one kept.
const REPORTS_KEPT: Duration = Duration::from_secs(30);
/// Reports closer together than this are kept as one, which bounds the memory of a busy engine.
const REPORT_SPACING: Duration = Duration::from_millis(1);
const LOG_MAX: usize = 100_000;

/// One entry of `GET /log`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Request id.
    pub request: RequestId,
    /// Attempt number.
    pub attempt: Attempt,
    /// Cache salt.
    pub scope: String,
    /// Whether any work was done.
    pub began: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that came from the prefix cache.
    pub cached_tokens: u64,
    /// Index of the first token that was generated here.
    pub from: TokenIndex,
    /// Tokens generated here.
    pub tokens: u64,
    /// `waiting`, `running`, `complete`, `cancelled`, `failed` or `refused: REASON`.
    pub outcome: String,
}

impl LogEntry {
    pub(super) fn new(req: &GenerateRequest, prompt_tokens: u64, outcome: &str) -> Self {
        Self {
            request: req.request.clone(),
            attempt: req.attempt,
            scope: req.scope.clone(),
            began: false,
            prompt_tokens,
            cached_tokens: 0,
            from: req.resume.as_ref().map_or(0, |resume| resume.from),
            tokens: 0,
            outcome: outcome.to_owned(),
        }
    }
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) cache: Cache,
    pub(super) report: LoadReport,
    reports: VecDeque<(Instant, LoadReport)>,
    /// Newest fencing number seen.
    pub(super) fence: u64,
    /// Versions of models that are being loaded.
    pub(super) loading_models: BTreeMap<ModelId, String>,
    /// Versions of adapters that are being loaded.
    pub(super) loading_adapters: BTreeMap<String, String>,
    pub(super) log: Vec<LogEntry>,
}

impl State {
    pub(super) fn new(options: &Options, incarnation: Incarnation) -> Self {
        let report = LoadReport {
            incarnation,
            role: options.role.clone(),
            models: options.models.clone(),
            adapters: options.adapters.clone(),
            ..LoadReport::default()
        };
        Self {
            cache: Cache::new(options.cache_blocks),
            reports: VecDeque::from([(Instant::now(), report.clone())]),
            report,
            fence: 0,
            loading_models: BTreeMap::new(),
            loading_adapters: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    /// Changes the load and keeps the new report.
    pub(super) fn change(&mut self, now: Instant, change: impl FnOnce(&mut LoadReport)) {
        change(&mut self.report);
        self.report.seq += 1;
        self.report.loading = !(self.loading_models.is_empty() && self.loading_adapters.is_empty());
        // The first report stays, since it is the one that a longer lag than the engine's age shows.
        let is_first = self.reports.len() == 1;
        match self.reports.back_mut() {
            Some((at, report)) if !is_first && now < *at + REPORT_SPACING => {
                report.clone_from(&self.report);
            }
            _ => self.reports.push_back((now, self.report.clone())),
        }
        while self.reports.get(1).is_some_and(|(at, _)| *at + REPORTS_KEPT < now) {
            self.reports.pop_front();
        }
    }

    /// The report as it was the given time ago.
    pub(super) fn report_before(&self, now: Instant, lag: Duration) -> LoadReport {
        let old = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        let report = old.or(self.reports.front()).map_or(&self.report, |(_, report)| report);
        report.clone()
    }

    pub(super) fn add_log(&mut self, entry: LogEntry) -> Option<usize> {
        (self.log.len() < LOG_MAX).then(|| {
            self.log.push(entry);
            self.log.len() - 1
        })
    }
}

/// The state of an engine, shared by its requests.
#[derive(Debug, Clone)]
pub(super) struct Shared(Arc<Mutex<State>>);

impl Shared {
    pub(super) fn new(state: State) -> Self {
        Self(Arc::new(Mutex::new(state)))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One admitted request's part of the load and of the log; both are settled when this is dropped.
#[derive(Debug)]
pub(super) struct InFlight {
    state: Shared,
    waiting_tokens: u64,
    is_running: bool,
    log: Option<usize>,
}

impl InFlight {
    pub(super) fn new(state: &Shared, entry: LogEntry) -> Self {
        let waiting_tokens = entry.prompt_tokens;
        let mut locked = state.lock();
        locked.change(Instant::now(), |load| {
            load.queued += 1;
            load.queued_tokens += waiting_tokens;
        });
        let log = locked.add_log(entry);
        drop(locked);
        Self { state: state.clone(), waiting_tokens, is_running: false, log }
    }

    /// The request has a slot and begins.
    pub(super) fn begin(&mut self, cached_tokens: u64) {
        self.is_running = true;
        let mut state = self.state.lock();
        state.change(Instant::now(), |load| {
            load.queued -= 1;
            load.running += 1;
        });
        drop(state);
        self.prefilled(cached_tokens);
        self.note(|entry| {
            entry.began = true;
            entry.cached_tokens = cached_tokens;
            "running".clone_into(&mut entry.outcome);
        });
    }

    /// This many prompt tokens no longer wait.
    pub(super) fn prefilled(&mut self, tokens: u64) {
        let tokens = tokens.min(self.waiting_tokens);
        self.waiting_tokens -= tokens;
        let mut state = self.state.lock();
        state.change(Instant::now(), |load| load.queued_tokens -= tokens);
    }

    /// Changes the entry of the log.
    pub(super) fn note(&self, change: impl FnOnce(&mut LogEntry)) {
        let mut state = self.state.lock();
        if let Some(entry) = self.log.and_then(|i| state.log.get_mut(i)) {
            change(entry);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.note(|entry| {
            if matches!(entry.outcome.as_str(), "waiting" | "running") {
                "cancelled".clone_into(&mut entry.outcome);
            }
        });
        let (tokens, is_running) = (self.waiting_tokens, self.is_running);
        self.state.lock().change(Instant::now(), |load| {
            load.queued_tokens -= tokens;
            if is_running {
                load.running -= 1;
            } else {
                load.queued -= 1;
            }
        });
    }
}
