//! Hedges: second attempts of requests whose first token is overdue.

use std::time::Duration;

use lw_types::prelude::*;

use super::Router;
use crate::{Decision, Hedge, Request, health::Speed};

/// Delay beyond the expected time to first token after which a request at an engine of normal speed may be hedged.
const HEDGE_EXCESS: Duration = Duration::from_millis(400);
/// Delay beyond the expected time to first token after which an engine counts as stalled if it also gave no VM a first
/// token for [`FIRST_TOKEN_GAP_MAX`].
const STALL_EXCESS: Duration = Duration::from_millis(500);
/// Longest time between two first tokens of an engine at normal speed that has work; one long prompt takes less.
const FIRST_TOKEN_GAP_MAX: Duration = Duration::from_millis(900);
/// Hedges of the budget that are reserved for requests at engines that count as slow.
const HEDGES_RESERVED: f64 = 3.0;
/// Largest number of unused hedges that the budget accumulates.
pub(super) const UNUSED_HEDGES_MAX: f64 = 8.0;
/// Delay beyond the expected time to first token after which a probe is hedged.
const PROBE_HEDGE_EXCESS: Duration = Duration::from_millis(100);
/// Time between two checks whether a request needs a hedge.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum by which the expected time to first token of a hedge must be below the time already waited, unless the
/// engine is slow.
const HEDGE_GAIN_MIN: Duration = Duration::from_millis(100);

impl Router {
    /// Checks whether `request` needs a second attempt, because `attempt` has no first token yet. Returns `None` if the
    /// attempt has one or is not in flight.
    ///
    /// `request.deadline` is the time left, and `request.tried` lists the engines that earlier attempts were sent to.
    /// The fraction of requests that are hedged stays within [`crate::Options::hedge_budget`].
    pub fn hedge_due(&mut self, now: Now, request: &Request, attempt: Attempt) -> Option<Hedge> {
        let entry = self.in_flight.get(&(request.id.clone(), attempt))?;
        if entry.has_first_token {
            return None;
        }
        let waited = now.saturating_sub(entry.sent);
        let is_overdue = waited > entry.expected + HEDGE_EXCESS;
        let (sent, expected) = (entry.sent, entry.expected);
        let &position = self.position_by_hash.get(&entry.engine_hash)?;
        let state = &mut self.engines[position];
        let no_first_token_since = state.last_first_token.max(sent);
        if waited > expected + STALL_EXCESS && now > no_first_token_since + FIRST_TOKEN_GAP_MAX {
            state.health.record_stall(now);
        }
        let is_slow = match self.engines[position].health.speed(now) {
            Speed::Slow => true,
            Speed::Suspect => waited > expected + PROBE_HEDGE_EXCESS,
            Speed::Normal => false,
        };
        let needed = if is_slow { 1.0 } else { 1.0 + HEDGES_RESERVED };
        if !(is_overdue || is_slow) || self.unused_hedges < needed {
            return Some(Hedge::CheckAfter(CHECK_INTERVAL));
        }
        let Decision::Send(placement) = self.decide(now, request) else {
            return Some(Hedge::CheckAfter(CHECK_INTERVAL));
        };
        let candidate = placement.candidates.into_iter().next()?;
        if !is_slow && candidate.expected_first_token + HEDGE_GAIN_MIN > waited {
            return Some(Hedge::CheckAfter(CHECK_INTERVAL));
        }
        self.unused_hedges -= 1.0;
        Some(Hedge::Send(candidate))
    }
}
