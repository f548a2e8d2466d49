//! Selects the engine for the next attempt of a request, within the retry budget.

use std::{net::SocketAddr, time::Duration};

use lw_limit::retry::{self, Kind};
use lw_route::{Candidate, Decision, Hedge};
use lw_stream::event::Cause;
use lw_types::prelude::*;

use super::Driver;

/// Time within which an interrupted answer must continue at another engine.
pub(super) const RESUME_DEADLINE: Duration = Duration::from_secs(10);

/// Why an attempt is not made, and the time after which the caller may retry.
pub(super) type Denial = (ResultCode, Option<Duration>);

impl Driver {
    /// Returns the engine for an attempt.
    pub(super) fn candidate_for(
        &mut self,
        cause: Cause,
        resume_from: TokenIndex,
    ) -> Result<Candidate, Denial> {
        let now = self.tables.timer.now();
        match cause {
            Cause::First => {
                // Always allowed and added to the retry budget, unless attempts with another version may have run: then
                // it is charged to the budget, which may refuse it.
                let arrived = self.tables.limits().budget.record_arrival(now, self.context);
                arrived.map_err(|e| self.denial(e))?;
                let candidate = self.job.placement.candidates.first().cloned();
                candidate.ok_or((ResultCode::NoUpstream, None))
            }
            Cause::Hedge => self.hedge_candidate.take().ok_or((ResultCode::Overloaded, None)),
            // Nothing ran at an engine that refused or was not reached, so another attempt repeats no work.
            Cause::Failed(code) if code.executed() == Executed::No => self.place_again(now),
            _ => self.place_within_budget(now, resume_from),
        }
    }

    fn place_within_budget(
        &mut self,
        now: Now,
        resume_from: TokenIndex,
    ) -> Result<Candidate, Denial> {
        if resume_from > 0 {
            self.context.deadline = now + RESUME_DEADLINE;
        }
        // Placed first, so that a request that no engine can take costs no retry.
        let candidate = self.place_again(now)?;
        let next_context = self.tables.limits().budget.spend(now, Kind::Retry, self.context);
        self.context = next_context.map_err(|e| self.denial(e))?;
        Ok(candidate)
    }

    fn denial(&self, e: retry::Error) -> Denial {
        self.tables.record_step("limit", &self.job.request.id, &format!("no retry: {e}"));
        (ResultCode::StreamBroken, None)
    }

    fn place_again(&mut self, now: Now) -> Result<Candidate, Denial> {
        let mut request = self.request_without_tried(now);
        request.deadline = self.context.remaining(now);
        let mut router = self.tables.router();
        let mut decision = router.decide(now, &request);
        if matches!(&decision, Decision::Refuse(refusal) if refusal.code == ResultCode::NoUpstream)
        {
            // All engines were tried. One where this request has failed may still complete it.
            request.tried.clear();
            decision = router.decide(now, &request);
        }
        match decision {
            Decision::Send(placement) => {
                placement.candidates.into_iter().next().ok_or((ResultCode::NoUpstream, None))
            }
            Decision::Refuse(refusal) => Err((refusal.code, Some(refusal.retry_after))),
        }
    }

    /// Returns the request with the time left for its first token and without the engines that were tried.
    fn request_without_tried(&self, now: Now) -> lw_route::Request {
        let mut request = self.job.request.clone();
        request.tried.clone_from(&self.tried_engines);
        request.deadline = self.first_token_due.saturating_sub(now);
        request
    }

    /// Returns the address of an engine that the router has selected. The router may know engines that were added or moved
    /// after the request arrived.
    pub(super) fn engine_address(&self, engine: &UpstreamId) -> Option<SocketAddr> {
        let active = self.tables.active_config()?;
        active.document.upstreams.get(engine).map(|upstream| upstream.address)
    }

    /// Returns whether the router and the retry budget allow a hedge now. If so, charges it to the budget and stores
    /// the engine for it.
    pub(super) fn prepare_hedge(&mut self, now: Now) -> bool {
        self.hedge_check_at = None;
        let [running] = &self.running[..] else { return false };
        let decision =
            self.tables.router().hedge_due(now, &self.request_without_tried(now), running.attempt);
        match decision {
            Some(Hedge::CheckAfter(time)) => {
                self.hedge_check_at = Some(now + time);
                false
            }
            Some(Hedge::Send(candidate)) => {
                let next_context =
                    self.tables.limits().budget.spend(now, Kind::Hedge, self.context);
                if let Ok(context) = next_context {
                    self.context = context;
                    self.hedge_candidate = Some(candidate);
                }
                next_context.is_ok()
            }
            None => false,
        }
    }
}
