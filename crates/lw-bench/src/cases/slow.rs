//! Target 5: two engines 10 times slower for 10 s.

use crate::{
    plot,
    scenario::{WARM, capacity, each_seed, largest, malabar_run, smallest},
    sim::{Micros, SECOND, count, outcome::Run, policy::Policy, seconds, world::Fault},
    summary::{Bound, Row},
};

/// Part of the engines' capacity that is offered; 10 of 12 engines can carry it.
const LOAD: f64 = 0.6;
const SLOW_AT: Micros = 20 * SECOND;
const SLOW_END: Micros = 30 * SECOND;
const UNTIL: Micros = 50 * SECOND;
/// Part of the requests sent to the engines in the same seconds of a run without slowness.
const AT_SHARE: f64 = 0.9;
const SLOWED: [usize; 2] = [3, 8];

struct Figures {
    p99: f64,
    p99_without: f64,
    baseline: f64,
    hedged: f64,
    back_at_share: f64,
    curves: Vec<(&'static str, Vec<(f64, f64)>)>,
}

fn measure(seed: u64) -> Figures {
    let rate = LOAD * capacity(seed);
    let faults: Vec<_> = SLOWED
        .iter()
        .flat_map(|&e| [(SLOW_AT, Fault::Slow(e, 10.0)), (SLOW_END, Fault::Slow(e, 1.0))])
        .collect();
    let slowed = malabar_run(Policy::router(), rate, UNTIL, seed, &faults);
    let normal = malabar_run(Policy::router(), rate, UNTIL, seed, &[]);
    let p99 = |run: &Run| run.first_token(0.99, SLOW_AT, SLOW_END);
    let baselines: Vec<f64> = Policy::baselines()
        .into_iter()
        .map(|(_, policy)| p99(&malabar_run(policy, rate, UNTIL, seed, &faults)))
        .collect();
    Figures {
        p99: p99(&slowed),
        p99_without: p99(&normal),
        baseline: smallest(&baselines, |p| *p),
        hedged: count(slowed.between(WARM, UNTIL).filter(|s| s.hedged).count())
            / count(slowed.between(WARM, UNTIL).count()),
        back_at_share: back_at_share(&slowed, &normal),
        curves: vec![("slowed", share_curve(&slowed)), ("not slowed", share_curve(&normal))],
    }
}

fn sent(run: &Run, from: Micros, length: Micros) -> f64 {
    let is_slowed =
        |(at, e): &&(Micros, usize)| (from..from + length).contains(at) && SLOWED.contains(e);
    count(run.sent.iter().filter(is_slowed).count())
}

/// Seconds after recovery until the engines get their share again, over windows of 2 s.
fn back_at_share(slowed: &Run, normal: &Run) -> f64 {
    let step = SECOND / 4;
    let at_share = |i: u64| {
        let from = SLOW_END + i * step;
        sent(slowed, from, 2 * SECOND) >= AT_SHARE * sent(normal, from, 2 * SECOND)
    };
    (0..64).find(|&i| at_share(i)).map_or(20.0, |i| seconds(i * step))
}

fn share_curve(run: &Run) -> Vec<(f64, f64)> {
    (10..UNTIL / SECOND).map(|s| (seconds(s * SECOND), sent(run, s * SECOND, SECOND))).collect()
}

/// The rows of target 5.
#[must_use]
pub fn rows() -> Vec<Row> {
    let all = each_seed(measure);
    plot::lines(
        "slow-engines.svg",
        "Requests sent to two engines that are slow from 20 s to 30 s (seed 11)",
        ("seconds", "requests/s"),
        &all[0].curves,
    );
    let row = Row::of("slow engines");
    vec![
        row(
            "p99 with 2 engines slowed over that with none",
            "ratio",
            Some(smallest(&all, |f| f.baseline / f.p99_without)),
            largest(&all, |f| f.p99 / f.p99_without),
            Bound::AtMost(1.3),
        ),
        row(
            "p99 with 2 engines slowed",
            "s",
            Some(smallest(&all, |f| f.baseline)),
            largest(&all, |f| f.p99),
            Bound::None,
        ),
        row("requests hedged", "ratio", None, largest(&all, |f| f.hedged), Bound::AtMost(0.05)),
        row(
            "recovered engines are back at their share",
            "s",
            None,
            largest(&all, |f| f.back_at_share),
            Bound::AtMost(5.0),
        ),
    ]
}
