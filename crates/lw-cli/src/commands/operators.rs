//! Answers to operators as text.

use std::time::Duration;

use lw_protocol::operator::{ConfigAnswer, Explanation, Histogram, History, Status};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::pretty;
use crate::{args::Action, table};

/// Longest wait for an operators' call; a change of the configuration waits for the platform's store.
pub(super) const TIMEOUT: Duration = Duration::from_secs(15);

/// The text of an answer, or its JSON when it has another form than expected.
pub(super) fn text(action: &Action, answer: &Value) -> String {
    match action {
        Action::ConfigShow => with(answer, |answer| config(&answer)),
        Action::ConfigApply { .. } => {
            with(answer, |answer: ConfigAnswer| format!("accepted as version {}\n", answer.version))
        }
        Action::ConfigHistory => with(answer, |answer| history(&answer)),
        Action::Status => with(answer, |answer| status(&answer)),
        Action::Explain(_) => with(answer, |answer| explanation(&answer)),
        Action::Drain => with(answer, |status: Status| {
            format!("{} is {}, {} requests in flight\n", status.vm, status.state, status.in_flight)
        }),
    }
}

fn with<T: DeserializeOwned>(answer: &Value, text: impl FnOnce(T) -> String) -> String {
    match serde_json::from_value(answer.clone()) {
        Ok(parsed) => text(parsed),
        Err(_) => pretty(answer),
    }
}

fn config(answer: &ConfigAnswer) -> String {
    let kind = if answer.provisional { " (provisional, from the bootstrap document)" } else { "" };
    let document =
        serde_saphyr::to_string(&answer.document).unwrap_or_else(|_| pretty(&answer.document));
    format!("# version {}{kind}\n{document}", answer.version)
}

fn history(history: &History) -> String {
    if history.patches.is_empty() {
        return "no patches are kept\n".to_owned();
    }
    let rows: Vec<_> = history
        .patches
        .iter()
        .map(|patch| vec![patch.version.to_string(), patch.patch.to_string()])
        .collect();
    table::format(&["VERSION", "PATCH"], &rows)
}

fn explanation(explanation: &Explanation) -> String {
    let rows: Vec<_> = explanation
        .steps
        .iter()
        .map(|step| vec![step.at_ms.to_string(), step.what.clone()])
        .collect();
    let steps = table::format(&["MS", "DECISION"], &rows);
    format!("request {}\n{steps}", explanation.request)
}

fn status(status: &Status) -> String {
    let Status { vm, failure_domain, state, version, in_flight, .. } = status;
    let provisional = if status.provisional { " (provisional)" } else { "" };
    format!(
        "VM {vm} in {failure_domain}: {state}, configuration {version}{provisional}, \
         {in_flight} requests in flight\n\n{}\n{}\n{}",
        peers(status),
        upstreams(status),
        histograms(&status.histograms),
    )
}

fn peers(status: &Status) -> String {
    let row = |peer: &lw_protocol::operator::PeerStatus| {
        let version = peer.version.to_string();
        vec![peer.vm.clone(), peer.failure_domain.clone(), peer.state.clone(), version]
    };
    let rows: Vec<_> = status.peers.iter().map(row).collect();
    section("no peers", &["PEER", "DOMAIN", "STATE", "VERSION"], &rows)
}

fn upstreams(status: &Status) -> String {
    let row = |upstream: &lw_protocol::operator::UpstreamStatus| {
        vec![
            upstream.id.clone(),
            upstream.kind.clone(),
            upstream.address.clone(),
            if upstream.chosen { "yes" } else { "no" }.to_owned(),
            upstream.in_flight.to_string(),
            upstream.why.clone(),
        ]
    };
    let rows: Vec<_> = status.upstreams.iter().map(row).collect();
    let header = ["UPSTREAM", "KIND", "ADDRESS", "CHOSEN", "IN FLIGHT", "WHY"];
    section("no upstreams", &header, &rows)
}

fn histograms(histograms: &[Histogram]) -> String {
    let row = |h: &Histogram| {
        let mut row =
            vec![h.workspace.clone(), h.class.clone(), h.measure.clone(), h.count.to_string()];
        row.extend([h.p50_ms, h.p95_ms, h.p99_ms, h.max_ms].map(|ms| format!("{ms:.1}")));
        row
    };
    let rows: Vec<_> = histograms.iter().map(row).collect();
    let header = ["WORKSPACE", "CLASS", "MEASURE", "COUNT", "P50 MS", "P95 MS", "P99 MS", "MAX MS"];
    section("no requests measured", &header, &rows)
}

fn section(none: &str, header: &[&str], rows: &[Vec<String>]) -> String {
    if rows.is_empty() { format!("{none}\n") } else { table::format(header, rows) }
}
