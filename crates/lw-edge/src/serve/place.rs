//! Selects the upstream of an attempt by what is in force at that moment: a request may have waited, or been sent before.

use std::time::Duration;

use lw_place::{CacheScope, Placement, PlacementRequest, Refusal, UpstreamPool};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use super::{
    admit,
    forward::{Driver, Purpose},
    software::version_gone,
};

/// Time before the bound on stale weights ends from which on requests are placed on engines with the new weights only.
/// A request may wait in its engine's queue for most of it.
const STALE_WEIGHTS_MARGIN: Duration = Duration::from_secs(2);

/// Longest time for which a new stream waits until its slot belongs to a version that has engines, and time between two checks.
const REASSIGNMENT_TIME: Duration = Duration::from_millis(400);
const REASSIGNMENT_POLL: Duration = Duration::from_millis(20);

/// The requests with which an attempt shares cached segments, as the configuration in force says.
#[derive(Debug)]
pub(super) struct ScopeInForce {
    pub cache_scope: CacheScope,
    /// Version of that configuration.
    pub config: ConfigVersion,
}

/// Where an attempt is sent.
#[derive(Debug)]
pub(super) struct Placed {
    pub placement: Placement,
    pub scope: ScopeInForce,
}

impl Driver {
    /// Selects the upstream of the next attempt and waits until the upstream's limit allows it.
    pub async fn place_in_turn(&self, purpose: Purpose) -> Result<Placed, Failure> {
        loop {
            self.check_quarantine(purpose)?;
            let placed = self.place_when_assigned(purpose).await?;
            let upstream = &placed.placement.upstream.id;
            let now = self.edge.timer.now();
            let reserve = |pool: &mut UpstreamPool| pool.reserve_turn(now, upstream);
            let turn = self.edge.with_upstream_pool(&self.call.service, reserve).flatten();
            let Some(turn) = turn else { return Ok(placed) };
            tokio::time::sleep(turn.at.saturating_sub(now)).await;
            let now = self.edge.timer.now();
            let may_send = |pool: &mut UpstreamPool| pool.may_send_in_turn(now, upstream, turn);
            // A workspace may have become isolated during the wait.
            let is_scope_valid = self.scope_in_force().cache_scope == placed.scope.cache_scope;
            if is_scope_valid
                && self.edge.with_upstream_pool(&self.call.service, may_send) == Some(true)
            {
                self.check_quarantine(purpose)?;
                return Ok(placed);
            }
            if now >= self.call.due {
                return Err(self.refusal("no upstream's limit allowed it in time"));
            }
        }
    }

    /// Returns with which requests an attempt that is placed now shares cached segments. A workspace that was isolated when its
    /// request was accepted stays so for this request.
    fn scope_in_force(&self) -> ScopeInForce {
        let catalog = self.edge.store_view().catalog();
        let is_isolated = |name: &str| catalog.as_ref().is_some_and(|c| c.is_isolated(name));
        let workspace = self.call.workspace.as_deref();
        let isolated = workspace.filter(|w| w.is_isolated || is_isolated(&w.name));
        let cache_scope = match isolated {
            Some(workspace) => CacheScope::Isolated(workspace.name.clone()),
            None => CacheScope::Shared {
                isolated_set: catalog.as_ref().map_or(0, |catalog| catalog.isolated_set()),
            },
        };
        ScopeInForce { cache_scope, config: catalog.map_or(self.call.config, |c| c.version) }
    }

    /// Selects the upstream of the next attempt. If no engine is left of the version that is to begin the stream, waits for a
    /// moment until the store names another one.
    async fn place_when_assigned(&self, purpose: Purpose) -> Result<Placed, Failure> {
        let end = self.edge.timer.now() + REASSIGNMENT_TIME;
        loop {
            match self.place(purpose)? {
                Some(placed) => return Ok(placed),
                None if self.edge.timer.now() >= end => {
                    let refusal = self.refusal(&Refusal::NoneOfVersion.to_string());
                    return Err(refusal.retry_after(REASSIGNMENT_TIME));
                }
                None => tokio::time::sleep(REASSIGNMENT_POLL).await,
            }
        }
    }

    /// Selects the upstream of the next attempt; none if no engine is left of the version that is to begin the stream.
    fn place(&self, purpose: Purpose) -> Result<Option<Placed>, Failure> {
        let now = self.edge.timer.now();
        let scope = self.scope_in_force();
        let software = self.software()?;
        let has_begun = self.call.resumption.is_some();
        // Its caller has had the first event, and waits for the next one.
        let target =
            if has_begun { self.call.route.max_wait() } else { self.call.route.target_latency };
        let target = self.call.arrived + target;
        let request = PlacementRequest {
            prompt: self.call.prompt.as_ref(),
            cache_scope: &scope.cache_scope,
            request_hash: self.call.id_hash,
            tried: &self.tried,
            software: software.as_deref(),
            has_begun,
            returns_to: match purpose {
                Purpose::Serve | Purpose::TakeOver => None,
                Purpose::Return => self.left.last().map(String::as_str),
            },
            peers: self.edge.store_view().vms_max().saturating_sub(1),
            time_left: self.call.due.saturating_sub(now),
            time_to_target: target.saturating_sub(now),
            max_wait: self.call.route.max_wait(),
            suspended: self.edge.timer.now_including_suspend().saturating_sub(now),
            stale_weights_time: self.edge.bounds().version.saturating_sub(STALE_WEIGHTS_MARGIN),
        };
        let place = |pool: &mut UpstreamPool| match (purpose, pool.place(now, &request)) {
            (Purpose::Serve | Purpose::Return, Err(Refusal::Limited(time))) => {
                pool.record_unserved(now);
                Err(Refusal::Limited(time))
            }
            // An upstream that failed is selected only if all others did too.
            (Purpose::TakeOver, Ok(placed)) if pool.is_deprioritized(now, &placed.upstream.id) => {
                Err(Refusal::NoneUsable)
            }
            (_, placed) => placed,
        };
        let placed = self.edge.with_upstream_pool(&self.call.service, place);
        let placed = placed.ok_or_else(|| self.refusal("the service is not known"))?;
        if matches!(placed, Err(Refusal::NoneOfVersion)) {
            return match &self.software {
                Some(software) if self.may_have_run() => {
                    Err(self.refusal(&version_gone(software).message))
                }
                Some(software) => Err(version_gone(software)),
                None => Ok(None),
            };
        }
        let placement = placed.map_err(|e| match e {
            Refusal::WaitTooLong(wait) => {
                let time = admit::retry_after(&self.edge, &self.call, wait);
                self.refusal(&e.to_string()).retry_after(time)
            }
            Refusal::BackingOff(time) | Refusal::Limited(time) => {
                self.refusal(&e.to_string()).retry_after(time)
            }
            Refusal::NoneReady | Refusal::NoneUsable | Refusal::NoneOfVersion => {
                self.refusal(&e.to_string())
            }
        })?;
        Ok(Some(Placed { placement, scope }))
    }
}
