//! Measures the routing decisions under load in virtual time with seeded arrivals.

pub mod cases;
pub mod cost;
pub mod plot;
pub mod scenario;
pub mod sim;
pub mod summary;
