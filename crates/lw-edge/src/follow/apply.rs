//! Applies changes of the store to this VM's view of it.

use std::time::Duration;

use lw_catalog::upstreams::Change as UpstreamChange;
use lw_observe::logs::millis;
use lw_platform::{
    config, registry,
    store::{self, Event, Item},
};
use lw_types::prelude::*;

use crate::{
    distribution::{journal::Change, value::Value},
    state::{Edge, RouterItem, TargetVersion, keys},
};

/// Assumed age of a version of weights that became the target while this VM did not follow the store, as a fraction of
/// the time in which all engines must serve the version. The remaining time is for other VMs to report the actual age.
const UNDATED_AGE_FRACTION: f64 = 0.8;

/// Returns the id and the upstream of an item under a key of an upstream. The upstream is `None` if its entry cannot be
/// used.
pub(super) fn upstream_entry(item: &Item) -> Option<(UpstreamId, Option<lw_catalog::Upstream>)> {
    let id = registry::upstream_id(&item.key)?;
    let value = item.value.as_deref().map_err(ToString::to_string);
    let parsed =
        value.and_then(|value| registry::decode_upstream(id, value).map_err(|e| e.to_string()));
    let upstream = parsed.inspect_err(|e| {
        log::warn!(target: "member", upstream = id, revision = item.revision, why = e.as_str();
            "unusable entry of an upstream");
    });
    Some((id.to_owned(), upstream.ok()))
}

/// Applies an item of the router, a configuration or a target version of weights.
pub(super) fn apply_item(edge: &Edge, item: &Item) {
    let value = match &item.value {
        Ok(value) => value,
        Err(e) => return log_unreadable(item, e),
    };
    if item.key.starts_with(keys::PREFIX) {
        let read_at = edge.timer.now_including_suspend();
        let router_item = RouterItem { value: value.clone(), revision: item.revision, read_at };
        edge.store_view().set_router_item(&item.key, Some(router_item));
    } else if item.key == config::CONFIG_KEY {
        let started = edge.timer.now();
        match config::decode_catalog(value) {
            Ok(catalog) => {
                let version = catalog.version;
                if edge.install(catalog) {
                    log::info!(target: "config", config = version, revision = item.revision,
                        bytes = value.len(), ms = millis(edge.timer.now().saturating_sub(started));
                        "configuration in force");
                }
            }
            Err(e) => log_unreadable(item, &e),
        }
    } else if config::is_target_version(&item.key) {
        match config::decode_target_version(value) {
            Ok(target) => {
                let dated = dated_target(edge, target.version);
                if edge.store_view().add_target_version(&target.model, dated) {
                    log::info!(target: "order", model = target.model.as_str(),
                        weights = target.version, revision = item.revision,
                        is_dated = dated.is_dated; "version named");
                    edge.set_target_version(dated.since, &target.model, target.version);
                }
            }
            Err(e) => log_unreadable(item, &e),
        }
    }
}

/// Returns a target version that the store lists now, with the earliest time at which it may have been set: when the
/// last answered read was sent. If there is none, for instance after a restart, the version counts as old until another
/// VM reports its age.
fn dated_target(edge: &Edge, version: u64) -> TargetVersion {
    let now = edge.timer.now_including_suspend();
    let assumed_age = edge.bounds().version.mul_f64(UNDATED_AGE_FRACTION);
    let age = edge.store_view().age(now).unwrap_or(Duration::MAX);
    TargetVersion {
        version,
        since: now.saturating_sub(age.min(assumed_age)),
        is_dated: age < assumed_age,
    }
}

fn log_unreadable(item: &Item, e: &store::Error) {
    log::error!(target: "config", key = item.key.as_str(), revision = item.revision,
        why = e.to_string(); "unreadable item in the store");
}

/// Applies the changes of the store up to a revision, and distributes those that make a difference to other VMs.
pub(super) fn apply_events(edge: &Edge, events: Vec<Event>, revision: Revision) {
    let changes = events.into_iter().filter(|event| apply(edge, event)).filter_map(to_change);
    let changes = changes.collect();
    edge.distribution.advance(revision, changes);
}

/// Applies the changes that another VM has passed on, and distributes those that make a difference.
///
/// # Errors
///
/// When a value cannot be decompressed. Then none is applied.
pub(super) fn apply_changes(
    edge: &Edge,
    changes: Vec<Change>,
    revision: Revision,
) -> std::io::Result<()> {
    let events: Vec<_> = changes.iter().map(Event::try_from).collect::<Result<_, _>>()?;
    let changes = changes.into_iter().zip(events).filter(|(_, event)| apply(edge, event));
    let changes = changes.map(|(change, _)| change).collect();
    edge.distribution.advance(revision, changes);
    Ok(())
}

/// Applies one change; returns whether it makes a difference to other VMs. A heartbeat alone does not.
fn apply(edge: &Edge, event: &Event) -> bool {
    let now = edge.timer.now();
    let mut view = edge.store_view();
    let (has_previous_entry, changes) = match event {
        Event::Written(item) => {
            let Some((id, upstream)) = upstream_entry(item) else {
                drop(view);
                apply_item(edge, item);
                return true;
            };
            let has_previous_entry = view.directory.is_expired(&id)
                || upstream.is_none() && view.directory.get(&id).is_some();
            (has_previous_entry, view.directory.put(now, &id, upstream))
        }
        Event::Removed { key, .. } => {
            let Some(id) = registry::upstream_id(key) else {
                view.set_router_item(key, None);
                return true;
            };
            (view.directory.get(id).is_some(), view.directory.remove(now, id))
        }
    };
    drop(view);
    let is_relevant = has_previous_entry || !changes.is_empty();
    edge.apply_upstream_changes(changes);
    is_relevant
}

/// Returns the change that is distributed for an event.
pub(super) fn to_change(event: Event) -> Option<Change> {
    match event {
        // Other VMs cannot read this value either.
        Event::Written(Item { value: Err(_), .. }) => None,
        Event::Written(Item { key, value: Ok(value), revision }) => {
            Some(Change { key, revision, value: Some(Value::new(value)) })
        }
        Event::Removed { key, revision } => Some(Change { key, revision, value: None }),
    }
}

impl TryFrom<&Change> for Event {
    type Error = std::io::Error;

    fn try_from(change: &Change) -> Result<Self, std::io::Error> {
        let (key, revision) = (change.key.clone(), change.revision);
        Ok(match &change.value {
            Some(value) => Self::Written(Item { key, value: Ok(value.inflate()?), revision }),
            None => Self::Removed { key, revision },
        })
    }
}

/// Whether an item that was read makes a difference to other VMs, where `changes` are those of the upstreams. A heartbeat
/// alone does not.
pub(super) fn is_relevant(item: &Item, changes: &[UpstreamChange]) -> bool {
    let Some(id) = registry::upstream_id(&item.key) else { return true };
    changes.iter().any(|change| match change {
        UpstreamChange::Present(upstream) => upstream.id == id,
        UpstreamChange::Gone(gone) => gone == id,
    })
}
