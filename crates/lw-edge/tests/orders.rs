//! Guards against engines that keep old weights, and against a rollout that stops with its issuer.

mod common;

use common::{World, ms, name_version};
use lw_catalog::VmSettings;
use lw_edge::run::Vm;
use lw_standin::loopback::free_address;

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
    let second = VmSettings {
        vm: "vm-2".into(),
        callers: free_address(),
        readiness: free_address(),
        peers: free_address(),
        metrics: None,
        ..world.settings.clone()
    };
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
