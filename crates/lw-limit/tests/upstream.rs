//! Guards against limits of upstreams that are lifted by outdated answers, kept after their end, or exceeded by what was
//! saved up.

use std::time::Duration;

use lw_limit::upstream::{Evidence, FleetSize, Limiter, Opening, Origin, Position};
use lw_types::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn evidence(limit: impl Into<Option<f64>>, sent_ms: u64, received_ms: u64) -> Evidence {
    Evidence { limit: limit.into(), sent_at: ms(sent_ms), received_at: ms(received_ms) }
}

/// Returns a limiter of the only VM of its fleet, for an answer that was received at 100 ms.
fn limiter(limit: f64, origin: Origin) -> Limiter {
    let mut limiter = Limiter::new(ms(100), evidence(limit, 90, 100), origin);
    limiter.set_position(ms(100), Position { rank: 0, fleet: 1 }, false);
    limiter
}

/// Returns how many requests may be sent at this time without a wait, at most a thousand.
fn open_now(limiter: &mut Limiter, now: Now) -> usize {
    let is_open = |limiter: &Limiter| limiter.opening(now) == Opening::At(now);
    (0..1_000).take_while(|_| is_open(limiter) && limiter.reserve(now).is_some()).count()
}

#[test]
fn an_answer_to_an_earlier_request_does_not_lift_a_limit() {
    for limit in [None, Some(9.0)] {
        let mut limiter = limiter(2.0, Origin::Own);
        assert!(!limiter.observe(ms(120), evidence(limit, 95, 120), Origin::Own));
        assert_eq!(limiter.limit(), Some(2.0));
        assert!(limiter.observe(ms(140), evidence(limit, 101, 140), Origin::Own));
        assert_eq!(limiter.limit(), limit);
    }
}

#[test]
fn a_lower_limit_is_kept_at_once_and_an_older_one_is_not() {
    let mut limiter = limiter(5.0, Origin::Own);
    assert!(limiter.observe(ms(120), evidence(2.0, 50, 120), Origin::Own));
    assert!(limiter.observe(ms(900), evidence(None, 800, 900), Origin::Own));
    // Another VM repeats what it received before that.
    assert!(!limiter.observe(ms(1_000), evidence(2.0, 20, 700), Origin::Other));
    assert_eq!(limiter.limit(), None);
    assert_eq!(open_now(&mut limiter, ms(1_000)), 1_000);
}

#[test]
fn an_end_that_another_vm_reports_is_tried_with_one_request() {
    let mut limiter = limiter(2.0, Origin::Other);
    assert!(limiter.observe(ms(5_000), evidence(None, 4_000, 4_990), Origin::Other));
    let now = ms(5_000);
    assert!(limiter.reserve(now).is_some_and(|turn| turn.at <= now));
    assert_eq!(limiter.opening(now), Opening::Closed);
    let mut again = evidence(2.0, 5_000, 5_050);
    assert!(limiter.observe(ms(5_050), again, Origin::Own), "the limit holds after all");
    again.limit = None;
    assert!(!limiter.observe(ms(5_051), again, Origin::Own), "this answer is not newer");
    assert!(limiter.observe(ms(5_200), evidence(None, 5_100, 5_200), Origin::Own));
    assert_eq!(limiter.opening(ms(5_200)), Opening::At(ms(5_200)));
}

#[test]
fn what_was_saved_up_or_reserved_under_a_higher_limit_does_not_count_under_a_lower_one() {
    let mut limiter = limiter(20.0, Origin::Own);
    let turns: Vec<_> = (0..40).filter_map(|_| limiter.reserve(ms(20_000))).collect();
    let waiting = turns.iter().filter(|turn| turn.at > ms(20_000)).count();
    assert!(waiting > 10, "{waiting}");
    limiter.observe(ms(20_000), evidence(1.0, 19_990, 20_000), Origin::Own);
    assert!(turns.iter().all(|turn| !limiter.is_valid(turn.at, *turn)));
    assert!(open_now(&mut limiter, ms(20_000)) <= 1);
}

#[test]
fn a_limit_that_falls_with_each_answer_does_not_stop_all_requests() {
    let mut limiter = limiter(20.0, Origin::Own);
    let mut sent = 0;
    for n in 0..100_u32 {
        let now = ms(200 + 100 * u64::from(n));
        let limit = 20.0 - f64::from(n) / 100.0;
        limiter.observe(now, evidence(limit, 150 + 100 * u64::from(n), 200), Origin::Own);
        sent += open_now(&mut limiter, now);
    }
    assert!(sent > 100, "{sent} of 180 in 10 s");
}

/// Guards against arithmetic that fails on limits far beyond any load.
#[test]
fn a_limit_that_is_far_too_large_stops_nothing() {
    let mut limiter = limiter(1e300, Origin::Own);
    assert_eq!(open_now(&mut limiter, ms(1_000)), 1_000);
    limiter.observe(ms(1_100), evidence(2.0, 1_050, 1_100), Origin::Own);
    limiter.observe(ms(1_300), evidence(1e300, 1_200, 1_300), Origin::Own);
    assert_eq!(limiter.limit(), Some(1e300));
    assert_eq!(open_now(&mut limiter, ms(5_000)), 1_000);
}

/// Guards against a limit near zero that never ends, since no answer shows its end.
#[test]
fn a_limit_of_zero_leaves_a_request_now_and_then() {
    let mut limiter = limiter(0.0, Origin::Own);
    let sent = (0..600).map(|n| open_now(&mut limiter, ms(100 + 100 * n))).sum::<usize>();
    assert!((3..=9).contains(&sent), "{sent} in 60 s");
}

#[test]
fn a_vm_without_a_share_sends_nothing_until_its_knowledge_is_old() {
    let mut limiter = limiter(2.0, Origin::Other);
    limiter.set_position(ms(100), Position { rank: 7, fleet: 9 }, false);
    assert_eq!(limiter.opening(ms(9_000)), Opening::Closed);
    // The VMs before it find out first.
    assert_eq!(limiter.opening(ms(16_000)), Opening::Closed);
    assert_eq!(limiter.opening(ms(18_000)), Opening::At(ms(18_000)));
    assert!(limiter.reserve(ms(18_000)).is_some());
    assert_eq!(limiter.opening(ms(18_000)), Opening::Closed);
}

#[test]
fn a_turn_that_was_missed_is_void() {
    let mut limiter = limiter(2.0, Origin::Own);
    let turn = limiter.reserve(ms(100)).unwrap();
    assert!(limiter.is_valid(turn.at, turn));
    assert!(!limiter.is_valid(turn.at + ms(3_000), turn), "the VM was suspended meanwhile");
}

#[test]
fn the_end_of_a_limit_is_announced_more_than_once() {
    let mut limiter = limiter(2.0, Origin::Own);
    assert_eq!(limiter.announcement(ms(110)).and_then(|news| news.limit), Some(2.0));
    limiter.observe(ms(500), evidence(None, 400, 500), Origin::Own);
    let news = (5..100).filter_map(|n| limiter.announcement(ms(100 * n)));
    let limits: Vec<_> = news.map(|news| news.limit).collect();
    assert_eq!(limits, [None, None, None]);
    assert!(limiter.is_obsolete(ms(11_000)));
}

#[test]
fn shares_stay_while_vms_restart_in_turn() {
    let mut size = FleetSize::default();
    assert_eq!(size.record(ms(0), 9), 9);
    for at in 1..20 {
        assert_eq!(size.record(ms(500 * at), 8), 9);
    }
    size.record(ms(10_000), 8);
    assert_eq!(size.record(ms(20_000), 8), 8);
}

/// Guards against a turn that is used by its lender too, long after it was lent, or under another limit.
#[test]
fn a_lent_turn_is_used_once_and_soon() {
    let mut lender = limiter(2.0, Origin::Own);
    let at = ms(60_000);
    let saved = (0..100).take_while(|_| lender.lend_turn(at)).count();
    assert_eq!(saved, 5, "two and three, all saved up");
    assert_eq!(open_now(&mut lender, at), 0);
    let mut borrower = limiter(2.0, Origin::Other);
    borrower.set_position(ms(100), Position { rank: 7, fleet: 9 }, false);
    for nonce in 1..=3 {
        borrower.ask_for_turn(ms(1_000), nonce);
    }
    assert!(borrower.accept_turn(ms(1_020), 1));
    assert!(!borrower.accept_turn(ms(1_021), 1), "a copy of the message");
    assert!(!borrower.accept_turn(ms(1_021), 9), "not asked for");
    assert!(!borrower.accept_turn(ms(1_600), 2), "too late");
    assert_eq!(open_now(&mut borrower, ms(1_400)), 1);
    assert_eq!(open_now(&mut borrower, ms(1_400)), 0);
    borrower.ask_for_turn(ms(2_000), 4);
    assert!(borrower.accept_turn(ms(2_010), 4));
    borrower.observe(ms(2_020), evidence(1.0, 1_900, 2_020), Origin::Own);
    assert_eq!(open_now(&mut borrower, ms(2_030)), 0);
}
