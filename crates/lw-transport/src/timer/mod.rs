//! The timer service: the time since one epoch of the process, and subscriptions to periodic ticks.

use std::time::Duration;

use lw_types::prelude::*;
use tokio::time::{Instant, Interval, MissedTickBehavior};

/// Measures the time since the start of the process and creates subscriptions to ticks.
#[derive(Debug, Clone, Copy)]
pub struct Timer {
    epoch: Instant,
}

/// Ticks at a fixed period; ticks missed while busy are skipped and not sent later.
#[derive(Debug)]
pub struct Subscription {
    timer: Timer,
    interval: Interval,
}

impl Default for Timer {
    fn default() -> Self {
        Self { epoch: Instant::now() }
    }
}

impl Timer {
    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Now {
        self.epoch.elapsed()
    }

    /// Returns the time since an arbitrary epoch of the VM, including the time for which the VM was suspended.
    ///
    /// Ages on which a guarantee depends, such as those of leases and keys, are measured with it.
    #[must_use]
    pub fn now_including_suspend(&self) -> Now {
        match nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME) {
            Ok(time) => time.into(),
            Err(e) => {
                log::warn!("timer: no clock that counts suspended time: {e}");
                self.now()
            }
        }
    }

    /// Waits until [`Timer::now`] has reached `at`; forever if there is no such time. Needs a running tokio runtime.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// use std::time::Duration;
    /// let timer = lw_transport::timer::Timer::default();
    /// let at = timer.now() + Duration::from_millis(20);
    /// timer.wait_until(Some(at)).await;
    /// assert!(timer.now() >= at);
    /// # }
    /// ```
    pub async fn wait_until(&self, at: Option<Now>) {
        match at {
            Some(at) => tokio::time::sleep_until(self.epoch + at).await,
            None => std::future::pending().await,
        }
    }

    /// Subscribes to ticks every `period`, the first after one period. Needs a running tokio runtime.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> Subscription {
        let mut interval = tokio::time::interval_at(Instant::now() + period, period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        Subscription { timer: *self, interval }
    }
}

impl Subscription {
    /// Waits for the next tick and returns its time.
    pub async fn tick(&mut self) -> Now {
        self.interval.tick().await;
        self.timer.now()
    }
}
