//! One order to one engine, and the questions until the engine serves the new weights.

use std::{sync::Arc, time::Duration};

use lw_catalog::Upstream;
use lw_observe::metrics;
use lw_order::message::Order;
use lw_platform::engine::{Error, LoadOrder, OrderOutcome, SwapMode};
use lw_types::prelude::*;

use super::QUIET_TIME;
use crate::{
    peers::{self, News},
    state::Edge,
};

/// Time for which a message keeps new work from an engine. Three of them may be lost.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time between two such messages during a load, so that VMs that start or come back hear of it.
const HOLD_PERIOD: Duration = Duration::from_millis(500);
/// Least time after an order before its engine is asked for the first time whether it serves the new weights. Later
/// on it is the time that the last load took.
const FIRST_POLL: Duration = Duration::from_millis(500);
/// Time between two such questions.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Lets an engine go quiet, gives it the order and asks until it serves the new weights.
pub(super) async fn send(edge: Arc<Edge>, order: Order) {
    let Some(upstream) = edge.known().directory.get(&order.engine).cloned() else { return };
    for (model, state) in &order.state.models {
        let known = edge.with_fleet(&upstream.service, |fleet| fleet.version(&upstream.id, model));
        let Ok(version) = state.version.parse() else { continue };
        if known.flatten() == Some(version) {
            continue;
        }
        let load = async {
            tokio::time::sleep(QUIET_TIME).await;
            if edge.timer.now_suspended() >= order.send_before {
                return late(&order);
            }
            give(&edge, &upstream, &order, model, version).await;
        };
        tokio::select! {
            () = load => {}
            () = hold(&edge, &upstream.id, model, version) => {}
        }
    }
}

/// Keeps new work from an engine for as long as this is polled.
async fn hold(edge: &Edge, upstream: &str, model: &str, version: u64) {
    let ms = u64::try_from(HOLD_TIME.as_millis()).unwrap_or(u64::MAX);
    loop {
        let (upstream, model) = (upstream.to_owned(), model.to_owned());
        peers::tell(edge, News::Hold { upstream, model, version, ms });
        tokio::time::sleep(HOLD_PERIOD).await;
    }
}

async fn give(edge: &Arc<Edge>, upstream: &Upstream, order: &Order, model: &str, version: u64) {
    let expected_orders = match accepted_orders(edge, upstream).await {
        Ok(orders) => orders,
        Err(e) => {
            log::warn!(target: "order", upstream = upstream.id.as_str(), why = e.to_string();
                "engine gets no order");
            return;
        }
    };
    if edge.orders.state().loading.get(&upstream.id) == Some(&true) {
        log::info!(target: "order", upstream = upstream.id.as_str();
            "engine carries out an order of a former issuer");
        poll(edge, upstream, model, version).await;
        return;
    }
    if edge.timer.now_suspended() >= order.send_before {
        return late(order);
    }
    let load = LoadOrder {
        model,
        version,
        swap_mode: SwapMode::Live,
        issuer: &edge.settings.vm,
        fence: order.fence,
        expected_orders,
    };
    let now = edge.timer.now_suspended();
    let id = &upstream.id;
    // The lease may have been given back since the decision, and another VM may act on it.
    if !edge.orders.begin_order(now, order.fence) {
        log::info!(target: "order", upstream = id.as_str(), fence = order.fence;
            "order not sent, the lease was given back");
        return;
    }
    let result = edge.engines.send_order(upstream.addr, id, &load).await;
    edge.orders.end_order(edge.timer.now_suspended(), order.fence);
    tell_order(edge, order, (model, version), &result);
    match result {
        Ok(OrderOutcome::Fenced) => edge.orders.issuer().on_order_refused(now, order.fence),
        Ok(reaction) => {
            edge.orders.answered(upstream, reaction, expected_orders);
            if poll(edge, upstream, model, version).await && reaction == OrderOutcome::Accepted {
                edge.orders.loaded(edge.timer.now_suspended().saturating_sub(now));
            }
        }
        Err(_) => {
            edge.orders.state().accepted.remove(&run_of(upstream));
            poll(edge, upstream, model, version).await;
        }
    }
}

fn late(order: &Order) {
    log::warn!(target: "order", upstream = order.engine.as_str(), fence = order.fence;
        "order not sent, its time has passed");
}

/// Says what an engine answered to an order, and counts it.
fn tell_order(
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
    metrics::count(&edge.metrics.orders, kind);
    let outcome = match result {
        Ok(reaction) => reaction.to_string(),
        Err(e) => e.to_string(),
    };
    log::info!(target: "order", upstream = order.engine.as_str(), model = model,
        weights = version, fence = order.fence, outcome = outcome.as_str(); "order given");
}

/// One run of an engine.
pub(super) fn run_of(upstream: &Upstream) -> (UpstreamId, Incarnation) {
    (upstream.id.clone(), upstream.incarnation)
}

/// Orders that an engine has accepted in this run, asked for unless all of them are this VM's own.
async fn accepted_orders(edge: &Edge, upstream: &Upstream) -> Result<u64, Error> {
    let known = edge.orders.state().accepted.get(&run_of(upstream)).copied();
    if let Some(orders) = known {
        return Ok(orders);
    }
    let report = edge.engines.fetch_report(upstream.addr, &upstream.id).await?;
    edge.orders.state().loading.insert(upstream.id.clone(), report.is_loading);
    Ok(report.accepted_orders)
}

/// Asks an engine until it serves the new weights; returns whether it does.
async fn poll(edge: &Arc<Edge>, upstream: &Upstream, model: &str, version: u64) -> bool {
    let load_time = edge.orders.state().load_time;
    tokio::time::sleep(load_time.map_or(FIRST_POLL, |time| time.max(FIRST_POLL))).await;
    let until = edge.timer.now() + edge.orders.options.load_time_max;
    while edge.timer.now() < until && edge.known().directory.get(&upstream.id).is_some() {
        match edge.engines.fetch_report(upstream.addr, &upstream.id).await {
            Ok(report) => {
                edge.orders.state().loading.insert(upstream.id.clone(), report.is_loading);
                let loaded = report.models.iter().find(|loaded| loaded.model == model);
                if let Some(loaded) = loaded.filter(|loaded| loaded.version >= version) {
                    let news = News::Serves {
                        upstream: upstream.id.clone(),
                        model: model.to_owned(),
                        version: loaded.version,
                    };
                    log::info!(target: "order", upstream = upstream.id.as_str(), model = model,
                        weights = loaded.version; "engine serves new weights");
                    edge.orders.state().loading.remove(&upstream.id);
                    peers::tell(edge, news);
                    return true;
                }
                if !report.is_loading {
                    return false;
                }
            }
            Err(e) => log::debug!(target: "order", upstream = upstream.id.as_str(),
                why = e.to_string(); "engine does not report"),
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    edge.orders.state().loading.remove(&upstream.id);
    false
}
