//! Which version of a model a request uses while a new one is being rolled out.
//!
//! Engines load the new version a few at a time. If all requests used it at once, the first engines that have it would
//! receive the load of all engines. So requests are divided between the new and the previous version in proportion to
//! the engines that have each, by a hash of the prompt's start: requests with the same prefix use the same version.

use lw_config::document::Model;
use lw_route::router::versions::VersionCount;
use xxhash_rust::xxh3::xxh3_64;

/// Number of bytes at the start of a prompt whose hash selects its version during a rollout.
const PREFIX_BYTES: usize = 4096;

/// Versions of the model and the adapter for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versions {
    /// Version of the model.
    pub model: String,
    /// Version of the adapter, if the request uses one.
    pub adapter: Option<String>,
}

/// Returns the versions to try for a prompt, best first, depending on the versions that the engines have loaded.
/// `target` is the version of the active configuration, `previous` the one that it replaces.
///
/// ```
/// use lw_daemon::callers::rollout::{Versions, versions_to_try};
/// let target = Versions { model: "2".into(), adapter: None };
/// assert_eq!(versions_to_try(target.clone(), None, &[], "prompt"), [target]);
/// ```
#[must_use]
pub fn versions_to_try(
    target: Versions,
    previous: Option<Versions>,
    loaded: &[VersionCount],
    prompt: &str,
) -> Vec<Versions> {
    let engine_count = |versions: &Versions| {
        let found = loaded
            .iter()
            .find(|count| count.model == versions.model && count.adapter == versions.adapter);
        found.map_or(0, |count| count.engines)
    };
    let Some(previous) = previous.filter(|previous| *previous != target) else {
        return vec![target];
    };
    let (new, old) = (engine_count(&target), engine_count(&previous));
    if old == 0 {
        return vec![target];
    }
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let bucket = xxh3_64(prefix) % (new + old) as u64;
    if bucket < new as u64 { vec![target, previous] } else { vec![previous, target] }
}

/// Returns the versions that a configuration sets for a model and an adapter. `None` if the model has no such adapter.
#[must_use]
pub fn configured_versions(model: &Model, adapter: Option<&str>) -> Option<Versions> {
    let adapter = match adapter {
        None => None,
        Some(name) => Some(model.adapters.get(name)?.clone()),
    };
    Some(Versions { model: model.version.clone(), adapter })
}
