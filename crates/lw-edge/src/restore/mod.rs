//! Writes to the store again what only the router writes, after the store has returned from an older copy.

use std::{sync::Arc, time::Duration};

use lw_platform::store::{Error, KeyWrite, Precondition};
use lw_types::prelude::*;

use crate::{
    register,
    state::{
        Edge,
        keys::{self, SettledEra},
    },
};

/// Time between two checks of what is missing in the store.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Checks what is missing in the store until the process ends.
pub async fn run(edge: Arc<Edge>) {
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        if unrecorded_era(&edge).is_none() {
            continue;
        }
        tokio::time::sleep(register::startup_delay(&edge.settings.vm)).await;
        if let Some(era) = unrecorded_era(&edge)
            && let Err(e) = record_settled_era(&edge, era).await
        {
            log::warn!(target: "config", era = era, why = e.to_string();
                "cannot record that the store has settled");
        }
    }
}

/// Returns the era of the view if the store has settled in it and does not say so yet.
fn unrecorded_era(edge: &Edge) -> Option<Era> {
    let view = edge.store_view();
    let era = view.era().filter(|_| view.is_settled())?;
    (view.recorded_era() != Some(era)).then_some(era)
}

/// Records that what was lost before an era is in the store again, so that VMs that start need not wait for it.
async fn record_settled_era(edge: &Edge, era: Era) -> Result<(), Error> {
    let former = edge.store_view().router_item(keys::SETTLED_ERA).map(|item| item.revision);
    let key = keys::SETTLED_ERA.to_owned();
    let expected = Precondition { key: key.clone(), revision: former.unwrap_or(0) };
    let value = serde_json::to_vec(&SettledEra { era });
    let value = value.map_err(|e| Error::Unreadable(e.to_string()))?;
    let write = KeyWrite { key, value, lease: 0 };
    let written = edge.store.write(vec![expected], vec![write], Vec::new());
    match edge.count_store_call("write", written).await {
        // On a conflict another VM has written the same.
        Ok(_) | Err(Error::Conflict) => Ok(()),
        Err(e) => Err(e),
    }
}
