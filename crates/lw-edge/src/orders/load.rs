//! Executes one order: pauses the engine, sends the order and polls the engine until it serves the new weights.

use std::{sync::Arc, time::Duration};

use lw_catalog::Upstream;
use lw_observe::{logs::millis, metrics};
use lw_order::{load_watch::LoadWatch, message::Order, tenure::NotSent};
use lw_platform::engine::{Error, LoadOrder, OrderOutcome, SwapMode};
use lw_types::prelude::*;

use super::PAUSE_BEFORE_ORDER;
use crate::{
    peers::{self, Notice},
    state::Edge,
};

/// Time for which one pause notice keeps new work from an engine. Up to three notices in a row may be lost.
pub(super) const PAUSE_TIME: Duration = Duration::from_secs(2);
/// Time between two pause notices. They are repeated during a load for VMs that start, or missed the ones before.
const PAUSE_PERIOD: Duration = Duration::from_millis(500);
/// Time between two polls.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Longest time between two polls of an engine that names a limit.
const POLL_PERIOD_MAX: Duration = Duration::from_secs(1);

/// Executes an order for each model of its engine. Pauses the engine meanwhile and returns when it serves the new
/// weights, or when the order failed.
pub(super) async fn execute(edge: Arc<Edge>, order: Order) {
    let Some(upstream) = edge.store_view().directory.get(&order.engine).cloned() else { return };
    for (model, state) in &order.state.models {
        let served =
            edge.with_upstream_pool(&upstream.service, |pool| pool.version(&upstream.id, model));
        let Ok(version) = state.version.parse() else { continue };
        if served.flatten().is_some_and(|served| served >= version) {
            continue;
        }
        let load = async {
            tokio::time::sleep(PAUSE_BEFORE_ORDER).await;
            if edge.timer.now_including_suspend() >= order.send_before {
                return log_expired(&order);
            }
            send_order(&edge, &upstream, &order, model, version).await;
        };
        tokio::select! {
            () = load => {}
            () = pause(&edge, &upstream.id, model, version) => {}
        }
    }
}

/// Repeats pause notices about an engine. Never returns; the engine gets no new work while this future is polled.
async fn pause(edge: &Edge, upstream: &str, model: &str, version: u64) {
    let notice = Notice::Loading {
        model: model.to_owned(),
        version,
        ms: millis(PAUSE_TIME),
        upstreams: vec![upstream.to_owned()],
    };
    loop {
        peers::apply_own(edge, notice.clone());
        edge.orders.notices.loading(upstream, model, version);
        tokio::time::sleep(PAUSE_PERIOD).await;
    }
}

async fn send_order(
    edge: &Arc<Edge>,
    upstream: &Upstream,
    order: &Order,
    model: &str,
    version: u64,
) {
    let expected_orders = match accepted_orders(edge, upstream).await {
        Ok(orders) => orders,
        Err(e) => {
            log::warn!(target: "order", upstream = upstream.id.as_str(), why = e.to_string();
                "order not sent, the engine does not report its accepted orders");
            return;
        }
    };
    if edge.orders.state().loading.get(&upstream.id) == Some(&true) {
        log::info!(target: "order", upstream = upstream.id.as_str();
            "order not sent, the engine is loading for a former issuer");
        let now = edge.timer.now_including_suspend();
        poll_until_served(edge, upstream, (model, version), now).await;
        return;
    }
    let load = LoadOrder {
        model,
        version,
        swap_mode: SwapMode::Live,
        issuer: &edge.settings.vm,
        fence: order.fence,
        expected_orders,
    };
    let now = edge.timer.now_including_suspend();
    let id = &upstream.id;
    let begun = edge.orders.tenure().begin_order(now, order, edge.store.latest_era());
    match begun {
        Ok(()) => {}
        Err(NotSent::Expired) => return log_expired(order),
        Err(NotSent::TermEnded) => {
            log::info!(target: "order", upstream = id.as_str(), fence = order.fence;
                "order not sent, the lease was released");
            return;
        }
    }
    let result = edge.engines.send_order(upstream.addr, id, &load).await;
    let ended_at = edge.timer.now_including_suspend();
    edge.orders.tenure().end_order(ended_at, order.fence);
    count_and_log_answer(edge, order, (model, version), &result);
    match result {
        Ok(OrderOutcome::Fenced) => {
            edge.orders.tenure().issuer().on_order_refused(now, order.fence);
        }
        Ok(outcome) => {
            edge.orders.record_answer(upstream, outcome, expected_orders);
            let time = poll_until_served(edge, upstream, (model, version), now).await;
            if let Some(time) = time.filter(|_| outcome == OrderOutcome::Accepted) {
                edge.orders.state().load_time = Some(time);
            }
        }
        Err(_) => {
            edge.orders.state().accepted.remove(&incarnation_key(upstream));
            poll_until_served(edge, upstream, (model, version), now).await;
        }
    }
}

fn log_expired(order: &Order) {
    log::warn!(target: "order", upstream = order.engine.as_str(), fence = order.fence;
        "order not sent, its send window has passed");
}

/// Counts and logs an engine's answer to an order.
fn count_and_log_answer(
    edge: &Edge,
    order: &Order,
    (model, version): (&str, u64),
    result: &Result<OrderOutcome, Error>,
) {
    let kind = match result {
        Ok(OrderOutcome::Accepted) => "accepted",
        Ok(OrderOutcome::AlreadyLoaded) => "holds",
        Ok(OrderOutcome::Busy) => "busy",
        Ok(OrderOutcome::Fenced) => "fenced",
        Ok(OrderOutcome::Unknown) => "unknown_order",
        Ok(OrderOutcome::OtherUpstream) => "elsewhere",
        Err(_) => "no_answer",
    };
    metrics::increment(&edge.metrics.orders, kind);
    let outcome = match result {
        Ok(outcome) => outcome.to_string(),
        Err(e) => e.to_string(),
    };
    log::info!(target: "order", upstream = order.engine.as_str(), model = model,
        weights = version, fence = order.fence, outcome = outcome.as_str(); "order sent");
}

/// Returns the key of an engine's current incarnation.
pub(super) fn incarnation_key(upstream: &Upstream) -> (UpstreamId, Incarnation) {
    (upstream.id.clone(), upstream.incarnation)
}

/// Returns how many orders an engine has accepted in its current incarnation. Requests a report from the engine unless
/// this VM has counted them all.
async fn accepted_orders(edge: &Edge, upstream: &Upstream) -> Result<u64, Error> {
    let counted = edge.orders.state().accepted.get(&incarnation_key(upstream)).copied();
    if let Some(orders) = counted {
        return Ok(orders);
    }
    let report = edge.engines.fetch_report(upstream.addr, &upstream.id).await?;
    edge.orders.state().loading.insert(upstream.id.clone(), report.is_loading);
    Ok(report.accepted_orders)
}

/// Polls an engine until it serves the new weights, the load has ended without them or takes too long. Returns the time of
/// the load since `ordered_at`, if the polls show it.
async fn poll_until_served(
    edge: &Arc<Edge>,
    upstream: &Upstream,
    (model, version): (&str, u64),
    ordered_at: Now,
) -> Option<Duration> {
    let now = edge.timer.now_including_suspend();
    let mut watch = LoadWatch::new(ordered_at, now, edge.orders.state().load_time);
    tokio::time::sleep(watch.next_poll_at().saturating_sub(now)).await;
    let until = edge.timer.now() + edge.orders.options.load_time_max;
    while edge.timer.now() < until && edge.store_view().directory.get(&upstream.id).is_some() {
        match edge.engines.fetch_report(upstream.addr, &upstream.id).await {
            Ok(report) => {
                edge.orders.state().loading.insert(upstream.id.clone(), report.is_loading);
                let loaded = report.models.iter().find(|loaded| loaded.model == model);
                if let Some(loaded) = loaded.filter(|loaded| loaded.version >= version) {
                    log::info!(target: "order", upstream = upstream.id.as_str(), model = model,
                        weights = loaded.version; "engine serves new weights");
                    edge.orders.state().loading.remove(&upstream.id);
                    let notice = Notice::Loaded {
                        model: model.to_owned(),
                        version: loaded.version,
                        upstreams: vec![upstream.id.clone()],
                    };
                    peers::apply_own(edge, notice);
                    edge.orders.notices.loaded(&upstream.id, model, loaded.version);
                    return watch.load_time(edge.timer.now_including_suspend());
                }
                if !report.is_loading {
                    return None;
                }
                let now = edge.timer.now_including_suspend();
                watch.on_loading(now, now + poll_period(edge, upstream));
            }
            Err(e) => log::debug!(target: "order", upstream = upstream.id.as_str(),
                why = e.to_string(); "engine does not answer a poll"),
        }
        tokio::time::sleep(poll_period(edge, upstream)).await;
    }
    edge.orders.state().loading.remove(&upstream.id);
    None
}

/// Returns the time between two polls of an engine. Polls count towards a limit that it names.
fn poll_period(edge: &Edge, upstream: &Upstream) -> Duration {
    let limit =
        edge.with_upstream_pool(&upstream.service, |pool| pool.limit(&upstream.id)).flatten();
    let period = limit.and_then(|(limit, _)| Duration::try_from_secs_f64(1.0 / limit).ok());
    period.map_or(POLL_PERIOD, |period| period.clamp(POLL_PERIOD, POLL_PERIOD_MAX))
}
