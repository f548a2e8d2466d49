//! What operators ask a VM: metrics as text, its status, and what it decided on one request.

use std::{convert::Infallible, sync::Arc};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use lw_observe::{
    logs,
    metrics::{KindLabel, ServiceLabel},
};
use lw_protocol::operator::{Explanation, PeerStatus, Status, Step, UpstreamStatus};
use lw_types::prelude::*;
use serde::Serialize;

use crate::{
    serve::{Answer, full_body, millis},
    state::Edge,
};

/// Answers one question of an operator or scraper.
///
/// # Errors
///
/// Never.
#[expect(clippy::unused_async, reason = "it serves connections like the answers to callers")]
pub async fn answer(edge: Arc<Edge>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let path = req.uri().path();
    Ok(match (req.method(), path) {
        (&Method::GET, "/metrics") => {
            refresh(&edge);
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

fn respond(status: StatusCode, kind: &'static str, body: String) -> Answer {
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
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
        edge.logs.explain(request).iter().filter_map(|line| logs::parse(line)).collect();
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

/// Brings the gauges up to date.
fn refresh(edge: &Edge) {
    let metrics = &edge.metrics;
    let as_gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
    let known = edge.known();
    let age = known.age(edge.timer.now_suspended()).map_or(-1, |age| as_gauge(millis(age)));
    metrics.knowledge_age_ms.set(age);
    metrics.config_version.set(known.catalog().map_or(0, |catalog| as_gauge(catalog.version)));
    drop(known);
    metrics.issuer_fence.set(edge.orders.fence().map_or(0, as_gauge));
    metrics.in_flight.set(as_gauge(u64::try_from(edge.in_flight()).unwrap_or(u64::MAX)));
    let now = edge.timer.now();
    for (service, fleet) in edge.fleets().iter() {
        let label = ServiceLabel { service: service.clone() };
        let ready = u64::try_from(fleet.ready()).unwrap_or(u64::MAX);
        metrics.ready_upstreams.get_or_create(&label).set(as_gauge(ready));
    }
    for (service, left) in edge.retries_left(now) {
        metrics.retries_left.get_or_create(&ServiceLabel { service }).set(as_gauge(left));
    }
    let left_out = edge.logs.left_out();
    for (kind, lines) in [("successes", left_out.successes), ("failures", left_out.failures)] {
        metrics.log_left_out.get_or_create(&KindLabel { kind }).set(as_gauge(lines));
    }
}

fn status(edge: &Edge) -> Status {
    let known = edge.known();
    let state = match (edge.is_leaving(), known.catalog()) {
        (true, _) => "leaving",
        (false, None) => "starting",
        (false, Some(_)) => "serving",
    };
    let version = known.catalog().map_or(0, |catalog| catalog.version);
    let peers = known.vms().filter(|(vm, _)| **vm != edge.settings.vm).map(|(vm, entry)| {
        let (vm, failure_domain) = (vm.clone(), entry.failure_domain.clone());
        PeerStatus { vm, failure_domain, state: "registered".into(), version: 0 }
    });
    let peers = peers.collect();
    drop(known);
    Status {
        vm: edge.settings.vm.clone(),
        failure_domain: edge.settings.failure_domain.clone(),
        state: state.to_owned(),
        version,
        provisional: false,
        in_flight: u64::try_from(edge.in_flight()).unwrap_or(u64::MAX),
        peers,
        upstreams: upstreams(edge),
        histograms: Vec::new(),
    }
}

fn upstreams(edge: &Edge) -> Vec<UpstreamStatus> {
    let now = edge.timer.now();
    let fleets = edge.fleets();
    let all = fleets.values().flat_map(|fleet| fleet.survey(now));
    let mut all: Vec<_> = all
        .map(|seen| UpstreamStatus {
            id: seen.id,
            kind: if seen.weights.is_empty() { "service" } else { "engine" }.to_owned(),
            address: seen.addr.to_string(),
            chosen: seen.is_open,
            why: seen.why,
            in_flight: u64::try_from(seen.in_flight).unwrap_or(u64::MAX),
        })
        .collect();
    all.sort_by(|a, b| a.id.cmp(&b.id));
    all
}
