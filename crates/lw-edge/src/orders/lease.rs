//! The issuer's lease: carries out the calls to the store that [`lw_order::tenure`] decides on.

use std::{sync::Arc, time::Duration};

use lw_order::{
    handover::IssuerRecord,
    tenure::{
        Claimed, IssuerKey, Key, LeaseRef, LeaseView, Renewal, StoredRecord, Term, Transaction,
        Write, preceding_vms,
    },
};
use lw_platform::store::{Error, KeyWrite, Lease, Precondition};
use lw_types::prelude::*;

use crate::state::{
    Edge, RouterItem,
    keys::{self, LastIssuer},
};

/// Time between two checks whether the open orders of a leaving issuer were answered.
const OPEN_ORDERS_POLL: Duration = Duration::from_millis(10);
/// Time for which a leaving issuer waits for these answers: the timeouts of a call and of its connection.
const OPEN_ORDERS_WAIT_MAX: Duration = Duration::from_secs(1);

/// Returns what this VM knows of the store that its terms depend on.
pub(super) fn lease_view(edge: &Edge) -> LeaseView {
    let latest_era = edge.store.latest_era();
    let view = edge.store_view();
    let issuer = view.router_item(keys::ISSUER);
    let decode = |item: &RouterItem| serde_json::from_slice::<LastIssuer>(&item.value).ok();
    LeaseView {
        latest_era,
        era: view.era(),
        former_leases_end: view.former_leases_end_at(edge.orders.options.lease_ttl),
        is_settled: view.is_settled(),
        has_been_current: view.has_been_current(),
        may_issue: !edge.is_leaving() && view.catalog().is_some(),
        issuer: issuer.map_or(IssuerKey::Absent, |item| {
            let record = decode(item).map(IssuerRecord::from);
            record.map_or(IssuerKey::Unreadable, |record| IssuerKey::Held(record.holder))
        }),
        record: view.router_item(keys::LAST_ISSUER).map(|item| StoredRecord {
            content: decode(item).map(LastIssuer::into_record_and_era),
            revision: item.revision,
            read_at: item.read_at,
        }),
    }
}

/// Returns the number of VMs that precede this one as issuers.
pub(super) fn preceding(edge: &Edge) -> usize {
    let view = edge.store_view();
    let registered = view.vms().filter_map(|(vm, _)| view.registered_at(vm));
    preceding_vms(view.registered_at(&edge.settings.vm), registered)
}

/// Releases the lease of a leaving VM once no order is open. Another VM can then become the issuer at once, and learns
/// how long it must wait before its first order.
pub async fn hand_over(edge: &Edge) {
    let now = edge.timer.now_including_suspend();
    let Some(fence) = edge.orders.tenure().close(now) else { return };
    let end = edge.timer.now() + OPEN_ORDERS_WAIT_MAX;
    while edge.orders.tenure().has_open_orders() && edge.timer.now() < end {
        tokio::time::sleep(OPEN_ORDERS_POLL).await;
    }
    let Some(term) = edge.orders.tenure().take_term(fence) else { return };
    end_term(edge, &term).await;
}

/// Ends the lease of a term, and releases it if no order is open.
async fn end_term(edge: &Edge, term: &Term) {
    let fence = term.fence();
    let released = match term.release(edge.timer.now_including_suspend(), edge.store.latest_era()) {
        Some(release) => write(edge, release).await.map(|_| true),
        None => Ok(false),
    };
    let lease = store_lease(edge, term.lease());
    let ended = match released {
        Ok(true) => Ok(()),
        Ok(false) => edge.count_store_call("end_lease", edge.store.end_lease(&lease)).await,
        Err(e) => {
            log::warn!(target: "order", fence = fence, why = e.to_string(); "lease not released");
            edge.count_store_call("end_lease", edge.store.end_lease(&lease)).await
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

fn store_lease(edge: &Edge, LeaseRef { id, era }: LeaseRef) -> Lease {
    Lease { id, era, ttl: edge.orders.options.lease_ttl }
}

fn key_name(key: Key) -> String {
    let name = match key {
        Key::Issuer => keys::ISSUER,
        Key::LastIssuer => keys::LAST_ISSUER,
    };
    name.to_owned()
}

/// Carries out a transaction.
async fn write(edge: &Edge, transaction: Transaction) -> Result<Position, Error> {
    let expected = transaction.expected.into_iter();
    let expected =
        expected.map(|(key, revision)| Precondition { key: key_name(key), revision }).collect();
    let encode = |Write { key, lease, record, era }: Write| {
        let value = serde_json::to_vec(&LastIssuer::new(&record, era))
            .map_err(|e| Error::Unreadable(e.to_string()))?;
        Ok(KeyWrite { key: key_name(key), value, lease })
    };
    let writes = transaction.writes.into_iter().map(encode).collect::<Result<_, Error>>()?;
    let removes = transaction.removes.into_iter().map(key_name).collect();
    edge.count_store_call("write", edge.store.write(expected, writes, removes)).await
}

/// Tries to acquire the lease and reports the result to the issuer.
pub(super) async fn acquire(edge: Arc<Edge>, op: u64) {
    if let Err(e) = claim(&edge, op).await {
        let is_refused = matches!(e, Error::Conflict);
        if !is_refused {
            log::debug!(target: "order", why = e.to_string(); "lease not acquired");
        }
        let now = edge.timer.now_including_suspend();
        edge.orders.tenure().on_not_acquired(now, op, is_refused);
    }
    // The VM may have received the signal to terminate during the call.
    if edge.is_leaving() {
        hand_over(&edge).await;
    }
}

/// Creates the lease and writes the key of the issuer under it.
async fn claim(edge: &Edge, op: u64) -> Result<(), Error> {
    let view = lease_view(edge);
    if let Some(StoredRecord { content: None, revision, .. }) = view.record {
        log::warn!(target: "order", revision = revision; "record of the last issuer is unreadable");
    }
    let claim = edge.orders.tenure().claim(op, &view);
    let mut claim = claim.ok_or(Error::Conflict)?;
    let ttl = edge.orders.options.lease_ttl;
    let Lease { id, era, .. } = edge.count_store_call("lease", edge.store.lease(ttl)).await?;
    let acquire = claim.on_lease(edge.timer.now_including_suspend(), LeaseRef { id, era });
    let begun_at = write(edge, acquire.ok_or(Error::Conflict)?).await?;
    let now = edge.timer.now_including_suspend();
    let claimed = edge.orders.tenure().on_claimed(now, &claim, begun_at);
    match claimed {
        Claimed::Begun { fence, is_after_loss, ready_at } => {
            edge.orders.state().accepted.clear();
            let wait_ms = lw_observe::logs::millis(ready_at.saturating_sub(now));
            log::info!(target: "order", fence = fence, after_loss = is_after_loss, wait_ms = wait_ms;
                "lease acquired");
            Ok(())
        }
        Claimed::TooLate(term) => {
            log::warn!(target: "order", fence = term.fence(); "lease granted too late");
            end_term(edge, &term).await;
            Ok(())
        }
        Claimed::OtherEra(remove) => {
            write(edge, remove).await?;
            Err(Error::Conflict)
        }
    }
}

/// Renews the lease and reports the result to the issuer.
pub(super) async fn renew(edge: Arc<Edge>, op: u64, fence: Revision) {
    let lease = edge.orders.tenure().lease_to_renew(fence);
    let renewal = match lease.map(|lease| store_lease(&edge, lease)) {
        None => Renewal::Absent,
        Some(lease) => match edge.count_store_call("renew", edge.store.renew(&lease)).await {
            Ok(_) => Renewal::Renewed,
            Err(Error::Absent) => {
                log::warn!(target: "order", fence = fence; "lease lost");
                Renewal::Absent
            }
            Err(e) => {
                log::warn!(target: "order", fence = fence, why = e.to_string(); "lease not renewed");
                Renewal::Failed
            }
        },
    };
    let now = edge.timer.now_including_suspend();
    edge.orders.tenure().on_renewal(now, op, fence, renewal);
}
