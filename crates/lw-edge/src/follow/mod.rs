//! Follows the platform's store: one read of everything, then one watch after the other, or questions to a VM that
//! follows it.

use std::{collections::HashSet, sync::Arc, time::Duration};

use lw_platform::{
    config, registry,
    store::{self, Event, Item},
};
use lw_types::prelude::*;

use crate::{
    spread::{
        self, Told,
        journal::Change,
        plan::{FLEET_MIN, Plan, Source},
    },
    state::{Edge, Named, OwnItem, keys},
};

/// Part of the time in which a revoked key must be refused for which a watch waits. The knowledge about keys is as old
/// as the last watch that was answered, and a watch that goes silent must not make it too old.
const WATCH_PART: f64 = 0.3;
/// The same where other VMs rest on the knowledge of this one: it is passed on, and must then be fresh for a while.
const SHARED_WATCH_PART: f64 = 0.15;
/// Longest time for which a watch waits.
const WATCH_MAX: Duration = Duration::from_secs(5);
/// Pause between two watches for each registered VM of a small fleet. Every change wakes the watches of all VMs, and each
/// VM causes changes, so that without a pause the calls grow with the square of the VMs. With it all VMs together make at
/// most 125 calls a second.
const REST_PER_VM: Duration = Duration::from_millis(8);
/// Pause between two watches where a few VMs of each failure domain follow the store: each makes at most 4 calls a second.
const SHARED_REST: Duration = Duration::from_millis(250);
/// Part of the time in which a revoked key must be refused that the pause between two watches may take.
const REST_PART: f64 = 0.1;
/// Age of a version of weights whose naming this VM has missed, as a part of the time in which all engines must serve
/// it. The rest is for the answers of the other VMs, which know better.
const UNDATED_PART: f64 = 0.8;
/// New VMs in one watch from which on the next one begins after the longest pause: when a fleet starts, each VM registers
/// and so wakes the watches of the others.
const GROWING: usize = 3;
/// Pause after a failed call to the store.
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which the first watch after a failed call waits.
const PROBE_WAIT: Duration = Duration::from_millis(1);
/// All keys, so that one watch hears of everything.
const EVERYTHING: &str = "";

/// Follows the store, or another VM that does, until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut follower =
        Follower { edge, revision: None, plan: Plan::default(), is_growing: false, source: None };
    loop {
        if let Err(e) = follower.step().await {
            follower.lost(&e).await;
        }
        let lapsed = {
            let edge = &follower.edge;
            edge.known().directory.remove_expired(edge.timer.now())
        };
        follower.edge.upstreams_changed(lapsed);
    }
}

struct Follower {
    edge: Arc<Edge>,
    /// Revision up to which all changes are known. None if everything is to be read.
    revision: Option<Revision>,
    plan: Plan,
    /// Whether the last watch heard of many new VMs.
    is_growing: bool,
    /// Where the last changes came from, for the log.
    source: Option<Source>,
}

impl Follower {
    async fn step(&mut self) -> Result<(), store::Error> {
        let Some(revision) = self.revision else {
            self.revision = Some(read_all(&self.edge).await?);
            self.heard_from(Source::Store);
            return Ok(());
        };
        match self.next() {
            Source::Store => {
                let before = self.edge.known().vms_max();
                // A store that may hang must not keep this VM from asking others.
                let rhythm = if self.plan.is_store_lost() {
                    (Duration::ZERO, PROBE_WAIT)
                } else {
                    rhythm(&self.edge, self.is_growing)
                };
                let watched = watch(&self.edge, revision, rhythm).await;
                self.is_growing = self.edge.known().vms_max() >= before + GROWING;
                self.revision = Some(watched?);
                self.plan.store_answered();
                self.heard_from(Source::Store);
            }
            Source::Vm(vm) => self.ask(vm, revision).await,
            Source::Wait(time) => tokio::time::sleep(time).await,
        }
        Ok(())
    }

    fn next(&self) -> Source {
        let (near, all) = self.near();
        self.plan.next(self.edge.timer.now(), &self.edge.settings.vm, &near, all)
    }

    /// The VMs of this failure domain, and the most VMs that were registered at a time.
    fn near(&self) -> (Vec<VmId>, usize) {
        let known = self.edge.known();
        let own = &self.edge.settings.failure_domain;
        let near = known.vms().filter(|(_, entry)| entry.failure_domain == *own);
        (near.map(|(vm, _)| vm.clone()).collect(), known.vms_max())
    }

    async fn ask(&mut self, vm: VmId, after: Revision) {
        let edge = Arc::clone(&self.edge);
        let addr = edge.known().vms().find(|(id, _)| **id == vm).map(|(_, entry)| entry.addr);
        let Some(addr) = addr else { return };
        let is_follower = self.is_follower();
        let wait = self.plan.ask_wait(edge.timer.now(), is_follower, spread::WAIT);
        let told = spread::ask(&edge, addr, after, wait).await;
        let now = edge.timer.now();
        match told {
            Ok(Told::Changes { revision, changes, confirmed }) => {
                let revision = revision.max(after);
                take(&edge, changes.into_iter().map(Event::from).collect(), revision);
                edge.known().confirm(confirmed);
                self.revision = Some(revision);
                let age = edge.known().age(edge.timer.now_suspended());
                self.plan.answered(now, &vm, is_follower, age, edge.bounds().revoke);
                self.heard_from(Source::Vm(vm));
            }
            Ok(Told::Unknown) => {
                // It may have read everything anew after an outage of the store, in which entries lapsed.
                edge.known().directory.on_store_recovered(now);
                self.plan.failed(now, &vm);
            }
            Err(e) => {
                log::debug!(target: "config", vm = vm.as_str(), why = e.to_string();
                    "no changes from another VM");
                self.plan.failed(now, &vm);
            }
        }
    }

    fn is_follower(&self) -> bool {
        let (near, all) = self.near();
        Plan::is_follower(&self.edge.settings.vm, &near, all)
    }

    fn heard_from(&mut self, source: Source) {
        if self.source.as_ref() == Some(&source) {
            return;
        }
        let from = match &source {
            Source::Vm(vm) => vm.as_str(),
            Source::Store | Source::Wait(_) => "the store",
        };
        log::info!(target: "config", from = from, revision = self.revision.unwrap_or_default();
            "changes come from another source");
        self.source = Some(source);
    }

    async fn lost(&mut self, e: &store::Error) {
        if matches!(e, store::Error::Compacted) {
            self.revision = None;
            return;
        }
        if self.source.take_if(|source| *source == Source::Store).is_some() {
            log::warn!(target: "config", why = e.to_string(); "store lost");
        }
        let now = self.edge.timer.now();
        self.edge.known().directory.on_store_recovered(now);
        self.plan.store_failed(now, self.is_follower(), PAUSE);
        if self.revision.is_none() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Reads everything. The pages are no snapshot, so the watch goes on from the revision of the first one.
async fn read_all(edge: &Edge) -> Result<Revision, store::Error> {
    let sent = edge.timer.now_suspended();
    let mut items = Vec::new();
    let mut first = None;
    let last = loop {
        let after = items.last().map(|item: &Item| item.key.clone());
        let page = edge.counted("range", edge.store.range(EVERYTHING, after.as_deref())).await?;
        first = first.or(Some(page.revision));
        let is_last = !page.has_more || page.entries.is_empty();
        items.extend(page.entries);
        if is_last {
            break page.revision;
        }
    };
    let upstreams: Vec<_> = items.iter().filter_map(entry).collect();
    let listed: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    edge.known().retain_own(|key| listed.contains(key));
    for item in items {
        take_named(edge, &item);
    }
    let now = edge.timer.now();
    let mut known = edge.known();
    let changes = known.directory.replace_all(now, upstreams);
    known.confirm(sent);
    drop(known);
    // What the later pages hold is known already, so that changes up to the last one may not be passed on as such.
    edge.spread.journal(|journal| journal.restart(last));
    edge.upstreams_changed(changes);
    Ok(first.unwrap_or_default())
}

fn entry(item: &Item) -> Option<(UpstreamId, Option<lw_catalog::Upstream>)> {
    let id = registry::upstream_id(&item.key)?;
    let read = item.value.as_deref().map_err(ToString::to_string);
    let read =
        read.and_then(|value| registry::decode_upstream(id, value).map_err(|e| e.to_string()));
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
        match config::decode_catalog(value) {
            Ok(catalog) => edge.install(catalog),
            Err(e) => unreadable(item, &e),
        }
    } else if config::is_target_version(&item.key) {
        match config::decode_target_version(value) {
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

fn unreadable(item: &Item, e: &store::Error) {
    log::error!(target: "config", key = item.key.as_str(), revision = item.revision,
        why = e.to_string(); "unreadable item");
}

/// Watches once for changes after a revision, after a pause and for a time; returns the next revision.
async fn watch(
    edge: &Edge,
    revision: Revision,
    (rest, wait): (Duration, Duration),
) -> Result<Revision, store::Error> {
    tokio::time::sleep(rest).await;
    let sent = edge.timer.now_suspended();
    let batch = edge.counted("watch", edge.store.watch(EVERYTHING, revision, wait)).await?;
    let revision = batch.revision.max(revision);
    take(edge, batch.entries, revision);
    edge.known().confirm(sent);
    Ok(revision)
}

/// Pause before the next watch, in which further changes gather, and the time for which it waits. The knowledge is at
/// most as old as two watches and the pause between them.
fn rhythm(edge: &Edge, is_growing: bool) -> (Duration, Duration) {
    let revoke = edge.bounds().revoke;
    let vms = edge.known().vms_max();
    let is_shared = vms >= FLEET_MIN;
    let rest = match (is_shared, is_growing) {
        (true, _) => SHARED_REST,
        (false, true) => revoke,
        (false, false) => REST_PER_VM.saturating_mul(u32::try_from(vms).unwrap_or(u32::MAX)),
    };
    let rest = rest.min(revoke.mul_f64(REST_PART));
    let part = if is_shared { SHARED_WATCH_PART } else { WATCH_PART };
    (rest, revoke.mul_f64(part).min(WATCH_MAX).saturating_sub(rest / 2))
}

/// Takes the changes up to a revision, and passes those on that matter.
fn take(edge: &Edge, events: Vec<Event>, revision: Revision) {
    let changes = events.into_iter().filter(|event| apply(edge, event)).filter_map(passed_on);
    let changes = changes.collect();
    edge.spread.advance(revision, changes);
}

/// Takes one change; returns whether it matters to other VMs. A heartbeat alone does not.
fn apply(edge: &Edge, event: &Event) -> bool {
    let now = edge.timer.now();
    let mut known = edge.known();
    let (is_known, changes) = match event {
        Event::Written(item) => {
            let Some((id, upstream)) = entry(item) else {
                drop(known);
                take_named(edge, item);
                return true;
            };
            let is_known = known.directory.is_expired(&id)
                || upstream.is_none() && known.directory.get(&id).is_some();
            (is_known, known.directory.put(now, &id, upstream))
        }
        Event::Removed { key, .. } => {
            let Some(id) = registry::upstream_id(key) else {
                known.set_own(key, None);
                return true;
            };
            (known.directory.get(id).is_some(), known.directory.remove(now, id))
        }
    };
    drop(known);
    let matters = is_known || !changes.is_empty();
    edge.upstreams_changed(changes);
    matters
}

fn passed_on(event: Event) -> Option<Change> {
    match event {
        // The others cannot read it either.
        Event::Written(Item { value: Err(_), .. }) => None,
        Event::Written(Item { key, value: Ok(value), revision }) => {
            Some(Change { key, revision, value: Some(value) })
        }
        Event::Removed { key, revision } => Some(Change { key, revision, value: None }),
    }
}

impl From<Change> for Event {
    fn from(change: Change) -> Self {
        let Change { key, revision, value } = change;
        match value {
            Some(value) => Self::Written(Item { key, value: Ok(value), revision }),
            None => Self::Removed { key, revision },
        }
    }
}
