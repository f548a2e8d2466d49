//! Targets 6 and 7: workspace limits over all VMs, and the retry budget.

use crate::summary::Row;

mod grants;
mod retries;

/// Seeds of all runs; each row shows the worst result.
const SEEDS: std::ops::Range<u64> = 0..5;

/// Returns the rows of both targets.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = grants::rows();
    rows.extend(retries::rows());
    rows
}
