//! Guards against attempts that stay in the books of their upstream after they ended.

mod common;

use common::{Simulation, ms, request};
use lw_standin::hosted::caller::Caller;
use lw_standin::hosted::upstream::Behaviour;

/// A caller that leaves before the first event must not make its engine look busy for good.
#[tokio::test]
async fn a_caller_that_leaves_is_taken_out_of_the_books() {
    let simulation = Simulation::start().await;
    simulation.engines.iter().for_each(|engine| engine.always(Behaviour::Silent));
    let edge = &simulation.vm.as_ref().unwrap().edge;
    let in_flight = || edge.with_fleet("llm", |fleet| fleet.in_flight()).unwrap();
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    caller.send(&request("left", "/short/x")).await;
    simulation.wait_until("the request is at its engine", async |_| in_flight() == 1).await;
    drop(caller);
    simulation.wait_until("the request is out of the books", async |_| in_flight() == 0).await;
    assert_eq!(edge.in_flight(), 0);
    tokio::time::sleep(ms(10)).await;
}
