//! Metrics sent by statsd, and histograms of times by workspace and class.

pub mod histograms;
pub mod statsd;
