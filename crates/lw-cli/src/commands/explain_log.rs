//! Extracts the decisions on a request from saved log lines.

use lw_observe::logs;
use lw_protocol::operator::{Explanation, Step};
use serde_json::Value;

use crate::client;

/// Returns the decisions in the log lines of one or more VMs, in the order of their times.
pub(super) fn explain(text: &str, request: &str) -> Result<Value, client::Error> {
    let mut lines: Vec<_> = text
        .lines()
        .filter_map(logs::parse)
        .filter(|line| line.field("request") == Some(request))
        .collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    if lines.is_empty() {
        return Err(client::Error::Refused(format!("no log line has the request id {request}")));
    }
    let steps = logs::steps(&lines).into_iter().map(|(at_ms, what)| Step { at_ms, what });
    let explanation = Explanation { request: request.to_owned(), steps: steps.collect() };
    serde_json::to_value(explanation).map_err(|e| client::Error::Refused(e.to_string()))
}
