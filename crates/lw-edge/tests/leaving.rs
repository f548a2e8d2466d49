//! Guards against requests that are cut off when a VM is shut down as planned.

mod common;

use common::{Simulation, ms, request};
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
