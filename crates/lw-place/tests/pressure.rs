//! Guards against admission that refuses although engines have room, or does not see that they have none.

mod common;

use common::{engine, ms, pool, prompt, request};
use lw_limit::admission::overload::Pressure;
use lw_place::{Learned, LearnedCosts, Load, Prompt, Segment, UpstreamPool};

fn pool_with_loads(loads: &[(u32, u32)]) -> UpstreamPool {
    let mut pool = pool();
    for (n, (running, waiting)) in loads.iter().enumerate() {
        let id = format!("e{n}");
        pool.put(&engine(&id, "m", 1));
        let load = Load { running: *running, waiting: *waiting, slots: 32, slowness_percent: 100 };
        pool.on_load(ms(1_000), &id, load);
    }
    pool
}

/// Guards against pressure where less than half of the slots are taken, and against none where requests wait.
#[test]
fn pressure_is_seen_in_taken_slots_and_in_waiting_requests() {
    let has_room = |loads: &[(u32, u32)], now| {
        pool_with_loads(loads).pressure(ms(now)).expect("a service with engines").has_room()
    };
    assert!(has_room(&[(0, 0), (31, 0)], 1_000), "31 of 64 slots are taken");
    assert!(!has_room(&[(0, 0), (32, 0)], 1_000), "32 of 64 slots are taken");
    assert!(!has_room(&[(1, 0), (1, 1)], 1_000), "one request waits");
    assert!(has_room(&[(32, 9), (32, 9)], 2_100), "load reports that are too old still count");
}

/// Guards against engines that seem to have room since this VM has not heard of them: few requests of its own in a large
/// fleet, while others fill the engines with short ones.
#[test]
fn engines_with_a_current_report_stand_for_the_others() {
    let mut pool = pool_with_loads(&[(30, 2); 4]);
    for n in 0..36 {
        pool.put(&engine(&format!("other-{n}"), "m", 1));
    }
    let pressure = pool.pressure(ms(1_100)).unwrap();
    let Pressure { engines, slots, taken, waiting, .. } = pressure;
    assert_eq!((engines, slots, taken, waiting), (40, 40 * 32, 40 * 30, 40 * 2));
    assert!(!pressure.has_room());
}

/// Guards against engines that count although they may not be used.
#[test]
fn engines_that_may_not_be_used_do_not_count() {
    let mut pool = pool_with_loads(&[(0, 0), (32, 0), (32, 0)]);
    pool.deprioritize("e0", ms(5_000));
    let pressure = pool.pressure(ms(1_000)).unwrap();
    assert_eq!((pressure.engines, pressure.slots, pressure.taken), (2, 64, 64));
    assert_eq!(pool.pressure(ms(6_000)).unwrap().engines, 3);
}

/// Guards against a wait that shows only where all engines are busy, and against own sends that do not count.
#[test]
fn long_requests_that_wait_for_each_other_are_pressure() {
    let mut pool = pool_with_loads(&[(0, 0)]);
    for sent in 0..3 {
        let own = Segment { id: 10 + sent, tokens: 4_000 };
        let segments = vec![Segment { id: 1, tokens: 13_000 }, own];
        let long = Prompt { segments, ..prompt("m") };
        let placement = pool.place(ms(1_000), &request(&long)).unwrap();
        pool.record_sent(ms(1_000), &placement, Some(&long));
        let pressure = pool.pressure(ms(1_000)).unwrap();
        assert_eq!(pressure.has_room(), sent == 0, "{pressure:?}");
    }
    let pressure = pool.pressure(ms(1_000)).unwrap();
    // A shared segment of 13,000 tokens and 4,000 tokens of each of the three requests.
    assert!(pressure.wait > ms(100), "{pressure:?}");
}

/// Guards against the cost of a request by its whole prompt, most of which is cached, and against a cost without decoding.
#[test]
fn expected_work_is_that_of_the_own_tokens_and_of_a_part_of_the_engine() {
    let mut pool = pool_with_loads(&[(0, 0), (0, 0)]);
    // 4,000 tokens at 75 tokens/ms, and 20 tokens of 8 ms beside 31 other requests.
    let is_expected = |work: f64| (work - (4_000.0 / 75.0 + 160.0 / 32.0)).abs() < 0.01;
    let before = pool.expected_work_ms(&prompt("m"));
    assert!(is_expected(before), "before the first update: {before}");
    pool.update_mean_speed();
    let work = pool.expected_work_ms(&prompt("m"));
    assert!(is_expected(work), "{work}");
}

/// Guards against expected work that iterates over all engines for each request, and against a mean that misses engines or
/// their slots.
#[test]
fn expected_work_uses_the_mean_speed_of_the_last_update() {
    let mut pool = pool_with_loads(&[(0, 0), (0, 0)]);
    pool.update_mean_speed();
    let usual = pool.expected_work_ms(&prompt("m"));
    // `e1` takes three times the usual time, and has half of the slots.
    let slow = Learned { ratio: 3.0, weight: 1e9, age: ms(0) };
    pool.adopt(ms(0), &LearnedCosts { model: vec![], speeds: vec![("e1".into(), slow)] });
    let load = Load { running: 0, waiting: 0, slots: 16, slowness_percent: 100 };
    pool.on_load(ms(0), "e1", load);
    assert!((pool.expected_work_ms(&prompt("m")) - usual).abs() < 0.01, "before the update");
    pool.update_mean_speed();
    let work = pool.expected_work_ms(&prompt("m"));
    // 40 samples count, beside two assumed ones of the usual speed.
    let factor = 3.0_f64.powf(40.0 / 42.0);
    let expected = 4_000.0 / 75.0 * f64::midpoint(1.0, factor)
        + 160.0 * f64::midpoint(1.0 / 32.0, factor / 16.0);
    assert!((work - expected).abs() < 0.01, "{work}, expected {expected}");
}
