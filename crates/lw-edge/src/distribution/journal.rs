//! Journal of the latest changes of the store, for the VMs that request them.

use std::collections::VecDeque;

use lw_platform::config::CONFIG_KEY;
use lw_types::prelude::*;

use super::value::Value;

/// Largest size of a journal in bytes of memory. A VM that is further behind reads the store.
pub const JOURNAL_MAX_BYTES: usize = 1 << 20;
/// Bytes of memory that a change takes in addition to its key and value.
const CHANGE_BYTES: usize = 96;

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: Revision,
    /// The new value, or `None` if the key was removed.
    pub value: Option<Value>,
}

impl Change {
    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Value::bytes) + CHANGE_BYTES
    }
}

/// All changes of one era after one revision, except those that make no difference to any VM, such as heartbeats and
/// configurations that a newer one replaces.
///
/// ```
/// use lw_edge::distribution::journal::{Change, Journal};
/// use lw_types::prelude::Position;
/// let at = |revision| Position { era: 1, revision };
/// let mut journal = Journal::default();
/// journal.reset(at(7));
/// journal.advance(9, vec![Change { key: "a".into(), revision: 8, value: None }]);
/// assert_eq!(journal.changes_after(at(7)).unwrap().len(), 1);
/// assert!(journal.changes_after(at(9)).unwrap().is_empty());
/// assert!(journal.changes_after(at(6)).is_none());
/// assert!(journal.changes_after(Position { era: 2, revision: 7 }).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Journal {
    /// The journal contains all changes after this revision. `None` until the store was read.
    floor: Option<Position>,
    /// Revision up to which the journal is complete.
    revision: Revision,
    changes: VecDeque<Change>,
    bytes: usize,
}

impl Journal {
    /// Empties the journal, since the whole store was read anew, up to `position`.
    pub fn reset(&mut self, position: Position) {
        let revision = position.revision;
        *self = Self { floor: Some(position), revision, ..Self::default() };
    }

    /// Appends the changes up to `revision` of the same era, which must follow the previous ones without a gap. Drops the
    /// oldest changes beyond [`JOURNAL_MAX_BYTES`].
    pub fn advance(&mut self, revision: Revision, changes: Vec<Change>) {
        self.revision = self.revision.max(revision);
        for change in changes {
            if change.key == CONFIG_KEY {
                self.drop_configurations();
            }
            self.bytes += change.bytes();
            self.changes.push_back(change);
        }
        while self.bytes > JOURNAL_MAX_BYTES
            && let Some(dropped) = self.changes.pop_front()
        {
            self.bytes -= dropped.bytes();
            if let Some(floor) = &mut self.floor {
                floor.revision = floor.revision.max(dropped.revision);
            }
        }
    }

    /// Drops the configurations. Each contains all routes and keys, so that many of them exceed what a VM with a narrow link
    /// can send to the others in time.
    fn drop_configurations(&mut self) {
        let bytes = &mut self.bytes;
        self.changes.retain(|change| {
            let is_kept = change.key != CONFIG_KEY;
            if !is_kept {
                *bytes -= change.bytes();
            }
            is_kept
        });
    }

    /// Returns the revision up to which the journal is complete.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the position up to which the journal is complete, or `None` until the store was read.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        Some(Position { revision: self.revision, ..self.floor? })
    }

    /// Returns the changes after a position, or `None` if the journal does not contain all of them.
    #[must_use]
    pub fn changes_after(&self, after: Position) -> Option<Vec<Change>> {
        self.floor.filter(|floor| after.era == floor.era && after.revision >= floor.revision)?;
        let later = self.changes.iter().filter(|change| change.revision > after.revision);
        Some(later.cloned().collect())
    }
}
