//! Acquires the issuer's lease: a lease is created, then the issuer's key is written under it.

use lw_types::prelude::*;

use super::{Key, LeaseId, LeaseRef, LeaseView, Tenure, Term, Transaction, Write};
use crate::{
    handover::{IssuerRecord, OrderHistory},
    issuer::LeaseResult,
};

/// An attempt to acquire the lease, on the state of the store that was read before it.
#[derive(Debug)]
pub struct Claim {
    op: u64,
    vm: VmId,
    era: Era,
    former_leases_end: Now,
    /// The record of the last issuer, and when it was read.
    record: Option<(IssuerRecord, Now)>,
    record_revision: Revision,
    /// Whether a record exists that was written in this era. An unreadable one may have been.
    has_record_of_era: bool,
    lease: LeaseId,
}

/// Outcome of a claim that was written to the store.
#[derive(Debug)]
pub enum Claimed {
    /// A term has begun.
    Begun {
        /// Its fencing number.
        fence: Revision,
        /// Whether the former issuer was lost without releasing its lease.
        is_after_loss: bool,
        /// When the first order may be sent.
        ready_at: Now,
    },
    /// The lease was granted too late: the issuer has given up that call and would not renew it. It is to be ended.
    TooLate(Term),
    /// The key was written as the store returned from an older copy. It is bound to a lease that may be another holder's,
    /// and would then never expire: it is to be removed.
    OtherEra(Transaction),
}

impl Tenure {
    /// Begins the call with number `op` to acquire the lease. None if it must not be acquired.
    #[must_use]
    pub fn claim(&self, op: u64, view: &LeaseView) -> Option<Claim> {
        let (era, former_leases_end) = (view.era?, view.former_leases_end?);
        let content = view.record.as_ref().map(|stored| (stored, stored.content.as_ref()));
        let has_record_of_era =
            content.is_some_and(|(_, content)| content.is_none_or(|(_, written)| *written == era));
        let record = content.map(|(stored, content)| {
            // The VM that wrote an unreadable record may have sent orders just before.
            let unknown =
                IssuerRecord { holder: VmId::new(), is_released: false, last_orders: Vec::new() };
            let mut record = content.map_or(unknown, |(record, _)| record.clone());
            // The holder of another era is one of those whose later records may be lost.
            record.is_released |= !has_record_of_era;
            (record, stored.read_at)
        });
        Some(Claim {
            op,
            vm: self.vm.clone(),
            era,
            former_leases_end,
            record,
            record_revision: view.record.as_ref().map_or(0, |stored| stored.revision),
            has_record_of_era,
            lease: 0,
        })
    }

    /// Begins a term after the write of a claim has taken place at `begun_at`.
    pub fn on_claimed(&mut self, now: Now, claim: &Claim, begun_at: Position) -> Claimed {
        if begun_at.era != claim.era {
            return Claimed::OtherEra(Transaction {
                expected: vec![(Key::Issuer, begun_at.revision)],
                writes: Vec::new(),
                removes: vec![Key::Issuer],
            });
        }
        let record = claim.record.as_ref().map(|(record, _)| record);
        let is_after_loss = OrderHistory::has_unreleased_predecessor(record, &self.vm);
        let term = Term::new(begun_at, claim.lease, claim.history(now));
        let fence = term.fence;
        let ready_at = self.ready_at(&term.history, is_after_loss, now);
        self.issuer.on_lease_result(now, claim.op, LeaseResult::GrantedFrom(fence, ready_at));
        if self.issuer.held_fence(now) != Some(fence) {
            return Claimed::TooLate(term);
        }
        self.term = Some(term);
        Claimed::Begun { fence, is_after_loss, ready_at }
    }

    /// Returns when the first order of a term may be sent.
    fn ready_at(&self, history: &OrderHistory, is_after_loss: bool, now: Now) -> Now {
        // Engines that check fencing numbers refuse delayed orders of a former issuer themselves.
        if self.is_fenced {
            return now;
        }
        let after_loss = if is_after_loss { now + self.options.takeover_wait() } else { now };
        history.ready_at(self.options.handover_wait).max(after_loss)
    }
}

impl Claim {
    /// Returns the write that acquires the lease, after a lease was created in the store. It also writes the record of
    /// the last issuer. None if the store has returned from an older copy since.
    #[must_use]
    pub fn on_lease(&mut self, now: Now, lease: LeaseRef) -> Option<Transaction> {
        if lease.era != self.era {
            return None;
        }
        self.lease = lease.id;
        let (record, era) = (self.history(now).to_record(now, false), self.era);
        let write = |key, lease| Write { key, lease, record: record.clone(), era };
        Some(Transaction {
            expected: vec![(Key::Issuer, 0), (Key::LastIssuer, self.record_revision)],
            writes: vec![write(Key::Issuer, lease.id), write(Key::LastIssuer, 0)],
            removes: Vec::new(),
        })
    }

    fn history(&self, now: Now) -> OrderHistory {
        let record = self.record.as_ref().map(|(record, read_at)| (record, *read_at));
        let mut history = OrderHistory::new(&self.vm, record, now);
        if !self.has_record_of_era {
            // The store may have lost the records of later holders.
            history.add_unknown_orders(self.former_leases_end.min(now));
        }
        history
    }
}
