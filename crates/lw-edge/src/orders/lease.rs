//! The issuer's lease: decides whether this VM tries to acquire it, acquires, renews and releases it.

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
        Edge, RouterItem,
        keys::{self, LastIssuer},
    },
};

/// VMs that try to acquire the lease as soon as nobody holds it.
const CANDIDATES: usize = 2;
/// Time after which one more VM tries to acquire the lease.
const CANDIDATE_PERIOD: Duration = Duration::from_millis(200);
/// Time between two checks whether the open orders of a leaving issuer were answered.
const OPEN_ORDERS_POLL: Duration = Duration::from_millis(10);
/// Time for which a leaving issuer waits for these answers: the timeouts of a call and of its connection.
const OPEN_ORDERS_WAIT_MAX: Duration = Duration::from_secs(1);

/// Bits of a fencing number that contain the revision; those above contain the era. Numbers of up to 53 bits are exact in
/// JSON.
const FENCE_REVISION_BITS: u32 = 42;

/// Returns the fencing number of a term that began with this write. It grows with each write of a store that may return
/// from an older copy, after which revisions are lower but the era is higher.
fn fence(Position { era, revision }: Position) -> Revision {
    (era << FENCE_REVISION_BITS) | revision
}

/// Ends the term of this VM if its lease is lost: the store has returned from an older copy since it began, so that its id
/// may belong to another holder, or the issuer's key is gone, so that another VM can acquire it. In both cases the lease
/// might still be renewed.
pub(super) fn end_lost_term(edge: &Edge, now: Now) {
    let era = edge.store.latest_era();
    let lost = edge.orders.state().term.take_if(|term| {
        let is_key_gone = !term.is_closed && is_key_gone(edge, term);
        // The keys of one write are read one after the other, so that only the second check counts.
        let was_key_gone = std::mem::replace(&mut term.is_key_gone, is_key_gone);
        term.begun_at.era != era || is_key_gone && was_key_gone
    });
    if let Some(term) = lost {
        log::warn!(target: "order", fence = term.fence, era = era; "lease lost");
        edge.orders.issuer().on_order_refused(now, term.fence);
    }
}

/// Whether this VM has read the write that began its term, and the issuer's key is not this VM's.
fn is_key_gone(edge: &Edge, term: &Term) -> bool {
    let view = edge.store_view();
    let record = view.router_item(keys::LAST_ISSUER);
    if record.is_none_or(|record| record.revision < term.begun_at.revision) {
        return false;
    }
    let Some(item) = view.router_item(keys::ISSUER) else { return true };
    let holder = serde_json::from_slice::<LastIssuer>(&item.value).map(IssuerRecord::from);
    holder.is_ok_and(|record| record.holder != edge.settings.vm)
}

/// Returns whether this VM may hold the lease: it already does, or nobody does and few VMs precede this one. The longer
/// the lease is free, the more VMs are eligible, since those that precede may not reach the store.
pub(super) fn is_eligible(edge: &Edge, now: Now) -> bool {
    let mut state = edge.orders.state();
    let view = edge.store_view();
    // The holder of a lease that the store has lost relies on it for as long as it lasts.
    let lease_ttl = edge.orders.options.lease_ttl;
    let is_lease_free = view.is_settled()
        || view.has_been_current()
            && view.former_leases_end_at(lease_ttl).is_some_and(|end| now >= end);
    if edge.is_leaving() || view.catalog().is_none() || !is_lease_free {
        state.free_since = None;
        return false;
    }
    if state.term.is_some() {
        return true;
    }
    if view.router_item(keys::ISSUER).is_some() {
        state.free_since = None;
        state.has_seen_issuer = true;
        return false;
    }
    let free = now.saturating_sub(*state.free_since.get_or_insert(now));
    let is_start =
        !state.has_seen_issuer && !view.router_item(keys::LAST_ISSUER).is_some_and(is_released);
    if is_start && free < register::startup_delay(&edge.settings.vm) {
        return false;
    }
    // VMs restart one after another, so that the one that registered last has the most time until its next restart. A
    // VM that is not registered yet will be the last one.
    let own = view.registered_at(&edge.settings.vm).unwrap_or(Revision::MAX);
    let is_younger = |vm: &VmId| view.registered_at(vm).is_some_and(|revision| revision > own);
    let preceding = view.vms().filter(|(vm, _)| is_younger(vm)).count();
    let further = free.as_millis() / CANDIDATE_PERIOD.as_millis();
    preceding < CANDIDATES + usize::try_from(further).unwrap_or(usize::MAX)
}

/// Whether a record of the last issuer was written in this era. An unreadable one may have been.
fn is_of_era(item: &RouterItem, era: Era) -> bool {
    serde_json::from_slice::<LastIssuer>(&item.value).map_or(true, |last| last.is_of_era(era))
}

fn is_released(item: &RouterItem) -> bool {
    serde_json::from_slice::<LastIssuer>(&item.value).is_ok_and(|last| last.is_released())
}

/// Releases the lease of a leaving VM once no order is open. Another VM can then become the issuer at once, and learns
/// how long it must wait before its first order.
pub async fn hand_over(edge: &Edge) {
    edge.orders.issuer().set_eligible(false);
    let closed = edge.orders.state().term.as_mut().map(|term| {
        term.is_closed = true;
        term.fence
    });
    let Some(fence) = closed else { return };
    edge.orders.issuer().on_order_refused(edge.timer.now_including_suspend(), fence);
    let has_no_open_order =
        || edge.orders.state().term.as_ref().is_none_or(|term| term.history.has_no_open_orders());
    let end = edge.timer.now() + OPEN_ORDERS_WAIT_MAX;
    while !has_no_open_order() && edge.timer.now() < end {
        tokio::time::sleep(OPEN_ORDERS_POLL).await;
    }
    let Some(term) = edge.orders.state().term.take_if(|term| term.fence == fence) else { return };
    end_term(edge, &term).await;
}

/// Ends the lease of a term, and releases it if no order is open.
async fn end_term(edge: &Edge, term: &Term) {
    let fence = term.fence;
    let released =
        if term.history.has_no_open_orders() { release(edge, term).await } else { Ok(false) };
    let ended = match released {
        Ok(true) => Ok(()),
        Ok(false) => edge.count_store_call("end_lease", edge.store.end_lease(&term.lease)).await,
        Err(e) => {
            log::warn!(target: "order", fence = fence, why = e.to_string(); "lease not released");
            edge.count_store_call("end_lease", edge.store.end_lease(&term.lease)).await
        }
    };
    match ended {
        Ok(()) => log::info!(target: "order", fence = fence; "lease released"),
        Err(e) => {
            log::warn!(target: "order", fence = fence, why = e.to_string();
                "lease not ended, it will expire");
        }
    }
}

/// Removes the key of the issuer and records the time of its last order, so that the next issuer waits no longer than
/// necessary. Returns false if the store has returned from an older copy since, where the key may be another VM's.
async fn release(edge: &Edge, term: &Term) -> Result<bool, Error> {
    let Position { era, revision } = term.begun_at;
    if edge.store.latest_era() != era {
        return Ok(false);
    }
    let record = term.history.to_record(edge.timer.now_including_suspend(), true);
    // Each VM that acquires the lease writes this record, so that the revision of this term's own record shows that the key
    // is still this VM's.
    let expected = vec![Precondition { key: keys::LAST_ISSUER.into(), revision }];
    let write = KeyWrite { key: keys::LAST_ISSUER.into(), value: encode(&record, era)?, lease: 0 };
    let remove = vec![keys::ISSUER.to_owned()];
    edge.count_store_call("write", edge.store.write(expected, vec![write], remove)).await?;
    Ok(true)
}

fn encode(record: &IssuerRecord, era: Era) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(&LastIssuer::new(record, era)).map_err(|e| Error::Unreadable(e.to_string()))
}

/// Tries to acquire the lease and reports the result to the issuer.
pub(super) async fn acquire(edge: Arc<Edge>, op: u64) {
    let report = |result| {
        edge.orders.issuer().on_lease_result(edge.timer.now_including_suspend(), op, result);
    };
    match create_lease(&edge).await {
        Ok((term, is_after_loss)) => {
            if let Err(term) = begin_term(&edge, op, term, is_after_loss) {
                log::warn!(target: "order", fence = term.fence; "lease granted too late");
                end_term(&edge, &term).await;
            }
        }
        Err(Error::Conflict) => report(LeaseResult::Refused),
        Err(e) => {
            log::debug!(target: "order", why = e.to_string(); "lease not acquired");
            report(LeaseResult::Failed);
        }
    }
    // The VM may have received the signal to terminate during the call.
    if edge.is_leaving() {
        hand_over(&edge).await;
    }
}

/// Begins a term whose lease was granted by the call with number `op`.
///
/// # Errors
///
/// Returns the term if the issuer has given up that call: it would not renew the lease.
fn begin_term(edge: &Edge, op: u64, term: Term, is_after_loss: bool) -> Result<(), Term> {
    let now = edge.timer.now_including_suspend();
    let ready_at = ready_at(edge, &term.history, is_after_loss, now);
    let fence = term.fence;
    let mut state = edge.orders.state();
    let mut issuer = edge.orders.issuer();
    issuer.on_lease_result(now, op, LeaseResult::GrantedFrom(fence, ready_at));
    if issuer.held_fence(now) != Some(fence) {
        return Err(term);
    }
    state.term = Some(term);
    state.accepted.clear();
    let wait_ms = crate::serve::millis(ready_at.saturating_sub(now));
    log::info!(target: "order", fence = fence, after_loss = is_after_loss, wait_ms = wait_ms;
        "lease acquired");
    Ok(())
}

/// Returns when the first order of a term may be sent.
fn ready_at(edge: &Edge, history: &OrderHistory, is_after_loss: bool, now: Now) -> Now {
    // Engines that check fencing numbers refuse delayed orders of a former issuer themselves.
    if edge.settings.bounds.is_fenced {
        return now;
    }
    let options = &edge.orders.options;
    let after_loss = if is_after_loss { now + options.takeover_wait() } else { now };
    history.ready_at(options.handover_wait).max(after_loss)
}

/// Creates the lease and writes the key of the issuer under it. Writes the record of the last issuer too, which is
/// bound to no lease. Returns the term, and whether the former issuer was lost without releasing its lease.
async fn create_lease(edge: &Edge) -> Result<(Term, bool), Error> {
    let lease_ttl = edge.orders.options.lease_ttl;
    let (era, former_leases_end, last) = {
        let view = edge.store_view();
        let end = view.former_leases_end_at(lease_ttl);
        let (Some(era), Some(end)) = (view.era(), end) else { return Err(Error::Conflict) };
        (era, end, view.router_item(keys::LAST_ISSUER).cloned())
    };
    let has_record_of_era = last.as_ref().is_some_and(|item| is_of_era(item, era));
    let read = |item: &RouterItem| {
        let last = serde_json::from_slice::<LastIssuer>(&item.value).inspect_err(|e| {
            log::warn!(target: "order", revision = item.revision, why = e.to_string();
                "record of the last issuer is unreadable");
        });
        // The VM that wrote an unreadable record may have sent orders just before.
        let unknown =
            IssuerRecord { holder: VmId::new(), is_released: false, last_orders: Vec::new() };
        let mut record = last.map_or(unknown, IssuerRecord::from);
        // The holder of another era is one of those whose later records may be lost.
        record.is_released |= !has_record_of_era;
        (record, item.read_at)
    };
    let record = last.as_ref().map(read);
    let vm = &edge.settings.vm;
    let lease = edge.count_store_call("lease", edge.store.lease(lease_ttl)).await?;
    if lease.era != era {
        return Err(Error::Conflict);
    }
    let begin = |now: Now| {
        let record = record.as_ref().map(|(record, read_at)| (record, *read_at));
        let mut history = OrderHistory::new(vm, record, now);
        if !has_record_of_era {
            // The store may have lost the records of later holders.
            history.add_unknown_orders(former_leases_end.min(now));
        }
        history
    };
    let now = edge.timer.now_including_suspend();
    let value = encode(&begin(now).to_record(now, false), era)?;
    let last_revision = last.as_ref().map_or(0, |item| item.revision);
    let expected = vec![
        Precondition { key: keys::ISSUER.into(), revision: 0 },
        Precondition { key: keys::LAST_ISSUER.into(), revision: last_revision },
    ];
    let writes = vec![
        KeyWrite { key: keys::ISSUER.into(), value: value.clone(), lease: lease.id },
        KeyWrite { key: keys::LAST_ISSUER.into(), value, lease: 0 },
    ];
    let begun_at =
        edge.count_store_call("write", edge.store.write(expected, writes, Vec::new())).await?;
    if begun_at.era != era {
        return abandon_key(edge, begun_at).await;
    }
    let history = begin(edge.timer.now_including_suspend());
    let is_after_loss =
        OrderHistory::has_unreleased_predecessor(record.as_ref().map(|(record, _)| record), vm);
    let term = Term {
        fence: fence(begun_at),
        begun_at,
        lease,
        history,
        is_key_gone: false,
        is_closed: false,
    };
    Ok((term, is_after_loss))
}

/// Removes the key of the issuer, which was written as the store returned from an older copy: it is bound to a lease that
/// may be another holder's, and would then never expire.
async fn abandon_key<T>(edge: &Edge, written_at: Position) -> Result<T, Error> {
    let revision = written_at.revision;
    let expected = vec![Precondition { key: keys::ISSUER.into(), revision }];
    let remove = vec![keys::ISSUER.to_owned()];
    edge.count_store_call("write", edge.store.write(expected, Vec::new(), remove)).await?;
    Err(Error::Conflict)
}

/// Renews the lease and reports the result to the issuer.
pub(super) async fn renew(edge: Arc<Edge>, op: u64, fence: Revision) {
    let lease = {
        let state = edge.orders.state();
        let term = state.term.as_ref().filter(|term| term.fence == fence && !term.is_closed);
        term.map(|term| term.lease)
    };
    let result = match lease {
        None => LeaseResult::Refused,
        Some(lease) => match edge.count_store_call("renew", edge.store.renew(&lease)).await {
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
    edge.orders.issuer().on_lease_result(edge.timer.now_including_suspend(), op, result);
}
