//! Target 2: time to first token and gaps between tokens of conversations at peak load.

use crate::{
    plot,
    scenario::{MEASURE_FROM, capacity, for_each_seed, largest, run_conversations, smallest},
    sim::{Micros, SECOND, routing::RoutingPolicy, seconds, to_f64, workload::VM_COUNT},
    summary::{Bound, Row},
};

/// Fraction of the capacity at which requests arrive.
const LOAD_FRACTION: f64 = 0.9;
const RUN_END: Micros = 90 * SECOND;
const MEASURE_UNTIL: Micros = RUN_END - 3 * SECOND;

struct SeedResult {
    first_token_p95: f64,
    first_token_p99: f64,
    token_gap_ms: f64,
    failed_fraction: f64,
    digest_bytes_per_second: f64,
    /// p95 and p99 of the time to first token of each baseline.
    baseline_quantiles: Vec<(f64, f64)>,
    first_token_curves: Vec<(&'static str, Vec<(f64, f64)>)>,
}

impl SeedResult {
    fn best_baseline_p95(&self) -> f64 {
        smallest(&self.baseline_quantiles, |b| b.0)
    }

    fn best_baseline_p99(&self) -> f64 {
        smallest(&self.baseline_quantiles, |b| b.1)
    }
}

fn measure(seed: u64) -> SeedResult {
    let rate = LOAD_FRACTION * capacity(seed);
    let run = run_conversations(RoutingPolicy::router(), rate, RUN_END, seed, &[]);
    let mut baseline_quantiles = Vec::new();
    let mut first_token_curves =
        vec![("router", run.first_token_curve(MEASURE_FROM, MEASURE_UNTIL))];
    for (name, policy) in RoutingPolicy::baselines() {
        let baseline = run_conversations(policy, rate, RUN_END, seed, &[]);
        baseline_quantiles.push((
            baseline.first_token_seconds(0.95, MEASURE_FROM, MEASURE_UNTIL),
            baseline.first_token_seconds(0.99, MEASURE_FROM, MEASURE_UNTIL),
        ));
        first_token_curves.push((name, baseline.first_token_curve(MEASURE_FROM, MEASURE_UNTIL)));
    }
    SeedResult {
        first_token_p95: run.first_token_seconds(0.95, MEASURE_FROM, MEASURE_UNTIL),
        first_token_p99: run.first_token_seconds(0.99, MEASURE_FROM, MEASURE_UNTIL),
        token_gap_ms: run.token_gap_ms(0.95),
        failed_fraction: 1.0 - run.in_time_fraction(MEASURE_FROM, MEASURE_UNTIL),
        digest_bytes_per_second: to_f64(run.digest_bytes) / to_f64(VM_COUNT) / seconds(RUN_END),
        baseline_quantiles,
        first_token_curves,
    }
}

/// Returns the rows of target 2.
#[must_use]
pub fn rows() -> Vec<Row> {
    let results = for_each_seed(measure);
    plot::write_lines(
        "first-token.svg",
        "Time to first token at 0.9 x capacity (seed 11)",
        ("quantile", "seconds"),
        &results[0].first_token_curves,
    );
    let row = Row::of("peak load");
    vec![
        row(
            "time to first token, 95 in 100",
            "s",
            Some(smallest(&results, SeedResult::best_baseline_p95)),
            largest(&results, |f| f.first_token_p95),
            Bound::AtMost(1.7),
        ),
        row(
            "gap between tokens, 95 in 100",
            "ms",
            None,
            largest(&results, |f| f.token_gap_ms),
            Bound::AtMost(67.0),
        ),
        row(
            "p99 of the best baseline over p99",
            "ratio",
            None,
            smallest(&results, |f| f.best_baseline_p99() / f.first_token_p99),
            Bound::AtLeast(2.0),
        ),
        row(
            "time to first token, 99 in 100",
            "s",
            Some(smallest(&results, SeedResult::best_baseline_p99)),
            largest(&results, |f| f.first_token_p99),
            Bound::None,
        ),
        row(
            "requests refused or late",
            "ratio",
            None,
            largest(&results, |f| f.failed_fraction),
            Bound::None,
        ),
        row(
            "digests that one VM sends, with UDP headers",
            "B/s",
            None,
            largest(&results, |f| f.digest_bytes_per_second),
            Bound::AtMost(6000.0),
        ),
    ]
}
