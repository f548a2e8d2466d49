//! Writes to the store again what only the router writes, after the store has returned from an older copy.

use std::{sync::Arc, time::Duration};

use lw_platform::store::{Error, KeyWrite, Precondition};
use lw_types::prelude::*;

use crate::{
    register,
    state::{
        Edge, StoreView,
        keys::{self, SettledEra},
    },
};

/// Time between two checks of what is missing in the store.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Checks what is missing in the store until the process ends. One VM after the other does, so that the first one that
/// writes spares the others the call.
pub async fn run(edge: Arc<Edge>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        if missing_items(&edge.store_view()).is_empty() {
            continue;
        }
        tokio::time::sleep(register::startup_delay(&edge.settings.vm)).await;
        let missing = missing_items(&edge.store_view());
        for item in missing {
            write(&edge, item).await;
        }
    }
}

/// An item that the store should contain and does not.
#[derive(Debug)]
struct MissingItem {
    key: &'static str,
    /// Revision of the item that is to be replaced; 0 if there is none.
    former: Revision,
    value: Vec<u8>,
}

fn missing_items(view: &StoreView) -> Vec<MissingItem> {
    missing_peer_key(view).into_iter().chain(missing_era(view)).collect()
}

/// Returns the key of the messages between VMs if the store has lost it. VMs that start need the one that is in use.
fn missing_peer_key(view: &StoreView) -> Option<MissingItem> {
    let item = view.router_item(keys::PEER_KEY).filter(|item| item.revision == 0)?;
    Some(MissingItem { key: keys::PEER_KEY, former: 0, value: item.value.clone() })
}

/// Returns the record that the store has settled, for VMs that start, if the store does not contain it.
fn missing_era(view: &StoreView) -> Option<MissingItem> {
    let era = view.era().filter(|_| view.is_settled())?;
    if view.recorded_era() == Some(era) {
        return None;
    }
    let value = serde_json::to_vec(&SettledEra { era }).inspect_err(|e| {
        log::error!(target: "config", why = e.to_string(); "record of the settled era not encoded");
    });
    let former = view.router_item(keys::SETTLED_ERA).map_or(0, |item| item.revision);
    Some(MissingItem { key: keys::SETTLED_ERA, former, value: value.ok()? })
}

async fn write(edge: &Edge, MissingItem { key, former, value }: MissingItem) {
    let expected = Precondition { key: key.to_owned(), revision: former };
    let write = KeyWrite { key: key.to_owned(), value, lease: 0 };
    let written = edge.store.write(vec![expected], vec![write], Vec::new());
    match edge.count_store_call("write", written).await {
        Ok(_) => log::info!(target: "config", key = key; "missing item written to the store"),
        // Another VM has written it.
        Err(Error::Conflict) => {}
        Err(e) => log::warn!(target: "config", key = key, why = e.to_string();
            "cannot write a missing item to the store"),
    }
}
