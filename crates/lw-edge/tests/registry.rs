//! Guards against work for upstreams that are leaving, gone, unknown, or not the ones that were meant.

mod common;

use common::{Simulation, ms, request, send};
use lw_catalog::Stage;
use lw_edge::run::Vm;
use lw_standin::hosted::{
    store::Mode,
    upstream::{Behaviour, Upstream},
};
use serde_json::json;

fn key(id: &str) -> String {
    format!("servers/{id}")
}

/// Sends requests until `id` got none of the last ten; panics if that does not happen.
async fn gets_nothing(world: &Simulation, id: &str) {
    let idle = async |world: &Simulation| {
        let server = world.servers.iter().find(|server| server.id == id).unwrap();
        let before = server.received().len();
        for n in 0..10 {
            let reply = world.send(&request(&format!("n{n}"), "/look/x")).await.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.head);
        }
        server.received().len() == before
    };
    world.wait_until("it gets no work", idle).await;
}

#[tokio::test]
async fn leaving_removed_and_unreadable_entries_get_no_work() {
    let world = Simulation::start().await;
    let mut entry = world.servers[0].entry("desk", "kochi-a");
    entry["State"] = json!("draining");
    world.store.put(&key("desk-1"), &entry);
    gets_nothing(&world, "desk-1").await;
    world.store.put(&key("desk-1"), &world.servers[0].entry("desk", "kochi-a"));
    let before = world.servers[0].received().len();
    let mut n = 0;
    let works = async |world: &Simulation| {
        n += 1;
        world.send(&request(&format!("again-{n}"), "/look/x")).await.unwrap();
        world.servers[0].received().len() > before
    };
    world.wait_until("it works again", works).await;
    for entry in [
        json!({ "Service": "desk" }),
        json!({ "Service": 7, "Address": true }),
        json!({ "Service": "desk", "Address": "10.0.0.1:80", "Zone": "z", "Slots": 1, "State": "odd" }),
    ] {
        world.store.put(&key("desk-1"), &entry);
        gets_nothing(&world, "desk-1").await;
    }
    world.store.put_bytes(&key("desk-1"), b"\xff\xfe");
    gets_nothing(&world, "desk-1").await;
    world.store.remove(&key("desk-1"));
    gets_nothing(&world, "desk-1").await;
}

/// Entries lapse while the store is away, and living upstreams register again within two seconds of its return.
#[tokio::test]
async fn an_entry_that_lapsed_with_the_store_is_used_until_it_must_be_back() {
    let world = Simulation::start().await;
    world.store.set_mode(Mode::Unavailable);
    tokio::time::sleep(ms(200)).await;
    for server in &world.servers {
        world.store.remove(&key(&server.id));
    }
    world.store.set_mode(Mode::Sound);
    tokio::time::sleep(ms(300)).await;
    assert_eq!(world.send(&request("kept", "/look/x")).await.unwrap().status, 200);
    // One is back, the other one is gone.
    world.store.put(&key("desk-2"), &world.servers[1].entry("desk", "kochi-a"));
    tokio::time::sleep(ms(1_900)).await;
    gets_nothing(&world, "desk-1").await;
}

/// Addresses of upstreams that are gone are used again by others.
#[tokio::test]
async fn another_upstream_at_a_known_address_does_not_run_the_request() {
    let world = Simulation::start().await;
    let other = Upstream::start("another").await.unwrap();
    let mut entry = other.entry("desk", "kochi-a");
    for id in ["desk-1", "desk-2"] {
        entry["born"] = json!(1_800_000_000_000_u64);
        world.store.put(&key(id), &entry);
    }
    tokio::time::sleep(ms(100)).await;
    let reply = world.send(&request("moved", "/book/x")).await.unwrap();
    assert_eq!(reply.status, 503, "not run, which is true: {}", reply.head);
    assert_eq!((world.run_count("moved"), other.received().len()), (0, 0));
}

/// Guards against a change that is missed when the store has dropped its history.
#[tokio::test]
async fn a_change_behind_a_dropped_history_is_found() {
    let world = Simulation::start().await;
    let mut config = common::config(9);
    config["Routes"][0]["Prefix"] = json!("/new/");
    world.store.put("op/config", &config);
    world.store.compact();
    world
        .wait_until("the new route serves", async |world| {
            let reply = world.send(&request("new", "/new/x")).await.unwrap();
            reply.status == 200
        })
        .await;
    assert_eq!(world.send(&request("old", "/look/x")).await.unwrap().status, 404);
}

/// Guards against a rejecting engine that is asked again and again.
#[tokio::test]
async fn rejected_requests_are_sent_again_within_the_retry_budget() {
    let world = Simulation::start().await;
    world.servers.iter().for_each(|server| server.always(Behaviour::Reject));
    for n in 0..40 {
        let reply = world.send(&request(&format!("r{n}"), "/look/x")).await.unwrap();
        assert_eq!(reply.status, 503);
    }
    let arrivals: usize = world.servers.iter().map(|server| server.received().len()).sum();
    // 40 requests, a fifth of them again, and this VM's part of the floor of 90.
    assert!(arrivals <= 40 + 8 + 10, "{arrivals} arrivals");
}

/// Guards against work for an upstream that says in its answers that it is leaving, before or without an entry that
/// says so, and against a later entry of the same run that takes it back.
#[tokio::test]
async fn an_upstream_that_says_so_in_an_answer_gets_no_further_work() {
    let world = Simulation::start().await;
    let second = Vm::start(world.further_settings("vm-2"), world.logs.clone()).await.unwrap();
    world.wait_until_joined(&second).await;
    let is_open = |vm: &Vm| {
        let known = vm.edge.known();
        known.directory.get("desk-1").is_some_and(|desk| desk.stage == Stage::Ready)
    };
    world.servers[0].always(Behaviour::Leaving);
    let mut n = 0;
    let leaves = async |world: &Simulation| {
        n += 1;
        let reply = world.send(&request(&format!("ask-{n}"), "/look/x")).await.unwrap();
        reply.header("server-leaving").is_some()
    };
    world.wait_until("it said so", leaves).await;
    world.wait_until("the other VM knows", async |_| !is_open(&second)).await;
    let got = || world.servers[0].received().len();
    let before = got();
    world.store.put("servers/desk-1", &world.servers[0].entry("desk", "kochi-a"));
    for n in 0..30 {
        let reply = world.send(&request(&format!("later-{n}"), "/look/x")).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.head);
        let there = request(&format!("there-{n}"), "/look/x");
        assert_eq!(send(second.edge.settings.callers, &there).await.unwrap().status, 200);
    }
    assert_eq!(got(), before, "it got further requests");
    // Another run of it is another upstream.
    let mut entry = world.servers[0].entry("desk", "kochi-a");
    entry["born"] = json!(1_800_000_000_000_u64);
    world.store.put("servers/desk-1", &entry);
    world.wait_until("its next run is open", async |_| is_open(&second)).await;
}

/// Guards against further requests to an upstream that has turned one away and wants nothing for a while, and against
/// callers that are held up or sent to it again meanwhile.
#[tokio::test]
async fn an_upstream_that_wants_nothing_for_a_while_is_left_alone() {
    let world = Simulation::start().await;
    world.servers.iter().for_each(|server| server.always(Behaviour::RejectFor(2)));
    // For longer than a refusal without a time keeps requests away.
    for n in 0..14 {
        tokio::time::sleep(ms(100)).await;
        let reply = world.send(&request(&format!("r{n}"), "/look/x")).await.unwrap();
        assert_eq!(reply.status, 503);
        let after: f64 = reply.header("retry-after").expect("a time").parse().unwrap();
        assert!((0.1..=2.0).contains(&after), "come back after {after} s");
    }
    for server in &world.servers {
        let got = server.received().len();
        assert!(got <= 1, "{} got {got} requests", server.id);
    }
    world.servers.iter().for_each(|server| server.always(Behaviour::Sound));
    let serves = async |world: &Simulation| {
        world.send(&request("again", "/look/x")).await.unwrap().status == 200
    };
    world.wait_until("the time is over", serves).await;
}
