//! The value under `config/current`: the accepted document and the last patches.
//!
//! The patches are part of the value because one swap then accepts a document together with its history.
//! A separate key would be written before the swap, which leaves entries of losers, or after it, which
//! loses entries with the writer, and would cost one more write for each change.

use lw_config::document::Document;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::message::VersionedPatch;

/// Largest value that the store holds.
pub const VALUE_BYTES_MAX: usize = 1_000_000;
/// Patches kept in the value. A lost reply can be settled while the own entry is among them.
const HISTORY_MAX: usize = 32;
/// Bytes of patches kept in the value.
const HISTORY_BYTES_MAX: usize = 64 * 1024;
/// Largest patch kept; of a larger one only version and attempt id remain.
const PATCH_BYTES_MAX: usize = 16 * 1024;

/// One accepted patch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version after the patch.
    pub version: ConfigVersion,
    /// Id of the attempt that was accepted, unique over all VMs.
    pub attempt: String,
    /// The merge patch, unless it was too large to be kept.
    pub patch: Option<Value>,
}

#[derive(Serialize, Deserialize)]
struct StoredForm<D> {
    document: D,
    history: Vec<HistoryEntry>,
}

/// The value under `config/current`.
#[derive(Debug, Clone)]
pub struct StoredConfig {
    /// The accepted document.
    pub document: Document,
    /// The last accepted patches, oldest first.
    pub history: Vec<HistoryEntry>,
}

impl StoredConfig {
    /// The state before the first patch.
    #[must_use]
    pub fn empty() -> Self {
        Self { document: Document::empty(), history: Vec::new() }
    }

    /// Parses the value.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let form: StoredForm<Value> = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let document = Document::from_value(form.document).map_err(|e| e.to_string())?;
        Ok(Self { document, history: form.history })
    }

    /// The value as text.
    ///
    /// # Errors
    ///
    /// The document is too large for the store.
    ///
    /// ```
    /// use lw_member::config::stored::StoredConfig;
    /// let text = StoredConfig::empty().to_text().unwrap();
    /// assert_eq!(StoredConfig::parse(&text).unwrap().document.version, 0);
    /// ```
    pub fn to_text(&self) -> Result<String, String> {
        let form = StoredForm { document: self.document.raw(), history: self.history.clone() };
        let text = serde_json::to_string(&form).map_err(|e| e.to_string())?;
        if text.len() <= VALUE_BYTES_MAX {
            return Ok(text);
        }
        Err(format!("the document takes {} bytes, allowed are {VALUE_BYTES_MAX}", text.len()))
    }

    /// The value after `patch`, with its history cut to size.
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
        let mut bytes = document.raw().to_string().len();
        let limit = (bytes + HISTORY_BYTES_MAX).min(VALUE_BYTES_MAX);
        for entry in history.iter_mut().rev() {
            bytes += entry.patch.as_ref().map_or(0, size) + entry.attempt.len() + ENTRY_BYTES;
            if bytes > limit {
                entry.patch = None;
            }
        }
        Ok(Self { document, history })
    }

    /// The patches that the history holds, as sent to peers.
    pub fn patches(&self) -> impl Iterator<Item = VersionedPatch> {
        self.history.iter().filter_map(|entry| {
            let patch = entry.patch.as_ref()?.to_string();
            Some(VersionedPatch { version: entry.version, patch })
        })
    }
}

/// Bytes of an entry besides its patch and attempt id.
const ENTRY_BYTES: usize = 64;
