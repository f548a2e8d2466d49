//! Reads the whole store. A VM that starts gets a large store from another VM of its failure domain if it can.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use lw_platform::store::{self, Batch, Item};
use lw_types::prelude::*;

use super::{ALL_KEYS_PREFIX, apply_item, begin_era, upstream_entry};
use crate::{
    distribution::{
        journal::Change,
        snapshot::{self, Snapshot},
        source::{FOLLOWER_ROLE_MIN_VMS, Source, SourceSelector},
    },
    register,
    state::{
        Edge, StoreView,
        keys::{self, VmEntry},
    },
};

/// Time for which a VM that starts asks others for their view before it reads the store. The followers read it meanwhile.
const PEERS_TIME: Duration = Duration::from_secs(3);
/// Pause after a VM that has no view yet, and most that is added at random.
const PEER_PAUSE: Duration = Duration::from_millis(100);
const PEER_JITTER_MS: u64 = 100;
/// Longest wait for the first VMs of a fleet to register, in multiples of [`register::startup_delay`].
const FIRST_VMS_WAIT: u32 = 2;

/// Reads the whole store, or gets it from another VM; returns the position after which to watch, and the source. Pages are not a
/// snapshot, so this is the position of the first page.
pub(super) async fn read_all(edge: &Edge) -> Result<(Position, Source), store::Error> {
    let mut sent = edge.timer.now_including_suspend();
    let mut page = read_page(edge, None).await?;
    let is_large = page.has_more;
    // After an outage of the store, each VM must read what the store contains now.
    if is_large && edge.store_view().era().is_none() {
        if vms(&page).count() < FOLLOWER_ROLE_MIN_VMS {
            tokio::time::sleep(register::startup_delay(&edge.settings.vm) * FIRST_VMS_WAIT).await;
            sent = edge.timer.now_including_suspend();
            page = read_page(edge, None).await?;
        }
        if let Some((vm, snapshot)) = request_snapshot(edge, &page).await {
            return Ok((install_snapshot(edge, snapshot), Source::Vm(vm)));
        }
    }
    let first = page.position;
    let mut items = page.entries;
    let mut last = first;
    let mut has_more = page.has_more;
    while has_more {
        let after = items.last().map(|item: &Item| item.key.clone());
        let page = read_page(edge, after.as_deref()).await?;
        if first.era != page.position.era {
            return Err(store::Error::Compacted);
        }
        last = page.position;
        has_more = page.has_more && !page.entries.is_empty();
        items.extend(page.entries);
    }
    // The later pages may already contain changes that the next watch returns. These then change nothing here and are
    // not distributed, so the journal is complete only from the last page on.
    let kept = is_large.then(|| items.iter().filter_map(to_change).collect::<Vec<_>>());
    install(edge, first, items, |view| view.mark_read(sent));
    edge.distribution.with_journal(|journal| match kept {
        Some(kept) => journal.reset_with_items(last, first.revision, kept.into_iter()),
        None => journal.reset(last),
    });
    Ok((first, Source::Store))
}

async fn read_page(edge: &Edge, after: Option<&str>) -> Result<Batch<Item>, store::Error> {
    edge.count_store_call("range", edge.store.range(ALL_KEYS_PREFIX, after)).await
}

/// Replaces the view by these items. `mark` records how current they are.
fn install(edge: &Edge, position: Position, items: Vec<Item>, mark: impl FnOnce(&mut StoreView)) {
    let upstreams: Vec<_> = items.iter().filter_map(upstream_entry).collect();
    let listed: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    let is_restored = begin_era(edge, position, |key| listed.contains(key));
    for item in items {
        apply_item(edge, &item);
    }
    let now = edge.timer.now();
    let mut view = edge.store_view();
    let changes = view.directory.replace_all(now, upstreams, is_restored);
    mark(&mut view);
    drop(view);
    edge.apply_upstream_changes(changes);
}

fn install_snapshot(edge: &Edge, snapshot: Snapshot) -> Position {
    let Snapshot { position, current_as_of, items } = snapshot;
    let to_item = |change: &Change| {
        let Change { key, revision, value } = change.clone();
        Some(Item { key, value: Ok(value?), revision })
    };
    let listed = items.iter().filter_map(to_item).collect();
    install(edge, position, listed, |view| {
        if let Some(as_of) = current_as_of {
            view.mark_current_as_of(as_of);
        }
    });
    edge.distribution.with_journal(|journal| {
        journal.reset_with_items(position, position.revision, items.into_iter());
    });
    position
}

fn to_change(item: &Item) -> Option<Change> {
    let value = item.value.as_ref().ok()?.clone();
    Some(Change { key: item.key.clone(), revision: item.revision, value: Some(value) })
}

/// Returns the registered VMs that a page lists.
fn vms(page: &Batch<Item>) -> impl Iterator<Item = (&str, VmEntry)> {
    page.entries.iter().filter_map(|item| {
        let vm = item.key.strip_prefix(keys::VM_PREFIX)?;
        Some((vm, serde_json::from_slice(item.value.as_ref().ok()?).ok()?))
    })
}

/// Requests the view of the store from other VMs of the failure domain that the first page lists. Returns none if this VM is to
/// read the store, or has asked for long enough.
async fn request_snapshot(edge: &Edge, page: &Batch<Item>) -> Option<(VmId, Snapshot)> {
    let (own, domain) = (&edge.settings.vm, &edge.settings.failure_domain);
    let fleet_size = vms(page).count();
    let same_domain: Vec<_> =
        vms(page).filter(|(_, entry)| entry.failure_domain == *domain).collect();
    let names: Vec<VmId> = same_domain.iter().map(|(vm, _)| (*vm).to_owned()).collect();
    if SourceSelector::is_follower(own, &names, fleet_size) {
        return None;
    }
    let others: Vec<(&str, SocketAddr)> = same_domain
        .iter()
        .filter(|(vm, _)| vm != own)
        .map(|(vm, entry)| (*vm, entry.addr))
        .collect();
    let key = page.entries.iter().find(|item| item.key == keys::PEER_KEY)?.value.as_ref().ok()?;
    let until = edge.timer.now() + PEERS_TIME;
    while edge.timer.now() < until {
        // Any VM that has a view passes it on, so that the followers do not send it to all.
        let (vm, addr) = *others.get(fastrand::usize(..others.len().max(1)))?;
        match snapshot::request(edge, key, addr).await {
            Ok(snapshot) => {
                log::info!(target: "config", from = vm, items = snapshot.items.len(),
                    era = snapshot.position.era, revision = snapshot.position.revision;
                    "view of the store received from another VM");
                return Some((vm.to_owned(), snapshot));
            }
            Err(e) => log::debug!(target: "config", vm = vm, why = e.to_string();
                "no view of the store from another VM"),
        }
        tokio::time::sleep(PEER_PAUSE + Duration::from_millis(fastrand::u64(..PEER_JITTER_MS)))
            .await;
    }
    log::info!(target: "config", asked_ms = PEERS_TIME.as_millis();
        "reading the store, no other VM has a view of it");
    None
}
