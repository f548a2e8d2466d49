//! The faults and operator changes of a run, drawn from a seed.

use std::time::Duration;

use lw_standin::hosted::{store::StoreMode, upstream::Behaviour};

mod departures;
mod stalls;

pub use lw_standin::proxy::PathFault;

/// A fault, or a change made by operators. Numbers are those of VMs and upstreams.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A VM's process is stopped for the duration (SIGSTOP).
    Pause(usize),
    /// All VMs (SIGSTOP), all upstreams and the store stand still for the duration.
    StallMachine,
    /// A VM is killed and restarted after the duration.
    Kill(usize),
    /// A VM is drained (SIGTERM) and restarted after the duration.
    Drain(usize),
    /// A VM receives SIGHUP, at which it reloads its settings.
    ReloadSettings(usize),
    /// A fault of one VM's path to the store.
    StorePath(usize, PathFault),
    /// A fault of the path of all VMs to one upstream.
    UpstreamPath(usize, PathFault),
    /// The store treats calls as the mode says.
    Store(StoreMode),
    /// The store cuts the watches that wait, and goes on to answer all calls.
    CutWatches,
    /// The store drops the history of its changes.
    CompactStore,
    /// The store is away for a moment and returns from a copy that was made the duration before; operators and upstreams
    /// write again what it lost this time later.
    RestoreStore(Duration),
    /// The next requests at any upstreams are answered with these behaviours, one each.
    UpstreamAnswers(Vec<Behaviour>),
    /// These engines stand still together for the duration: they send neither answers nor reports nor status checks.
    StallEngines(Vec<usize>),
    /// An engine names this limit in its answers, in requests a second, for the duration.
    EngineLimit(usize, f64),
    /// An upstream is registered as leaving.
    UpstreamLeaving(usize),
    /// The entry of an upstream is removed, and the upstream goes on for as long as a leaving one. Registers anew later.
    UpstreamGone(usize),
    /// The other workspace becomes isolated, or open if it is isolated.
    ToggleIsolation,
    /// The key of the other workspace is revoked.
    RevokeKey,
    /// The next version of the weights is set as the target.
    TargetVersion,
    /// The configuration is rewritten with a higher version.
    RewriteConfig,
}

/// A fault and when it occurs.
#[derive(Debug, Clone)]
pub struct Event {
    /// Time from the start of the schedule.
    pub at: Duration,
    /// How long the fault is in force.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Size of a run and the parameters of its random choices.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of VMs.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of upstreams of the plain service.
    pub servers: usize,
    /// Number of callers of each VM that make it hold bytes.
    pub hostile_callers: usize,
    /// Time from the start within which faults begin.
    pub fault_window: Duration,
    /// Mean time between the starts of two faults.
    pub mean_interval: Duration,
}

impl Default for Options {
    /// A few VMs for 20 s, with two or three faults at a time.
    fn default() -> Self {
        Self {
            seed: 0,
            vms: 3,
            engines: 3,
            servers: 2,
            hostile_callers: 4,
            fault_window: Duration::from_secs(20),
            mean_interval: Duration::from_millis(600),
        }
    }
}

/// Longest duration of a fault.
const FAULT_DURATION_MAX: Duration = Duration::from_secs(3);
/// Longest duration of a fault of the store or the path to it: twice the time within which a revoked key must be
/// refused.
const STORE_FAULT_DURATION_MAX: Duration = Duration::from_secs(6);
/// Fraction of the faults that a second one follows within 300 ms.
const PAIRED_FRACTION: f64 = 0.3;

/// Returns the faults of a run in the order in which they were drawn; equal options give equal faults.
///
/// ```
/// use lw_soak::schedule::{Options, draw_events};
/// let options = Options { seed: 7, ..Options::default() };
/// let (a, b) = (draw_events(&options), draw_events(&options));
/// assert_eq!(format!("{a:?}"), format!("{b:?}"));
/// assert!(a.iter().all(|event| event.at <= options.fault_window));
/// ```
#[must_use]
pub fn draw_events(options: &Options) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += options.mean_interval.mul_f64(0.2 + 1.6 * rng.f64());
        if at > options.fault_window {
            events.extend(draw_limits(options));
            events.extend(stalls::draw_stalls(options));
            events.extend(departures::draw_departures(options));
            return events;
        }
        events.push(draw_event(&mut rng, options, at));
        if let Some(Event { fault: Fault::RevokeKey, .. }) = events.last() {
            // One VM's path to the store has a fault meanwhile, so that it may miss the revocation.
            let fault = Fault::StorePath(rng.usize(0..options.vms), draw_path_fault(&mut rng));
            events.push(Event { at, duration: STORE_FAULT_DURATION_MAX, fault });
        }
        if rng.f64() < PAIRED_FRACTION {
            let at = (at + Duration::from_millis(rng.u64(0..300))).min(options.fault_window);
            events.push(draw_event(&mut rng, options, at));
        }
    }
}

/// Returns the limits that engines name: one after the other at each of half of the engines, some for moments only. They
/// have random numbers of their own, so that the other events of a seed stay as they are.
fn draw_limits(options: &Options) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(!options.seed);
    let mut events = Vec::new();
    for engine in 0..options.engines.div_ceil(2) {
        let mut at = Duration::ZERO;
        while at < options.fault_window {
            at += Duration::from_millis(rng.u64(100..3_000));
            let limit = *choose(&mut rng, &[0.0, 0.7, 2.0, 3.8, 8.0, 30.0]);
            let duration_ms = if rng.u8(0..4) == 0 { 200..800 } else { 5_000..14_000 };
            let duration = Duration::from_millis(rng.u64(duration_ms));
            events.push(Event { at, duration, fault: Fault::EngineLimit(engine, limit) });
            at += duration;
        }
    }
    events
}

fn draw_event(rng: &mut fastrand::Rng, options: &Options, at: Duration) -> Event {
    let fault = draw_fault(rng, options);
    let max = match fault {
        Fault::Store(_) | Fault::StorePath(..) => STORE_FAULT_DURATION_MAX,
        _ => FAULT_DURATION_MAX,
    };
    Event { at, duration: max.mul_f64(0.05 + 0.95 * rng.f64().powi(2)), fault }
}

fn draw_fault(rng: &mut fastrand::Rng, options: &Options) -> Fault {
    let vm = rng.usize(0..options.vms);
    let upstream = rng.usize(0..options.engines + options.servers);
    match rng.u8(0..22) {
        0 | 1 => Fault::Pause(vm),
        2 => Fault::Kill(vm),
        3 | 4 => Fault::Drain(vm),
        5 => Fault::ReloadSettings(vm),
        6 | 7 => Fault::StorePath(vm, draw_path_fault(rng)),
        8 | 9 => Fault::UpstreamPath(upstream, draw_path_fault(rng)),
        10 | 11 => Fault::Store(*choose(
            rng,
            &[
                StoreMode::Unavailable,
                StoreMode::Reset,
                StoreMode::NoAnswer,
                StoreMode::DelayedWriteAnswers,
            ],
        )),
        12 => Fault::CompactStore,
        13 | 14 => {
            Fault::UpstreamAnswers((0..rng.usize(1..6)).map(|_| draw_behaviour(rng)).collect())
        }
        15 => Fault::UpstreamLeaving(upstream),
        16 | 17 => Fault::RevokeKey,
        18 => Fault::TargetVersion,
        20 | 21 => Fault::RestoreStore(Duration::from_millis(rng.u64(0..1500))),
        _ => Fault::RewriteConfig,
    }
}

fn draw_path_fault(rng: &mut fastrand::Rng) -> PathFault {
    *choose(
        rng,
        &[
            PathFault::Delay,
            PathFault::Reset,
            PathFault::BlockToServer,
            PathFault::BlockFromServer,
            PathFault::BlockBoth,
        ],
    )
}

fn draw_behaviour(rng: &mut fastrand::Rng) -> Behaviour {
    let delay = Duration::from_millis(rng.u64(50..1200));
    choose(
        rng,
        &[
            Behaviour::Slow(delay),
            Behaviour::Reject,
            Behaviour::Status(500),
            Behaviour::NoAnswer,
            Behaviour::Reset,
            Behaviour::ResetInEvent(1),
            Behaviour::ResetInEvent(3),
            Behaviour::DelayedEvents(delay / 8),
            Behaviour::AnswerOfOtherRequest,
            Behaviour::AnswerTwice,
            Behaviour::NoLength,
            Behaviour::NoLengthReset,
            Behaviour::Truncated,
            Behaviour::InvalidBytes,
        ],
    )
    .clone()
}

fn choose<'a, T>(rng: &mut fastrand::Rng, all: &'a [T]) -> &'a T {
    &all[rng.usize(0..all.len())]
}
