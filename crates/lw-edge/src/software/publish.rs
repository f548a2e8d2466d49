//! Keeps the history of each service in the store up to date.

use std::{collections::HashMap, sync::Arc, sync::atomic::Ordering, time::Duration};

use lw_place::software::{History, PlannerInput};
use lw_platform::store::{Error, KeyWrite, Precondition};
use lw_types::prelude::*;

use super::{HistoryWire, capacities, lock};
use crate::{
    peers,
    state::{Edge, keys},
};

/// Time between two checks whether a history should change.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time after which the next VM writes a change that is due, if the one before it has not.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Most VMs for which a VM waits.
const RANK_MAX: u32 = 10;
/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Added to the time for which streams may go on. Covers clocks that run at different rates, and the way of a request.
const RETENTION_MARGIN: Duration = Duration::from_secs(1);

/// What a VM has seen of a service when it last found nothing to change.
#[derive(Debug, Default)]
struct Checked {
    /// Changes of upstreams, revision of the history, version of the configuration and era of the store.
    state: Option<(u64, Revision, ConfigVersion, Era)>,
    /// When to check again although nothing has changed.
    due: Option<Now>,
    /// Since when a change has been due.
    wanted_since: Option<Now>,
    /// No write before this time.
    paused_until: Now,
    /// The last history that was read.
    history: Option<Arc<History>>,
}

/// Writes changes of the histories until the process ends.
pub(crate) async fn run(edge: Arc<Edge>) {
    let mut checked: HashMap<String, Checked> = HashMap::new();
    let mut ticks = edge.timer.subscribe(CHECK_PERIOD);
    loop {
        ticks.tick().await;
        for (service, retention) in services(&edge) {
            let checked = checked.entry(service.clone()).or_default();
            tell_moved_streams(&edge, &service, retention, checked);
            check(&edge, &service, retention, checked).await;
        }
        let untold = std::mem::take(&mut *lock(&edge.software.untold));
        peers::tell_origins(&edge, &untold);
    }
}

/// Returns the services whose streams may be resumed, and how long former assignments matter: a VM may use one for as long as it
/// may use its view of the store, and streams that begin then may go on until their deadline.
fn services(edge: &Edge) -> Vec<(String, Duration)> {
    let view = edge.store_view();
    let (true, Some(catalog)) = (view.is_settled(), view.catalog()) else { return Vec::new() };
    let revoke = edge.bounds().revoke;
    let retention = |timeout: Duration| revoke + timeout + RETENTION_MARGIN;
    let services = catalog.resumable_services();
    services.map(|(service, timeout)| (service.clone(), retention(timeout))).collect()
}

/// Tells other VMs of the streams of this VM whose ids do not tell their version any more, since their slots have moved.
fn tell_moved_streams(edge: &Edge, service: &str, retention: Duration, checked: &mut Checked) {
    let history = edge.store_view().software(service).cloned();
    let is_same = match (&history, &checked.history) {
        (Some(new), Some(old)) => Arc::ptr_eq(new, old) || new.current == old.current,
        (new, _) => new.is_none(),
    };
    let former = std::mem::replace(&mut checked.history, history);
    let Some(current) = checked.history.as_ref().filter(|_| !is_same) else { return };
    let has_moved = |id: u64| {
        let former = former.as_ref().map(|former| former.current.version(id));
        former != Some(current.current.version(id))
    };
    let since = edge.timer.now_including_suspend().saturating_sub(retention);
    let memory = lock(&edge.software.memory);
    let streams = memory.own_since(service, since);
    let moved = streams.filter(|(stream, _)| has_moved(stream.id));
    let moved = moved.map(|(stream, software)| (stream, software.to_owned()));
    lock(&edge.software.untold).extend(moved);
}

async fn check(edge: &Edge, service: &str, retention: Duration, checked: &mut Checked) {
    let now = edge.timer.now_including_suspend();
    let Some(state) = state(edge, service) else { return };
    let is_due = checked.due.is_some_and(|due| now >= due);
    if checked.state == Some(state) && checked.wanted_since.is_none() && !is_due {
        return;
    }
    let (_, revision, _, era) = state;
    let stored = edge.store_view().software(service).cloned();
    let capacities = capacities(edge, service);
    let stored = stored.as_deref();
    let input = PlannerInput { now, stored, era, capacities: &capacities, retention };
    let (next, due) = {
        let mut planners = lock(&edge.software.planners);
        let planner = planners.entry(service.to_owned()).or_default();
        (planner.next(&input), planner.next_due(now, retention))
    };
    (checked.state, checked.due) = (Some(state), due);
    let Some(next) = next else {
        checked.wanted_since = None;
        return;
    };
    let since = *checked.wanted_since.get_or_insert(now);
    if now < checked.paused_until || now < since + RANK_DELAY * rank(edge, service) {
        return;
    }
    match write(edge, service, revision, &next).await {
        Ok(()) | Err(Error::Conflict) => checked.paused_until = now + RANK_DELAY,
        Err(e) => {
            checked.paused_until = now + RETRY_PAUSE;
            log::warn!(target: "route", service = service, why = e.to_string();
                "cannot write the software versions in service");
        }
    }
}

/// Returns what a check depends on, besides the time; none if this VM does not know the store's state.
fn state(edge: &Edge, service: &str) -> Option<(u64, Revision, ConfigVersion, Era)> {
    let view = edge.store_view();
    let revision = view.router_item(&keys::software(service)).map_or(0, |item| item.revision);
    let changes = edge.software.changes.load(Ordering::Relaxed);
    Some((changes, revision, view.catalog()?.version, view.era()?))
}

/// Returns the number of registered VMs that write a change before this one.
fn rank(edge: &Edge, service: &str) -> u32 {
    let hash = |vm: &str| {
        let seed = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
        xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_bytes(), seed)
    };
    let own = hash(&edge.settings.vm);
    let view = edge.store_view();
    let before = view.vms().filter(|(vm, _)| hash(vm) < own).count();
    u32::try_from(before).unwrap_or(RANK_MAX).min(RANK_MAX)
}

async fn write(
    edge: &Edge,
    service: &str,
    revision: Revision,
    history: &History,
) -> Result<(), Error> {
    let key = keys::software(service);
    let value = serde_json::to_vec(&HistoryWire::from(history))
        .map_err(|e| Error::Unreadable(e.to_string()))?;
    let expected = Precondition { key: key.clone(), revision };
    let write = KeyWrite { key, value, lease: 0 };
    let written = edge.store.write(vec![expected], vec![write], Vec::new());
    edge.count_store_call("write", written).await?;
    let versions = history.current.versions().iter();
    let slots: Vec<_> =
        versions.map(|version| format!("{version} {}", history.current.count(version))).collect();
    log::info!(target: "route", service = service, slots = slots.join(", "),
        former = history.former.len(); "software versions in service");
    Ok(())
}
