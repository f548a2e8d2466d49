//! Admission at one VM within the granted rate or the fallback share.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use super::{Demand, Grant, Limits, Members, Options, Rates, Report};
use crate::bucket::TokenBucket;

/// Whether a request is admitted within the limit of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request is within the limit.
    Admitted,
    /// The workspace is above its limit ([`ResultCode::WorkspaceLimit`]).
    Refused {
        /// Time after which the rate allows the request.
        retry_after: Duration,
    },
}

/// Standard deviations of a Poisson process above which a change of demand is not considered random.
const SIGNIFICANT_DEVIATIONS: f64 = 2.5;
/// Fraction of the deviation of earlier reports that is carried over to the next one.
const CARRIED_DEVIATION_FRACTION: f64 = 0.6;

#[derive(Debug)]
struct WorkspaceState {
    limit: Rates,
    coordinator: Option<VmId>,
    requests: TokenBucket,
    tokens: TokenBucket,
    arrived: Rates,
    demand: Rates,
    /// Time since the last significant change over which the demand is averaged.
    averaging_time: Duration,
    /// Decaying sum over recent reports of the requests above the expected number.
    excess: f64,
    /// Decaying sum over recent reports of the expected requests.
    expected: f64,
    /// Grant in use: number of its report, rate and expiry.
    grant: Option<(u64, Rates, Now)>,
}

/// Limits of all workspaces at one VM.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::grant::{Limits, Options, Rates, limiter::{Limiter, Outcome}};
/// let mut limiter = Limiter::new("a".into(), Options::default(), Duration::ZERO);
/// let limit = Rates { requests: 4.0, tokens: 0.0 };
/// limiter.set_limits(Duration::ZERO, &Limits::from([("station".into(), limit)]));
/// assert_eq!(limiter.admit(Duration::ZERO, "station", 100), Outcome::Admitted);
/// assert!(matches!(limiter.admit(Duration::ZERO, "station", 100), Outcome::Refused { .. }));
/// assert_eq!(limiter.admit(Duration::ZERO, "unlimited", 100), Outcome::Admitted);
/// ```
#[derive(Debug)]
pub struct Limiter {
    local_vm: VmId,
    options: Options,
    members: Members,
    workspaces: BTreeMap<WorkspaceId, WorkspaceState>,
    started_at: Now,
    reported_at: Option<Now>,
    /// Whether the next report is due early, to report a change or to request a larger grant.
    is_urgent: bool,
    /// Number of the last report.
    last_number: u64,
    /// Sending time of recent reports by number, from which the validity of their grants is counted.
    sent_at: BTreeMap<u64, Now>,
}

impl Limiter {
    /// Creates a limiter without limits whose only member is the VM `local_vm`.
    #[must_use]
    pub fn new(local_vm: VmId, options: Options, now: Now) -> Self {
        let members = Members { alive: vec![local_vm.clone()], unreachable: Vec::new() };
        Self {
            local_vm,
            options,
            members,
            workspaces: BTreeMap::new(),
            started_at: now,
            reported_at: None,
            is_urgent: false,
            last_number: 0,
            sent_at: BTreeMap::new(),
        }
    }

    /// Sets the VMs that share the limits.
    pub fn set_members(&mut self, now: Now, members: Members) {
        if self.members != members {
            for (workspace, state) in &mut self.workspaces {
                state.coordinator = members.coordinator(workspace).cloned();
            }
            self.members = members;
        }
        self.update_rates(now);
    }

    /// Sets the limits of all workspaces. A change of a limit revokes its grant.
    pub fn set_limits(&mut self, now: Now, limits: &Limits) {
        self.workspaces.retain(|workspace, state| limits.get(workspace) == Some(&state.limit));
        for (workspace, &limit) in limits {
            // A VM serves from its start, so its buckets start full at the rate of the startup time.
            let rate = self.members.fallback_share(limit).scaled(0.5);
            self.workspaces.entry(workspace.clone()).or_insert_with(|| WorkspaceState {
                limit,
                coordinator: self.members.coordinator(workspace).cloned(),
                requests: TokenBucket::new(now, rate.requests, self.options.burst)
                    .with_min_burst(self.options.min_burst_requests),
                tokens: TokenBucket::new(now, rate.tokens, self.options.burst),
                arrived: Rates::default(),
                demand: Rates::default(),
                averaging_time: Duration::ZERO,
                excess: 0.0,
                expected: 0.0,
                grant: None,
            });
        }
        self.update_rates(now);
    }

    /// Admits or refuses a request with an estimate of its prompt tokens.
    pub fn admit(&mut self, now: Now, workspace: &str, tokens: u64) -> Outcome {
        let Some(state) = self.workspaces.get_mut(workspace) else { return Outcome::Admitted };
        #[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
        let tokens = tokens as f64;
        state.arrived.requests += 1.0;
        state.arrived.tokens += tokens;
        state.update_rate(now, &self.options, &self.members, self.started_at);
        let mut wait = Duration::ZERO;
        if state.limit.requests > 0.0 {
            wait = state.requests.wait_time(now);
        }
        if state.limit.tokens > 0.0 {
            wait = wait.max(state.tokens.wait_time(now));
        }
        if !wait.is_zero() {
            return Outcome::Refused { retry_after: wait };
        }
        state.requests.consume(1.0);
        state.tokens.consume(tokens);
        Outcome::Admitted
    }

    /// Returns the time at which [`Limiter::reports`] is due. A significant change of demand makes it due earlier, so
    /// callers check this every [`Options::urgent_interval`].
    #[must_use]
    pub fn next_report(&self, now: Now) -> Now {
        let Some(at) = self.reported_at else { return self.started_at };
        let elapsed = now.saturating_sub(at);
        let has_changed =
            |state: &WorkspaceState| state.deviation(elapsed).abs() > SIGNIFICANT_DEVIATIONS;
        if self.is_urgent || self.workspaces.values().any(has_changed) {
            return at + self.options.urgent_interval;
        }
        at + self.options.report_interval
    }

    /// Returns the reports to send now with their coordinators, one of which may be this VM.
    pub fn reports(&mut self, now: Now) -> Vec<(VmId, Report)> {
        let elapsed =
            self.reported_at.map_or(self.options.report_interval, |at| now.saturating_sub(at));
        self.reported_at = Some(now);
        self.is_urgent = false;
        self.last_number += 1;
        self.sent_at.insert(self.last_number, now);
        self.sent_at.retain(|_, at| *at + self.options.validity > now);
        let mut reports = BTreeMap::<VmId, Report>::new();
        for (workspace, state) in &mut self.workspaces {
            let Some(coordinator) = state.coordinator.clone() else { continue };
            let min_rate =
                self.members.fallback_share(state.limit).scaled(self.options.equal_fraction);
            state.update_demand(elapsed, &self.options, min_rate);
            state.update_rate(now, &self.options, &self.members, self.started_at);
            let report = reports.entry(coordinator).or_insert_with(|| Report {
                vm: self.local_vm.clone(),
                number: self.last_number,
                entries: Vec::new(),
            });
            report.entries.push(Demand {
                workspace: workspace.clone(),
                arrived: state.demand,
                in_use: state.rate(),
                grant: state.grant.map_or(0, |grant| grant.0),
            });
        }
        reports.into_iter().collect()
    }

    /// Applies the answer to a report. Grants that are older than the one in use, or that come from a VM that is no
    /// longer the coordinator, are ignored.
    pub fn apply_grant(&mut self, now: Now, grant: &Grant) {
        let Some(&sent_at) = self.sent_at.get(&grant.number) else { return };
        let expiry = sent_at + self.options.validity;
        self.is_urgent |= grant.is_partial;
        for (workspace, rates) in &grant.rates {
            let Some(state) = self.workspaces.get_mut(workspace) else { continue };
            let is_newer = state.grant.is_none_or(|in_use| in_use.0 < grant.number);
            if is_newer && state.coordinator.as_ref() == Some(&grant.from) {
                // The others can use the rate that this VM releases once the coordinator has its next report.
                self.is_urgent |= state.rate().is_well_above(*rates);
                state.grant = Some((grant.number, *rates, expiry));
            }
        }
        self.update_rates(now);
    }

    /// Returns the rate in use for a workspace, or `None` without a limit.
    #[must_use]
    pub fn rate(&self, workspace: &str) -> Option<Rates> {
        self.workspaces.get(workspace).map(WorkspaceState::rate)
    }

    fn update_rates(&mut self, now: Now) {
        for state in self.workspaces.values_mut() {
            state.update_rate(now, &self.options, &self.members, self.started_at);
        }
    }
}

impl WorkspaceState {
    fn rate(&self) -> Rates {
        Rates { requests: self.requests.rate(), tokens: self.tokens.rate() }
    }

    /// Updates the demand with the arrivals since the last report. A significant change takes effect at once, random
    /// variation is averaged. After a significant decrease the VM releases the rate that it does not need.
    fn update_demand(&mut self, elapsed: Duration, options: &Options, min_rate: Rates) {
        let recent = self.arrived.scaled(1.0 / elapsed.as_secs_f64().max(0.001));
        let deviation = self.deviation(elapsed);
        let expected = self.demand.requests * elapsed.as_secs_f64();
        self.excess = self.excess * CARRIED_DEVIATION_FRACTION + self.arrived.requests - expected;
        self.expected = self.expected * CARRIED_DEVIATION_FRACTION + expected;
        if deviation.abs() > SIGNIFICANT_DEVIATIONS {
            (self.averaging_time, self.excess, self.expected) = (Duration::ZERO, 0.0, 0.0);
        }
        self.averaging_time = (self.averaging_time + elapsed).min(options.smoothing.max(elapsed));
        let weight = elapsed.as_secs_f64() / self.averaging_time.as_secs_f64().max(0.001);
        self.demand = self.demand.combine(recent, |old, new| old + (new - old) * weight.min(1.0));
        if deviation < -SIGNIFICANT_DEVIATIONS
            && let Some(grant) = &mut self.grant
        {
            let needed = self.demand.scaled(1.5).combine(min_rate, f64::max);
            grant.1 = grant.1.combine(needed, f64::min);
        }
        self.arrived = Rates::default();
    }

    /// Returns the difference between arrived and expected requests, in standard deviations of a Poisson process.
    /// Earlier reports are included, so that a change is detected with few requests.
    fn deviation(&self, elapsed: Duration) -> f64 {
        let expected = self.demand.requests * elapsed.as_secs_f64();
        let excess = self.excess * CARRIED_DEVIATION_FRACTION + self.arrived.requests - expected;
        excess / (self.expected * CARRIED_DEVIATION_FRACTION + expected).max(1.0).sqrt()
    }

    /// Sets the rate of the buckets: the granted rate while the grant is valid, otherwise the fallback share.
    fn update_rate(&mut self, now: Now, options: &Options, members: &Members, started_at: Now) {
        if self.grant.is_some_and(|grant| grant.2 <= now) {
            self.grant = None;
        }
        let fallback_share = members.fallback_share(self.limit);
        let is_in_startup = now < started_at + options.startup_time;
        let rate = match self.grant {
            Some((_, rate, _)) if is_in_startup => {
                rate.combine(fallback_share.scaled(0.5), f64::max)
            }
            Some((_, rate, _)) => rate,
            None if is_in_startup => fallback_share.scaled(0.5),
            None => fallback_share,
        };
        let has_changed =
            |bucket: &TokenBucket, rate: f64| (bucket.rate() - rate).abs() > f64::EPSILON;
        if has_changed(&self.requests, rate.requests) {
            self.requests.set_rate(now, rate.requests);
        }
        if has_changed(&self.tokens, rate.tokens) {
            self.tokens.set_rate(now, rate.tokens);
        }
    }
}
