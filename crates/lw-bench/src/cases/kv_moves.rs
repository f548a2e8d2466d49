//! Target 12: KV cache is moved between engines only where that is cheaper than recomputing it.

use std::time::Duration;

use lw_route::{KvMoveCost, Options};

use crate::{
    scenario::{MEASURE_FROM, capacity, for_each_seed, largest, run_conversations, smallest},
    sim::{Micros, SECOND, results::RunResult, routing::RoutingPolicy, seconds, to_f64},
    summary::{Bound, Row},
};

/// Fraction of the capacity at which requests arrive.
const LOAD_FRACTION: f64 = 0.9;
const RUN_END: Micros = 90 * SECOND;
const MEASURE_UNTIL: Micros = RUN_END - 3 * SECOND;
/// Size of the KV cache of a model of medium size.
const KV_BYTES_PER_TOKEN: f64 = 131_072.0;
const MOVE_SETUP: Duration = Duration::from_millis(10);
/// 25 Gbit/s; a block takes 43 ms to move and about 115 ms to recompute.
const FAST_LINK_BYTES_PER_SECOND: f64 = 3.1e9;
/// 5 Gbit/s; a block takes 210 ms to move.
const SLOW_LINK_BYTES_PER_SECOND: f64 = 0.625e9;

fn router_with_moves(bytes_per_second: f64) -> RoutingPolicy {
    let move_cost =
        KvMoveCost { bytes_per_token: KV_BYTES_PER_TOKEN, bytes_per_second, setup: MOVE_SETUP };
    RoutingPolicy::Router(Box::new(Options { kv_move: Some(move_cost), ..Options::default() }))
}

struct SeedResult {
    without_moves: RunResult,
    fast_link: RunResult,
    slow_link: RunResult,
}

fn measure(seed: u64) -> SeedResult {
    let rate = LOAD_FRACTION * capacity(seed);
    let run_with = |policy| run_conversations(policy, rate, RUN_END, seed, &[]);
    SeedResult {
        without_moves: run_with(RoutingPolicy::router()),
        fast_link: run_with(router_with_moves(FAST_LINK_BYTES_PER_SECOND)),
        slow_link: run_with(router_with_moves(SLOW_LINK_BYTES_PER_SECOND)),
    }
}

fn wasted_fraction(run: &RunResult) -> f64 {
    run.wasted_seconds / run.engine_seconds
}

/// Returns the rows of target 12.
#[must_use]
pub fn rows() -> Vec<Row> {
    let results = for_each_seed(measure);
    let row = Row::of("KV moves");
    vec![
        row(
            "moves over the fast link that took longer than recomputing",
            "count",
            None,
            largest(&results, |f| to_f64(f.fast_link.unprofitable_moves)),
            Bound::AtMost(0.0),
        ),
        row(
            "blocks moved over the fast link",
            "1/s",
            None,
            smallest(&results, |f| to_f64(f.fast_link.moved_blocks) / seconds(RUN_END)),
            Bound::None,
        ),
        row(
            "blocks moved over the slow link, where recomputing is cheaper",
            "count",
            None,
            largest(&results, |f| to_f64(f.slow_link.moved_blocks)),
            Bound::AtMost(0.0),
        ),
        row(
            "wasted recomputation with the fast link (baseline: no moves)",
            "part of engine time",
            Some(largest(&results, |f| wasted_fraction(&f.without_moves))),
            largest(&results, |f| wasted_fraction(&f.fast_link)),
            Bound::AtMost(0.05),
        ),
        row(
            "hit rate with the fast link (baseline: no moves)",
            "ratio",
            Some(smallest(&results, |f| f.without_moves.hit_rate(MEASURE_FROM, MEASURE_UNTIL))),
            smallest(&results, |f| f.fast_link.hit_rate(MEASURE_FROM, MEASURE_UNTIL)),
            Bound::None,
        ),
        row(
            "time to first token with the fast link, 99 in 100 (baseline: no moves)",
            "s",
            Some(largest(&results, |f| {
                f.without_moves.first_token_seconds(0.99, MEASURE_FROM, MEASURE_UNTIL)
            })),
            largest(&results, |f| {
                f.fast_link.first_token_seconds(0.99, MEASURE_FROM, MEASURE_UNTIL)
            }),
            Bound::None,
        ),
    ]
}
