//! Guards against requests sent to upstreams that are leaving, gone, unknown, or not the intended ones.

mod common;

use std::time::Instant;

use common::{Simulation, ms, request, send};
use lw_catalog::{Stage, settings::Bounds};
use lw_edge::run::Vm;
use lw_standin::hosted::{
    store::StoreMode,
    upstream::{Behaviour, Upstream},
};
use serde_json::json;

fn upstream_key(id: &str) -> String {
    format!("servers/{id}")
}

/// Sends requests until upstream `id` received none of the last ten; panics if that does not happen.
async fn wait_until_unused(simulation: &Simulation, id: &str) {
    let is_unused = async |simulation: &Simulation| {
        let server = simulation.servers.iter().find(|server| server.id == id).unwrap();
        let before = server.received().len();
        for n in 0..10 {
            let reply = simulation.send(&request(&format!("n{n}"), "/look/x")).await.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.head);
        }
        server.received().len() == before
    };
    simulation.wait_until("the upstream receives no requests", is_unused).await;
}

/// Guards against requests sent to an upstream whose entry says that it is leaving, cannot be read or was removed.
#[tokio::test]
async fn upstreams_with_leaving_removed_or_unreadable_entries_get_no_requests() {
    let simulation = Simulation::start().await;
    let mut entry = simulation.servers[0].registry_entry("desk", "kochi-a");
    entry["State"] = json!("draining");
    simulation.store.put(&upstream_key("desk-1"), &entry);
    wait_until_unused(&simulation, "desk-1").await;
    simulation
        .store
        .put(&upstream_key("desk-1"), &simulation.servers[0].registry_entry("desk", "kochi-a"));
    let before = simulation.servers[0].received().len();
    let mut n = 0;
    let gets_requests = async |simulation: &Simulation| {
        n += 1;
        simulation.send(&request(&format!("again-{n}"), "/look/x")).await.unwrap();
        simulation.servers[0].received().len() > before
    };
    simulation.wait_until("the upstream receives requests again", gets_requests).await;
    for entry in [
        json!({ "Service": "desk" }),
        json!({ "Service": 7, "Address": true }),
        json!({ "Service": "desk", "Address": "10.0.0.1:80", "Zone": "z", "Slots": 1, "State": "odd" }),
    ] {
        simulation.store.put(&upstream_key("desk-1"), &entry);
        wait_until_unused(&simulation, "desk-1").await;
    }
    simulation.store.put_bytes(&upstream_key("desk-1"), b"\xff\xfe");
    wait_until_unused(&simulation, "desk-1").await;
    simulation.store.remove(&upstream_key("desk-1"));
    wait_until_unused(&simulation, "desk-1").await;
}

/// Guards against dropping running upstreams after an outage of the store, during which their entries expire, and
/// against using the others for too long: running upstreams register again within two seconds of the store's return.
#[tokio::test]
async fn an_entry_that_expired_in_a_store_outage_is_used_until_it_must_be_registered_again() {
    let simulation = Simulation::start().await;
    simulation.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(ms(200)).await;
    for server in &simulation.servers {
        simulation.store.remove(&upstream_key(&server.id));
    }
    simulation.store.set_mode(StoreMode::Normal);
    tokio::time::sleep(ms(300)).await;
    assert_eq!(simulation.send(&request("kept", "/look/x")).await.unwrap().status, 200);
    // One upstream registers again, the other one does not.
    simulation
        .store
        .put(&upstream_key("desk-2"), &simulation.servers[1].registry_entry("desk", "kochi-a"));
    tokio::time::sleep(ms(1_900)).await;
    wait_until_unused(&simulation, "desk-1").await;
}

/// Returns bounds with the platform's usual heartbeats, under which a watch waits for seconds if nothing changes.
fn long_watches() -> Bounds {
    Bounds { revoke: ms(60_000), heartbeat: ms(1_200), ..common::bounds() }
}

/// Sends requests, many at once, from the end of `drain` after `removed` on; none may reach the upstream.
async fn assert_unused_after_drain(simulation: &Simulation, id: &str, removed: Instant) {
    let server = simulation.servers.iter().find(|server| server.id == id).unwrap();
    tokio::time::sleep_until((removed + simulation.settings.bounds.drain).into()).await;
    let before = server.received().len();
    for round in 0..10 {
        let requests: Vec<_> =
            (0..20).map(|n| request(&format!("late-{round}-{n}"), "/look/x")).collect();
        let replies = requests.iter().map(|request| simulation.send(request));
        for reply in futures::future::join_all(replies).await {
            assert_eq!(reply.expect("an answer").status, 200);
        }
    }
    assert_eq!(server.received().len() - before, 0, "requests reached {id} too late");
}

/// Guards against requests sent to an upstream that is gone, since a cut of a watch was taken for an outage of the store.
#[tokio::test]
async fn an_upstream_that_is_removed_after_a_watch_was_cut_gets_no_requests() {
    let simulation = Simulation::start_with(long_watches()).await;
    simulation.store.cut_watches();
    tokio::time::sleep(ms(50)).await;
    simulation.store.remove(&upstream_key("desk-1"));
    assert_unused_after_drain(&simulation, "desk-1", Instant::now()).await;
}

/// Guards against the same where the cut comes just after the removal, with a compaction.
#[tokio::test]
async fn an_upstream_that_is_removed_before_a_cut_with_a_compaction_gets_no_requests() {
    let simulation = Simulation::start_with(long_watches()).await;
    // The watch is cut before it can return the removal.
    simulation.store.cut_watches();
    simulation.store.remove(&upstream_key("desk-1"));
    simulation.store.compact();
    assert_unused_after_drain(&simulation, "desk-1", Instant::now()).await;
}

/// Guards against requests sent to an upstream whose entry expired in an outage and did not come back, for as long as nothing
/// else changes in the store.
#[tokio::test]
async fn an_expired_entry_is_dropped_in_time_while_no_other_change_comes() {
    let simulation = Simulation::start_with(long_watches()).await;
    simulation.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(ms(1_400)).await;
    simulation.store.remove(&upstream_key("desk-1"));
    simulation.store.set_mode(StoreMode::Normal);
    let returned = Instant::now();
    tokio::time::sleep(ms(500)).await;
    let edge = &simulation.vm.as_ref().unwrap().edge;
    assert!(edge.store_view().directory.is_expired("desk-1"), "its entry may come back");
    assert_unused_after_drain(&simulation, "desk-1", returned).await;
}

/// Guards against a request that the wrong upstream runs: the address of an upstream that is gone may be reused by
/// another one.
#[tokio::test]
async fn another_upstream_at_a_reused_address_does_not_run_the_request() {
    let simulation = Simulation::start().await;
    let other = Upstream::start("another").await.unwrap();
    let mut entry = other.registry_entry("desk", "kochi-a");
    for id in ["desk-1", "desk-2"] {
        entry["born"] = json!(1_800_000_000_000_u64);
        simulation.store.put(&upstream_key(id), &entry);
    }
    tokio::time::sleep(ms(100)).await;
    let reply = simulation.send(&request("moved", "/book/x")).await.unwrap();
    assert_eq!(reply.status, 503, "the request must be reported as not run: {}", reply.head);
    assert_eq!((simulation.run_count("moved"), other.received().len()), (0, 0));
}

/// Guards against requests that run at an upstream of another service, after its entry named their service for a while.
#[tokio::test]
async fn an_upstream_whose_service_changes_leaves_the_former_one() {
    let simulation = Simulation::start().await;
    let engine = &simulation.engines[0];
    for service in ["desk", "llm"] {
        simulation.store.put(&upstream_key(&engine.id), &engine.registry_entry(service, "kochi-a"));
        tokio::time::sleep(ms(200)).await;
    }
    for n in 0..20 {
        let reply = simulation.send(&request(&format!("n{n}"), "/book/x")).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.head);
    }
    assert!(engine.received().is_empty(), "the engine got bookings");
}

/// Guards against a request that is refused since another writer has spoilt the entries of all upstreams of its service. They
/// write their own again with the next heartbeat.
#[tokio::test]
async fn spoilt_entries_stay_in_use_until_the_next_heartbeat_is_due() {
    let simulation = Simulation::start().await;
    for id in ["desk-1", "desk-2"] {
        simulation.store.put(&upstream_key(id), &json!({ "Service": "desk" }));
    }
    tokio::time::sleep(ms(200)).await;
    assert_eq!(simulation.send(&request("kept", "/look/x")).await.unwrap().status, 200);
    simulation
        .store
        .put(&upstream_key("desk-2"), &simulation.servers[1].registry_entry("desk", "kochi-a"));
    wait_until_unused(&simulation, "desk-1").await;
}

/// Guards against a change that is missed when the store has dropped the history that a watch continues from.
#[tokio::test]
async fn a_change_in_a_dropped_history_is_found() {
    let simulation = Simulation::start().await;
    let mut config = common::config(9);
    config["Routes"][0]["Prefix"] = json!("/new/");
    simulation.store.put("op/config", &config);
    simulation.store.compact();
    simulation
        .wait_until("the new route serves", async |simulation| {
            let reply = simulation.send(&request("new", "/new/x")).await.unwrap();
            reply.status == 200
        })
        .await;
    assert_eq!(simulation.send(&request("old", "/look/x")).await.unwrap().status, 404);
}

/// Guards against retries without limit at upstreams that reject requests.
#[tokio::test]
async fn rejected_requests_are_retried_within_the_retry_budget() {
    let simulation = Simulation::start().await;
    simulation.servers.iter().for_each(|server| server.set_behaviour(Behaviour::Reject));
    for n in 0..40 {
        let reply = simulation.send(&request(&format!("r{n}"), "/look/x")).await.unwrap();
        assert_eq!(reply.status, 503);
    }
    let arrivals: usize = simulation.servers.iter().map(|server| server.received().len()).sum();
    // 40 requests, a fifth of them retried, and this VM's share of the floor of 90.
    assert!(arrivals <= 40 + 8 + 10, "{arrivals} arrivals");
}

/// Guards against requests sent to an upstream that states in its answers that it is leaving, before or without an
/// entry that states so, and against a later entry of the same incarnation that makes it available again.
#[tokio::test]
async fn an_upstream_that_states_in_an_answer_that_it_is_leaving_gets_no_further_requests() {
    let simulation = Simulation::start().await;
    let second =
        Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await.unwrap();
    simulation.wait_until_joined(&second).await;
    let is_ready = |vm: &Vm| {
        let view = vm.edge.store_view();
        view.directory.get("desk-1").is_some_and(|desk| desk.stage == Stage::Ready)
    };
    simulation.servers[0].set_behaviour(Behaviour::Leaving);
    let mut n = 0;
    let leaves = async |simulation: &Simulation| {
        n += 1;
        let reply = simulation.send(&request(&format!("ask-{n}"), "/look/x")).await.unwrap();
        reply.header("server-leaving").is_some()
    };
    simulation.wait_until("the upstream states that it is leaving", leaves).await;
    simulation.wait_until("the other VM marks it as leaving", async |_| !is_ready(&second)).await;
    let received = || simulation.servers[0].received().len();
    let before = received();
    simulation
        .store
        .put("servers/desk-1", &simulation.servers[0].registry_entry("desk", "kochi-a"));
    for n in 0..30 {
        let reply = simulation.send(&request(&format!("later-{n}"), "/look/x")).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.head);
        let at_second = request(&format!("there-{n}"), "/look/x");
        assert_eq!(send(second.edge.settings.callers, &at_second).await.unwrap().status, 200);
    }
    assert_eq!(received(), before, "the upstream received further requests");
    // Its next incarnation counts as another upstream.
    let mut entry = simulation.servers[0].registry_entry("desk", "kochi-a");
    entry["born"] = json!(1_800_000_000_000_u64);
    simulation.store.put("servers/desk-1", &entry);
    simulation.wait_until("its next incarnation is ready", async |_| is_ready(&second)).await;
}

/// Guards against further requests to an upstream that rejected one and stated a time until which it accepts none, and
/// against callers that meanwhile wait or get a wrong time to retry.
#[tokio::test]
async fn an_upstream_that_rejects_requests_for_a_stated_time_gets_none_until_then() {
    let simulation = Simulation::start().await;
    simulation.servers.iter().for_each(|server| server.set_behaviour(Behaviour::RejectFor(2)));
    // The loop takes longer than the time for which a rejection without a stated time keeps requests away.
    for n in 0..14 {
        tokio::time::sleep(ms(100)).await;
        let reply = simulation.send(&request(&format!("r{n}"), "/look/x")).await.unwrap();
        assert_eq!(reply.status, 503);
        let after: f64 = reply.header("retry-after").expect("a time").parse().unwrap();
        assert!((0.1..=2.0).contains(&after), "retry-after is {after} s");
    }
    for server in &simulation.servers {
        let received = server.received().len();
        assert!(received <= 1, "{} received {received} requests", server.id);
    }
    simulation.servers.iter().for_each(|server| server.set_behaviour(Behaviour::Normal));
    let serves = async |simulation: &Simulation| {
        simulation.send(&request("again", "/look/x")).await.unwrap().status == 200
    };
    simulation.wait_until("requests are served again", serves).await;
}

/// Guards against VMs that end, or stop following the store, since another writer left odd entries: one that follows changes
/// and one that reads them at its start.
#[tokio::test]
async fn odd_entries_stop_neither_a_running_vm_nor_one_that_starts() {
    let simulation = Simulation::start().await;
    let nested = |depth: usize| [vec![b'['; depth], vec![b']'; depth]].concat();
    let entry = |field: &str, value: &str| {
        let mut entry = simulation.servers[0].registry_entry("desk", "kochi-a");
        entry[field] = json!("ODD");
        entry.to_string().replace("\"ODD\"", value).into_bytes()
    };
    let deep = String::from_utf8(nested(100_000)).unwrap();
    let mut odd: Vec<Vec<u8>> = vec![
        nested(200_000),
        Vec::new(),
        b"{\"Service\":\"desk\",\"Service\":\"desk\"}".to_vec(),
        entry("born", "1e400"),
        entry("born", "18446744073709551616"),
        entry("Models", &deep),
        entry("Extra", &deep),
    ];
    for slots in ["-1", "4294967295", "4294967296", "1e300", "0", "null"] {
        odd.push(entry("Slots", slots));
    }
    for port in ["0", "99999", "-1", ""] {
        odd.push(entry("Address", &format!("\"127.0.0.1:{port}\"")));
    }
    odd.push(entry("Address", &format!("\"{}\"", "1".repeat(100_000))));
    let keys =
        ["servers/odd", "lavenderwood/vm/odd", "lavenderwood/quarantine/odd", "op/version/odd"];
    for (n, bytes) in odd.iter().enumerate() {
        for key in keys {
            simulation.store.put_bytes(&format!("{key}-{n}"), bytes);
        }
        simulation.store.put_bytes(&upstream_key("desk-2"), bytes);
    }
    // The running VM follows what comes after them.
    simulation.store.put("op/config", &common::config(8));
    let has_config = async |simulation: &Simulation| {
        let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
        edge.store_view().catalog().is_some_and(|catalog| catalog.version == 8)
    };
    simulation.wait_until("the VM follows", has_config).await;
    let second =
        Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await.unwrap();
    let is_ready = async |_: &Simulation| second.edge.is_ready();
    simulation.wait_until("a VM that starts is ready", is_ready).await;
    // Entries of which only some fields are odd may name an upstream, to which some requests go in vain.
    let mut n = 0;
    for callers in [simulation.settings.callers, second.edge.settings.callers] {
        for path in ["/look/x", "/book/x", "/long/x"] {
            let is_served = async |_: &Simulation| {
                n += 1;
                let reply = send(callers, &request(&format!("odd-{n}"), path)).await;
                reply.expect("an answer").status == 200
            };
            simulation.wait_until("requests are served", is_served).await;
        }
    }
}
