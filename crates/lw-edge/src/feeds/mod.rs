//! Feeds of cache events from engines and from KV cache stores. A failed call for events also shows early that an
//! engine is unresponsive.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use lw_catalog::{ServiceKind, Upstream};
use lw_observe::logs::millis;
use lw_place::CachePage;
use lw_types::prelude::*;
use tokio::task::JoinHandle;

use crate::{
    peers::{self, Notice},
    reach,
    state::{Edge, StoreView},
};

/// Time for which a call for the events of an engine waits. It bounds the time until an unresponsive engine is
/// detected; calls that wait less than 200 ms count as probes.
const ENGINE_WAIT: Duration = Duration::from_millis(250);
/// Time for which a call for the events of a KV cache store waits.
const STORE_WAIT: Duration = Duration::from_secs(1);
/// Shortest time between two calls to a KV cache store. A busy store has new events all the time, so that each call would be
/// answered at once and the next one follow after a round trip.
const STORE_PERIOD: Duration = Duration::from_millis(100);
/// Time limit for an answer in addition to the wait. Links between failure domains take a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Delay of the end of a time limit from which on this VM itself was paused or overloaded, so that the call says nothing
/// about the engine.
pub(crate) const OWN_PAUSE_MIN: Duration = Duration::from_millis(150);
/// Time for which an unresponsive engine gets no work, unless it answers before.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(5);
/// Number of VMs that follow the events of one holder, since holders limit the number of calls that wait.
const FOLLOWERS_MAX: usize = 4;
/// Period in which the set of feeds is updated.
const REFRESH_PERIOD: Duration = Duration::from_millis(200);

/// A holder of KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Holder {
    Engine { id: UpstreamId, incarnation: Incarnation, service: String, addr: SocketAddr },
    Store { addr: SocketAddr },
}

/// Keeps the feeds running until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut feeds: HashMap<Holder, Feed> = HashMap::new();
    let mut ticks = edge.timer.subscribe(REFRESH_PERIOD);
    loop {
        ticks.tick().await;
        let followed = holders(&edge);
        feeds.retain(|holder, _| followed.contains(holder));
        for holder in followed {
            feeds.entry(holder.clone()).or_insert_with(|| Feed::start(&edge, holder));
        }
    }
}

/// Returns those engines of this failure domain, and those KV cache stores, that this VM is to follow.
fn holders(edge: &Edge) -> Vec<Holder> {
    let view = edge.store_view();
    let Some(catalog) = view.catalog() else { return Vec::new() };
    let is_local_engine = |upstream: &&Arc<Upstream>| {
        upstream.failure_domain == edge.settings.failure_domain
            && catalog.service(&upstream.service).is_some_and(|service| service.engines().is_some())
    };
    let engines = view.directory.iter().filter(is_local_engine).map(|upstream| Holder::Engine {
        id: upstream.id.clone(),
        incarnation: upstream.incarnation,
        service: upstream.service.clone(),
        addr: upstream.addr,
    });
    let stores = catalog.cache_stores().filter_map(|service| match service.kind {
        ServiceKind::CacheStore { addr, .. } => Some(Holder::Store { addr }),
        _ => None,
    });
    let mut holders: Vec<_> = engines.chain(stores).collect();
    holders.retain(|holder| followers_before(edge, &view, holder) < FOLLOWERS_MAX);
    holders
}

/// Returns the number of VMs that follow a holder rather than this VM.
fn followers_before(edge: &Edge, view: &StoreView, holder: &Holder) -> usize {
    let (name, is_engine) = match holder {
        Holder::Engine { id, .. } => (id.clone(), true),
        Holder::Store { addr } => (addr.to_string(), false),
    };
    // An engine is followed by VMs of its failure domain, the store by VMs of all.
    let may_follow = |domain: &str| !is_engine || domain == edge.settings.failure_domain;
    let vms = view.vms().filter(|(_, entry)| may_follow(&entry.failure_domain));
    let local_rank = rank(&edge.settings.vm, &name);
    vms.filter(|(vm, _)| rank(vm, &name) > local_rank).count()
}

/// Returns the rank of a VM for a holder; the [`FOLLOWERS_MAX`] VMs with the highest ranks follow it.
fn rank(vm: &str, holder: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(holder.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_bytes(), seed)
}

/// A running feed; it ends when this is dropped.
#[derive(Debug)]
struct Feed(JoinHandle<()>);

impl Feed {
    fn start(edge: &Arc<Edge>, holder: Holder) -> Self {
        Self(tokio::spawn(follow(Arc::clone(edge), holder)))
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn follow(edge: Arc<Edge>, holder: Holder) {
    let (addr, wait) = match &holder {
        Holder::Engine { addr, .. } => (*addr, ENGINE_WAIT),
        Holder::Store { addr } => (*addr, STORE_WAIT),
    };
    let mut since = 0;
    let mut is_unresponsive = false;
    let mut called_at = edge.timer.now();
    loop {
        wait_for_call(&edge, &holder, called_at).await;
        called_at = edge.timer.now();
        match edge.engines.cache_events(addr, since, wait, ANSWER_TIMEOUT).await {
            Ok(page) => {
                since = page.next;
                apply_page(&edge, &holder, &page);
                if std::mem::take(&mut is_unresponsive) {
                    report_responsive(&edge, &holder);
                }
            }
            Err(_) if edge.timer.now() >= called_at + wait + ANSWER_TIMEOUT + OWN_PAUSE_MIN => {
                log::info!(target: "route", upstream = holder_name(&holder);
                    "call for cache events ended late, this VM was paused");
            }
            Err(e) => {
                if !std::mem::replace(&mut is_unresponsive, true) {
                    log::warn!(target: "route", upstream = holder_name(&holder), why = e.to_string();
                        "call for cache events failed");
                }
                if let Holder::Engine { service, .. } = &holder {
                    reach::suspect(&edge, service);
                }
                report_unresponsive(&edge, &holder);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits until the next call to a holder is allowed. Calls to an engine that names a limit count like requests: one VM makes
/// them, and seldom.
async fn wait_for_call(edge: &Edge, holder: &Holder, last: Now) {
    let Holder::Engine { id, service, .. } = holder else {
        let next = last + STORE_PERIOD;
        return tokio::time::sleep(next.saturating_sub(edge.timer.now())).await;
    };
    loop {
        let period = edge.with_upstream_pool(service, |pool| pool.feed_period(id)).flatten();
        let Some(period) = period else { return };
        let is_first = followers_before(edge, &edge.store_view(), holder) == 0;
        // The period of a limit near zero is the longest one, to which nothing can be added.
        if is_first && edge.timer.now().saturating_sub(last) >= period {
            return;
        }
        tokio::time::sleep(REFRESH_PERIOD).await;
    }
}

fn holder_name(holder: &Holder) -> String {
    match holder {
        Holder::Engine { id, .. } => id.clone(),
        Holder::Store { addr } => format!("store of KV cache at {addr}"),
    }
}

fn apply_page(edge: &Edge, holder: &Holder, page: &CachePage) {
    let now = edge.timer.now();
    match holder {
        Holder::Engine { id, service, .. } => {
            edge.with_upstream_pool(service, |pool| pool.apply_cache_page(now, id, page));
        }
        Holder::Store { addr } => {
            edge.upstream_pools()
                .values_mut()
                .for_each(|pool| pool.apply_store_cache_page(now, *addr, page));
        }
    }
}

fn report_unresponsive(edge: &Edge, holder: &Holder) {
    match holder {
        Holder::Engine { id, .. } => {
            let ms = millis(UNRESPONSIVE_TIME);
            peers::broadcast(edge, Notice::Unresponsive { upstream: id.clone(), ms });
        }
        Holder::Store { addr } => {
            let until = edge.timer.now() + UNRESPONSIVE_TIME;
            let mut pools = edge.upstream_pools();
            pools.values_mut().for_each(|pool| pool.on_store_failure(*addr, until));
        }
    }
}

fn report_responsive(edge: &Edge, holder: &Holder) {
    log::info!(target: "route", upstream = holder_name(holder);
        "call for cache events succeeded again");
    if let Holder::Engine { id, .. } = holder {
        peers::broadcast(edge, Notice::Unresponsive { upstream: id.clone(), ms: 0 });
    }
}
