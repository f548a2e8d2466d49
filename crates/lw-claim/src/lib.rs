//! At-most-once claims for non-repeatable calls, with group commit.
//!
//! Each VM has one [`executor::Executor`] for the calls that it runs and one [`owner::Owner`] for the
//! buckets of which it receives requests. Neither uses sockets or clocks; the caller performs their actions.

pub mod bucket;
pub mod executor;
pub mod message;
pub mod options;
pub mod owner;
pub mod record;
mod segment;
