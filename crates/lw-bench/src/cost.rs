//! Wall-clock time of routing decisions. It varies between runs, so it is not part of the summary.

use std::time::{Duration, Instant};

use fastrand::Rng;
use lw_route::{CacheChange, CacheEvent, Engine, Event, Fingerprint, Options, Request, Router};

use crate::{
    sim::{results::quantile, routing::engine_id, to_f64},
    summary::{Bound, Row},
};

const WORKSPACE_COUNT: usize = 1_500;
const INDEX_ENTRIES: usize = 400_000;
const DECISION_COUNT: usize = 20_000;
/// Complete blocks of a prompt.
const PROMPT_BLOCKS: usize = 16;
/// Target for one decision.
const DECISION_MAX_US: f64 = 50.0;

/// Measures decisions over 16 engines, as of one node, and over 500, as of a failure domain in two years.
#[must_use]
pub fn rows() -> Vec<Row> {
    [16, 500].into_iter().flat_map(measure).collect()
}

fn measure(engines: usize) -> Vec<Row> {
    let mut rng = Rng::with_seed(5);
    let prompts: Vec<Request> =
        (0..INDEX_ENTRIES / PROMPT_BLOCKS).map(|n| request(n, &mut rng)).collect();
    let mut router = filled_router(engines, &prompts);
    let mut times_us = Vec::with_capacity(DECISION_COUNT);
    for n in 0..DECISION_COUNT {
        let now = Duration::from_secs(10) + Duration::from_micros(n as u64 * 15_000);
        let request = &prompts[rng.usize(0..prompts.len())];
        let start = Instant::now();
        std::hint::black_box(router.decide(now, request));
        times_us.push(start.elapsed().as_secs_f64() * 1e6);
    }
    let mean_us = times_us.iter().sum::<f64>() / to_f64(times_us.len());
    let row = |measure: String, value, bound| Row {
        case: "decision cost",
        measure,
        unit: "us",
        baseline: None,
        value,
        bound,
    };
    let entries = router.index_entries();
    vec![
        row(
            format!("mean, {engines} engines, {entries} entries"),
            mean_us,
            Bound::AtMost(DECISION_MAX_US),
        ),
        row(
            format!("99 in 100, {engines} engines, {entries} entries"),
            quantile(times_us, 0.99),
            Bound::AtMost(DECISION_MAX_US),
        ),
    ]
}

fn request(n: usize, rng: &mut Rng) -> Request {
    let mut request = Request { id: format!("r{n}"), ..Request::default() };
    request.role = "assistant".into();
    request.scope.workspace = format!("workspace-{}", n % WORKSPACE_COUNT);
    request.deadline = Duration::from_millis(1700);
    let blocks = (0..PROMPT_BLOCKS).map(|_| rng.u64(..)).collect();
    request.fingerprint = Fingerprint { salt: 0, blocks, tokens: 16_500 };
    request
}

/// Returns a router whose index has all blocks of `prompts`, distributed over the engines.
fn filled_router(engines: usize, prompts: &[Request]) -> Router {
    let mut router = Router::new(Options::default());
    let list: Vec<Engine> = (0..engines)
        .map(|n| Engine { id: engine_id(n), role: "assistant".into(), ..Engine::default() })
        .collect();
    router.set_engines(Duration::ZERO, &list);
    let mut seqs = vec![0; engines];
    for (n, prompt) in prompts.iter().enumerate() {
        for &block in &prompt.fingerprint.blocks {
            let engine = n % engines;
            seqs[engine] += 1;
            let change = CacheChange::Stored(block);
            let event = CacheEvent { incarnation: 1, seq: seqs[engine], change };
            router.record(Duration::ZERO, Event::Cache { engine: &engine_id(engine), event });
        }
    }
    router
}
