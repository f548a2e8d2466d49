//! Guards against requests that are cut off when a VM is shut down as planned.

mod common;

use common::{Simulation, ms, request};
use lw_catalog::settings::Bounds;
use lw_standin::hosted::caller::Caller;
use lw_standin::hosted::upstream::Behaviour;

/// Guards against a request that is accepted long after the signal to terminate, and cut off when the process ends.
#[tokio::test]
async fn a_leaving_vm_refuses_requests_that_it_cannot_finish() {
    let mut simulation = Simulation::start().await;
    simulation
        .engines
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::DelayedEvents(ms(280))));
    let leaving = tokio::spawn(simulation.vm.take().unwrap().leave());
    tokio::time::sleep(ms(600)).await;
    let mut early = Caller::connect(simulation.settings.callers).await.unwrap();
    early.send(&request("early", "/long/x")).await;
    tokio::time::sleep(ms(1_000)).await;
    let reply = simulation.send(&request("late", "/short/x")).await.expect("an answer");
    assert_eq!((reply.status, reply.is_complete), (503, true), "{}", reply.head);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(reply.header("connection"), Some("close"));
    assert_eq!(simulation.run_count("late"), 0);
    assert!(early.read_answer().await.expect("an answer").is_complete);
    leaving.await.unwrap();
}

/// Guards against a request that comes after three eighths of the grace time to a VM that noticed the signal late, and that is cut
/// when its process ends.
#[tokio::test]
async fn a_vm_that_noticed_the_signal_late_refuses_requests_that_its_end_cuts() {
    let mut simulation = Simulation::start().await;
    let grace = simulation.settings.bounds.grace;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::DelayedEvents(ms(280)));
    }
    let mut early = Caller::connect(simulation.settings.callers).await.unwrap();
    early.send(&request("early", "/long/x")).await;
    let leaving = tokio::spawn(simulation.vm.take().unwrap().leave());
    // Three eighths of the grace time after the signal, which was noticed a sixteenth late.
    tokio::time::sleep(grace * 5 / 16).await;
    let reply = simulation.send(&request("after", "/long/x")).await.expect("an answer");
    assert_eq!((reply.status, reply.is_complete), (503, true), "{}", reply.head);
    assert_eq!(simulation.run_count("after"), 0);
    leaving.await.unwrap();
}

/// Guards against a shutdown that does not wait for the requests in flight.
#[tokio::test]
async fn a_leaving_vm_finishes_accepted_requests() {
    let mut simulation = Simulation::start().await;
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    simulation
        .engines
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::DelayedEvents(ms(200))));
    caller.send(&request("early", "/long/x")).await;
    tokio::time::sleep(ms(100)).await;
    let leaving = tokio::spawn(simulation.vm.take().unwrap().leave());
    let reply = caller.read_answer().await.expect("an answer");
    assert!(reply.is_complete, "{}", reply.text());
    assert!(!simulation.is_ready().await);
    leaving.await.unwrap();
}

/// Guards against requests that are cut off without an answer when the process of a leaving VM ends while their upstreams
/// still work on them.
#[tokio::test]
async fn a_leaving_vm_answers_the_requests_that_outlast_it() {
    let bounds = Bounds { grace: ms(1_500), ..common::bounds() };
    let mut simulation = Simulation::start_with(bounds).await;
    let upstreams = simulation.servers.iter().chain(&simulation.engines);
    upstreams.for_each(|upstream| upstream.set_behaviour(Behaviour::NoAnswer));
    let leaving = tokio::spawn(simulation.vm.take().unwrap().leave());
    tokio::time::sleep(ms(100)).await;
    let mut callers = Vec::new();
    for path in ["/look/x", "/book/x", "/long/x", "/short/x"] {
        let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
        caller.send(&request(&format!("unfinished{path}"), path)).await;
        callers.push((path, caller));
    }
    leaving.await.unwrap();
    for (path, mut caller) in callers {
        let answer = tokio::time::timeout(ms(50), caller.read_answer()).await;
        let answer = answer.ok().flatten().unwrap_or_else(|| panic!("{path}: no answer"));
        assert_eq!((answer.status, answer.is_complete), (502, true), "{path}: {}", answer.head);
        assert_eq!(simulation.run_count(&format!("unfinished{path}")), 1, "{path}");
    }
}

/// Guards against a stream that the end of its VM cuts without a line in the log that names it.
#[tokio::test]
async fn a_stream_that_outlasts_its_vm_is_logged() {
    let bounds = Bounds { grace: ms(1_500), ..common::bounds() };
    let mut simulation = Simulation::start_with(bounds).await;
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::DelayedEvents(ms(280)));
    }
    let leaving = tokio::spawn(simulation.vm.take().unwrap().leave());
    let mut callers = Vec::new();
    for path in ["/long/x", "/short/x"] {
        let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
        caller.send(&request(&format!("outlasting{path}"), path)).await;
        callers.push((path, caller));
    }
    leaving.await.unwrap();
    for (path, mut caller) in callers {
        let answer = caller.read_answer().await.expect("the start of an answer");
        assert!(!answer.is_complete, "{path}: {}", answer.text());
        let is_logged = async |_: &Simulation| {
            let log = common::log_output();
            let mut lines = log.lines().filter(|line| line.contains("stream broken off"));
            lines.any(|line| line.contains(&format!("outlasting{path}")))
        };
        simulation.wait_until("the cut stream is logged", is_logged).await;
    }
}
