//! Structured log lines of bounded volume, and metrics in the text format of Prometheus.

pub mod logs;
pub mod metrics;
