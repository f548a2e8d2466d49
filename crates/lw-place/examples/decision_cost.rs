//! Measures the time of one placement, and of the expected work that admission computes for each arriving request, for
//! several numbers of engines, each with ten long requests in flight.
//!
//! `cargo run --release -p lw-place --example decision_cost`

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use common::{engine, ms};
use lw_place::{PlacementRequest, Prompt, Segment, UpstreamPool};

/// Requests in flight at each engine, half of them with a first event.
const REQUESTS_PER_ENGINE: u64 = 10;
/// Placements that are measured.
const PLACEMENTS: u64 = 2_000;

fn prompt(id: u64) -> Prompt {
    let segments =
        vec![Segment { id, tokens: 13_000 }, Segment { id: id + 1_000_000, tokens: 4_000 }];
    Prompt { segments, ..common::prompt("m") }
}

fn request(prompt: &Prompt) -> PlacementRequest<'_> {
    PlacementRequest { peers: 80, max_wait: Duration::MAX, ..common::request(prompt) }
}

fn pool(engines: u64) -> UpstreamPool {
    let mut pool = UpstreamPool::new("a".into());
    pool.configure(Some(common::spec()));
    for i in 0..engines {
        pool.put(&engine(&format!("e{i}"), "m", 1));
    }
    for id in 0..engines * REQUESTS_PER_ENGINE {
        let prompt = prompt(id);
        if let Ok(placement) = pool.place(Duration::ZERO, &request(&prompt)) {
            let (attempt_id, _) = pool.record_sent(Duration::ZERO, &placement, Some(&prompt));
            if id % 2 == 0 {
                pool.record_started(ms(1), &placement.upstream.id, attempt_id);
            }
        }
    }
    pool
}

fn main() {
    println!("engines\tmean_us\tp99_us\twork_ns");
    for engines in [14, 60, 200, 500] {
        let pool = pool(engines);
        let mut times: Vec<Duration> = (0..PLACEMENTS)
            .map(|id| {
                let prompt = prompt(10_000_000 + id);
                let started = Instant::now();
                let placement = pool.place(ms(5), &request(&prompt));
                assert!(placement.is_ok(), "an engine accepts it");
                started.elapsed()
            })
            .collect();
        times.sort();
        let mean = times.iter().sum::<Duration>() / u32::try_from(times.len()).unwrap_or(u32::MAX);
        let p99 = times[times.len() * 99 / 100];
        let prompt = prompt(1);
        let started = Instant::now();
        for _ in 0..PLACEMENTS {
            black_box(pool.expected_work_ms(black_box(&prompt)));
        }
        let work = started.elapsed() / u32::try_from(PLACEMENTS).unwrap_or(u32::MAX);
        println!("{engines}\t{}\t{}\t{}", mean.as_micros(), p99.as_micros(), work.as_nanos());
    }
}
