//! The value stored at `config/current`: the accepted document and the latest patches.
//!
//! The patches are part of the value so that one swap accepts a document together with its history. A
//! separate key would have to be written before the swap, which leaves entries of patches that are not
//! accepted, or after it, which loses entries when the writer fails; and it would cost another write for each
//! change.

use lw_config::document::Document;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::message::VersionedPatch;

/// Largest value that the store accepts.
pub const VALUE_BYTES_MAX: usize = 1_000_000;
/// Most patches kept in the value. After a lost reply, a patch is known to be accepted while its entry is among
/// them.
const HISTORY_MAX: usize = 32;
/// Most bytes of history in the value.
const HISTORY_BYTES_MAX: usize = 64 * 1024;
/// Largest patch kept in the history; of a larger one, only the version and attempt id are stored.
const PATCH_BYTES_MAX: usize = 16 * 1024;

/// One accepted patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version after the patch.
    pub version: ConfigVersion,
    /// Attempt id of the accepted swap, unique among all VMs.
    pub attempt: String,
    /// The merge patch, unless the history has no space for it.
    pub patch: Option<Value>,
}

/// Encoded form of [`StoredConfig`].
#[derive(Serialize, Deserialize)]
struct StoredForm<D> {
    document: D,
    history: Vec<HistoryEntry>,
}

/// The value stored at `config/current`.
#[derive(Debug, Clone)]
pub struct StoredConfig {
    /// The accepted document.
    pub document: Document,
    /// The latest accepted patches, oldest first.
    pub history: Vec<HistoryEntry>,
}

impl StoredConfig {
    /// Returns the value before the first patch: an empty document without history.
    #[must_use]
    pub fn empty() -> Self {
        Self { document: Document::empty(), history: Vec::new() }
    }

    /// Parses the text of a stored value.
    ///
    /// # Errors
    ///
    /// The text is not JSON of this form, or the document is not valid; the message describes the fault.
    pub fn parse(text: &str) -> Result<Self, String> {
        let form: StoredForm<Value> = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let document = Document::from_value(form.document).map_err(|e| e.to_string())?;
        Ok(Self { document, history: form.history })
    }

    /// Returns the value as JSON text.
    ///
    /// # Errors
    ///
    /// The value is longer than [`VALUE_BYTES_MAX`].
    ///
    /// ```
    /// use lw_member::config::stored::StoredConfig;
    /// let text = StoredConfig::empty().to_text().unwrap();
    /// assert_eq!(StoredConfig::parse(&text).unwrap().document.version, 0);
    /// ```
    pub fn to_text(&self) -> Result<String, String> {
        let form = StoredForm { document: self.document.as_json(), history: self.history.clone() };
        let text = serde_json::to_string(&form).map_err(|e| e.to_string())?;
        if text.len() <= VALUE_BYTES_MAX {
            return Ok(text);
        }
        Err(format!("the document has {} bytes; at most {VALUE_BYTES_MAX} are allowed", text.len()))
    }

    /// Returns the value after `patch`, with its history limited in number and bytes; the oldest patches are dropped.
    ///
    /// # Errors
    ///
    /// The patched document is not valid.
    pub fn patched(&self, attempt: &str, patch: &Value) -> Result<Self, String> {
        let document =
            self.document.patched(self.document.version, patch).map_err(|e| e.to_string())?;
        let size = |patch: &Value| patch.to_string().len();
        let patch_to_keep = Some(patch).filter(|patch| size(patch) <= PATCH_BYTES_MAX).cloned();
        let attempt = attempt.to_owned();
        let mut history = self.history.clone();
        history.push(HistoryEntry { version: document.version, attempt, patch: patch_to_keep });
        let excess_entries = history.len().saturating_sub(HISTORY_MAX);
        history.drain(..excess_entries);
        let mut bytes = document.as_json().to_string().len();
        let limit = (bytes + HISTORY_BYTES_MAX).min(VALUE_BYTES_MAX);
        for entry in history.iter_mut().rev() {
            bytes += entry.patch.as_ref().map_or(0, size) + entry.attempt.len() + ENTRY_BYTES;
            if bytes > limit {
                entry.patch = None;
            }
        }
        Ok(Self { document, history })
    }

    /// Iterates over the patches in the history in the form sent to peers; entries without a patch are skipped.
    pub fn patches(&self) -> impl Iterator<Item = VersionedPatch> {
        self.history.iter().filter_map(|entry| {
            let patch = entry.patch.as_ref()?.to_string();
            Some(VersionedPatch { version: entry.version, patch })
        })
    }
}

/// Estimated bytes of an entry apart from its patch and attempt id.
const ENTRY_BYTES: usize = 64;
