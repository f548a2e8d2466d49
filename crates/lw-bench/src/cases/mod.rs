//! Benchmark cases. The `rows` function of each module returns the same rows in each run.

use crate::summary::Row;

pub mod claims;
pub mod kv_moves;
pub mod limits;
pub mod long_documents;
pub mod member;
pub mod orders;
pub mod overload;
pub mod peak_load;
pub mod prefix_hits;
pub mod slow_engines;

/// Runs all cases and returns their rows.
#[must_use]
pub fn all() -> Vec<Row> {
    let groups: Vec<fn() -> Vec<Row>> = vec![
        prefix_hits::rows,
        peak_load::rows,
        overload::rows,
        long_documents::rows,
        slow_engines::rows,
        limits::rows,
        member::rows,
        claims::rows,
        orders::rows,
        kv_moves::rows,
    ];
    groups.into_iter().flat_map(|rows| rows()).collect()
}
