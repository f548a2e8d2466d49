//! Orders to model engines: one issuer with a lease and a fencing number, rollouts, KV cache moves.
//!
//! This crate has no sockets and no clocks: the caller passes the time and performs the actions of
//! [`issuer::Issuer`] and [`tenure::Tenure`].

pub mod handover;
pub mod issuer;
pub mod kv;
pub mod load_watch;
pub mod message;
pub mod options;
pub mod plan;
pub mod tenure;
