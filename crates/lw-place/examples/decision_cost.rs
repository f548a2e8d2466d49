//! Measures the time of one choice by the number of engines, with ten long requests at each of them.
//!
//! `cargo run --release -p lw-place --example decision_cost`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{engine, ms};
use lw_place::{Ask, Fleet, Part, Prompt};

/// Requests at each engine, half of them with a first event.
const FLIGHTS: u64 = 10;
/// Choices that are measured.
const CHOICES: u64 = 2_000;

fn prompt(id: u64) -> Prompt {
    let parts = vec![Part { id, tokens: 13_000 }, Part { id: id + 1_000_000, tokens: 4_000 }];
    Prompt { parts, ..common::prompt("m") }
}

fn ask(prompt: &Prompt) -> Ask<'_> {
    Ask { peers: 80, patience: Duration::MAX, ..common::ask(prompt) }
}

fn fleet(engines: u64) -> Fleet {
    let mut fleet = Fleet::new("a".into());
    fleet.configure(Some(common::spec()));
    for i in 0..engines {
        fleet.put(&engine(&format!("e{i}"), "m", 1));
    }
    for id in 0..engines * FLIGHTS {
        let prompt = prompt(id);
        if let Ok(choice) = fleet.choose(Duration::ZERO, &ask(&prompt)) {
            let (ticket, _) = fleet.sent(Duration::ZERO, &choice, Some(&prompt));
            if id % 2 == 0 {
                fleet.started(ms(1), &choice.upstream.id, ticket);
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
                let chosen = fleet.choose(ms(5), &ask(&prompt));
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
