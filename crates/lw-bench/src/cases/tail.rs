//! Target 2: time to first token and token gaps at the Malabar peak.

use crate::{
    plot,
    scenario::{WARM, capacity, each_seed, largest, malabar_run, smallest},
    sim::{Micros, SECOND, count, policy::Policy, seconds, workload::VMS},
    summary::{Bound, Row},
};

/// Part of the engines' capacity that is offered.
const LOAD: f64 = 0.9;
const UNTIL: Micros = 90 * SECOND;
const END: Micros = UNTIL - 3 * SECOND;

struct Figures {
    p95: f64,
    p99: f64,
    gap: f64,
    refused: f64,
    digest_bytes: f64,
    /// p95 and p99 of each baseline.
    baselines: Vec<(f64, f64)>,
    curves: Vec<(&'static str, Vec<(f64, f64)>)>,
}

impl Figures {
    fn best_p95(&self) -> f64 {
        smallest(&self.baselines, |b| b.0)
    }

    fn best_p99(&self) -> f64 {
        smallest(&self.baselines, |b| b.1)
    }
}

fn measure(seed: u64) -> Figures {
    let rate = LOAD * capacity(seed);
    let run = malabar_run(Policy::router(), rate, UNTIL, seed, &[]);
    let mut baselines = Vec::new();
    let mut curves = vec![("router", run.first_token_curve(WARM, END))];
    for (name, policy) in Policy::baselines() {
        let other = malabar_run(policy, rate, UNTIL, seed, &[]);
        baselines.push((other.first_token(0.95, WARM, END), other.first_token(0.99, WARM, END)));
        curves.push((name, other.first_token_curve(WARM, END)));
    }
    Figures {
        p95: run.first_token(0.95, WARM, END),
        p99: run.first_token(0.99, WARM, END),
        gap: run.gap(0.95),
        refused: 1.0 - run.part_in_time(WARM, END),
        digest_bytes: count(run.digest_bytes) / count(VMS) / seconds(UNTIL),
        baselines,
        curves,
    }
}

/// The rows of target 2.
#[must_use]
pub fn rows() -> Vec<Row> {
    let all = each_seed(measure);
    plot::lines(
        "first-token.svg",
        "Time to first token at 0.9 x capacity (seed 11)",
        ("quantile", "seconds"),
        &all[0].curves,
    );
    let row = Row::of("peak load");
    vec![
        row(
            "time to first token, 95 in 100",
            "s",
            Some(smallest(&all, Figures::best_p95)),
            largest(&all, |f| f.p95),
            Bound::AtMost(1.7),
        ),
        row(
            "gap between tokens, 95 in 100",
            "ms",
            None,
            largest(&all, |f| f.gap),
            Bound::AtMost(67.0),
        ),
        row(
            "p99 of the best baseline over p99",
            "ratio",
            None,
            smallest(&all, |f| f.best_p99() / f.p99),
            Bound::AtLeast(2.0),
        ),
        row(
            "time to first token, 99 in 100",
            "s",
            Some(smallest(&all, Figures::best_p99)),
            largest(&all, |f| f.p99),
            Bound::None,
        ),
        row("requests refused or late", "ratio", None, largest(&all, |f| f.refused), Bound::None),
        row(
            "digests that one VM sends, with UDP headers",
            "B/s",
            None,
            largest(&all, |f| f.digest_bytes),
            Bound::AtMost(6000.0),
        ),
    ]
}
