//! The issuer of orders: holds the lease and rolls out the desired state.

use lw_types::prelude::*;

use crate::{
    message::{Order, Report},
    options::Options,
    plan::Plan,
};

mod engines;
mod lease;

/// What the caller of [`Issuer::tick`] performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Acquire the issuer's lease and pass the result to [`Issuer::on_lease_result`].
    Acquire {
        /// Number of the call, to be passed on with its result.
        op: u64,
    },
    /// Renew the issuer's lease and pass the result to [`Issuer::on_lease_result`].
    Renew {
        /// Number of the call, to be passed on with its result.
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
    /// Acquired, with the revision of the lease's key and the time from which orders may be sent. The orders of
    /// former issuers have ended by then, or engines refuse them.
    GrantedFrom(Revision, Now),
    /// Another VM holds the lease, or it has expired.
    Refused,
    /// No result was received.
    Failed,
}

/// State of the rollout, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Version of the configuration that is being rolled out.
    pub version: ConfigVersion,
    /// Fencing number if this VM issues orders.
    pub fence: Option<Revision>,
    /// Number of engines that are loading or may be loading.
    pub loading: usize,
    /// Engines not in their desired state, with the reason.
    pub remaining: Vec<(UpstreamId, &'static str)>,
}

/// The issuer of one VM. Every VM passes the load reports to its issuer; only the one with the lease sends orders.
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
    engines: engines::EngineTable,
    /// Fencing number of the lease for which `engines` was prepared last.
    prepared_fence: Revision,
    last_seq: u64,
}

impl Issuer {
    /// Creates an issuer without a lease and without a plan.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let (lease, engines) = (lease::Lease::new(), engines::EngineTable::default());
        Self { options, plan: Plan::default(), lease, engines, prepared_fence: 0, last_seq: 0 }
    }

    /// Sets whether this VM tries to acquire and renew the lease. Two VMs by rendezvous rank are enough;
    /// calls of all VMs would be too many for the store.
    pub fn set_eligible(&mut self, is_eligible: bool) {
        self.lease.set_eligible(is_eligible);
    }

    /// Sets the plan of an accepted configuration. A plan that is not of a newer version is ignored.
    pub fn set_plan(&mut self, plan: Plan) {
        if plan.version > self.plan.version {
            self.plan = plan;
            self.engines.set_plan(&self.plan);
        }
    }

    /// Processes a load report.
    pub fn on_report(&mut self, now: Now, report: Report) {
        self.engines.on_report(now, report, &self.plan);
    }

    /// Removes an engine that no longer exists, so that it does not count as loading either.
    pub fn remove_engine(&mut self, engine: &str) {
        self.engines.remove_engine(engine);
    }

    /// Processes the result of the call with number `op`, an [`Action::Acquire`] or [`Action::Renew`].
    pub fn on_lease_result(&mut self, now: Now, op: u64, result: LeaseResult) {
        self.lease.on_result(now, op, result, &self.options);
    }

    /// Stops issuing orders under `fence`, after an engine refused one because it had seen a higher
    /// fencing number.
    pub fn on_order_refused(&mut self, now: Now, fence: Revision) {
        if self.lease.valid_at(now).is_some_and(|held| held.fence == fence) {
            self.lease.abandon(now, &self.options);
        }
    }

    /// Returns the fencing number of the lease if this VM holds one that has not reached its end at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_order::{issuer::{Issuer, LeaseResult}, options::Options};
    /// let (options, second) = (Options::default(), Duration::from_secs(1));
    /// let mut issuer = Issuer::new(options.clone());
    /// issuer.set_eligible(true);
    /// issuer.tick(second);
    /// issuer.on_lease_result(second, 1, LeaseResult::Granted(7));
    /// assert_eq!(issuer.held_fence(2 * second), Some(7));
    /// assert_eq!(issuer.held_fence(second + options.lease_ttl), None);
    /// ```
    #[must_use]
    pub fn held_fence(&self, now: Now) -> Option<Revision> {
        self.lease.valid_at(now).map(|held| held.fence)
    }

    /// Returns the lease call and the orders that are due. To be called several times a second.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        let mut actions: Vec<Action> = self.lease.tick(now, &self.options).into_iter().collect();
        let Some(held) = self.lease.valid_at(now) else { return actions };
        if now < held.ready_at {
            return actions;
        }
        if self.prepared_fence != held.fence {
            self.prepared_fence = held.fence;
            self.engines.prepare_for_lease(now, &self.plan, &self.options);
        }
        for (engine, state) in self.engines.due_orders(now, &self.plan, &self.options) {
            self.last_seq += 1;
            let (fence, seq) = (held.fence, self.last_seq);
            let send_before = held.valid_until.min(now + self.options.send_window);
            actions.push(Action::Send(Order { engine, fence, seq, state, send_before }));
        }
        actions
    }

    /// Returns the state of the rollout.
    #[must_use]
    pub fn status(&self, now: Now) -> Status {
        let remaining = self.engines.remaining(now, &self.plan, &self.options);
        Status {
            version: self.plan.version,
            fence: self.held_fence(now),
            loading: self.engines.loading_count(now, &self.plan, &self.options),
            remaining: remaining.map(|(id, reason)| (id.clone(), reason)).collect(),
        }
    }
}
