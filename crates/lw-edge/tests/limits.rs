//! Guards against engines that get more calls than the limit that they name, and against limits that are lost, outdated
//! or not genuine.

mod common;

use std::time::{Duration, Instant};

use common::{Simulation, ms, request};
use lw_edge::run::Vm;
use lw_standin::hosted::upstream::{Behaviour, Upstream};

/// Time after which a limit must be kept: a VM that was told is bound half a second later.
const SETTLE: Duration = Duration::from_millis(500);
/// Limit that an engine names, in requests a second.
const LIMIT: &str = "2.0";

/// Sends a request each 40 ms for this time without waiting for the answers. Returns how many were answered with 200,
/// and how many were sent.
async fn send_steadily(simulation: &Simulation, name: &str, time: Duration) -> (usize, usize) {
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    while started.elapsed() < time {
        let (callers, id) = (simulation.settings.callers, format!("{name}-{}", tasks.len()));
        tasks.spawn(async move {
            common::send(callers, &request(&id, "/short/x")).await.is_some_and(|r| r.status == 200)
        });
        tokio::time::sleep(ms(40)).await;
    }
    let sent = tasks.len();
    (tasks.join_all().await.into_iter().filter(|is_served| *is_served).count(), sent)
}

/// Checks the rule for an engine, for requests and for calls of all kinds.
fn assert_limit_kept(engine: &Upstream, start: tokio::time::Instant) {
    let history = engine.limit_history(start);
    let since = |at: tokio::time::Instant| at.checked_duration_since(start);
    let requests: Vec<_> = engine.received().iter().filter_map(|got| since(got.at)).collect();
    let calls: Vec<_> = engine.calls().into_iter().filter_map(since).collect();
    assert_eq!(history.first_excess(&requests, SETTLE), None, "requests at {}", engine.id);
    assert_eq!(history.first_excess(&calls, SETTLE), None, "calls of all kinds at {}", engine.id);
}

#[tokio::test]
async fn an_engine_gets_no_more_calls_than_the_limit_that_it_names() {
    let simulation = Simulation::start().await;
    send_steadily(&simulation, "before", ms(600)).await;
    let preferred = simulation.engines.iter().max_by_key(|engine| engine.received().len());
    let preferred = preferred.expect("there are two");
    let start = tokio::time::Instant::now();
    preferred.set_limit(Some(LIMIT));
    let (served, sent) = send_steadily(&simulation, "limited", ms(7_000)).await;
    assert_limit_kept(preferred, start);
    assert!(served * 100 >= sent * 98, "the other engine serves the rest: {served} of {sent}");
}

/// Guards against VMs that keep a limit each for itself, so that all together exceed it, and against a VM that sends an
/// engine more before an answer tells it what the others know.
#[tokio::test]
async fn vms_keep_a_limit_together() {
    let simulation = Simulation::start().await;
    let second =
        Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await.unwrap();
    simulation.wait_until_joined(&second).await;
    let start = tokio::time::Instant::now();
    simulation.engines.iter().for_each(|engine| engine.set_limit(Some(LIMIT)));
    let served = |callers, name: &'static str| async move {
        let mut served = 0;
        for n in 0..150 {
            let reply = common::send(callers, &request(&format!("{name}-{n}"), "/short/x")).await;
            let reply = reply.expect("an answer");
            served += usize::from(reply.status == 200);
            if reply.status != 200 {
                assert_eq!(reply.status, 503, "{}", reply.head);
                assert!(reply.header("retry-after").is_some(), "{}", reply.head);
            }
            tokio::time::sleep(ms(40)).await;
        }
        served
    };
    let second_callers = second.edge.settings.callers;
    let (first, second) =
        tokio::join!(served(simulation.settings.callers, "a"), served(second_callers, "b"));
    for engine in &simulation.engines {
        assert_limit_kept(engine, start);
    }
    assert!(first > 2 && second > 2, "both have a share: {first}, {second}");
    assert!(first + second > 15, "the limits are used: {first}, {second}");
}

#[tokio::test]
async fn an_engine_is_used_as_before_once_its_limit_ends_or_it_restarts() {
    let simulation = Simulation::start().await;
    for engine in &simulation.engines {
        engine.set_limit(Some("0.5"));
    }
    send_steadily(&simulation, "limited", ms(1_500)).await;
    let (served, sent) = send_steadily(&simulation, "refused", ms(1_000)).await;
    assert!(served < sent / 2, "{served} of {sent}");
    // The first names no limit any more. The other one has started again; it has the same id.
    simulation.engines.iter().for_each(|engine| engine.set_limit(None));
    let restarted = &simulation.engines[1];
    let mut entry = restarted.registry_entry("llm", "kochi-a");
    entry["born"] = 1_700_000_009_000_u64.into();
    simulation.store.put(&format!("servers/{}", restarted.id), &entry);
    tokio::time::sleep(ms(300)).await;
    let (served, sent) = send_steadily(&simulation, "ended", ms(3_000)).await;
    assert!(served * 100 >= sent * 98, "{served} of {sent}");
}

/// Guards against a forged, outdated or misdirected answer that stops the requests to an engine or lifts its limit.
#[tokio::test]
async fn only_genuine_answers_tell_of_a_limit() {
    let simulation = Simulation::start().await;
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let limit = |id: &str| {
        edge.with_upstream_pool("llm", |pool| pool.limit(id)).flatten().map(|(limit, _)| limit)
    };
    let both = |limit: &'static str| {
        simulation.engines.iter().for_each(|engine| engine.set_limit(Some(limit)));
    };
    let any_limit = || simulation.engines.iter().find_map(|engine| limit(&engine.id));
    both("many");
    simulation.send(&request("malformed", "/short/x")).await.expect("an answer");
    assert_eq!(any_limit(), None);
    both("0.2");
    for (id, fault) in
        [("other", Behaviour::AnswerOfOtherRequest), ("unsigned", Behaviour::Unsigned)]
    {
        simulation.faults.push(fault);
        let reply = simulation.send(&request(id, "/short/x")).await.expect("an answer");
        assert_ne!(reply.status, 200, "{id}");
        assert_eq!(any_limit(), None, "{id}");
    }
    simulation.faults.push(Behaviour::Reject);
    simulation.send(&request("refused", "/long/x")).await;
    assert_eq!(any_limit(), Some(0.2), "a refusal names it");
    let reasons = edge.with_upstream_pool("llm", |pool| {
        pool.candidates(edge.timer.now()).into_iter().map(|candidate| candidate.reason).collect()
    });
    let reasons: Vec<String> = reasons.expect("the service is known");
    assert!(
        reasons.iter().any(|why| why.contains("limited to 0.2 requests a second")),
        "{reasons:?}"
    );
}

/// Guards against a limit that is left unused since the VM that callers reach has only a part of it.
#[tokio::test]
async fn a_vm_borrows_the_turns_that_another_one_does_not_use() {
    let simulation = Simulation::start().await;
    let second =
        Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await.unwrap();
    simulation.wait_until_joined(&second).await;
    let start = tokio::time::Instant::now();
    simulation.engines.iter().for_each(|engine| engine.set_limit(Some("5.0")));
    send_steadily(&simulation, "told", ms(1_500)).await;
    let (served, sent) = send_steadily(&simulation, "borrowed", ms(4_000)).await;
    simulation.engines.iter().for_each(|engine| assert_limit_kept(engine, start));
    // Two engines allow 40 in that time, 18 of them to each VM.
    assert!(served > 24, "{served} of {sent}");
}
