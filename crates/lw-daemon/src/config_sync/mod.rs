//! Reads, follows and changes the operators' configuration in the platform's store.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error, From};
use lw_config::document::{Document, PatchError};
use lw_protocol::{
    caller::Failure,
    operator::{AcceptedPatch, History},
    platform::PutRequest,
};
use lw_transport::store;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::tables::Tables;

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config/current";
/// Accepted patches kept beside the document.
const HISTORY_MAX: usize = 32;
const WATCH_WAIT: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The value under [`CONFIG_KEY`]. A patch is accepted when the write of this value succeeds.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    document: Value,
    patches: Vec<AcceptedPatch>,
}

/// Why a patch did not come into force.
#[derive(Debug, Display, Error, From)]
pub enum ApplyError {
    /// The patch is stale or not valid.
    Patch(PatchError),
    /// The store did not take the patch; nothing changed.
    #[display("the store is not available: {_0}")]
    #[from(skip)]
    Unavailable(#[error(not(source))] String),
    /// The store did not confirm the patch and could not be read back.
    #[display("the store did not confirm the change: {_0}")]
    #[from(skip)]
    Unknown(#[error(not(source))] String),
}

/// Follows the configuration until the process ends.
pub async fn follow(tables: Arc<Tables>) {
    let mut revision = 0;
    loop {
        let read = if revision == 0 {
            tables.store.get(CONFIG_KEY).await
        } else {
            tables.store.watch(CONFIG_KEY, revision, WATCH_WAIT).await
        };
        match read {
            Ok(found) => {
                revision = found.revision;
                install(&tables, &found.value);
            }
            Err(store::Error::Absent) => {
                tables.install(Document::empty(), false);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(e) => {
                log::debug!("config: cannot read the store: {e}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn install(tables: &Tables, value: &str) -> Option<(Document, Stored)> {
    let stored: Stored = match serde_json::from_str(value) {
        Ok(stored) => stored,
        Err(e) => {
            log::error!("config: unreadable value in the store: {e}");
            return None;
        }
    };
    match Document::from_value(stored.document.clone()) {
        Ok(document) => {
            tables.install(document.clone(), false);
            Some((document, stored))
        }
        Err(e) => {
            log::error!("config: the store holds a document that is not valid: {e}");
            None
        }
    }
}

async fn read(tables: &Tables) -> Result<(Document, Stored, Revision), ApplyError> {
    match tables.store.get(CONFIG_KEY).await {
        Ok(found) => match install(tables, &found.value) {
            Some((document, stored)) => Ok((document, stored, found.revision)),
            None => Err(ApplyError::Unavailable("unreadable value".into())),
        },
        Err(store::Error::Absent) => {
            let document = Document::empty();
            let stored = Stored { document: document.raw().clone(), patches: Vec::new() };
            Ok((document, stored, 0))
        }
        Err(e) => Err(ApplyError::Unavailable(e.to_string())),
    }
}

/// Applies a merge patch made against version `base`.
///
/// # Errors
///
/// [`ApplyError`]; only [`ApplyError::Unknown`] leaves open whether the patch is accepted.
pub async fn apply(
    tables: &Tables,
    base: ConfigVersion,
    patch: &Value,
) -> Result<ConfigVersion, ApplyError> {
    let (document, mut stored, revision) = read(tables).await?;
    let next = document.patched(base, patch)?;
    stored.document = next.raw().clone();
    stored.patches.insert(0, AcceptedPatch { version: next.version, patch: patch.clone() });
    stored.patches.truncate(HISTORY_MAX);
    let value =
        serde_json::to_string(&stored).map_err(|e| ApplyError::Unavailable(e.to_string()))?;
    let put = PutRequest { value: value.clone(), prev: Some(revision), lease: None };
    match tables.store.put(CONFIG_KEY, &put).await {
        Ok(_) => {}
        Err(store::Error::Conflict { .. }) => {
            let (current, ..) = read(tables).await?;
            return Err(PatchError::Stale { base, current: current.version }.into());
        }
        Err(store::Error::Unknown(e)) => confirm(tables, base, &value, &e.to_string()).await?,
        Err(e) => return Err(ApplyError::Unavailable(e.to_string())),
    }
    let version = next.version;
    tables.install(next, false);
    Ok(version)
}

/// Settles a write whose reply was lost by reading the key back.
async fn confirm(
    tables: &Tables,
    base: ConfigVersion,
    value: &str,
    cause: &str,
) -> Result<(), ApplyError> {
    match tables.store.get(CONFIG_KEY).await {
        Ok(found) if found.value == value => Ok(()),
        Ok(found) => match install(tables, &found.value) {
            Some((current, _)) if current.version > base => {
                Err(PatchError::Stale { base, current: current.version }.into())
            }
            _ => Err(ApplyError::Unknown(cause.to_owned())),
        },
        Err(_) => Err(ApplyError::Unknown(cause.to_owned())),
    }
}

/// The accepted patches that the store still keeps.
///
/// # Errors
///
/// [`ResultCode::StoreUnavailable`].
pub async fn history(tables: &Tables) -> Result<History, Failure> {
    match read(tables).await {
        Ok((_, stored, _)) => Ok(History { patches: stored.patches }),
        Err(e) => Err(Failure::new(ResultCode::StoreUnavailable, e.to_string())),
    }
}
