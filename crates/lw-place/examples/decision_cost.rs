//! Measures the time of one choice by the number of engines, with ten long requests at each of them.
//!
//! `cargo run --release -p lw-place --example decision_cost`

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lw_catalog::{EngineSpec, Stage, Upstream, upstreams::LoadedModel};
use lw_place::{Ask, Fleet, Part, Prompt};

/// Requests at each engine, half of them with a first event.
const FLIGHTS: u64 = 10;
/// Choices that are measured.
const CHOICES: u64 = 2_000;

fn prompt(id: u64) -> Prompt {
    let parts = vec![Part { id, tokens: 13_000 }, Part { id: id + 1_000_000, tokens: 4_000 }];
    Prompt { model: "m".into(), parts, tokens: 17_000, output_tokens: 20, ..Prompt::default() }
}

fn ask(prompt: &Prompt) -> Ask<'_> {
    Ask {
        prompt: Some(prompt),
        spread: 7,
        tried: &[],
        peers: 80,
        left: Duration::from_secs(6),
        on_time: Duration::from_millis(500),
        patience: Duration::MAX,
        version_time: Duration::from_secs(10),
    }
}

fn fleet(engines: u64) -> Fleet {
    let mut fleet = Fleet::new("a".into());
    fleet.configure(Some(EngineSpec {
        slots: 32,
        cache_tokens: 180_000,
        token_bytes: 18_432,
        link_bits: 88e9,
        tokens_per_event: 6,
        event_calls_max: 12,
        models: vec!["m".into()],
    }));
    for i in 0..engines {
        fleet.put(&Arc::new(Upstream {
            id: format!("e{i}"),
            incarnation: 1,
            service: "s".into(),
            addr: ([10, 0, 0, 1], u16::try_from(i + 1).unwrap_or(u16::MAX)).into(),
            failure_domain: "a".into(),
            stage: Stage::Ready,
            slots: 32,
            models: vec![LoadedModel { model: "m".into(), version: 1 }],
        }));
    }
    for id in 0..engines * FLIGHTS {
        let prompt = prompt(id);
        if let Ok(choice) = fleet.choose(Duration::ZERO, &ask(&prompt)) {
            let (ticket, _) = fleet.sent(Duration::ZERO, &choice, Some(&prompt));
            if id % 2 == 0 {
                fleet.started(Duration::from_millis(1), &choice.upstream.id, ticket);
            }
        }
    }
    fleet
}

fn main() {
    println!("engines\tmean_us\tp99_us");
    for engines in [14, 60, 200, 500] {
        let fleet = fleet(engines);
        let mut times: Vec<Duration> = (0..CHOICES)
            .map(|id| {
                let prompt = prompt(10_000_000 + id);
                let begun = Instant::now();
                let chosen = fleet.choose(Duration::from_millis(5), &ask(&prompt));
                assert!(chosen.is_ok(), "an engine takes it");
                begun.elapsed()
            })
            .collect();
        times.sort();
        let mean = times.iter().sum::<Duration>() / u32::try_from(times.len()).unwrap_or(u32::MAX);
        let p99 = times[times.len() * 99 / 100];
        println!("{engines}\t{}\t{}", mean.as_micros(), p99.as_micros());
    }
}
