//! Cache events of engines and of the store of KV cache. The calls for them also show at once when an engine is silent.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use lw_catalog::{ServiceKind, Upstream};
use lw_place::CachePage;
use lw_types::prelude::*;
use tokio::task::JoinHandle;

use crate::{
    peers::{self, Notice},
    state::Edge,
};

/// Time for which a call for the events of an engine waits. It bounds how late a silent engine is noticed; calls that
/// wait less than 200 ms count as probes.
const ENGINE_WAIT: Duration = Duration::from_millis(250);
/// Time for which a call for the events of the store of KV cache waits.
const STORE_WAIT: Duration = Duration::from_secs(1);
/// Time for an answer besides the wait. Links between failure domains take a few milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);
/// Time for which a silent engine gets no work, unless it answers before.
const SILENT_TIME: Duration = Duration::from_secs(5);
/// VMs that follow the events of one engine or store; a holder bounds the calls that wait at it.
const FOLLOWERS_MAX: usize = 4;
/// Period in which the set of feeds is brought up to date.
const PERIOD: Duration = Duration::from_millis(200);

/// One holder of KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Holder {
    Engine { id: UpstreamId, incarnation: Incarnation, service: String, addr: SocketAddr },
    Store { addr: SocketAddr },
}

/// Keeps the feeds running until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut feeds: HashMap<Holder, Feed> = HashMap::new();
    let mut ticks = edge.timer.subscribe(PERIOD);
    loop {
        ticks.tick().await;
        let wanted = holders(&edge);
        feeds.retain(|holder, _| wanted.contains(holder));
        for holder in wanted {
            feeds.entry(holder.clone()).or_insert_with(|| Feed::start(&edge, holder));
        }
    }
}

/// The engines of this failure domain and the store of KV cache, as far as this VM is among their followers.
fn holders(edge: &Edge) -> Vec<Holder> {
    let known = edge.known();
    let Some(catalog) = known.catalog() else { return Vec::new() };
    let near = |upstream: &&Arc<Upstream>| {
        upstream.failure_domain == edge.settings.failure_domain
            && catalog.service(&upstream.service).is_some_and(|service| service.engines().is_some())
    };
    let engines = known.directory.iter().filter(near).map(|upstream| Holder::Engine {
        id: upstream.id.clone(),
        incarnation: upstream.incarnation,
        service: upstream.service.clone(),
        addr: upstream.addr,
    });
    let store = catalog.cache_store().and_then(|service| match service.kind {
        ServiceKind::CacheStore { addr, .. } => Some(Holder::Store { addr }),
        _ => None,
    });
    let mut holders: Vec<_> = engines.chain(store).collect();
    holders.retain(|holder| {
        let (name, is_near) = match holder {
            Holder::Engine { id, .. } => (id.clone(), true),
            Holder::Store { addr } => (addr.to_string(), false),
        };
        let is_rival = |domain: &str| !is_near || domain == edge.settings.failure_domain;
        let vms = known.vms().filter(|(_, entry)| is_rival(&entry.failure_domain));
        let own = rank(&edge.settings.vm, &name);
        vms.filter(|(vm, _)| rank(vm, &name) > own).count() < FOLLOWERS_MAX
    });
    holders
}

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
    let mut is_silent = false;
    loop {
        match edge.engines.cache_events(addr, since, wait, ANSWER_TIME).await {
            Ok(page) => {
                since = page.next;
                take(&edge, &holder, &page);
                if std::mem::take(&mut is_silent) {
                    answers(&edge, &holder);
                }
            }
            Err(e) => {
                if !std::mem::replace(&mut is_silent, true) {
                    log::warn!(target: "route", upstream = name(&holder), why = e.to_string();
                        "no cache events");
                }
                silent(&edge, &holder);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn name(holder: &Holder) -> String {
    match holder {
        Holder::Engine { id, .. } => id.clone(),
        Holder::Store { addr } => format!("store of KV cache at {addr}"),
    }
}

fn take(edge: &Edge, holder: &Holder, page: &CachePage) {
    let now = edge.timer.now();
    match holder {
        Holder::Engine { id, service, .. } => {
            edge.with_fleet(service, |fleet| fleet.on_cache(now, id, page));
        }
        Holder::Store { .. } => {
            edge.fleets().values_mut().for_each(|fleet| fleet.on_store_cache(now, page));
        }
    }
}

fn silent(edge: &Edge, holder: &Holder) {
    match holder {
        Holder::Engine { id, .. } => {
            let ms = u64::try_from(SILENT_TIME.as_millis()).unwrap_or(u64::MAX);
            peers::broadcast(edge, Notice::Unresponsive { upstream: id.clone(), ms });
        }
        Holder::Store { .. } => {
            let until = edge.timer.now() + SILENT_TIME;
            edge.fleets().values_mut().for_each(|fleet| fleet.store_failed(until));
        }
    }
}

fn answers(edge: &Edge, holder: &Holder) {
    log::info!(target: "route", upstream = name(holder); "cache events again");
    if let Holder::Engine { id, .. } = holder {
        peers::broadcast(edge, Notice::Unresponsive { upstream: id.clone(), ms: 0 });
    }
}
