//! The retry budget of one VM, and the attempt count and deadline sent along with a request.

use std::{collections::VecDeque, time::Duration};

use derive_more::{Display, Error};
use lw_types::prelude::*;

/// Limits on retries, resumes and hedges.
#[derive(Debug, Clone)]
pub struct Options {
    /// Retries, resumes and hedges allowed for each first attempt. It is below 10 %, because a fault starts with the
    /// budget of the normal load before it: with 10 % there were 1.107 attempts per request during a fault.
    pub ratio: f64,
    /// Retries allowed in each window regardless of the number of first attempts, so that the streams of a VM with
    /// little traffic survive an engine crash. With the default of 0 the ratio holds at any load.
    pub min_retries: u64,
    /// Hedges allowed for each first attempt, within `ratio`.
    pub hedge_ratio: f64,
    /// Seconds over which both ratios hold. 10 s of first attempts allow retries for most streams of one crashed
    /// engine at the planned two-year size: 67 requests/s x 10 s x 9 % = 60 retries for 1,100 / 16.4 = 67 streams.
    pub window_seconds: u64,
    /// Maximum number of attempts of one request over all VMs, including the first.
    pub max_attempts: Attempt,
    /// Minimum time before the deadline for which another attempt is made.
    pub min_remaining: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.09,
            min_retries: 0,
            hedge_ratio: 0.05,
            window_seconds: 10,
            max_attempts: 4,
            min_remaining: Duration::from_millis(50),
        }
    }
}

/// Reason for an upstream attempt after the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The previous attempt failed, or its stream has to be resumed.
    Retry,
    /// The previous attempt is slow to answer.
    Hedge,
}

/// Attempt count and deadline of a request, sent along to other VMs and upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptContext {
    /// Number of attempts before this one, over all VMs.
    pub attempt: Attempt,
    /// Time after which an answer is useless, on this VM's clock.
    pub deadline: Now,
}

impl AttemptContext {
    /// Returns the context of a request that arrived at `now` with `remaining` time. The remaining time is sent
    /// instead of the deadline, because the clocks of VMs differ.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_limit::retry::AttemptContext;
    /// let now = Duration::from_secs(5);
    /// let context = AttemptContext::received(now, 1, Duration::from_secs(2));
    /// assert_eq!(context.remaining(Duration::from_secs(6)), Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn received(now: Now, attempt: Attempt, remaining: Duration) -> Self {
        Self { attempt, deadline: now.saturating_add(remaining) }
    }

    /// Returns the time until the deadline, to be sent along with the request.
    #[must_use]
    pub fn remaining(&self, now: Now) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// Reason why an attempt is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The request has used all its attempts.
    #[display("no attempts left")]
    Attempts,
    /// Too little time is left before the deadline.
    #[display("deadline too close")]
    Deadline,
    /// The retry budget of the VM is used up.
    #[display("retry budget spent")]
    Budget,
}

#[derive(Debug, Clone, Copy, Default)]
struct SecondCounts {
    firsts: u64,
    retries: u64,
    hedges: u64,
}

impl SecondCounts {
    fn add(&mut self, kind: Kind) {
        match kind {
            Kind::Retry => self.retries += 1,
            Kind::Hedge => self.hedges += 1,
        }
    }
}

/// Retry budget of one VM.
///
/// The ratio holds in each window that ends with a retry. Any run can be divided into disjoint windows of this kind
/// that contain all retries, so the ratio holds for the complete run, and therefore for the sum over all VMs.
///
/// ```
/// use std::time::Duration;
/// use lw_limit::retry::{Budget, AttemptContext, Error, Kind, Options};
/// let now = Duration::ZERO;
/// let request = AttemptContext::received(now, 0, Duration::from_secs(1));
/// let mut budget = Budget::new(Options::default());
/// assert_eq!(budget.spend(now, Kind::Retry, request), Err(Error::Budget));
/// (0..12).for_each(|_| budget.record_arrival(now, request).unwrap());
/// assert_eq!(budget.spend(now, Kind::Retry, request).unwrap().attempt, 1);
/// ```
#[derive(Debug)]
pub struct Budget {
    options: Options,
    seconds: VecDeque<(u64, SecondCounts)>,
}

impl Budget {
    /// Sets other limits, for example when the number of VMs that share `min_retries` has changed. Retries made before count
    /// against the new limits.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_limit::retry::{Budget, AttemptContext, Kind, Options};
    /// let now = Duration::ZERO;
    /// let request = AttemptContext::received(now, 0, Duration::from_secs(1));
    /// let mut budget = Budget::new(Options::default());
    /// budget.set_options(Options { min_retries: 1, ..Options::default() });
    /// assert!(budget.spend(now, Kind::Retry, request).is_ok());
    /// assert!(budget.spend(now, Kind::Retry, request).is_err());
    /// ```
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Creates an empty budget. A restarted VM may retry only after first attempts have added to its budget.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, seconds: VecDeque::new() }
    }

    /// Records a request from a caller or peer before it is sent upstream. A first attempt adds to the budget; a
    /// repeated one is charged like a retry of this VM.
    ///
    /// # Errors
    ///
    /// Returns the reason why a repeated request may not be sent.
    pub fn record_arrival(&mut self, now: Now, request: AttemptContext) -> Result<(), Error> {
        if request.attempt == 0 {
            self.current_second(now).firsts += 1;
            return Ok(());
        }
        self.charge(now, Kind::Retry, request)
    }

    /// Charges another attempt of `request` to the budget and returns the context to send with it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the attempt may not be made.
    pub fn spend(
        &mut self,
        now: Now,
        kind: Kind,
        request: AttemptContext,
    ) -> Result<AttemptContext, Error> {
        let next = AttemptContext { attempt: request.attempt.saturating_add(1), ..request };
        self.charge(now, kind, next).map(|()| next)
    }

    /// Returns how many retries the budget would allow now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_limit::retry::{Budget, Options};
    /// let budget = Budget::new(Options { min_retries: 3, ..Options::default() });
    /// assert_eq!(budget.remaining(Duration::ZERO), 3);
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is not negative"
    )]
    pub fn remaining(&self, now: Now) -> u64 {
        let (firsts, hedges, retries) = self.window_totals(now);
        let earned = (as_f64(firsts) * self.options.ratio).floor().max(0.0) as u64;
        earned.max(self.options.min_retries).saturating_sub(hedges + retries)
    }

    /// Returns the first attempts of the window, and the hedges and retries charged against them, in this order.
    fn window_totals(&self, now: Now) -> (u64, u64, u64) {
        let oldest = (now.as_secs() + 1).saturating_sub(self.options.window_seconds);
        let firsts = self.seconds.iter().filter(|(at, _)| *at >= oldest);
        let firsts = firsts.map(|(_, second)| second.firsts).sum();
        let hedges = self.seconds.iter().map(|(_, second)| second.hedges).sum();
        let retries = self.seconds.iter().map(|(_, second)| second.retries).sum();
        (firsts, hedges, retries)
    }

    fn charge(&mut self, now: Now, kind: Kind, context: AttemptContext) -> Result<(), Error> {
        if context.attempt >= self.options.max_attempts {
            return Err(Error::Attempts);
        }
        if context.remaining(now) < self.options.min_remaining {
            return Err(Error::Deadline);
        }
        self.current_second(now);
        let (firsts, hedges, retries) = self.window_totals(now);
        let spent = hedges + retries;
        let exceeds_ratio =
            |spent: u64, ratio: f64| as_f64(spent + 1) > as_f64(firsts) * ratio + 1e-9;
        let is_within_min_retries = kind == Kind::Retry && spent < self.options.min_retries;
        if (exceeds_ratio(spent, self.options.ratio) && !is_within_min_retries)
            || (kind == Kind::Hedge && exceeds_ratio(hedges, self.options.hedge_ratio))
        {
            return Err(Error::Budget);
        }
        self.current_second(now).add(kind);
        Ok(())
    }

    /// Removes expired counters and returns those of the current second. Retries are counted for one second longer
    /// than first attempts, so that the ratio holds in every window although the counters have a resolution of 1 s.
    fn current_second(&mut self, now: Now) -> &mut SecondCounts {
        let second = now.as_secs();
        let window = self.options.window_seconds;
        while self.seconds.front().is_some_and(|&(at, _)| at + window < second) {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|&(at, _)| at < second) {
            self.seconds.push_back((second, SecondCounts::default()));
        }
        &mut self.seconds.back_mut().expect("pushed above").1
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a few seconds are far below 2^52")]
fn as_f64(count: u64) -> f64 {
    count as f64
}
