//! Division of a workspace limit among VMs by its coordinator.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lw_types::prelude::*;

use super::{Grant, Limits, Members, Options, Rates, Report};

/// Last report of one VM for one workspace, and the grants made to it.
#[derive(Debug, Default)]
struct VmState {
    reported_at: Now,
    number: u64,
    arrived: Rates,
    in_use: Rates,
    /// Grants that the VM uses or may still receive: number, rate and expiry.
    outstanding: Vec<(u64, Rates, Now)>,
}

impl VmState {
    /// Returns the highest rate that the VM may be using. The reported rate was granted before the report, so it has
    /// expired if no report was received for the validity of a grant.
    fn committed(&self, now: Now, validity: Duration) -> Rates {
        let is_valid = self.reported_at + validity > now;
        let reported = if is_valid { self.in_use } else { Rates::default() };
        let valid = self.outstanding.iter().filter(|grant| grant.2 > now);
        valid.fold(reported, |highest, grant| highest.combine(grant.1, f64::max))
    }
}

/// Grants rates for the workspaces that one VM coordinates.
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
    local_vm: VmId,
    options: Options,
    members: Members,
    limits: Limits,
    states: BTreeMap<WorkspaceId, BTreeMap<VmId, VmState>>,
}

/// Sums over all VMs except the one whose share is computed.
struct OtherVms {
    committed: Rates,
    arrived: Rates,
    /// Number of VMs without a recent report.
    unresponsive: f64,
}

impl Coordinator {
    /// Creates a coordinator without limits whose only member is the VM `local_vm`.
    #[must_use]
    pub fn new(local_vm: VmId, options: Options) -> Self {
        let members = Members { alive: vec![local_vm.clone()], unreachable: Vec::new() };
        Self { local_vm, options, members, limits: Limits::new(), states: BTreeMap::new() }
    }

    /// Sets the VMs that share the limits.
    pub fn set_members(&mut self, members: Members) {
        self.members = members;
    }

    /// Sets the limits of all workspaces.
    pub fn set_limits(&mut self, limits: Limits) {
        self.states.retain(|workspace, _| limits.contains_key(workspace));
        self.limits = limits;
    }

    /// Records the report of a VM and returns its grant, whether or not this VM is the coordinator in its own view.
    /// Of two coordinators with different views, each reserves the fallback share for the VMs that report to the other.
    pub fn on_report(&mut self, now: Now, report: &Report) -> Grant {
        let mut rates = Vec::with_capacity(report.entries.len());
        let mut is_partial = false;
        for entry in &report.entries {
            let Some(&limit) = self.limits.get(&entry.workspace) else { continue };
            let states = self.states.entry(entry.workspace.clone()).or_default();
            let state = states.entry(report.vm.clone()).or_default();
            // A restarted VM numbers its reports from 1 again. They are accepted once its earlier grants have expired.
            let has_unexpired_grants = state.reported_at + self.options.validity > now;
            if report.number <= state.number && has_unexpired_grants {
                continue;
            }
            state.reported_at = now;
            state.number = report.number;
            state.arrived = entry.arrived;
            state.in_use = entry.in_use;
            state.outstanding.retain(|grant| grant.0 > entry.grant && grant.2 > now);
            let (target, free) = self.share(now, &entry.workspace, &report.vm, limit);
            let min_rate = limit.scaled(self.options.equal_fraction / self.members.count_f64());
            let rate = target.combine(free, f64::min).combine(min_rate, f64::max);
            is_partial |= target.is_well_above(rate);
            let expiry = now + self.options.validity;
            if let Some(state) = self.state(&entry.workspace, &report.vm) {
                state.outstanding.push((report.number, rate, expiry));
            }
            rates.push((entry.workspace.clone(), rate));
        }
        Grant { from: self.local_vm.clone(), number: report.number, is_partial, rates }
    }

    fn state(&mut self, workspace: &str, vm: &str) -> Option<&mut VmState> {
        self.states.get_mut(workspace)?.get_mut(vm)
    }

    /// Sums the rates that all VMs except `vm` may be using.
    fn sum_other_vms(&mut self, now: Now, workspace: &str, vm: &str, limit: Rates) -> OtherVms {
        let fallback_share = self.members.fallback_share(limit);
        let unresponsive_after = self.options.unresponsive_after;
        let mut others =
            OtherVms { committed: Rates::default(), arrived: Rates::default(), unresponsive: 0.0 };
        let Some(states) = self.states.get_mut(workspace) else { return others };
        let members = &self.members;
        let names: BTreeSet<&VmId> = members.alive.iter().chain(&members.unreachable).collect();
        let is_member = |name: &VmId| names.contains(name);
        // A removed VM may still admit requests until its last grant expires.
        states.retain(|name, state| {
            is_member(name) || state.reported_at + self.options.validity > now
        });
        for (name, state) in states.iter().filter(|(name, _)| *name != vm) {
            let is_unresponsive = state.reported_at + unresponsive_after <= now;
            let mut committed = state.committed(now, self.options.validity);
            if is_unresponsive && is_member(name) {
                others.unresponsive += 1.0;
                committed = committed.combine(fallback_share, f64::max);
            } else {
                others.arrived = others.arrived.combine(state.arrived, |a, b| a + b);
            }
            others.committed = others.committed.combine(committed, |a, b| a + b);
        }
        for _ in names.iter().filter(|name| **name != vm && !states.contains_key(**name)) {
            others.unresponsive += 1.0;
            others.committed = others.committed.combine(fallback_share, |a, b| a + b);
        }
        others
    }

    /// Returns the share of one VM in proportion to its demand, and the rate of the limit that the others leave free.
    fn share(&mut self, now: Now, workspace: &str, vm: &str, limit: Rates) -> (Rates, Rates) {
        let others = self.sum_other_vms(now, workspace, vm, limit);
        let members = self.members.count_f64();
        let arrived = self.state(workspace, vm).map(|state| state.arrived).unwrap_or_default();
        // At most half of the share of unresponsive VMs, so that the error is the same whether they serve or not.
        let extra = self.options.tolerance.min(others.unresponsive / members / 2.0);
        let responsive = (members - others.unresponsive).max(1.0);
        let available = limit.scaled(1.0 - others.unresponsive / members + extra);
        let equal_fraction = self.options.equal_fraction;
        let target = |available: f64, own_arrived: f64, others_arrived: f64| {
            let demand = own_arrived + others_arrived;
            if demand < available {
                // 10 % of the unused rate stays free for a VM that joins or whose demand grows.
                own_arrived + (available - demand) * 0.9 / responsive
            } else {
                available
                    * (equal_fraction / responsive
                        + (1.0 - equal_fraction) * own_arrived / demand.max(f64::MIN_POSITIVE))
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
