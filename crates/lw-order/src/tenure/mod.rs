//! The terms in which one VM is the issuer: when it tries to acquire the lease, begins, renews, closes and ends a term,
//! and when it may send an order. The caller performs the calls to the store and passes on their results.

use std::time::Duration;

use lw_types::prelude::*;

use crate::{
    handover::IssuerRecord,
    issuer::{Action, Issuer, LeaseResult},
    message::Order,
    options::Options,
};

mod claim;
mod term;

pub use claim::{Claim, Claimed};
pub use term::{LeaseRef, Term};

/// VMs that try to acquire the lease as soon as nobody holds it.
const CANDIDATES: usize = 2;
/// Time after which one more VM tries to acquire the lease.
const CANDIDATE_PERIOD: Duration = Duration::from_millis(200);

/// Id of a lease in the store, unique in its era.
pub type LeaseId = u64;

/// A key in the store that the issuers write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// The key that the issuer holds by its lease.
    Issuer,
    /// The record of the last issuer, which is bound to no lease.
    LastIssuer,
}

/// One key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Key,
    /// Lease that the key is bound to; 0 for none.
    pub lease: LeaseId,
    /// The value.
    pub record: IssuerRecord,
    /// Era in which the value is written, part of the value.
    pub era: Era,
}

/// A write to the store that takes place if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// The revision that each key must have; 0 means that it must not exist.
    pub expected: Vec<(Key, Revision)>,
    /// Keys to write.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<Key>,
}

/// The record of the last issuer as a VM has read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record with the era in which it was written, unless it is unreadable.
    pub content: Option<(IssuerRecord, Era)>,
    /// Its revision; 0 if it was not read in this era.
    pub revision: Revision,
    /// When this VM first read this revision.
    pub read_at: Now,
}

/// The key that the issuer holds, as a VM has read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IssuerKey {
    /// Nobody holds the lease.
    Absent,
    /// The key names this VM as the holder.
    Held(VmId),
    /// The key exists, but its value is unreadable.
    Unreadable,
}

/// What a VM knows of the store that its terms depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseView {
    /// Latest era that any answer of the store named.
    pub latest_era: Era,
    /// Era of the view.
    pub era: Option<Era>,
    /// When the VMs that held leases before this era have stopped to rely on them.
    pub former_leases_end: Option<Now>,
    /// Whether the view has been current in this era.
    pub is_settled: bool,
    /// Whether the view was current in any era.
    pub has_been_current: bool,
    /// Whether this VM has a configuration and is not leaving.
    pub may_issue: bool,
    /// The key of the issuer.
    pub issuer: IssuerKey,
    /// The record of the last issuer.
    pub record: Option<StoredRecord>,
}

/// Returns the number of VMs that precede one that registered at the revision `own` as issuers. VMs restart one after
/// another, so that the one that registered last has the most time until its next restart. A VM that is not registered yet
/// will be the last one.
///
/// ```
/// use lw_order::tenure::preceding_vms;
/// assert_eq!(preceding_vms(Some(5), [3, 5, 8].into_iter()), 1);
/// assert_eq!(preceding_vms(None, [3, 5, 8].into_iter()), 0);
/// ```
#[must_use]
pub fn preceding_vms(own: Option<Revision>, all: impl Iterator<Item = Revision>) -> usize {
    let own = own.unwrap_or(Revision::MAX);
    all.filter(|revision| *revision > own).count()
}

/// Result of a call that renews a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// The lease was renewed.
    Renewed,
    /// The lease has ended or is of an earlier era.
    Absent,
    /// No result was received.
    Failed,
}

/// Why an order is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSent {
    /// Its send window has passed.
    Expired,
    /// The term in which it was decided has ended or is closed.
    TermEnded,
}

/// What is to be done after a tick.
#[derive(Debug, PartialEq)]
pub struct Ticked {
    /// The calls and orders that are due.
    pub actions: Vec<Action>,
    /// Fencing number of the term that ended because its lease ran out.
    pub ran_out: Option<Revision>,
}

/// The issuer of one VM and its term, if it is the issuer.
///
/// `now` must come from a clock that also advances while the process or VM is paused.
#[derive(Debug)]
pub struct Tenure {
    vm: VmId,
    options: Options,
    /// Whether engines check fencing numbers.
    is_fenced: bool,
    /// Time for which this VM waits after a start of the whole fleet.
    startup_delay: Duration,
    issuer: Issuer,
    term: Option<Term>,
    /// When this VM first saw that nobody holds the lease, while that is so.
    free_since: Option<Now>,
    /// Whether this process has seen any VM hold the lease.
    has_seen_issuer: bool,
}

impl Tenure {
    /// Returns the tenure of `vm`, which is not the issuer. `is_fenced` states whether engines check fencing numbers.
    ///
    /// ```
    /// use lw_order::tenure::Tenure;
    /// let tenure = Tenure::new("vm-1", Default::default(), true, Default::default());
    /// assert_eq!(tenure.fence(), None);
    /// ```
    #[must_use]
    pub fn new(vm: &str, options: Options, is_fenced: bool, startup_delay: Duration) -> Self {
        Self {
            vm: vm.to_owned(),
            issuer: Issuer::new(options.clone()),
            options,
            is_fenced,
            startup_delay,
            term: None,
            free_since: None,
            has_seen_issuer: false,
        }
    }

    /// Returns the time limits.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the issuer, for its plan and the reports of engines.
    pub fn issuer(&mut self) -> &mut Issuer {
        &mut self.issuer
    }

    /// Returns the fencing number, if this VM holds the issuer's lease.
    #[must_use]
    pub fn fence(&self) -> Option<Revision> {
        self.term.as_ref().map(|term| term.fence)
    }

    /// Ends the term of this VM if its lease is lost: the store has returned from an older copy since it began, so that
    /// its id may belong to another holder, or the issuer's key is gone, so that another VM can acquire it. In both cases
    /// the lease might still be renewed. Returns the fencing number of the lost term.
    pub fn end_lost_term(&mut self, now: Now, view: &LeaseView) -> Option<Revision> {
        let vm = &self.vm;
        let term = self.term.take_if(|term| {
            let is_key_gone = !term.is_closed && term.is_key_gone_in(view, vm);
            // The keys of one write are read one after the other, so that only the second check counts.
            let was_key_gone = std::mem::replace(&mut term.was_key_gone, is_key_gone);
            term.begun_at.era != view.latest_era || is_key_gone && was_key_gone
        })?;
        self.issuer.on_order_refused(now, term.fence);
        Some(term.fence)
    }

    /// Decides whether this VM may hold the lease: it already does, or nobody does and few VMs precede this one. The
    /// longer the lease is free, the more VMs are eligible, since those that precede may not reach the store. `preceding`
    /// counts these, see [`preceding_vms`]; it is called only while the lease is free.
    pub fn update_eligibility(
        &mut self,
        now: Now,
        view: &LeaseView,
        preceding: impl FnOnce() -> usize,
    ) -> bool {
        let is_eligible = self.is_eligible(now, view, preceding);
        self.issuer.set_eligible(is_eligible);
        is_eligible
    }

    fn is_eligible(
        &mut self,
        now: Now,
        view: &LeaseView,
        preceding: impl FnOnce() -> usize,
    ) -> bool {
        // The holder of a lease that the store has lost relies on it for as long as it lasts.
        let is_lease_free = view.is_settled
            || view.has_been_current && view.former_leases_end.is_some_and(|end| now >= end);
        if !view.may_issue || !is_lease_free {
            self.free_since = None;
            return false;
        }
        if self.term.is_some() {
            return true;
        }
        if view.issuer != IssuerKey::Absent {
            self.free_since = None;
            self.has_seen_issuer = true;
            return false;
        }
        let free = now.saturating_sub(*self.free_since.get_or_insert(now));
        let content = view.record.as_ref().and_then(|record| record.content.as_ref());
        let is_start =
            !self.has_seen_issuer && !content.is_some_and(|(record, _)| record.is_released);
        if is_start && free < self.startup_delay {
            return false;
        }
        let further = free.as_millis() / CANDIDATE_PERIOD.as_millis();
        preceding() < CANDIDATES + usize::try_from(further).unwrap_or(usize::MAX)
    }

    /// Returns the calls and orders that are due. Ends the term if its lease has run out.
    pub fn tick(&mut self, now: Now) -> Ticked {
        let actions = self.issuer.tick(now);
        let held = self.issuer.held_fence(now);
        // A closed term is about to release its lease, although the issuer has given it up.
        let ended = self.term.take_if(|term| !term.is_closed && held != Some(term.fence));
        Ticked { actions, ran_out: ended.map(|term| term.fence) }
    }

    /// Records that the call with number `op` to acquire the lease was refused, or that it failed.
    pub fn on_not_acquired(&mut self, now: Now, op: u64, is_refused: bool) {
        let result = if is_refused { LeaseResult::Refused } else { LeaseResult::Failed };
        self.issuer.on_lease_result(now, op, result);
    }

    /// Returns the lease to renew for the term with this fencing number, if that term lasts.
    #[must_use]
    pub fn lease_to_renew(&self, fence: Revision) -> Option<LeaseRef> {
        let term = self.term.as_ref().filter(|term| term.fence == fence && !term.is_closed)?;
        Some(term.lease())
    }

    /// Processes the result of the call with number `op` to renew the lease of the term with this fencing number.
    pub fn on_renewal(&mut self, now: Now, op: u64, fence: Revision, renewal: Renewal) {
        let result = match renewal {
            Renewal::Renewed => LeaseResult::Granted(fence),
            Renewal::Absent => {
                self.term.take_if(|term| term.fence == fence);
                LeaseResult::Refused
            }
            Renewal::Failed => LeaseResult::Failed,
        };
        self.issuer.on_lease_result(now, op, result);
    }

    /// Records that an order is about to be sent. `latest_era` is the latest era of the store.
    ///
    /// # Errors
    ///
    /// Returns why it must not be sent: the sender may have been paused, or another VM may be the issuer.
    pub fn begin_order(&mut self, now: Now, order: &Order, latest_era: Era) -> Result<(), NotSent> {
        if now >= order.send_before {
            return Err(NotSent::Expired);
        }
        let term = self.term.as_mut().filter(|term| {
            term.fence == order.fence && !term.is_closed && term.begun_at.era == latest_era
        });
        term.ok_or(NotSent::TermEnded)?.history.begin_order(now);
        Ok(())
    }

    /// Records that an order under this fencing number was answered, or that no answer is awaited any more.
    pub fn end_order(&mut self, now: Now, fence: Revision) {
        if let Some(term) = self.term.as_mut().filter(|term| term.fence == fence) {
            term.history.end_order(now);
        }
    }

    /// Closes the term of a VM that leaves: no further order may be sent in it. Returns its fencing number.
    pub fn close(&mut self, now: Now) -> Option<Revision> {
        self.issuer.set_eligible(false);
        let term = self.term.as_mut()?;
        term.is_closed = true;
        let fence = term.fence;
        self.issuer.on_order_refused(now, fence);
        Some(fence)
    }

    /// Whether orders of the current term have not ended.
    #[must_use]
    pub fn has_open_orders(&self) -> bool {
        self.term.as_ref().is_some_and(|term| !term.history.has_no_open_orders())
    }

    /// Removes the term with this fencing number, whose lease is to be released.
    pub fn take_term(&mut self, fence: Revision) -> Option<Term> {
        self.term.take_if(|term| term.fence == fence)
    }
}
