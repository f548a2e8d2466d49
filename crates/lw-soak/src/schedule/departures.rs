//! Upstreams that leave without a notice and workspaces that become isolated, while the store cuts watches.

use std::time::Duration;

use super::{Event, Fault, Options};

/// Time between two changes, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 1_000..5_000;
/// Time between the cut of the watches and the change, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 0..150;

/// Distinguishes the seed of these random numbers from those of the other events.
const SEED_MASK: u64 = 0xdead;

/// Returns the changes of a run, three in four of them beside a cut of the watches. They have random numbers of their own, so that the
/// other events of a seed stay as they are.
pub(super) fn draw_departures(options: &Options) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(options.seed ^ SEED_MASK);
    let upstreams = options.engines + options.servers;
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.u64(GAP_MS));
        if at > options.fault_window {
            return events;
        }
        let gap = Duration::from_millis(rng.u64(CUT_MS));
        let event = |at, fault| Event { at, duration: Duration::from_secs(1), fault };
        match rng.u8(0..4) {
            0 => events.push(event(at + gap, Fault::CutWatches)),
            1 => events.push(event(at.saturating_sub(gap), Fault::CutWatches)),
            2 => events.extend([event(at, Fault::CutWatches), event(at, Fault::CompactStore)]),
            _ => {}
        }
        let fault = if rng.bool() {
            Fault::UpstreamGone(rng.usize(0..upstreams))
        } else {
            Fault::ToggleIsolation
        };
        events.push(event(at, fault));
    }
}
