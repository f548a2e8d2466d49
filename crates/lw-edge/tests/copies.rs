//! Guards against copies of one request that crash one engine after the other.

mod common;
mod deadly_fleet;

use common::ms;
use deadly_fleet::{DEADLY, Fleet, REACTION_MS, prompt_request};
use futures::future::join_all;
use tokio::time::Instant;

/// Crashes by the request after which the VMs have to react.
const CRASHES: usize = 3;
/// Time between two bursts of copies.
const BURST_PERIOD_MS: u64 = 800;
/// Time for which an engine is down after a crash: none crashes twice in what VMs count as one crash.
const DOWN_MS: u64 = 1_300;
/// Copies in a burst at one VM: one for each engine.
const BURST: usize = 6;

impl Fleet {
    /// Sends a copy of the request to each of these VMs at the same moment, and waits for the answers.
    async fn send_copies(&self, tag: &str, vms: impl Iterator<Item = usize>) {
        let segments = format!("a1:800,{DEADLY}:200,b1:200");
        let copies = vms.enumerate().map(async |(n, vm)| {
            self.send(vm, &prompt_request(&format!("{tag}-{n}"), &segments)).await;
        });
        join_all(copies).await;
    }

    /// Waits until the VMs have had their time to react to the third crash, and those that started since to start.
    async fn wait_until_late(&self, started: Instant) {
        let third = *self.crashes().get(CRASHES - 1).expect("a third crash");
        tokio::time::sleep_until(third.max(started) + ms(REACTION_MS + 100)).await;
    }
}

#[tokio::test]
async fn copies_that_arrive_at_all_vms_at_once_stop_reaching_engines() {
    let fleet = Fleet::start_with(common::bounds(), 3).await;
    fleet.set_down_time(DOWN_MS);
    let send_copies = async {
        let end = Instant::now() + ms(2 * REACTION_MS + 1_500);
        fleet.send_copies("first", 0..3).await;
        fleet.wait_until_late(Instant::now()).await;
        let mut n = 0;
        while Instant::now() < end {
            n += 1;
            fleet.send_copies(&format!("late-{n}"), 0..3).await;
            tokio::time::sleep(ms(BURST_PERIOD_MS)).await;
        }
    };
    tokio::join!(send_copies, fleet.send_sound(2 * REACTION_MS + 2_500, CRASHES));
    fleet.assert_few_late_arrivals(CRASHES);
}

#[tokio::test]
async fn a_vm_that_starts_after_the_third_crash_learns_of_the_copies() {
    let mut fleet = Fleet::start_with(common::bounds(), 3).await;
    fleet.set_down_time(DOWN_MS);
    let mut n = 0;
    while fleet.crashes().len() < CRASHES {
        fleet.send_copies(&format!("first-{n}"), std::iter::once(n % 2)).await;
        n += 1;
        assert!(n < 10, "{} crashes after {n} copies", fleet.crashes().len());
        tokio::time::sleep(ms(BURST_PERIOD_MS)).await;
    }
    drop(fleet.further_vms.pop());
    fleet.start_vm("vm-4").await;
    fleet.wait_until_late(Instant::now()).await;
    for n in 0..4 {
        fleet.send_copies(&format!("late-{n}"), std::iter::repeat_n(2, BURST)).await;
        tokio::time::sleep(ms(BURST_PERIOD_MS)).await;
    }
    fleet.assert_few_late_arrivals(CRASHES);
}
