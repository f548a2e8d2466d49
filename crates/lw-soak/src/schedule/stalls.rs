//! Engines and whole machines that stand still for a moment, beside operator changes.

use std::time::Duration;

use super::{Event, Fault, Options};

/// Time between the end of a stall and the start of the next, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 1_000..4_000;
/// Duration of a stall, in milliseconds.
const DURATION_MS: std::ops::RangeInclusive<u64> = 300..=3_000;

/// Returns the stalls of a run, one after the other, each with the operator changes around it. They have random numbers of
/// their own, so that the other events of a seed stay as they are.
pub(super) fn draw_stalls(options: &Options) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(!options.seed).fork();
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.u64(GAP_MS));
        if at > options.fault_window {
            return events;
        }
        let duration = Duration::from_millis(rng.u64(DURATION_MS));
        let fault = if rng.u8(0..4) == 0 {
            Fault::StallMachine
        } else {
            let count = rng.usize(1..=options.engines);
            Fault::StallEngines(rng.choose_multiple(0..options.engines, count))
        };
        events.push(Event { at, duration, fault });
        events.extend(draw_changes(&mut rng, options, at));
        at += duration;
    }
}

/// Returns changes around a stall that begins at `stalled_at`: versions, reloads, drains of all VMs in turn, or none.
fn draw_changes(rng: &mut fastrand::Rng, options: &Options, stalled_at: Duration) -> Vec<Event> {
    let vms = 0..options.vms;
    let (faults, interval_ms): (Vec<Fault>, _) = match rng.u8(0..4) {
        0 => (vec![Fault::TargetVersion, Fault::RewriteConfig, Fault::RewriteConfig], 50..500),
        1 => (vms.map(Fault::ReloadSettings).collect(), 50..500),
        2 => (vms.map(Fault::Drain).collect(), 1_000..2_000),
        _ => return Vec::new(),
    };
    let mut at = stalled_at.saturating_sub(Duration::from_millis(rng.u64(0..1_000)));
    let mut events = Vec::new();
    for fault in faults {
        let duration = Duration::from_millis(rng.u64(50..500));
        events.push(Event { at: at.min(options.fault_window), duration, fault });
        at += Duration::from_millis(rng.u64(interval_ms.clone()));
    }
    events
}
