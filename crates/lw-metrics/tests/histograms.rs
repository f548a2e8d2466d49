//! Guards against times that are recorded in the histogram of another workspace or class, or not at all.

use std::time::Duration;

use lw_metrics::histograms::{Histograms, Measure};
use lw_types::prelude::*;

// Failure: a time is recorded for another workspace or class.
#[test]
fn each_workspace_and_class_has_its_own_histogram() {
    let histograms = Histograms::default();
    for (workspace, class, millis) in
        [("a", Class::Live, 10), ("a", Class::Bulk, 500), ("b", Class::Live, 90)]
    {
        let time = Duration::from_millis(millis);
        histograms.record(workspace, class, Measure::FirstToken, time);
    }
    let summaries = histograms.summaries();
    assert_eq!(summaries.len(), 3);
    assert!(summaries.iter().all(|s| s.count == 1));
    assert!(summaries[1].p99 >= Duration::from_millis(495), "{summaries:?}");
}

// Failure: a time outside the bounds of the histogram is lost or causes a panic.
#[test]
fn zero_and_huge_times_are_recorded() {
    let histograms = Histograms::default();
    histograms.record("a", Class::Live, Measure::CompleteAnswer, Duration::ZERO);
    histograms.record("a", Class::Live, Measure::CompleteAnswer, Duration::from_secs(1 << 40));
    assert_eq!(histograms.summaries()[0].count, 2);
}
