//! Versions that the engines of a role have loaded.

use super::Router;
use crate::LoadedVersion;

/// Versions of a model and its adapter, and the number of usable engines that have loaded them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionCount {
    /// Version of the model.
    pub model: String,
    /// Version of the adapter; `None` if the query had no adapter.
    pub adapter: Option<String>,
    /// Number of engines that have loaded both.
    pub engines: usize,
}

impl Router {
    /// Counts the versions of `model`, and of `adapter` if there is one, that the engines of `role` have loaded.
    /// Engines that are leaving or have not reported their loaded versions are not counted.
    ///
    /// ```
    /// let router = lw_route::Router::new(lw_route::Options::default());
    /// assert!(router.loaded_versions("assistant", "m", None).is_empty());
    /// ```
    #[must_use]
    pub fn loaded_versions(
        &self,
        role: &str,
        model: &str,
        adapter: Option<&str>,
    ) -> Vec<VersionCount> {
        let mut counts: Vec<VersionCount> = Vec::new();
        for state in &self.engines {
            if state.engine.role != role || state.is_leaving() {
                continue;
            }
            let version = |name: &str| version_of(state.loaded(), name);
            let Some(model) = version(model) else { continue };
            let adapter = match adapter.map(version) {
                None => None,
                Some(Some(version)) => Some(version),
                Some(None) => continue,
            };
            let is_same =
                |count: &&mut VersionCount| count.model == model && count.adapter == adapter;
            match counts.iter_mut().find(is_same) {
                Some(count) => count.engines += 1,
                None => counts.push(VersionCount { model, adapter, engines: 1 }),
            }
        }
        counts
    }
}

fn version_of(loaded: &[LoadedVersion], name: &str) -> Option<String> {
    loaded.iter().find(|loaded| loaded.name == name).map(|loaded| loaded.version.clone())
}
