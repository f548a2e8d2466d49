//! Guards against copies of one request that reach upstreams again and again although the first ones crashed theirs.

mod common;

use common::{CallerRequest, Simulation, ms, request};
use lw_standin::hosted::upstream::{Behaviour, Upstream};
use tokio::time::Instant;

/// Crashes after which copies must be recognized.
const CRASHES: usize = 3;
/// Time that the VM has to react to the last of these crashes.
const REACTION_MS: u64 = 3_000;
/// Copies that may still reach upstreams afterwards.
const LATE_ARRIVALS_MAX: usize = 3;
/// Time for which copies are sent.
const RUN_MS: u64 = 14_000;

/// Sends a copy after each period. Returns the arrivals after the time to react to the third crash, of all.
async fn late_arrivals(
    simulation: &Simulation,
    upstreams: &[Upstream],
    req: &CallerRequest,
    period_ms: u64,
) -> (usize, usize) {
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    while started.elapsed() < ms(RUN_MS) {
        let (callers, id) = (simulation.settings.callers, format!("copy-{}", tasks.len()));
        let copy = CallerRequest { id, ..req.clone() };
        tasks.spawn(async move { common::send(callers, &copy).await });
        tokio::time::sleep(ms(period_ms)).await;
    }
    tasks.join_all().await;
    let received = upstreams
        .iter()
        .flat_map(Upstream::received)
        .filter(|got| got.request.header("x-attempt-id").is_some_and(|id| id.starts_with("copy-")));
    let mut arrivals: Vec<_> = received.map(|got| got.at).collect();
    arrivals.sort();
    let third = arrivals.get(CRASHES - 1).expect("three arrivals");
    let late = arrivals.iter().filter(|at| **at > *third + ms(REACTION_MS)).count();
    (late, arrivals.len())
}

/// Guards against requests without a prompt that crash one server after the other.
#[tokio::test]
async fn copies_of_a_request_that_crashed_three_plain_servers_reach_no_more() {
    let simulation = Simulation::start().await;
    for server in &simulation.servers {
        server.set_behaviour(Behaviour::Crash(ms(1_000)));
    }
    let req = request("copy", "/look/x");
    let (late, all) = late_arrivals(&simulation, &simulation.servers, &req, 500).await;
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals of {all}");
}

/// Starts a VM with this many engines of a failure domain.
async fn start_engines(failure_domain: &str, count: usize) -> Simulation {
    let mut simulation =
        Simulation::start_with_routes(|route| route["TimeoutMs"] = 6_000.into()).await;
    simulation.add_engines(count).await;
    for engine in &simulation.engines {
        let entry = engine.registry_entry("llm", failure_domain);
        simulation.store.put(&format!("servers/{}", engine.id), &entry);
    }
    let is_known = async |simulation: &Simulation| {
        let view = simulation.vm.as_ref().expect("the VM runs").edge.store_view();
        let is_there = |u: &&std::sync::Arc<lw_catalog::Upstream>| is_engine_of(u, failure_domain);
        view.directory.iter().filter(is_there).count() == count
    };
    simulation.wait_until("all engines are known", is_known).await;
    tokio::time::sleep(ms(1_500)).await;
    simulation
}

fn deadly_request() -> CallerRequest {
    let mut req = request("copy", "/long/x");
    req.headers =
        "X-Model: m\r\nX-Token-Count: 400,20\r\nX-Prompt-Prefix: dead:200,b2:200\r\n".into();
    req
}

/// Returns the arrivals of copies at six engines of this failure domain.
async fn late_arrivals_at_engines(failure_domain: &str) -> (usize, usize) {
    let simulation = start_engines(failure_domain, 6).await;
    for engine in &simulation.engines {
        engine.set_deadly_segment("dead", ms(2_500));
    }
    late_arrivals(&simulation, &simulation.engines, &deadly_request(), 1_000).await
}

fn is_engine_of(upstream: &lw_catalog::Upstream, failure_domain: &str) -> bool {
    upstream.service == "llm" && upstream.failure_domain == failure_domain
}

/// Guards against crashes that count for nothing since no VM of the engines' failure domain follows them.
#[tokio::test]
async fn copies_that_crash_engines_of_a_failure_domain_without_a_vm_reach_no_more() {
    let (late, all) = late_arrivals_at_engines("kochi-b").await;
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals of {all}");
}

/// Guards against late arrivals at engines that VMs of their failure domain follow.
#[tokio::test]
async fn copies_that_crash_engines_beside_a_vm_reach_no_more() {
    let (late, all) = late_arrivals_at_engines("kochi-a").await;
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals of {all}");
}

/// Guards against crashes that count for nothing since their engines fall silent before.
#[tokio::test]
async fn copies_whose_engines_fall_silent_before_they_crash_reach_no_more() {
    let simulation = start_engines("kochi-a", 12).await;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::HangThenCrash(ms(1_500), ms(2_500)));
    }
    let req = CallerRequest { deadline_ms: 6_000, ..deadly_request() };
    let (late, all) = late_arrivals(&simulation, &simulation.engines, &req, 1_000).await;
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals of {all}");
}

/// Guards against late arrivals at engines that crash before they are reported as silent.
#[tokio::test]
async fn copies_whose_engines_crash_soon_reach_no_more() {
    let simulation = start_engines("kochi-a", 12).await;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::HangThenCrash(ms(200), ms(2_500)));
    }
    let req = CallerRequest { deadline_ms: 6_000, ..deadly_request() };
    let (late, all) = late_arrivals(&simulation, &simulation.engines, &req, 1_000).await;
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals of {all}");
}

/// Guards against crashes that count for nothing since the engine hung beyond the deadline of the request before.
#[tokio::test]
async fn copies_whose_engines_crash_after_their_deadline_reach_no_more() {
    let simulation = start_engines("kochi-a", 12).await;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::HangThenCrash(ms(2_500), ms(1_500)));
    }
    let req = CallerRequest { deadline_ms: 2_000, ..deadly_request() };
    let (late, all) = late_arrivals(&simulation, &simulation.engines, &req, 1_000).await;
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals of {all}");
}

/// Guards against crashes that count for nothing since engines that name a limit get few calls for their cache events.
#[tokio::test]
async fn copies_that_crash_engines_with_a_limit_reach_no_more() {
    let simulation = start_engines("kochi-a", 6).await;
    for engine in &simulation.engines {
        engine.set_limit(Some("2.0"));
        engine.set_deadly_segment("dead", ms(2_500));
    }
    // Sound requests tell the VM the limits before.
    for n in 0..60 {
        let mut sound = request(&format!("sound-{n}"), "/short/x");
        sound.headers = format!(
            "X-Model: m\r\nX-Token-Count: 400,20\r\nX-Prompt-Prefix: c{n}:200,d{n}:200\r\n"
        );
        simulation.send(&sound).await;
        tokio::time::sleep(ms(50)).await;
    }
    let before: Vec<_> = simulation.engines.iter().map(|e| e.received().len()).collect();
    let (late, all) =
        late_arrivals(&simulation, &simulation.engines, &deadly_request(), 1_000).await;
    assert!(late <= LATE_ARRIVALS_MAX, "{late} late arrivals of {all}, before {before:?}");
}

/// Guards against a lookup that many callers repeat and that is no longer retried, since servers broke a few answers to it.
#[tokio::test]
async fn a_repeated_lookup_is_retried_after_servers_broke_answers_to_it() {
    let simulation = Simulation::start().await;
    let sound = simulation.send(&request("sound", "/look/x")).await.expect("an answer");
    assert_eq!(sound.status, 200);
    for n in 0..3 {
        simulation.faults.push(Behaviour::Reset);
        let reply = simulation.send(&request(&format!("broken-{n}"), "/look/x")).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 200, "{n}: {} {}", reply.head, reply.text());
        tokio::time::sleep(ms(350)).await;
    }
}
