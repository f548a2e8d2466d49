//! Guards against engines that keep stale weights, and against a rollout that stops when its issuer ends.

mod common;

use common::{Simulation, ms, request, send, set_target_version};
use lw_catalog::{VmSettings, settings::Bounds};
use lw_edge::{
    peers::{self, Notice},
    run::Vm,
    state::Edge,
};
use lw_standin::hosted::{
    store::{ANSWER_DELAY, StoreEndpoint, StoreMode},
    upstream::{MODEL, Upstream},
};
use serde_json::json;

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
    tokio::time::sleep(ANSWER_DELAY + ms(300)).await;
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

/// Returns the VM whose key of the issuer is in the store.
fn issuer(simulation: &Simulation) -> Option<String> {
    let item: serde_json::Value =
        serde_json::from_slice(&simulation.store.get("lavenderwood/issuer")?).unwrap();
    Some(item["vm"].as_str().unwrap().to_owned())
}

/// Starts two further VMs. The first of them holds the lease and reaches the store at an address of its own.
async fn start_with_issuer_at(simulation: &mut Simulation, endpoint: &StoreEndpoint) -> (Vm, Vm) {
    let settings = VmSettings { store: endpoint.addr(), ..simulation.further_settings("vm-2") };
    let second = Vm::start(settings, simulation.logs.clone()).await.unwrap();
    simulation.wait_until_joined(&second).await;
    simulation.vm.take().unwrap().leave().await;
    let is_second = async |simulation: &Simulation| issuer(simulation).as_deref() == Some("vm-2");
    simulation.wait_until("the second VM is the issuer", is_second).await;
    let third =
        Vm::start(simulation.further_settings("vm-3"), simulation.logs.clone()).await.unwrap();
    let is_registered =
        async |simulation: &Simulation| simulation.store.get("lavenderwood/vm/vm-3").is_some();
    simulation.wait_until("the third VM is registered", is_registered).await;
    (second, third)
}

/// Guards against two issuers at a time: a VM whose lease ran out while it was cut off from the store must not remove the
/// key of its successor when it is stopped.
#[tokio::test]
async fn a_former_issuer_that_stops_leaves_the_lease_to_its_successor() {
    let mut simulation = Simulation::start().await;
    let endpoint = simulation.store.add_endpoint().await.unwrap();
    let (second, third) = start_with_issuer_at(&mut simulation, &endpoint).await;
    endpoint.set_available(false);
    let is_third = async |simulation: &Simulation| issuer(simulation).as_deref() == Some("vm-3");
    simulation.wait_until("the third VM is the issuer", is_third).await;
    endpoint.set_available(true);
    let knows_third = |edge: &Edge| {
        let view = edge.store_view();
        let item = view.router_item("lavenderwood/issuer");
        item.is_some_and(|item| String::from_utf8_lossy(&item.value).contains("vm-3"))
    };
    simulation
        .wait_until("the former issuer knows its successor", async |_| knows_third(&second.edge))
        .await;
    let (former, fence) = (second.edge.orders.fence(), third.edge.orders.fence());
    let leaving = tokio::spawn(second.leave());
    while !leaving.is_finished() {
        assert_eq!(issuer(&simulation).as_deref(), Some("vm-3"));
        tokio::time::sleep(ms(10)).await;
    }
    leaving.await.unwrap();
    assert_eq!(third.edge.orders.fence(), fence);
    assert_eq!(former, None, "the term ends with its lease");
}

/// Guards against a VM that takes itself for the issuer although it gave up the call for the lease before the grant: nobody
/// renews that lease, and other VMs wait until it expires.
#[tokio::test]
async fn a_lease_that_is_granted_too_late_is_ended() {
    let mut simulation = Simulation::start().await;
    let second =
        Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await.unwrap();
    simulation.wait_until_joined(&second).await;
    simulation.store.set_mode(StoreMode::DelayedAnswers);
    let first_leaves = tokio::spawn(simulation.vm.take().unwrap().leave());
    let is_second = async |simulation: &Simulation| issuer(simulation).as_deref() == Some("vm-2");
    simulation.wait_until("the second VM has the key", is_second).await;
    tokio::time::sleep(ANSWER_DELAY + ms(100)).await;
    assert_eq!(second.edge.orders.fence(), None);
    assert_eq!(issuer(&simulation), None, "the lease is ended");
    simulation.store.set_mode(StoreMode::Normal);
    let holds = async |_: &Simulation| second.edge.orders.fence().is_some();
    simulation.wait_until("the second VM is the issuer", holds).await;
    assert_eq!(issuer(&simulation).as_deref(), Some("vm-2"));
    first_leaves.await.unwrap();
}

/// Guards against an issuer that goes on without its key, for instance after a VM of an earlier release has removed it: its
/// lease can still be renewed, but another VM becomes the issuer too.
#[tokio::test]
async fn an_issuer_whose_key_is_gone_ends_its_term() {
    let simulation = Simulation::start().await;
    let edge = &simulation.vm.as_ref().expect("the first VM runs").edge;
    let knows_key = async |_: &Simulation| {
        edge.orders.fence().is_some()
            && edge.store_view().router_item("lavenderwood/issuer").is_some()
    };
    simulation.wait_until("the VM is the issuer", knows_key).await;
    let former = edge.orders.fence();
    simulation.store.remove("lavenderwood/issuer");
    let has_ended = async |_: &Simulation| edge.orders.fence() != former;
    simulation.wait_until("the term has ended", has_ended).await;
    simulation.wait_until("the VM is the issuer again", knows_key).await;
    assert!(edge.orders.fence() > former);
}

/// Guards against a VM that the others do not know for as long as it runs: its entry is gone, for instance since a late
/// write has bound it to a former lease, but its lease can still be renewed.
#[tokio::test]
async fn a_vm_whose_entry_is_gone_registers_again() {
    let simulation = Simulation::start().await;
    let edge = &simulation.vm.as_ref().expect("the first VM runs").edge;
    let is_known = async |_: &Simulation| edge.store_view().registered_at("vm-1").is_some();
    simulation.wait_until("the VM is registered", is_known).await;
    // The VM checks its entry whenever it renews the lease.
    tokio::time::sleep(ms(3_000)).await;
    simulation.store.remove("lavenderwood/vm/vm-1");
    tokio::time::sleep(ms(100)).await;
    simulation.wait_until("the VM is registered again", is_known).await;
}

/// Guards against an issuer that takes the time for which an engine could not be polled for the time of its load: all later
/// loads of the roll-out are then polled, and followed by the next one, that much later.
#[tokio::test]
async fn a_load_that_could_not_be_polled_does_not_delay_the_next_ones() {
    let simulation = Simulation::start().await;
    simulation.engines.iter().for_each(|engine| engine.set_load_time(ms(400)));
    set_target_version(&simulation, 2);
    let loads = async |simulation: &Simulation| simulation.engines.iter().any(Upstream::is_loading);
    simulation.wait_until("an engine loads", loads).await;
    tokio::time::sleep(ms(100)).await;
    let loading = simulation.engines.iter().find(|engine| engine.is_loading());
    loading.expect("an engine loads").stall(ms(4_000));
    simulation.wait_until_served(2).await;
    let issued = async |simulation: &Simulation| {
        simulation.engines.iter().all(|engine| !engine.accepted_orders().is_empty())
    };
    simulation.wait_until("all orders are accepted", issued).await;
    tokio::time::sleep(ms(1_000)).await;
    let named_at = tokio::time::Instant::now();
    set_target_version(&simulation, 3);
    simulation.wait_until_served(3).await;
    let time = named_at.elapsed();
    assert!(time < ms(2_500), "a roll-out of two loads of 0.4 s took {time:?}");
}

/// Writes an engine's entry with these models and the versions of their weights, and waits until the VM knows it.
async fn register_models(simulation: &Simulation, engine: &Upstream, models: &[(&str, u64)]) {
    let mut entry = engine.registry_entry("llm", "kochi-a");
    let listed = models.iter().map(|(name, version)| json!({ "Name": name, "Version": version }));
    entry["Models"] = listed.collect();
    simulation.store.put(&format!("servers/{}", engine.id), &entry);
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let is_known = async |_: &Simulation| {
        let upstream = edge.store_view().directory.get(&engine.id).cloned();
        upstream.is_some_and(|upstream| upstream.models.len() == models.len())
    };
    simulation.wait_until("the models are known", is_known).await;
}

/// Guards against engines that keep stale weights of one model since operators have named no weights of another one.
#[tokio::test]
async fn a_model_without_a_target_version_does_not_stop_the_rollout_of_another() {
    let simulation = Simulation::start().await;
    let (first, last) = ([(MODEL, 1), ("other", 1)], [("other", 1), ("third", 4), (MODEL, 1)]);
    register_models(&simulation, &simulation.engines[0], &first).await;
    register_models(&simulation, &simulation.engines[1], &last).await;
    set_target_version(&simulation, 2);
    simulation.wait_until_served(2).await;
    let reply = simulation.send(&request("after", "/short/x")).await.unwrap();
    assert_eq!((reply.status, reply.header("x-weight-versions")), (200, Some("2")));
    for engine in &simulation.engines {
        let versions: Vec<_> = engine.accepted_orders().iter().map(|o| o.version).collect();
        assert_eq!(versions, [2], "{}", engine.id);
    }
}

/// Guards against engines with the oldest weights that are loaded last, since the versions of different models were compared.
#[tokio::test]
async fn engines_that_lag_furthest_behind_load_first_whatever_their_other_models() {
    let mut simulation = Simulation::start().await;
    simulation.add_engines(4).await;
    simulation.store.put("op/version/other", &json!({ "Model": "other", "Version": 1 }));
    for (engine, version) in simulation.engines.iter().zip([2, 2, 1, 1]) {
        register_models(&simulation, engine, &[(MODEL, version), ("other", 1)]).await;
    }
    set_target_version(&simulation, 3);
    simulation.wait_until_served(3).await;
    let ordered_at: Vec<_> =
        simulation.engines.iter().map(|engine| engine.accepted_orders()[0].at).collect();
    let (later, first) = ordered_at.split_at(2);
    assert!(first.iter().max() < later.iter().min(), "{ordered_at:?}");
}

/// Guards against an order that takes an engine back to older weights, by an issuer that has not read yet that newer ones were
/// named. Another VM reports that the engine has loaded them.
#[tokio::test]
async fn an_engine_that_serves_newer_weights_than_this_vm_has_read_of_gets_no_order() {
    let simulation = Simulation::start().await;
    let second = simulation.start_second().await;
    let edge = &simulation.vm.as_ref().expect("the first VM runs").edge;
    let is_issuer = async |_: &Simulation| edge.orders.fence().is_some();
    simulation.wait_until("the first VM is the issuer", is_issuer).await;
    let engine = &simulation.engines[0];
    let notice =
        Notice::Loaded { model: MODEL.into(), version: 2, upstreams: vec![engine.id.clone()] };
    peers::broadcast(&second.edge, notice);
    let is_known = async |_: &Simulation| {
        let served = edge.with_upstream_pool("llm", |pool| pool.version(&engine.id, MODEL));
        served.flatten() == Some(2)
    };
    simulation.wait_until("the version is known", is_known).await;
    tokio::time::sleep(ms(1_500)).await;
    assert!(engine.accepted_orders().is_empty(), "{:?}", engine.accepted_orders());
}
