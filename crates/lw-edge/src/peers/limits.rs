//! Limits that upstreams name, as VMs tell each other.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use lw_limit::upstream::{Evidence, Origin};
use lw_observe::logs::millis;
use lw_place::{LimitReport, TurnRequest};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Notice, random_others, send_to};
use crate::{limits::log_change, state::Edge};

/// Longest time for which a message is assumed to be on its way.
const MESSAGE_TIME_MAX: Duration = Duration::from_millis(500);
/// VMs that a VM asks for limits.
const RECIPIENTS_MAX: usize = 4;

/// A limit as it is encoded in [`Notice::Limits`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitWire {
    upstream: UpstreamId,
    incarnation: Incarnation,
    /// Requests a second; none if the upstream names no limit any more.
    limit: Option<f64>,
    /// Time since the request was sent whose answer states this, in milliseconds.
    sent_age_ms: u64,
    /// Time since that answer was received, in milliseconds.
    received_age_ms: u64,
}

/// A turn at a limited upstream, as it is encoded in [`Notice::TurnRequest`] and [`Notice::Turn`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TurnWire {
    upstream: UpstreamId,
    incarnation: Incarnation,
    /// Number of the request, which the reply repeats.
    nonce: u64,
}

impl From<&TurnRequest> for TurnWire {
    fn from(request: &TurnRequest) -> Self {
        let TurnRequest { upstream, incarnation, nonce, .. } = request;
        Self { upstream: upstream.clone(), incarnation: *incarnation, nonce: *nonce }
    }
}

/// Why a limit in a message is not used.
#[derive(Debug, Display, Error)]
#[display("limit {limit} of {upstream}")]
pub struct InvalidLimit {
    upstream: UpstreamId,
    limit: f64,
}

/// Encodes a report as of a time.
impl From<(Now, &LimitReport)> for LimitWire {
    fn from((now, report): (Now, &LimitReport)) -> Self {
        let LimitReport { upstream, incarnation, evidence } = report;
        Self {
            upstream: upstream.clone(),
            incarnation: *incarnation,
            limit: evidence.limit,
            // Rounded up, so that the request does not seem to have been sent later than it was.
            sent_age_ms: millis(now.saturating_sub(evidence.sent_at)).saturating_add(1),
            received_age_ms: millis(now.saturating_sub(evidence.received_at)),
        }
    }
}

impl LimitWire {
    /// Decodes a report that was received at `now`.
    ///
    /// # Errors
    ///
    /// When the limit is negative or not a finite number.
    pub fn report(&self, now: Now) -> Result<LimitReport, InvalidLimit> {
        if let Some(limit) = self.limit.filter(|limit| !limit.is_finite() || *limit < 0.0) {
            return Err(InvalidLimit { upstream: self.upstream.clone(), limit });
        }
        let before = |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        let evidence = Evidence {
            limit: self.limit,
            sent_at: before(self.sent_age_ms).saturating_sub(MESSAGE_TIME_MAX),
            received_at: before(self.received_age_ms),
        };
        let (upstream, incarnation) = (self.upstream.clone(), self.incarnation);
        Ok(LimitReport { upstream, incarnation, evidence })
    }
}

/// Applies the limits that another VM reports.
pub(super) fn apply(edge: &Edge, reports: &[LimitWire]) {
    let now = edge.timer.now();
    for wire in reports {
        let report = match wire.report(now) {
            Ok(report) => report,
            Err(e) => {
                log::warn!(target: "member", why = e.to_string(); "limit in a message not used");
                continue;
            }
        };
        let mut has_changed = false;
        for pool in edge.upstream_pools().values_mut() {
            has_changed |= pool.observe_limit(now, &report, Origin::Other);
        }
        if has_changed {
            log_change(&report, "another VM");
        }
    }
}

/// Replies to a VM that asks for limits.
pub(super) fn reply(edge: &Edge, addr: SocketAddr) {
    let now = edge.timer.now();
    let reports: Vec<_> =
        edge.upstream_pools().values().flat_map(lw_place::UpstreamPool::known_limits).collect();
    if !reports.is_empty() {
        let reports = reports.iter().map(|report| LimitWire::from((now, report))).collect();
        send_to(edge, addr, Notice::Limits(reports));
    }
}

/// Asks a few other VMs for the limits that they know.
pub(crate) fn request(edge: &Edge) {
    for addr in random_others(edge, RECIPIENTS_MAX) {
        send_to(edge, addr, Notice::LimitsRequest { addr: edge.settings.peers });
    }
}

/// Asks another VM for a turn.
pub(crate) fn ask_for_turn(edge: &Edge, request: &TurnRequest) {
    send_to_vm(edge, &request.lender, Notice::TurnRequest(request.into()));
}

/// Lends a turn to the VM that asks for one, if this VM does not need it.
pub(super) fn lend_turn(edge: &Edge, borrower: &str, turn: &TurnWire) {
    let now = edge.timer.now();
    let is_lent = edge
        .upstream_pools()
        .values_mut()
        .any(|pool| pool.lend_turn(now, &turn.upstream, turn.incarnation));
    if is_lent {
        send_to_vm(edge, borrower, Notice::Turn(turn.clone()));
    }
}

/// Records a turn that another VM lent.
pub(super) fn accept_turn(edge: &Edge, turn: &TurnWire) {
    let now = edge.timer.now();
    for pool in edge.upstream_pools().values_mut() {
        pool.accept_turn(now, &turn.upstream, turn.incarnation, turn.nonce);
    }
}

fn send_to_vm(edge: &Edge, vm: &str, notice: Notice) {
    let entry = edge.store_view().vms().find(|(name, _)| *name == vm).map(|(_, entry)| entry.addr);
    if let Some(addr) = entry {
        send_to(edge, addr, notice);
    }
}
