//! Target 12: KV cache is moved only where moving is cheaper than recomputing.

use std::time::Duration;

use lw_route::{KvMoveCost, Options};

use crate::{
    scenario::{WARM, capacity, each_seed, largest, malabar_run, smallest},
    sim::{Micros, SECOND, count, outcome::Run, policy::Policy, seconds},
    summary::{Bound, Row},
};

/// Part of the engines' capacity that is offered.
const LOAD: f64 = 0.9;
const UNTIL: Micros = 90 * SECOND;
const END: Micros = UNTIL - 3 * SECOND;
/// KV cache of one token of a mid-sized model.
const BYTES_PER_TOKEN: f64 = 131_072.0;
const SETUP: Duration = Duration::from_millis(10);
/// 25 Gbit/s: 43 ms for a block that takes about 115 ms to recompute.
const FAST_LINK: f64 = 3.1e9;
/// 5 Gbit/s: 210 ms for a block.
const SLOW_LINK: f64 = 0.625e9;

fn with_link(bytes_per_second: f64) -> Policy {
    let link = KvMoveCost { bytes_per_token: BYTES_PER_TOKEN, bytes_per_second, setup: SETUP };
    Policy::Router(Box::new(Options { kv_move: Some(link), ..Options::default() }))
}

struct Figures {
    without: Run,
    fast: Run,
    slow: Run,
}

fn measure(seed: u64) -> Figures {
    let rate = LOAD * capacity(seed);
    let go = |policy| malabar_run(policy, rate, UNTIL, seed, &[]);
    Figures {
        without: go(Policy::router()),
        fast: go(with_link(FAST_LINK)),
        slow: go(with_link(SLOW_LINK)),
    }
}

fn wasted(run: &Run) -> f64 {
    run.wasted / run.engine_seconds
}

/// The rows of target 12.
#[must_use]
pub fn rows() -> Vec<Row> {
    let all = each_seed(measure);
    let row = Row::of("KV moves");
    vec![
        row(
            "moves over the fast link that took longer than recomputing",
            "count",
            None,
            largest(&all, |f| count(f.fast.dear_moves)),
            Bound::AtMost(0.0),
        ),
        row(
            "blocks moved over the fast link",
            "1/s",
            None,
            smallest(&all, |f| count(f.fast.moved_blocks) / seconds(UNTIL)),
            Bound::None,
        ),
        row(
            "blocks moved over the slow link, where recomputing is cheaper",
            "count",
            None,
            largest(&all, |f| count(f.slow.moved_blocks)),
            Bound::AtMost(0.0),
        ),
        row(
            "wasted recomputation with the fast link (baseline: no moves)",
            "part of engine time",
            Some(largest(&all, |f| wasted(&f.without))),
            largest(&all, |f| wasted(&f.fast)),
            Bound::AtMost(0.05),
        ),
        row(
            "hit rate with the fast link (baseline: no moves)",
            "ratio",
            Some(smallest(&all, |f| f.without.hit_rate(WARM, END))),
            smallest(&all, |f| f.fast.hit_rate(WARM, END)),
            Bound::None,
        ),
        row(
            "time to first token with the fast link, 99 in 100 (baseline: no moves)",
            "s",
            Some(largest(&all, |f| f.without.first_token(0.99, WARM, END))),
            largest(&all, |f| f.fast.first_token(0.99, WARM, END)),
            Bound::None,
        ),
    ]
}
