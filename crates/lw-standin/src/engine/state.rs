//! The state of an engine: cache, loaded weights, load and log.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use lw_protocol::upstream::{GenerateRequest, LoadReport};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Cache, Options};

/// How long load reports are retained; a longer lag returns the oldest of them.
const REPORT_RETENTION: Duration = Duration::from_secs(30);
/// Of the reports within this time only the last is retained, which bounds the memory of a busy engine.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// Entries of the log; further requests are not logged.
const LOG_ENTRIES_MAX: usize = 100_000;

/// One entry of `GET /log`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Request id.
    pub request: RequestId,
    /// Attempt number.
    pub attempt: Attempt,
    /// Cache salt.
    pub scope: String,
    /// Whether the request started to run.
    pub began: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Index of the first token that this engine generates.
    pub from: TokenIndex,
    /// Tokens that this engine generated.
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
    /// Highest fencing number received.
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

    /// Changes the load report and retains the new one.
    pub(super) fn update_report(&mut self, now: Instant, change: impl FnOnce(&mut LoadReport)) {
        change(&mut self.report);
        self.report.seq += 1;
        self.report.loading = !(self.loading_models.is_empty() && self.loading_adapters.is_empty());
        // The first report is not overwritten: it is returned while the engine is younger than the lag.
        let is_first = self.reports.len() == 1;
        match self.reports.back_mut() {
            Some((at, report)) if !is_first && now < *at + REPORT_INTERVAL_MIN => {
                report.clone_from(&self.report);
            }
            _ => self.reports.push_back((now, self.report.clone())),
        }
        while self.reports.get(1).is_some_and(|(at, _)| *at + REPORT_RETENTION < now) {
            self.reports.pop_front();
        }
    }

    /// Returns the report of the given time ago.
    pub(super) fn report_at(&self, now: Instant, lag: Duration) -> LoadReport {
        let old = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        let report = old.or(self.reports.front()).map_or(&self.report, |(_, report)| report);
        report.clone()
    }

    /// Returns the index of the new entry, or `None` if the log is full.
    pub(super) fn add_log_entry(&mut self, entry: LogEntry) -> Option<usize> {
        (self.log.len() < LOG_ENTRIES_MAX).then(|| {
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

/// An admitted request, counted in the load report; dropping it ends its count and completes its log entry.
#[derive(Debug)]
pub(super) struct InFlight {
    state: Shared,
    waiting_tokens: u64,
    is_running: bool,
    /// Index of its log entry; `None` if the log was full.
    log_index: Option<usize>,
}

impl InFlight {
    pub(super) fn new(state: &Shared, entry: LogEntry) -> Self {
        let waiting_tokens = entry.prompt_tokens;
        let mut locked = state.lock();
        locked.update_report(Instant::now(), |load| {
            load.queued += 1;
            load.queued_tokens += waiting_tokens;
        });
        let log_index = locked.add_log_entry(entry);
        drop(locked);
        Self { state: state.clone(), waiting_tokens, is_running: false, log_index }
    }

    /// Counts the request as running; it has a slot.
    pub(super) fn start_running(&mut self, cached_tokens: u64) {
        self.is_running = true;
        let mut state = self.state.lock();
        state.update_report(Instant::now(), |load| {
            load.queued -= 1;
            load.running += 1;
        });
        drop(state);
        self.remove_queued_tokens(cached_tokens);
        self.update_log(|entry| {
            entry.began = true;
            entry.cached_tokens = cached_tokens;
            "running".clone_into(&mut entry.outcome);
        });
    }

    /// Subtracts prefilled or cached prompt tokens from the queued ones.
    pub(super) fn remove_queued_tokens(&mut self, tokens: u64) {
        let tokens = tokens.min(self.waiting_tokens);
        self.waiting_tokens -= tokens;
        let mut state = self.state.lock();
        state.update_report(Instant::now(), |load| load.queued_tokens -= tokens);
    }

    /// Changes the log entry of the request.
    pub(super) fn update_log(&self, change: impl FnOnce(&mut LogEntry)) {
        let mut state = self.state.lock();
        if let Some(entry) = self.log_index.and_then(|i| state.log.get_mut(i)) {
            change(entry);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.update_log(|entry| {
            if matches!(entry.outcome.as_str(), "waiting" | "running") {
                "cancelled".clone_into(&mut entry.outcome);
            }
        });
        let (tokens, is_running) = (self.waiting_tokens, self.is_running);
        self.state.lock().update_report(Instant::now(), |load| {
            load.queued_tokens -= tokens;
            if is_running {
                load.running -= 1;
            } else {
                load.queued -= 1;
            }
        });
    }
}
