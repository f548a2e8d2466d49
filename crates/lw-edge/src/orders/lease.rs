//! The issuer's lease: who tries to hold it, takes it, renews it and gives it back.

use std::{sync::Arc, time::Duration};

use lw_order::issuer::LeaseResult;
use lw_platform::store::{Error, Expected, KeyWrite};
use lw_types::prelude::*;

use crate::state::{
    Edge,
    keys::{self, LastIssuer},
};

/// VMs that try at once to get the lease when nobody holds it.
const CANDIDATES: usize = 2;
/// Time after which one more VM tries.
const CANDIDATE_PERIOD: Duration = Duration::from_millis(200);

/// This VM tries to hold the lease if it holds it, or if nobody does and few VMs come before it. The longer the lease
/// is free the more VMs try, since those before may not reach the store.
pub(super) fn is_eligible(edge: &Edge, now: Now) -> bool {
    let mut state = edge.orders.state();
    if state.lease.is_some() {
        return true;
    }
    let known = edge.known();
    if known.catalog().is_none() || known.own(keys::ISSUER).is_some() || edge.is_leaving() {
        state.free_since = None;
        return false;
    }
    let free = now.saturating_sub(*state.free_since.get_or_insert(now));
    let own = vm_rank(&edge.settings.vm);
    let before = known.vms().filter(|(vm, _)| vm_rank(vm) > own).count();
    let more = free.as_millis() / CANDIDATE_PERIOD.as_millis();
    before < CANDIDATES + usize::try_from(more).unwrap_or(usize::MAX)
}

fn vm_rank(vm: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(vm.as_bytes())
}

/// Gives the lease back, so that another VM can go on at once.
pub async fn hand_over(edge: &Edge) {
    let lease = edge.orders.state().lease.take();
    edge.orders.issuer().set_eligible(false);
    let Some((fence, id)) = lease else { return };
    edge.orders.issuer().on_refused(edge.timer.now_suspended(), fence);
    match edge.counted("end_lease", edge.store.end_lease(id)).await {
        Ok(()) => log::info!(target: "order", fence = fence; "lease given back"),
        Err(e) => {
            log::warn!(target: "order", fence = fence, why = e.to_string(); "lease lapses");
        }
    }
}

pub(super) async fn acquire(edge: Arc<Edge>, op: u64) {
    let result = match take_lease(&edge).await {
        Ok((fence, id, is_first)) => {
            log::info!(target: "order", fence = fence, first = is_first; "lease acquired");
            let mut state = edge.orders.state();
            state.lease = Some((fence, id));
            state.accepted.clear();
            drop(state);
            // Engines that check fencing numbers refuse the late orders of a former issuer themselves.
            if is_first || edge.settings.bounds.is_fenced {
                LeaseResult::GrantedFirst(fence)
            } else {
                LeaseResult::Granted(fence)
            }
        }
        Err(Error::Conflict) => LeaseResult::Refused,
        Err(e) => {
            log::debug!(target: "order", why = e.to_string(); "no lease");
            LeaseResult::Failed
        }
    };
    edge.orders.issuer().on_lease(edge.timer.now_suspended(), op, result);
    // The VM may have been told to end while the call was under way.
    if edge.is_leaving() {
        hand_over(&edge).await;
    }
}

/// Takes the lease and the key of the issuer. The key without a lease names the last issuer.
async fn take_lease(edge: &Edge) -> Result<(Revision, u64, bool), Error> {
    let last = edge.known().own(keys::LAST_ISSUER).cloned();
    let lease = edge.counted("lease", edge.store.lease(edge.orders.options.lease_ttl)).await?;
    let vm = edge.settings.vm.clone();
    let value = serde_json::to_vec(&LastIssuer { vm: vm.clone() })
        .map_err(|e| Error::Unreadable(e.to_string()))?;
    let last_revision = last.as_ref().map_or(0, |item| item.revision);
    let expected = vec![
        Expected { key: keys::ISSUER.into(), revision: 0 },
        Expected { key: keys::LAST_ISSUER.into(), revision: last_revision },
    ];
    let writes = vec![
        KeyWrite { key: keys::ISSUER.into(), value: value.clone(), lease: lease.id },
        KeyWrite { key: keys::LAST_ISSUER.into(), value, lease: 0 },
    ];
    let fence = edge.counted("write", edge.store.write(expected, writes, Vec::new())).await?;
    let is_own = |item: crate::state::OwnItem| {
        serde_json::from_slice::<LastIssuer>(&item.value).is_ok_and(|last| last.vm == vm)
    };
    Ok((fence, lease.id, last.is_none_or(is_own)))
}

pub(super) async fn renew(edge: Arc<Edge>, op: u64, fence: Revision) {
    let lease = edge.orders.state().lease.filter(|(held, _)| *held == fence);
    let result = match lease {
        None => LeaseResult::Refused,
        Some((_, id)) => match edge.counted("renew", edge.store.renew(id)).await {
            Ok(_) => LeaseResult::Granted(fence),
            Err(Error::Absent) => {
                log::warn!(target: "order", fence = fence; "lease lost");
                edge.orders.state().lease = None;
                LeaseResult::Refused
            }
            Err(e) => {
                log::warn!(target: "order", fence = fence, why = e.to_string(); "lease not renewed");
                LeaseResult::Failed
            }
        },
    };
    edge.orders.issuer().on_lease(edge.timer.now_suspended(), op, result);
}
