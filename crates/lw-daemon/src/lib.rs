//! The daemon `lavenderwoodd`: wires decisions, tables and transport together.

pub mod args;
pub mod callers;
pub mod claims;
pub mod generate;
pub mod intake;
pub mod limits;
pub mod members;
pub mod observe;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod run;
pub mod services;
pub mod tables;
