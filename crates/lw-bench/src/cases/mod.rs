//! The cases. Each module has `pub fn rows() -> Vec<Row>` and gives the same rows on every run.

use crate::summary::Row;

pub mod member;

/// Runs all cases.
#[must_use]
pub fn all() -> Vec<Row> {
    member::rows()
}
