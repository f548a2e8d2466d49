//! The decisions on a request from saved log lines.

use lw_observe::logs;
use lw_protocol::operator::{Explanation, Step};
use serde_json::Value;

use crate::remote;

/// The explanation that log lines of one or more VMs give, in the order of their times.
pub(super) fn explain(text: &str, request: &str) -> Result<Value, remote::Error> {
    let mut lines: Vec<_> = text
        .lines()
        .filter_map(logs::parse)
        .filter(|line| line.field("request") == Some(request))
        .collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    if lines.is_empty() {
        return Err(remote::Error::Refused(format!("no line names the request {request}")));
    }
    let steps = logs::steps(&lines).into_iter().map(|(at_ms, what)| Step { at_ms, what });
    let explanation = Explanation { request: request.to_owned(), steps: steps.collect() };
    serde_json::to_value(explanation).map_err(|e| remote::Error::Refused(e.to_string()))
}
