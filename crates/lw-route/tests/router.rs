//! Guards against wrong placements: leaving or wrong engines, cached blocks of an earlier incarnation, routers that
//! disagree about the home engine.

mod common;

use std::time::Duration;

use common::{
    engine, load_report, ms, place, request, router_with_engines, scope, send_to_best, stored_event,
};
use lw_route::{
    Decision, Engine, Event, Hedge, LoadReport, LoadedVersion, PlacementReason, Request,
};
use lw_types::prelude::*;
use proptest::prelude::*;

// Failure: a request is sent to an engine that is leaving. The configuration, the engine itself or a peer may be the
// first to report this.
#[test]
fn a_leaving_engine_gets_no_requests() {
    let by_configuration = |r: &mut lw_route::Router| {
        let engines: Vec<Engine> =
            (0..3).map(|n| Engine { is_leaving: n == 0, ..engine(n) }).collect();
        r.set_engines(ms(1), &engines);
    };
    let by_report = |r: &mut lw_route::Router| {
        let report = LoadReport { is_leaving: true, ..load_report(1) };
        r.record(ms(1), Event::Load { engine: "engine-0", report: &report });
    };
    let by_peer = |r: &mut lw_route::Router| {
        let mut peer = router_with_engines("peer", 3);
        let report = LoadReport { is_leaving: true, ..load_report(1) };
        peer.record(ms(1), Event::Load { engine: "engine-0", report: &report });
        let digest = peer.digest(ms(1));
        r.record(ms(1), Event::PeerDigest { digest: &digest });
    };
    for (source, mark_leaving) in [
        ("configuration", &by_configuration as &dyn Fn(&mut lw_route::Router)),
        ("report", &by_report),
        ("peer", &by_peer),
    ] {
        let mut router = router_with_engines("vm", 3);
        mark_leaving(&mut router);
        for topic in 0..50 {
            let request = request(&format!("r{topic}"), scope("w", "1", "1"), topic);
            let all = place(&mut router, ms(2), &request);
            assert!(!all.is_empty(), "{source}");
            assert!(all.iter().all(|c| c.engine != "engine-0"), "{source}: topic {topic}");
        }
    }
}

// Failure: a request runs on a model or adapter version other than the requested one.
#[test]
fn an_engine_without_the_requested_versions_gets_no_requests() {
    let mut router = router_with_engines("vm", 1);
    let loaded =
        |name: &str, version: &str| LoadedVersion { name: name.into(), version: version.into() };
    let versions = vec![loaded("malayalam", "1"), loaded("radio", "1")];
    let report = LoadReport { loaded: versions, ..load_report(1) };
    router.record(ms(1), Event::Load { engine: "engine-0", report: &report });
    let mut is_placed = |model: &str, adapter: &str| {
        !place(&mut router, ms(2), &request("r", scope("w", model, adapter), 1)).is_empty()
    };
    assert!(is_placed("1", "1"));
    assert!(!is_placed("2", "1"));
    assert!(!is_placed("1", "2"));
}

// Failure: after a restart of all routers, every prefix is sent to another engine than before and is recomputed.
#[test]
fn a_restarted_router_uses_the_same_home_engine_as_a_running_one() {
    let mut running = router_with_engines("running", 12);
    for n in 0..200_u64 {
        let topic = u8::try_from(n % 50).unwrap_or(0);
        let request = request(&format!("r{n}"), scope("w", "1", "1"), topic);
        send_to_best(&mut running, ms(n * 500), &request);
        running.record(ms(n * 500 + 100), Event::FirstToken { request: &request.id, attempt: 0 });
        running.record(ms(n * 500 + 200), Event::Finished { request: &request.id, attempt: 0 });
    }
    let mut restarted = router_with_engines("restarted", 12);
    for topic in 0..50 {
        let request = request("x", scope("w", "1", "1"), topic);
        let home = |router: &mut lw_route::Router| {
            let all = place(router, ms(200_000), &request);
            all.into_iter().find(|c| c.reason == PlacementReason::Home).map(|c| c.engine)
        };
        assert_eq!(home(&mut running), home(&mut restarted), "topic {topic}");
    }
}

// Failure: blocks count as cached at an engine that lost them in a crash, because of requests sent before the crash,
// delayed cache events or digests of peers.
#[test]
fn blocks_from_before_a_crash_do_not_count_as_cached() {
    let (mut local, mut peer) = (router_with_engines("local", 1), router_with_engines("peer", 1));
    for router in [&mut local, &mut peer] {
        router.record(ms(1), Event::Load { engine: "engine-0", report: &load_report(1) });
    }
    let request = request("r", scope("w", "1", "1"), 1);
    let cached = |r: &mut lw_route::Router, now| place(r, now, &request)[0].cached_tokens;
    send_to_best(&mut local, ms(2), &request);
    send_to_best(&mut peer, ms(2), &request);
    assert_eq!(cached(&mut local, ms(3)), 8000);
    local.record(ms(4), Event::Load { engine: "engine-0", report: &load_report(2) });
    assert_eq!(cached(&mut local, ms(5)), 0, "request sent to the old incarnation");
    let event = stored_event(1, 9, request.fingerprint.blocks[7]);
    local.record(ms(6), Event::Cache { engine: "engine-0", event });
    assert_eq!(cached(&mut local, ms(7)), 0, "delayed event of the old incarnation");
    let digest = peer.digest(ms(8));
    local.record(ms(8), Event::PeerDigest { digest: &digest });
    assert_eq!(cached(&mut local, ms(9)), 0, "digest of a peer that has not recorded the crash");
    local.record(ms(10), Event::Load { engine: "engine-0", report: &load_report(1) });
    let event = stored_event(2, 3, request.fingerprint.blocks[0]);
    local.record(ms(11), Event::Cache { engine: "engine-0", event });
    assert_eq!(cached(&mut local, ms(12)), 1000, "event of the new incarnation, after a gap");
}

// Failure: a prompt cached for one workspace or version counts as cached for another.
#[test]
fn blocks_of_another_scope_do_not_count_as_cached() {
    let mut router = router_with_engines("vm", 1);
    send_to_best(&mut router, ms(1), &request("r", scope("w", "1", "1"), 1));
    for other in [scope("v", "1", "1"), scope("w", "2", "1"), scope("w", "1", "2")] {
        let name = format!("{other:?}");
        let all = place(&mut router, ms(2), &request("s", other, 1));
        assert_eq!(all[0].cached_tokens, 0, "{name}");
    }
}

// Failure: with overloaded engines, a request is accepted that cannot meet its deadline, or refused without a time to
// retry.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_with_a_retry_time() {
    let mut router = router_with_engines("vm", 2);
    for engine in ["engine-0", "engine-1"] {
        let report = LoadReport { queued_prefill_tokens: 100_000, ..load_report(1) };
        router.record(ms(1), Event::Load { engine, report: &report });
    }
    let request = Request { deadline: ms(1700), ..request("r", scope("w", "1", "1"), 1) };
    let decision = router.decide(ms(2), &request);
    let Decision::Refuse(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!(refusal.code, ResultCode::Overloaded);
    assert!(refusal.retry_after >= ms(500) && refusal.retry_after <= Duration::from_secs(60));
    assert!(refusal.rejected.iter().all(|r| r.reason == PlacementReason::ExceedsDeadline));
}

// Failure: hedges multiply the load when all engines are slow.
#[test]
fn hedges_stay_within_the_budget() {
    let mut router = router_with_engines("vm", 4);
    let mut hedges = 0;
    for n in 0..400_u64 {
        let now = ms(n * 50);
        let mut request = request(&format!("r{n}"), scope("w", "1", "1"), 1);
        let Some(first) = send_to_best(&mut router, now, &request) else { continue };
        router.record(now, Event::Stalled { request: &request.id, attempt: 0 });
        request.tried.push(first.engine);
        let later = now + ms(800);
        hedges += usize::from(matches!(router.hedge_due(later, &request, 0), Some(Hedge::Send(_))));
    }
    assert!((1..=20).contains(&hedges), "{hedges} hedges of 400 requests");
}

proptest! {
    // Failure: an unforeseen order of events causes a panic in the router, which stops the process of the VM.
    #[test]
    fn generated_events_never_panic(
        steps in proptest::collection::vec((0_u8..11, 0_usize..5, 0_u64..4, any::<u32>()), 0..120),
    ) {
        let mut router = router_with_engines("vm", 4);
        let mut peer = common::router_with_engines("peer", 4);
        let mut sent = Vec::new();
        for (i, &(kind, n, incarnation, x)) in steps.iter().enumerate() {
            let now = ms(u64::from(x) % 10_000);
            let id = format!("engine-{n}");
            let topic = u8::try_from(x % 7).unwrap_or(0);
            let mut request = request(&format!("r{}", x % 9), scope("w", "1", "1"), topic);
            request.deadline = ms(u64::from(x % 3) * 1000);
            request.class = Class::ALL[(x % 3) as usize];
            match kind {
                0 | 1 => sent.extend(send_to_best(&mut router, now, &request)),
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
                        ..load_report(incarnation)
                    };
                    router.record(now, Event::Load { engine: &id, report: &report });
                }
                7 => {
                    let event = stored_event(incarnation, u64::from(x % 50), u64::from(x));
                    router.record(now, Event::Cache { engine: &id, event });
                }
                8 => {
                    send_to_best(&mut peer, now, &request);
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
