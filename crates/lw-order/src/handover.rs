//! How long a new issuer waits, so that no two VMs give orders within the time that must lie between them.
//!
//! The time counts between orders, not between leases: a holder that gave no order took no turn. The record of the
//! lease therefore says which VM gave the last order and how long before the writing of the record that order was
//! over. A VM counts that age from when it read the record, which is later than its writing, so that delays, restarts
//! and steps of the time of day only make it wait longer.

use std::time::Duration;

use lw_types::prelude::*;

/// The last order that some VM gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastOrder {
    /// The VM.
    pub vm: VmId,
    /// How long it was over when the record was written.
    pub age: Duration,
}

/// What the store says about the issuers so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuerRecord {
    /// The VM that took the lease last.
    pub holder: VmId,
    /// Whether it gave the lease back, after its last order was over.
    pub is_released: bool,
    /// The last orders that were known when the record was written, of at most two VMs: whichever VM comes next, the
    /// last order of another one is among them.
    pub last_orders: Vec<LastOrder>,
}

/// VMs whose last orders are known.
const VMS_MAX: usize = 2;

/// The orders of one term of an issuer, and the last orders before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderHistory {
    vm: VmId,
    /// By when the last orders of at most two VMs were over, the latest first.
    last_orders: Vec<(VmId, Now)>,
    /// Own orders that are not over yet.
    open: usize,
}

impl OrderHistory {
    /// The turns of `vm`, which has taken the lease at `now`. It read the `record` of the terms before at the time
    /// beside it, and none has changed it since.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_order::handover::{LastOrder, IssuerRecord, OrderHistory};
    /// let second = Duration::from_secs(1);
    /// let last_orders = vec![LastOrder { vm: "vm-1".into(), age: 2 * second }];
    /// let record = IssuerRecord { holder: "vm-1".into(), is_released: true, last_orders };
    /// let turns = OrderHistory::new("vm-2", Some((&record, 10 * second)), 11 * second);
    /// assert_eq!(turns.ready_at(3 * second), 11 * second);
    /// ```
    #[must_use]
    pub fn new(vm: &str, record: Option<(&IssuerRecord, Now)>, now: Now) -> Self {
        let mut turns = Self { vm: vm.to_owned(), last_orders: Vec::new(), open: 0 };
        let Some((record, read_at)) = record else { return turns };
        for last in &record.last_orders {
            turns.note(&last.vm, read_at.saturating_sub(last.age));
        }
        if !record.is_released {
            // The holder may have given orders until its lease ran out, which was before this VM could take it.
            turns.note(&record.holder, now);
        }
        turns
    }

    /// A VM gave an order that was over by `over`.
    fn note(&mut self, vm: &str, over: Now) {
        let known = self.last_orders.iter().find(|(known, _)| known == vm);
        let over = known.map_or(over, |(_, before)| over.max(*before));
        self.last_orders.retain(|(known, _)| known != vm);
        self.last_orders.push((vm.to_owned(), over));
        self.last_orders.sort_by_key(|(_, over)| std::cmp::Reverse(*over));
        self.last_orders.truncate(VMS_MAX);
    }

    /// When the first order may be sent, if `wait` must lie between the orders of two VMs.
    #[must_use]
    pub fn ready_at(&self, wait: Duration) -> Now {
        let others = self.last_orders.iter().filter(|(vm, _)| *vm != self.vm);
        others.map(|(_, over)| *over + wait).max().unwrap_or(Now::ZERO)
    }

    /// Whether another VM held the lease before and did not give it back, so that its orders may still arrive.
    #[must_use]
    pub fn has_unreleased_predecessor(record: Option<&IssuerRecord>, vm: &str) -> bool {
        record.is_some_and(|record| !record.is_released && record.holder != vm)
    }

    /// An own order is about to be sent.
    pub fn begin_order(&mut self, now: Now) {
        self.open += 1;
        self.note(&self.vm.clone(), now);
    }

    /// An own order was answered, or will not be.
    pub fn end_order(&mut self, now: Now) {
        self.open = self.open.saturating_sub(1);
        self.note(&self.vm.clone(), now);
    }

    /// Whether all own orders are over.
    #[must_use]
    pub fn has_no_open_orders(&self) -> bool {
        self.open == 0
    }

    /// The record of this term, written at `now`.
    #[must_use]
    pub fn to_record(&self, now: Now, is_released: bool) -> IssuerRecord {
        let last =
            |(vm, over): &(VmId, Now)| LastOrder { vm: vm.clone(), age: now.saturating_sub(*over) };
        let last_orders = self.last_orders.iter().map(last).collect();
        IssuerRecord { holder: self.vm.clone(), is_released, last_orders }
    }
}
