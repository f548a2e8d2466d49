//! Which VMs share a limit, and how much each may send.
//!
//! In any time T a VM with a share sends at most its saved-up requests and T times its rate. The sum over all VMs is at most
//! `limit + SAVED_EXTRA + T * USED_FRACTION * limit`, which leaves room below one and a half times the limit, and five
//! requests, for requests that were delayed on their way, and for VMs that see other registered VMs than the rest does.

use std::time::Duration;

use lw_types::prelude::*;

/// Fraction of a limit that requests use. The rest is left for calls for cache events and orders.
const USED_FRACTION: f64 = 0.9;
/// Requests that all VMs together may save up, in addition to those of one second.
const SAVED_EXTRA: f64 = 3.0;
/// Lowest limit in requests a second that is kept as such. Under a lower one a request is sent now and then, since only an
/// answer tells when the limit ends.
const LIMIT_MIN: f64 = 0.1;
/// Highest limit in requests a second; no upstream gets as many.
const LIMIT_MAX: f64 = 1e6;
/// Fraction of its share that a VM uses if other VMs may have taken its place.
const STALE_FRACTION: f64 = 0.5;
/// Time for which the largest number of registered VMs counts.
const FLEET_WINDOW: Duration = Duration::from_secs(10);

/// The position of a VM among those that may get a share of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Number of registered VMs that get a share before this one.
    pub rank: usize,
    /// Number of VMs that the limit is divided by, if it allows a share for each.
    pub fleet: usize,
}

/// The largest number of registered VMs lately. While VMs restart in turn, the shares of the others stay as they are.
#[derive(Debug, Default)]
pub struct FleetSize {
    since: Now,
    current: usize,
    previous: usize,
}

impl FleetSize {
    /// Records the number of registered VMs. Returns the largest number of the last ten seconds or more.
    pub fn record(&mut self, now: Now, vms: usize) -> usize {
        if now.saturating_sub(self.since) >= FLEET_WINDOW {
            self.previous = std::mem::replace(&mut self.current, vms);
            self.since = now;
        }
        self.current = self.current.max(vms);
        self.current.max(self.previous)
    }
}

/// What one VM may send to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Share {
    /// Requests a second.
    rate: f64,
    /// Requests that may be saved up.
    saved_max: f64,
    /// VMs that have a share.
    vms: f64,
}

impl Share {
    /// Returns the share of a VM, or none if others have all shares.
    pub fn new(limit: f64, position: Position, is_stale: bool) -> Option<Self> {
        let limit = limit.clamp(LIMIT_MIN, LIMIT_MAX);
        let vms = as_f64(sharing_vms(limit, position.fleet));
        if as_f64(position.rank) >= vms {
            return None;
        }
        let fraction = if is_stale { STALE_FRACTION } else { 1.0 };
        let rate = limit * USED_FRACTION * fraction / vms;
        let saved_max = ((limit + SAVED_EXTRA) * fraction / vms).floor().max(1.0);
        Some(Self { rate, saved_max, vms })
    }

    pub fn rate(self) -> f64 {
        self.rate
    }

    /// Returns the time between two requests.
    pub fn interval(self) -> Duration {
        seconds(1.0 / self.rate)
    }

    /// Returns the time in which all requests but one are saved up.
    pub fn saving_time(self) -> Duration {
        self.interval().mul_f64(self.saved_max - 1.0)
    }

    /// Returns the time until the first request of a VM that gets this share. The VMs begin in turn.
    pub fn first_delay(self, position: Position) -> Duration {
        self.interval().mul_f64((as_f64(position.rank) + 1.0) / self.vms)
    }
}

/// Returns the number of VMs that share a limit. Each may have saved up one request, so that a low limit is shared by few.
pub(super) fn sharing_vms(limit: f64, fleet: usize) -> usize {
    let fleet = fleet.max(1);
    (1..fleet).find(|vms| as_f64(*vms) >= limit.max(LIMIT_MIN).ceil() + 1.0).unwrap_or(fleet)
}

/// Returns the time for which a VM waits before it finds out whether a limit has ended, so that the VMs that rank before it
/// do so first.
pub(super) fn probe_delay(limit: f64, position: Position) -> Duration {
    seconds(as_f64(position.rank) * 2.0 / limit.max(LIMIT_MIN))
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_secs(3600))
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
