//! Limits that upstreams name: what this VM may send them, and what it tells the other VMs.

use std::{cmp::Reverse, time::Duration};

use lw_catalog::Upstream;
use lw_limit::upstream::{Evidence, Limiter, Opening, Origin, Position, Turn};
use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{PlacementRequest, Refusal, UpstreamPool, UpstreamState};

/// Time after which a caller may try another VM, if this one has no share of any limit.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// Time for which the limit of an upstream that is no longer registered is retained. Its entry may come back.
const UNREGISTERED_TIME_MAX: Duration = Duration::from_secs(60);
/// Fraction of a caller's longest wait that a request waits for its turn at most.
const TURN_WAIT_FRACTION: f64 = 0.5;
/// Longest wait of a request for its turn if it exceeds its target latency anyway.
const LATE_TURN_WAIT: Duration = Duration::from_millis(200);
/// Fraction of a limit that calls for cache events use.
const FEED_FRACTION: f64 = 0.1;
/// Most turns that a VM asks for at once.
const TURN_REQUESTS_MAX: usize = 8;
/// Time after a request without a turn for which a VM lends none.
const LENDING_PAUSE: Duration = Duration::from_millis(500);
/// Shortest time between two calls for the cache events of a limited upstream.
const FEED_PERIOD_MIN: Duration = Duration::from_secs(1);

/// The limit of one run of an upstream.
#[derive(Debug)]
pub(super) struct RunLimit {
    incarnation: Incarnation,
    limiter: Limiter,
}

/// What one VM tells the others about the limit of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What the answer stated; its times are by the clock of the VM that has this value.
    pub evidence: Evidence,
}

/// A request of one VM to another one for a turn at a limited upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRequest {
    /// The VM that is asked.
    pub lender: VmId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Identifies the request.
    pub nonce: u64,
}

/// Requests that no limit allowed soon enough.
#[derive(Debug, Default)]
pub(super) struct Unserved {
    /// Since turns were last asked for.
    count: usize,
    last_at: Option<Now>,
}

/// The registered VMs among which limits are shared.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// This VM.
    pub own: &'a str,
    /// The registered VMs with their failure domains.
    pub vms: &'a [(&'a str, &'a str)],
    /// Largest number of registered VMs lately.
    pub size: usize,
    /// Whether other VMs may have removed this one from the registered VMs meanwhile.
    pub is_stale: bool,
}

impl UpstreamPool {
    /// Applies what an answer states about the limit of an upstream. Returns whether the limit has changed.
    pub fn observe_limit(&mut self, now: Now, report: &LimitReport, origin: Origin) -> bool {
        let LimitReport { upstream, incarnation, evidence } = report;
        let is_current = |state: &UpstreamState| state.upstream.incarnation == *incarnation;
        if !self.upstreams.get(upstream).is_some_and(is_current) {
            return false;
        }
        match self.limits.get_mut(upstream).filter(|limit| limit.incarnation == *incarnation) {
            Some(limit) => limit.limiter.observe(now, *evidence, origin),
            None if evidence.limit.is_none() => false,
            None => {
                let limiter = Limiter::new(now, *evidence, origin);
                let limit = RunLimit { incarnation: *incarnation, limiter };
                self.limits.insert(upstream.clone(), limit);
                true
            }
        }
    }

    /// Removes the limit of another run of an upstream.
    pub(super) fn forget_limit_of_former_run(&mut self, upstream: &Upstream) {
        if let Some(limit) = self.limits.get(&upstream.id)
            && limit.incarnation != upstream.incarnation
        {
            self.limits.remove(&upstream.id);
        }
    }

    /// Updates this VM's shares of all limits. Returns what is to be announced to the other VMs.
    pub fn update_limits(&mut self, now: Now, fleet: &Fleet<'_>) -> Vec<LimitReport> {
        let upstreams = &self.upstreams;
        self.limits.retain(|id, limit| {
            let known = limit.limiter.known().map(|evidence| evidence.received_at);
            let is_old = known.is_none_or(|at| now.saturating_sub(at) > UNREGISTERED_TIME_MAX);
            !limit.limiter.is_obsolete(now) && (upstreams.contains_key(id) || !is_old)
        });
        let mut reports = Vec::new();
        for (id, limit) in &mut self.limits {
            let Some(state) = self.upstreams.get(id) else { continue };
            let position = position(fleet, &state.upstream);
            limit.limiter.set_position(now, position, fleet.is_stale);
            if let Some(evidence) = limit.limiter.announcement(now) {
                let (upstream, incarnation) = (id.clone(), limit.incarnation);
                reports.push(LimitReport { upstream, incarnation, evidence });
            }
        }
        reports
    }

    /// Records that a request was refused since no limit allowed it soon enough.
    pub fn record_unserved(&mut self, now: Now) {
        self.unserved.count += 1;
        self.unserved.last_at = Some(now);
    }

    /// Returns requests to other VMs for turns: for as many as requests were refused, and as borrowed turns were used. `seed`
    /// selects the upstreams and VMs.
    pub fn turn_requests(&mut self, now: Now, fleet: &Fleet<'_>, seed: u64) -> Vec<TurnRequest> {
        let unserved = std::mem::take(&mut self.unserved.count);
        let mut wanted: Vec<UpstreamId> = Vec::new();
        for (id, limit) in &mut self.limits {
            wanted.extend(std::iter::repeat_n(id.clone(), limit.limiter.take_used_loans()));
        }
        let is_usable = |id: &str| self.upstreams.get(id).is_some_and(|state| state.is_open(now));
        let mut others: Vec<_> = self.limits.keys().filter(|id| is_usable(id)).cloned().collect();
        others.sort_by_key(|id| xxh3_64_with_seed(id.as_bytes(), seed));
        wanted.extend(others.into_iter().cycle().take(unserved));
        wanted.truncate(TURN_REQUESTS_MAX);
        let requests = wanted.into_iter().enumerate().filter_map(|(n, id)| {
            let nonce = xxh3_64_with_seed(&n.to_le_bytes(), seed);
            let (state, limit) = (self.upstreams.get(&id)?, self.limits.get_mut(&id)?);
            let lender = lender(fleet, &state.upstream, limit.limiter.lenders()?, nonce)?;
            limit.limiter.ask_for_turn(now, nonce);
            Some(TurnRequest { lender, upstream: id, incarnation: limit.incarnation, nonce })
        });
        requests.collect()
    }

    /// Gives up a turn for a VM that asks for one. Returns whether there is one that this VM does not need.
    pub fn lend_turn(&mut self, now: Now, id: &str, incarnation: Incarnation) -> bool {
        let needs_turns =
            self.unserved.last_at.is_some_and(|at| now.saturating_sub(at) < LENDING_PAUSE);
        let limit = self.limits.get_mut(id).filter(|limit| limit.incarnation == incarnation);
        !needs_turns && limit.is_some_and(|limit| limit.limiter.lend_turn(now))
    }

    /// Records a turn that another VM lent.
    pub fn accept_turn(&mut self, now: Now, id: &str, incarnation: Incarnation, nonce: u64) {
        let limit = self.limits.get_mut(id).filter(|limit| limit.incarnation == incarnation);
        if let Some(limit) = limit {
            limit.limiter.accept_turn(now, nonce);
        }
    }

    /// Returns all limits that this VM knows, for a VM that has started.
    #[must_use]
    pub fn known_limits(&self) -> Vec<LimitReport> {
        let reports = self.limits.iter().filter_map(|(id, limit)| {
            let (upstream, incarnation) = (id.clone(), limit.incarnation);
            Some(LimitReport { upstream, incarnation, evidence: limit.limiter.known()? })
        });
        reports.collect()
    }

    /// Returns the limit of an upstream in requests a second, and how many of them this VM may send.
    #[must_use]
    pub fn limit(&self, id: &str) -> Option<(f64, f64)> {
        let limiter = &self.limits.get(id)?.limiter;
        Some((limiter.limit()?, limiter.rate().unwrap_or_default()))
    }

    /// Whether an upstream names a limit, or did a moment ago.
    #[must_use]
    pub fn has_named_limit(&self, id: &str) -> bool {
        self.limits.contains_key(id)
    }

    /// Returns the number of upstreams that name a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.limits.values().filter(|limit| limit.limiter.limit().is_some()).count()
    }

    /// Returns the time between two calls for the cache events of a limited upstream, which count like requests.
    #[must_use]
    pub fn feed_period(&self, id: &str) -> Option<Duration> {
        let (limit, _) = self.limit(id)?;
        let period = Duration::try_from_secs_f64(1.0 / (limit * FEED_FRACTION));
        Some(period.unwrap_or(Duration::MAX).max(FEED_PERIOD_MIN))
    }

    /// Reserves the turn of a request at a limited upstream; none if the upstream names no limit or the turn has come.
    pub fn reserve_turn(&mut self, now: Now, id: &str) -> Option<Turn> {
        let turn = self.limits.get_mut(id)?.limiter.reserve(now)?;
        (turn.at > now).then_some(turn)
    }

    /// Whether a request may be sent in a turn that was reserved before.
    #[must_use]
    pub fn may_send_in_turn(&self, now: Now, id: &str, turn: Turn) -> bool {
        let is_valid = self.limits.get(id).is_none_or(|limit| limit.limiter.is_valid(now, turn));
        is_valid && self.upstreams.get(id).is_some_and(|state| state.is_open(now))
    }

    /// Returns when the limit of an upstream allows the next request; none if this VM may send it none.
    pub(super) fn turn_at(&self, now: Now, state: &UpstreamState) -> Option<Now> {
        let Some(limit) = self.limits.get(&state.upstream.id) else { return Some(now) };
        match limit.limiter.opening(now) {
            Opening::At(at) => Some(at),
            Opening::Closed => None,
        }
    }

    /// Whether the limit of an upstream allows this request soon enough.
    pub(super) fn has_turn(
        &self,
        now: Now,
        request: &PlacementRequest<'_>,
        state: &UpstreamState,
    ) -> bool {
        let wait_max = request.max_wait.min(request.time_left).mul_f64(TURN_WAIT_FRACTION);
        let wait_max = wait_max.min(request.time_to_target.max(LATE_TURN_WAIT));
        self.turn_at(now, state).is_some_and(|at| at <= now + wait_max)
    }

    /// Returns the refusal of a request that no limit allows soon enough. The times of several requests differ, so that
    /// their callers do not all come back at once.
    pub(super) fn refuse_by_limit<'a>(
        &self,
        now: Now,
        request: &PlacementRequest<'_>,
        upstreams: impl Iterator<Item = &'a UpstreamState>,
    ) -> Option<Refusal> {
        let waits = upstreams.filter(|state| !self.has_turn(now, request, state)).map(|state| {
            self.turn_at(now, state).map_or(RETRY_ELSEWHERE, |at| at.saturating_sub(now))
        });
        let wait = waits.min()?;
        let spread = f64::from(u16::try_from(request.request_hash % 1000).unwrap_or(0)) / 1000.0;
        Some(Refusal::Limited(wait.mul_f64(1.0 + spread)))
    }
}

/// Returns the sequence in which VMs get a share of an upstream's limit: the VMs of its failure domain come first, since
/// they send it most requests.
fn order(upstream: &Upstream) -> impl Fn(&(&str, &str)) -> Reverse<(bool, u64)> + '_ {
    let seed = xxh3_64_with_seed(upstream.id.as_bytes(), upstream.incarnation);
    move |(vm, domain)| {
        let is_local = *domain == upstream.failure_domain;
        Reverse((is_local, xxh3_64_with_seed(vm.as_bytes(), seed)))
    }
}

/// Returns the position of this VM for the shares of an upstream's limit.
fn position(fleet: &Fleet<'_>, upstream: &Upstream) -> Option<Position> {
    let order = order(upstream);
    let own = order(fleet.vms.iter().find(|(vm, _)| *vm == fleet.own)?);
    let rank = fleet.vms.iter().filter(|vm| order(vm) < own).count();
    Some(Position { rank, fleet: fleet.size.max(fleet.vms.len()) })
}

/// Returns one of the VMs that share an upstream's limit, except this VM.
fn lender(fleet: &Fleet<'_>, upstream: &Upstream, count: usize, nonce: u64) -> Option<VmId> {
    let mut vms = fleet.vms.to_vec();
    vms.sort_by_key(order(upstream));
    vms.truncate(count);
    vms.retain(|(vm, _)| *vm != fleet.own);
    let index = nonce.checked_rem(u64::try_from(vms.len()).ok()?)?;
    Some(vms.get(usize::try_from(index).ok()?)?.0.to_owned())
}
