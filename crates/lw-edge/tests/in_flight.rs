//! Guards against attempts that are still counted as in flight at their upstream after they ended.

mod common;

use common::{Simulation, ms, request};
use lw_standin::hosted::caller::Caller;
use lw_standin::hosted::upstream::Behaviour;

/// Guards against an engine that is taken for busy forever because a caller left before the first event.
#[tokio::test]
async fn an_attempt_is_no_longer_in_flight_when_the_caller_leaves() {
    let simulation = Simulation::start().await;
    simulation.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::NoAnswer));
    let edge = &simulation.vm.as_ref().unwrap().edge;
    let in_flight = || edge.with_upstream_pool("llm", |fleet| fleet.in_flight()).unwrap();
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    caller.send(&request("left", "/short/x")).await;
    simulation.wait_until("the request is at its engine", async |_| in_flight() == 1).await;
    drop(caller);
    simulation.wait_until("the request is no longer in flight", async |_| in_flight() == 0).await;
    assert_eq!(edge.in_flight(), 0);
    tokio::time::sleep(ms(10)).await;
}
