//! The VM's side: admission within the granted or fallback rate.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use super::{Demand, Grant, Limits, Members, Options, Rates, Report};
use crate::bucket::Bucket;

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

#[derive(Debug)]
struct State {
    limit: Rates,
    requests: Bucket,
    tokens: Bucket,
    arrived: Rates,
    demand: Rates,
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
            number: 0,
            sent: BTreeMap::new(),
        }
    }

    /// Sets the VMs that share the limits.
    pub fn set_members(&mut self, now: Now, members: Members) {
        self.members = members;
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
                requests: Bucket::new(now, rate.requests, self.options.burst),
                tokens: Bucket::new(now, rate.tokens, self.options.burst),
                arrived: Rates::default(),
                demand: Rates::default(),
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
            wait = state.requests.wait(now, 1.0);
        }
        if state.limit.tokens > 0.0 {
            wait = wait.max(state.tokens.wait(now, tokens));
        }
        if !wait.is_zero() {
            return Outcome::Refused { retry_after: wait };
        }
        state.requests.take(1.0);
        state.tokens.take(tokens);
        Outcome::Admitted
    }

    /// When [`Limiter::reports`] is due.
    #[must_use]
    pub fn next_report(&self) -> Now {
        self.reported.map_or(self.started, |at| at + self.options.report_interval)
    }

    /// The reports to send now, by coordinator; this VM may be one of them.
    pub fn reports(&mut self, now: Now) -> Vec<(VmId, Report)> {
        let elapsed =
            self.reported.map_or(self.options.report_interval, |at| now.saturating_sub(at));
        self.reported = Some(now);
        self.number += 1;
        self.sent.insert(self.number, now);
        self.sent.retain(|_, at| *at + self.options.validity > now);
        let mut reports = BTreeMap::<VmId, Report>::new();
        for (workspace, state) in &mut self.states {
            let Some(coordinator) = self.members.coordinator(workspace) else { continue };
            state.refresh(now, &self.options, &self.members, self.started);
            let recent = state.arrived.scaled(1.0 / elapsed.as_secs_f64().max(0.001));
            state.demand = state.demand.combine(recent, f64::midpoint);
            state.arrived = Rates::default();
            let report = reports.entry(coordinator.clone()).or_insert_with(|| Report {
                vm: self.me.clone(),
                number: self.number,
                entries: Vec::new(),
            });
            report.entries.push(Demand {
                workspace: workspace.clone(),
                arrived: state.demand,
                in_use: Rates { requests: state.requests.rate(), tokens: state.tokens.rate() },
                grant: state.grant.map_or(0, |grant| grant.0),
            });
        }
        reports.into_iter().collect()
    }

    /// Takes the answer to a report. Grants that are older than the one in use, or that come from a VM that is no
    /// longer the coordinator, are ignored.
    pub fn grant(&mut self, now: Now, grant: &Grant) {
        let Some(&sent) = self.sent.get(&grant.number) else { return };
        let expiry = sent + self.options.validity;
        for (workspace, rates) in &grant.rates {
            let Some(state) = self.states.get_mut(workspace) else { continue };
            let is_newer = state.grant.is_none_or(|held| held.0 < grant.number);
            if is_newer && self.members.coordinator(workspace) == Some(&grant.from) {
                state.grant = Some((grant.number, *rates, expiry));
            }
        }
        self.update(now);
    }

    /// The rate in use for a workspace, or `None` without a limit.
    #[must_use]
    pub fn rate(&self, workspace: &str) -> Option<Rates> {
        let state = self.states.get(workspace)?;
        Some(Rates { requests: state.requests.rate(), tokens: state.tokens.rate() })
    }

    fn update(&mut self, now: Now) {
        for state in self.states.values_mut() {
            state.refresh(now, &self.options, &self.members, self.started);
        }
    }
}

impl State {
    /// Sets the rate of the buckets: the grant while it is valid, else the fallback share.
    fn refresh(&mut self, now: Now, options: &Options, members: &Members, started: Now) {
        if self.grant.is_some_and(|grant| grant.2 <= now) {
            self.grant = None;
        }
        let fallback = members.fallback(self.limit);
        let is_starting = now < started + options.start_time;
        let rate = match self.grant {
            Some((_, rate, _)) if is_starting => rate.combine(fallback.scaled(0.5), f64::max),
            Some((_, rate, _)) => rate,
            None if is_starting => fallback.scaled(0.5),
            None => fallback,
        };
        let has_changed = |bucket: &Bucket, rate: f64| (bucket.rate() - rate).abs() > f64::EPSILON;
        if has_changed(&self.requests, rate.requests) {
            self.requests.set_rate(now, rate.requests);
        }
        if has_changed(&self.tokens, rate.tokens) {
            self.tokens.set_rate(now, rate.tokens);
        }
    }
}
