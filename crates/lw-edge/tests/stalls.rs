//! Guards against answers that are lost, and prompts that are refused, since engines stood still for a moment.

mod common;

use common::{CallerRequest, Simulation, ms, report_silence, request};
use lw_standin::hosted::{
    caller::Caller,
    upstream::{Behaviour, STREAM_EVENTS, Upstream, event},
};

/// Number of requests that have the same shared segment.
const REQUESTS: u64 = 24;

fn events() -> Vec<u8> {
    (1..=STREAM_EVENTS).flat_map(event).collect()
}

/// Starts a VM whose routes leave time for a silence and allow three attempts.
async fn start() -> Simulation {
    Simulation::start_with_routes(|route| {
        route["TimeoutMs"] = 6_000.into();
        route["MaxAttempts"] = 3.into();
    })
    .await
}

/// Adds engines until there are eight.
async fn add_engines(simulation: &mut Simulation) {
    simulation.add_engines(8).await;
    // The calls for the cache events of all engines have begun by then.
    tokio::time::sleep(ms(1_500)).await;
}

fn long_request(id: &str, segments: &str) -> CallerRequest {
    let mut req = CallerRequest { deadline_ms: 6_000, ..request(id, "/long/x") };
    req.headers =
        format!("X-Model: m\r\nX-Token-Count: 1200,20\r\nX-Prompt-Prefix: {segments}\r\n");
    req
}

/// Sends requests with a common segment, one each 10 ms, and returns the ids and statuses of those without a whole answer.
async fn send_with_common_segment(simulation: &Simulation) -> Vec<(String, u16)> {
    let send = async |n: u64| {
        tokio::time::sleep(ms(n * 10)).await;
        let id = format!("common-{n}");
        let req = long_request(&id, &format!("a1:1000,{:x}:200", 0x100 + n));
        let reply = simulation.send(&req).await;
        let is_whole = reply.as_ref().is_some_and(|reply| reply.body == events());
        (!is_whole).then_some((id, reply.map_or(0, |reply| reply.status)))
    };
    futures::future::join_all((0..REQUESTS).map(send)).await.into_iter().flatten().collect()
}

/// Guards against segments that are quarantined since their prompts were in flight while engines stood still.
#[tokio::test]
async fn engines_that_stood_still_do_not_condemn_the_segments_of_their_prompts() {
    let mut simulation = start().await;
    add_engines(&mut simulation).await;
    let sound = simulation.send(&long_request("sound", "a1:1000,ff:200")).await.unwrap();
    assert!(sound.is_complete);
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::Slow(ms(700)));
    }
    let stall = async {
        tokio::time::sleep(ms(400)).await;
        simulation.engines.iter().for_each(|engine| engine.stall(ms(1_600)));
    };
    let (failed, ()) = tokio::join!(send_with_common_segment(&simulation), stall);
    assert!(failed.is_empty(), "{failed:?}");
    let after = simulation.send(&long_request("after", "a1:1000,fe:200")).await.unwrap();
    assert_eq!(after.status, 200, "{}", after.head);
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let now = edge.timer.now_including_suspend();
    assert_eq!(edge.quarantine.lock().sets(now).count(), 0);
}

/// Guards against streams that are cut since engines stood still one after the other.
#[tokio::test]
async fn streams_go_on_after_engines_stood_still_one_after_the_other() {
    let mut simulation = start().await;
    add_engines(&mut simulation).await;
    let sound = simulation.send(&long_request("sound", "a1:1000,ff:200")).await.unwrap();
    assert!(sound.is_complete);
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::DelayedEvents(ms(400)));
    }
    let stall = async {
        tokio::time::sleep(ms(700)).await;
        for (n, engine) in (0..).zip(&simulation.engines) {
            engine.stall(ms(2_200 - 80 * n));
            tokio::time::sleep(ms(80)).await;
        }
    };
    let (failed, ()) = tokio::join!(send_with_common_segment(&simulation), stall);
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a stream of a dead engine that spends all attempts on engines that refuse it for a moment, since several VMs report
/// the dead one.
#[tokio::test]
async fn a_stream_of_a_dead_engine_goes_on_after_refusals() {
    let mut simulation = start().await;
    let _second = simulation.start_second().await;
    add_engines(&mut simulation).await;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::DelayedEvents(ms(250)));
    }
    let id = "dead";
    let stall = async {
        tokio::time::sleep(ms(600)).await;
        let first = simulation.engine_of(id);
        first.stall(ms(60_000));
        let others = || simulation.engines.iter().filter(|engine| engine.id != first.id);
        others().for_each(|engine| engine.set_behaviour(Behaviour::Reject));
        tokio::time::sleep(ms(800)).await;
        others().for_each(|engine| engine.set_behaviour(Behaviour::Normal));
    };
    let req = CallerRequest { deadline_ms: 4_000, ..long_request(id, "a1:1000,b2:200") };
    let (reply, ()) = tokio::join!(simulation.send(&req), stall);
    let reply = reply.expect("an answer");
    assert!(reply.is_complete, "{} {}", reply.head, reply.text());
    assert_eq!(reply.body, events());
}

/// Guards against streams that are cut since their silent engine was left for one that cannot be reached.
#[tokio::test]
async fn a_stream_stays_at_its_silent_engine_while_another_one_cannot_be_reached() {
    let simulation = start().await;
    let second = simulation.start_second().await;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::DelayedEvents(ms(900)));
    }
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let full = socket.listen(1).unwrap();
    let addr = full.local_addr().unwrap();
    // Its queue of new connections is full, so that further ones get no reply.
    let mut queued = Vec::new();
    for _ in 0..4 {
        let conn = tokio::time::timeout(ms(100), tokio::net::TcpStream::connect(addr)).await;
        queued.extend(conn.ok().and_then(Result::ok));
    }
    let send = async |n: u64| {
        let id = format!("kept-{n}");
        let reply = simulation.send(&long_request(&id, "a1:1000,b2:200")).await;
        (!reply.is_some_and(|reply| reply.is_complete)).then_some(id)
    };
    let unreachable = async {
        tokio::time::sleep(ms(1_100)).await;
        let first = simulation.engines.iter().max_by_key(|engine| engine.received().len()).unwrap();
        let other = simulation.engines.iter().find(|engine| engine.id != first.id).unwrap();
        let mut entry = other.registry_entry("llm", "kochi-b");
        entry["Address"] = addr.to_string().into();
        simulation.store.put(&format!("servers/{}", other.id), &entry);
        tokio::time::sleep(ms(150)).await;
        report_silence(&second, &first.id);
    };
    let requests = futures::future::join_all((0..16).map(send));
    let (cut, ()) = tokio::join!(requests, unreachable);
    let cut: Vec<_> = cut.into_iter().flatten().collect();
    assert!(cut.is_empty(), "{cut:?}");
}

/// Guards against engines that go on to work for a caller who left while two attempts were in flight.
#[tokio::test]
async fn both_attempts_end_when_the_caller_leaves() {
    let simulation = start().await;
    let second = simulation.start_second().await;
    let id = "left";
    simulation.faults.push(Behaviour::DelayedEvents(ms(500)));
    simulation.faults.push(Behaviour::NoAnswer);
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    caller.send(&long_request(id, "a1:1000,b2:200")).await;
    tokio::time::sleep(ms(850)).await;
    report_silence(&second, &simulation.engine_of(id).id);
    let is_sent_again = async |simulation: &Simulation| simulation.run_count(id) == 2;
    simulation.wait_until("another engine is asked", is_sent_again).await;
    drop(caller);
    tokio::time::sleep(ms(80)).await;
    // Each VM may have one open call for cache events.
    let open: Vec<_> = simulation.engines.iter().map(Upstream::open_requests).collect();
    assert!(open.iter().all(|open| *open <= 2), "{open:?}");
    let pools = simulation.vm.as_ref().unwrap().edge.upstream_pools();
    assert_eq!(pools.values().map(lw_place::UpstreamPool::in_flight).sum::<usize>(), 0);
}

/// Guards against a stream that runs at two engines, since the one that fell silent within it is not left.
#[tokio::test]
async fn an_engine_that_fell_silent_in_a_stream_is_left_within_400_ms() {
    let simulation = start().await;
    let second = simulation.start_second().await;
    let id = "silent-within";
    simulation.faults.push(Behaviour::DelayedEvents(ms(1_400)));
    simulation.faults.push(Behaviour::Slow(ms(1_500)));
    let check = async {
        tokio::time::sleep(ms(1_900)).await;
        let first = simulation.engine_of(id);
        report_silence(&second, &first.id);
        let is_sent_again = async |simulation: &Simulation| simulation.run_count(id) == 2;
        simulation.wait_until("another engine is asked", is_sent_again).await;
        tokio::time::sleep(ms(370)).await;
        assert!(first.open_requests() <= 2, "{} open", first.open_requests());
    };
    let req = long_request(id, "a1:1000,b2:200");
    let (reply, ()) = tokio::join!(simulation.send(&req), check);
    let reply = reply.expect("an answer");
    assert!(reply.is_complete, "{} {}", reply.head, reply.text());
    assert_eq!(reply.body, events());
}

/// Guards against a failure of the engine that is to take over, which its caller gets although the silent engine goes on.
#[tokio::test]
async fn a_failed_answer_does_not_replace_a_silent_one() {
    let simulation = start().await;
    let second = simulation.start_second().await;
    for (id, behaviour) in
        [("head", Behaviour::Slow(ms(900))), ("events", Behaviour::DelayedEvents(ms(700)))]
    {
        simulation.faults.push(behaviour);
        simulation.faults.push(Behaviour::Status(500));
        let check = async {
            tokio::time::sleep(ms(400)).await;
            report_silence(&second, &simulation.engine_of(id).id);
        };
        let req = long_request(id, "a1:1000,b2:200");
        let (reply, ()) = tokio::join!(simulation.send(&req), check);
        let reply = reply.expect("an answer");
        assert_eq!(simulation.run_count(id), 2, "{id}");
        assert!(reply.is_complete, "{id}: {} {}", reply.head, reply.text());
        assert_eq!(reply.body, events(), "{id}");
    }
}

/// Guards against a stream that is cut since its silent engine was left before another one answered, and that one refuses it.
#[tokio::test]
async fn a_stream_stays_at_its_silent_engine_while_another_one_refuses_it_late() {
    let simulation = start().await;
    let second = simulation.start_second().await;
    let id = "refused-late";
    simulation.faults.push(Behaviour::DelayedEvents(ms(900)));
    simulation.faults.push(Behaviour::RejectAfter(ms(400)));
    let check = async {
        tokio::time::sleep(ms(1_300)).await;
        report_silence(&second, &simulation.engine_of(id).id);
    };
    let req = long_request(id, "a1:1000,b2:200");
    let (reply, ()) = tokio::join!(simulation.send(&req), check);
    let reply = reply.expect("an answer");
    let received = |engine: &&Upstream| {
        engine.received().iter().any(|got| got.request.header("x-attempt-id") == Some(id))
    };
    assert_eq!(simulation.engines.iter().filter(received).count(), 2, "another engine is asked");
    assert!(reply.is_complete, "{} {}", reply.head, reply.text());
    assert_eq!(reply.body, events());
}
