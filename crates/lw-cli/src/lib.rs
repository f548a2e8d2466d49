//! Command line of operators and callers.

pub mod args;
pub mod commands;
pub mod remote;
pub mod table;
