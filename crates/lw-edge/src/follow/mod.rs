//! Follows the platform's store: one read of everything, then one watch after the other.

use std::{collections::HashSet, sync::Arc, time::Duration};

use lw_platform::{
    config, registry,
    store::{Batch, Error, Event, Item},
};
use lw_types::prelude::*;

use crate::state::{Edge, Named, OwnItem, keys};

/// Part of the time in which a revoked key must be refused for which a watch waits. The knowledge about keys is as old
/// as the last watch that was answered, and a watch that goes silent must not make it too old.
const WATCH_PART: f64 = 0.3;
/// Longest time for which a watch waits.
const WATCH_MAX: Duration = Duration::from_secs(5);
/// Pause between two watches for each registered VM. Every change wakes the watches of all VMs, and each VM causes
/// changes, so that without a pause the calls grow with the square of the VMs. With it all VMs together make at most
/// 125 calls a second.
const REST_PER_VM: Duration = Duration::from_millis(8);
/// Part of the time in which a revoked key must be refused that the pause between two watches may take.
const REST_PART: f64 = 0.1;
/// Age of a version of weights whose naming this VM has missed, as a part of the time in which all engines must serve
/// it. The rest is for the answers of the other VMs, which know better.
const UNDATED_PART: f64 = 0.8;
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(100);
/// All keys, so that one watch hears of everything.
const EVERYTHING: &str = "";

/// Follows the store until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut is_lost = false;
    loop {
        let failure = match read_all(&edge).await {
            Ok(revision) => {
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "config", revision = revision; "store answers again");
                }
                watch(&edge, revision).await
            }
            Err(e) => e,
        };
        if !matches!(failure, Error::Compacted) {
            if !std::mem::replace(&mut is_lost, true) {
                log::warn!(target: "config", why = failure.to_string(); "store lost");
            }
            edge.known().directory.store_returned(edge.timer.now());
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Reads everything. The pages are no snapshot, so the watch goes on from the revision of the first one.
async fn read_all(edge: &Edge) -> Result<Revision, Error> {
    let sent = edge.timer.now_suspended();
    let mut items = Vec::new();
    let mut first = None;
    loop {
        let after = items.last().map(|item: &Item| item.key.clone());
        let page = edge.counted("range", edge.store.range(EVERYTHING, after.as_deref())).await?;
        first = first.or(Some(page.revision));
        let is_last = !page.has_more || page.entries.is_empty();
        items.extend(page.entries);
        if is_last {
            break;
        }
    }
    let upstreams: Vec<_> = items.iter().filter_map(entry).collect();
    let listed: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    edge.known().retain_own(|key| listed.contains(key));
    for item in items {
        take_named(edge, &item);
    }
    let now = edge.timer.now();
    let mut known = edge.known();
    let changes = known.directory.replace(now, upstreams);
    known.confirm(sent);
    drop(known);
    edge.upstreams_changed(changes);
    Ok(first.unwrap_or_default())
}

fn entry(item: &Item) -> Option<(UpstreamId, Option<lw_catalog::Upstream>)> {
    let id = registry::upstream_id(&item.key)?;
    let read = item.value.as_deref().map_err(ToString::to_string);
    let read = read.and_then(|value| registry::upstream(id, value).map_err(|e| e.to_string()));
    let upstream = read.inspect_err(|e| {
        log::warn!(target: "member", upstream = id, revision = item.revision, why = e.as_str();
            "entry names no upstream");
    });
    Some((id.to_owned(), upstream.ok()))
}

/// Takes a configuration or a named version of weights.
fn take_named(edge: &Edge, item: &Item) {
    let value = match &item.value {
        Ok(value) => value,
        Err(e) => return unreadable(item, e),
    };
    if item.key.starts_with(keys::PREFIX) {
        let read_at = edge.timer.now_suspended();
        let own = OwnItem { value: value.clone(), revision: item.revision, read_at };
        edge.known().set_own(&item.key, Some(own));
    } else if item.key == config::CONFIG_KEY {
        match config::catalog(value) {
            Ok(catalog) => edge.install(catalog),
            Err(e) => unreadable(item, &e),
        }
    } else if config::is_named_version(&item.key) {
        match config::named_version(value) {
            Ok(named) => {
                let dated = date(edge, named.version);
                if edge.known().name_version(&named.model, dated) {
                    log::info!(target: "order", model = named.model.as_str(),
                        weights = named.version, revision = item.revision,
                        is_dated = dated.is_dated; "version named");
                    edge.version_named(dated.since, &named.model, named.version);
                }
            }
            Err(e) => unreadable(item, &e),
        }
    }
}

/// A version that the store lists now was named after the last answered read was sent. Without one, for instance after
/// a restart, it counts as old until another VM tells its age.
fn date(edge: &Edge, version: u64) -> Named {
    let now = edge.timer.now_suspended();
    let unknown = edge.bounds().version.mul_f64(UNDATED_PART);
    let age = edge.known().age(now).unwrap_or(Duration::MAX);
    Named { version, since: now.saturating_sub(age.min(unknown)), is_dated: age < unknown }
}

fn unreadable(item: &Item, e: &Error) {
    log::error!(target: "config", key = item.key.as_str(), revision = item.revision,
        why = e.to_string(); "unreadable item");
}

/// Watches until a call fails.
async fn watch(edge: &Edge, mut revision: Revision) -> Error {
    loop {
        let rest = rest(edge);
        tokio::time::sleep(rest).await;
        // Two watches and the pause between them are as long as two watches without one.
        let wait = edge.bounds().revoke.mul_f64(WATCH_PART).min(WATCH_MAX);
        let wait = wait.saturating_sub(rest / 2);
        let sent = edge.timer.now_suspended();
        match edge.counted("watch", edge.store.watch(EVERYTHING, revision, wait)).await {
            Ok(batch) => {
                revision = batch.revision.max(revision);
                take(edge, batch);
                edge.known().confirm(sent);
            }
            Err(e) => return e,
        }
        let lapsed = edge.known().directory.tick(edge.timer.now());
        edge.upstreams_changed(lapsed);
    }
}

/// Pause before the next watch, in which further changes gather.
fn rest(edge: &Edge) -> Duration {
    let vms = u32::try_from(edge.known().vms().count()).unwrap_or(u32::MAX);
    let most = edge.bounds().revoke.mul_f64(REST_PART);
    REST_PER_VM.saturating_mul(vms).min(most)
}

fn take(edge: &Edge, batch: Batch<Event>) {
    for event in batch.entries {
        let now = edge.timer.now();
        let changes = match &event {
            Event::Written(item) => {
                let Some((id, upstream)) = entry(item) else {
                    take_named(edge, item);
                    continue;
                };
                edge.known().directory.put(now, &id, upstream)
            }
            Event::Removed { key, .. } => {
                let Some(id) = registry::upstream_id(key) else {
                    edge.known().set_own(key, None);
                    continue;
                };
                edge.known().directory.remove(now, id)
            }
        };
        edge.upstreams_changed(changes);
    }
}
