//! Workspace limits over all VMs and the retry budget (targets 6 and 7 of section 1.4).

use crate::summary::Row;

mod grants;
mod retries;

/// Seeds of all runs; each row shows the worst.
const SEEDS: std::ops::Range<u64> = 0..5;

/// The rows of both targets.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = grants::rows();
    rows.extend(retries::rows());
    rows
}
