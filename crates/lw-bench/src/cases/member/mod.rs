//! Membership and configuration: targets 8 and 9, with 5 % loss and up to 200 ms of delay one way.

pub mod fleet;
pub mod store;
