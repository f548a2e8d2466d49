//! Which engine the next attempt of a request goes to, within the retry budget.

use std::time::Duration;

use lw_limit::retry::{self, Kind};
use lw_route::{Candidate, Decision, Hedge};
use lw_stream::event::Cause;
use lw_types::prelude::*;

use super::Driver;

/// Time within which an interrupted answer must go on at another engine.
const RESUME_DEADLINE: Duration = Duration::from_secs(10);

/// Why an attempt is not made, and when the caller may come back.
pub(super) type Denied = (ResultCode, Option<Duration>);

impl Driver {
    /// The engine for an attempt.
    pub(super) fn choose(
        &mut self,
        cause: Cause,
        resume_from: TokenIndex,
    ) -> Result<Candidate, Denied> {
        let now = self.tables.timer.now();
        match cause {
            Cause::First => {
                // A first attempt of a caller's request always arrives; only repeated ones are paid for.
                let arrived = self.tables.limits().budget.record_arrival(now, self.carried);
                arrived.map_err(|e| self.denied(e))?;
                let first = self.job.placement.candidates.first().cloned();
                first.ok_or((ResultCode::NoUpstream, None))
            }
            Cause::Hedge => self.hedge.take().ok_or((ResultCode::Overloaded, None)),
            // Nothing ran at an engine that refused or was not reached, so another attempt repeats no work.
            Cause::Failed(code) if code.executed() == Executed::No => self.choose_again(now),
            _ => self.choose_within_budget(now, resume_from),
        }
    }

    fn choose_within_budget(
        &mut self,
        now: Now,
        resume_from: TokenIndex,
    ) -> Result<Candidate, Denied> {
        if resume_from > 0 {
            self.carried.deadline = now + RESUME_DEADLINE;
        }
        let spent = self.tables.limits().budget.spend(now, Kind::Retry, self.carried);
        match spent {
            Ok(carried) => self.carried = carried,
            Err(e) => return Err(self.denied(e)),
        }
        self.choose_again(now)
    }

    fn denied(&self, e: retry::Error) -> Denied {
        self.tables.note("limit", &self.job.request.id, &format!("no retry: {e}"));
        (ResultCode::StreamBroken, None)
    }

    fn choose_again(&mut self, now: Now) -> Result<Candidate, Denied> {
        let mut request = self.untried(now);
        request.deadline = self.carried.remaining(now);
        let mut router = self.tables.router();
        let mut decision = router.decide(now, &request);
        if matches!(&decision, Decision::Refuse(refusal) if refusal.code == ResultCode::NoUpstream)
        {
            // All engines were tried. One that failed this request may still complete it.
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

    /// The request with the time left for its first token and without the engines that were tried.
    fn untried(&self, now: Now) -> lw_route::Request {
        let mut request = self.job.request.clone();
        request.tried.clone_from(&self.tried);
        request.deadline = self.due.saturating_sub(now);
        request
    }

    /// Asks the router whether a second attempt is worth it and keeps the engine for it.
    pub(super) fn is_hedge_due(&mut self, now: Now) -> bool {
        self.hedge_at = None;
        let [running] = &self.running[..] else { return false };
        let due = self.tables.router().hedge_due(now, &self.untried(now), running.attempt);
        match due {
            Some(Hedge::CheckAfter(time)) => {
                self.hedge_at = Some(now + time);
                false
            }
            Some(Hedge::Send(candidate)) => {
                let spent = self.tables.limits().budget.spend(now, Kind::Hedge, self.carried);
                if let Ok(carried) = spent {
                    self.carried = carried;
                    self.hedge = Some(candidate);
                }
                spent.is_ok()
            }
            None => false,
        }
    }
}
