//! Guards against answers that are lost, and prompts that are refused, since engines stood still for a moment.

mod common;

use common::{CallerRequest, Simulation, ms, request};
use lw_standin::hosted::{
    operator::config,
    upstream::{Behaviour, STREAM_EVENTS, Upstream, event},
};

/// Number of requests that have the same shared segment.
const REQUESTS: u64 = 24;

fn events() -> Vec<u8> {
    (1..=STREAM_EVENTS).flat_map(event).collect()
}

/// Starts a VM whose routes leave time for a silence and allow three attempts.
async fn start() -> Simulation {
    let simulation = Simulation::start().await;
    let mut config = config(4);
    for route in config["Routes"].as_array_mut().expect("routes") {
        route["TimeoutMs"] = 6_000.into();
        route["MaxAttempts"] = 3.into();
    }
    simulation.store.put("op/config", &config);
    let is_applied = async |simulation: &Simulation| {
        let vm = simulation.vm.as_ref().expect("the VM runs");
        vm.edge.store_view().catalog().is_some_and(|catalog| catalog.version == 4)
    };
    simulation.wait_until("the configuration is in force", is_applied).await;
    simulation
}

/// Adds engines until there are eight.
async fn add_engines(simulation: &mut Simulation) {
    for n in 3..=8 {
        let engine = Upstream::start(&format!("engine-{n}")).await.unwrap();
        let entry = engine.registry_entry("llm", "kochi-a");
        simulation.store.put(&format!("servers/{}", engine.id), &entry);
        engine.set_queue(&simulation.faults);
        simulation.engines.push(engine);
    }
    let is_known = async |simulation: &Simulation| {
        let vm = simulation.vm.as_ref().expect("the VM runs");
        vm.edge.store_view().directory.iter().count() == 10
    };
    simulation.wait_until("all engines are known", is_known).await;
    // The calls for the cache events of all engines have begun by then.
    tokio::time::sleep(ms(1_500)).await;
}

fn long_request(id: &str, segments: &str) -> CallerRequest {
    let mut req = CallerRequest { deadline_ms: 6_000, ..request(id, "/long/x") };
    req.headers =
        format!("X-Model: m\r\nX-Token-Count: 1200,20\r\nX-Prompt-Prefix: {segments}\r\n");
    req
}

/// Sends requests with a common segment, one each 10 ms, and returns the ids and statuses of those without a whole answer.
async fn send_with_common_segment(simulation: &Simulation) -> Vec<(String, u16)> {
    let send = async |n: u64| {
        tokio::time::sleep(ms(n * 10)).await;
        let id = format!("common-{n}");
        let req = long_request(&id, &format!("a1:1000,{:x}:200", 0x100 + n));
        let reply = simulation.send(&req).await;
        let is_whole = reply.as_ref().is_some_and(|reply| reply.body == events());
        (!is_whole).then_some((id, reply.map_or(0, |reply| reply.status)))
    };
    futures::future::join_all((0..REQUESTS).map(send)).await.into_iter().flatten().collect()
}

/// Guards against segments that are quarantined since their prompts were in flight while engines stood still.
#[tokio::test]
async fn engines_that_stood_still_do_not_condemn_the_segments_of_their_prompts() {
    let mut simulation = start().await;
    add_engines(&mut simulation).await;
    let sound = simulation.send(&long_request("sound", "a1:1000,ff:200")).await.unwrap();
    assert!(sound.is_complete);
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::Slow(ms(700)));
    }
    let stall = async {
        tokio::time::sleep(ms(400)).await;
        simulation.engines.iter().for_each(|engine| engine.stall(ms(1_600)));
    };
    let (failed, ()) = tokio::join!(send_with_common_segment(&simulation), stall);
    assert!(failed.is_empty(), "{failed:?}");
    let after = simulation.send(&long_request("after", "a1:1000,fe:200")).await.unwrap();
    assert_eq!(after.status, 200, "{}", after.head);
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let now = edge.timer.now_including_suspend();
    assert_eq!(edge.quarantine.lock().sets(now).count(), 0);
}

/// Guards against streams that are cut since engines stood still one after the other.
#[tokio::test]
async fn streams_go_on_after_engines_stood_still_one_after_the_other() {
    let mut simulation = start().await;
    add_engines(&mut simulation).await;
    let sound = simulation.send(&long_request("sound", "a1:1000,ff:200")).await.unwrap();
    assert!(sound.is_complete);
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::DelayedEvents(ms(400)));
    }
    let stall = async {
        tokio::time::sleep(ms(700)).await;
        for (n, engine) in (0..).zip(&simulation.engines) {
            engine.stall(ms(2_200 - 80 * n));
            tokio::time::sleep(ms(80)).await;
        }
    };
    let (failed, ()) = tokio::join!(send_with_common_segment(&simulation), stall);
    assert!(failed.is_empty(), "{failed:?}");
}
