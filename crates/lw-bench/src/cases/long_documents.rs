//! Target 4: short requests beside long documents, which the rows call dossiers.

use lw_types::prelude::*;

use crate::{
    scenario::{documents_setup, for_each_seed, largest, smallest},
    sim::{
        Micros, SECOND,
        results::RunResult,
        routing::RoutingPolicy,
        seconds,
        simulation::run,
        to_f64,
        workload::{Arrival, Phase, Shape, arrivals},
    },
    summary::{Bound, Row},
};

const RUN_END: Micros = 150 * SECOND;
/// Later than in other cases, as the queue of long documents takes longer to reach its usual length.
const MEASURE_FROM: Micros = 40 * SECOND;
const MEASURE_UNTIL: Micros = 140 * SECOND;
/// Together with the long documents they keep the engines busy 95 % of the time.
const SHORT_REQUESTS_PER_SECOND: f64 = 80.0;
/// Alone they keep the engines busy 43 % of the time.
const LONG_DOCUMENTS_PER_SECOND: f64 = 1.2;

struct SeedResult {
    short_alone_p99: f64,
    short_beside_p99: f64,
    short_baseline_p99: f64,
    document_p95: f64,
    document_baseline_p95: f64,
    documents_per_second_alone: f64,
    documents_per_second_beside: f64,
}

fn measure(seed: u64) -> SeedResult {
    let arrivals_of = |shape, rate| {
        let phases = [Phase { from: 0, rate, prefix_set: 0 }];
        arrivals(shape, &phases, RUN_END, seed)
    };
    let short = arrivals_of(Shape::Approvals, SHORT_REQUESTS_PER_SECOND);
    let documents = arrivals_of(Shape::LongDocuments, LONG_DOCUMENTS_PER_SECOND);
    let mut all_arrivals: Vec<Arrival> = short.iter().chain(&documents).cloned().collect();
    all_arrivals.sort_by_key(|arrival| arrival.at);
    let run_with = |policy, arrivals: &[Arrival]| {
        run(documents_setup(policy, arrivals.to_vec(), RUN_END, seed))
    };
    let p99 = |run: &RunResult| {
        run.first_token_seconds_of_class(Class::Live, 0.99, MEASURE_FROM, MEASURE_UNTIL)
    };
    let beside = run_with(RoutingPolicy::router(), &all_arrivals);
    let document_p95 = |run: &RunResult| {
        run.first_token_seconds_of_class(
            Class::Bulk,
            0.95,
            MEASURE_FROM,
            MEASURE_UNTIL - 20 * SECOND,
        )
    };
    let baselines: Vec<RunResult> =
        RoutingPolicy::baselines().into_iter().map(|(_, p)| run_with(p, &all_arrivals)).collect();
    SeedResult {
        short_alone_p99: p99(&run_with(RoutingPolicy::router(), &short)),
        short_beside_p99: p99(&beside),
        short_baseline_p99: smallest(&baselines, p99),
        document_p95: document_p95(&beside),
        document_baseline_p95: smallest(&baselines, document_p95),
        documents_per_second_alone: documents_per_second(&run_with(
            RoutingPolicy::router(),
            &documents,
        )),
        documents_per_second_beside: documents_per_second(&beside),
    }
}

/// Returns the long documents finished per second.
fn documents_per_second(run: &RunResult) -> f64 {
    let finished = run.requests.iter().filter(|s| {
        s.class == Class::Bulk
            && s.finished_at.is_some_and(|f| (MEASURE_FROM..MEASURE_UNTIL).contains(&f))
    });
    to_f64(finished.count()) / seconds(MEASURE_UNTIL - MEASURE_FROM)
}

/// Returns the rows of target 4.
#[must_use]
pub fn rows() -> Vec<Row> {
    let results = for_each_seed(measure);
    let row = Row::of("dossiers");
    vec![
        row(
            "p99 of short work beside dossiers over that without",
            "ratio",
            Some(smallest(&results, |f| f.short_baseline_p99 / f.short_alone_p99)),
            largest(&results, |f| f.short_beside_p99 / f.short_alone_p99),
            Bound::AtMost(1.3),
        ),
        row(
            "dossiers finished beside short work over those alone",
            "ratio",
            None,
            smallest(&results, |f| f.documents_per_second_beside / f.documents_per_second_alone),
            Bound::AtLeast(0.9),
        ),
        row(
            "p99 of short work beside dossiers",
            "s",
            Some(smallest(&results, |f| f.short_baseline_p99)),
            largest(&results, |f| f.short_beside_p99),
            Bound::None,
        ),
        row(
            "first token of dossiers beside short work, 95 in 100",
            "s",
            Some(smallest(&results, |f| f.document_baseline_p95)),
            largest(&results, |f| f.document_p95),
            Bound::None,
        ),
    ]
}
