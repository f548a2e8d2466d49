//! Which version of a model a request uses while a new one is being rolled out.
//!
//! Engines load the new version a few at a time. If all requests used it at once, the first engines that have it would
//! get the load of all. So requests are divided between the new version and the one before it in proportion to the
//! engines that have each, by the hash of their prompt's start: requests with the same prefix use the same version.

use lw_config::document::Model;
use lw_route::router::versions::VersionCount;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes at the start of a prompt that decide its version during a rollout.
const PREFIX_BYTES: usize = 4096;

/// Versions to use for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versions {
    /// Version of the model.
    pub model: String,
    /// Version of the adapter, if the request names one.
    pub adapter: Option<String>,
}

/// The versions to try for a prompt, best first, from what the configurations name and what engines have loaded.
///
/// ```
/// use lw_daemon::callers::rollout::{Versions, choose};
/// let wanted = Versions { model: "2".into(), adapter: None };
/// assert_eq!(choose(wanted.clone(), None, &[], "prompt"), [wanted]);
/// ```
#[must_use]
pub fn choose(
    wanted: Versions,
    previous: Option<Versions>,
    loaded: &[VersionCount],
    prompt: &str,
) -> Vec<Versions> {
    let count = |versions: &Versions| {
        let found = loaded
            .iter()
            .find(|count| count.model == versions.model && count.adapter == versions.adapter);
        found.map_or(0, |count| count.engines)
    };
    let Some(previous) = previous.filter(|previous| *previous != wanted) else {
        return vec![wanted];
    };
    let (new, old) = (count(&wanted), count(&previous));
    if old == 0 {
        return vec![wanted];
    }
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let place = xxh3_64(start) % (new + old) as u64;
    if place < new as u64 { vec![wanted, previous] } else { vec![previous, wanted] }
}

/// The versions that a configuration names for a model and an adapter.
#[must_use]
pub fn named(model: &Model, adapter: Option<&str>) -> Option<Versions> {
    let adapter = match adapter {
        None => None,
        Some(name) => Some(model.adapters.get(name)?.clone()),
    };
    Some(Versions { model: model.version.clone(), adapter })
}
