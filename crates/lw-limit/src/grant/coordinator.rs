//! The coordinator's side: division of a limit among VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lw_types::prelude::*;

use super::{Grant, Limits, Members, Options, Rates, Report};

/// What the coordinator knows about one VM and workspace.
#[derive(Debug, Default)]
struct Account {
    heard_at: Now,
    number: u64,
    arrived: Rates,
    in_use: Rates,
    /// Grants that the VM may use or adopt: number, rate and expiry.
    outstanding: Vec<(u64, Rates, Now)>,
}

impl Account {
    /// Highest rate that the VM may be using. The rate that it reported was granted before, so it has lapsed when
    /// the VM was silent for the validity of a grant.
    fn committed(&self, now: Now, validity: Duration) -> Rates {
        let is_valid = self.heard_at + validity > now;
        let reported = if is_valid { self.in_use } else { Rates::default() };
        let valid = self.outstanding.iter().filter(|grant| grant.2 > now);
        valid.fold(reported, |highest, grant| highest.combine(grant.1, f64::max))
    }
}

/// Grants of one VM for the workspaces that it coordinates.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::grant::{Demand, Limits, Members, Options, Rates, Report, coordinator::Coordinator};
/// let limit = Rates { requests: 10.0, tokens: 0.0 };
/// let mut coordinator = Coordinator::new("a".into(), Options::default());
/// coordinator.set_members(Members { alive: vec!["a".into()], unreachable: vec![] });
/// coordinator.set_limits(Limits::from([("station".into(), limit)]));
/// let arrived = Rates { requests: 50.0, tokens: 0.0 };
/// let entry = Demand { workspace: "station".into(), arrived, in_use: limit, grant: 0 };
/// let report = Report { vm: "a".into(), number: 1, entries: vec![entry] };
/// let grant = coordinator.on_report(Duration::ZERO, &report);
/// assert_eq!(grant.rates[0].1.requests, 10.0);
/// ```
#[derive(Debug)]
pub struct Coordinator {
    me: VmId,
    options: Options,
    members: Members,
    limits: Limits,
    accounts: BTreeMap<WorkspaceId, BTreeMap<VmId, Account>>,
}

/// Rates that are fixed while one VM's share is computed.
struct Others {
    committed: Rates,
    arrived: Rates,
    silent: f64,
}

impl Coordinator {
    /// A coordinator without members and limits.
    #[must_use]
    pub fn new(me: VmId, options: Options) -> Self {
        let members = Members { alive: vec![me.clone()], unreachable: Vec::new() };
        Self { me, options, members, limits: Limits::new(), accounts: BTreeMap::new() }
    }

    /// Sets the VMs that share the limits.
    pub fn set_members(&mut self, members: Members) {
        self.members = members;
    }

    /// Sets the limits of all workspaces.
    pub fn set_limits(&mut self, limits: Limits) {
        self.accounts.retain(|workspace, _| limits.contains_key(workspace));
        self.limits = limits;
    }

    /// Takes the report of a VM and grants it rates, whether or not this VM coordinates the workspaces in its own
    /// view. Two coordinators with different views reserve each other's VMs as silent.
    pub fn on_report(&mut self, now: Now, report: &Report) -> Grant {
        let mut rates = Vec::with_capacity(report.entries.len());
        let mut is_partial = false;
        for entry in &report.entries {
            let Some(&limit) = self.limits.get(&entry.workspace) else { continue };
            let accounts = self.accounts.entry(entry.workspace.clone()).or_default();
            let account = accounts.entry(report.vm.clone()).or_default();
            // A VM that restarted counts from 1 again; it is believed once its former grants have lapsed.
            let is_recent = account.heard_at + self.options.validity > now;
            if report.number <= account.number && is_recent {
                continue;
            }
            account.heard_at = now;
            account.number = report.number;
            account.arrived = entry.arrived;
            account.in_use = entry.in_use;
            account.outstanding.retain(|grant| grant.0 > entry.grant && grant.2 > now);
            let (target, free) = self.share(now, &entry.workspace, &report.vm, limit);
            let least = limit.scaled(self.options.equal_fraction / self.members.count_f64());
            let rate = target.combine(free, f64::min).combine(least, f64::max);
            is_partial |= target.is_well_above(rate);
            let expiry = now + self.options.validity;
            if let Some(account) = self.account(&entry.workspace, &report.vm) {
                account.outstanding.push((report.number, rate, expiry));
            }
            rates.push((entry.workspace.clone(), rate));
        }
        Grant { from: self.me.clone(), number: report.number, is_partial, rates }
    }

    fn account(&mut self, workspace: &str, vm: &str) -> Option<&mut Account> {
        self.accounts.get_mut(workspace)?.get_mut(vm)
    }

    /// Sums what all VMs but `vm` may be using.
    fn others(&mut self, now: Now, workspace: &str, vm: &str, limit: Rates) -> Others {
        let fallback = self.members.fallback(limit);
        let unresponsive_after = self.options.unresponsive_after;
        let mut others =
            Others { committed: Rates::default(), arrived: Rates::default(), silent: 0.0 };
        let Some(accounts) = self.accounts.get_mut(workspace) else { return others };
        let members = &self.members;
        let names: BTreeSet<&VmId> = members.alive.iter().chain(&members.unreachable).collect();
        let is_member = |name: &VmId| names.contains(name);
        // A VM that left may still admit until its last grant lapses.
        accounts.retain(|name, account| {
            is_member(name) || account.heard_at + self.options.validity > now
        });
        for (name, account) in accounts.iter().filter(|(name, _)| *name != vm) {
            let is_silent = account.heard_at + unresponsive_after <= now;
            let mut committed = account.committed(now, self.options.validity);
            if is_silent && is_member(name) {
                others.silent += 1.0;
                committed = committed.combine(fallback, f64::max);
            } else {
                others.arrived = others.arrived.combine(account.arrived, |a, b| a + b);
            }
            others.committed = others.committed.combine(committed, |a, b| a + b);
        }
        for _ in names.iter().filter(|name| **name != vm && !accounts.contains_key(**name)) {
            others.silent += 1.0;
            others.committed = others.committed.combine(fallback, |a, b| a + b);
        }
        others
    }

    /// Share of one VM in proportion to its demand, and what the others leave of the limit.
    fn share(&mut self, now: Now, workspace: &str, vm: &str, limit: Rates) -> (Rates, Rates) {
        let others = self.others(now, workspace, vm, limit);
        let members = self.members.count_f64();
        let arrived =
            self.account(workspace, vm).map(|account| account.arrived).unwrap_or_default();
        // Half of the silent share at most, so that the error is the same whether they serve or not.
        let extra = self.options.tolerance.min(others.silent / members / 2.0);
        let heard = (members - others.silent).max(1.0);
        let available = limit.scaled(1.0 - others.silent / members + extra);
        let equal_fraction = self.options.equal_fraction;
        let target = |available: f64, mine: f64, others_arrived: f64| {
            let demand = mine + others_arrived;
            if demand < available {
                // A tenth of the slack stays free for a VM that joins or whose demand grows.
                mine + (available - demand) * 0.9 / heard
            } else {
                available
                    * (equal_fraction / heard
                        + (1.0 - equal_fraction) * mine / demand.max(f64::MIN_POSITIVE))
            }
        };
        let target = Rates {
            requests: target(available.requests, arrived.requests, others.arrived.requests),
            tokens: target(available.tokens, arrived.tokens, others.arrived.tokens),
        };
        (
            target,
            limit
                .scaled(1.0 + self.options.tolerance)
                .combine(others.committed, |limit, used| limit - used),
        )
    }
}
