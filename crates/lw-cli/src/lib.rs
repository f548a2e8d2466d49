//! The command line for operators and callers.

pub mod args;
pub mod client;
pub mod commands;
pub mod table;
