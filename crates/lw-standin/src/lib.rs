//! Stand-ins for the outside systems of the router: model engines, a plain service and the platform.
//!
//! Each stand-in is a module with `Options` in and a handle out, so that tests start it in their own process. The
//! programs `standin-engine`, `standin-service` and `standin-platform` are thin wrappers.

pub mod args;
pub mod client;
pub mod engine;
pub mod hosted;
pub mod load;
pub mod loopback;
pub mod platform;
pub mod serve;
pub mod service;
