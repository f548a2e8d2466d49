//! Guards against engines that keep old weights, and against a rollout that stops with its issuer.

mod common;

use common::{World, ms, name_version, request, send};
use lw_catalog::settings::Bounds;
use lw_edge::run::Vm;
use lw_standin::hosted::{
    store::{LATE_TIME, Mode},
    upstream::Upstream,
};

#[tokio::test]
async fn engines_get_the_named_version() {
    let world = World::start().await;
    name_version(&world, 2);
    let done = async |world: &World| world.engines.iter().all(|engine| engine.version() == 2);
    world.until("all engines serve version 2", done).await;
    let reply = world.send(&common::request("after", "/short/x")).await.unwrap();
    assert_eq!((reply.status, reply.header("x-weight-versions")), (200, Some("2")));
}

/// Guards against a wait for the lease of an issuer that was told to end.
#[tokio::test]
async fn another_vm_goes_on_when_the_issuer_leaves() {
    let mut world = World::start().await;
    let issued = async |world: &World| world.store.get("lavenderwood/issuer").is_some();
    world.until("the first VM is the issuer", issued).await;
    let second = world.another("vm-2");
    let second = Vm::start(second, world.logs.clone()).await.unwrap();
    let leaving = tokio::spawn(world.vm.take().unwrap().leave());
    tokio::time::sleep(ms(300)).await;
    let holder = world.store.get("lavenderwood/issuer").expect("the second VM holds the lease");
    assert!(String::from_utf8_lossy(&holder).contains("vm-2"));
    name_version(&world, 2);
    let done = async |world: &World| world.engines.iter().all(|engine| engine.version() == 2);
    world.until("all engines serve version 2", done).await;
    leaving.await.unwrap();
    drop(second);
}

/// Guards against a VM that starts, or is registered again, during a load and sends work to the engine that loads: the
/// engine rejects it, and requests with one attempt are lost.
#[tokio::test]
async fn a_vm_that_starts_during_a_load_spares_the_engine() {
    let world = World::start().await;
    world.engines.iter().for_each(|engine| engine.set_load_time(ms(4000)));
    name_version(&world, 2);
    let loads = async |world: &World| world.engines.iter().any(Upstream::is_loading);
    world.until("an engine loads", loads).await;
    let settings = world.another("vm-2");
    let second = Vm::start(settings.clone(), world.logs.clone()).await.unwrap();
    let is_registered = async |world: &World| world.store.get("lavenderwood/vm/vm-2").is_some();
    world.until("the second VM is registered", is_registered).await;
    tokio::time::sleep(ms(700)).await;
    for n in 0..12 {
        let mut req = request(&format!("spared-{n}"), "/short/x");
        // Another prompt each time, so that each engine is preferred by some.
        req.headers =
            req.headers.replace("a1:", &format!("a{n}:")).replace("b2:", &format!("b{n}:"));
        let reply = send(settings.callers, &req).await.expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.head);
    }
    assert!(loads(&world).await, "the load was over too soon for the test");
    drop(second);
}

/// Guards against a VM that is told to end while the answer about its lease is on the way, and then keeps the lease for
/// as long as it serves.
#[tokio::test]
async fn a_lease_that_is_granted_to_a_leaving_vm_is_given_back() {
    let mut world = World::start().await;
    let is_issuer = |world: &World, vm: &str| {
        let holder = world.store.get("lavenderwood/issuer").unwrap_or_default();
        String::from_utf8_lossy(&holder).contains(vm)
    };
    world.until("vm-1 is the issuer", async |world| is_issuer(world, "vm-1")).await;
    let second = Vm::start(world.another("vm-2"), world.logs.clone()).await.unwrap();
    let registered = async |world: &World| world.store.get("lavenderwood/vm/vm-2").is_some();
    world.until("vm-2 is registered", registered).await;
    world.store.set_mode(Mode::LateWrites);
    let first_leaves = tokio::spawn(world.vm.take().unwrap().leave());
    world.until("vm-2 is the issuer", async |world| is_issuer(world, "vm-2")).await;
    let second_leaves = tokio::spawn(second.leave());
    world.store.set_mode(Mode::Sound);
    tokio::time::sleep(LATE_TIME + ms(300)).await;
    assert!(!is_issuer(&world, "vm-2"), "it keeps the lease");
    first_leaves.await.unwrap();
    second_leaves.await.unwrap();
}

/// Guards against a hand-over that hides when the last order was given: on engines that ignore fencing numbers the next
/// issuer must wait from then, and only from then.
#[tokio::test]
async fn the_next_issuer_waits_from_the_last_order_of_the_one_before() {
    let wait = ms(2_000);
    let bounds = Bounds { is_fenced: false, lease: wait, ..common::bounds() };
    let mut world = World::start_with(bounds).await;
    let serves = async |world: &World, version: u64| {
        world.engines.iter().all(|engine| engine.version() == version)
    };
    name_version(&world, 2);
    world.until("all engines serve version 2", async |world| serves(world, 2).await).await;
    let second = Vm::start(world.another("vm-2"), world.logs.clone()).await.unwrap();
    let registered = async |world: &World| world.store.get("lavenderwood/vm/vm-2").is_some();
    world.until("vm-2 is registered", registered).await;
    let leaving = tokio::spawn(world.vm.take().unwrap().leave());
    let is_issuer = async |world: &World| {
        let holder = world.store.get("lavenderwood/issuer").unwrap_or_default();
        String::from_utf8_lossy(&holder).contains("\"vm\":\"vm-2\"")
    };
    world.until("vm-2 is the issuer", is_issuer).await;
    let has_lease = tokio::time::Instant::now();
    name_version(&world, 3);
    world.until("all engines serve version 3", async |world| serves(world, 3).await).await;
    for engine in &world.engines {
        let orders = engine.orders();
        let (last, next) = (&orders[0], &orders[1]);
        assert_eq!((last.issuer.as_str(), next.issuer.as_str()), ("vm-1", "vm-2"));
    }
    let at = |version| {
        let orders = world.engines.iter().flat_map(Upstream::orders);
        orders.filter(move |order| order.version == version).map(|order| order.at)
    };
    let (last, first) = (at(2).max().expect("an order"), at(3).min().expect("an order"));
    assert!(first >= last + wait, "{:?} between the orders of two VMs", first - last);
    assert!(first < has_lease + wait, "{:?} after it took the lease", first - has_lease);
    leaving.await.unwrap();
    drop(second);
}
