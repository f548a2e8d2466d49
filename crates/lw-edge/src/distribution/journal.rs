//! The latest changes of the store that a VM knows, for other VMs that ask for them.

use std::collections::VecDeque;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Memory of the changes that are kept, in bytes. A VM that is further behind reads the store.
pub const JOURNAL_MAX_BYTES: usize = 1 << 20;
/// Memory that a change takes besides its key and value.
const CHANGE_BYTES: usize = 96;

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: Revision,
    /// The value, none if the key was removed.
    pub value: Option<Vec<u8>>,
}

impl Change {
    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len) + CHANGE_BYTES
    }
}

/// The changes after one revision, without those that changed nothing that any VM knows.
///
/// ```
/// use lw_edge::distribution::journal::{Change, Journal};
/// let mut journal = Journal::default();
/// journal.restart(7);
/// journal.advance(9, vec![Change { key: "a".into(), revision: 8, value: None }]);
/// assert_eq!(journal.since(7).unwrap().len(), 1);
/// assert!(journal.since(9).unwrap().is_empty());
/// assert!(journal.since(6).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Journal {
    /// All changes after this revision are known.
    floor: Option<Revision>,
    revision: Revision,
    changes: VecDeque<Change>,
    bytes: usize,
}

impl Journal {
    /// Everything was read anew, up to `revision`.
    pub fn restart(&mut self, revision: Revision) {
        *self = Self { floor: Some(revision), revision, ..Self::default() };
    }

    /// Takes the changes up to `revision`, which follow those before without a gap.
    pub fn advance(&mut self, revision: Revision, changes: Vec<Change>) {
        self.revision = self.revision.max(revision);
        for change in changes {
            self.bytes += change.bytes();
            self.changes.push_back(change);
        }
        while self.bytes > JOURNAL_MAX_BYTES
            && let Some(dropped) = self.changes.pop_front()
        {
            self.bytes -= dropped.bytes();
            self.floor = self.floor.max(Some(dropped.revision));
        }
    }

    /// Revision up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The changes after a revision, none if some of them are not known any more.
    #[must_use]
    pub fn since(&self, after: Revision) -> Option<Vec<Change>> {
        if self.floor.is_none_or(|floor| after < floor) {
            return None;
        }
        Some(self.changes.iter().filter(|change| change.revision > after).cloned().collect())
    }
}
