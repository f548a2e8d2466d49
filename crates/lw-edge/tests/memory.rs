//! Guards against a process that grows while upstreams or the store send without end. The only test of its process, since
//! it measures the memory of all of it, stand-ins and callers included.

mod common;
mod ways;

use common::{World, bounds, request};
use lw_catalog::VmSettings;
use lw_standin::hosted::store::Mode;
use ways::ways;

/// Memory by which the process may grow while [`AT_ONCE`] upstreams send without end: a quarter of what a VM with 88 MB
/// has.
const GROWTH_MAX_KB: u64 = 22 << 10;
const AT_ONCE: usize = 40;

fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[tokio::test]
async fn many_answers_without_end_take_bounded_memory() {
    let world = World::start_with_settings(bounds(), |settings| VmSettings {
        memory_bytes: 88 << 20,
        ..settings
    })
    .await;
    let before = peak_kb();
    for way in ways() {
        world.servers.iter().chain(&world.engines).for_each(|server| server.always(way.clone()));
        let asked = (0..AT_ONCE).map(|n| {
            let path = if n % 2 == 0 { "/look/x" } else { "/long/x" };
            let id = format!("at-once-{n}");
            let world = &world;
            async move { world.send(&request(&id, path)).await }
        });
        for reply in futures::future::join_all(asked).await {
            assert!(reply.is_none_or(|reply| reply.status != 200 || !reply.is_complete));
        }
        assert_eq!(world.vm.as_ref().unwrap().edge.room.used_bytes(), 0, "room is given back");
    }
    world.store.set_mode(Mode::Endless);
    let refused = async |world: &World| {
        world.send(&request("e", "/look/x")).await.is_some_and(|reply| reply.status == 503)
    };
    world.until("keys are refused", refused).await;
    let growth = peak_kb() - before;
    println!("grown by {growth} KiB at its peak");
    assert!(growth < GROWTH_MAX_KB, "grown by {growth} KiB");
}
