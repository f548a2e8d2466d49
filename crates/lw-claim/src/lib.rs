//! At-most-once claims for non-repeatable calls, with group commit.
//!
//! Each VM has one [`executor::Executor`] (its own calls) and one [`owner::Owner`] (the buckets it is
//! asked about). Neither has sockets or clocks; the caller performs their actions.

pub mod bucket;
pub mod executor;
pub mod message;
pub mod options;
pub mod owner;
pub mod record;
mod segment;
