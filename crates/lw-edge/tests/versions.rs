//! Guards against named versions of weights that count as new after a restart: requests would then begin on the old
//! weights for longer than they may.

mod common;

use common::{Simulation, log_output, ms, set_target_version};
use lw_edge::{
    run::Vm,
    state::{Known, Named},
};

fn named(version: u64, since: u64, is_dated: bool) -> Named {
    Named { version, since: ms(since), is_dated }
}

fn since(known: &Known, version: u64) -> Option<(u64, bool)> {
    let mut versions = known.versions().filter(|(_, named)| named.version == version);
    let (_, named) = versions.next()?;
    Some((u64::try_from(named.since.as_millis()).unwrap(), named.is_dated))
}

#[test]
fn what_another_vm_knows_replaces_a_guess() {
    let mut known = Known::default();
    assert!(known.name_version("m", named(3, 1_000, false)));
    assert!(known.date_version("m", 3, ms(9_000)));
    assert_eq!(since(&known, 3), Some((9_000, true)));
    // Each answer is a time before which it was not named, so the latest of them counts.
    assert!(!known.date_version("m", 3, ms(8_000)));
    assert!(known.date_version("m", 3, ms(9_500)));
    assert_eq!(since(&known, 3), Some((9_500, true)));
}

/// Guards against an engine two versions behind whose time would count from the newest version.
#[test]
fn versions_that_this_vm_never_read_are_learned_and_newer_ones_are_not() {
    let mut known = Known::default();
    known.name_version("m", named(3, 1_000, true));
    assert!(known.date_version("m", 2, ms(500)));
    assert_eq!(since(&known, 2), Some((500, true)));
    assert!(!known.date_version("m", 4, ms(1_500)), "the store names it");
    assert!(!known.date_version("other", 1, ms(1_500)));
    assert_eq!(known.version("m"), Some(3));
    assert!(!known.name_version("m", named(2, 2_000, true)), "versions do not go back");
}

#[tokio::test]
async fn a_vm_that_starts_learns_when_a_version_was_named() {
    let world = Simulation::start().await;
    set_target_version(&world, 2);
    let is_named = async |_: &Simulation| log_output().contains("version named model=m weights=2");
    world.wait_until("the first VM knows of it", is_named).await;
    tokio::time::sleep(ms(1_200)).await;
    let second = Vm::start(world.further_settings("vm-2"), world.logs.clone()).await.unwrap();
    world
        .wait_until("the second VM learns its age", async |_| {
            let log = log_output();
            let line = log
                .lines()
                .find(|line| line.contains("age of a version learned model=m weights=2"));
            let age = line.and_then(|line| {
                line.split("age_ms=").nth(1)?.split(' ').next()?.parse::<u64>().ok()
            });
            assert!(age.is_none_or(|age| age >= 1_200), "{age:?} ms, younger than it is");
            age.is_some()
        })
        .await;
    let now = second.edge.timer.now_suspended();
    let named: Vec<_> = second.edge.known().versions().map(|(_, named)| named).collect();
    let age = now.saturating_sub(named.last().expect("version 2").since);
    assert!(age >= ms(1_200) && age < ms(5_000), "{age:?}");
}
