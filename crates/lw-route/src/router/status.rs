//! What the router thinks of each engine, for operators.

use std::time::Duration;

use lw_types::prelude::*;

use super::Router;
use crate::{PlacementReason, health::Speed};

/// State of one engine as this router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine.
    pub engine: UpstreamId,
    /// Why it gets no new work, or only when there is no other; `None` if it is chosen as usual.
    pub exclusion_reason: Option<PlacementReason>,
    /// Attempts of this VM in flight there.
    pub in_flight: usize,
    /// Expected wait for [`Class::Standard`].
    pub wait: Duration,
    /// Prefix entries held for it.
    pub entries: usize,
}

impl Router {
    /// The state of all engines.
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
        let in_flight = |key: u64| self.in_flight.values().filter(|e| e.engine == key).count();
        let status = |state: &super::State| EngineStatus {
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
            in_flight: in_flight(state.key),
            wait: Duration::from_secs_f64(
                state.load.ahead(now, Class::Standard, state.rate) / state.rate,
            ),
            entries: state.index.len(),
        };
        self.engines.iter().map(status).collect()
    }
}
