//! Assembles the stream of one caller from one or more upstream attempts.

pub mod assembler;
mod attempt;
pub mod event;
