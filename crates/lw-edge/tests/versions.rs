//! Guards against target versions of weights that count as new after a restart: requests would then start on replaced
//! weights for longer than allowed.

mod common;

use common::{Simulation, log_output, ms, set_target_version};
use lw_edge::{
    run::Vm,
    state::{StoreView, TargetVersion},
};

fn target(version: u64, since: u64, is_dated: bool) -> TargetVersion {
    TargetVersion { version, since: ms(since), is_dated }
}

/// Returns the earliest time at which a version became the target, in milliseconds, and whether it is not an estimate.
fn since(view: &StoreView, version: u64) -> Option<(u64, bool)> {
    let mut versions = view.target_versions().filter(|(_, target)| target.version == version);
    let (_, target) = versions.next()?;
    Some((u64::try_from(target.since.as_millis()).unwrap(), target.is_dated))
}

/// Guards against a VM that keeps its estimate, or goes back to an earlier time than the latest that was reported.
#[test]
fn a_time_reported_by_another_vm_replaces_an_estimate() {
    let mut view = StoreView::new(ms(0));
    assert!(view.add_target_version("m", target(3, 1_000, false)));
    assert!(view.set_target_since("m", 3, ms(9_000)));
    assert_eq!(since(&view, 3), Some((9_000, true)));
    // Each reported time is a lower bound, so the latest of them counts.
    assert!(!view.set_target_since("m", 3, ms(8_000)));
    assert!(view.set_target_since("m", 3, ms(9_500)));
    assert_eq!(since(&view, 3), Some((9_500, true)));
}

/// Guards against an engine that is two versions behind and whose time to load would count from the newest version.
#[test]
fn older_versions_are_added_from_other_vms_and_newer_ones_are_not() {
    let mut view = StoreView::new(ms(0));
    view.add_target_version("m", target(3, 1_000, true));
    assert!(view.set_target_since("m", 2, ms(500)));
    assert_eq!(since(&view, 2), Some((500, true)));
    assert!(!view.set_target_since("m", 4, ms(1_500)), "newer versions come only from the store");
    assert!(!view.set_target_since("other", 1, ms(1_500)));
    assert_eq!(view.newest_version("m"), Some(3));
    assert!(
        !view.add_target_version("m", target(2, 2_000, true)),
        "an older version must not become the newest"
    );
}

/// Guards against a VM that starts and takes a version for younger than it is.
#[tokio::test]
async fn a_vm_that_starts_gets_the_age_of_a_version_from_another_vm() {
    let simulation = Simulation::start().await;
    set_target_version(&simulation, 2);
    let is_read = async |_: &Simulation| log_output().contains("version named model=m weights=2");
    simulation.wait_until("the first VM reads the version", is_read).await;
    tokio::time::sleep(ms(1_200)).await;
    let second =
        Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await.unwrap();
    simulation
        .wait_until("the second VM gets its age", async |_| {
            let log = log_output();
            let line = log
                .lines()
                .find(|line| line.contains("age of a version learned model=m weights=2"));
            let age = line.and_then(|line| {
                line.split("age_ms=").nth(1)?.split(' ').next()?.parse::<u64>().ok()
            });
            assert!(age.is_none_or(|age| age >= 1_200), "{age:?} ms is too young");
            age.is_some()
        })
        .await;
    let now = second.edge.timer.now_including_suspend();
    let targets: Vec<_> =
        second.edge.store_view().target_versions().map(|(_, target)| target).collect();
    let age = now.saturating_sub(targets.last().expect("version 2").since);
    assert!(age >= ms(1_200) && age < ms(5_000), "{age:?}");
}
