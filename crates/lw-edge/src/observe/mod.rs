//! HTTP interface of a VM for operators: metrics as text, the VM's status, and its decisions on one request.

use std::{convert::Infallible, sync::Arc};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use lw_observe::{
    logs::{self, millis},
    metrics::{KindLabel, ServiceLabel, ServiceQuantileLabels, as_gauge},
};
use lw_protocol::operator::{
    Explanation, PeerStatus, QuarantineStatus, Status, Step, UpstreamStatus,
};
use lw_types::prelude::*;
use serde::Serialize;

use crate::{
    answer::{Answer, full_body},
    intake,
    state::Edge,
};

/// Answers one request of an operator or of a metrics scraper.
///
/// # Errors
///
/// Returns no error; failures are HTTP statuses.
#[expect(clippy::unused_async, reason = "the listener accepts only async handlers")]
pub async fn answer(edge: Arc<Edge>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let path = req.uri().path();
    Ok(match (req.method(), path) {
        (&Method::GET, "/metrics") => {
            update_gauges(&edge);
            respond(StatusCode::OK, "text/plain; version=0.0.4", edge.metrics.text())
        }
        (&Method::GET, "/op/status") => json(&status(&edge)),
        (&Method::GET, _) => match path.strip_prefix("/op/explain/") {
            Some(request) => explanation(&edge, request),
            None => respond(StatusCode::NOT_FOUND, "text/plain", "no such path\n".into()),
        },
        _ => respond(StatusCode::METHOD_NOT_ALLOWED, "text/plain", "only GET\n".into()),
    })
}

fn respond(status: StatusCode, content_type: &'static str, body: String) -> Answer {
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_string(value) {
        Ok(body) => respond(StatusCode::OK, "application/json", body),
        Err(e) => respond(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", e.to_string()),
    }
}

fn explanation(edge: &Edge, request: &str) -> Answer {
    let lines: Vec<_> =
        edge.logs.lines_of_request(request).iter().filter_map(|line| logs::parse(line)).collect();
    if lines.is_empty() {
        let failure = lw_protocol::caller::Failure::new(
            ResultCode::UnknownRequest,
            "no recent line of this VM names the request",
        );
        return respond(StatusCode::NOT_FOUND, "application/json", failure.body().to_string());
    }
    let steps = logs::steps(&lines).into_iter().map(|(at_ms, what)| Step { at_ms, what });
    json(&Explanation { request: request.to_owned(), steps: steps.collect() })
}

fn update_gauges(edge: &Edge) {
    let metrics = &edge.metrics;
    let view = edge.store_view();
    // -1 if the store was not read yet.
    let age_ms =
        view.age(edge.timer.now_including_suspend()).map_or(-1, |age| as_gauge(millis(age)));
    metrics.store_view_age_ms.set(age_ms);
    metrics.store_era.set(as_gauge(edge.store.latest_era()));
    metrics.config_version.set(view.catalog().map_or(0, |catalog| as_gauge(catalog.version)));
    drop(view);
    metrics.issuer_fence.set(edge.orders.fence().map_or(0, as_gauge));
    metrics.in_flight.set(as_gauge(edge.in_flight()));
    intake::update_gauges(metrics, &edge.caller_memory, &edge.closed_connections);
    let now = edge.timer.now();
    for (service, pool) in edge.upstream_pools().iter() {
        let label = ServiceLabel { service: service.clone() };
        let ready = pool.ready_count();
        metrics.ready_upstreams.get_or_create(&label).set(as_gauge(ready));
        let limited = pool.limited_count();
        metrics.limited_upstreams.get_or_create(&label).set(as_gauge(limited));
        if let Some((p50, p95)) = pool.estimate_errors() {
            for (quantile, ratio) in [("0.5", p50), ("0.95", p95)] {
                let labels = ServiceQuantileLabels { service: service.clone(), quantile };
                metrics.estimate_error.get_or_create(&labels).set(percent(ratio));
            }
        }
    }
    for (service, engines) in edge.admission.capacities() {
        #[expect(clippy::cast_possible_truncation, reason = "a service has few engines")]
        let millis = (engines * 1_000.0) as i64;
        metrics.capacity.get_or_create(&ServiceLabel { service }).set(millis);
    }
    for (service, left) in edge.retries_left(now) {
        metrics.retries_left.get_or_create(&ServiceLabel { service }).set(as_gauge(left));
    }
    let sets = edge.quarantine.lock().sets(edge.timer.now_including_suspend()).count();
    let slots = edge.quota.slot_count();
    metrics.quota_slots.set(as_gauge(slots));
    metrics.quarantined_sets.set(as_gauge(sets));
    let dropped = edge.logs.dropped_lines();
    for (kind, lines) in [("successes", dropped.successes), ("failures", dropped.failures)] {
        metrics.dropped_log_lines.get_or_create(&KindLabel { kind }).set(as_gauge(lines));
    }
}

/// Returns a ratio in percent. The quantiles of errors are bounded.
#[expect(clippy::cast_possible_truncation, reason = "bounded far below 2^52")]
fn percent(ratio: f64) -> i64 {
    (ratio * 100.0).round() as i64
}

fn status(edge: &Edge) -> Status {
    let view = edge.store_view();
    let state = match (edge.is_leaving(), view.catalog()) {
        (true, _) => "leaving",
        (false, None) => "starting",
        (false, Some(_)) => "serving",
    };
    let version = view.catalog().map_or(0, |catalog| catalog.version);
    let peers = view.vms().filter(|(vm, _)| **vm != edge.settings.vm).map(|(vm, entry)| {
        let (vm, failure_domain) = (vm.clone(), entry.failure_domain.clone());
        PeerStatus { vm, failure_domain, state: "registered".into(), version: 0 }
    });
    let peers = peers.collect();
    drop(view);
    Status {
        vm: edge.settings.vm.clone(),
        failure_domain: edge.settings.failure_domain.clone(),
        state: state.to_owned(),
        version,
        provisional: false,
        in_flight: u64::try_from(edge.in_flight()).unwrap_or(u64::MAX),
        peers,
        upstreams: upstream_statuses(edge),
        histograms: Vec::new(),
        quarantined: quarantine_statuses(edge),
    }
}

fn quarantine_statuses(edge: &Edge) -> Vec<QuarantineStatus> {
    let quarantine = edge.quarantine.lock();
    let sets = quarantine.sets(edge.timer.now_including_suspend());
    let mut statuses: Vec<_> = sets
        .map(|(set, left)| QuarantineStatus { segments: set.to_string(), left_ms: millis(left) })
        .collect();
    statuses.sort_by(|a, b| a.segments.cmp(&b.segments));
    statuses
}

fn upstream_statuses(edge: &Edge) -> Vec<UpstreamStatus> {
    let now = edge.timer.now();
    let pools = edge.upstream_pools();
    let candidates = pools.values().flat_map(|pool| pool.candidates(now));
    let mut statuses: Vec<_> = candidates
        .map(|candidate| UpstreamStatus {
            id: candidate.id,
            kind: if candidate.weights.is_empty() { "service" } else { "engine" }.to_owned(),
            address: candidate.addr.to_string(),
            chosen: candidate.is_open,
            why: candidate.reason,
            in_flight: u64::try_from(candidate.in_flight).unwrap_or(u64::MAX),
        })
        .collect();
    statuses.sort_by(|a, b| a.id.cmp(&b.id));
    statuses
}
