//! Metrics and the log line about one request.

use std::{sync::Arc, time::Duration};

use log::Level;
use lw_catalog::RouteKind;
use lw_observe::{
    logs::millis,
    metrics::{self, OutcomeLabels, RequestLabels},
};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use crate::state::Edge;

/// Collects what is logged and counted about one request when it ends. If it is dropped before, the caller has left, or the
/// process ends.
#[derive(Debug)]
pub(super) struct RequestRecord {
    edge: Arc<Edge>,
    request: RequestId,
    labels: RequestLabels,
    arrived: Now,
    attempts: usize,
    /// When the head of the answer was received.
    first_byte: Option<Now>,
    /// When the last chunk of a stream was given to the caller.
    last_chunk: Option<Now>,
    /// Longest time between two chunks of a stream.
    longest_pause: Duration,
    is_ended: bool,
}

impl RequestRecord {
    pub fn new(edge: &Arc<Edge>, request: &str, arrived: Now) -> Self {
        Self {
            edge: Arc::clone(edge),
            request: request.to_owned(),
            labels: RequestLabels { workspace: String::new(), class: "unknown" },
            arrived,
            attempts: 0,
            first_byte: None,
            last_chunk: None,
            longest_pause: Duration::ZERO,
            is_ended: false,
        }
    }

    /// Moves the record into the body of a stream that is passed through.
    pub fn take(&mut self) -> Self {
        let mut ended = Self::new(&self.edge, &self.request, self.arrived);
        ended.is_ended = true;
        std::mem::replace(self, ended)
    }

    /// Sets the labels once the route and the workspace are known.
    pub fn set_labels(&mut self, kind: RouteKind, workspace: Option<&str>) {
        let class = match kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::AtMostOnce => "at_most_once",
            RouteKind::Stream { resumable: true } => "resumable_stream",
            RouteKind::Stream { resumable: false } => "stream",
        };
        self.labels = RequestLabels { workspace: workspace.unwrap_or_default().to_owned(), class };
    }

    pub fn count_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Records that the head of the answer was received.
    pub fn record_first_byte(&mut self) {
        self.first_byte = Some(self.edge.timer.now());
        metrics::record_time(&self.edge.metrics.first_byte_time, &self.labels, self.age());
    }

    /// Records that a chunk of a stream was given to the caller.
    pub fn record_chunk(&mut self) {
        let now = self.edge.timer.now();
        if let Some(previous) = self.last_chunk.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(previous));
        }
    }

    fn age(&self) -> Duration {
        self.edge.timer.now().saturating_sub(self.arrived)
    }

    /// Records that the complete answer of an upstream was given to the caller.
    pub fn record_answer(&mut self, status: u16) {
        metrics::record_time(&self.edge.metrics.answer_time, &self.labels, self.age());
        let code = if status < 500 { ResultCode::Ok } else { ResultCode::UpstreamError };
        self.count_outcome(code);
        let first = self.first_byte.map_or(Duration::ZERO, |at| at.saturating_sub(self.arrived));
        log::info!(target: "http", request = self.request.as_str(), status = status,
            attempts = self.attempts, ms = millis(self.age()), first_ms = millis(first),
            pause_ms = millis(self.longest_pause), class = self.labels.class,
            workspace = self.labels.workspace.as_str(); "request answered");
    }

    /// Records that the router answered with a failure of its own.
    pub fn record_failure(&mut self, failure: &Failure) {
        self.count_outcome(failure.code);
        if failure.code.executed() == Executed::No {
            metrics::increment(&self.edge.metrics.refusals, failure.code.name());
        }
        let retry_ms = failure.retry_after.map(millis).unwrap_or_default();
        log::warn!(target: "http", request = self.request.as_str(), code = failure.code.number(),
            name = failure.code.name(), ran = failure.code.executed().to_string(),
            attempts = self.attempts, ms = millis(self.age()), retry_after_ms = retry_ms,
            class = self.labels.class, workspace = self.labels.workspace.as_str(),
            why = failure.message.as_str(); "request failed");
    }

    /// Records that the stream broke after this many bytes and could not be resumed.
    pub fn record_broken_stream(&mut self, why: &str, bytes: u64) {
        self.count_outcome(ResultCode::StreamBroken);
        let code = ResultCode::StreamBroken;
        log::warn!(target: "http", request = self.request.as_str(), code = code.number(),
            name = code.name(), attempts = self.attempts, ms = millis(self.age()),
            bytes = bytes, class = self.labels.class,
            workspace = self.labels.workspace.as_str(), why = why; "stream broken off");
    }

    fn count_outcome(&mut self, code: ResultCode) {
        self.is_ended = true;
        self.count(code.name());
    }

    fn count(&self, outcome: &'static str) {
        let RequestLabels { workspace, class } = self.labels.clone();
        let labels = OutcomeLabels { workspace, class, code: outcome };
        self.edge.metrics.requests.get_or_create(&labels).inc();
        if self.edge.is_leaving() {
            self.edge.stop_account.record_end(outcome);
        }
    }

    /// Logs that the request ended without an answer, for the reason that `what` states.
    fn log_unanswered(&self, level: Level, what: &str) {
        log::log!(target: "http", level, request = self.request.as_str(),
            attempts = self.attempts, ms = millis(self.age()),
            has_begun = self.first_byte.is_some(), class = self.labels.class,
            workspace = self.labels.workspace.as_str(); "{what}");
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        if self.edge.is_ending() {
            self.count("cut");
            self.log_unanswered(Level::Warn, "request cut by the end of the process");
            return;
        }
        self.count("caller_left");
        // Around a stop, lines that tell a caller that left from a request that was lost must not be left out.
        let level = if self.edge.is_leaving() { Level::Warn } else { Level::Info };
        self.log_unanswered(level, "caller left");
    }
}
