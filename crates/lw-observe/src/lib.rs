//! What a process tells its operators: structured log lines whose volume is bounded, and metrics for scrapers.

pub mod logs;
pub mod metrics;
