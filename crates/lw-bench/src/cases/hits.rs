//! Target 1: prefix hit rate, wasted recomputation, and recovery of the hit rate.

use crate::{
    scenario::{WARM, capacity, each_seed, largest, malabar, malabar_run, smallest},
    sim::{
        Micros, SECOND,
        policy::Policy,
        workload::{Phase, Shape, arrivals},
        world::{Fault, run},
    },
    summary::{Bound, Row},
};

/// Part of the engines' capacity that is offered.
const LOAD: f64 = 0.9;
const UNTIL: Micros = 90 * SECOND;
const FAULT_AT: Micros = 40 * SECOND;
/// Part of the former hit rate that counts as recovered.
const RECOVERED: f64 = 0.9;

struct Figures {
    hit: f64,
    greedy_hit: f64,
    hash_hit: f64,
    wasted: f64,
    greedy_wasted: f64,
    hash_wasted: f64,
    recovery: [f64; 3],
}

impl Figures {
    fn ratio(&self) -> f64 {
        self.hit / self.greedy_hit.max(self.hash_hit)
    }
}

fn measure(seed: u64) -> Figures {
    let rate = LOAD * capacity(seed);
    let end = UNTIL - 3 * SECOND;
    let steady = |policy| {
        let run = malabar_run(policy, rate, UNTIL, seed, &[]);
        (run.hit_rate(WARM, end), run.wasted / run.engine_seconds)
    };
    let recovery = |fault| {
        let run = malabar_run(Policy::router(), rate, UNTIL, seed, &[(FAULT_AT, fault)]);
        run.recovery(FAULT_AT, RECOVERED * run.hit_rate(WARM, FAULT_AT))
    };
    let shift = {
        let phases = [Phase { from: 0, rate, era: 0 }, Phase { from: FAULT_AT, rate, era: 1 }];
        let arrivals = arrivals(Shape::Malabar, &phases, UNTIL, seed);
        let run = run(malabar(Policy::router(), arrivals, UNTIL, seed));
        run.recovery(FAULT_AT, RECOVERED * run.hit_rate(WARM, FAULT_AT))
    };
    let (hit, wasted) = steady(Policy::router());
    let (greedy_hit, greedy_wasted) = steady(Policy::Greedy);
    let (hash_hit, hash_wasted) = steady(Policy::PrefixHash);
    let recovery = [shift, recovery(Fault::Restart(0)), recovery(Fault::RestartRouters)];
    Figures { hit, greedy_hit, hash_hit, wasted, greedy_wasted, hash_wasted, recovery }
}

/// The rows of target 1.
#[must_use]
pub fn rows() -> Vec<Row> {
    let all = each_seed(measure);
    let row = Row::of("prefix hits");
    let hash = smallest(&all, |f| f.hash_hit / f.greedy_hit.max(f.hash_hit));
    let mut rows = vec![
        row(
            "hit rate against the better reference",
            "ratio",
            Some(hash),
            smallest(&all, Figures::ratio),
            Bound::AtLeast(0.95),
        ),
        row(
            "hit rate (baseline: greedy with full sight)",
            "ratio",
            Some(smallest(&all, |f| f.greedy_hit)),
            smallest(&all, |f| f.hit),
            Bound::None,
        ),
        row(
            "wasted recomputation (baseline: prefix hash)",
            "part of engine time",
            Some(largest(&all, |f| f.hash_wasted)),
            largest(&all, |f| f.wasted),
            Bound::AtMost(0.05),
        ),
        row(
            "wasted recomputation of greedy with full sight",
            "part of engine time",
            None,
            largest(&all, |f| f.greedy_wasted),
            Bound::None,
        ),
    ];
    let names =
        ["hot prefixes shift (30 % of demand)", "engine returns empty", "all routers restart"];
    for (i, name) in names.into_iter().enumerate() {
        let value = largest(&all, |f| f.recovery[i]);
        rows.push(row(
            &format!("hit rate is back after: {name}"),
            "s",
            None,
            value,
            Bound::AtMost(5.0),
        ));
    }
    rows
}
