//! The issuer of orders: holds the lease and rolls the desired state out.

use lw_types::prelude::*;

use crate::{
    message::{Order, Report},
    options::Options,
    plan::Plan,
};

mod fleet;
mod lease;

/// What the caller performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Acquire the issuer's lease; the result is passed to [`Issuer::on_lease_result`].
    Acquire {
        /// Number that the result names.
        op: u64,
    },
    /// Renew the lease with this fencing number.
    Renew {
        /// Number that the result names.
        op: u64,
        /// Fencing number of the lease.
        fence: Revision,
    },
    /// Send an order, unless its `send_before` has passed.
    Send(Order),
}

/// Result of a lease call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseResult {
    /// Acquired or renewed, with the revision of the lease's key.
    Granted(Revision),
    /// Acquired, and orders may be sent from this time on. The orders of former issuers are known to be over, or
    /// engines refuse them.
    GrantedFrom(Revision, Now),
    /// Another VM holds it, or it has lapsed.
    Refused,
    /// No result came.
    Failed,
}

/// State of the rollout, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Version of the configuration that is rolled out.
    pub version: ConfigVersion,
    /// Fencing number if this VM issues orders.
    pub fence: Option<Revision>,
    /// Engines that are loading or may be.
    pub loading: usize,
    /// Engines not in their desired state, with the reason.
    pub remaining: Vec<(UpstreamId, &'static str)>,
}

/// The issuer at one VM. All VMs feed it with reports; the one that holds the lease sends orders.
///
/// `now` must come from a clock that also advances while the process or VM is paused.
///
/// ```
/// use std::time::Duration;
/// use lw_order::issuer::{Action, Issuer};
/// let mut issuer = Issuer::new(Default::default());
/// issuer.set_eligible(true);
/// assert_eq!(issuer.tick(Duration::from_secs(1)), [Action::Acquire { op: 1 }]);
/// ```
#[derive(Debug)]
pub struct Issuer {
    options: Options,
    plan: Plan,
    lease: lease::Lease,
    fleet: fleet::Fleet,
    /// Fencing number under which the fleet was taken over.
    fence: Revision,
    seq: u64,
}

impl Issuer {
    /// An issuer without a lease and without a plan.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let (lease, fleet) = (lease::Lease::new(), fleet::Fleet::default());
        Self { options, plan: Plan::default(), lease, fleet, fence: 0, seq: 0 }
    }

    /// Whether this VM tries to get or keep the lease. Two VMs by rendezvous rank are enough; all VMs
    /// together would ask the store too often.
    pub fn set_eligible(&mut self, eligible: bool) {
        self.lease.set_eligible(eligible);
    }

    /// Takes the plan of an accepted configuration. Older versions are ignored.
    pub fn set_plan(&mut self, plan: Plan) {
        if plan.version > self.plan.version {
            self.plan = plan;
            self.fleet.set_plan(&self.plan);
        }
    }

    /// Takes a load report.
    pub fn on_report(&mut self, now: Now, report: Report) {
        self.fleet.on_report(now, report, &self.plan);
    }

    /// An engine does not exist any more, so that it is not loading either.
    pub fn remove_engine(&mut self, engine: &str) {
        self.fleet.remove_engine(engine);
    }

    /// Takes the result of a lease call.
    pub fn on_lease_result(&mut self, now: Now, op: u64, result: LeaseResult) {
        self.lease.on_result(now, op, result, &self.options);
    }

    /// An engine refused an order with this fencing number, since it has seen a higher one.
    pub fn on_order_refused(&mut self, now: Now, fence: Revision) {
        if self.lease.term(now).is_some_and(|term| term.fence == fence) {
            self.lease.give_up(now, &self.options);
        }
    }

    /// Renews the lease and sends the orders that are due. To be called several times a second.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        let mut actions: Vec<Action> = self.lease.tick(now, &self.options).into_iter().collect();
        let Some(term) = self.lease.term(now) else { return actions };
        if now < term.ready_at {
            return actions;
        }
        if self.fence != term.fence {
            self.fence = term.fence;
            self.fleet.take_over(now, &self.plan, &self.options);
        }
        for (engine, state) in self.fleet.next(now, &self.plan, &self.options) {
            self.seq += 1;
            let (fence, seq) = (term.fence, self.seq);
            let send_before = term.valid_until.min(now + self.options.send_window);
            actions.push(Action::Send(Order { engine, fence, seq, state, send_before }));
        }
        actions
    }

    /// State of the rollout.
    #[must_use]
    pub fn status(&self, now: Now) -> Status {
        let remaining = self.fleet.remaining(now, &self.plan, &self.options);
        Status {
            version: self.plan.version,
            fence: self.lease.term(now).map(|term| term.fence),
            loading: self.fleet.loading(now, &self.plan, &self.options),
            remaining: remaining.map(|(id, reason)| (id.clone(), reason)).collect(),
        }
    }
}
