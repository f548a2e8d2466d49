//! Carries out what [`crate::quota`] decides on the store, and returns unused grants.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_limit::quota::{
    SLOTS,
    keeper::{Fleet, Lease, SlotItem, SlotValue, SlotWrite},
};
use lw_platform::store::{Error, KeyWrite, Precondition};
use lw_types::prelude::*;

use crate::{
    peers,
    quota::SlotEntry,
    register::{self, Registered},
    state::{
        Edge, RouterItem, StoreView,
        keys::{self, QuotaEra},
    },
};

/// Time between two updates of the slots. A lower cap is applied within it.
const UPDATE_PERIOD: Duration = Duration::from_millis(50);
/// Longest time for which a leaving VM waits until its slots are released: two calls to the store that are not answered.
const RELEASE_WAIT_MAX: Duration = Duration::from_millis(1600);
/// Part of the time between the signal to terminate and the kill that this wait takes at most.
const RELEASE_WAIT_FRACTION: f64 = 0.25;

/// Keeps the slots of this VM up to date until the process ends.
pub(super) async fn run(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(UPDATE_PERIOD);
    loop {
        ticks.tick().await;
        start_write(&edge);
        peers::return_grants(&edge);
    }
}

/// Releases the slots of a leaving VM, so that other VMs take them at once. A release that fails is repeated by [`run`].
pub(super) async fn leave(edge: &Arc<Edge>) {
    edge.quota.leave();
    start_write(edge);
    let wait_max = RELEASE_WAIT_MAX.min(edge.bounds().grace.mul_f64(RELEASE_WAIT_FRACTION));
    let end = edge.timer.now() + wait_max;
    while !edge.quota.is_idle() {
        if edge.timer.now() >= end {
            let held = edge.quota.slot_count();
            log::warn!(target: "quota", held = held; "quota slots not released in time");
            return;
        }
        tokio::time::sleep(UPDATE_PERIOD).await;
    }
}

/// Starts the write that is due, if there is one.
fn start_write(edge: &Arc<Edge>) {
    if let Some(write) = update(edge) {
        let edge = Arc::clone(edge);
        tokio::spawn(async move { execute(&edge, write).await });
    }
}

/// Decides which slots are taken or released now.
fn update(edge: &Edge) -> Option<SlotWrite> {
    let bounds = edge.bounds();
    let view = edge.store_view();
    let catalog = view.catalog();
    let has_caps = edge.quota.configure(catalog.as_deref(), &bounds.quota);
    if !has_caps && edge.quota.is_idle() {
        return None;
    }
    let registered = edge.registration.get();
    let mut vms: Vec<_> = view.vms().map(|(vm, _)| vm.as_str()).collect();
    if !vms.contains(&edge.settings.vm.as_str()) {
        vms.push(&edge.settings.vm);
    }
    let items: HashMap<_, _> = (0..SLOTS)
        .filter_map(|slot| {
            let &RouterItem { revision, read_at, .. } = view.router_item(&keys::quota(slot))?;
            let value = view.quota_slot(slot).cloned().map(SlotValue::from);
            Some((slot, SlotItem { revision, value, read_at }))
        })
        .collect();
    let lease_time = register::LEASE_TIME.max(bounds.lease_min);
    let fleet = Fleet {
        own: &edge.settings.vm,
        vms: &vms,
        era: view.era().unwrap_or_default(),
        recorded_era: recorded_era(&view),
        former_leases_end: view.former_leases_end_at(lease_time),
        lease_time,
        is_current: view.is_settled() && view.has_been_current(),
        lease: registered.map(|Registered { lease, valid_until }| Lease {
            id: lease.id,
            era: lease.era,
            valid_until,
        }),
        items: &items,
        has_caps,
    };
    edge.quota.update_slots(&fleet)
}

/// Returns the last era in which a VM has taken slots.
fn recorded_era(view: &StoreView) -> Option<Era> {
    let item = view.router_item(keys::QUOTA_ERA)?;
    serde_json::from_slice::<QuotaEra>(&item.value).ok().map(|record| record.era)
}

/// Writes the keys of slots and records the outcome.
async fn execute(edge: &Edge, write: SlotWrite) {
    let written = write_keys(edge, &write).await.inspect_err(|e| {
        log::debug!(target: "quota", why = e.to_string(); "quota slots not written");
    });
    edge.quota.on_written(write, written.ok());
}

async fn write_keys(edge: &Edge, write: &SlotWrite) -> Result<Position, Error> {
    let encode_error = |e: serde_json::Error| Error::Unreadable(e.to_string());
    let SlotWrite { entries, is_taking, lease, records_era, .. } = write;
    let expected = entries
        .iter()
        .map(|(slot, revision, _)| Precondition { key: keys::quota(*slot), revision: *revision })
        .collect();
    let mut writes = Vec::new();
    for (slot, _, value) in entries {
        let value = serde_json::to_vec(&SlotEntry::from(value)).map_err(encode_error)?;
        let lease = if *is_taking { lease.id } else { 0 };
        writes.push(KeyWrite { key: keys::quota(*slot), value, lease });
    }
    if *records_era {
        let value = serde_json::to_vec(&QuotaEra { era: lease.era }).map_err(encode_error)?;
        writes.push(KeyWrite { key: keys::QUOTA_ERA.to_owned(), value, lease: 0 });
    }
    let written =
        edge.count_store_call("write", edge.store.write(expected, writes, Vec::new())).await?;
    if written.era != lease.era && *is_taking {
        // The keys are bound to a lease of the next era, which may be another VM's and would keep them forever.
        let revision = written.revision;
        let slots = entries.iter().map(|(slot, ..)| keys::quota(*slot));
        let (expected, remove) =
            slots.map(|key| (Precondition { key: key.clone(), revision }, key)).unzip();
        edge.count_store_call("write", edge.store.write(expected, Vec::new(), remove)).await?;
    }
    Ok(written)
}
