//! The rules on orders, with their excuses, judged from what engines and the store saw.

use lw_types::prelude::*;

/// Time in ms that must lie between the orders of two holders.
pub const LEASE: u64 = 3_000;
/// Time in ms for which a VM must have been free of trouble to be in touch.
const CONTACT: u64 = 3_000;
/// Time in ms after the end of a pause or cut within which orders do not count.
const THAW_SLACK: u64 = 300;
/// Time in ms after the last version is named, with all VMs in touch, within which all engines must serve it.
pub const VERSION: u64 = 12_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Orders of two holders within the lease time.
    OneTurns,
    /// Two holders with one fencing number.
    OneFence,
    /// A lower fencing number after a higher one, where engines do not check them.
    OneLower,
    /// An order, renewal, or write under a lease that is not the VM's, or not any more.
    Lease,
    /// Engines with older weights.
    Version,
}

#[derive(Debug)]
pub struct Violation {
    rule: Rule,
    text: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.text)
    }
}

#[derive(Debug, Clone, Copy)]
struct Order {
    at: u64,
    vm: usize,
    engine: usize,
    fence: Revision,
    is_in_touch: bool,
}

/// Troubles of one VM, as far as they excuse it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Excuses {
    /// End of the last trouble in ms.
    pub disturbed_until: u64,
    /// Ends of the last pause and the last cut in ms.
    pub thawed_at: Option<u64>,
    pub healed_at: Option<u64>,
}

#[derive(Debug)]
pub struct Rules {
    is_fenced: bool,
    pub vms: Vec<Excuses>,
    pub store_disturbed_until: u64,
    orders: Vec<Order>,
    pub violation: Option<Violation>,
}

impl Rules {
    pub fn new(is_fenced: bool, vms: usize) -> Self {
        let vms = vec![Excuses::default(); vms];
        Self { is_fenced, vms, store_disturbed_until: 0, orders: Vec::new(), violation: None }
    }

    /// Number of orders that engines received.
    pub fn orders(&self) -> usize {
        self.orders.len()
    }

    pub fn fail(&mut self, rule: Rule, text: String) {
        self.violation.get_or_insert(Violation { rule, text });
    }

    fn is_in_touch(&self, now: u64, vm: usize) -> bool {
        now >= self.vms[vm].disturbed_until.max(self.store_disturbed_until) + CONTACT
    }

    /// Judges an order that has arrived at an engine.
    pub fn on_order(&mut self, now: u64, vm: usize, engine: usize, fence: Revision) {
        let Excuses { thawed_at, healed_at, .. } = self.vms[vm];
        let is_recent = |at: Option<u64>| at.is_some_and(|at| at <= now && now <= at + THAW_SLACK);
        if is_recent(thawed_at) || is_recent(healed_at) {
            return;
        }
        let is_in_touch = self.is_in_touch(now, vm);
        let order = Order { at: now, vm, engine, fence, is_in_touch };
        let others: Vec<_> = self.orders.iter().filter(|other| other.vm != vm).copied().collect();
        for other in others.iter().rev() {
            let text = || format!("{order:?} after {other:?}");
            if other.fence == fence {
                self.fail(Rule::OneFence, text());
            }
            let is_lower = !self.is_fenced && other.engine == engine && other.fence > fence;
            if is_lower {
                self.fail(Rule::OneLower, text());
            }
            // The first holder must be in touch when it is replaced, too.
            let counts = !self.is_fenced
                || is_in_touch && other.is_in_touch && self.is_in_touch(now, other.vm);
            if counts && now < other.at + LEASE {
                self.fail(Rule::OneTurns, text());
            }
        }
        self.orders.push(order);
    }
}
