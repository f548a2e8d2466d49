//! Rejections by upstreams that fail if they reject too many requests, which VMs tell each other.

use std::time::Duration;

use lw_catalog::Upstream;

use super::{Announcement, announce};
use crate::state::Edge;

/// Longest pause after which this VM sends requests again to an upstream that rejected some.
const RETURN_PAUSE_MAX: Duration = Duration::from_millis(500);

/// Records an answer of an upstream that states that `max` rejections in a second make it fail.
pub(crate) fn observe(edge: &Edge, upstream: &Upstream, max: u32, is_rejection: bool) {
    let now = edge.timer.now();
    edge.with_upstream_pool(&upstream.service, |pool| {
        if is_rejection {
            pool.record_rejection(now, &upstream.id, max, return_pause());
        } else {
            pool.record_fragile(now, &upstream.id);
        }
    });
    if is_rejection {
        announce(edge, Announcement::Rejected(upstream, max));
    }
}

/// Returns a random pause: VMs that all return to an upstream at once would be rejected again.
pub(super) fn return_pause() -> Duration {
    RETURN_PAUSE_MAX.mul_f64(fastrand::f64())
}
