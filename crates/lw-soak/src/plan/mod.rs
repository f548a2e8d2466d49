//! What happens in a run, drawn from a seed.

use std::time::Duration;

use lw_standin::hosted::{store::StoreMode, upstream::Behaviour};

/// What a proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// Bytes are late by 150 ms.
    Slow,
    /// Connections are reset, new ones as well.
    Reset,
    /// Bytes to the server are held back.
    MuteUp,
    /// Bytes from the server are held back.
    MuteDown,
    /// All bytes are held back.
    Silent,
}

/// A fault, or a change by operators.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A VM stands still.
    Pause(usize),
    /// A VM is killed and started again.
    Kill(usize),
    /// A VM is told to end and started again.
    Drain(usize),
    /// A VM gets the signal for changed settings.
    Hangup(usize),
    /// The path of a VM to the store.
    StorePath(usize, Harm),
    /// The path of all VMs to an upstream.
    UpstreamPath(usize, Harm),
    /// The store.
    Store(StoreMode),
    /// The store drops its history.
    Compact,
    /// The next answers of upstreams.
    Answers(Vec<Behaviour>),
    /// An upstream is registered as leaving.
    Leave(usize),
    /// A workspace loses its key.
    Revoke,
    /// A version of the weights is named.
    Version,
    /// The configuration is written again with a higher version.
    Reconfigure,
}

/// A fault and its time.
#[derive(Debug, Clone)]
pub struct Event {
    /// Time from the start.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

/// What is drawn.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// All random choices follow from it.
    pub seed: u64,
    /// VMs.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    /// Plain servers.
    pub servers: usize,
    /// Time in which faults begin.
    pub time: Duration,
    /// Mean time between two faults.
    pub period: Duration,
}

impl Default for Options {
    /// A few VMs for 20 s, with two or three faults at a time.
    fn default() -> Self {
        Self {
            seed: 0,
            vms: 3,
            engines: 3,
            servers: 2,
            time: Duration::from_secs(20),
            period: Duration::from_millis(600),
        }
    }
}

/// Longest duration of a fault.
const LASTS_MAX: Duration = Duration::from_secs(3);
/// Longest duration of a fault of the store or the path to it, twice the time in which a revoked key must be refused.
const STORE_LASTS_MAX: Duration = Duration::from_secs(6);
/// Part of the faults that come together with another one.
const PAIRED: f64 = 0.3;

/// Draws the faults of a run.
///
/// ```
/// use lw_soak::plan::{Options, draw};
/// let options = Options { seed: 7, ..Options::default() };
/// let (a, b) = (draw(&options), draw(&options));
/// assert_eq!(format!("{a:?}"), format!("{b:?}"));
/// assert!(a.iter().all(|event| event.at <= options.time));
/// ```
#[must_use]
pub fn draw(options: &Options) -> Vec<Event> {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += options.period.mul_f64(0.2 + 1.6 * rng.f64());
        if at > options.time {
            return events;
        }
        events.push(event(&mut rng, options, at));
        if let Some(Event { fault: Fault::Revoke, .. }) = events.last() {
            // A key is revoked while a VM does not hear of it.
            let fault = Fault::StorePath(rng.usize(0..options.vms), harm(&mut rng));
            events.push(Event { at, lasts: STORE_LASTS_MAX, fault });
        }
        if rng.f64() < PAIRED {
            let at = (at + Duration::from_millis(rng.u64(0..300))).min(options.time);
            events.push(event(&mut rng, options, at));
        }
    }
}

fn event(rng: &mut fastrand::Rng, options: &Options, at: Duration) -> Event {
    let fault = fault(rng, options);
    let most = match fault {
        Fault::Store(_) | Fault::StorePath(..) => STORE_LASTS_MAX,
        _ => LASTS_MAX,
    };
    Event { at, lasts: most.mul_f64(0.05 + 0.95 * rng.f64().powi(2)), fault }
}

fn fault(rng: &mut fastrand::Rng, options: &Options) -> Fault {
    let vm = rng.usize(0..options.vms);
    let upstream = rng.usize(0..options.engines + options.servers);
    match rng.u8(0..20) {
        0 | 1 => Fault::Pause(vm),
        2 => Fault::Kill(vm),
        3 | 4 => Fault::Drain(vm),
        5 => Fault::Hangup(vm),
        6 | 7 => Fault::StorePath(vm, harm(rng)),
        8 | 9 => Fault::UpstreamPath(upstream, harm(rng)),
        10 | 11 => Fault::Store(*choice(
            rng,
            &[
                StoreMode::Unavailable,
                StoreMode::Reset,
                StoreMode::NoAnswer,
                StoreMode::DelayedWriteAnswers,
            ],
        )),
        12 => Fault::Compact,
        13 | 14 => Fault::Answers((0..rng.usize(1..6)).map(|_| behaviour(rng)).collect()),
        15 => Fault::Leave(upstream),
        16 | 17 => Fault::Revoke,
        18 => Fault::Version,
        _ => Fault::Reconfigure,
    }
}

fn harm(rng: &mut fastrand::Rng) -> Harm {
    *choice(rng, &[Harm::Slow, Harm::Reset, Harm::MuteUp, Harm::MuteDown, Harm::Silent])
}

fn behaviour(rng: &mut fastrand::Rng) -> Behaviour {
    let slow = Duration::from_millis(rng.u64(50..1200));
    choice(
        rng,
        &[
            Behaviour::Slow(slow),
            Behaviour::Reject,
            Behaviour::Status(500),
            Behaviour::NoAnswer,
            Behaviour::Reset,
            Behaviour::ResetInEvent(1),
            Behaviour::ResetInEvent(3),
            Behaviour::DelayedEvents(slow / 8),
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

fn choice<'a, T>(rng: &mut fastrand::Rng, all: &'a [T]) -> &'a T {
    &all[rng.usize(0..all.len())]
}
