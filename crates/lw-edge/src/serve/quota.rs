//! Charges requests to the usage caps of their workspaces.

use std::{sync::Arc, time::Duration};

use lw_limit::quota::{
    holder::Claim,
    requester::{Ask, Grant},
};
use lw_observe::{logs::millis, metrics};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use super::Call;
use crate::{
    peers,
    quota::{Charge, Outcome},
    state::Edge,
};

/// The charges of one request to the usage cap of its workspace.
#[derive(Debug)]
pub(super) struct Usage {
    charge: Option<Charge>,
    /// The grant of the last attempt, until the outcome of the attempt is known.
    sent: Option<Grant>,
}

impl Usage {
    /// Returns the charges of a request that has none yet.
    pub fn new() -> Self {
        Self { charge: None, sent: None }
    }

    /// Makes sure that the request may be sent, if its workspace has a cap. `may_have_run` states whether it is charged for
    /// another attempt, which does not wait.
    pub async fn acquire(
        &mut self,
        edge: &Arc<Edge>,
        call: &Call,
        may_have_run: bool,
    ) -> Result<(), Failure> {
        if may_have_run || self.charge.as_ref().is_some_and(Charge::is_valid) {
            return Ok(());
        }
        let Some(ask) = ask(edge, call) else { return Ok(()) };
        if let Some(expired) = self.charge.take() {
            // It has to count again before the request asks for the same cost.
            drop(expired);
            peers::return_grants(edge);
        }
        let cost = ask.cost();
        let send = |claim: &Claim| peers::ask_for_grant(edge, claim);
        match edge.quota.acquire(ask, send).await {
            Outcome::Admitted(grant) => {
                metrics::increment(&edge.metrics.quota, "granted");
                self.charge = Some(Charge::new(Arc::clone(&edge.quota), grant));
                Ok(())
            }
            Outcome::Refused { retry_after } => {
                metrics::increment(&edge.metrics.quota, "refused");
                log_refusal(edge, call, cost, true, retry_after);
                let text = "the workspace is above its usage cap";
                Err(Failure::new(ResultCode::WorkspaceLimit, text).retry_after(retry_after))
            }
            Outcome::Unavailable { retry_after } => {
                metrics::increment(&edge.metrics.quota, "unavailable");
                log_refusal(edge, call, cost, false, retry_after);
                let text = "the usage cap of the workspace cannot be checked";
                Err(Failure::new(ResultCode::NotReady, text).retry_after(retry_after))
            }
        }
    }

    /// Whether the next attempt may begin without a further grant.
    pub fn is_ready(&self, call: &Call, may_have_run: bool) -> bool {
        may_have_run
            || self.charge.as_ref().is_some_and(Charge::is_valid)
            || call.workspace.as_ref().is_none_or(|workspace| workspace.cap.is_none())
    }

    /// Records that an attempt begins. One without a grant is charged now.
    pub fn on_attempt(&mut self, edge: &Edge, call: &Call) {
        self.sent = self.charge.as_mut().filter(|charge| charge.is_valid()).and_then(Charge::take);
        if self.sent.is_none()
            && let Some(ask) = ask(edge, call)
        {
            metrics::increment(&edge.metrics.quota, "charged");
            let charges = ask.charges(fastrand::u64(..));
            edge.quota.charge_further(charges, |claim| peers::charge(edge, claim));
        }
    }

    /// Records that the last attempt has not run, so that its grant may be used for the next one.
    pub fn on_not_run(&mut self) {
        if let (Some(charge), Some(grant)) = (&mut self.charge, self.sent.take()) {
            charge.restore(grant);
        }
    }
}

/// Returns the request for a grant of a call; none if its workspace has no cap.
fn ask(edge: &Edge, call: &Call) -> Option<Ask> {
    let workspace = call.workspace.as_ref()?;
    let cap = workspace.cap?;
    let cost = cap.cost(call.head.prompt_tokens.saturating_add(call.head.output_tokens_max));
    Some(edge.quota.ask(&workspace.name, cap, cost, call.config, &edge.bounds().quota))
}

/// Logs a refusal with the levels that it is based on, and their ages.
fn log_refusal(edge: &Edge, call: &Call, cost: u64, is_above: bool, retry_after: Duration) {
    let workspace = call.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    let levels =
        edge.quota.slots_of(workspace).map(|slot| match edge.quota.known_level(workspace, slot) {
            Some((level, age)) => format!("{slot}: {level:.0} ({} ms ago)", millis(age)),
            None => format!("{slot}: unknown"),
        });
    let now = edge.timer.now_including_suspend();
    let view_age = edge.store_view().age(now).map(millis).unwrap_or_default();
    let text = if is_above { "above the usage cap" } else { "usage cap not checked" };
    log::info!(target: "quota", request = call.head.request.as_str(), workspace = workspace,
        cost = cost, levels = levels.join(", "), config = call.config, known_ms = view_age,
        retry_after_ms = millis(retry_after); "{text}");
}
