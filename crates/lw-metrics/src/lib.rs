//! Counters and timings by statsd, and histograms for each workspace and class.

pub mod histograms;
pub mod statsd;
