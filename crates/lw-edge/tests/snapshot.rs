//! Guards against VMs that each read a large store when they start, and against VMs that start without all of it.

mod common;

use std::net::SocketAddr;

use common::{Simulation, log_output, ms};
use lw_catalog::VmSettings;
use lw_edge::{
    distribution::source::{FOLLOWER_ROLE_MIN_VMS, SourceSelector},
    run::Vm,
    state::keys::PEER_KEY,
};
use lw_standin::hosted::store::Store;
use serde_json::json;

/// More items than a page of the store contains.
const ITEMS: usize = 600;

/// Starts a VM, and a store with several pages.
async fn start_with_large_store() -> Simulation {
    let simulation = Simulation::start().await;
    for n in 0..ITEMS {
        simulation.store.put(&format!("zz/item-{n}"), &json!("x"));
    }
    let has_key = async |simulation: &Simulation| simulation.store.get(PEER_KEY).is_some();
    simulation.wait_until("messages can be authenticated", has_key).await;
    simulation
}

/// Registers a fleet whose VMs all have this address, and returns their names.
fn register_fleet(store: &Store, addr: SocketAddr) -> Vec<String> {
    let names: Vec<_> = (0..=FOLLOWER_ROLE_MIN_VMS).map(|n| format!("peer-{n}")).collect();
    for name in &names {
        let entry = json!({ "addr": addr, "failure_domain": "kochi-a" });
        store.put(&format!("lavenderwood/vm/{name}"), &entry);
    }
    names
}

/// Returns settings of a VM that follows the store in this fleet, or of one that does not.
fn settings(simulation: &Simulation, names: &[String], is_follower: bool) -> VmSettings {
    let name = |n| format!("vm-{n}");
    let has_role =
        |n: &u32| SourceSelector::is_follower(&name(*n), names, names.len()) == is_follower;
    simulation.further_settings(&name((10..100).find(has_role).expect("some name has this rank")))
}

fn upstreams(vm: &Vm) -> Vec<String> {
    let view = vm.edge.store_view();
    let mut ids: Vec<_> = view.directory.iter().map(|upstream| upstream.id.clone()).collect();
    ids.sort();
    ids
}

#[tokio::test]
async fn a_vm_that_starts_gets_a_large_store_from_another_vm_and_follows_its_changes() {
    let simulation = start_with_large_store().await;
    let any_addr = simulation.settings.peers;
    let names = register_fleet(&simulation.store, any_addr);
    let source = settings(&simulation, &names, true);
    register_fleet(&simulation.store, source.peers);
    let source = Vm::start(source, simulation.logs.clone()).await.unwrap();
    let has_items = async |_: &Simulation| {
        source.edge.distribution.with_journal(|journal| journal.items().is_some())
    };
    simulation.wait_until("the follower has read the store", has_items).await;

    let own = settings(&simulation, &names, false);
    let starting = Vm::start(own, simulation.logs.clone()).await.unwrap();
    let has_view = async |_: &Simulation| {
        starting.edge.store_view().age(starting.edge.timer.now_including_suspend()).is_some()
    };
    simulation.wait_until("the VM has a view", has_view).await;
    let is_logged =
        async |_: &Simulation| log_output().contains("view of the store received from another VM");
    simulation.wait_until("its source is logged", is_logged).await;
    assert_eq!(upstreams(&starting), upstreams(&source));
    assert!(starting.edge.store_view().catalog().is_some());
    common::set_target_version(&simulation, 9);
    let follows = async |_: &Simulation| starting.edge.store_view().newest_version("m") == Some(9);
    simulation.wait_until("the VM gets later changes", follows).await;
}

/// Guards against a VM that waits forever for others, all of which were killed.
#[tokio::test]
async fn a_vm_whose_peers_do_not_answer_reads_the_store() {
    let simulation = start_with_large_store().await;
    // Nothing listens there.
    let nowhere = simulation.further_settings("vm-nowhere").peers;
    let names = register_fleet(&simulation.store, nowhere);
    let own = settings(&simulation, &names, false);
    let starting = Vm::start(own, simulation.logs.clone()).await.unwrap();
    tokio::time::sleep(ms(500)).await;
    assert!(starting.edge.store_view().catalog().is_none(), "it asks the others first");
    let has_view = async |_: &Simulation| starting.edge.store_view().catalog().is_some();
    simulation.wait_until("the VM has read the store", has_view).await;
    assert_eq!(upstreams(&starting), upstreams(simulation.vm.as_ref().expect("the first VM runs")));
}
