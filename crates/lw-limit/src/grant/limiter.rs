//! The VM's side: admission within the granted or fallback rate.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use super::{Demand, Grant, Limits, Members, Options, Rates, Report};
use crate::bucket::TokenBucket;

/// Whether a request is within the limit of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request may go on.
    Admitted,
    /// The workspace is above its limit ([`ResultCode::WorkspaceLimit`]).
    Refused {
        /// Time after which the rate allows the request.
        retry_after: Duration,
    },
}

/// Standard deviations from which a change of demand is not chance.
const SIGNIFICANT: f64 = 2.5;
/// Part of the deviation of earlier reports that still counts at the next one.
const MEMORY: f64 = 0.6;

#[derive(Debug)]
struct State {
    limit: Rates,
    coordinator: Option<VmId>,
    requests: TokenBucket,
    tokens: TokenBucket,
    arrived: Rates,
    demand: Rates,
    /// Time over which the demand was measured, since its last significant change.
    measured: Duration,
    /// Excess of requests over the expected ones and expected requests of recent reports, decaying.
    excess: f64,
    expected: f64,
    /// Number of the report and expiry of the grant in use.
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
    me: VmId,
    options: Options,
    members: Members,
    states: BTreeMap<WorkspaceId, State>,
    started: Now,
    reported: Option<Now>,
    /// Whether a change has to be reported, or a larger grant to be asked for.
    is_urgent: bool,
    number: u64,
    /// When recent reports were sent, for the validity of their grants.
    sent: BTreeMap<u64, Now>,
}

impl Limiter {
    /// A limiter without limits that knows no other VM.
    #[must_use]
    pub fn new(me: VmId, options: Options, now: Now) -> Self {
        let members = Members { alive: vec![me.clone()], unreachable: Vec::new() };
        Self {
            me,
            options,
            members,
            states: BTreeMap::new(),
            started: now,
            reported: None,
            is_urgent: false,
            number: 0,
            sent: BTreeMap::new(),
        }
    }

    /// Sets the VMs that share the limits.
    pub fn set_members(&mut self, now: Now, members: Members) {
        if self.members != members {
            for (workspace, state) in &mut self.states {
                state.coordinator = members.coordinator(workspace).cloned();
            }
            self.members = members;
        }
        self.update(now);
    }

    /// Sets the limits of all workspaces. A grant under an old limit is void.
    pub fn set_limits(&mut self, now: Now, limits: &Limits) {
        self.states.retain(|workspace, state| limits.get(workspace) == Some(&state.limit));
        for (workspace, &limit) in limits {
            // A started VM serves at once, so its buckets are full at the rate of the start time.
            let rate = self.members.fallback(limit).scaled(0.5);
            self.states.entry(workspace.clone()).or_insert_with(|| State {
                limit,
                coordinator: self.members.coordinator(workspace).cloned(),
                requests: TokenBucket::new(now, rate.requests, self.options.burst)
                    .with_min_burst(self.options.min_burst_requests),
                tokens: TokenBucket::new(now, rate.tokens, self.options.burst),
                arrived: Rates::default(),
                demand: Rates::default(),
                measured: Duration::ZERO,
                excess: 0.0,
                expected: 0.0,
                grant: None,
            });
        }
        self.update(now);
    }

    /// Admits a request with this estimate of prompt tokens, or refuses it.
    pub fn admit(&mut self, now: Now, workspace: &str, tokens: u64) -> Outcome {
        let Some(state) = self.states.get_mut(workspace) else { return Outcome::Admitted };
        #[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
        let tokens = tokens as f64;
        state.arrived.requests += 1.0;
        state.arrived.tokens += tokens;
        state.refresh(now, &self.options, &self.members, self.started);
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

    /// When [`Limiter::reports`] is due. A significant change of demand makes it due sooner, so this is asked
    /// again every [`Options::urgent_interval`].
    #[must_use]
    pub fn next_report(&self, now: Now) -> Now {
        let Some(at) = self.reported else { return self.started };
        let elapsed = now.saturating_sub(at);
        let has_changed = |state: &State| state.deviation(elapsed).abs() > SIGNIFICANT;
        if self.is_urgent || self.states.values().any(has_changed) {
            return at + self.options.urgent_interval;
        }
        at + self.options.report_interval
    }

    /// The reports to send now, by coordinator; this VM may be one of them.
    pub fn reports(&mut self, now: Now) -> Vec<(VmId, Report)> {
        let elapsed =
            self.reported.map_or(self.options.report_interval, |at| now.saturating_sub(at));
        self.reported = Some(now);
        self.is_urgent = false;
        self.number += 1;
        self.sent.insert(self.number, now);
        self.sent.retain(|_, at| *at + self.options.validity > now);
        let mut reports = BTreeMap::<VmId, Report>::new();
        for (workspace, state) in &mut self.states {
            let Some(coordinator) = state.coordinator.clone() else { continue };
            let least = self.members.fallback(state.limit).scaled(self.options.equal_fraction);
            state.measure(elapsed, &self.options, least);
            state.refresh(now, &self.options, &self.members, self.started);
            let report = reports.entry(coordinator).or_insert_with(|| Report {
                vm: self.me.clone(),
                number: self.number,
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

    /// Takes the answer to a report. Grants that are older than the one in use, or that come from a VM that is no
    /// longer the coordinator, are ignored.
    pub fn apply_grant(&mut self, now: Now, grant: &Grant) {
        let Some(&sent) = self.sent.get(&grant.number) else { return };
        let expiry = sent + self.options.validity;
        self.is_urgent |= grant.is_partial;
        for (workspace, rates) in &grant.rates {
            let Some(state) = self.states.get_mut(workspace) else { continue };
            let is_newer = state.grant.is_none_or(|held| held.0 < grant.number);
            if is_newer && state.coordinator.as_ref() == Some(&grant.from) {
                // The others can use what this VM gives up once the coordinator knows that it did.
                self.is_urgent |= state.rate().is_well_above(*rates);
                state.grant = Some((grant.number, *rates, expiry));
            }
        }
        self.update(now);
    }

    /// The rate in use for a workspace, or `None` without a limit.
    #[must_use]
    pub fn rate(&self, workspace: &str) -> Option<Rates> {
        self.states.get(workspace).map(State::rate)
    }

    fn update(&mut self, now: Now) {
        for state in self.states.values_mut() {
            state.refresh(now, &self.options, &self.members, self.started);
        }
    }
}

impl State {
    fn rate(&self) -> Rates {
        Rates { requests: self.requests.rate(), tokens: self.tokens.rate() }
    }

    /// Takes what arrived since the last report into the demand. A significant change counts at once, chance
    /// variation is smoothed. After a significant drop the VM gives up the rate that it does not need.
    fn measure(&mut self, elapsed: Duration, options: &Options, least: Rates) {
        let recent = self.arrived.scaled(1.0 / elapsed.as_secs_f64().max(0.001));
        let deviation = self.deviation(elapsed);
        let expected = self.demand.requests * elapsed.as_secs_f64();
        self.excess = self.excess * MEMORY + self.arrived.requests - expected;
        self.expected = self.expected * MEMORY + expected;
        if deviation.abs() > SIGNIFICANT {
            (self.measured, self.excess, self.expected) = (Duration::ZERO, 0.0, 0.0);
        }
        self.measured = (self.measured + elapsed).min(options.smoothing.max(elapsed));
        let part = elapsed.as_secs_f64() / self.measured.as_secs_f64().max(0.001);
        self.demand = self.demand.combine(recent, |old, new| old + (new - old) * part.min(1.0));
        if deviation < -SIGNIFICANT
            && let Some(grant) = &mut self.grant
        {
            let enough = self.demand.scaled(1.5).combine(least, f64::max);
            grant.1 = grant.1.combine(enough, f64::min);
        }
        self.arrived = Rates::default();
    }

    /// Difference between arrived and expected requests, in standard deviations of a Poisson process. Earlier
    /// reports count too, so that a change shows in small counts.
    fn deviation(&self, elapsed: Duration) -> f64 {
        let expected = self.demand.requests * elapsed.as_secs_f64();
        let excess = self.excess * MEMORY + self.arrived.requests - expected;
        excess / (self.expected * MEMORY + expected).max(1.0).sqrt()
    }

    /// Sets the rate of the buckets: the grant while it is valid, else the fallback share.
    fn refresh(&mut self, now: Now, options: &Options, members: &Members, started: Now) {
        if self.grant.is_some_and(|grant| grant.2 <= now) {
            self.grant = None;
        }
        let fallback = members.fallback(self.limit);
        let is_starting = now < started + options.startup_time;
        let rate = match self.grant {
            Some((_, rate, _)) if is_starting => rate.combine(fallback.scaled(0.5), f64::max),
            Some((_, rate, _)) => rate,
            None if is_starting => fallback.scaled(0.5),
            None => fallback,
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
