//! Target 5: two engines are 10 times slower for 10 s.

use crate::{
    plot,
    scenario::{MEASURE_FROM, capacity, for_each_seed, largest, run_conversations, smallest},
    sim::{
        Micros, SECOND, results::RunResult, routing::RoutingPolicy, seconds, simulation::Fault,
        to_f64,
    },
    summary::{Bound, Row},
};

/// Fraction of the capacity at which requests arrive; 10 of the 12 engines can serve it.
const LOAD_FRACTION: f64 = 0.6;
const SLOW_FROM: Micros = 20 * SECOND;
const SLOW_UNTIL: Micros = 30 * SECOND;
const RUN_END: Micros = 50 * SECOND;
/// The slowed engines count as recovered when they receive at least this fraction of the attempts that they receive in
/// the same seconds of a run without a fault.
const RECOVERED_FRACTION: f64 = 0.9;
const SLOWED_ENGINES: [usize; 2] = [3, 8];

struct SeedResult {
    first_token_p99: f64,
    first_token_p99_without_fault: f64,
    baseline_first_token_p99: f64,
    hedged_fraction: f64,
    seconds_to_share: f64,
    attempt_curves: Vec<(&'static str, Vec<(f64, f64)>)>,
}

fn measure(seed: u64) -> SeedResult {
    let rate = LOAD_FRACTION * capacity(seed);
    let faults: Vec<_> = SLOWED_ENGINES
        .iter()
        .flat_map(|&e| [(SLOW_FROM, Fault::Slow(e, 10.0)), (SLOW_UNTIL, Fault::Slow(e, 1.0))])
        .collect();
    let slowed = run_conversations(RoutingPolicy::router(), rate, RUN_END, seed, &faults);
    let unslowed = run_conversations(RoutingPolicy::router(), rate, RUN_END, seed, &[]);
    let first_token_p99 = |run: &RunResult| run.first_token_seconds(0.99, SLOW_FROM, SLOW_UNTIL);
    let baselines: Vec<f64> = RoutingPolicy::baselines()
        .into_iter()
        .map(|(_, policy)| {
            first_token_p99(&run_conversations(policy, rate, RUN_END, seed, &faults))
        })
        .collect();
    SeedResult {
        first_token_p99: first_token_p99(&slowed),
        first_token_p99_without_fault: first_token_p99(&unslowed),
        baseline_first_token_p99: smallest(&baselines, |p| *p),
        hedged_fraction: to_f64(
            slowed.requests_between(MEASURE_FROM, RUN_END).filter(|s| s.is_hedged).count(),
        ) / to_f64(slowed.requests_between(MEASURE_FROM, RUN_END).count()),
        seconds_to_share: seconds_to_share(&slowed, &unslowed),
        attempt_curves: vec![
            ("slowed", attempts_curve(&slowed)),
            ("not slowed", attempts_curve(&unslowed)),
        ],
    }
}

fn attempts_to_slowed(run: &RunResult, from: Micros, length: Micros) -> f64 {
    let is_slowed = |(at, e): &&(Micros, usize)| {
        (from..from + length).contains(at) && SLOWED_ENGINES.contains(e)
    };
    to_f64(run.sent_attempts.iter().filter(is_slowed).count())
}

/// Returns the seconds after the end of the fault until the engines receive their share of attempts again, in windows
/// of 2 s; 20 if never.
fn seconds_to_share(slowed: &RunResult, unslowed: &RunResult) -> f64 {
    let step = SECOND / 4;
    let is_at_share = |i: u64| {
        let from = SLOW_UNTIL + i * step;
        attempts_to_slowed(slowed, from, 2 * SECOND)
            >= RECOVERED_FRACTION * attempts_to_slowed(unslowed, from, 2 * SECOND)
    };
    (0..64).find(|&i| is_at_share(i)).map_or(20.0, |i| seconds(i * step))
}

fn attempts_curve(run: &RunResult) -> Vec<(f64, f64)> {
    (10..RUN_END / SECOND)
        .map(|s| (seconds(s * SECOND), attempts_to_slowed(run, s * SECOND, SECOND)))
        .collect()
}

/// Returns the rows of target 5.
#[must_use]
pub fn rows() -> Vec<Row> {
    let results = for_each_seed(measure);
    plot::write_lines(
        "slow-engines.svg",
        "Requests sent to two engines that are slow from 20 s to 30 s (seed 11)",
        ("seconds", "requests/s"),
        &results[0].attempt_curves,
    );
    let row = Row::of("slow engines");
    vec![
        row(
            "p99 with 2 engines slowed over that with none",
            "ratio",
            Some(smallest(&results, |f| {
                f.baseline_first_token_p99 / f.first_token_p99_without_fault
            })),
            largest(&results, |f| f.first_token_p99 / f.first_token_p99_without_fault),
            Bound::AtMost(1.3),
        ),
        row(
            "p99 with 2 engines slowed",
            "s",
            Some(smallest(&results, |f| f.baseline_first_token_p99)),
            largest(&results, |f| f.first_token_p99),
            Bound::None,
        ),
        row(
            "requests hedged",
            "ratio",
            None,
            largest(&results, |f| f.hedged_fraction),
            Bound::AtMost(0.05),
        ),
        row(
            "recovered engines are back at their share",
            "s",
            None,
            largest(&results, |f| f.seconds_to_share),
            Bound::AtMost(5.0),
        ),
    ]
}
