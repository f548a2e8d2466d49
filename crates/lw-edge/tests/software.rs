//! Guards against streams that are joined from events of two software versions of a service.

mod common;

use std::collections::BTreeSet;

use common::{RECEIVED, Reply, Simulation, ms, request, rest, resumption};
use lw_edge::run::Vm;
use lw_standin::hosted::{
    caller::send,
    store::StoreMode,
    upstream::{Behaviour, Upstream},
};

/// Streams that are sent in a test. Each of two versions begins some of them.
const STREAMS: usize = 16;

/// Sets the version of an engine's software and registers it.
fn register(simulation: &Simulation, engine: &Upstream, software: &str) {
    engine.set_software(software);
    let entry = engine.registry_entry("llm", "kochi-a");
    simulation.store.put(&format!("servers/{}", engine.id), &entry);
}

/// Starts a VM with four engines, two each of the versions v1 and v2.
async fn start() -> Simulation {
    let mut simulation = Simulation::start().await;
    simulation.add_engines(4).await;
    for engine in &simulation.engines[2..] {
        register(&simulation, engine, "v2");
    }
    wait_until_settled(&simulation, 2).await;
    simulation
}

/// Waits until `versions` versions have begun all streams that may still go on.
async fn wait_until_settled(simulation: &Simulation, versions: usize) {
    let is_settled = async |simulation: &Simulation| {
        let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
        let history = edge.store_view().software("llm").cloned();
        history.is_some_and(|history| {
            history.former.is_empty() && history.current.versions().len() == versions
        })
    };
    simulation.wait_until("the versions in service are settled", is_settled).await;
}

/// Replaces the VM by one that remembers nothing.
async fn restart(simulation: &mut Simulation) {
    simulation.vm.take().expect("the VM runs").leave().await;
    let settings = simulation.further_settings("vm-1");
    simulation.settings = settings.clone();
    simulation.vm =
        Some(Vm::start(settings, simulation.logs.clone()).await.expect("the VM starts"));
    simulation.wait_until("the VM is ready", async |simulation| simulation.is_ready().await).await;
}

fn assert_refused(reply: &Reply, code: &str) {
    assert_eq!((reply.status, reply.is_complete), (503, true), "{}", reply.head);
    assert!(reply.text().contains(code), "{}", reply.text());
}

/// Sends streams, and returns the ids of their requests and the versions that began them.
async fn begin_streams(simulation: &Simulation) -> Vec<(String, String)> {
    let mut begun = Vec::new();
    for n in 0..STREAMS {
        let id = format!("begun-{n}");
        let reply = simulation.send(&request(&id, "/long/x")).await.expect("an answer");
        assert!(reply.is_complete, "{}", reply.text());
        let version = simulation.versions_of(&[&id]).pop_first().expect("an engine ran it");
        begun.push((id, version));
    }
    let versions: BTreeSet<_> = begun.iter().map(|(_, version)| version).collect();
    assert_eq!(
        versions.len(),
        simulation.engines.iter().map(Upstream::software).collect::<BTreeSet<_>>().len()
    );
    begun
}

/// Guards against a VM that resumes a broken stream within its answer at an engine of another version.
#[tokio::test]
async fn a_broken_stream_goes_on_at_the_version_that_began_it() {
    let simulation = start().await;
    for n in 0..STREAMS {
        let id = format!("broken-{n}");
        simulation.faults.push(Behaviour::ResetInEvent(RECEIVED));
        // Other prompts are cheapest at other engines.
        let mut req = request(&id, "/long/x");
        req.headers = req.headers.replace("a1:1000,b2", &format!("a{n}:1000,b{n}"));
        let reply = simulation.send(&req).await.expect("an answer");
        assert!(reply.is_complete, "{}", reply.text());
        assert_eq!(simulation.run_count(&id), 2);
        assert_eq!(simulation.versions_of(&[&id]).len(), 1, "{id}");
    }
}

/// Guards against callers' resumptions at another version, at a VM that knows the stream only from the store.
#[tokio::test]
async fn a_stream_is_taken_up_at_its_version_after_all_vms_were_restarted() {
    let mut simulation = start().await;
    let begun = begin_streams(&simulation).await;
    restart(&mut simulation).await;
    for (id, version) in begun {
        let again = format!("again-{id}");
        let req = resumption(&again, Some(&id));
        let reply = simulation.send(&req).await.expect("an answer");
        assert_eq!((reply.status, reply.body), (200, rest()), "{id}: {}", reply.head);
        assert_eq!(simulation.versions_of(&[&again]), BTreeSet::from([version]), "{id}");
    }
}

/// Guards against streams that go on at another version since theirs has left, at a VM that saw neither.
#[tokio::test]
async fn a_stream_whose_version_has_left_is_refused_after_all_vms_were_restarted() {
    let mut simulation = Simulation::start().await;
    wait_until_settled(&simulation, 1).await;
    let begun = begin_streams(&simulation).await;
    let (former, next) = simulation.engines.split_at(1);
    simulation.store.remove(&format!("servers/{}", former[0].id));
    register(&simulation, &next[0], "v2");
    let is_moved = async |simulation: &Simulation| {
        let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
        let history = edge.store_view().software("llm").cloned();
        history.is_some_and(|history| history.current.versions() == ["v2"])
    };
    simulation.wait_until("new streams begin at the other version", is_moved).await;
    restart(&mut simulation).await;
    for (id, _) in &begun {
        let again = format!("again-{id}");
        let reply = simulation.send(&resumption(&again, Some(id))).await.expect("an answer");
        assert_refused(&reply, "origin_unknown");
        assert_eq!(simulation.run_count(&again), 0, "{id}");
    }
    let reply = simulation.send(&request("new", "/long/x")).await.expect("an answer");
    assert!(reply.is_complete && reply.status == 200, "{}", reply.head);
}

/// Guards against a stream that its VM remembers and that goes on at another version, or waits, since its own has left.
#[tokio::test]
async fn a_remembered_stream_whose_version_has_left_is_refused_at_once() {
    let simulation = Simulation::start().await;
    wait_until_settled(&simulation, 1).await;
    let begun = begin_streams(&simulation).await;
    for engine in &simulation.engines {
        register(&simulation, engine, "v2");
    }
    let is_moved = async |simulation: &Simulation| {
        let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
        edge.store_view().directory.ready_of("llm").all(|engine| engine.software == "v2")
    };
    simulation.wait_until("the VM knows the other version", is_moved).await;
    let sent = std::time::Instant::now();
    let reply = simulation.send(&resumption("again", Some(&begun[0].0))).await.expect("an answer");
    assert_refused(&reply, "version_gone");
    assert!(sent.elapsed() < ms(300), "{:?}", sent.elapsed());
    assert!(reply.header("retry-after").is_none(), "{}", reply.head);
}

/// Guards against a resumption without the id of its first request that goes on at any version, and against one that is refused
/// though there is only one version.
#[tokio::test]
async fn a_resumption_without_its_origin_is_served_while_one_version_is_in_service() {
    let simulation = Simulation::start().await;
    wait_until_settled(&simulation, 1).await;
    let reply = simulation.send(&resumption("one", None)).await.expect("an answer");
    assert_eq!((reply.status, reply.body), (200, rest()), "{}", reply.head);
    register(&simulation, &simulation.engines[1], "v2");
    wait_until_settled(&simulation, 2).await;
    let reply = simulation.send(&resumption("two", None)).await.expect("an answer");
    assert_refused(&reply, "origin_unknown");
    assert_eq!(simulation.run_count("two"), 0);
}

/// Guards against streams that cannot go on at another VM while the store does not answer, or while their slots have just moved,
/// though the VM that began them remembers.
#[tokio::test]
async fn another_vm_tells_the_version_that_began_a_stream() {
    let simulation = start().await;
    let second = simulation.start_second().await;
    let begun = begin_streams(&simulation).await;
    simulation.store.set_mode(StoreMode::NoAnswer);
    for (id, version) in &begun[..4] {
        let again = format!("again-{id}");
        let req = resumption(&again, Some(id));
        let reply = send(second.edge.settings.callers, &req).await.expect("an answer");
        assert_eq!((reply.status, reply.body), (200, rest()), "{id}: {}", reply.head);
        assert_eq!(simulation.versions_of(&[&again]), BTreeSet::from([version.clone()]), "{id}");
    }
    let reply = send(second.edge.settings.callers, &resumption("never", Some("begun"))).await;
    assert_refused(&reply.expect("an answer"), "origin_unknown");
}

/// Guards against streams that cannot go on after their VM was killed, since the slots of their ids had just moved.
#[tokio::test]
async fn streams_of_a_killed_vm_go_on_while_slots_move() {
    let mut simulation = Simulation::start().await;
    simulation.add_engines(4).await;
    wait_until_settled(&simulation, 1).await;
    let second = simulation.start_second().await;
    // These begin before their slots move.
    let mut begun = begin_streams(&simulation).await;
    for engine in &simulation.engines[2..] {
        register(&simulation, engine, "v2");
    }
    let is_moved = async |_: &Simulation| {
        let history = second.edge.store_view().software("llm").cloned();
        history.is_some_and(|history| history.current.versions().len() == 2)
    };
    simulation.wait_until("slots have moved", is_moved).await;
    // Engines 3 and 4 have run some of them as v1, so that v1 is what began all of them.
    for (_, version) in &mut begun {
        *version = "v1".into();
    }
    for n in 0..STREAMS {
        let id = format!("moving-{n}");
        let reply = simulation.send(&request(&id, "/long/x")).await.expect("an answer");
        assert!(reply.is_complete, "{}", reply.text());
        let version = simulation.versions_of(&[&id]).pop_first().expect("an engine ran it");
        begun.push((id, version));
    }
    tokio::time::sleep(ms(300)).await;
    drop(simulation.vm.take());
    for (id, version) in &begun {
        let again = format!("again-{id}");
        let req = resumption(&again, Some(id));
        let reply = send(second.edge.settings.callers, &req).await.expect("an answer");
        assert_eq!((reply.status, reply.body), (200, rest()), "{id}: {}", reply.head);
        assert_eq!(simulation.versions_of(&[&again]), BTreeSet::from([version.clone()]), "{id}");
    }
}

/// Guards against a stream that is taken up at another service, since a route is split and the id of the new request decides.
#[tokio::test]
async fn a_stream_is_taken_up_at_the_service_that_began_it() {
    let mut simulation = Simulation::start().await;
    simulation.add_engines(4).await;
    for engine in &simulation.engines[2..] {
        let entry = engine.registry_entry("llm-2", "kochi-a");
        simulation.store.put(&format!("servers/{}", engine.id), &entry);
    }
    let mut config = common::config(4);
    let mut service = config["Services"][1].clone();
    service["Name"] = "llm-2".into();
    config["Services"].as_array_mut().expect("services").push(service);
    let split = serde_json::json!([
        { "Service": "llm", "Weight": 1 },
        { "Service": "llm-2", "Weight": 1 },
    ]);
    config["Routes"][2]["TrafficSplit"] = split;
    simulation.store.put("op/config", &config);
    let is_applied = async |simulation: &Simulation| {
        let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
        let view = edge.store_view();
        view.catalog().is_some_and(|catalog| catalog.version == 4)
            && view.directory.ready_of("llm-2").count() == 2
    };
    simulation.wait_until("the route is split", is_applied).await;
    let is_first = |id: &str| {
        let ran = simulation.engine_of(id);
        simulation.engines[..2].iter().any(|engine| engine.id == ran.id)
    };
    for n in 0..STREAMS {
        let (id, again) = (format!("split-{n}"), format!("again-{n}"));
        assert_eq!(simulation.send(&request(&id, "/long/x")).await.expect("an answer").status, 200);
        let reply = simulation.send(&resumption(&again, Some(&id))).await.expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.head);
        assert_eq!(is_first(&id), is_first(&again), "{id}");
    }
}
