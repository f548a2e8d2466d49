//! Guards against speeds that are not learned, that momentary slowdowns change, or that a VM which has started does not
//! get from others.

mod common;

use std::time::Duration;

use common::{engine, ms, pool, prompt, request};
use lw_place::{Ended, Learned, LearnedCosts, Load, Prompt, Segment, UpstreamPool};

/// Sends `requests` long prompts to each engine alone, and lets `e2` take twice the time of `e1`.
fn learn(pool: &mut UpstreamPool, requests: u64, slowness_percent: u32) -> u64 {
    let mut at = 0;
    for id in 0..requests {
        for (engine_id, prefill_ms) in [("e1", 200), ("e2", 400)] {
            let segments = vec![Segment { id: 1_000 + id * 2, tokens: 17_000 }];
            let prompt = Prompt { segments, ..prompt("m") };
            let only =
                lw_place::PlacementRequest { returns_to: Some(engine_id), ..request(&prompt) };
            let placement = pool.place(ms(at), &only).unwrap();
            let (attempt, _) = pool.record_sent(ms(at), &placement, Some(&prompt));
            let load = Load { running: 1, waiting: 0, slots: 32, slowness_percent };
            pool.on_load(ms(at + prefill_ms), engine_id, load);
            pool.record_started(ms(at + prefill_ms), engine_id, attempt);
            pool.record_ended(ms(at + prefill_ms + 160), engine_id, attempt, Ended::Complete);
            at += 1_000;
        }
    }
    at
}

fn two_engines() -> UpstreamPool {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    pool.put(&engine("e2", "m", 1));
    pool
}

fn ratio(pool: &UpstreamPool, at: u64) -> f64 {
    let learned = pool.learned(ms(at)).unwrap();
    learned.speeds[1].1.ratio / learned.speeds[0].1.ratio
}

#[test]
fn lasting_speeds_are_learned() {
    let mut pool = two_engines();
    let end = learn(&mut pool, 20, 100);
    assert!((1.7..2.2).contains(&ratio(&pool, end)), "{}", ratio(&pool, end));
    let preferred = pool.place(ms(end + 5_000), &request(&prompt("m"))).unwrap();
    assert_eq!(preferred.upstream.id, "e1");
    let (p50, p95) = pool.estimate_errors().unwrap();
    assert!(p50 > 0.5 && p50 < 2.0 && p95 >= p50, "{p50} {p95}");
}

/// Guards against an idle engine that counts as slow forever, since it gets no requests that would show its speed.
#[test]
fn speeds_of_idle_engines_decay_to_the_usual() {
    let mut pool = two_engines();
    let end = learn(&mut pool, 20, 100);
    let new = Prompt { segments: vec![Segment { id: 1, tokens: 17_000 }], ..prompt("m") };
    // The expected time at `e2` as a multiple of that at `e1`.
    let ratio = |pool: &mut UpstreamPool, after_s: u64| {
        let now = ms(end + after_s * 1_000);
        pool.decay_speeds(now);
        let [e1, e2] = ["e1", "e2"].map(|id| {
            let only = lw_place::PlacementRequest { returns_to: Some(id), ..request(&new) };
            pool.place(now, &only).unwrap().expected_latency.as_secs_f64()
        });
        e2 / e1
    };
    let ratios = [0, 60, 900, 3_600].map(|after_s| ratio(&mut pool, after_s));
    assert!(ratios[0] > 1.5, "{ratios:?}");
    assert!(ratios[1] > ratios[0] * 0.95, "one minute changes little: {ratios:?}");
    assert!(ratios[2] < 1.5 && ratios[2] > 1.1, "{ratios:?}");
    assert!(ratios[3] < 1.05, "{ratios:?}");
}

#[test]
fn momentary_slowdowns_are_not_learned() {
    let mut pool = two_engines();
    learn(&mut pool, 20, 250);
    assert_eq!(pool.learned(ms(40_000)), None);
}

/// Guards against a VM that starts without the speeds which the others know, and against invalid values in a message.
#[test]
fn a_vm_that_starts_adopts_learned_speeds() {
    let mut old = two_engines();
    let end = learn(&mut old, 20, 100);
    let learned = old.learned(ms(end)).unwrap();
    let mut new = two_engines();
    assert_eq!(new.adopt(ms(0), &learned), 2);
    assert!((ratio(&new, 0) - ratio(&old, end)).abs() < 0.01);
    assert_eq!(new.place(ms(1), &request(&prompt("m"))).unwrap().upstream.id, "e1");
    assert_eq!(new.adopt(ms(1), &learned), 0, "no better than its own");
    for ratio in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
        let invalid = Learned { ratio, weight: 1e9, age: Duration::ZERO };
        let speeds = vec![("e1".to_owned(), invalid)];
        assert_eq!(new.adopt(ms(2), &LearnedCosts { model: vec![invalid; 9], speeds }), 0);
    }
}

/// Guards against callers that expect answers of four times the length, so that engines seem to be busy.
#[test]
fn expected_lengths_are_corrected_by_kind() {
    let mut pool = two_engines();
    let long = Prompt { output_tokens: 240, kind: 5, ..prompt("m") };
    for id in 0..20 {
        let placement = pool.place(ms(id * 1_000), &request(&long)).unwrap();
        let upstream = placement.upstream.id.clone();
        let (attempt, _) = pool.record_sent(ms(id * 1_000), &placement, Some(&long));
        pool.record_started(ms(id * 1_000 + 200), &upstream, attempt);
        pool.record_output(&upstream, attempt, 10);
        pool.record_ended(ms(id * 1_000 + 600), &upstream, attempt, Ended::Complete);
    }
    let announced = |pool: &mut UpstreamPool, prompt: &Prompt| {
        let placement = pool.place(ms(30_000), &request(prompt)).unwrap();
        pool.record_sent(ms(30_000), &placement, Some(prompt)).1.unwrap().output_tokens
    };
    assert!((55..=65).contains(&announced(&mut pool, &long)), "10 events of 6 tokens");
    let unknown = Prompt { output_tokens: 0, ..long.clone() };
    assert!((55..=65).contains(&announced(&mut pool, &unknown)), "a missing length");
    let other = Prompt { kind: 6, ..long };
    assert_eq!(announced(&mut pool, &other), 240);
}
