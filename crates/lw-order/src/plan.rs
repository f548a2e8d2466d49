//! Derives the desired state of all engines from the operators' configuration.

use std::{collections::BTreeMap, time::Duration};

use lw_config::document::{Document, UpstreamKind};
use lw_types::prelude::*;

use crate::message::{EngineState, ModelState};

/// Desired state of all engines at one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Desired state by engine, without leaving engines.
    pub targets: BTreeMap<UpstreamId, EngineState>,
    /// Number of engines that must keep serving, by role.
    pub minimums: BTreeMap<String, usize>,
    /// Loading rank by engine. The engine with the lowest rank is loaded first; engines without a rank come before
    /// all others.
    pub ranks: BTreeMap<UpstreamId, usize>,
    /// Most engines that load at once, in place of [`crate::options::Options::loading_max`].
    pub loading_max: Option<usize>,
    /// Time from the decision for an order to the end of its load, if it is known. The next order is then sent when
    /// a load should be over, without waiting for the delayed report that shows it.
    pub load_time: Option<Duration>,
}

impl Plan {
    /// Returns the plan of an accepted configuration. An engine loads all models of its role. A provisional
    /// bootstrap document must not be passed.
    ///
    /// ```
    /// let document = lw_config::document::Document::empty();
    /// assert!(lw_order::plan::Plan::new(&document).targets.is_empty());
    /// ```
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let mut states: BTreeMap<&str, EngineState> = BTreeMap::new();
        let mut minimums = BTreeMap::new();
        for (id, model) in &document.models {
            let state = states.entry(&model.role).or_default();
            state.role.clone_from(&model.role);
            let (version, adapters) = (model.version.clone(), model.adapters.clone());
            state.models.insert(id.clone(), ModelState { version, adapters });
            let minimum = minimums.entry(model.role.clone()).or_insert(0);
            *minimum = usize::try_from(model.min_engines).unwrap_or(usize::MAX).max(*minimum);
        }
        let target = |kind: &UpstreamKind| match kind {
            UpstreamKind::Engine { role } => states.get(role.as_str()).cloned(),
            UpstreamKind::Service { .. } => None,
        };
        let engines = document.upstreams.iter().filter(|(_, upstream)| !upstream.is_leaving);
        let targets =
            engines.filter_map(|(id, upstream)| Some((id.clone(), target(&upstream.kind)?)));
        Self { version: document.version, targets: targets.collect(), minimums, ..Self::default() }
    }
}
