//! Guards against requests that crash one engine after the other, and against sound requests that are refused because
//! of them.

mod common;
mod deadly_fleet;

use std::{sync::Arc, time::Instant};

use common::{Simulation, ms};
use deadly_fleet::{Fleet, REACTION_MS, deadly_segments, prompt_request};
use lw_catalog::settings::Bounds;
use lw_edge::state::Edge;
use lw_standin::hosted::store::StoreMode;

/// Crashes after which requests with the segment must be recognized.
const CRASHES_MAX: usize = 5;

#[tokio::test]
async fn requests_with_a_segment_that_crashes_engines_stop_reaching_them() {
    let fleet = Fleet::start().await;
    let run_ms = 2 * REACTION_MS + 2_500;
    tokio::join!(fleet.send_deadly("deadly", run_ms), fleet.send_sound(run_ms, CRASHES_MAX));
    fleet.assert_few_late_arrivals(CRASHES_MAX);
}

impl Fleet {
    /// Sends deadly requests until all VMs refuse them.
    async fn quarantine(&self) {
        let end = Instant::now() + ms(10_000);
        let is_quarantined = |edge: &Arc<Edge>| {
            let quarantine = edge.quarantine.lock();
            quarantine.time_left(edge.timer.now_including_suspend(), &[0xdead, 1]).is_some()
        };
        while !self.edges().all(is_quarantined) {
            assert!(Instant::now() < end, "the segment is not quarantined");
            self.send_deadly("deadly", 200).await;
        }
    }

    async fn wait_until_stored(&self) {
        let is_stored = async |simulation: &Simulation| {
            simulation.store.keys().iter().any(|key| is_quarantine_key(key))
        };
        self.simulation.wait_until("the set is in the store", is_stored).await;
    }

    async fn assert_refused(&self, vm: usize, id: &str) {
        let arrivals = self.deadly_arrivals().len();
        let reply = self.send(vm, &prompt_request(id, &deadly_segments(id, 1))).await.unwrap();
        assert_eq!(reply.status, 503, "{}", reply.head);
        let retry_after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after > 60.0, "callers are told to come back in {retry_after} s");
        assert_eq!(self.deadly_arrivals().len(), arrivals, "it reached an engine");
    }
}

/// Guards against a VM that starts and sends engines what the others know to crash them.
#[tokio::test]
async fn a_vm_that_starts_refuses_what_the_others_have_quarantined() {
    let mut fleet = Fleet::start().await;
    fleet.quarantine().await;
    fleet.wait_until_stored().await;
    drop(fleet.further_vms.pop());
    fleet.start_vm("vm-3").await;
    tokio::time::sleep(ms(400)).await;
    fleet.assert_refused(1, "after-start").await;
}

/// Guards against a quarantine that needs the store, and one that is lost when the store is back.
#[tokio::test]
async fn a_quarantine_is_shared_and_kept_while_the_store_is_away() {
    let bounds = Bounds { revoke: ms(60_000), ..common::bounds() };
    let fleet = Fleet::start_with(bounds, 2).await;
    fleet.simulation.store.set_mode(StoreMode::Unavailable);
    fleet.quarantine().await;
    for vm in 0..2 {
        fleet.assert_refused(vm, &format!("without-store-{vm}")).await;
    }
    fleet.simulation.store.set_mode(StoreMode::Normal);
    fleet.wait_until_stored().await;
    for vm in 0..2 {
        fleet.assert_refused(vm, &format!("with-store-{vm}")).await;
    }
}

/// Guards against a quarantine that operators cannot end.
#[tokio::test]
async fn a_set_that_operators_remove_from_the_store_is_released() {
    let fleet = Fleet::start().await;
    fleet.quarantine().await;
    fleet.wait_until_stored().await;
    let is_known = async |_: &Simulation| {
        let view = |edge: &Arc<Edge>| {
            edge.store_view().router_items_below("lavenderwood/quarantine/").count() == 1
        };
        fleet.edges().all(view)
    };
    fleet.simulation.wait_until("both VMs have read it", is_known).await;
    tokio::time::sleep(ms(600)).await;
    let key = fleet.simulation.store.keys().into_iter().find(|key| is_quarantine_key(key)).unwrap();
    fleet.simulation.store.remove(&key);
    let is_released = async |_: &Simulation| {
        let now = |edge: &Arc<Edge>| edge.timer.now_including_suspend();
        fleet.edges().all(|edge| edge.quarantine.lock().sets(now(edge)).count() == 0)
    };
    fleet.simulation.wait_until("both VMs release the set", is_released).await;
}

fn is_quarantine_key(key: &str) -> bool {
    key.starts_with("lavenderwood/quarantine/")
}
