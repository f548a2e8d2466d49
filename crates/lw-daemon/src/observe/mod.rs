//! Follows the load reports and cache events of the engines.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use lw_config::document::UpstreamKind;
use lw_protocol::upstream::{CacheEvents, LoadReport};
use lw_route::router::Event;
use lw_transport::client::{Call, Error};
use lw_types::prelude::*;
use tokio::task::JoinHandle;

use crate::tables::Tables;

const LOAD_PERIOD: Duration = Duration::from_millis(500);
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// The engine answers at once when there are events, else after this time at the latest.
const EVENTS_WAIT: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Keeps one pair of followers per engine of the configuration in force.
pub async fn follow(tables: Arc<Tables>) {
    let mut followers: HashMap<(UpstreamId, SocketAddr), [JoinHandle<()>; 2]> = HashMap::new();
    loop {
        let changed = tables.config_changed.notified();
        let wanted = engines(&tables);
        followers.retain(|key, tasks| {
            let keep = wanted.contains(key);
            if !keep {
                tasks.iter().for_each(JoinHandle::abort);
            }
            keep
        });
        for (id, addr) in wanted {
            followers.entry((id.clone(), addr)).or_insert_with(|| {
                [
                    tokio::spawn(follow_load(Arc::clone(&tables), id.clone(), addr)),
                    tokio::spawn(follow_events(Arc::clone(&tables), id, addr)),
                ]
            });
        }
        // The time limit covers a change between the read and the wait.
        let _ = tokio::time::timeout(RETRY_PAUSE, changed).await;
    }
}

fn engines(tables: &Tables) -> Vec<(UpstreamId, SocketAddr)> {
    let Some(active) = tables.active() else { return Vec::new() };
    let upstreams = active.document.upstreams.iter();
    upstreams
        .filter(|(_, upstream)| matches!(upstream.kind, UpstreamKind::Engine { .. }))
        .map(|(id, upstream)| (id.clone(), upstream.address))
        .collect()
}

async fn follow_load(tables: Arc<Tables>, id: UpstreamId, addr: SocketAddr) {
    let mut ticks = tables.timer.subscribe(LOAD_PERIOD);
    loop {
        let call = Call::new(Method::GET, addr, "/load", LOAD_TIMEOUT);
        let answer: Result<LoadReport, Error> = tables.clients.json(call, None::<&()>).await;
        match answer {
            Ok(report) => {
                if let Some(active) = tables.active() {
                    let now = tables.timer.now();
                    tables.orders().report(now, &id, &report, &active.document);
                }
                let report = lw_route::LoadReport::from(&report);
                let event = Event::Load { engine: &id, report: &report };
                tables.router().record(tables.timer.now(), event);
            }
            Err(e) => log::debug!("route: no load report of {id}: {e}"),
        }
        ticks.tick().await;
    }
}

async fn follow_events(tables: Arc<Tables>, id: UpstreamId, addr: SocketAddr) {
    let mut position = (0, 0);
    loop {
        let path = format!("/cache-events?after={}", position.1);
        let call = Call::new(Method::GET, addr, &path, EVENTS_WAIT);
        let answer: Result<CacheEvents, Error> = tables.clients.json(call, None::<&()>).await;
        match answer {
            Ok(events) => position = record(&tables, &id, position, &events),
            Err(Error::Timeout(_)) => {}
            Err(e) => {
                log::debug!("route: no cache events of {id}: {e}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Passes events on and returns the position to continue from.
fn record(
    tables: &Tables,
    id: &str,
    position: (Incarnation, u64),
    events: &CacheEvents,
) -> (Incarnation, u64) {
    let now = tables.timer.now();
    let mut router = tables.router();
    for event in events.iter() {
        router.record(now, Event::Cache { engine: id, event });
    }
    let last = events.events.iter().map(|event| event.seq).max();
    if events.incarnation == position.0 {
        return (position.0, last.unwrap_or(position.1));
    }
    // Numbers start anew in each incarnation, and this answer may have skipped the first ones.
    (events.incarnation, last.filter(|_| position.1 == 0).unwrap_or(0))
}
