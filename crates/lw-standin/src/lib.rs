//! Stand-ins for the systems around the router: model engines, a plain service and the platform.
//!
//! Each stand-in is a module whose `start` function takes `Options` and returns a handle, so that tests run it in their
//! own process. The programs `standin-engine`, `standin-service` and `standin-platform` only parse arguments and call it.
//! The module `hosted` has stand-ins for the users' hosted platform, `load` is the load
//! tool, and `proxy` injects faults into the connections to any of them.

pub mod args;
pub mod client;
pub mod engine;
pub mod hosted;
pub mod load;
pub mod loopback;
pub mod platform;
pub mod proxy;
pub mod serve;
pub mod service;
