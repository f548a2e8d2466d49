//! Guards against VMs that act on what they had from the store after it returned from an older copy.

mod common;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use common::{CallerRequest, Simulation, ms, request, send, set_target_version};
use lw_catalog::{Stage, VmSettings};
use lw_edge::{run::Vm, state::Edge};
use lw_standin::hosted::{
    caller::OTHER_KEY,
    operator::revoked_config,
    store::{StoreCopy, StoreMode},
    upstream::Upstream,
};
use serde_json::json;

const ISSUER: &str = "lavenderwood/issuer";
const PEER_KEY: &str = "lavenderwood/peer-key";
const SETTLED_ERA: &str = "lavenderwood/settled-era";
const SECOND_VM: &str = "lavenderwood/vm/vm-2";
/// Time in which operators and upstreams have written again what the copy does not contain.
const REWRITE_TIME: Duration = Duration::from_millis(1_500);

fn other_key(id: &str) -> CallerRequest {
    CallerRequest { key: OTHER_KEY, ..request(id, "/look/x") }
}

/// Writes changes that make no difference, so that revisions grow.
fn grow_revisions(simulation: &Simulation, to: u64) {
    while simulation.store.revision() < to {
        simulation.store.put("op/other", &json!({}));
    }
}

async fn start_second(simulation: &Simulation, settings: VmSettings) -> Vm {
    let second = Vm::start(settings, simulation.logs.clone()).await.unwrap();
    simulation.wait_until_joined(&second).await;
    second
}

fn first_edge(simulation: &Simulation) -> &Arc<Edge> {
    &simulation.vm.as_ref().expect("the first VM runs").edge
}

/// Lets the store be away for a moment and return from the copy.
async fn restore(simulation: &Simulation, copy: &StoreCopy) {
    simulation.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(ms(150)).await;
    simulation.store.restore(copy);
    simulation.store.set_mode(StoreMode::Normal);
}

/// Guards against a reader that gets 410 for a revision that the store does not have, and then stops to follow it.
#[tokio::test]
async fn a_vm_ahead_of_the_restored_store_gets_later_changes() {
    let simulation = Simulation::start().await;
    let copy = simulation.store.copy();
    grow_revisions(&simulation, simulation.store.revision() + 30);
    tokio::time::sleep(ms(100)).await;
    restore(&simulation, &copy).await;
    tokio::time::sleep(ms(300)).await;
    let mut config = common::config(9);
    config["Routes"][0]["Prefix"] = json!("/new/");
    simulation.store.put("op/config", &config);
    let serves = async |simulation: &Simulation| {
        simulation.send(&request("new", "/new/x")).await.is_some_and(|reply| reply.status == 200)
    };
    simulation.wait_until("the new route serves", serves).await;
}

/// Guards against a reader that was away until revisions have passed its own again, gets no 410, and misses the changes
/// in between.
#[tokio::test]
async fn a_change_with_a_revision_that_was_given_out_before_is_found() {
    let simulation = Simulation::start().await;
    let copy = simulation.store.copy();
    let before = simulation.store.revision() + 30;
    grow_revisions(&simulation, before);
    tokio::time::sleep(ms(100)).await;
    simulation.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(ms(150)).await;
    simulation.store.restore(&copy);
    let mut config = common::config(9);
    config["Routes"][0]["Prefix"] = json!("/new/");
    simulation.store.put("op/config", &config);
    grow_revisions(&simulation, before + 10);
    simulation.store.set_mode(StoreMode::Normal);
    let serves = async |simulation: &Simulation| {
        simulation.send(&request("new", "/new/x")).await.is_some_and(|reply| reply.status == 200)
    };
    simulation.wait_until("the new route serves", serves).await;
}

/// Guards against changes that a VM gets from another one whose revisions belong to a later era: the one that is turned
/// away by the store would miss a change and count its view as current.
#[tokio::test]
async fn a_vm_that_is_turned_away_does_not_mix_eras() {
    let simulation = Simulation::start().await;
    let endpoint = simulation.store.add_endpoint().await.unwrap();
    let settings = VmSettings { store: endpoint.addr(), ..simulation.further_settings("vm-2") };
    let second = start_second(&simulation, settings).await;
    let copy = simulation.store.copy();
    grow_revisions(&simulation, simulation.store.revision() + 30);
    tokio::time::sleep(ms(200)).await;
    endpoint.set_available(false);
    tokio::time::sleep(ms(300)).await;
    restore(&simulation, &copy).await;
    tokio::time::sleep(ms(300)).await;
    simulation.store.put("op/config", &revoked_config(9));
    tokio::time::sleep(simulation.settings.bounds.revoke).await;
    for n in 0..5 {
        let reply = send(second.edge.settings.callers, &other_key(&format!("revoked-{n}"))).await;
        let status = reply.map(|reply| reply.status);
        assert!(matches!(status, Some(401 | 503)), "{status:?}");
    }
}

/// Sends requests with the key that is revoked until the time is over; none may be served.
async fn assert_refused(simulation: &Simulation, vm: &VmSettings, time: Duration) {
    let end = Instant::now() + time;
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        let id = format!("{}-{n}", vm.vm);
        let status = send(vm.callers, &other_key(&id)).await.map(|reply| reply.status);
        assert_ne!(status, Some(200), "{id}");
        assert_eq!(simulation.run_count(&id), 0, "{id} ran");
        tokio::time::sleep(ms(20)).await;
    }
}

/// Guards against a VM that was away from the store, reads the older copy, and accepts a key whose revocation was
/// acknowledged but is not written again yet.
#[tokio::test]
async fn a_vm_that_was_away_does_not_accept_a_key_from_an_older_copy() {
    let simulation = Simulation::start().await;
    let copy = simulation.store.copy();
    simulation.store.set_mode(StoreMode::Unavailable);
    simulation.store.put("op/config", &revoked_config(9));
    tokio::time::sleep(simulation.settings.bounds.revoke).await;
    simulation.store.restore(&copy);
    simulation.store.set_mode(StoreMode::Normal);
    assert_refused(&simulation, &simulation.settings, REWRITE_TIME).await;
    simulation.store.put("op/config", &revoked_config(9));
    let serves = async |simulation: &Simulation| {
        simulation.send(&request("a", "/look/x")).await.is_some_and(|reply| reply.status == 200)
    };
    simulation.wait_until("the other key is accepted", serves).await;
    let reply = simulation.send(&other_key("b")).await.unwrap();
    assert_eq!(reply.status, 401);
}

/// Guards against a VM that starts after the return, takes the older configuration for the newest one, and accepts a
/// revoked key or answers that an added route does not exist.
#[tokio::test]
async fn a_vm_that_starts_after_the_return_waits_for_what_is_written_again() {
    let simulation = Simulation::start().await;
    let copy = simulation.store.copy();
    simulation.store.put("op/config", &revoked_config(9));
    tokio::time::sleep(ms(100)).await;
    restore(&simulation, &copy).await;
    let settings = simulation.further_settings("vm-2");
    let second = Vm::start(settings.clone(), simulation.logs.clone()).await.unwrap();
    tokio::time::sleep(ms(50)).await;
    let added = send(settings.callers, &request("added", "/added/x")).await;
    assert!(added.is_none_or(|reply| reply.status == 503), "a route of the lost configuration");
    assert_refused(&simulation, &settings, REWRITE_TIME).await;
    simulation.store.put("op/config", &revoked_config(9));
    let serves = async |_: &Simulation| {
        let reply = send(settings.callers, &request("a", "/look/x")).await;
        reply.is_some_and(|reply| reply.status == 200)
    };
    simulation.wait_until("the other key is accepted", serves).await;
    let is_recorded = async |simulation: &Simulation| {
        simulation.store.get(SETTLED_ERA).as_deref() == Some(br#"{"era":1}"#)
    };
    simulation.wait_until("the era is recorded", is_recorded).await;
    // The next VM that starts need not wait.
    let started = Instant::now();
    let third = Vm::start(simulation.further_settings("vm-3"), simulation.logs.clone()).await;
    let callers = third.as_ref().unwrap().edge.settings.callers;
    let serves = async |_: &Simulation| {
        send(callers, &request("b", "/look/x")).await.is_some_and(|reply| reply.status == 200)
    };
    simulation.wait_until("the third VM serves", serves).await;
    assert!(started.elapsed() < ms(1_000), "{:?}", started.elapsed());
    drop((second, third));
}

/// Guards against fencing numbers that go back with the revisions: engines refuse the orders of the next issuer.
#[tokio::test]
async fn a_rollout_goes_on_after_the_return() {
    let mut simulation = Simulation::start().await;
    let has_issuer = async |simulation: &Simulation| simulation.store.get(ISSUER).is_some();
    simulation.wait_until("the first VM is the issuer", has_issuer).await;
    let copy = simulation.store.copy();
    grow_revisions(&simulation, simulation.store.revision() + 200);
    let second = start_second(&simulation, simulation.further_settings("vm-2")).await;
    let leaving = tokio::spawn(simulation.vm.take().unwrap().leave());
    set_target_version(&simulation, 2);
    simulation.wait_until_served(2).await;
    restore(&simulation, &copy).await;
    set_target_version(&simulation, 3);
    simulation.wait_until_served(3).await;
    for engine in &simulation.engines {
        let fences: Vec<u64> = engine.accepted_orders().iter().map(|order| order.fence).collect();
        assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
    }
    leaving.await.unwrap();
    drop(second);
}

/// Guards against two holders of the issuer's lease: the one whose lease was lost renews an id that was given out again,
/// and another one acquires the free key.
#[tokio::test]
async fn at_most_one_vm_holds_the_lease_after_the_return() {
    let simulation = Simulation::start().await;
    let second = start_second(&simulation, simulation.further_settings("vm-2")).await;
    let fences = || [first_edge(&simulation), &second.edge].map(|edge| edge.orders.fence());
    simulation
        .wait_until("a VM is the issuer", async |_| fences().iter().any(Option::is_some))
        .await;
    let copy = simulation.store.copy().without(ISSUER);
    grow_revisions(&simulation, simulation.store.revision() + 5);
    tokio::time::sleep(ms(100)).await;
    simulation.store.restore(&copy);
    let end = Instant::now() + ms(4_000);
    while Instant::now() < end {
        let fences = fences();
        assert!(fences.iter().any(Option::is_none), "two holders: {fences:?}");
        tokio::time::sleep(ms(2)).await;
    }
    assert!(fences().iter().any(Option::is_some), "nobody holds the lease");
}

/// Guards against a VM whose lost entry nobody writes again, since it renews a lease id that was given out again.
#[tokio::test]
async fn a_vm_registers_again_after_the_return() {
    let simulation = Simulation::start().await;
    let second = start_second(&simulation, simulation.further_settings("vm-2")).await;
    simulation.store.restore(&simulation.store.copy().without(SECOND_VM));
    let is_registered = async |simulation: &Simulation| {
        let view = first_edge(simulation).store_view();
        simulation.store.get(SECOND_VM).is_some() && view.vms().count() == 2
    };
    simulation.wait_until("the second VM is registered again", is_registered).await;
    drop(second);
}

/// Guards against a lost key of the messages between VMs that nobody writes again, or that one of them creates anew with
/// another value.
#[tokio::test]
async fn the_key_of_the_messages_is_written_again_with_the_same_value() {
    let simulation = Simulation::start().await;
    let second = start_second(&simulation, simulation.further_settings("vm-2")).await;
    let key = simulation.store.get(PEER_KEY).expect("a key");
    simulation.store.restore(&simulation.store.copy().without(PEER_KEY));
    let third = Vm::start(simulation.further_settings("vm-3"), simulation.logs.clone()).await;
    let is_back = async |simulation: &Simulation| simulation.store.get(PEER_KEY).is_some();
    simulation.wait_until("the key is back", is_back).await;
    assert_eq!(simulation.store.get(PEER_KEY).as_ref(), Some(&key));
    drop((second, third));
}

/// Guards against a quarantined set that counts as released by operators because the older copy does not contain it:
/// requests with it would crash engines again.
#[tokio::test]
async fn a_quarantined_set_that_the_copy_does_not_contain_stays_quarantined() {
    let simulation = Simulation::start().await;
    let copy = simulation.store.copy();
    let is_stored = |simulation: &Simulation| {
        simulation.store.keys().iter().any(|key| key.starts_with("lavenderwood/quarantine/"))
    };
    let entry = json!({ "segments": ["a1"], "crashes": 5 });
    simulation.store.put("lavenderwood/quarantine/by-another-vm", &entry);
    let is_quarantined = async |simulation: &Simulation| {
        let edge = first_edge(simulation);
        let now = edge.timer.now_including_suspend();
        edge.quarantine.lock().sets(now).count() == 1
    };
    simulation.wait_until("the set is quarantined", is_quarantined).await;
    restore(&simulation, &copy).await;
    let end = Instant::now() + ms(4_000);
    while Instant::now() < end {
        let reply = simulation.send(&request("q", "/long/x")).await.unwrap();
        assert_eq!(reply.status, 503, "{}", reply.head);
        tokio::time::sleep(ms(50)).await;
    }
    assert!(is_stored(&simulation), "the set is not in the store");
}

/// Guards against requests to an upstream that was leaving, or gone, and is ready again in the older copy.
#[tokio::test]
async fn an_upstream_that_was_leaving_or_gone_gets_no_requests_after_the_return() {
    for is_gone in [false, true] {
        let simulation = Simulation::start().await;
        let desk = &simulation.servers[0];
        let key = format!("servers/{}", desk.id);
        let entry = desk.registry_entry("desk", "kochi-a");
        let copy = simulation.store.copy();
        if is_gone {
            simulation.store.remove(&key);
        } else {
            let mut leaving = entry.clone();
            leaving["State"] = json!("draining");
            simulation.store.put(&key, &leaving);
        }
        let edge = first_edge(&simulation);
        let is_unused = async |_: &Simulation| {
            let view = edge.store_view();
            view.directory.get(&desk.id).is_none_or(|desk| desk.stage == Stage::Leaving)
        };
        simulation.wait_until("the upstream is unused", is_unused).await;
        let received = desk.received().len();
        restore(&simulation, &copy).await;
        for n in 0..40 {
            simulation.send(&request(&format!("later-{n}"), "/look/x")).await;
            tokio::time::sleep(ms(25)).await;
        }
        assert_eq!(desk.received().len(), received, "gone: {is_gone}");
        if is_gone {
            // It runs after all and registers again.
            simulation.store.put(&key, &entry);
            let mut n = 0;
            let is_used = async |simulation: &Simulation| {
                n += 1;
                simulation.send(&request(&format!("again-{n}"), "/look/x")).await;
                simulation.servers[0].received().len() > received
            };
            simulation.wait_until("the upstream is used again", is_used).await;
        }
    }
}

/// Guards against an issuer that acts in the next era on a term of the one before, when engines do not check fencing
/// numbers and the record of the last orders was lost.
#[tokio::test]
async fn the_next_issuer_waits_when_the_record_of_the_last_orders_was_lost() {
    let wait = ms(4_000);
    let bounds = lw_catalog::settings::Bounds { is_fenced: false, lease: wait, ..common::bounds() };
    let mut simulation = Simulation::start_with(bounds).await;
    let second = start_second(&simulation, simulation.further_settings("vm-2")).await;
    let copy = simulation.store.copy().without(ISSUER).without("lavenderwood/last-issuer");
    let at = |simulation: &Simulation, version| {
        let orders = simulation.engines.iter().flat_map(Upstream::accepted_orders);
        let orders = orders.filter(move |order| order.version == version);
        orders.map(|order| (order.at, order.issuer)).collect::<Vec<_>>()
    };
    set_target_version(&simulation, 2);
    simulation.wait_until_served(2).await;
    // The issuer is lost with the store's memory of it; the other VM is the next one.
    let first = simulation.vm.take().unwrap();
    let (former, next) =
        if first.edge.orders.fence().is_some() { (first, second) } else { (second, first) };
    drop(former);
    restore(&simulation, &copy).await;
    let returned_at = tokio::time::Instant::now();
    set_target_version(&simulation, 3);
    simulation.wait_until_served(3).await;
    let last = at(&simulation, 2).into_iter().map(|(at, _)| at).max().expect("an order");
    let first = at(&simulation, 3).into_iter().map(|(at, _)| at).min().expect("an order");
    assert!(first >= last + wait, "{:?} between the orders of two VMs", first - last);
    // The lease that was lost lasts 1.5 s at most; no more than half a second is lost beyond that and the wait.
    let longest = ms(1_500) + wait + ms(500);
    assert!(first < returned_at + longest, "{:?} after the return", first - returned_at);
    drop(next);
}

/// Guards against callers that are refused for longer than the store takes to settle, since the view becomes current only
/// with a watch that began afterwards.
#[tokio::test]
async fn callers_are_served_as_soon_as_the_store_has_settled() {
    let bounds = lw_catalog::settings::Bounds { revoke: ms(5_000), ..common::bounds() };
    let simulation = Simulation::start_with(bounds).await;
    simulation.store.restore(&simulation.store.copy());
    let settings = simulation.further_settings("vm-2");
    let started = Instant::now();
    let second = Vm::start(settings.clone(), simulation.logs.clone()).await.unwrap();
    let serves = async |_: &Simulation| {
        let reply = send(settings.callers, &request("a", "/look/x")).await;
        reply.is_some_and(|reply| reply.status == 200)
    };
    simulation.wait_until("the VM serves", serves).await;
    assert!(started.elapsed() < ms(2_500), "{:?}", started.elapsed());
    drop(second);
}
