//! Guards against returned grants that count less than they cost, and against ones that give back what the bucket would have
//! lost at its capacity.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use lw_limit::quota::{
    Share,
    holder::{Claim, Holder, Reply, Return},
};
use lw_types::prelude::*;

const CAPACITY: f64 = 10_000.0;
const DEBT: f64 = 30_000.0;
/// Units a second.
const RATE: f64 = 10_000.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the holder of a full bucket.
fn full() -> (Holder, Now) {
    let mut holder = Holder::default();
    let share = Share { slots: 2, rate: RATE, capacity: CAPACITY, debt: DEBT, lenient_max: 0.0 };
    holder.configure(ms(0), 1, HashMap::from([("station".to_owned(), share)]));
    holder.set_valid_until(Now::MAX);
    holder.take(ms(0), 0, 1, BTreeMap::new());
    (holder, ms(20_000))
}

/// Asks for a grant, and returns the level afterwards.
fn ask(holder: &mut Holder, now: Now, number: u64, cost: u64) -> f64 {
    let claim = Claim { slot: 0, number, workspace: "station".to_owned(), cost, config: 1 };
    match holder.decide(now, &claim) {
        Reply::Granted { level } | Reply::Wait { level, .. } => level,
        Reply::NotHolder => unreachable!("it holds the slot"),
    }
}

fn give_back(holder: &mut Holder, now: Now, number: u64, amount: u64) {
    holder.take_back(now, &Return { slot: 0, number, amount });
}

fn assert_level(holder: &mut Holder, now: Now, expected: f64) {
    assert_close(ask(holder, now, u64::MAX, 1_000_000), expected);
}

fn assert_close(level: f64, expected: f64) {
    assert!((level - expected).abs() < 0.01, "{level} instead of {expected}");
}

#[test]
fn a_grant_of_a_full_bucket_counts_in_full_until_the_bucket_is_full_again() {
    for (after, expected) in [(0, CAPACITY), (500, CAPACITY), (900, CAPACITY)] {
        let (mut holder, now) = full();
        assert_close(ask(&mut holder, now, 1, 20_000), -10_000.0);
        give_back(&mut holder, now + ms(after), 1, 20_000);
        assert_level(&mut holder, now + ms(after), expected);
    }
    let (mut holder, now) = full();
    ask(&mut holder, now, 1, 5_000);
    // Without the first grant, the bucket would have been full all the time until the second one.
    assert_close(ask(&mut holder, now + ms(500), 2, 8_000), 2_000.0);
    give_back(&mut holder, now + ms(600), 1, 5_000);
    assert_level(&mut holder, now + ms(600), 3_000.0);
}

#[test]
fn grants_that_are_returned_together_count_no_more_than_the_capacity() {
    for order in [[1, 2], [2, 1]] {
        let (mut holder, now) = full();
        ask(&mut holder, now, 1, 5_000);
        ask(&mut holder, now, 2, 4_999);
        // Its level before is 8,001: 1,999 of the two grants would not have been lost.
        assert_close(ask(&mut holder, now + ms(800), 3, 8_000), 1.0);
        for number in order {
            give_back(&mut holder, now + ms(900), number, 5_000);
        }
        assert_level(&mut holder, now + ms(900), 1_000.0 + CAPACITY - 8_000.0);
    }
}

#[test]
fn a_grant_is_returned_once_and_for_a_bounded_time() {
    let (mut holder, now) = full();
    ask(&mut holder, now, 1, 20_000);
    give_back(&mut holder, now, 1, 1_000);
    give_back(&mut holder, now, 1, 1_000);
    assert_level(&mut holder, now, -9_000.0);
    let (mut holder, now) = full();
    ask(&mut holder, now, 1, 30_000);
    give_back(&mut holder, now + ms(1_001), 1, 30_000);
    assert_level(&mut holder, now + ms(1_001), -20_000.0 + 10_010.0);
}
