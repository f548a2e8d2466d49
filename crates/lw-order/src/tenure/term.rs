//! One term of an issuer.

use lw_types::prelude::*;

use super::{IssuerKey, Key, LeaseId, LeaseView, Transaction, Write};
use crate::handover::OrderHistory;

/// Bits of a fencing number that contain the revision; those above contain the era. Numbers of up to 53 bits are exact in
/// JSON.
const FENCE_REVISION_BITS: u32 = 42;

/// Returns the fencing number of a term that began with this write. It grows with each write of a store that may return
/// from an older copy, after which revisions are lower but the era is higher.
fn fence(Position { era, revision }: Position) -> Revision {
    (era << FENCE_REVISION_BITS) | revision
}

/// A lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRef {
    /// Its id in its era.
    pub id: LeaseId,
    /// The era in which it was created and exists.
    pub era: Era,
}

/// A period in which a VM is the issuer, from the grant of the lease until it is released, lost or runs out.
#[derive(Debug)]
pub struct Term {
    pub(super) fence: Revision,
    /// Position of the write that began the term.
    pub(super) begun_at: Position,
    pub(super) lease: LeaseId,
    pub(super) history: OrderHistory,
    /// Whether the issuer's key was found gone at the last check.
    pub(super) was_key_gone: bool,
    /// Whether no further order may be sent, since the lease is about to be released.
    pub(super) is_closed: bool,
}

impl Term {
    pub(super) fn new(begun_at: Position, lease: LeaseId, history: OrderHistory) -> Self {
        let fence = fence(begun_at);
        Self { fence, begun_at, lease, history, was_key_gone: false, is_closed: false }
    }

    /// Returns the fencing number.
    #[must_use]
    pub fn fence(&self) -> Revision {
        self.fence
    }

    /// Returns the lease of this term.
    #[must_use]
    pub fn lease(&self) -> LeaseRef {
        LeaseRef { id: self.lease, era: self.begun_at.era }
    }

    /// Whether `vm` has read the write that began this term, and the issuer's key is not its own.
    pub(super) fn is_key_gone_in(&self, view: &LeaseView, vm: &str) -> bool {
        let has_read_own_write =
            view.record.as_ref().is_some_and(|record| record.revision >= self.begun_at.revision);
        let is_gone = match &view.issuer {
            IssuerKey::Absent => true,
            IssuerKey::Held(holder) => holder != vm,
            IssuerKey::Unreadable => false,
        };
        has_read_own_write && is_gone
    }

    /// Returns the write that removes the key of the issuer and records its last order, so that the next issuer waits no
    /// longer than necessary. None if orders have not ended, or if the store has returned from an older copy since the
    /// term began, where the key may be another VM's: then only the lease is ended.
    #[must_use]
    pub fn release(&self, now: Now, latest_era: Era) -> Option<Transaction> {
        let Position { era, revision } = self.begun_at;
        if !self.history.has_no_open_orders() || latest_era != era {
            return None;
        }
        let record = self.history.to_record(now, true);
        Some(Transaction {
            // Each VM that acquires the lease writes this record, so that the revision of this term's own record shows that
            // the key is still this VM's.
            expected: vec![(Key::LastIssuer, revision)],
            writes: vec![Write { key: Key::LastIssuer, lease: 0, record, era }],
            removes: vec![Key::Issuer],
        })
    }
}
