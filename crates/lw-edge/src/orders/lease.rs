//! The issuer's lease: who tries to hold it, takes it, renews it and gives it back.

use std::{sync::Arc, time::Duration};

use lw_order::{
    handover::{IssuerRecord, OrderHistory},
    issuer::LeaseResult,
};
use lw_platform::store::{Error, KeyWrite, Precondition};
use lw_types::prelude::*;

use super::Term;
use crate::{
    register,
    state::{
        Edge, OwnItem,
        keys::{self, LastIssuer},
    },
};

/// VMs that try at once to get the lease when nobody holds it.
const CANDIDATES: usize = 2;
/// Time after which one more VM tries.
const CANDIDATE_PERIOD: Duration = Duration::from_millis(200);
/// Pause between two looks whether the open orders of a leaving issuer were answered.
const QUIET_POLL: Duration = Duration::from_millis(10);
/// Time for which a leaving issuer waits for these answers: the timeout of a call and its connection.
const QUIET_MAX: Duration = Duration::from_secs(1);

/// This VM tries to hold the lease if it holds it, or if nobody does and few VMs come before it. The longer the lease
/// is free the more VMs try, since those before may not reach the store.
pub(super) fn is_eligible(edge: &Edge, now: Now) -> bool {
    let mut state = edge.orders.state();
    let known = edge.known();
    if edge.is_leaving() || known.catalog().is_none() {
        state.free_since = None;
        return false;
    }
    if state.term.is_some() {
        return true;
    }
    if known.own(keys::ISSUER).is_some() {
        state.free_since = None;
        state.has_seen_issuer = true;
        return false;
    }
    let free = now.saturating_sub(*state.free_since.get_or_insert(now));
    let is_start = !state.has_seen_issuer && !known.own(keys::LAST_ISSUER).is_some_and(is_released);
    if is_start && free < register::first_delay(&edge.settings.vm) {
        return false;
    }
    // VMs restart in turn, so the one whose process is the youngest has the most time left. A VM that is not registered
    // yet is younger than all others.
    let own = known.registered_at(&edge.settings.vm).unwrap_or(Revision::MAX);
    let younger = |vm: &VmId| known.registered_at(vm).is_some_and(|revision| revision > own);
    let before = known.vms().filter(|(vm, _)| younger(vm)).count();
    let more = free.as_millis() / CANDIDATE_PERIOD.as_millis();
    before < CANDIDATES + usize::try_from(more).unwrap_or(usize::MAX)
}

fn is_released(item: &OwnItem) -> bool {
    serde_json::from_slice::<LastIssuer>(&item.value).is_ok_and(|last| last.is_released())
}

/// Gives the lease back once no order is open, so that another VM can go on at once and knows how long to wait.
pub async fn hand_over(edge: &Edge) {
    edge.orders.issuer().set_eligible(false);
    let closed = edge.orders.state().term.as_mut().map(|term| {
        term.is_closed = true;
        term.fence
    });
    let Some(fence) = closed else { return };
    edge.orders.issuer().on_order_refused(edge.timer.now_suspended(), fence);
    let is_quiet =
        || edge.orders.state().term.as_ref().is_none_or(|term| term.turns.has_no_open_orders());
    let last = edge.timer.now() + QUIET_MAX;
    while !is_quiet() && edge.timer.now() < last {
        tokio::time::sleep(QUIET_POLL).await;
    }
    let Some(term) = edge.orders.state().term.take_if(|term| term.fence == fence) else { return };
    let released =
        if term.turns.has_no_open_orders() { release(edge, &term).await } else { Ok(false) };
    let ended = match released {
        Ok(true) => Ok(()),
        Ok(false) => edge.counted("end_lease", edge.store.end_lease(term.lease)).await,
        Err(e) => {
            log::warn!(target: "order", fence = fence, why = e.to_string(); "lease not released");
            edge.counted("end_lease", edge.store.end_lease(term.lease)).await
        }
    };
    match ended {
        Ok(()) => log::info!(target: "order", fence = fence; "lease given back"),
        Err(e) => {
            log::warn!(target: "order", fence = fence, why = e.to_string(); "lease lapses");
        }
    }
}

/// Removes the key of the issuer and records its last order, so that the next issuer waits no longer than it must.
async fn release(edge: &Edge, term: &Term) -> Result<bool, Error> {
    let record = term.turns.to_record(edge.timer.now_suspended(), true);
    // Whoever takes the lease writes this record, so that it is unchanged while nobody else has taken it.
    let known = edge.known().own(keys::LAST_ISSUER).map(|item| item.revision);
    let revision = known.filter(|known| *known >= term.fence).unwrap_or(term.fence);
    let expected = vec![Precondition { key: keys::LAST_ISSUER.into(), revision }];
    let write = KeyWrite { key: keys::LAST_ISSUER.into(), value: encode(&record)?, lease: 0 };
    let remove = vec![keys::ISSUER.to_owned()];
    edge.counted("write", edge.store.write(expected, vec![write], remove)).await?;
    Ok(true)
}

fn encode(record: &IssuerRecord) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(&LastIssuer::from(record)).map_err(|e| Error::Unreadable(e.to_string()))
}

pub(super) async fn acquire(edge: Arc<Edge>, op: u64) {
    let result = match take_lease(&edge).await {
        Ok((term, is_after_loss)) => {
            let now = edge.timer.now_suspended();
            let ready_at = ready_at(&edge, &term.turns, is_after_loss, now);
            let fence = term.fence;
            let wait_ms = crate::serve::millis(ready_at.saturating_sub(now));
            log::info!(target: "order", fence = fence, after_loss = is_after_loss,
                wait_ms = wait_ms; "lease acquired");
            let mut state = edge.orders.state();
            state.term = Some(term);
            state.accepted.clear();
            drop(state);
            LeaseResult::GrantedFrom(fence, ready_at)
        }
        Err(Error::Conflict) => LeaseResult::Refused,
        Err(e) => {
            log::debug!(target: "order", why = e.to_string(); "no lease");
            LeaseResult::Failed
        }
    };
    edge.orders.issuer().on_lease_result(edge.timer.now_suspended(), op, result);
    // The VM may have been told to end while the call was under way.
    if edge.is_leaving() {
        hand_over(&edge).await;
    }
}

/// When the first order of a term may be sent.
fn ready_at(edge: &Edge, turns: &OrderHistory, is_after_loss: bool, now: Now) -> Now {
    // Engines that check fencing numbers refuse the late orders of a former issuer themselves.
    if edge.settings.bounds.is_fenced {
        return now;
    }
    let options = &edge.orders.options;
    let after_loss = if is_after_loss { now + options.takeover_wait() } else { now };
    turns.ready_at(options.handover_wait).max(after_loss)
}

/// Takes the lease and the key of the issuer. The key without a lease names the last issuer. Returns the term, and
/// whether the former issuer was lost.
async fn take_lease(edge: &Edge) -> Result<(Term, bool), Error> {
    let last = edge.known().own(keys::LAST_ISSUER).cloned();
    let read = |item: &OwnItem| {
        let last = serde_json::from_slice::<LastIssuer>(&item.value).inspect_err(|e| {
            log::warn!(target: "order", revision = item.revision, why = e.to_string();
                "record of the last issuer is unreadable");
        });
        // Whoever wrote it may have given orders a moment ago.
        let unknown =
            IssuerRecord { holder: VmId::new(), is_released: false, last_orders: Vec::new() };
        (last.map_or(unknown, IssuerRecord::from), item.read_at)
    };
    let record = last.as_ref().map(read);
    let vm = &edge.settings.vm;
    let lease = edge.counted("lease", edge.store.lease(edge.orders.options.lease_ttl)).await?;
    let begin = |now| {
        let record = record.as_ref().map(|(record, read_at)| (record, *read_at));
        OrderHistory::new(vm, record, now)
    };
    let now = edge.timer.now_suspended();
    let value = encode(&begin(now).to_record(now, false))?;
    let last_revision = last.as_ref().map_or(0, |item| item.revision);
    let expected = vec![
        Precondition { key: keys::ISSUER.into(), revision: 0 },
        Precondition { key: keys::LAST_ISSUER.into(), revision: last_revision },
    ];
    let writes = vec![
        KeyWrite { key: keys::ISSUER.into(), value: value.clone(), lease: lease.id },
        KeyWrite { key: keys::LAST_ISSUER.into(), value, lease: 0 },
    ];
    let fence = edge.counted("write", edge.store.write(expected, writes, Vec::new())).await?;
    let turns = begin(edge.timer.now_suspended());
    let is_after_loss =
        OrderHistory::has_unreleased_predecessor(record.as_ref().map(|(record, _)| record), vm);
    Ok((Term { fence, lease: lease.id, turns, is_closed: false }, is_after_loss))
}

pub(super) async fn renew(edge: Arc<Edge>, op: u64, fence: Revision) {
    let lease = {
        let state = edge.orders.state();
        let term = state.term.as_ref().filter(|term| term.fence == fence && !term.is_closed);
        term.map(|term| term.lease)
    };
    let result = match lease {
        None => LeaseResult::Refused,
        Some(id) => match edge.counted("renew", edge.store.renew(id)).await {
            Ok(_) => LeaseResult::Granted(fence),
            Err(Error::Absent) => {
                log::warn!(target: "order", fence = fence; "lease lost");
                edge.orders.state().term.take_if(|term| term.fence == fence);
                LeaseResult::Refused
            }
            Err(e) => {
                log::warn!(target: "order", fence = fence, why = e.to_string(); "lease not renewed");
                LeaseResult::Failed
            }
        },
    };
    edge.orders.issuer().on_lease_result(edge.timer.now_suspended(), op, result);
}
