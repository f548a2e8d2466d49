//! Orders to model engines: one issuer with a lease and a fencing number, rollouts, KV cache moves.
//!
//! Nothing here has sockets or clocks; the caller performs the actions of [`issuer::Issuer`].

pub mod handover;
pub mod issuer;
pub mod kv;
pub mod message;
pub mod options;
pub mod plan;
