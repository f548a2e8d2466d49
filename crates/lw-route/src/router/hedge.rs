//! Second attempts of requests whose first token is late.

use std::time::Duration;

use lw_types::prelude::*;

use super::Router;
use crate::{Decision, Hedge, Request, health::Speed};

/// A first token later than expected by this calls for a hedge.
const LATE_EXCESS: Duration = Duration::from_millis(400);
/// A first token later than expected by this is evidence of slowness if the engine is silent as well.
const OVERDUE_EXCESS: Duration = Duration::from_millis(500);
/// An engine that gave nobody a first token for this long is silent. One long prompt at normal speed takes less.
const SILENCE: Duration = Duration::from_millis(900);
/// Hedges kept for requests at engines that are known to be slow.
const HEDGES_RESERVED: f64 = 3.0;
/// Most hedges saved up.
pub(super) const HEDGES_MAX: f64 = 8.0;
/// A probe that is later than expected by this is hedged.
const PROBE_EXCESS: Duration = Duration::from_millis(100);
/// Time between looks at a request that has no first token yet.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A hedge must be expected to win by at least this.
const GAIN_MIN: Duration = Duration::from_millis(100);

impl Router {
    /// Whether `attempt` of `request`, which has no first token yet, needs a second attempt.
    ///
    /// `request.deadline` is the time left, and `request.tried` names the engines that were tried. The part of
    /// requests that are hedged stays within [`crate::Options::hedge_budget`].
    pub fn hedge_due(&mut self, now: Now, request: &Request, attempt: Attempt) -> Option<Hedge> {
        let entry = self.in_flight.get(&(request.id.clone(), attempt))?;
        if entry.has_first_token {
            return None;
        }
        let waited = now.saturating_sub(entry.sent);
        let is_late = waited > entry.expected + LATE_EXCESS;
        let (sent, expected) = (entry.sent, entry.expected);
        let &place = self.by_key.get(&entry.engine)?;
        let state = &mut self.engines[place];
        let silent_since = state.last_first_token.max(sent);
        if waited > expected + OVERDUE_EXCESS && now > silent_since + SILENCE {
            state.health.stalled(now);
        }
        let is_slow = match self.engines[place].health.speed(now) {
            Speed::Slow => true,
            Speed::Suspect => waited > expected + PROBE_EXCESS,
            Speed::Normal => false,
        };
        let needed = if is_slow { 1.0 } else { 1.0 + HEDGES_RESERVED };
        if !(is_late || is_slow) || self.hedges < needed {
            return Some(Hedge::CheckAfter(LOOK_EVERY));
        }
        let Decision::Send(placement) = self.decide(now, request) else {
            return Some(Hedge::CheckAfter(LOOK_EVERY));
        };
        let candidate = placement.candidates.into_iter().next()?;
        if !is_slow && candidate.expected_first_token + GAIN_MIN > waited {
            return Some(Hedge::CheckAfter(LOOK_EVERY));
        }
        self.hedges -= 1.0;
        Some(Hedge::Send(candidate))
    }
}
