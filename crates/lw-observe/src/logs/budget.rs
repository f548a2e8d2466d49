//! Limits the rate of lines and bytes that are logged.

use std::time::Instant;

use log::Level;

use super::{Options, is_warning_or_error};

/// Token buckets of lines and of bytes, which hold at most the amount of one second.
#[derive(Debug)]
pub(super) struct Budget {
    options: Options,
    lines: f64,
    bytes: f64,
    refilled_at: Instant,
}

impl Budget {
    pub fn new(options: Options, now: Instant) -> Self {
        let (lines, bytes) = (options.lines_per_s.into(), options.bytes_per_s.into());
        Self { options, lines, bytes, refilled_at: now }
    }

    /// Subtracts a line of `bytes` from the budget and returns `true`, or returns `false` when too little is left.
    pub fn try_spend(&mut self, now: Instant, level: Level, bytes: usize) -> bool {
        let (lines_max, bytes_max) =
            (f64::from(self.options.lines_per_s), f64::from(self.options.bytes_per_s));
        let seconds = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.lines = (self.lines + seconds * lines_max).min(lines_max);
        self.bytes = (self.bytes + seconds * bytes_max).min(bytes_max);
        let reserved_fraction =
            if is_warning_or_error(level) { 0.0 } else { self.options.failure_reserve_fraction };
        let size = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let fits = self.lines - 1.0 >= lines_max * reserved_fraction
            && self.bytes - size >= bytes_max * reserved_fraction;
        if fits {
            self.lines -= 1.0;
            self.bytes -= size;
        }
        fits
    }
}
