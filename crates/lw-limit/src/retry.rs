//! The retry budget of one VM and what travels with a request.

use std::{collections::VecDeque, time::Duration};

use derive_more::{Display, Error};
use lw_types::prelude::*;

/// Limits on repeated work.
#[derive(Debug, Clone)]
pub struct Options {
    /// Retries, resumes and hedges allowed for each first attempt.
    pub ratio: f64,
    /// Retries allowed in each window whatever the number of first attempts, so that the streams of a VM with little
    /// traffic survive an engine's crash. With 9 VMs the ratio is the larger bound from 90 requests/s on.
    pub min_retries: u64,
    /// Hedges allowed for each first attempt, within `ratio`.
    pub hedge_ratio: f64,
    /// Seconds over which both ratios hold. 10 s of first attempts pay for the streams of one crashed engine at
    /// the two-year size: 67 requests/s x 10 s x 10 % = 67 retries for 1,100 / 16.4 = 67 streams.
    pub window_seconds: u64,
    /// Attempts of one request over all VMs, including the first.
    pub max_attempts: Attempt,
    /// Shortest remaining time in which another attempt is useful.
    pub min_remaining: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_retries: 10,
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
pub struct Carried {
    /// Attempts before this one, over all VMs.
    pub attempt: Attempt,
    /// When the answer is useless, on this VM's clock.
    pub deadline: Now,
}

impl Carried {
    /// Reads a request that arrived at `now` with the time that its sender left for it. Clocks of VMs differ, so
    /// only the remaining time travels.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_limit::retry::Carried;
    /// let now = Duration::from_secs(5);
    /// let carried = Carried::received(now, 1, Duration::from_secs(2));
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
/// use lw_limit::retry::{Budget, Carried, Error, Kind, Options};
/// let now = Duration::ZERO;
/// let request = Carried::received(now, 0, Duration::from_secs(1));
/// let mut budget = Budget::new(Options { min_retries: 0, ..Options::default() });
/// assert_eq!(budget.spend(now, Kind::Retry, request), Err(Error::Budget));
/// (0..10).for_each(|_| budget.earn(now, request));
/// assert_eq!(budget.spend(now, Kind::Retry, request).unwrap().attempt, 1);
/// ```
#[derive(Debug)]
pub struct Budget {
    options: Options,
    seconds: VecDeque<(u64, Second)>,
    sum: Second,
}

impl Budget {
    /// An empty budget. A restarted VM has to earn its first retry.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, seconds: VecDeque::new(), sum: Second::default() }
    }

    /// Counts a request that is sent upstream. Only a request on its first attempt over all VMs earns.
    pub fn earn(&mut self, now: Now, request: Carried) {
        if request.attempt == 0 {
            self.current(now).firsts += 1;
            self.sum.firsts += 1;
        }
    }

    /// Spends budget on another attempt and returns what it carries.
    ///
    /// A request that arrives with an attempt number above 0 is a retry of a peer or caller; it is passed here
    /// before its first attempt at this VM.
    ///
    /// # Errors
    ///
    /// The reason why the attempt may not be made.
    pub fn spend(&mut self, now: Now, kind: Kind, request: Carried) -> Result<Carried, Error> {
        if request.attempt + 1 >= self.options.max_attempts {
            return Err(Error::Attempts);
        }
        if request.remaining(now) < self.options.min_remaining {
            return Err(Error::Deadline);
        }
        self.current(now);
        let (firsts, spent) = (self.sum.firsts, self.sum.retries + self.sum.hedges);
        let is_over = |spent: u64, ratio: f64| as_f64(spent + 1) > as_f64(firsts) * ratio + 1e-9;
        let has_floor = kind == Kind::Retry && spent < self.options.min_retries;
        if (is_over(spent, self.options.ratio) && !has_floor)
            || (kind == Kind::Hedge && is_over(self.sum.hedges, self.options.hedge_ratio))
        {
            return Err(Error::Budget);
        }
        self.sum.add(kind);
        self.current(now).add(kind);
        Ok(Carried { attempt: request.attempt + 1, ..request })
    }

    /// The counters of the current second, after those outside the window are dropped.
    fn current(&mut self, now: Now) -> &mut Second {
        let second = now.as_secs();
        while let Some(&(at, old)) = self.seconds.front()
            && at + self.options.window_seconds <= second
        {
            self.seconds.pop_front();
            self.sum.firsts -= old.firsts;
            self.sum.retries -= old.retries;
            self.sum.hedges -= old.hedges;
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
