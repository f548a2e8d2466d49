//! Guards against answers that are given up since their engine is silent, while it would go on or no other engine takes over.

mod common;

use std::time::Instant;

use common::{CallerRequest, Reply, Simulation, ms, report_silence, request, send};
use lw_standin::hosted::upstream::{Behaviour, STREAM_EVENTS, event};

/// Pause before each event of a stream.
const EVENT_PAUSE_MS: u64 = 250;
/// Time for which engines stand still. They are reported as unresponsive after 0.45 s at most, and again 0.6 s later.
const STALL_MS: u64 = 1_600;

fn events() -> Vec<u8> {
    (1..=STREAM_EVENTS).flat_map(event).collect()
}

/// Starts a VM whose routes leave time for a silence.
async fn start() -> Simulation {
    let simulation = Simulation::start_with_routes(|route| route["TimeoutMs"] = 6_000.into()).await;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::DelayedEvents(ms(EVENT_PAUSE_MS)));
    }
    simulation
}

fn long_request(id: &str) -> CallerRequest {
    CallerRequest { deadline_ms: 6_000, ..request(id, "/long/x") }
}

fn assert_complete(id: &str, reply: Option<Reply>) {
    let reply = reply.unwrap_or_else(|| panic!("{id}: no answer"));
    assert!(reply.status == 200 && reply.is_complete, "{id}: {} {}", reply.head, reply.text());
    assert_eq!(reply.body, events(), "{id}");
}

/// Guards against streams that are cut since all engines were silent for a moment, so that none could take over.
#[tokio::test]
async fn streams_go_on_after_all_engines_were_silent_for_a_moment() {
    let simulation = start().await;
    let early = async |n: u64| {
        tokio::time::sleep(ms(n * 60)).await;
        let id = format!("early-{n}");
        assert_complete(&id, simulation.send(&long_request(&id)).await);
    };
    let late = async |n: u64| {
        tokio::time::sleep(ms(700 + n * 200)).await;
        let id = format!("late-{n}");
        assert_complete(&id, simulation.send(&long_request(&id)).await);
    };
    let stall = async {
        tokio::time::sleep(ms(600)).await;
        simulation.engines.iter().for_each(|engine| engine.stall(ms(STALL_MS)));
    };
    let early = futures::future::join_all((0..6).map(early));
    let late = futures::future::join_all((0..4).map(late));
    tokio::join!(early, late, stall);
    assert!(
        common::log_output().contains("call for cache events failed"),
        "no engine was reported"
    );
}

/// Guards against new requests that are refused since all engines are silent for a moment, as if every VM had lost its paths to them.
#[tokio::test]
async fn requests_that_arrive_while_all_engines_are_silent_for_a_moment_are_served() {
    let simulation = start().await;
    let second = simulation.start_second().await;
    let callers = [simulation.settings.callers, second.edge.settings.callers];
    let stall = async {
        simulation.engines.iter().for_each(|engine| engine.stall(ms(STALL_MS)));
    };
    let requests = (0..24_u64).map(|n| async move {
        tokio::time::sleep(ms(n * 60)).await;
        let id = format!("silent-{n}");
        let callers = callers[usize::from(n % 2 == 1)];
        assert_complete(&id, send(callers, &long_request(&id)).await);
    });
    tokio::join!(stall, futures::future::join_all(requests));
}

/// Guards against a stream that is cut since its engine was silent for a moment and the others did not run it.
#[tokio::test]
async fn a_stream_stays_at_its_silent_engine_while_the_others_refuse_it() {
    let simulation = start().await;
    let id = "refused";
    let stall = async {
        tokio::time::sleep(ms(600)).await;
        let first = simulation.engine_of(id);
        first.stall(ms(STALL_MS));
        for other in simulation.engines.iter().filter(|engine| engine.id != first.id) {
            other.set_behaviour(Behaviour::Reject);
        }
    };
    let req = long_request(id);
    let (reply, ()) = tokio::join!(simulation.send(&req), stall);
    assert_complete(id, reply);
    assert_eq!(simulation.run_count(id), 1);
    assert_eq!(simulation.received(id).len(), 2, "the other engine was asked");
}

/// Guards against a request that waits for a dead engine until its deadline.
#[tokio::test]
async fn a_stream_of_a_dead_engine_goes_on_elsewhere() {
    let simulation = start().await;
    let id = "dead";
    let stall = async {
        tokio::time::sleep(ms(600)).await;
        simulation.engine_of(id).stall(ms(60_000));
        Instant::now()
    };
    let req = long_request(id);
    let (reply, dead_at) = tokio::join!(simulation.send(&req), stall);
    assert_complete(id, reply);
    // It is reported after 0.45 s at most; the other engine sends all events that are left.
    let time_max = ms(700 + STREAM_EVENTS * EVENT_PAUSE_MS);
    assert!(dead_at.elapsed() < time_max, "{:?}", dead_at.elapsed());
}

/// Guards against a stream that runs at two engines, since the silent one is not left when another one is about to take over.
#[tokio::test]
async fn a_silent_engine_is_left_within_400_ms_of_the_next_attempt() {
    let simulation = start().await;
    let second = simulation.start_second().await;
    for (id, other) in [("slow", Behaviour::Slow(ms(1_500))), ("quick", Behaviour::Normal)] {
        let may_take_over = async |simulation: &Simulation| {
            let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
            let candidates = |pool: &mut lw_place::UpstreamPool| pool.candidates(edge.timer.now());
            let candidates = edge.with_upstream_pool("llm", candidates).expect("the engines' pool");
            candidates.iter().all(|candidate| candidate.is_open)
        };
        simulation.wait_until("no engine counts as failed", may_take_over).await;
        for behaviour in [Behaviour::NoAnswer, other] {
            simulation.faults.push(behaviour);
        }
        let check = async {
            tokio::time::sleep(ms(300)).await;
            let first = simulation.engine_of(id);
            report_silence(&second, &first.id);
            let is_sent_again = async |simulation: &Simulation| simulation.run_count(id) == 2;
            simulation.wait_until("another engine is asked", is_sent_again).await;
            tokio::time::sleep(ms(380)).await;
            // Each VM may have one open call for its cache events.
            assert!(first.open_requests() <= 2, "{id}: {} open", first.open_requests());
        };
        let req = long_request(id);
        let (reply, ()) = tokio::join!(simulation.send(&req), check);
        assert_complete(id, reply);
    }
}
