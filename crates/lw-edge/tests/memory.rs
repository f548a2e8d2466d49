//! Guards against unbounded memory while upstreams or the store send without end. This is the only test of its process,
//! since it measures the memory of the whole process, stand-ins and callers included.

mod common;
mod endless_answers;

use common::{Simulation, bounds, ms, request};
use endless_answers::endless_answers;
use lw_catalog::VmSettings;
use lw_standin::hosted::{store::StoreMode, upstream::Behaviour};

/// Largest growth of the process in KiB while [`CONCURRENT_REQUESTS`] answers have no end: a quarter of the memory of
/// a VM with 88 MB.
const GROWTH_MAX_KIB: u64 = 22 << 10;
const CONCURRENT_REQUESTS: usize = 40;

/// Returns the largest memory use of this process so far, in KiB.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[tokio::test]
async fn many_endless_answers_use_bounded_memory() {
    let simulation = Simulation::start_with_settings(bounds(), |settings| VmSettings {
        memory_bytes: 88 << 20,
        ..settings
    })
    .await;
    let before = peak_kib();
    for endless in endless_answers() {
        simulation
            .servers
            .iter()
            .chain(&simulation.engines)
            .for_each(|server| server.set_behaviour(endless.clone()));
        let requests = (0..CONCURRENT_REQUESTS).map(|n| {
            let path = if n % 2 == 0 { "/look/x" } else { "/long/x" };
            let id = format!("at-once-{n}");
            let simulation = &simulation;
            async move { simulation.send(&request(&id, path)).await }
        });
        for reply in futures::future::join_all(requests).await {
            assert!(reply.is_none_or(|reply| reply.status != 200 || !reply.is_complete));
        }
        assert_eq!(
            simulation.vm.as_ref().unwrap().edge.answer_memory.used_bytes(),
            0,
            "the memory for collected answers is released"
        );
    }
    // Calls for cache events, of which each engine has one open at a time.
    for endless in endless_answers() {
        for engine in &simulation.engines {
            engine.set_behaviour(Behaviour::Normal);
            engine.set_internal_behaviour(Some(endless.clone()));
        }
        tokio::time::sleep(ms(600)).await;
    }
    simulation.engines.iter().for_each(|engine| engine.set_internal_behaviour(None));
    simulation.store.set_mode(StoreMode::Endless);
    let refused = async |simulation: &Simulation| {
        simulation.send(&request("e", "/look/x")).await.is_some_and(|reply| reply.status == 503)
    };
    simulation.wait_until("keys are refused", refused).await;
    let growth = peak_kib() - before;
    println!("peak memory grew by {growth} KiB");
    assert!(growth < GROWTH_MAX_KIB, "peak memory grew by {growth} KiB");
}
