//! What the router thinks of each engine, for operators.

use std::time::Duration;

use lw_types::prelude::*;

use super::Router;
use crate::{Why, health::Speed};

/// State of one engine as this router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSurvey {
    /// The engine.
    pub engine: UpstreamId,
    /// Why it gets no new work, or only when there is no other; `None` if it is chosen as usual.
    pub excluded: Option<Why>,
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
    /// assert_eq!(router.survey(Duration::ZERO)[0].excluded, None);
    /// ```
    #[must_use]
    pub fn survey(&self, now: Now) -> Vec<EngineSurvey> {
        let in_flight = |key: u64| self.in_flight.values().filter(|e| e.engine == key).count();
        let survey = |state: &super::State| EngineSurvey {
            engine: state.engine.id.clone(),
            excluded: if state.is_leaving() {
                Some(Why::Leaving)
            } else if state.has_failed(now) {
                Some(Why::Failed)
            } else if state.health.speed(now) == Speed::Slow {
                Some(Why::Slow)
            } else {
                None
            },
            in_flight: in_flight(state.key),
            wait: Duration::from_secs_f64(
                state.load.ahead(now, Class::Standard, state.rate) / state.rate,
            ),
            entries: state.index.len(),
        };
        self.engines.iter().map(survey).collect()
    }
}
