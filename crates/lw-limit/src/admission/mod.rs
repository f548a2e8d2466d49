//! Admission under overload: fair shares by workspace weight, computed from a partial view of the fleet.
//!
//! Each VM measures offered and admitted tokens for each workspace and sends them to its peers. From the sums and
//! the expected wait it estimates the capacity of the fleet and divides it by weight ([`share`]). Workspaces
//! whose demand is below their share are never refused; the others are admitted at the rate of their share.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::bucket::TokenBucket;

pub mod overload;
pub mod share;

/// Fraction of its deadline that a request of a workspace above its share may wait. With 0.6, the return to normal
/// service after a load peak took 4 s instead of 1.75 s, and 4 % fewer answers met the deadline at twice the capacity.
const ABOVE_SHARE_DEADLINE_FRACTION: f64 = 0.75;
/// Ratio of offered to admitted tokens above which workspaces are marked as above their share, that is, when more than
/// one in six tokens is refused. With 1.05, twice as many requests were refused at 90 % of the capacity.
const OFFERED_RATIO_MAX: f64 = 1.2;

/// Time constants of admission.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time between two digests; the shares are recomputed with each.
    pub digest_interval: Duration,
    /// Time after which the digest of a peer is discarded.
    pub digest_validity: Duration,
    /// Target for the queue wait under overload. It keeps the engines busy and leaves most of the 1.7 s to the first
    /// token.
    pub target_wait: Duration,
    /// Time within which a wait above the target is to return to it.
    pub recovery_time: Duration,
    /// Burst of a workspace above its share, as time at its rate. It allows a few requests and includes the fractions
    /// reserved for more urgent classes.
    pub burst: Duration,
    /// Minimum retry delay of a refused request.
    pub min_retry_after: Duration,
    /// Maximum retry delay of a refused request, without the jitter.
    pub max_retry_after: Duration,
    /// Minimum width of the random jitter that is added to the retry delay.
    pub min_jitter: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            digest_interval: Duration::from_millis(500),
            digest_validity: Duration::from_secs(2),
            target_wait: Duration::from_millis(500),
            recovery_time: Duration::from_millis(1_500),
            burst: Duration::from_secs(2),
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(30),
            min_jitter: Duration::from_secs(2),
        }
    }
}

/// The router's estimate of the load of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Whether requests are queued at all engines.
    pub is_saturated: bool,
    /// Expected wait for an engine of a request sent now.
    pub expected_wait: Duration,
}

/// Properties of an arriving request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Id; the jitter of the retry delay is derived from it.
    pub id: &'a str,
    /// Number of attempts before this one, over all VMs.
    pub attempt: Attempt,
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// Class; less urgent classes of a workspace are refused first.
    pub class: Class,
    /// Estimated tokens of work.
    pub tokens: u64,
    /// Time until the deadline.
    pub remaining: Duration,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request may be sent to an engine.
    Admitted,
    /// The request is refused ([`ResultCode::Overloaded`]).
    Refused {
        /// Time after which the request may be retried, different for each request.
        retry_after: Duration,
    },
}

/// Token rates of one workspace, in tokens per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// All arrived tokens, admitted or not.
    pub offered: f64,
    /// Admitted tokens.
    pub admitted: f64,
}

/// Usage of one VM in its last interval, sent to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The VM.
    pub vm: VmId,
    /// Usage of each workspace with traffic.
    pub usage: BTreeMap<WorkspaceId, Usage>,
}

/// Weight of the newest interval in the moving average of the offered rate. Averaged over about 2 s, random variation
/// puts few workspaces above their share.
const SMOOTHING: f64 = 0.25;

/// Number of tokens over which the mean request size is averaged.
const REQUEST_SIZE_AVERAGING_TOKENS: f64 = 50_000.0;
/// Length in seconds of a plain average with as little random variation as [`SMOOTHING`] leaves: 7 intervals of
/// 500 ms.
const SMOOTHING_SECONDS: f64 = 3.5;
/// Standard deviations of a Poisson process by which the demand of a workspace must exceed its share before it is
/// limited. With few requests, random variation alone exceeds the share considerably.
const SIGNIFICANT_DEVIATIONS: f64 = 2.0;

#[derive(Debug, Default)]
struct WorkspaceState {
    interval: Usage,
    /// Admitted rate of the last interval and moving average of the offered rate.
    rates: Usage,
    /// Mean request size in tokens, weighted by tokens, so that large requests count more.
    request_size: f64,
    /// Limits the workspace while it is above its share.
    bucket: Option<TokenBucket>,
    /// Whether the fleet admits less than is offered and the demand of this workspace exceeds its share of the
    /// admitted rate.
    is_above_share: bool,
}

/// Admission of one VM.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::admission::{Admission, Options, Outcome, Request};
/// use lw_types::prelude::Class;
/// let mut admission = Admission::new("vm-1".into(), Options::default());
/// let remaining = Duration::from_secs(2);
/// let request =
///     Request { id: "r1", attempt: 0, workspace: "station", class: Class::Live, tokens: 900, remaining };
/// assert_eq!(admission.admit(Duration::ZERO, request), Outcome::Admitted);
/// ```
#[derive(Debug)]
pub struct Admission {
    local_vm: VmId,
    options: Options,
    weights: BTreeMap<WorkspaceId, u64>,
    workspaces: BTreeMap<WorkspaceId, WorkspaceState>,
    peers: BTreeMap<VmId, (Now, Digest)>,
    pressure: Pressure,
    capacity: share::Capacity,
    interval_start: Now,
    /// Whether overload began in this interval, which is then shortened.
    is_urgent: bool,
}

impl Admission {
    /// Creates admission for the VM `local_vm`, without load.
    #[must_use]
    pub fn new(local_vm: VmId, options: Options) -> Self {
        Self {
            local_vm,
            options,
            weights: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            peers: BTreeMap::new(),
            pressure: Pressure::default(),
            capacity: share::Capacity::default(),
            interval_start: Duration::ZERO,
            is_urgent: false,
        }
    }

    /// Sets the weights; a workspace without one has weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<WorkspaceId, u64>) {
        self.weights = weights;
    }

    /// Sets the router's newest estimate.
    pub fn set_pressure(&mut self, pressure: Pressure) {
        self.is_urgent |= pressure.is_saturated && !self.pressure.is_saturated;
        self.pressure = pressure;
    }

    /// Stores the newest digest of a peer.
    pub fn on_peer_digest(&mut self, now: Now, digest: Digest) {
        if digest.vm != self.local_vm {
            self.peers.insert(digest.vm.clone(), (now, digest));
        }
    }

    /// Returns the time at which [`Admission::digest`] is due.
    #[must_use]
    pub fn next_digest(&self) -> Now {
        let interval = self.options.digest_interval;
        self.interval_start + if self.is_urgent { interval / 5 } else { interval }
    }

    /// Ends the interval: recomputes the shares and returns the digest for the peers.
    pub fn digest(&mut self, now: Now) -> Digest {
        let elapsed = now.saturating_sub(self.interval_start).as_secs_f64().max(0.001);
        self.interval_start = now;
        self.is_urgent = false;
        self.peers.retain(|_, (at, _)| *at + self.options.digest_validity > now);
        let mut usage = BTreeMap::new();
        self.workspaces.retain(|workspace, state| {
            let rates = &mut state.rates;
            rates.offered += (state.interval.offered / elapsed - rates.offered) * SMOOTHING;
            // Not smoothed, because it is compared with the growth of the wait, which is not smoothed either.
            rates.admitted = state.interval.admitted / elapsed;
            state.interval = Usage::default();
            usage.insert(workspace.clone(), state.rates);
            state.rates.offered >= 1.0
        });
        usage.retain(|_, usage| usage.offered >= 1.0);
        self.update_limits(now, elapsed, &usage);
        Digest { vm: self.local_vm.clone(), usage }
    }

    /// Admits or refuses a request, and counts it.
    pub fn admit(&mut self, now: Now, request: Request<'_>) -> Outcome {
        if !self.workspaces.contains_key(request.workspace) {
            self.workspaces.insert(request.workspace.to_owned(), WorkspaceState::default());
        }
        let Some(state) = self.workspaces.get_mut(request.workspace) else { unreachable!() };
        #[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
        let tokens = request.tokens as f64;
        state.interval.offered += tokens;
        state.request_size +=
            (tokens - state.request_size) * (tokens / REQUEST_SIZE_AVERAGING_TOKENS).min(1.0);
        let wait = match &mut state.bucket {
            // A workspace below its share is not refused because of a wait that others cause.
            None if self.pressure.is_saturated
                || self.pressure.expected_wait <= request.remaining =>
            {
                Duration::ZERO
            }
            Some(bucket) if self.pressure.expected_wait <= request.remaining => {
                let has_unreserved_units =
                    bucket.fill_ratio(now) >= reserved_fraction(request.class, request.attempt);
                let wait = bucket.wait_time(now);
                if has_unreserved_units { wait } else { wait.max(self.options.burst) }
            }
            _ => self.pressure.expected_wait,
        };
        if !wait.is_zero() {
            return Outcome::Refused { retry_after: self.retry_after(wait, &request) };
        }
        state.interval.admitted += tokens;
        if let Some(bucket) = &mut state.bucket {
            bucket.consume(tokens);
        }
        Outcome::Admitted
    }

    /// Counts an arrived request and returns the fraction of its deadline within which the first token must be
    /// expected.
    ///
    /// A workspace above its share gets less than the full deadline, so that the queues stay short enough for
    /// workspaces below theirs. Unlike [`Admission::admit`] this needs no estimate of the capacity.
    pub fn record_offered(&mut self, workspace: &str, tokens: u64) -> f64 {
        let state = self.workspaces.entry(workspace.to_owned()).or_default();
        state.interval.offered += as_f64(tokens);
        if state.is_above_share { ABOVE_SHARE_DEADLINE_FRACTION } else { 1.0 }
    }

    /// Counts a request that is sent to an engine.
    pub fn record_admitted(&mut self, workspace: &str, tokens: u64) {
        let state = self.workspaces.entry(workspace.to_owned()).or_default();
        state.interval.admitted += as_f64(tokens);
    }

    /// Returns whether a workspace is above its share and limited.
    #[must_use]
    pub fn is_limited(&self, workspace: &str) -> bool {
        self.workspaces.get(workspace).is_some_and(|state| state.bucket.is_some())
    }

    /// Returns the time until a refused request may be retried. It doubles with each attempt, and a hash of the id
    /// adds jitter of up to the same time, so that retries do not arrive together.
    fn retry_after(&self, wait: Duration, request: &Request<'_>) -> Duration {
        let excess = self.pressure.expected_wait.saturating_sub(self.options.target_wait);
        let delay = wait.max(excess).max(self.options.min_retry_after);
        let delay =
            delay.saturating_mul(1 << request.attempt.min(5)).min(self.options.max_retry_after);
        let hash = xxh3_64_with_seed(request.id.as_bytes(), request.attempt.into());
        #[expect(clippy::cast_precision_loss, reason = "the upper 32 bits are exact")]
        let fraction = (hash >> 32) as f64 / f64::from(u32::MAX);
        delay + delay.max(self.options.min_jitter).mul_f64(fraction)
    }

    /// Divides the rate that the fleet admits among the workspaces and marks those whose demand exceeds their share.
    fn mark_above_share(&mut self, fleet: &BTreeMap<WorkspaceId, Usage>, admitted: f64) {
        let weight = |workspace: &str| self.weights.get(workspace).copied().unwrap_or(1).max(1);
        let demands: Vec<_> =
            fleet.iter().map(|(name, usage)| share::demand(usage.offered, weight(name))).collect();
        let level = share::level(&demands, admitted * OFFERED_RATIO_MAX);
        let is_above = |demand: &share::Demand| {
            level.is_some_and(|level| demand.offered > level * demand.weight)
        };
        let above: Vec<_> =
            fleet.keys().zip(&demands).filter(|(_, demand)| is_above(demand)).collect();
        for (workspace, state) in &mut self.workspaces {
            state.is_above_share = above.iter().any(|(name, _)| *name == workspace);
        }
    }

    /// Divides the capacity among the workspaces and limits those above their share to its rate.
    fn update_limits(&mut self, now: Now, elapsed: f64, local: &BTreeMap<WorkspaceId, Usage>) {
        let mut fleet = local.clone();
        for (workspace, usage) in self.peers.values().flat_map(|(_, digest)| &digest.usage) {
            let sum = fleet.entry(workspace.clone()).or_default();
            sum.offered += usage.offered;
            sum.admitted += usage.admitted;
        }
        let admitted: f64 = fleet.values().map(|usage| usage.admitted).sum();
        self.mark_above_share(&fleet, admitted);
        let target_rate = self.capacity.update(elapsed, admitted, self.pressure, &self.options);
        let weight = |workspace: &str| self.weights.get(workspace).copied().unwrap_or(1).max(1);
        let demands = fleet.iter().map(|(name, usage)| share::demand(usage.offered, weight(name)));
        let level = target_rate.and_then(|target_rate| {
            let demands: Vec<_> = demands.collect();
            let level = share::level(&demands, target_rate)?;
            Some(level.max(
                self.capacity.guaranteed_rate() / demands.iter().map(|d| d.weight).sum::<f64>(),
            ))
        });
        for (workspace, state) in &mut self.workspaces {
            let offered = fleet.get(workspace).map_or(0.0, |usage| usage.offered);
            let weight = share::demand(offered, weight(workspace)).weight;
            let random_variation =
                SIGNIFICANT_DEVIATIONS * (offered * state.request_size / SMOOTHING_SECONDS).sqrt();
            let margin = if state.bucket.is_some() { 0.0 } else { random_variation };
            let Some(rate) =
                level.map(|level| level * weight).filter(|rate| rate + margin < offered)
            else {
                state.bucket = None;
                continue;
            };
            let rate = rate * state.rates.offered / offered;
            let bucket =
                state.bucket.get_or_insert_with(|| TokenBucket::new(now, rate, self.options.burst));
            bucket.set_rate(now, rate);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}

/// Returns the fraction of the burst that a request must leave to others. Less urgent classes leave some to more urgent
/// ones, and retries leave some to first attempts, so that retries after a load peak do not displace the normal load.
fn reserved_fraction(class: Class, attempt: Attempt) -> f64 {
    let class = match class {
        Class::Live => 0.0,
        Class::Standard => 0.15,
        Class::Bulk => 0.3,
    };
    let retry_reserve = if attempt > 0 { 0.4 } else { 0.0 };
    if class + retry_reserve > 0.0 { class + retry_reserve } else { f64::NEG_INFINITY }
}
