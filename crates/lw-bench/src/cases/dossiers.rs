//! Target 4: short work beside dossiers in the Hellenic shape.

use lw_types::prelude::*;

use crate::{
    scenario::{each_seed, hellenic, largest, smallest},
    sim::{
        Micros, SECOND, count,
        outcome::Run,
        policy::Policy,
        seconds,
        workload::{Arrival, Phase, Shape, arrivals},
        world::run,
    },
    summary::{Bound, Row},
};

const UNTIL: Micros = 150 * SECOND;
/// Measured from here, since the queue of dossiers takes longer to reach its usual length than that of other work.
const START: Micros = 40 * SECOND;
const END: Micros = 140 * SECOND;
/// Approvals and status questions a second; with the dossiers they keep the engines busy 95 % of the time.
const SHORT_RATE: f64 = 80.0;
/// Dossier readings a second; alone they keep the engines busy 43 % of the time.
const DOSSIER_RATE: f64 = 1.2;

struct Figures {
    alone_p99: f64,
    beside_p99: f64,
    baseline_p99: f64,
    dossier_p95: f64,
    dossier_baseline: f64,
    dossiers_alone: f64,
    dossiers_beside: f64,
}

fn measure(seed: u64) -> Figures {
    let of = |shape, rate| {
        let phases = [Phase { from: 0, rate, era: 0 }];
        arrivals(shape, &phases, UNTIL, seed)
    };
    let short = of(Shape::Approvals, SHORT_RATE);
    let long = of(Shape::Dossiers, DOSSIER_RATE);
    let mut both: Vec<Arrival> = short.iter().chain(&long).cloned().collect();
    both.sort_by_key(|arrival| arrival.at);
    let go = |policy, arrivals: &[Arrival]| run(hellenic(policy, arrivals.to_vec(), UNTIL, seed));
    let p99 = |run: &Run| run.first_token_of(Class::Live, 0.99, START, END);
    let beside = go(Policy::router(), &both);
    let dossier_p95 = |run: &Run| run.first_token_of(Class::Bulk, 0.95, START, END - 20 * SECOND);
    let baselines: Vec<Run> = Policy::baselines().into_iter().map(|(_, p)| go(p, &both)).collect();
    Figures {
        alone_p99: p99(&go(Policy::router(), &short)),
        beside_p99: p99(&beside),
        baseline_p99: smallest(&baselines, p99),
        dossier_p95: dossier_p95(&beside),
        dossier_baseline: smallest(&baselines, dossier_p95),
        dossiers_alone: throughput(&go(Policy::router(), &long)),
        dossiers_beside: throughput(&beside),
    }
}

/// Dossiers finished a second.
fn throughput(run: &Run) -> f64 {
    let done = run.served.iter().filter(|s| {
        s.class == Class::Bulk && s.finished.is_some_and(|f| (START..END).contains(&f))
    });
    count(done.count()) / seconds(END - START)
}

/// The rows of target 4.
#[must_use]
pub fn rows() -> Vec<Row> {
    let all = each_seed(measure);
    let row = Row::of("dossiers");
    vec![
        row(
            "p99 of short work beside dossiers over that without",
            "ratio",
            Some(smallest(&all, |f| f.baseline_p99 / f.alone_p99)),
            largest(&all, |f| f.beside_p99 / f.alone_p99),
            Bound::AtMost(1.3),
        ),
        row(
            "dossiers finished beside short work over those alone",
            "ratio",
            None,
            smallest(&all, |f| f.dossiers_beside / f.dossiers_alone),
            Bound::AtLeast(0.9),
        ),
        row(
            "p99 of short work beside dossiers",
            "s",
            Some(smallest(&all, |f| f.baseline_p99)),
            largest(&all, |f| f.beside_p99),
            Bound::None,
        ),
        row(
            "first token of dossiers beside short work, 95 in 100",
            "s",
            Some(smallest(&all, |f| f.dossier_baseline)),
            largest(&all, |f| f.dossier_p95),
            Bound::None,
        ),
    ]
}
