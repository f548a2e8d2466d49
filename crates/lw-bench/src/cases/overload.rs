//! Target 3: load of twice the capacity, shares of workspaces under overload, and the return to normal service.

use crate::{
    plot,
    scenario::{MEASURE_FROM, capacity, conversations_setup, for_each_seed, largest, smallest},
    sim::{
        Micros, SECOND,
        results::RunResult,
        routing::RoutingPolicy,
        seconds,
        simulation::run,
        to_f64,
        workload::{Phase, Shape, WORKSPACE_DEMAND, arrivals},
    },
    summary::{Bound, Row},
};

const PEAK_START: Micros = 10 * SECOND;
const PEAK_END: Micros = 45 * SECOND;
const RUN_END: Micros = 60 * SECOND;
/// Service counts as normal when at least this fraction of the requests is answered in time.
const NORMAL_IN_TIME_FRACTION: f64 = 0.95;

struct SeedResult {
    goodput: f64,
    reference_goodput: f64,
    baseline_goodput: f64,
    cancelled_fraction: f64,
    shortest_wait_seconds: f64,
    failed_under_share: f64,
    seconds_to_normal: f64,
    attempts_per_request: f64,
    goodput_curves: Vec<(&'static str, Vec<(f64, f64)>)>,
}

fn measure(seed: u64) -> SeedResult {
    let rate = capacity(seed);
    let phases = [
        Phase { from: 0, rate: 0.5 * rate, prefix_set: 0 },
        Phase { from: PEAK_START, rate: 2.0 * rate, prefix_set: 0 },
        Phase { from: PEAK_END, rate: 0.5 * rate, prefix_set: 0 },
    ];
    let requests = arrivals(Shape::Conversations, &phases, RUN_END, seed);
    let run_policy = |policy| run(conversations_setup(policy, requests.clone(), RUN_END, seed));
    let goodput = |run: &RunResult| run.goodput(MEASURE_FROM, PEAK_END);
    let router = run_policy(RoutingPolicy::router());
    let greedy = run_policy(RoutingPolicy::Greedy);
    let references = [&greedy, &run_policy(RoutingPolicy::HashRefusing)];
    let baselines: Vec<RunResult> =
        RoutingPolicy::baselines().into_iter().map(|(_, p)| run_policy(p)).collect();
    let peak = || router.requests_between(MEASURE_FROM, PEAK_END);
    let offered_requests = to_f64(peak().count());
    SeedResult {
        goodput: goodput(&router),
        reference_goodput: largest(&references, |run| goodput(run)),
        baseline_goodput: largest(&baselines, goodput),
        cancelled_fraction: to_f64(peak().filter(|s| s.is_cancelled).count()) / offered_requests,
        shortest_wait_seconds: router
            .refusals
            .iter()
            .map(|r| seconds(r.1))
            .fold(f64::MAX, f64::min),
        failed_under_share: failed_under_share(&router, rate),
        seconds_to_normal: seconds_to_normal(&router),
        attempts_per_request: to_f64(router.sent_attempts.len())
            / to_f64(router.requests.iter().filter(|s| s.attempt_count > 0).count()),
        goodput_curves: vec![
            ("router", goodput_curve(&router)),
            ("greedy", goodput_curve(&greedy)),
        ],
    }
}

/// Returns the fraction refused or cancelled of the requests of workspaces whose demand is below an equal share of the
/// capacity.
fn failed_under_share(run: &RunResult, capacity: f64) -> f64 {
    let share = capacity / to_f64(WORKSPACE_DEMAND.len());
    let total: f64 = WORKSPACE_DEMAND.iter().sum();
    let is_under_share =
        |workspace: usize| WORKSPACE_DEMAND[workspace] / total * 2.0 * capacity < share;
    let requests_under_share =
        || run.requests_between(MEASURE_FROM, PEAK_END).filter(|s| is_under_share(s.workspace));
    to_f64(requests_under_share().filter(|s| s.refusal_count > 0 || s.is_cancelled).count())
        / to_f64(requests_under_share().count().max(1))
}

/// Returns the seconds after the peak until service is normal in 1 s windows of new requests for 2 s; 15 if never.
fn seconds_to_normal(run: &RunResult) -> f64 {
    let step = SECOND / 4;
    let is_normal = |i: u64| {
        run.in_time_fraction(PEAK_END + i * step, PEAK_END + i * step + SECOND)
            >= NORMAL_IN_TIME_FRACTION
    };
    (0..40).find(|&i| (i..i + 8).all(is_normal)).map_or(15.0, |i| seconds(i * step))
}

fn goodput_curve(run: &RunResult) -> Vec<(f64, f64)> {
    let point = |s: u64| (seconds(s * SECOND), run.goodput(s * SECOND, (s + 1) * SECOND));
    (0..RUN_END / SECOND - 2).map(point).collect()
}

/// Returns the rows of target 3.
#[must_use]
pub fn rows() -> Vec<Row> {
    let results = for_each_seed(measure);
    plot::write_lines(
        "overload.svg",
        "Answers in time around a peak of 2 x capacity (seed 11)",
        ("seconds", "answers/s"),
        &results[0].goodput_curves,
    );
    let row = Row::of("overload");
    vec![
        row(
            "answers in time against the best reference with full sight",
            "ratio",
            Some(smallest(&results, |f| f.baseline_goodput / f.reference_goodput)),
            smallest(&results, |f| f.goodput / f.reference_goodput),
            Bound::AtLeast(0.95),
        ),
        row(
            "answers in time",
            "1/s",
            Some(smallest(&results, |f| f.baseline_goodput)),
            smallest(&results, |f| f.goodput),
            Bound::None,
        ),
        row(
            "admitted and then cancelled at the deadline",
            "ratio",
            None,
            largest(&results, |f| f.cancelled_fraction),
            Bound::None,
        ),
        row(
            "shortest Retry-After",
            "s",
            None,
            smallest(&results, |f| f.shortest_wait_seconds),
            Bound::AtLeast(0.001),
        ),
        row(
            "refused or late of workspaces under their share",
            "ratio",
            None,
            largest(&results, |f| f.failed_under_share),
            Bound::AtMost(0.0),
        ),
        row(
            "normal service after the peak",
            "s",
            None,
            largest(&results, |f| f.seconds_to_normal),
            Bound::AtMost(2.0),
        ),
        row(
            "attempts for each request sent",
            "ratio",
            None,
            largest(&results, |f| f.attempts_per_request),
            Bound::AtMost(1.1),
        ),
    ]
}
