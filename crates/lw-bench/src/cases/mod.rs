//! The cases. Each module has `pub fn rows() -> Vec<Row>` and gives the same rows on every run.

use crate::summary::Row;

mod claims;
mod orders;

/// Runs all cases.
#[must_use]
pub fn all() -> Vec<Row> {
    [claims::rows(), orders::rows()].concat()
}
