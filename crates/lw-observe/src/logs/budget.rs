//! Lines and bytes that may be written.

use std::time::Instant;

use log::Level;

use super::{Options, is_failure};

/// A second's worth of lines and bytes, refilled all the time.
#[derive(Debug)]
pub(super) struct Budget {
    options: Options,
    lines: f64,
    bytes: f64,
    at: Instant,
}

impl Budget {
    pub fn new(options: Options, now: Instant) -> Self {
        let (lines, bytes) = (options.lines_per_s.into(), options.bytes_per_s.into());
        Self { options, lines, bytes, at: now }
    }

    /// Takes a line of `bytes` out of the budget, if it is not spent.
    pub fn take(&mut self, now: Instant, level: Level, bytes: usize) -> bool {
        let (lines_max, bytes_max) =
            (f64::from(self.options.lines_per_s), f64::from(self.options.bytes_per_s));
        let seconds = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.lines = (self.lines + seconds * lines_max).min(lines_max);
        self.bytes = (self.bytes + seconds * bytes_max).min(bytes_max);
        let reserve = if is_failure(level) { 0.0 } else { self.options.failure_reserve_fraction };
        let size = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let fits =
            self.lines - 1.0 >= lines_max * reserve && self.bytes - size >= bytes_max * reserve;
        if fits {
            self.lines -= 1.0;
            self.bytes -= size;
        }
        fits
    }
}
