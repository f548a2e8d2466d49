//! Limits that upstreams name: updates this VM's shares of them, announces them to the other VMs and asks these for turns.

use std::{sync::Arc, time::Duration};

use lw_limit::upstream::FleetSize;
use lw_place::{Fleet, LimitReport, TurnRequest};

use crate::{
    peers::{self, Announcement},
    register,
    state::Edge,
};

/// Time between two updates of the shares.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);
/// Updates after a start in which a VM asks the others for limits. One may not be enough, since messages may be lost.
const REQUESTS: u32 = 20;
/// Updates between two such requests.
const REQUEST_UPDATES: u32 = 4;

/// Keeps the shares up to date until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(UPDATE_PERIOD);
    let mut fleet_size = FleetSize::default();
    let mut updates: u32 = 0;
    loop {
        ticks.tick().await;
        if updates < REQUESTS && edge.datagrams().is_some() {
            if updates.is_multiple_of(REQUEST_UPDATES) {
                peers::request_limits(&edge);
            }
            updates += 1;
        }
        let (reports, requests) = update_shares(&edge, &mut fleet_size);
        for request in &requests {
            peers::ask_for_turn(&edge, request);
        }
        if !reports.is_empty() {
            peers::announce(&edge, Announcement::Limits(edge.timer.now(), &reports));
        }
    }
}

/// Updates the shares. Returns what is to be announced, and requests for turns.
fn update_shares(edge: &Edge, fleet_size: &mut FleetSize) -> (Vec<LimitReport>, Vec<TurnRequest>) {
    let now = edge.timer.now();
    let view = edge.store_view();
    let size = fleet_size.record(now, view.vms().count());
    let mut pools = edge.upstream_pools();
    let is_limited = pools.values().any(|pool| pool.limited_count() > 0);
    // Announcements of limits that have ended need no view of the fleet.
    let vms: Vec<_> = view
        .vms()
        .filter(|_| is_limited)
        .map(|(vm, entry)| (vm.as_str(), entry.failure_domain.as_str()))
        .collect();
    let age = view.age(edge.timer.now_including_suspend());
    let is_stale = age.is_none_or(|age| age > register::LEASE_TIME);
    let fleet = Fleet { own: &edge.settings.vm, vms: &vms, size, is_stale };
    let (mut reports, mut requests) = (Vec::new(), Vec::new());
    for pool in pools.values_mut() {
        reports.extend(pool.update_limits(now, &fleet));
        requests.extend(pool.turn_requests(now, &fleet, fastrand::u64(..)));
    }
    (reports, requests)
}

/// Logs that a limit has changed, as `source` received it.
pub(crate) fn log_change(report: &LimitReport, source: &str) {
    let upstream = report.upstream.as_str();
    match report.evidence.limit {
        Some(limit) => log::info!(target: "route", upstream = upstream, per_second = limit,
            source = source; "upstream names a limit"),
        None => log::info!(target: "route", upstream = upstream, source = source;
            "upstream names no limit any more"),
    }
}
