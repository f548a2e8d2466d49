//! Requests for grants of usage caps, and their replies. They are sent to one VM each.

use std::net::SocketAddr;

use lw_limit::quota::holder::Claim;
use lw_observe::metrics;

use super::{Notice, send_to};
use crate::{
    quota::{ClaimWire, QuotaNotice, Route},
    state::Edge,
};

/// Sends a request for a grant to the other VM that holds its slot.
pub(crate) fn ask_for_grant(edge: &Edge, claim: &Claim) -> Route {
    let Some(addr) = other_holder(edge, claim.slot) else { return Route::NoHolder };
    let wire = ClaimWire::new(claim, edge.settings.peers);
    send_to(edge, addr, Notice::Quota(QuotaNotice::Claim(wire)));
    Route::Sent
}

/// Charges a further attempt at the other VM that holds its slot, without waiting.
pub(crate) fn charge(edge: &Edge, claim: &Claim) -> Route {
    let Some(addr) = other_holder(edge, claim.slot) else { return Route::NoHolder };
    let wire = ClaimWire::new(claim, edge.settings.peers);
    send_to(edge, addr, Notice::Quota(QuotaNotice::Charge(wire)));
    Route::Sent
}

/// Returns the grants that are due to the holders of their slots.
pub(crate) fn return_grants(edge: &Edge) {
    for returned in edge.quota.returns_to_others() {
        metrics::increment(&edge.metrics.quota, "returned");
        if let Some(addr) = other_holder(edge, returned.slot) {
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

/// Returns the address of the other VM that the store names as the holder of a slot.
fn other_holder(edge: &Edge, slot: u8) -> Option<SocketAddr> {
    let view = edge.store_view();
    let holder = view.quota_slot(slot)?.holder.as_ref()?;
    if *holder == edge.settings.vm {
        return None;
    }
    view.vm(holder).map(|entry| entry.addr)
}
