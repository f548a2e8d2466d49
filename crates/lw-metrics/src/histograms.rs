//! Histograms of times by workspace, class and measure.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use lw_types::prelude::*;

/// Largest recorded time, in microseconds; longer times are recorded as this one.
const MAX_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Kind of time that a histogram records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// Time from the request to the first token.
    FirstToken,
    /// Longest time between two consecutive tokens of one answer.
    TokenGap,
    /// Time from the request to the end of the answer.
    CompleteAnswer,
}

impl Measure {
    /// Returns the name used in status answers.
    ///
    /// ```
    /// assert_eq!(lw_metrics::histograms::Measure::FirstToken.name(), "first_token");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstToken => "first_token",
            Self::TokenGap => "token_gap",
            Self::CompleteAnswer => "whole",
        }
    }
}

/// Summary of one histogram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Class.
    pub class: Class,
    /// Kind of time.
    pub measure: Measure,
    /// Number of recorded times.
    pub count: u64,
    /// Median.
    pub p50: Duration,
    /// 95th percentile.
    pub p95: Duration,
    /// 99th percentile.
    pub p99: Duration,
    /// Largest value.
    pub max: Duration,
}

type HistogramKey = (WorkspaceId, Class, Measure);

/// All histograms of a process.
#[derive(Debug, Default)]
pub struct Histograms {
    by_key: Mutex<BTreeMap<HistogramKey, Histogram<u64>>>,
}

impl Histograms {
    /// Records one time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_metrics::histograms::{Histograms, Measure};
    /// use lw_types::prelude::*;
    /// let histograms = Histograms::default();
    /// histograms.record("station", Class::Live, Measure::FirstToken, Duration::from_millis(20));
    /// assert_eq!(histograms.summaries()[0].count, 1);
    /// ```
    pub fn record(&self, workspace: &str, class: Class, measure: Measure, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).clamp(1, MAX_MICROS);
        let mut map = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (workspace.to_owned(), class, measure);
        // The library accepts these constant bounds, so creation cannot fail.
        let histogram = map.entry(key).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
                .unwrap_or_else(|e| unreachable!("{e}"))
        });
        histogram.saturating_record(micros);
    }

    /// Returns the summaries, ordered by workspace, class and measure.
    #[must_use]
    pub fn summaries(&self) -> Vec<Summary> {
        let map = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        map.iter()
            .map(|((workspace, class, measure), histogram)| Summary {
                workspace: workspace.clone(),
                class: *class,
                measure: *measure,
                count: histogram.len(),
                p50: Duration::from_micros(histogram.value_at_quantile(0.50)),
                p95: Duration::from_micros(histogram.value_at_quantile(0.95)),
                p99: Duration::from_micros(histogram.value_at_quantile(0.99)),
                max: Duration::from_micros(histogram.max()),
            })
            .collect()
    }
}
