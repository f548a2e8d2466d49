//! Formats the answers to operators' commands as text.

use std::time::Duration;

use lw_protocol::operator::{ConfigAnswer, Explanation, Histogram, History, Status};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::format_json;
use crate::{args::OperatorCommand, table};

/// Timeout of an operator's call; long, since a configuration change waits for the platform's store.
pub(super) const TIMEOUT: Duration = Duration::from_secs(15);

/// Returns an answer as text, or as JSON when it does not have the command's answer type.
pub(super) fn format_answer(command: &OperatorCommand, answer: &Value) -> String {
    match command {
        OperatorCommand::ConfigShow => parse_and_format(answer, |answer| format_config(&answer)),
        OperatorCommand::ConfigApply { .. } => parse_and_format(answer, |answer: ConfigAnswer| {
            format!("accepted as version {}\n", answer.version)
        }),
        OperatorCommand::ConfigHistory => {
            parse_and_format(answer, |answer| format_history(&answer))
        }
        OperatorCommand::Status => parse_and_format(answer, |answer| format_status(&answer)),
        OperatorCommand::Explain(_) => {
            parse_and_format(answer, |answer| format_explanation(&answer))
        }
        OperatorCommand::Drain => parse_and_format(answer, |status: Status| {
            format!("{} is {}, {} requests in flight\n", status.vm, status.state, status.in_flight)
        }),
    }
}

fn parse_and_format<T: DeserializeOwned>(
    answer: &Value,
    format_text: impl FnOnce(T) -> String,
) -> String {
    match serde_json::from_value(answer.clone()) {
        Ok(parsed) => format_text(parsed),
        Err(_) => format_json(answer),
    }
}

fn format_config(answer: &ConfigAnswer) -> String {
    let kind = if answer.provisional { " (provisional, from the bootstrap document)" } else { "" };
    let document =
        serde_saphyr::to_string(&answer.document).unwrap_or_else(|_| format_json(&answer.document));
    format!("# version {}{kind}\n{document}", answer.version)
}

fn format_history(history: &History) -> String {
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

fn format_explanation(explanation: &Explanation) -> String {
    let rows: Vec<_> = explanation
        .steps
        .iter()
        .map(|step| vec![step.at_ms.to_string(), step.what.clone()])
        .collect();
    let steps = table::format(&["MS", "DECISION"], &rows);
    format!("request {}\n{steps}", explanation.request)
}

fn format_status(status: &Status) -> String {
    let Status { vm, failure_domain, state, version, in_flight, .. } = status;
    let provisional = if status.provisional { " (provisional)" } else { "" };
    format!(
        "VM {vm} in {failure_domain}: {state}, configuration {version}{provisional}, \
         {in_flight} requests in flight\n\n{}\n{}\n{}{}",
        format_peers(status),
        format_upstreams(status),
        format_histograms(&status.histograms),
        format_quarantine(status),
    )
}

fn format_quarantine(status: &Status) -> String {
    if status.quarantined.is_empty() {
        return String::new();
    }
    let row = |set: &lw_protocol::operator::QuarantineStatus| {
        vec![set.segments.clone(), format!("{}", set.left_ms / 1000)]
    };
    let rows: Vec<_> = status.quarantined.iter().map(row).collect();
    format!("\n{}", table::format(&["QUARANTINED SEGMENTS", "SECONDS LEFT"], &rows))
}

fn format_peers(status: &Status) -> String {
    let row = |peer: &lw_protocol::operator::PeerStatus| {
        let version = peer.version.to_string();
        vec![peer.vm.clone(), peer.failure_domain.clone(), peer.state.clone(), version]
    };
    let rows: Vec<_> = status.peers.iter().map(row).collect();
    format_table("no peers", &["PEER", "DOMAIN", "STATE", "VERSION"], &rows)
}

fn format_upstreams(status: &Status) -> String {
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
    format_table("no upstreams", &header, &rows)
}

fn format_histograms(histograms: &[Histogram]) -> String {
    let row = |h: &Histogram| {
        let mut row =
            vec![h.workspace.clone(), h.class.clone(), h.measure.clone(), h.count.to_string()];
        row.extend([h.p50_ms, h.p95_ms, h.p99_ms, h.max_ms].map(|ms| format!("{ms:.1}")));
        row
    };
    let rows: Vec<_> = histograms.iter().map(row).collect();
    let header = ["WORKSPACE", "CLASS", "MEASURE", "COUNT", "P50 MS", "P95 MS", "P99 MS", "MAX MS"];
    format_table("no requests measured", &header, &rows)
}

fn format_table(empty_text: &str, header: &[&str], rows: &[Vec<String>]) -> String {
    if rows.is_empty() { format!("{empty_text}\n") } else { table::format(header, rows) }
}
