//! Messages about changes as they are encoded.

use bytes::Bytes;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{journal::Change, value::Value};

/// A request for the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Random number that the reply repeats.
    pub nonce: u64,
    /// Revision of the requesting VM.
    pub after: Revision,
    /// Time for which the request may wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// Era of the revision. VMs of an older release omit this field.
    #[serde(default)]
    pub era: Era,
}

/// The reply to a [`ChangesRequest`], with changes that are encoded as `C`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesReplyWire<C> {
    /// The nonce of the request.
    pub nonce: u64,
    /// The changes, if the VM has all of them.
    #[serde(rename = "knowledge")]
    pub view: Option<ViewWire<C>>,
}

/// The changes that another VM has, and the age of its view of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewWire<C> {
    /// Revision up to which they are complete.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<C>,
    /// Time for which the request was held before the reply, in milliseconds.
    pub held_ms: u64,
    /// Age of the view when the reply was made, in milliseconds. `None` while the store has not settled after its return
    /// from an older copy.
    pub age_ms: Option<u64>,
}

impl<C> ChangesReplyWire<C> {
    /// Encodes the changes with `encode`. If it fails for any of them, the reply is that the VM does not have all changes.
    pub fn map<D>(self, encode: impl FnMut(C) -> Option<D>) -> ChangesReplyWire<D> {
        let view = self.view.and_then(|view| {
            let ViewWire { revision, changes, held_ms, age_ms } = view;
            let changes: Option<_> = changes.into_iter().map(encode).collect();
            Some(ViewWire { revision, changes: changes?, held_ms, age_ms })
        });
        ChangesReplyWire { nonce: self.nonce, view }
    }
}

impl<C: Into<Change>> ChangesReplyWire<C> {
    /// Decodes the changes.
    #[must_use]
    pub fn into_changes(self) -> ChangesReplyWire<Change> {
        self.map(|change| Some(change.into()))
    }
}

/// A change for VMs that accept compressed values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeWire {
    key: String,
    revision: Revision,
    value: Option<ValueWire>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum ValueWire {
    #[serde(rename = "p")]
    Plain(Bytes),
    #[serde(rename = "d")]
    Deflated(Bytes),
}

impl From<Change> for ChangeWire {
    fn from(change: Change) -> Self {
        let value = change.value.map(|value| match value {
            Value::Plain(bytes) => ValueWire::Plain(bytes),
            Value::Deflated(bytes) => ValueWire::Deflated(bytes),
        });
        Self { key: change.key, revision: change.revision, value }
    }
}

impl From<ChangeWire> for Change {
    fn from(change: ChangeWire) -> Self {
        let value = change.value.map(|value| match value {
            ValueWire::Plain(bytes) => Value::Plain(bytes),
            ValueWire::Deflated(bytes) => Value::Deflated(bytes),
        });
        Self { key: change.key, revision: change.revision, value }
    }
}

/// A change for VMs of an older release, which accept no compressed values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainChangeWire {
    key: String,
    revision: Revision,
    value: Option<Vec<u8>>,
}

impl TryFrom<Change> for PlainChangeWire {
    type Error = std::io::Error;

    fn try_from(change: Change) -> Result<Self, std::io::Error> {
        let value = change.value.as_ref().map(Value::inflate).transpose()?;
        Ok(Self { key: change.key, revision: change.revision, value })
    }
}

impl From<PlainChangeWire> for Change {
    fn from(change: PlainChangeWire) -> Self {
        Self { key: change.key, revision: change.revision, value: change.value.map(Value::new) }
    }
}
