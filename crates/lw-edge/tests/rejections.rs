//! Guards against VMs that together make engines reject more requests in a second than the engines stand.

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use common::{Reply, Simulation, ms, request, send};
use lw_edge::run::Vm;
use lw_standin::hosted::upstream::{Behaviour, Upstream};

/// VMs that send requests to the engines.
const VMS: usize = 6;
/// Rejections in a second that an engine stands.
const REJECTIONS_MAX: u32 = 6;
/// Time between two requests.
const REQUEST_PERIOD: Duration = Duration::from_millis(10);

/// Sends requests steadily for this time, to the VMs in turn. Returns the answers.
async fn send_steadily(callers: &[SocketAddr], name: &str, time: Duration) -> Vec<Reply> {
    let (started, mut tasks) = (Instant::now(), tokio::task::JoinSet::new());
    while started.elapsed() < time {
        let n = tasks.len();
        let (to, id) = (callers[n % callers.len()], format!("{name}-{n}"));
        tasks.spawn(async move { send(to, &request(&id, "/short/x")).await.expect("an answer") });
        tokio::time::sleep(REQUEST_PERIOD).await;
    }
    tasks.join_all().await
}

/// Starts the other VMs, and waits until all can send messages to each other.
async fn start_further(simulation: &Simulation) -> Vec<Vm> {
    let mut further = Vec::new();
    for n in 2..=VMS {
        let settings = simulation.further_settings(&format!("vm-{n}"));
        further.push(Vm::start(settings, simulation.logs.clone()).await.expect("the VM starts"));
    }
    simulation.wait_until_all_joined(&further).await;
    further
}

/// Returns the most requests that an engine rejected within a second.
fn most_rejections(engine: &Upstream) -> usize {
    let received = engine.received();
    let rejected: Vec<_> =
        received.iter().filter(|got| !got.is_executed).map(|got| got.at).collect();
    let within = |from: tokio::time::Instant| {
        rejected.iter().filter(|at| **at >= from && **at < from + Duration::from_secs(1)).count()
    };
    rejected.iter().map(|at| within(*at)).max().unwrap_or(0)
}

#[tokio::test]
async fn vms_cause_no_more_rejections_together_than_an_engine_stands() {
    let simulation = Simulation::start().await;
    let further = start_further(&simulation).await;
    let further_callers = further.iter().map(|vm| vm.edge.settings.callers);
    let callers: Vec<_> =
        [simulation.settings.callers].into_iter().chain(further_callers).collect();
    for engine in &simulation.engines {
        engine.set_brittle(Some(REJECTIONS_MAX));
    }
    let served = send_steadily(&callers, "before", ms(500)).await;
    assert!(served.iter().all(|reply| reply.status == 200));
    for engine in &simulation.engines {
        engine.set_behaviour(Behaviour::Reject);
    }
    for reply in send_steadily(&callers, "full", ms(4_000)).await {
        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some(), "{}", reply.head);
    }
    for engine in &simulation.engines {
        let most = most_rejections(engine);
        assert!(most > 0 && most <= REJECTIONS_MAX as usize, "{}: {most}", engine.id);
        engine.set_behaviour(Behaviour::Normal);
    }
    tokio::time::sleep(ms(1_500)).await;
    let served = send_steadily(&callers, "after", ms(500)).await;
    assert!(served.iter().all(|reply| reply.status == 200), "the engines get requests again");
}
