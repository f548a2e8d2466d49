//! Requests for grants of usage caps, and their replies. They are sent to one VM each.

use std::net::SocketAddr;

use lw_limit::quota::holder::Claim;
use lw_observe::metrics;

use super::{Notice, send_to};
use crate::{
    quota::{ClaimWire, QuotaNotice, Route, SlotEntry},
    state::{Edge, keys},
};

/// Sends a request for a grant to the holder of its slot, unless that is this VM.
pub(crate) fn ask_for_grant(edge: &Edge, claim: &Claim) -> Route {
    match holder(edge, claim.slot) {
        Holder::Own => Route::Own,
        Holder::None => Route::NoHolder,
        Holder::Other(addr) => {
            let wire = ClaimWire::new(claim, edge.settings.peers);
            send_to(edge, addr, Notice::Quota(QuotaNotice::Claim(wire)));
            Route::Sent
        }
    }
}

/// Charges a further attempt to a slot, without waiting.
pub(crate) fn charge(edge: &Edge, claim: &Claim) {
    match holder(edge, claim.slot) {
        Holder::Own => edge.quota.charge(claim),
        Holder::None => {}
        Holder::Other(addr) => {
            let wire = ClaimWire::new(claim, edge.settings.peers);
            send_to(edge, addr, Notice::Quota(QuotaNotice::Charge(wire)));
        }
    }
}

/// Returns the grants that are due to the holders of their slots.
pub(crate) fn return_grants(edge: &Edge) {
    let returns = edge.quota.returns();
    if returns.is_empty() {
        return;
    }
    for returned in edge.quota.take_back_own(returns) {
        metrics::increment(&edge.metrics.quota, "returned");
        if let Holder::Other(addr) = holder(edge, returned.slot) {
            send_to(edge, addr, Notice::Quota(QuotaNotice::Return((&returned).into())));
        }
    }
}

/// Applies a notice of another VM.
pub(super) fn apply(edge: &Edge, notice: &QuotaNotice) {
    match notice {
        QuotaNotice::Claim(wire) => {
            let claim = Claim::from(wire);
            let reply = edge.quota.decide(&claim).into();
            let notice = QuotaNotice::Reply { number: claim.number, reply };
            send_to(edge, wire.addr, Notice::Quota(notice));
        }
        QuotaNotice::Reply { number, reply } => edge.quota.on_reply(*number, reply.into()),
        QuotaNotice::Return(wire) => edge.quota.take_back(&wire.into()),
        QuotaNotice::Charge(wire) => edge.quota.charge(&wire.into()),
    }
}

/// The holder of a slot, as the store names it.
enum Holder {
    Own,
    Other(SocketAddr),
    None,
}

fn holder(edge: &Edge, slot: u8) -> Holder {
    let view = edge.store_view();
    let item = view.router_item(&keys::quota(slot));
    let entry = item.and_then(|item| serde_json::from_slice::<SlotEntry>(&item.value).ok());
    let Some(holder) = entry.and_then(|entry| entry.holder) else { return Holder::None };
    if holder == edge.settings.vm {
        return Holder::Own;
    }
    let addr = view.vms().find(|(vm, _)| **vm == holder).map(|(_, entry)| entry.addr);
    addr.map_or(Holder::None, Holder::Other)
}
