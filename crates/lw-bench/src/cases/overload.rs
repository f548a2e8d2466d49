//! Target 3: twice the capacity, refusals, shares of workspaces, and the end of the peak.

use crate::{
    plot,
    scenario::{WARM, capacity, each_seed, largest, malabar, smallest},
    sim::{
        Micros, SECOND, count,
        outcome::Run,
        policy::Policy,
        seconds,
        workload::{DEMAND, Phase, Shape, arrivals},
        world::run,
    },
    summary::{Bound, Row},
};

const PEAK: Micros = 10 * SECOND;
const PEAK_END: Micros = 45 * SECOND;
const UNTIL: Micros = 60 * SECOND;
/// Part of the answers in time that counts as normal service.
const NORMAL: f64 = 0.95;

struct Figures {
    goodput: f64,
    most: f64,
    baseline: f64,
    told_late: f64,
    shortest_wait: f64,
    under_share_refused: f64,
    back_to_normal: f64,
    amplification: f64,
    curves: Vec<(&'static str, Vec<(f64, f64)>)>,
}

fn measure(seed: u64) -> Figures {
    let rate = capacity(seed);
    let phases = [
        Phase { from: 0, rate: 0.5 * rate, era: 0 },
        Phase { from: PEAK, rate: 2.0 * rate, era: 0 },
        Phase { from: PEAK_END, rate: 0.5 * rate, era: 0 },
    ];
    let all = arrivals(Shape::Malabar, &phases, UNTIL, seed);
    let of = |policy| run(malabar(policy, all.clone(), UNTIL, seed));
    let goodput = |run: &Run| run.goodput(WARM, PEAK_END);
    let own = of(Policy::router());
    let greedy = of(Policy::Greedy);
    let references = [&greedy, &of(Policy::HashRefusing)];
    let baselines: Vec<Run> = Policy::baselines().into_iter().map(|(_, p)| of(p)).collect();
    let peak = || own.between(WARM, PEAK_END);
    let offered = count(peak().count());
    Figures {
        goodput: goodput(&own),
        most: largest(&references, |run| goodput(run)),
        baseline: largest(&baselines, goodput),
        told_late: count(peak().filter(|s| s.cancelled).count()) / offered,
        shortest_wait: own.refusals.iter().map(|r| seconds(r.1)).fold(f64::MAX, f64::min),
        under_share_refused: under_share_refused(&own, rate),
        back_to_normal: back_to_normal(&own),
        amplification: count(own.sent.len())
            / count(own.served.iter().filter(|s| s.attempts > 0).count()),
        curves: vec![("router", goodput_curve(&own)), ("greedy", goodput_curve(&greedy))],
    }
}

/// Part refused of the requests of workspaces whose demand is below an equal share of the capacity.
fn under_share_refused(run: &Run, capacity: f64) -> f64 {
    let share = capacity / count(DEMAND.len());
    let total: f64 = DEMAND.iter().sum();
    let is_under = |workspace: usize| DEMAND[workspace] / total * 2.0 * capacity < share;
    let under = || run.between(WARM, PEAK_END).filter(|s| is_under(s.workspace));
    count(under().filter(|s| s.refused > 0 || s.cancelled).count()) / count(under().count().max(1))
}

/// Seconds after the peak until 1 s windows of new requests are answered in time.
fn back_to_normal(run: &Run) -> f64 {
    let step = SECOND / 4;
    let normal =
        |i: u64| run.part_in_time(PEAK_END + i * step, PEAK_END + i * step + SECOND) >= NORMAL;
    (0..40).find(|&i| (i..i + 8).all(normal)).map_or(15.0, |i| seconds(i * step))
}

fn goodput_curve(run: &Run) -> Vec<(f64, f64)> {
    let at = |s: u64| (seconds(s * SECOND), run.goodput(s * SECOND, (s + 1) * SECOND));
    (0..UNTIL / SECOND - 2).map(at).collect()
}

/// The rows of target 3.
#[must_use]
pub fn rows() -> Vec<Row> {
    let all = each_seed(measure);
    plot::lines(
        "overload.svg",
        "Answers in time around a peak of 2 x capacity (seed 11)",
        ("seconds", "answers/s"),
        &all[0].curves,
    );
    let row = Row::of("overload");
    vec![
        row(
            "answers in time against the best reference with full sight",
            "ratio",
            Some(smallest(&all, |f| f.baseline / f.most)),
            smallest(&all, |f| f.goodput / f.most),
            Bound::AtLeast(0.95),
        ),
        row(
            "answers in time",
            "1/s",
            Some(smallest(&all, |f| f.baseline)),
            smallest(&all, |f| f.goodput),
            Bound::None,
        ),
        row(
            "admitted and then cancelled at the deadline",
            "ratio",
            None,
            largest(&all, |f| f.told_late),
            Bound::None,
        ),
        row(
            "shortest Retry-After",
            "s",
            None,
            smallest(&all, |f| f.shortest_wait),
            Bound::AtLeast(0.001),
        ),
        row(
            "refused or late of workspaces under their share",
            "ratio",
            None,
            largest(&all, |f| f.under_share_refused),
            Bound::AtMost(0.0),
        ),
        row(
            "normal service after the peak",
            "s",
            None,
            largest(&all, |f| f.back_to_normal),
            Bound::AtMost(2.0),
        ),
        row(
            "attempts for each request sent",
            "ratio",
            None,
            largest(&all, |f| f.amplification),
            Bound::AtMost(1.1),
        ),
    ]
}
