//! The retry budget of one VM and what travels with a request.

use std::{collections::VecDeque, time::Duration};

use derive_more::{Display, Error};
use lw_types::prelude::*;

/// Limits on repeated work.
#[derive(Debug, Clone)]
pub struct Options {
    /// Retries, resumes and hedges allowed for each first attempt. It is under a tenth, because a fault starts with
    /// the budget of the calm time before it: with 10 % the attempts during a fault were 1.107 per request.
    pub ratio: f64,
    /// Retries allowed in each window whatever the number of first attempts, so that the streams of a VM with little
    /// traffic survive an engine's crash. The default of 0 keeps the ratio at any load.
    pub min_retries: u64,
    /// Hedges allowed for each first attempt, within `ratio`.
    pub hedge_ratio: f64,
    /// Seconds over which both ratios hold. 10 s of first attempts pay for most streams of one crashed engine at
    /// the two-year size: 67 requests/s x 10 s x 9 % = 60 retries for 1,100 / 16.4 = 67 streams.
    pub window_seconds: u64,
    /// Attempts of one request over all VMs, including the first.
    pub max_attempts: Attempt,
    /// Shortest remaining time in which another attempt is useful.
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

/// Why an upstream attempt after the first is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The attempt before failed, or its stream has to be resumed.
    Retry,
    /// The attempt before is late.
    Hedge,
}

/// What travels with a request between VMs and to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptContext {
    /// Attempts before this one, over all VMs.
    pub attempt: Attempt,
    /// When the answer is useless, on this VM's clock.
    pub deadline: Now,
}

impl AttemptContext {
    /// Reads a request that arrived at `now` with the time that its sender left for it. Clocks of VMs differ, so
    /// only the remaining time travels.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_limit::retry::AttemptContext;
    /// let now = Duration::from_secs(5);
    /// let carried = AttemptContext::received(now, 1, Duration::from_secs(2));
    /// assert_eq!(carried.remaining(Duration::from_secs(6)), Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn received(now: Now, attempt: Attempt, remaining: Duration) -> Self {
        Self { attempt, deadline: now.saturating_add(remaining) }
    }

    /// Time left, to be sent along.
    #[must_use]
    pub fn remaining(&self, now: Now) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// Why another attempt is not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The request was tried often enough.
    #[display("no attempts left")]
    Attempts,
    /// Too little time is left.
    #[display("deadline too close")]
    Deadline,
    /// The VM has spent its budget.
    #[display("retry budget spent")]
    Budget,
}

#[derive(Debug, Clone, Copy, Default)]
struct Second {
    firsts: u64,
    retries: u64,
    hedges: u64,
}

impl Second {
    fn add(&mut self, kind: Kind) {
        match kind {
            Kind::Retry => self.retries += 1,
            Kind::Hedge => self.hedges += 1,
        }
    }
}

/// Retry budget of one VM.
///
/// The ratio holds in each window that ends with a retry. Windows that end with the last retry before the start
/// of the next one are disjoint, so it holds for the whole run as well, and therefore for the sum over all VMs.
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
    seconds: VecDeque<(u64, Second)>,
}

impl Budget {
    /// Changes the retries that are allowed in each window at any load, for instance when the number of VMs that share
    /// them has changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_limit::retry::{Budget, AttemptContext, Kind, Options};
    /// let now = Duration::ZERO;
    /// let request = AttemptContext::received(now, 0, Duration::from_secs(1));
    /// let mut budget = Budget::new(Options::default());
    /// budget.set_min_retries(1);
    /// assert!(budget.spend(now, Kind::Retry, request).is_ok());
    /// assert!(budget.spend(now, Kind::Retry, request).is_err());
    /// ```
    pub fn set_min_retries(&mut self, retries: u64) {
        self.options.min_retries = retries;
    }

    /// An empty budget. A restarted VM has to earn its first retry.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, seconds: VecDeque::new() }
    }

    /// Takes a request from a caller or peer, before it is sent upstream. A first attempt earns budget; a repeated
    /// one is paid for like an own retry.
    ///
    /// # Errors
    ///
    /// The reason why a repeated request may not be sent.
    pub fn record_arrival(&mut self, now: Now, request: AttemptContext) -> Result<(), Error> {
        if request.attempt == 0 {
            self.current(now).firsts += 1;
            return Ok(());
        }
        self.pay(now, Kind::Retry, request)
    }

    /// Spends budget on another attempt for a request and returns what that attempt carries.
    ///
    /// # Errors
    ///
    /// The reason why the attempt may not be made.
    pub fn spend(
        &mut self,
        now: Now,
        kind: Kind,
        request: AttemptContext,
    ) -> Result<AttemptContext, Error> {
        let next = AttemptContext { attempt: request.attempt.saturating_add(1), ..request };
        self.pay(now, kind, next).map(|()| next)
    }

    /// Retries that the budget would pay for now.
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
        reason = "it is not below 0"
    )]
    pub fn remaining(&self, now: Now) -> u64 {
        let (firsts, hedges, retries) = self.sums(now);
        let earned = (as_f64(firsts) * self.options.ratio).floor().max(0.0) as u64;
        earned.max(self.options.min_retries).saturating_sub(hedges + retries)
    }

    /// First attempts of the window, and the hedges and retries that count against them.
    fn sums(&self, now: Now) -> (u64, u64, u64) {
        let oldest = (now.as_secs() + 1).saturating_sub(self.options.window_seconds);
        let firsts = self.seconds.iter().filter(|(at, _)| *at >= oldest);
        let firsts = firsts.map(|(_, second)| second.firsts).sum();
        let hedges = self.seconds.iter().map(|(_, second)| second.hedges).sum();
        let retries = self.seconds.iter().map(|(_, second)| second.retries).sum();
        (firsts, hedges, retries)
    }

    fn pay(&mut self, now: Now, kind: Kind, attempt: AttemptContext) -> Result<(), Error> {
        if attempt.attempt >= self.options.max_attempts {
            return Err(Error::Attempts);
        }
        if attempt.remaining(now) < self.options.min_remaining {
            return Err(Error::Deadline);
        }
        self.current(now);
        let (firsts, hedges, retries) = self.sums(now);
        let spent = hedges + retries;
        let is_over = |spent: u64, ratio: f64| as_f64(spent + 1) > as_f64(firsts) * ratio + 1e-9;
        let has_floor = kind == Kind::Retry && spent < self.options.min_retries;
        if (is_over(spent, self.options.ratio) && !has_floor)
            || (kind == Kind::Hedge && is_over(hedges, self.options.hedge_ratio))
        {
            return Err(Error::Budget);
        }
        self.current(now).add(kind);
        Ok(())
    }

    /// The counters of the current second, after old ones are dropped. Retries count one second longer than the
    /// first attempts that paid for them, so that whole seconds bound every window of this length.
    fn current(&mut self, now: Now) -> &mut Second {
        let second = now.as_secs();
        let window = self.options.window_seconds;
        while self.seconds.front().is_some_and(|&(at, _)| at + window < second) {
            self.seconds.pop_front();
        }
        if self.seconds.back().is_none_or(|&(at, _)| at < second) {
            self.seconds.push_back((second, Second::default()));
        }
        &mut self.seconds.back_mut().expect("pushed above").1
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of a few seconds are far below 2^52")]
fn as_f64(count: u64) -> f64 {
    count as f64
}
