//! Computes how long a new issuer waits, so that a minimum time lies between the orders of two VMs.
//!
//! The time counts between orders, not between leases: no VM waits for a lease holder that issued no orders. The record
//! that is stored with the lease therefore names the VM that issued the last order, and how long before the writing of
//! the record that order ended. A VM counts that age back from when it read the record, which is later than its
//! writing, so that delays, restarts and steps of the wall clock only lengthen the wait.

use std::time::Duration;

use lw_types::prelude::*;

/// The last order that a VM issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastOrder {
    /// The VM that issued it.
    pub vm: VmId,
    /// Time from the end of the order to the writing of the record.
    pub age: Duration,
}

/// The stored record of the issuers so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuerRecord {
    /// The VM that acquired the lease last.
    pub holder: VmId,
    /// Whether it released the lease, after its last order had ended.
    pub is_released: bool,
    /// The last orders, as far as the writer of the record had them, of at most two VMs: whichever VM is the next
    /// issuer, the last order of another VM is among them.
    pub last_orders: Vec<LastOrder>,
}

/// Number of VMs whose last orders are recorded.
const RECORDED_VMS_MAX: usize = 2;

/// The orders that a VM issues under one lease, and the last orders before them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderHistory {
    vm: VmId,
    /// Times by which the last orders of at most [`RECORDED_VMS_MAX`] VMs had ended, the latest first.
    last_orders: Vec<(VmId, Now)>,
    /// Number of orders of this VM that have not ended.
    open_orders: usize,
}

impl OrderHistory {
    /// Returns the history for `vm`, which acquired the lease at `now`. `record` is the record of the former issuers
    /// with the time at which `vm` read it; it must not have changed since.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_order::handover::{IssuerRecord, LastOrder, OrderHistory};
    /// let second = Duration::from_secs(1);
    /// let last_orders = vec![LastOrder { vm: "vm-1".into(), age: 2 * second }];
    /// let record = IssuerRecord { holder: "vm-1".into(), is_released: true, last_orders };
    /// let history = OrderHistory::new("vm-2", Some((&record, 10 * second)), 11 * second);
    /// assert_eq!(history.ready_at(3 * second), 11 * second);
    /// ```
    #[must_use]
    pub fn new(vm: &str, record: Option<(&IssuerRecord, Now)>, now: Now) -> Self {
        let mut history = Self { vm: vm.to_owned(), last_orders: Vec::new(), open_orders: 0 };
        let Some((record, read_at)) = record else { return history };
        for last in &record.last_orders {
            history.update_last_order(&last.vm, read_at.saturating_sub(last.age));
        }
        if !record.is_released {
            // The holder may have issued orders until its lease expired, which was before this VM could acquire it.
            history.update_last_order(&record.holder, now);
        }
        history
    }

    /// Records that the orders of VMs that no record names had ended by this time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_order::handover::OrderHistory;
    /// let second = Duration::from_secs(1);
    /// let mut history = OrderHistory::new("vm-2", None, 11 * second);
    /// history.add_unknown_orders(10 * second);
    /// assert_eq!(history.ready_at(3 * second), 13 * second);
    /// ```
    pub fn add_unknown_orders(&mut self, ended_at: Now) {
        self.update_last_order("", ended_at);
    }

    /// Records that an order of `vm` had ended by `ended_at`.
    fn update_last_order(&mut self, vm: &str, ended_at: Now) {
        let previous = self.last_orders.iter().find(|(recorded, _)| recorded == vm);
        let ended_at = previous.map_or(ended_at, |(_, previous_end)| ended_at.max(*previous_end));
        self.last_orders.retain(|(recorded, _)| recorded != vm);
        self.last_orders.push((vm.to_owned(), ended_at));
        self.last_orders.sort_by_key(|(_, ended_at)| std::cmp::Reverse(*ended_at));
        self.last_orders.truncate(RECORDED_VMS_MAX);
    }

    /// Returns when the first order may be sent if `wait` must lie between the orders of two VMs.
    #[must_use]
    pub fn ready_at(&self, wait: Duration) -> Now {
        let others = self.last_orders.iter().filter(|(vm, _)| *vm != self.vm);
        others.map(|(_, ended_at)| *ended_at + wait).max().unwrap_or(Now::ZERO)
    }

    /// Whether another VM held the lease before and did not release it, so that its orders may still arrive.
    #[must_use]
    pub fn has_unreleased_predecessor(record: Option<&IssuerRecord>, vm: &str) -> bool {
        record.is_some_and(|record| !record.is_released && record.holder != vm)
    }

    /// Records that this VM is about to send an order.
    pub fn begin_order(&mut self, now: Now) {
        self.open_orders += 1;
        self.update_last_order(&self.vm.clone(), now);
    }

    /// Records that an order of this VM was answered, or that no answer is awaited any more.
    pub fn end_order(&mut self, now: Now) {
        self.open_orders = self.open_orders.saturating_sub(1);
        self.update_last_order(&self.vm.clone(), now);
    }

    /// Whether all orders of this VM have ended.
    #[must_use]
    pub fn has_no_open_orders(&self) -> bool {
        self.open_orders == 0
    }

    /// Returns the record to store if it is written at `now`.
    #[must_use]
    pub fn to_record(&self, now: Now, is_released: bool) -> IssuerRecord {
        let to_last_order = |(vm, ended_at): &(VmId, Now)| LastOrder {
            vm: vm.clone(),
            age: now.saturating_sub(*ended_at),
        };
        let last_orders = self.last_orders.iter().map(to_last_order).collect();
        IssuerRecord { holder: self.vm.clone(), is_released, last_orders }
    }
}
