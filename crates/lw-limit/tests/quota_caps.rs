//! Guards against caps that change while buckets have debts.

use std::{collections::BTreeMap, time::Duration};

use lw_limit::quota::{
    Share,
    holder::{Claim, Holder, Reply},
    requester::Ask,
    slots_of,
};
use lw_types::prelude::*;

const HIGH: Share =
    Share { slots: 2, rate: 10_000.0, capacity: 10_000.0, debt: 80_000.0, lenient_max: 0.0 };
const LOW: Share =
    Share { slots: 2, rate: 1_000.0, capacity: 1_000.0, debt: 8_000.0, lenient_max: 0.0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The holder of one bucket, as the configurations change.
struct Fixture {
    holder: Holder,
    now: Now,
    config: ConfigVersion,
}

impl Fixture {
    /// Returns the holder of a bucket with the greatest debt.
    fn indebted() -> Self {
        let mut fixture = Self { holder: Holder::default(), now: ms(0), config: 0 };
        fixture.configure(Some(HIGH));
        fixture.holder.set_valid_until(Now::MAX);
        fixture.holder.take(ms(0), 0, 1, BTreeMap::new());
        fixture.now = ms(20_000);
        assert!(matches!(fixture.ask(90_000), Reply::Granted { .. }));
        fixture
    }

    fn configure(&mut self, share: Option<Share>) {
        self.config += 1;
        let shares = share.map(|share| ("station".to_owned(), share)).into_iter().collect();
        self.holder.configure(self.now, self.config, shares);
    }

    fn ask(&mut self, cost: u64) -> Reply {
        let (workspace, number) = ("station".to_owned(), fastrand::u64(..));
        let claim = Claim { slot: 0, number, workspace, cost, config: self.config };
        self.holder.decide(self.now, &claim)
    }

    fn assert_level(&mut self, expected: f64) {
        let Reply::Wait { level, .. } = self.ask(1_000_000) else {
            unreachable!("a cost above the capacity is not granted");
        };
        assert!((level - expected).abs() < 0.01, "{level} instead of {expected}");
    }
}

/// Guards against a workspace that is refused for the time in which a lower rate pays off debts that a higher cap allowed.
#[test]
fn a_lower_cap_limits_the_debt() {
    let mut fixture = Fixture::indebted();
    fixture.assert_level(-80_000.0);
    fixture.configure(Some(LOW));
    fixture.assert_level(-8_000.0);
    fixture.now += ms(8_500);
    assert!(matches!(fixture.ask(8_400), Reply::Granted { .. }));
}

/// Guards against debts that are forgiven by each cap that falls and rises again.
#[test]
fn a_cap_that_falls_and_rises_again_grants_nothing_twice() {
    let mut fixture = Fixture::indebted();
    fixture.configure(Some(LOW));
    fixture.now += ms(2_000);
    fixture.configure(Some(HIGH));
    fixture.assert_level(-78_000.0);
    // Also if the slot changes holders in between.
    fixture.configure(Some(LOW));
    let (_, levels) = fixture.holder.release(fixture.now, 0).expect("it holds the slot");
    fixture.holder.take(fixture.now, 0, 2, levels);
    fixture.assert_level(-8_000.0);
    fixture.configure(Some(HIGH));
    fixture.assert_level(-78_000.0);
}

/// Guards against buckets that are kept for workspaces that have no cap any more.
#[test]
fn the_buckets_of_caps_that_were_removed_are_dropped() {
    let mut fixture = Fixture::indebted();
    fixture.configure(None);
    let (_, levels) = fixture.holder.release(fixture.now, 0).expect("it holds the slot");
    assert_eq!(levels, BTreeMap::new());
}

/// Guards against a further attempt that is not charged since the first slot has no holder.
#[test]
fn a_further_attempt_can_be_charged_to_each_slot() {
    let ask = Ask::new("station", slots_of("station"), 700, 1, HIGH);
    let charges: Vec<_> = ask.charges(3).map(|claim| (claim.slot, claim.cost)).collect();
    assert_eq!(charges, slots_of("station").map(|slot| (slot, 700)));
}
