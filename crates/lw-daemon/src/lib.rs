//! The daemon `lavenderwoodd`: wires decisions, tables and transport together.

pub mod args;
pub mod callers;
pub mod config_sync;
pub mod generate;
pub mod observe;
pub mod operators;
pub mod run;
pub mod services;
pub mod tables;
