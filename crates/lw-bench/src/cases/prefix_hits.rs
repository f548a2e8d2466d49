//! Target 1: prefix hit rate, wasted recomputation, and recovery of the hit rate.

use crate::{
    scenario::{
        MEASURE_FROM, capacity, conversations_setup, for_each_seed, largest, run_conversations,
        smallest,
    },
    sim::{
        Micros, SECOND,
        routing::RoutingPolicy,
        simulation::{Fault, run},
        workload::{Phase, Shape, arrivals},
    },
    summary::{Bound, Row},
};

/// Fraction of the capacity at which requests arrive.
const LOAD_FRACTION: f64 = 0.9;
const RUN_END: Micros = 90 * SECOND;
const FAULT_AT: Micros = 40 * SECOND;
/// The hit rate counts as recovered when it is at least this fraction of its value before the fault.
const RECOVERED_FRACTION: f64 = 0.9;

struct SeedResult {
    hit_rate: f64,
    greedy_hit_rate: f64,
    hash_hit_rate: f64,
    wasted_fraction: f64,
    greedy_wasted_fraction: f64,
    hash_wasted_fraction: f64,
    recoveries: [f64; 3],
}

impl SeedResult {
    fn hit_ratio(&self) -> f64 {
        self.hit_rate / self.greedy_hit_rate.max(self.hash_hit_rate)
    }
}

fn measure(seed: u64) -> SeedResult {
    let rate = LOAD_FRACTION * capacity(seed);
    let end = RUN_END - 3 * SECOND;
    let measure_steady = |policy| {
        let run = run_conversations(policy, rate, RUN_END, seed, &[]);
        (run.hit_rate(MEASURE_FROM, end), run.wasted_seconds / run.engine_seconds)
    };
    let recovery_after = |fault| {
        let run =
            run_conversations(RoutingPolicy::router(), rate, RUN_END, seed, &[(FAULT_AT, fault)]);
        run.recovery_seconds(FAULT_AT, RECOVERED_FRACTION * run.hit_rate(MEASURE_FROM, FAULT_AT))
    };
    let prefix_change = {
        let phases =
            [Phase { from: 0, rate, prefix_set: 0 }, Phase { from: FAULT_AT, rate, prefix_set: 1 }];
        let arrivals = arrivals(Shape::Conversations, &phases, RUN_END, seed);
        let run = run(conversations_setup(RoutingPolicy::router(), arrivals, RUN_END, seed));
        run.recovery_seconds(FAULT_AT, RECOVERED_FRACTION * run.hit_rate(MEASURE_FROM, FAULT_AT))
    };
    let (hit_rate, wasted_fraction) = measure_steady(RoutingPolicy::router());
    let (greedy_hit_rate, greedy_wasted_fraction) = measure_steady(RoutingPolicy::Greedy);
    let (hash_hit_rate, hash_wasted_fraction) = measure_steady(RoutingPolicy::PrefixHash);
    let recoveries =
        [prefix_change, recovery_after(Fault::Restart(0)), recovery_after(Fault::RestartRouters)];
    SeedResult {
        hit_rate,
        greedy_hit_rate,
        hash_hit_rate,
        wasted_fraction,
        greedy_wasted_fraction,
        hash_wasted_fraction,
        recoveries,
    }
}

/// Returns the rows of target 1.
#[must_use]
pub fn rows() -> Vec<Row> {
    let results = for_each_seed(measure);
    let row = Row::of("prefix hits");
    let hash_ratio =
        smallest(&results, |f| f.hash_hit_rate / f.greedy_hit_rate.max(f.hash_hit_rate));
    let mut rows = vec![
        row(
            "hit rate against the better reference",
            "ratio",
            Some(hash_ratio),
            smallest(&results, SeedResult::hit_ratio),
            Bound::AtLeast(0.95),
        ),
        row(
            "hit rate (baseline: greedy with full sight)",
            "ratio",
            Some(smallest(&results, |f| f.greedy_hit_rate)),
            smallest(&results, |f| f.hit_rate),
            Bound::None,
        ),
        row(
            "wasted recomputation (baseline: prefix hash)",
            "part of engine time",
            Some(largest(&results, |f| f.hash_wasted_fraction)),
            largest(&results, |f| f.wasted_fraction),
            Bound::AtMost(0.05),
        ),
        row(
            "wasted recomputation of greedy with full sight",
            "part of engine time",
            None,
            largest(&results, |f| f.greedy_wasted_fraction),
            Bound::None,
        ),
    ];
    let names =
        ["hot prefixes shift (30 % of demand)", "engine returns empty", "all routers restart"];
    for (i, name) in names.into_iter().enumerate() {
        let value = largest(&results, |f| f.recoveries[i]);
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
