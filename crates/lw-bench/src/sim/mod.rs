//! Simulation in virtual time: workloads, engines and the VMs that route requests to them.

pub mod engine;
pub mod results;
pub mod routing;
pub mod simulation;
pub mod workload;

/// Virtual time in microseconds.
pub type Micros = u64;

/// Microseconds of one second.
pub const SECOND: Micros = 1_000_000;
/// Microseconds of one millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Converts seconds to virtual time.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// Converts virtual time to seconds.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

/// Converts a count for use in ratios.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn to_f64(n: usize) -> f64 {
    n as f64
}
