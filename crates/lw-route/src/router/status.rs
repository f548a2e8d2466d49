//! State of each engine as the router assumes it, for operators.

use std::time::Duration;

use lw_types::prelude::*;

use super::Router;
use crate::{PlacementReason, health::Speed};

/// State of one engine as this router assumes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineStatus {
    /// Id of the engine.
    pub engine: UpstreamId,
    /// Why the engine gets no new requests, or only if there is no other; `None` if it gets requests as usual.
    pub exclusion_reason: Option<PlacementReason>,
    /// Number of attempts of this VM in flight at the engine.
    pub in_flight: usize,
    /// Expected wait for a request of [`Class::Standard`] until its prefill starts.
    pub wait: Duration,
    /// Number of blocks in the prefix index of the engine.
    pub index_entries: usize,
}

impl Router {
    /// Returns the state of all engines.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_route::{Engine, Options, Router};
    /// let mut router = Router::new(Options::default());
    /// router.set_engines(Duration::ZERO, &[Engine { id: "engine-1".into(), ..Engine::default() }]);
    /// assert_eq!(router.engine_status(Duration::ZERO)[0].exclusion_reason, None);
    /// ```
    #[must_use]
    pub fn engine_status(&self, now: Now) -> Vec<EngineStatus> {
        let in_flight =
            |id_hash: u64| self.in_flight.values().filter(|e| e.engine_hash == id_hash).count();
        let status = |state: &super::EngineState| EngineStatus {
            engine: state.engine.id.clone(),
            exclusion_reason: if state.is_leaving() {
                Some(PlacementReason::Leaving)
            } else if state.has_failed(now) {
                Some(PlacementReason::Failed)
            } else if state.health.speed(now) == Speed::Slow {
                Some(PlacementReason::Slow)
            } else {
                None
            },
            in_flight: in_flight(state.id_hash),
            wait: Duration::from_secs_f64(
                state.queue.tokens_ahead(now, Class::Standard, state.prefill_rate)
                    / state.prefill_rate,
            ),
            index_entries: state.index.len(),
        };
        self.engines.iter().map(status).collect()
    }
}
