//! Guards against wrong choices: leaving or wrong engines, hits of a dead incarnation, routers that disagree.

mod common;

use std::time::Duration;

use common::{candidates, engine, ms, report, request, router, scope, send, stored};
use lw_route::{
    Decision, Engine, Event, Hedge, LoadReport, LoadedVersion, PlacementReason, Request,
};
use lw_types::prelude::*;
use proptest::prelude::*;

// Failure: work goes to an upstream after it said that it leaves, whichever source said so first.
#[test]
fn a_leaving_engine_is_never_chosen() {
    let by_list = |r: &mut lw_route::Router| {
        let engines: Vec<Engine> =
            (0..3).map(|n| Engine { is_leaving: n == 0, ..engine(n) }).collect();
        r.set_engines(ms(1), &engines);
    };
    let by_report = |r: &mut lw_route::Router| {
        let report = LoadReport { is_leaving: true, ..report(1) };
        r.record(ms(1), Event::Load { engine: "engine-0", report: &report });
    };
    let by_peer = |r: &mut lw_route::Router| {
        let mut peer = router("peer", 3);
        let report = LoadReport { is_leaving: true, ..report(1) };
        peer.record(ms(1), Event::Load { engine: "engine-0", report: &report });
        let digest = peer.digest(ms(1));
        r.record(ms(1), Event::PeerDigest { digest: &digest });
    };
    for (name, tell) in [
        ("list", &by_list as &dyn Fn(&mut lw_route::Router)),
        ("report", &by_report),
        ("peer", &by_peer),
    ] {
        let mut router = router("vm", 3);
        tell(&mut router);
        for topic in 0..50 {
            let request = request(&format!("r{topic}"), scope("w", "1", "1"), topic);
            let all = candidates(&mut router, ms(2), &request);
            assert!(!all.is_empty(), "{name}");
            assert!(all.iter().all(|c| c.engine != "engine-0"), "{name}: topic {topic}");
        }
    }
}

// Failure: a request runs on weights or an adapter of another version than its own.
#[test]
fn an_engine_without_the_version_is_not_chosen() {
    let mut router = router("vm", 1);
    let loaded =
        |name: &str, version: &str| LoadedVersion { name: name.into(), version: version.into() };
    let list = vec![loaded("malayalam", "1"), loaded("radio", "1")];
    let report = LoadReport { loaded: list, ..report(1) };
    router.record(ms(1), Event::Load { engine: "engine-0", report: &report });
    let mut is_placed = |model: &str, adapter: &str| {
        !candidates(&mut router, ms(2), &request("r", scope("w", model, adapter), 1)).is_empty()
    };
    assert!(is_placed("1", "1"));
    assert!(!is_placed("2", "1"));
    assert!(!is_placed("1", "2"));
}

// Failure: after a restart of all routers every prefix moves to another engine and is recomputed.
#[test]
fn a_fresh_router_agrees_with_a_warm_one_on_the_home_engine() {
    let mut warm = router("warm", 12);
    for n in 0..200_u64 {
        let topic = u8::try_from(n % 50).unwrap_or(0);
        let request = request(&format!("r{n}"), scope("w", "1", "1"), topic);
        send(&mut warm, ms(n * 500), &request);
        warm.record(ms(n * 500 + 100), Event::FirstToken { request: &request.id, attempt: 0 });
        warm.record(ms(n * 500 + 200), Event::Finished { request: &request.id, attempt: 0 });
    }
    let mut fresh = router("fresh", 12);
    for topic in 0..50 {
        let request = request("x", scope("w", "1", "1"), topic);
        let home = |router: &mut lw_route::Router| {
            let all = candidates(router, ms(200_000), &request);
            all.into_iter().find(|c| c.reason == PlacementReason::Home).map(|c| c.engine)
        };
        assert_eq!(home(&mut warm), home(&mut fresh), "topic {topic}");
    }
}

// Failure: hits are expected of an engine that crashed, from own records, late events or peers' digests.
#[test]
fn no_hit_is_counted_across_a_crash() {
    let (mut own, mut peer) = (router("own", 1), router("peer", 1));
    for router in [&mut own, &mut peer] {
        router.record(ms(1), Event::Load { engine: "engine-0", report: &report(1) });
    }
    let request = request("r", scope("w", "1", "1"), 1);
    let cached = |r: &mut lw_route::Router, now| candidates(r, now, &request)[0].cached_tokens;
    send(&mut own, ms(2), &request);
    send(&mut peer, ms(2), &request);
    assert_eq!(cached(&mut own, ms(3)), 8000);
    own.record(ms(4), Event::Load { engine: "engine-0", report: &report(2) });
    assert_eq!(cached(&mut own, ms(5)), 0, "own record of the old incarnation");
    let event = stored(1, 9, request.fingerprint.blocks[7]);
    own.record(ms(6), Event::Cache { engine: "engine-0", event });
    assert_eq!(cached(&mut own, ms(7)), 0, "late event");
    let digest = peer.digest(ms(8));
    own.record(ms(8), Event::PeerDigest { digest: &digest });
    assert_eq!(cached(&mut own, ms(9)), 0, "digest of a peer that does not know of the crash");
    own.record(ms(10), Event::Load { engine: "engine-0", report: &report(1) });
    let event = stored(2, 3, request.fingerprint.blocks[0]);
    own.record(ms(11), Event::Cache { engine: "engine-0", event });
    assert_eq!(cached(&mut own, ms(12)), 1000, "events of the new incarnation count, after a gap");
}

// Failure: a prompt cached for one workspace or version counts as a hit for another.
#[test]
fn no_hit_is_counted_across_scopes() {
    let mut router = router("vm", 1);
    send(&mut router, ms(1), &request("r", scope("w", "1", "1"), 1));
    for other in [scope("v", "1", "1"), scope("w", "2", "1"), scope("w", "1", "2")] {
        let name = format!("{other:?}");
        let all = candidates(&mut router, ms(2), &request("s", other, 1));
        assert_eq!(all[0].cached_tokens, 0, "{name}");
    }
}

// Failure: an overloaded fleet accepts work that cannot be in time, or refuses without a time to come back.
#[test]
fn late_work_is_refused_with_a_time_to_come_back() {
    let mut router = router("vm", 2);
    for engine in ["engine-0", "engine-1"] {
        let report = LoadReport { queued_prefill_tokens: 100_000, ..report(1) };
        router.record(ms(1), Event::Load { engine, report: &report });
    }
    let request = Request { deadline: ms(1700), ..request("r", scope("w", "1", "1"), 1) };
    let decision = router.decide(ms(2), &request);
    let Decision::Refuse(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!(refusal.code, ResultCode::Overloaded);
    assert!(refusal.retry_after >= ms(500) && refusal.retry_after <= Duration::from_secs(60));
    assert!(refusal.rejected.iter().all(|r| r.reason == PlacementReason::ExceedsDeadline));
}

// Failure: hedges multiply the load of a fleet that is slow as a whole.
#[test]
fn hedges_stay_within_the_budget() {
    let mut router = router("vm", 4);
    let mut hedges = 0;
    for n in 0..400_u64 {
        let now = ms(n * 50);
        let mut request = request(&format!("r{n}"), scope("w", "1", "1"), 1);
        let Some(first) = send(&mut router, now, &request) else { continue };
        router.record(now, Event::Stalled { request: &request.id, attempt: 0 });
        request.tried.push(first.engine);
        let later = now + ms(800);
        hedges += usize::from(matches!(router.hedge_due(later, &request, 0), Some(Hedge::Send(_))));
    }
    assert!((1..=20).contains(&hedges), "{hedges} hedges of 400 requests");
}

proptest! {
    // Failure: an order of events that nobody thought of panics in the router and takes a VM down.
    #[test]
    fn generated_events_never_panic(
        steps in proptest::collection::vec((0_u8..11, 0_usize..5, 0_u64..4, any::<u32>()), 0..120),
    ) {
        let mut router = router("vm", 4);
        let mut peer = common::router("peer", 4);
        let mut sent = Vec::new();
        for (i, &(kind, n, incarnation, x)) in steps.iter().enumerate() {
            let now = ms(u64::from(x) % 10_000);
            let id = format!("engine-{n}");
            let topic = u8::try_from(x % 7).unwrap_or(0);
            let mut request = request(&format!("r{}", x % 9), scope("w", "1", "1"), topic);
            request.deadline = ms(u64::from(x % 3) * 1000);
            request.class = Class::ALL[(x % 3) as usize];
            match kind {
                0 | 1 => sent.extend(send(&mut router, now, &request)),
                2 => router.record(now, Event::FirstToken { request: &request.id, attempt: 0 }),
                3 => router.record(now, Event::Finished { request: &request.id, attempt: 0 }),
                4 => router.record(now, Event::Failed { request: &request.id, attempt: 0 }),
                5 => router.record(now, Event::Stalled { request: &request.id, attempt: 0 }),
                6 => {
                    let queued = u64::from(x);
                    let report = LoadReport {
                        queued_prefill_tokens: queued,
                        queued_bulk_tokens: queued * 2,
                        age: (x % 2 == 0).then(|| Duration::from_secs(u64::from(x))),
                        ..report(incarnation)
                    };
                    router.record(now, Event::Load { engine: &id, report: &report });
                }
                7 => {
                    let event = stored(incarnation, u64::from(x % 50), u64::from(x));
                    router.record(now, Event::Cache { engine: &id, event });
                }
                8 => {
                    send(&mut peer, now, &request);
                    let digest = peer.digest(now);
                    router.record(now, Event::PeerDigest { digest: &digest });
                }
                9 => {
                    let engines: Vec<Engine> = (0..n).map(engine).collect();
                    router.set_engines(now, &engines);
                }
                _ => {
                    let _ = router.hedge_due(now, &request, 0);
                }
            }
            if let Decision::Send(placement) = router.decide(now, &request) {
                prop_assert!(!placement.candidates.is_empty(), "step {i}");
            }
        }
    }
}
