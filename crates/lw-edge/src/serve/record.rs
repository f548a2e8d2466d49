//! What operators learn about one request: a line and metrics when it ends.

use std::{sync::Arc, time::Duration};

use lw_catalog::Kind;
use lw_observe::metrics::{self, OutcomeLabels, RequestLabels};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use crate::state::Edge;

/// Follows one request until its end. A request that is dropped without an end has lost its caller.
#[derive(Debug)]
pub(super) struct Record {
    edge: Arc<Edge>,
    request: RequestId,
    labels: RequestLabels,
    arrived: Now,
    attempts: usize,
    /// When the head of the answer came, and when the caller was given the last piece of it.
    first_byte: Option<Now>,
    last_piece: Option<Now>,
    longest_pause: Duration,
    is_over: bool,
}

impl Record {
    pub fn new(edge: &Arc<Edge>, request: &str, arrived: Now) -> Self {
        Self {
            edge: Arc::clone(edge),
            request: request.to_owned(),
            labels: RequestLabels { workspace: String::new(), class: "unknown" },
            arrived,
            attempts: 0,
            first_byte: None,
            last_piece: None,
            longest_pause: Duration::ZERO,
            is_over: false,
        }
    }

    /// The route and the workspace are known.
    pub fn identified(&mut self, kind: Kind, workspace: Option<&str>) {
        let class = match kind {
            Kind::Idempotent => "idempotent",
            Kind::AtMostOnce => "at_most_once",
            Kind::Stream { resumable: true } => "resumable_stream",
            Kind::Stream { resumable: false } => "stream",
        };
        self.labels = RequestLabels { workspace: workspace.unwrap_or_default().to_owned(), class };
    }

    /// Another attempt was made.
    pub fn attempted(&mut self) {
        self.attempts += 1;
    }

    /// The head of the answer came.
    pub fn first_byte(&mut self) {
        self.first_byte = Some(self.edge.timer.now());
        metrics::time(&self.edge.metrics.first_byte, &self.labels, self.age());
    }

    /// A piece of a stream was passed on.
    pub fn piece(&mut self) {
        let now = self.edge.timer.now();
        if let Some(before) = self.last_piece.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(before));
        }
    }

    fn age(&self) -> Duration {
        self.edge.timer.now().saturating_sub(self.arrived)
    }

    /// The answer of an upstream was passed on as a whole.
    pub fn answered(&mut self, status: u16) {
        metrics::time(&self.edge.metrics.whole, &self.labels, self.age());
        let code = if status < 500 { ResultCode::Ok } else { ResultCode::UpstreamError };
        self.count(code);
        let first = self.first_byte.map_or(Duration::ZERO, |at| at.saturating_sub(self.arrived));
        log::info!(target: "http", request = self.request.as_str(), status = status,
            attempts = self.attempts, ms = millis(self.age()), first_ms = millis(first),
            pause_ms = millis(self.longest_pause), class = self.labels.class,
            workspace = self.labels.workspace.as_str(); "request answered");
    }

    /// The router answered itself.
    pub fn failed(&mut self, failure: &Failure) {
        self.count(failure.code);
        if failure.code.executed() == Executed::No {
            metrics::count(&self.edge.metrics.refusals, failure.code.name());
        }
        let retry_ms = failure.retry_after.map(millis).unwrap_or_default();
        log::warn!(target: "http", request = self.request.as_str(), code = failure.code.number(),
            name = failure.code.name(), ran = failure.code.executed().to_string(),
            attempts = self.attempts, ms = millis(self.age()), retry_after_ms = retry_ms,
            class = self.labels.class, workspace = self.labels.workspace.as_str(),
            why = failure.message.as_str(); "request failed");
    }

    /// The stream broke after these bytes and could not go on.
    pub fn broke(&mut self, why: &str, bytes: u64) {
        self.count(ResultCode::StreamBroken);
        let code = ResultCode::StreamBroken;
        log::warn!(target: "http", request = self.request.as_str(), code = code.number(),
            name = code.name(), attempts = self.attempts, ms = millis(self.age()),
            bytes = bytes, class = self.labels.class,
            workspace = self.labels.workspace.as_str(), why = why; "stream broken off");
    }

    fn count(&mut self, code: ResultCode) {
        self.is_over = true;
        let RequestLabels { workspace, class } = self.labels.clone();
        let labels = OutcomeLabels { workspace, class, code: code.name() };
        self.edge.metrics.requests.get_or_create(&labels).inc();
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let RequestLabels { workspace, class } = self.labels.clone();
        let labels = OutcomeLabels { workspace, class, code: "caller_left" };
        self.edge.metrics.requests.get_or_create(&labels).inc();
        log::info!(target: "http", request = self.request.as_str(), attempts = self.attempts,
            ms = millis(self.age()), class = class,
            workspace = self.labels.workspace.as_str(); "caller left");
    }
}

/// Whole milliseconds of a time, for log lines.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
