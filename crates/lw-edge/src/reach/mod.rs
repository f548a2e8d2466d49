//! Paths from this VM to the upstreams. A VM may lose them while callers, the store and other VMs still reach it; it then
//! passes its callers' requests on to VMs that have not lost theirs.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::select_ok;
use http::Method;
use lw_transport::client::{Call, Error, Reuse};
use lw_types::prelude::*;

use crate::{feeds::OWN_PAUSE_MIN, peers, state::Edge};

mod evidence;

pub use evidence::Reach;

/// Interval between two looks at which services are to be probed.
const PERIOD: Duration = Duration::from_millis(100);
/// Time between two rounds of probes of a service of which an upstream was not reached.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// The same for a service whose upstreams fail if they reject too many requests: an upstream may reject a probe.
const FRAGILE_PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time limit of a probe. Health checks are answered at once, and failure domains are a few milliseconds apart.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Upstreams that are probed in one round.
const PROBES: usize = 5;
/// The same for a service whose upstreams fail if they reject too many requests.
const FRAGILE_PROBES: usize = 2;
/// Time between two reports to the other VMs while paths are lost.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// What is known of the paths, shared by all requests and tasks.
#[derive(Debug, Default)]
pub struct SharedReach(Mutex<Reach>);

impl SharedReach {
    /// Locks what is known of the paths.
    pub fn lock(&self) -> MutexGuard<'_, Reach> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the paths to a service are lost.
    #[must_use]
    pub fn is_lost(&self, service: &str) -> bool {
        self.lock().is_lost(service)
    }
}

/// Records that an upstream of a service was not reached, so that others are probed.
pub fn suspect(edge: &Edge, service: &str) {
    edge.reach.lock().suspect(service);
}

/// Probes services whose upstreams were not reached, and reports lost paths to the other VMs, until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(PERIOD);
    let mut probed: HashMap<String, Now> = HashMap::new();
    let (mut reported, mut reported_at) = (Vec::new(), Now::ZERO);
    loop {
        ticks.tick().await;
        let now = edge.timer.now();
        let (to_probe, mut lost) = {
            let reach = edge.reach.lock();
            (reach.to_probe(), reach.lost())
        };
        lost.sort_unstable();
        if lost != reported || (!lost.is_empty() && now >= reported_at + REPORT_PERIOD) {
            peers::report_lost(&edge, lost.clone());
            (reported, reported_at) = (lost, now);
        }
        probed.retain(|service, at| {
            let (period, _) = probe_limits(&edge, service);
            now < *at + period
        });
        for service in to_probe {
            if !probed.contains_key(&service) {
                probed.insert(service.clone(), now);
                tokio::spawn(probe(Arc::clone(&edge), service));
            }
        }
    }
}

/// Returns the time between two rounds of probes of a service, and the upstreams that are probed in one.
fn probe_limits(edge: &Edge, service: &str) -> (Duration, usize) {
    let now = edge.timer.now();
    if edge.with_upstream_pool(service, |pool| pool.is_fragile(now)) == Some(true) {
        return (FRAGILE_PROBE_PERIOD, FRAGILE_PROBES);
    }
    (PROBE_PERIOD, PROBES)
}

/// Checks whether any of a few upstreams of a service answers a health check on a new connection, whatever the answer says.
async fn probe(edge: Arc<Edge>, service: String) {
    let path = {
        let catalog = edge.store_view().catalog();
        catalog.and_then(|catalog| Some(catalog.service(&service)?.health_path.clone()))
    };
    let Some(path) = path.filter(|path| path.starts_with('/')) else { return };
    let mut upstreams: Vec<_> =
        edge.store_view().directory.ready_of(&service).map(Arc::clone).collect();
    fastrand::shuffle(&mut upstreams);
    let (_, probes_max) = probe_limits(&edge, &service);
    upstreams.truncate(probes_max);
    if upstreams.is_empty() {
        return;
    }
    let started = edge.timer.now();
    let probes = upstreams.iter().map(|upstream| {
        let mut call = Call::new(Method::GET, upstream.addr, &path, PROBE_TIMEOUT);
        call.reuse = Reuse::Fresh;
        Box::pin(async {
            match edge.clients.collect(call).await {
                Ok(_) | Err(Error::TooLong(_) | Error::Unreadable(_)) => Ok(()),
                Err(e) => Err(e),
            }
        })
    });
    let reached = select_ok(probes).await;
    // A VM that was paused or overloaded meanwhile does not know.
    let now = edge.timer.now();
    let is_late = now >= started + PROBE_TIMEOUT + OWN_PAUSE_MIN;
    let record = || edge.reach.lock().record_probes(now, &service, reached.is_ok());
    if reached.is_err() && is_late || !record() {
        return;
    }
    match reached {
        Ok(_) => log::info!(target: "route", service = service.as_str();
            "upstreams are in reach again"),
        Err(e) => log::warn!(target: "route", service = service.as_str(), probed = upstreams.len(),
            why = e.to_string();
            "no upstream is in reach, requests are passed on to other VMs"),
    }
}

/// Applies a report of another VM.
pub(crate) fn apply_report(edge: &Edge, vm: &str, services: &[String]) {
    edge.reach.lock().record_report(edge.timer.now(), vm, services);
}
