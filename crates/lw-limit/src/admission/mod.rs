//! Admission under pressure: fair shares by workspace weight on a partial view of the fleet.
//!
//! Each VM measures offered and admitted tokens for each workspace and sends them to its peers. From the sums and
//! the expected wait it estimates what the fleet can take, and divides that by weight ([`share`]). Workspaces
//! whose demand is under their share are never refused; the others are admitted at the rate of their share.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::bucket::TokenBucket;

pub mod share;

/// Part of its deadline that a request of a workspace above its share may wait. With 0.6, service took 4 s instead of
/// 1.75 s to become normal after a peak, and 4 % fewer answers came in time at twice the capacity.
const ABOVE_SHARE_PART: f64 = 0.75;
/// Refusals of fewer than one in six tokens mark nobody. With 1.05, twice as many requests were refused at 90 % of the
/// capacity.
const ADMITTED_TOLERANCE: f64 = 1.2;

/// Timing of admission.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time between two digests; the shares are computed anew with each.
    pub digest_interval: Duration,
    /// Time after which the digest of a peer is dropped.
    pub digest_validity: Duration,
    /// Wait that is held under pressure. It keeps the engines busy and leaves most of the 1.7 s to the first token.
    pub target_wait: Duration,
    /// Time in which a wait above the target is worked off.
    pub recovery_time: Duration,
    /// Burst of a workspace above its share, as time at its rate. It has room for a few requests, of which the
    /// less urgent ones leave a part.
    pub burst: Duration,
    /// Shortest time after which a refused request comes back.
    pub min_retry_after: Duration,
    /// Longest time after which a refused request comes back, before the spread.
    pub max_retry_after: Duration,
    /// Least width of the spread of returns.
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

/// The router's estimate of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Whether all engines have work waiting.
    pub is_saturated: bool,
    /// Time that a request sent now waits for an engine.
    pub expected_wait: Duration,
}

/// What is known of a request at arrival.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Id; the spread of returns derives from it.
    pub id: &'a str,
    /// Attempts before this one, over all VMs.
    pub attempt: Attempt,
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// Class; less urgent classes are refused first within a workspace.
    pub class: Class,
    /// Estimated tokens of work.
    pub tokens: u64,
    /// Time until the answer is useless.
    pub remaining: Duration,
}

/// Whether a request is let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request may be sent to an engine.
    Admitted,
    /// The request is refused ([`ResultCode::Overloaded`]).
    Refused {
        /// Time after which it may come back, different for each request.
        retry_after: Duration,
    },
}

/// Tokens a second of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// What arrived, admitted or not.
    pub offered: f64,
    /// What was admitted.
    pub admitted: f64,
}

/// Usage of one VM in its last interval, for its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The VM.
    pub vm: VmId,
    /// Usage of each workspace with traffic.
    pub usage: BTreeMap<WorkspaceId, Usage>,
}

/// Weight of the newest interval in the offered rate. Over about 2 s, chance variation puts few workspaces above
/// their share.
const SMOOTHING: f64 = 0.25;

/// Tokens over which the mean size of requests is taken.
const REQUEST_SIZE_SPAN: f64 = 50_000.0;
/// Seconds over which [`SMOOTHING`] averages.
const SMOOTHED_SECONDS: f64 = 3.5;
/// Standard deviations of a Poisson process by which the demand of a workspace must exceed its share before it is
/// limited. With few requests, chance variation alone is well above the share.
const SIGNIFICANT: f64 = 2.0;

#[derive(Debug, Default)]
struct Counter {
    interval: Usage,
    /// Of the last interval; what is offered is smoothed over a few.
    rates: Usage,
    /// Mean tokens of a request, by tokens: large ones count more.
    request_size: f64,
    /// Present while the workspace is above its share.
    bucket: Option<TokenBucket>,
    /// Whether the fleet admits less than is offered and this workspace asks for more than its share of it.
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
    me: VmId,
    options: Options,
    weights: BTreeMap<WorkspaceId, u64>,
    counters: BTreeMap<WorkspaceId, Counter>,
    peers: BTreeMap<VmId, (Now, Digest)>,
    pressure: Pressure,
    capacity: share::Capacity,
    interval_start: Now,
    /// Whether pressure began in this interval, so that it ends early.
    is_urgent: bool,
}

impl Admission {
    /// Admission without pressure.
    #[must_use]
    pub fn new(me: VmId, options: Options) -> Self {
        Self {
            me,
            options,
            weights: BTreeMap::new(),
            counters: BTreeMap::new(),
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

    /// Takes the router's newest estimate.
    pub fn set_pressure(&mut self, pressure: Pressure) {
        self.is_urgent |= pressure.is_saturated && !self.pressure.is_saturated;
        self.pressure = pressure;
    }

    /// Takes the digest of a peer.
    pub fn on_peer_digest(&mut self, now: Now, digest: Digest) {
        if digest.vm != self.me {
            self.peers.insert(digest.vm.clone(), (now, digest));
        }
    }

    /// When [`Admission::digest`] is due.
    #[must_use]
    pub fn next_digest(&self) -> Now {
        let interval = self.options.digest_interval;
        self.interval_start + if self.is_urgent { interval / 5 } else { interval }
    }

    /// Ends the interval: computes the shares anew and returns the digest for the peers.
    pub fn digest(&mut self, now: Now) -> Digest {
        let elapsed = now.saturating_sub(self.interval_start).as_secs_f64().max(0.001);
        self.interval_start = now;
        self.is_urgent = false;
        self.peers.retain(|_, (at, _)| *at + self.options.digest_validity > now);
        let mut usage = BTreeMap::new();
        self.counters.retain(|workspace, counter| {
            let rates = &mut counter.rates;
            rates.offered += (counter.interval.offered / elapsed - rates.offered) * SMOOTHING;
            // Unsmoothed, because the growth of the wait that it is compared with is so too.
            rates.admitted = counter.interval.admitted / elapsed;
            counter.interval = Usage::default();
            usage.insert(workspace.clone(), counter.rates);
            counter.rates.offered >= 1.0
        });
        usage.retain(|_, usage| usage.offered >= 1.0);
        self.divide(now, elapsed, &usage);
        Digest { vm: self.me.clone(), usage }
    }

    /// Decides on a request at once.
    pub fn admit(&mut self, now: Now, request: Request<'_>) -> Outcome {
        if !self.counters.contains_key(request.workspace) {
            self.counters.insert(request.workspace.to_owned(), Counter::default());
        }
        let Some(counter) = self.counters.get_mut(request.workspace) else { unreachable!() };
        #[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
        let tokens = request.tokens as f64;
        counter.interval.offered += tokens;
        counter.request_size +=
            (tokens - counter.request_size) * (tokens / REQUEST_SIZE_SPAN).min(1.0);
        let wait = match &mut counter.bucket {
            // Under its share, a workspace is not refused because of the wait that others cause.
            None if self.pressure.is_saturated
                || self.pressure.expected_wait <= request.remaining =>
            {
                Duration::ZERO
            }
            Some(bucket) if self.pressure.expected_wait <= request.remaining => {
                let has_room = bucket.fill_ratio(now) >= reserve(request.class, request.attempt);
                let wait = bucket.wait_time(now);
                if has_room { wait } else { wait.max(self.options.burst) }
            }
            _ => self.pressure.expected_wait,
        };
        if !wait.is_zero() {
            return Outcome::Refused { retry_after: self.retry_after(wait, &request) };
        }
        counter.interval.admitted += tokens;
        if let Some(bucket) = &mut counter.bucket {
            bucket.consume(tokens);
        }
        Outcome::Admitted
    }

    /// Counts a request that arrived and returns the part of its deadline within which the first token must be expected.
    ///
    /// A workspace above its share gets less than the whole deadline, so that the queues stay short enough for
    /// workspaces under theirs. Unlike [`Admission::admit`] this needs no estimate of the capacity.
    pub fn record_offered(&mut self, workspace: &str, tokens: u64) -> f64 {
        let counter = self.counters.entry(workspace.to_owned()).or_default();
        counter.interval.offered += as_f64(tokens);
        if counter.is_above_share { ABOVE_SHARE_PART } else { 1.0 }
    }

    /// Counts a request that was sent to an engine.
    pub fn record_admitted(&mut self, workspace: &str, tokens: u64) {
        let counter = self.counters.entry(workspace.to_owned()).or_default();
        counter.interval.admitted += as_f64(tokens);
    }

    /// Whether a workspace is above its share and limited.
    #[must_use]
    pub fn is_limited(&self, workspace: &str) -> bool {
        self.counters.get(workspace).is_some_and(|counter| counter.bucket.is_some())
    }

    /// Time until a refused request may return. It doubles with each attempt, and a hash of the id spreads returns
    /// over a time as long as the wait, so that they do not arrive together.
    fn retry_after(&self, wait: Duration, request: &Request<'_>) -> Duration {
        let excess = self.pressure.expected_wait.saturating_sub(self.options.target_wait);
        let base = wait.max(excess).max(self.options.min_retry_after);
        let base =
            base.saturating_mul(1 << request.attempt.min(5)).min(self.options.max_retry_after);
        let hash = xxh3_64_with_seed(request.id.as_bytes(), request.attempt.into());
        #[expect(clippy::cast_precision_loss, reason = "the upper 32 bits are exact")]
        let fraction = (hash >> 32) as f64 / f64::from(u32::MAX);
        base + base.max(self.options.min_jitter).mul_f64(fraction)
    }

    /// Divides what the fleet admits among the workspaces that ask, and marks those that ask for more than their share.
    fn mark_above_share(&mut self, fleet: &BTreeMap<WorkspaceId, Usage>, admitted: f64) {
        let weight = |workspace: &str| self.weights.get(workspace).copied().unwrap_or(1).max(1);
        let demands: Vec<_> =
            fleet.iter().map(|(name, usage)| share::demand(usage.offered, weight(name))).collect();
        let level = share::level(&demands, admitted * ADMITTED_TOLERANCE);
        let is_above = |demand: &share::Demand| {
            level.is_some_and(|level| demand.offered > level * demand.weight)
        };
        let above: Vec<_> =
            fleet.keys().zip(&demands).filter(|(_, demand)| is_above(demand)).collect();
        for (workspace, counter) in &mut self.counters {
            counter.is_above_share = above.iter().any(|(name, _)| *name == workspace);
        }
    }

    /// Divides the capacity among the workspaces and sets the rates of those above their share.
    fn divide(&mut self, now: Now, elapsed: f64, own: &BTreeMap<WorkspaceId, Usage>) {
        let mut fleet = own.clone();
        for (workspace, usage) in self.peers.values().flat_map(|(_, digest)| &digest.usage) {
            let sum = fleet.entry(workspace.clone()).or_default();
            sum.offered += usage.offered;
            sum.admitted += usage.admitted;
        }
        let admitted: f64 = fleet.values().map(|usage| usage.admitted).sum();
        self.mark_above_share(&fleet, admitted);
        let allowed = self.capacity.update(elapsed, admitted, self.pressure, &self.options);
        let weight = |workspace: &str| self.weights.get(workspace).copied().unwrap_or(1).max(1);
        let demands = fleet.iter().map(|(name, usage)| share::demand(usage.offered, weight(name)));
        let level =
            allowed.and_then(|allowed| {
                let demands: Vec<_> = demands.collect();
                let level = share::level(&demands, allowed)?;
                Some(level.max(
                    self.capacity.guaranteed() / demands.iter().map(|d| d.weight).sum::<f64>(),
                ))
            });
        for (workspace, counter) in &mut self.counters {
            let offered = fleet.get(workspace).map_or(0.0, |usage| usage.offered);
            let weight = share::demand(offered, weight(workspace)).weight;
            let chance = SIGNIFICANT * (offered * counter.request_size / SMOOTHED_SECONDS).sqrt();
            let margin = if counter.bucket.is_some() { 0.0 } else { chance };
            let Some(rate) =
                level.map(|level| level * weight).filter(|rate| rate + margin < offered)
            else {
                counter.bucket = None;
                continue;
            };
            let rate = rate * counter.rates.offered / offered;
            let bucket = counter
                .bucket
                .get_or_insert_with(|| TokenBucket::new(now, rate, self.options.burst));
            bucket.set_rate(now, rate);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}

/// Part of the burst that a request leaves to more urgent classes. Requests that return after a refusal leave some
/// to first attempts, so that returns after a peak do not displace the normal load.
fn reserve(class: Class, attempt: Attempt) -> f64 {
    let class = match class {
        Class::Live => 0.0,
        Class::Standard => 0.15,
        Class::Bulk => 0.3,
    };
    let returned = if attempt > 0 { 0.4 } else { 0.0 };
    if class + returned > 0.0 { class + returned } else { f64::NEG_INFINITY }
}
