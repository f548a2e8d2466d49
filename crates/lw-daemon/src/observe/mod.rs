//! Polls the load reports and cache events of the engines.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use lw_config::document::UpstreamKind;
use lw_protocol::upstream::{CacheEvents, LoadReport};
use lw_route::router::Event;
use lw_transport::client::{Call, Error};
use lw_types::prelude::*;
use tokio::task::JoinHandle;

use crate::tables::Tables;

const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of one poll: the engine answers as soon as there are events.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Polls every engine of the active configuration, with one task for load reports and one for cache events.
pub async fn poll_engines(tables: Arc<Tables>) {
    let mut pollers: HashMap<(UpstreamId, SocketAddr), [JoinHandle<()>; 2]> = HashMap::new();
    loop {
        let changed = tables.config_changed.notified();
        let configured = engines(&tables);
        pollers.retain(|key, tasks| {
            let is_configured = configured.contains(key);
            if !is_configured {
                tasks.iter().for_each(JoinHandle::abort);
            }
            is_configured
        });
        for (id, addr) in configured {
            pollers.entry((id.clone(), addr)).or_insert_with(|| {
                [
                    tokio::spawn(poll_load(Arc::clone(&tables), id.clone(), addr)),
                    tokio::spawn(poll_cache_events(Arc::clone(&tables), id, addr)),
                ]
            });
        }
        // The time limit covers a change of the configuration between reading it and waiting.
        let _ = tokio::time::timeout(RETRY_DELAY, changed).await;
    }
}

fn engines(tables: &Tables) -> Vec<(UpstreamId, SocketAddr)> {
    let Some(active) = tables.active_config() else { return Vec::new() };
    let upstreams = active.document.upstreams.iter();
    upstreams
        .filter(|(_, upstream)| matches!(upstream.kind, UpstreamKind::Engine { .. }))
        .map(|(id, upstream)| (id.clone(), upstream.address))
        .collect()
}

async fn poll_load(tables: Arc<Tables>, id: UpstreamId, addr: SocketAddr) {
    let mut ticks = tables.timer.subscribe(LOAD_POLL_INTERVAL);
    loop {
        let call = Call::new(Method::GET, addr, "/load", LOAD_TIMEOUT);
        let answer: Result<LoadReport, Error> = tables.clients.json(call, None::<&()>).await;
        match answer {
            Ok(report) => {
                if let Some(active) = tables.active_config() {
                    let now = tables.timer.now();
                    tables.orders().on_load_report(now, &id, &report, &active.document);
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

async fn poll_cache_events(tables: Arc<Tables>, id: UpstreamId, addr: SocketAddr) {
    let mut position = (0, 0);
    loop {
        let path = format!("/cache-events?after={}", position.1);
        let call = Call::new(Method::GET, addr, &path, EVENTS_TIMEOUT);
        let answer: Result<CacheEvents, Error> = tables.clients.json(call, None::<&()>).await;
        match answer {
            Ok(events) => position = record_events(&tables, &id, position, &events),
            Err(Error::Timeout(_)) => {}
            Err(e) => {
                log::debug!("route: no cache events of {id}: {e}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Passes events to the router and returns the position to continue from.
fn record_events(
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
    // Sequence numbers start again in each incarnation, and this answer may not contain the first events.
    (events.incarnation, last.filter(|_| position.1 == 0).unwrap_or(0))
}
