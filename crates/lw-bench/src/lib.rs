//! Benchmarks of routing, limits, membership, claims and orders in virtual time with seeded workloads.

pub mod cases;
pub mod cost;
pub mod plot;
pub mod scenario;
pub mod sim;
pub mod summary;
