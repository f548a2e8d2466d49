//! Virtual-time event loop: engine fakes, workloads and the VMs that route to them.

pub mod engine;
pub mod outcome;
pub mod policy;
pub mod workload;
pub mod world;

/// Virtual time in microseconds.
pub type Micros = u64;

/// Microseconds of one second.
pub const SECOND: Micros = 1_000_000;
/// Microseconds of one millisecond.
pub const MILLI: Micros = 1_000;

/// Seconds as virtual time.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// Virtual time as seconds.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

/// A count as a number for ratios.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn count(n: usize) -> f64 {
    n as f64
}
