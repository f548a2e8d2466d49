//! The VM on the platform: callers' requests are forwarded to the upstreams that registered themselves.

pub mod distribution;
pub mod feeds;
pub mod follow;
pub mod observe;
pub mod orders;
pub mod peers;
pub mod register;
pub mod run;
pub mod serve;
pub mod state;
