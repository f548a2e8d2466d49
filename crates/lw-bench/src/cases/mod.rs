//! The cases. Each module has `pub fn rows() -> Vec<Row>` and gives the same rows on every run.

use crate::summary::Row;

pub mod claims;
pub mod dossiers;
pub mod hits;
pub mod kv_moves;
pub mod limits;
pub mod member;
pub mod orders;
pub mod overload;
pub mod slow;
pub mod tail;

/// Runs all cases.
#[must_use]
pub fn all() -> Vec<Row> {
    let groups: Vec<fn() -> Vec<Row>> = vec![
        hits::rows,
        tail::rows,
        overload::rows,
        dossiers::rows,
        slow::rows,
        limits::rows,
        member::rows,
        claims::rows,
        orders::rows,
        kv_moves::rows,
    ];
    groups.into_iter().flat_map(|rows| rows()).collect()
}
