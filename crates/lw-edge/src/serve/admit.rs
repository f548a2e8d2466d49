//! Admission of a request before its first attempt.

use std::time::Duration;

use lw_limit::admission::overload::{Arrival, Decision, Key, Level};
use lw_observe::{logs::millis, metrics::AdmissionLabels};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use super::Call;
use crate::{admission::level_name, state::Edge};

/// Returns what admission needs to know about a request; none if its service has no engines, or admission is off.
fn arrival(edge: &Edge, call: &Call) -> Option<Arrival> {
    let prompt = call.prompt.as_ref().filter(|_| edge.settings.limits_overload)?;
    let workspace = call.workspace.as_deref();
    let level = Level {
        workspace: workspace.and_then(|w| w.priority).unwrap_or(call.route.priority),
        route: call.route.priority,
    };
    let work = |pool: &mut lw_place::UpstreamPool| pool.expected_work_ms(prompt);
    Some(Arrival {
        id_hash: call.id_hash,
        key: Key::new(workspace.map_or("", |workspace| workspace.name.as_str()), level),
        work_ms: edge.with_upstream_pool(&call.service, work)?,
        target_latency: call.route.target_latency,
        time_left: call.due.saturating_sub(edge.timer.now()),
    })
}

/// Admits a request to the engines of its service, or refuses it.
pub(super) fn admit(edge: &Edge, call: &Call) -> Result<(), Failure> {
    let Some(arrival) = arrival(edge, call) else { return Ok(()) };
    let now = edge.timer.now();
    let (decision, inputs) = edge.admission.decide(now, &call.service, &arrival);
    let Decision::Refused { retry_after } = decision else {
        count(edge, "admitted", &arrival);
        return Ok(());
    };
    count(edge, "share", &arrival);
    let pressure = inputs.pressure;
    log::warn!(target: "route", request = call.head.request.as_str(),
        service = call.service.as_str(), level = level_name(arrival.key.level),
        work_ms = arrival.work_ms, left_ms = millis(arrival.time_left),
        retry_after_ms = millis(retry_after), fraction = inputs.fraction,
        wait_ms = millis(pressure.wait), engines = pressure.engines, slots = pressure.slots,
        taken = pressure.taken, waiting = pressure.waiting,
        recorded_ms = millis(now.saturating_sub(inputs.recorded_at)),
        reports_ms = millis(pressure.age), capacity = inputs.capacity, offered = inputs.offered,
        vms = inputs.sampled; "request not admitted");
    let text = "the engines cannot serve all requests in time, and the share of this one is used";
    Err(Failure::new(ResultCode::Overloaded, text).retry_after(retry_after))
}

/// Returns when the caller of a request may return that would wait too long now, and counts the refusal.
pub(super) fn retry_after(edge: &Edge, call: &Call, wait: Duration) -> Duration {
    let now = edge.timer.now();
    arrival(edge, call).map_or(wait, |arrival| {
        count(edge, "wait", &arrival);
        edge.admission.retry_after(now, &call.service, &arrival)
    })
}

fn count(edge: &Edge, outcome: &'static str, arrival: &Arrival) {
    let labels = AdmissionLabels { outcome, level: level_name(arrival.key.level) };
    edge.metrics.admission.get_or_create(&labels).inc();
}
