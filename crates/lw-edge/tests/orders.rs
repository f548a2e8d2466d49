//! Guards against engines that keep stale weights, and against a rollout that stops when its issuer ends.

mod common;

use common::{Simulation, ms, request, send, set_target_version};
use lw_catalog::settings::Bounds;
use lw_edge::run::Vm;
use lw_standin::hosted::{
    store::{StoreMode, WRITE_ANSWER_DELAY},
    upstream::Upstream,
};

/// Guards against engines that do not load the target version, and against requests that are then still served by stale
/// weights.
#[tokio::test]
async fn engines_load_the_target_version() {
    let simulation = Simulation::start().await;
    set_target_version(&simulation, 2);
    simulation.wait_until_served(2).await;
    let reply = simulation.send(&common::request("after", "/short/x")).await.unwrap();
    assert_eq!((reply.status, reply.header("x-weight-versions")), (200, Some("2")));
}

/// Guards against a leaving issuer whose lease must expire before another VM can be the issuer.
#[tokio::test]
async fn another_vm_becomes_the_issuer_when_the_issuer_leaves() {
    let mut simulation = Simulation::start().await;
    let issued =
        async |simulation: &Simulation| simulation.store.get("lavenderwood/issuer").is_some();
    simulation.wait_until("the first VM is the issuer", issued).await;
    let second = simulation.further_settings("vm-2");
    let second = Vm::start(second, simulation.logs.clone()).await.unwrap();
    let leaving = tokio::spawn(simulation.vm.take().unwrap().leave());
    tokio::time::sleep(ms(300)).await;
    let holder =
        simulation.store.get("lavenderwood/issuer").expect("the second VM holds the lease");
    assert!(String::from_utf8_lossy(&holder).contains("vm-2"));
    set_target_version(&simulation, 2);
    simulation.wait_until_served(2).await;
    leaving.await.unwrap();
    drop(second);
}

/// Guards against a VM that starts, or is registered again, during a load and sends requests to the engine that loads.
/// The engine rejects them, so that requests with one attempt fail.
#[tokio::test]
async fn a_vm_that_starts_during_a_load_sends_no_work_to_the_engine() {
    let simulation = Simulation::start().await;
    simulation.engines.iter().for_each(|engine| engine.set_load_time(ms(4000)));
    set_target_version(&simulation, 2);
    let loads = async |simulation: &Simulation| simulation.engines.iter().any(Upstream::is_loading);
    simulation.wait_until("an engine loads", loads).await;
    let settings = simulation.further_settings("vm-2");
    let second = Vm::start(settings.clone(), simulation.logs.clone()).await.unwrap();
    let is_registered =
        async |simulation: &Simulation| simulation.store.get("lavenderwood/vm/vm-2").is_some();
    simulation.wait_until("the second VM is registered", is_registered).await;
    tokio::time::sleep(ms(700)).await;
    for n in 0..12 {
        let mut req = request(&format!("spared-{n}"), "/short/x");
        // The prompt differs each time, so that each engine is preferred for some of the requests.
        req.headers =
            req.headers.replace("a1:", &format!("a{n}:")).replace("b2:", &format!("b{n}:"));
        let reply = send(settings.callers, &req).await.expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.head);
    }
    assert!(loads(&simulation).await, "the load must last until the end of the test");
    drop(second);
}

/// Guards against a VM that receives the signal to terminate while its call for the lease is open, and then keeps the
/// granted lease until it ends.
#[tokio::test]
async fn a_lease_that_is_granted_to_a_leaving_vm_is_released() {
    let mut simulation = Simulation::start().await;
    let is_issuer = |simulation: &Simulation, vm: &str| {
        let holder = simulation.store.get("lavenderwood/issuer").unwrap_or_default();
        String::from_utf8_lossy(&holder).contains(vm)
    };
    simulation
        .wait_until("vm-1 is the issuer", async |simulation| is_issuer(simulation, "vm-1"))
        .await;
    let second =
        Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await.unwrap();
    let registered =
        async |simulation: &Simulation| simulation.store.get("lavenderwood/vm/vm-2").is_some();
    simulation.wait_until("vm-2 is registered", registered).await;
    simulation.store.set_mode(StoreMode::DelayedWriteAnswers);
    let first_leaves = tokio::spawn(simulation.vm.take().unwrap().leave());
    simulation
        .wait_until("vm-2 is the issuer", async |simulation| is_issuer(simulation, "vm-2"))
        .await;
    let second_leaves = tokio::spawn(second.leave());
    simulation.store.set_mode(StoreMode::Normal);
    tokio::time::sleep(WRITE_ANSWER_DELAY + ms(300)).await;
    assert!(!is_issuer(&simulation, "vm-2"), "the leaving VM keeps the lease");
    first_leaves.await.unwrap();
    second_leaves.await.unwrap();
}

/// Guards against a handover that loses the time of the last order. If engines ignore fencing numbers, the next issuer
/// must wait a fixed time after that order, but no longer.
#[tokio::test]
async fn the_next_issuer_waits_from_the_last_order_of_the_former_issuer() {
    let wait = ms(2_000);
    let bounds = Bounds { is_fenced: false, lease: wait, ..common::bounds() };
    let mut simulation = Simulation::start_with(bounds).await;
    set_target_version(&simulation, 2);
    simulation.wait_until_served(2).await;
    let second =
        Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await.unwrap();
    let registered =
        async |simulation: &Simulation| simulation.store.get("lavenderwood/vm/vm-2").is_some();
    simulation.wait_until("vm-2 is registered", registered).await;
    let leaving = tokio::spawn(simulation.vm.take().unwrap().leave());
    let is_issuer = async |simulation: &Simulation| {
        let holder = simulation.store.get("lavenderwood/issuer").unwrap_or_default();
        String::from_utf8_lossy(&holder).contains("\"vm\":\"vm-2\"")
    };
    simulation.wait_until("vm-2 is the issuer", is_issuer).await;
    let granted_at = tokio::time::Instant::now();
    set_target_version(&simulation, 3);
    simulation.wait_until_served(3).await;
    for engine in &simulation.engines {
        let orders = engine.accepted_orders();
        let (last, next) = (&orders[0], &orders[1]);
        assert_eq!((last.issuer.as_str(), next.issuer.as_str()), ("vm-1", "vm-2"));
    }
    let at = |version| {
        let orders = simulation.engines.iter().flat_map(Upstream::accepted_orders);
        orders.filter(move |order| order.version == version).map(|order| order.at)
    };
    let (last, first) = (at(2).max().expect("an order"), at(3).min().expect("an order"));
    assert!(first >= last + wait, "{:?} between the orders of two VMs", first - last);
    assert!(first < granted_at + wait, "{:?} after it acquired the lease", first - granted_at);
    leaving.await.unwrap();
    drop(second);
}
