//! Follows the platform's store: reads it as a whole, then gets the changes by consecutive watches or from another VM
//! that follows the store.

use std::{collections::HashSet, sync::Arc, time::Duration};

use lw_observe::logs::millis;
use lw_platform::{
    config,
    store::{self, Event, Item},
};
use lw_types::prelude::*;

use crate::{
    distribution::{
        self, ChangesReply,
        journal::Change,
        source::{Candidate, FOLLOWER_ROLE_MIN_VMS, Source, SourceSelector},
    },
    state::{Edge, keys::VmEntry},
};

mod apply;

use apply::{apply_changes, apply_events, apply_item, is_relevant, to_change, upstream_entry};

/// Time for which a watch waits, as a fraction of the time in which a revoked key must be refused. The view of the keys
/// is as old as the last answered watch, and a watch that gets no answer must not make the view too old to use.
const WATCH_WAIT_FRACTION: f64 = 0.3;
/// The same fraction where other VMs get changes from this one: its view must still be fresh when it reaches them.
const SHARED_WATCH_WAIT_FRACTION: f64 = 0.15;
/// Time for which a watch waits at most, as a fraction of the time in which a configuration must be in force. A VM whose view is
/// older, which is up to two watches old, does not know whether a route exists.
const WATCH_WAIT_CONFIG_FRACTION: f64 = 0.45;
/// Longest time for which a watch waits for changes.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(5);
/// Pause between two watches for each registered VM, in a fleet where all VMs follow the store. Every change completes
/// the watches of all VMs, and each VM causes changes, so that without a pause the number of calls grows with the
/// square of the number of VMs. With this pause all VMs together make at most 125 calls per second.
const WATCH_PAUSE_PER_VM: Duration = Duration::from_millis(8);
/// Pause between two watches where a few VMs of each failure domain follow the store: each makes at most 4 calls per
/// second.
const SHARED_WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two watches, as a fraction of the time in which a revoked key must be refused.
const WATCH_PAUSE_MAX_FRACTION: f64 = 0.1;
/// Number of new VMs in one watch from which on the next watch begins after the longest pause. When a fleet starts,
/// each VM that registers completes the watches of the others.
const GROWTH_MIN_VMS: usize = 3;
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a watch waits after a failed call to the store: it only checks whether the store answers again.
const PROBE_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Size in bytes from which on a reply with changes is logged.
const LARGE_REPLY_BYTES: usize = 8 << 10;
/// Key prefix of all keys, so that one watch covers the whole store.
const ALL_KEYS_PREFIX: &str = "";

/// Follows the store, directly or through another VM, until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut updater = ViewUpdater {
        edge,
        position: None,
        selector: SourceSelector::default(),
        is_growing: false,
        source: None,
    };
    let edge = Arc::clone(&updater.edge);
    loop {
        let result = apply_due_changes_during(&edge, Box::pin(updater.step())).await;
        if let Err(e) = result {
            updater.handle_store_error(&e).await;
        }
        edge.distribution.set_without_store(!updater.selector.offers_changes());
    }
}

/// Awaits `step`, and applies the changes of the upstreams that become due meanwhile: a step may wait for seconds.
async fn apply_due_changes_during<T>(edge: &Edge, mut step: impl Future<Output = T> + Unpin) -> T {
    loop {
        let due_at = edge.store_view().directory.next_due();
        tokio::select! {
            result = &mut step => return result,
            () = edge.timer.wait_until(due_at) => {}
        }
        let changes = edge.store_view().directory.apply_due_changes(edge.timer.now());
        edge.apply_upstream_changes(changes);
    }
}

/// Keeps this VM's view of the store up to date, whether or not the VM is one of the followers.
struct ViewUpdater {
    edge: Arc<Edge>,
    /// State of the store up to which the view contains all changes. `None` if the whole store is to be read.
    position: Option<Position>,
    selector: SourceSelector,
    /// Whether at least [`GROWTH_MIN_VMS`] VMs registered during the last watch.
    is_growing: bool,
    /// The source of the last changes, for the log.
    source: Option<Source>,
}

impl ViewUpdater {
    /// Gets changes once from the selected source, or reads the whole store if this is due.
    async fn step(&mut self) -> Result<(), store::Error> {
        let Some(position) = self.position else {
            self.position = Some(read_all(&self.edge).await?);
            self.selector.record_store_success();
            self.record_source(Source::Store);
            return Ok(());
        };
        match self.select_source() {
            Source::Store => {
                let before = self.edge.store_view().vms_max();
                // A store that does not answer must not delay requests to other VMs.
                let (pause, wait) = if self.selector.has_store_failed() {
                    (Duration::ZERO, PROBE_WATCH_WAIT)
                } else {
                    watch_timing(&self.edge, self.is_growing)
                };
                // A VM that comes here since others did not reply has waited long enough.
                let is_next = self.source == Some(Source::Store);
                let pause = if is_next { pause } else { Duration::ZERO };
                let watched = watch(&self.edge, position, (pause, wait)).await;
                self.is_growing = self.edge.store_view().vms_max() >= before + GROWTH_MIN_VMS;
                self.position = Some(watched?);
                self.selector.record_store_success();
                self.record_source(Source::Store);
            }
            Source::Vm(vm) => self.request_changes(vm, position).await,
            Source::Wait(time) => tokio::time::sleep(time).await,
        }
        Ok(())
    }

    fn select_source(&self) -> Source {
        let (same_domain, fleet_size) = self.registered_vms();
        self.selector.select(self.edge.timer.now(), &self.local(), &same_domain, fleet_size)
    }

    /// Returns the registered VMs of this failure domain, and the number of VMs in all failure domains.
    fn registered_vms(&self) -> (Vec<Candidate>, usize) {
        let view = self.edge.store_view();
        let local_domain = &self.edge.settings.failure_domain;
        let same_domain = view.vms().filter(|(_, entry)| entry.failure_domain == *local_domain);
        let candidate =
            |(vm, entry): (&VmId, &VmEntry)| Candidate { vm: vm.clone(), capacity: entry.capacity };
        (same_domain.map(candidate).collect(), view.vms_max())
    }

    fn local(&self) -> Candidate {
        let settings = &self.edge.settings;
        Candidate { vm: settings.vm.clone(), capacity: settings.capacity() }
    }

    async fn request_changes(&mut self, vm: VmId, after: Position) {
        let edge = Arc::clone(&self.edge);
        let addr = edge.store_view().vms().find(|(id, _)| **id == vm).map(|(_, entry)| entry.addr);
        let Some(addr) = addr else { return };
        let is_follower = self.is_follower();
        let wait =
            self.selector.request_wait(edge.timer.now(), is_follower, distribution::CHANGE_WAIT);
        let sent = edge.timer.now();
        let reply = distribution::request_changes(&edge, addr, after, wait).await;
        let now = edge.timer.now();
        let ms = millis(now.saturating_sub(sent));
        match reply {
            Ok(ChangesReply::Changes { revision, changes, current_as_of, bytes }) => {
                let revision = revision.max(after.revision);
                if bytes >= LARGE_REPLY_BYTES {
                    log::info!(target: "config", from = vm.as_str(), after = after.revision,
                        revision = revision, changes = changes.len(), bytes = bytes, ms = ms;
                        "large reply with changes");
                }
                if let Some(as_of) = current_as_of {
                    let age = edge.timer.now_including_suspend().saturating_sub(as_of);
                    record_store_answer(&edge, now.saturating_sub(age));
                }
                if let Err(e) = apply_changes(&edge, changes, revision) {
                    log::warn!(target: "config", from = vm.as_str(), after = after.revision,
                        why = e.to_string(); "unreadable value in a change from another VM");
                    return self.selector.record_failure(now, &vm);
                }
                if let Some(as_of) = current_as_of {
                    edge.store_view().mark_current_as_of(as_of);
                }
                self.position = Some(Position { revision, ..after });
                let age = edge.store_view().age(edge.timer.now_including_suspend());
                let known_within = edge.bounds().known_within();
                self.selector.record_reply(now, &vm, is_follower, age, known_within);
                self.record_source(Source::Vm(vm));
            }
            Ok(ChangesReply::Unknown) => {
                // The store may not answer the other VM either.
                record_store_failure(&edge, now);
                self.selector.record_failure(now, &vm);
            }
            Err(e) => {
                log::warn!(target: "config", from = vm.as_str(), after = after.revision, ms = ms,
                    why = e.to_string(); "cannot get changes from another VM");
                self.selector.record_failure(now, &vm);
            }
        }
    }

    fn is_follower(&self) -> bool {
        let (same_domain, fleet_size) = self.registered_vms();
        SourceSelector::is_follower(&self.local(), &same_domain, fleet_size)
    }

    /// Records the source of the last changes, and logs it if it is another one than before.
    fn record_source(&mut self, source: Source) {
        let from = match &source {
            Source::Vm(vm) => vm.as_str(),
            Source::Store | Source::Wait(_) => "the store",
        };
        let Position { era, revision } = self.position.unwrap_or(Position { era: 0, revision: 0 });
        self.edge.store_view().set_provenance(revision, from);
        if self.source.as_ref() == Some(&source) {
            return;
        }
        log::info!(target: "config", from = from, era = era, revision = revision;
            "getting changes from another source");
        self.source = Some(source);
    }

    async fn handle_store_error(&mut self, e: &store::Error) {
        // Changes that are too long to be read at once would be so each time; pages of the whole store are not.
        if matches!(e, store::Error::Compacted)
            || (matches!(e, store::Error::TooLong) && self.position.is_some())
        {
            self.position = None;
            return;
        }
        if self.source.take_if(|source| *source == Source::Store).is_some() {
            log::warn!(target: "config", why = e.to_string(); "cannot get changes from the store");
        }
        let now = self.edge.timer.now();
        self.selector.record_store_failure(now, self.is_follower(), RETRY_PAUSE);
        if self.position.is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Awaits a call to the store that the store may hold for `wait`, and records whether it answered.
async fn call_store<T>(
    edge: &Edge,
    call: &'static str,
    wait: Duration,
    result: impl Future<Output = Result<T, store::Error>>,
) -> Result<T, store::Error> {
    let sent = edge.timer.now();
    let result = edge.count_store_call(call, result).await;
    let now = edge.timer.now();
    match &result {
        Ok(_) => record_store_answer(edge, now),
        Err(store::Error::Compacted | store::Error::TooLong) => {}
        // A call that fails while the store may hold it was cut. After that, its answer was overdue.
        Err(_) if now <= sent + wait => record_store_failure(edge, now),
        Err(_) => record_store_failure(edge, sent),
    }
    result
}

/// Records that the store answered a call at `at`.
fn record_store_answer(edge: &Edge, at: Now) {
    let outage = edge.store_view().directory.on_store_answer(at, edge.bounds().heartbeat);
    if let Some(outage) = outage {
        log::warn!(target: "config", ms = millis(outage);
            "the store answers again after an outage, entries that are missing may come back");
    }
}

/// Records that a call failed, and that the store has given no sign of life since `silent_since`.
fn record_store_failure(edge: &Edge, silent_since: Now) {
    let (now, heartbeat) = (edge.timer.now(), edge.bounds().heartbeat);
    edge.store_view().directory.on_store_failure(now, silent_since, heartbeat);
}

/// Reads the whole store; returns the position after which to watch. The pages are not a snapshot, so this is the
/// position of the first page.
async fn read_all(edge: &Edge) -> Result<Position, store::Error> {
    let sent = edge.timer.now_including_suspend();
    let mut items = Vec::new();
    let mut first: Option<Position> = None;
    let (first, last) = loop {
        let after = items.last().map(|item: &Item| item.key.clone());
        let range = edge.store.range(ALL_KEYS_PREFIX, after.as_deref());
        let page = call_store(edge, "range", Duration::ZERO, range).await?;
        let first = *first.get_or_insert(page.position);
        if first.era != page.position.era {
            return Err(store::Error::Compacted);
        }
        let is_last = !page.has_more || page.entries.is_empty();
        items.extend(page.entries);
        if is_last {
            break (first, page.position);
        }
    };
    let upstreams: Vec<_> = items.iter().filter_map(upstream_entry).collect();
    let listed: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    let known = edge.distribution.with_journal(|journal| journal.position());
    let known = known.filter(|known| known.era == first.era && known.revision <= first.revision);
    let removed: Vec<_> = {
        let view = edge.store_view();
        view.keys().filter(|key| !listed.contains(key.as_str())).collect()
    };
    let is_restored = begin_era(edge, first, |key| listed.contains(key));
    for item in &items {
        apply_item(edge, item);
    }
    let now = edge.timer.now();
    let mut view = edge.store_view();
    let changes = view.directory.replace_all(now, upstreams, is_restored);
    view.mark_read(sent);
    drop(view);
    match known {
        Some(known) => {
            let later = items.into_iter().filter(|item| item.revision > known.revision);
            let later = later.filter(|item| is_relevant(item, &changes));
            let written = later.filter_map(|item| to_change(Event::Written(item)));
            let removal = |key| Change { key, revision: first.revision, value: None };
            let later = written.chain(removed.into_iter().map(removal)).collect();
            edge.distribution.advance(first.revision, later);
        }
        // The later pages may already contain changes that the next watch returns. These then change nothing here and are
        // not distributed, so the journal is complete only from the last page on.
        None => edge.distribution.with_journal(|journal| journal.reset(last)),
    }
    edge.apply_upstream_changes(changes);
    Ok(first)
}

/// Sets the era of the view and removes the items of the router that the store does not list. Returns whether the store
/// has returned from an older copy.
fn begin_era(
    edge: &Edge,
    Position { era, revision }: Position,
    is_listed: impl Fn(&str) -> bool,
) -> bool {
    let former = edge.begin_era(era, is_listed);
    if let Some(former) = former {
        log::warn!(target: "config", era = era, former = former, revision = revision;
            "the store has returned from an older copy");
    }
    former.is_some()
}

/// Watches once for changes after a position: sleeps for `pause`, then waits for at most `wait`. Returns the position
/// after which to watch next.
async fn watch(
    edge: &Edge,
    position: Position,
    (pause, wait): (Duration, Duration),
) -> Result<Position, store::Error> {
    tokio::time::sleep(pause).await;
    let sent = edge.timer.now_including_suspend();
    let started = edge.timer.now();
    let changes = edge.store.watch(ALL_KEYS_PREFIX, position.revision, wait);
    let batch = call_store(edge, "watch", wait, changes).await?;
    // The changes of another era do not follow those that this VM has, whatever their revisions.
    if batch.position.era != position.era {
        return Err(store::Error::Compacted);
    }
    let revision = batch.position.revision.max(position.revision);
    if batch.entries.iter().any(is_configuration) {
        log::info!(target: "config", after = position.revision, revision = revision,
            changes = batch.entries.len(), ms = millis(edge.timer.now().saturating_sub(started));
            "watch returned a configuration");
    }
    apply_events(edge, batch.entries, revision);
    edge.store_view().mark_read(sent);
    Ok(Position { revision, ..position })
}

fn is_configuration(event: &Event) -> bool {
    matches!(event, Event::Written(item) if item.key == config::CONFIG_KEY)
}

/// Returns the pause before the next watch, in which further changes accumulate, and the time for which the watch
/// waits. The view is at most as old as two watches and the pause between them.
fn watch_timing(edge: &Edge, is_growing: bool) -> (Duration, Duration) {
    let revoke = edge.bounds().revoke;
    let vms = edge.store_view().vms_max();
    let is_shared = vms >= FOLLOWER_ROLE_MIN_VMS;
    let pause = match (is_shared, is_growing) {
        (true, _) => SHARED_WATCH_PAUSE,
        (false, true) => revoke,
        (false, false) => WATCH_PAUSE_PER_VM.saturating_mul(u32::try_from(vms).unwrap_or(u32::MAX)),
    };
    let pause = pause.min(revoke.mul_f64(WATCH_PAUSE_MAX_FRACTION));
    let wait_fraction = if is_shared { SHARED_WATCH_WAIT_FRACTION } else { WATCH_WAIT_FRACTION };
    let wait = revoke.mul_f64(wait_fraction).min(WATCH_WAIT_MAX);
    let wait = wait.min(edge.bounds().config.mul_f64(WATCH_WAIT_CONFIG_FRACTION));
    let wait = wait.saturating_sub(pause / 2);
    let Some(settles_at) = edge.store_view().settles_at() else { return (pause, wait) };
    // The watch after the one that ends then makes the view current.
    let left = settles_at.saturating_sub(edge.timer.now_including_suspend());
    let pause = pause.min(left);
    (pause, left.saturating_sub(pause).clamp(PROBE_WATCH_WAIT, wait))
}
