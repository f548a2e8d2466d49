//! Guards against VMs that miss changes, or use knowledge that is older than they believe, when only a few of them follow
//! the store; and against many calls to the store at once.

mod common;

use std::{collections::HashSet, time::Duration};

use common::{Simulation, ms, request, send};
use lw_catalog::VmSettings;
use lw_edge::{
    run::Vm,
    spread::{
        self, Told,
        journal::{Change, Journal, KEPT_MAX_BYTES},
        plan::{FLEET_MIN, FOLLOWERS, Plan, Source},
    },
};
use lw_standin::hosted::store::Mode;
use serde_json::json;

const REVOKE: Duration = Duration::from_secs(5);
/// Time for which a VM of the tests is not asked again.
const LATER: Duration = Duration::from_secs(3);

fn change(key: &str, revision: u64) -> Change {
    Change { key: key.into(), revision, value: Some(vec![0; 100]) }
}

#[test]
fn a_journal_tells_all_changes_after_a_revision_or_none() {
    let mut journal = Journal::default();
    assert_eq!(journal.since(0), None, "nothing was read yet");
    journal.restart(10);
    journal.advance(12, vec![change("a", 11), change("b", 12)]);
    journal.advance(15, Vec::new());
    let keys = |after| {
        let changes: Option<Vec<Change>> = journal.since(after);
        changes.map(|changes| changes.into_iter().map(|change| change.key).collect::<String>())
    };
    assert_eq!(keys(9), None);
    assert_eq!(keys(10).as_deref(), Some("ab"));
    assert_eq!(keys(11).as_deref(), Some("b"));
    assert_eq!(keys(15).as_deref(), Some(""));
    assert_eq!(keys(20).as_deref(), Some(""), "the other VM is ahead");
    assert_eq!(journal.revision(), 15);
}

/// Guards against a journal that drops changes and does not say so.
#[test]
fn a_journal_that_is_full_knows_what_it_has_dropped() {
    let mut journal = Journal::default();
    journal.restart(0);
    let most = u64::try_from(KEPT_MAX_BYTES / 100).unwrap();
    for revision in 1..=most {
        journal.advance(revision, vec![change("key", revision)]);
    }
    assert_eq!(journal.since(0), None);
    let first = (0..most).find(|after| journal.since(*after).is_some()).expect("some are kept");
    assert_eq!(journal.since(first).unwrap().len(), usize::try_from(most - first).unwrap());
}

fn vms(n: usize) -> Vec<String> {
    (0..n).map(|n| format!("vm-{n}")).collect()
}

#[test]
fn two_vms_of_a_failure_domain_follow_the_store_and_the_others_ask_them() {
    let near = vms(19);
    let is_follower = |vm: &&String| Plan::is_follower(vm, &near, 95);
    let followers: Vec<_> = near.iter().filter(is_follower).collect();
    assert_eq!(followers.len(), FOLLOWERS);
    let mut asked = HashSet::new();
    for vm in &near {
        match Plan::default().next(ms(0), vm, &near, 95) {
            Source::Store => assert!(followers.contains(&vm)),
            Source::Vm(other) => drop(asked.insert(other)),
            Source::Wait(_) => panic!("{vm} waits"),
        }
    }
    assert_eq!(asked.len(), FOLLOWERS, "the load is on both of them");
    assert!(near.iter().all(|vm| Plan::is_follower(vm, &near, FLEET_MIN - 1)));
}

/// The other follower comes first, then the store, one VM after the other.
#[test]
fn a_vm_without_a_follower_goes_to_the_store_but_not_all_at_once() {
    let near = vms(19);
    let mut first_tries = Vec::new();
    for vm in near.iter().filter(|vm| !Plan::is_follower(vm, &near, 95)) {
        let mut plan = Plan::default();
        let mut asked = Vec::new();
        let mut now = ms(0);
        loop {
            match plan.next(now, vm, &near, 95) {
                Source::Vm(other) => {
                    plan.failed(now, &other);
                    asked.push(other);
                }
                Source::Wait(time) => now += time,
                Source::Store => break,
            }
            assert!(now < ms(1_100), "{vm} is without a source for {now:?}");
        }
        assert_eq!(asked.len(), FOLLOWERS, "{vm} asked {asked:?}");
        first_tries.push(now);
        // The store answers nobody: this VM tries again a second later, and asks others meanwhile.
        plan.store_failed(now, false, ms(100));
        assert!(!matches!(plan.next(now + ms(900), vm, &near, 95), Source::Store));
        assert!(matches!(plan.next(now + ms(1_000), vm, &near, 95), Source::Store));
        assert!(matches!(plan.next(now + LATER, vm, &near, 95), Source::Vm(_)));
    }
    first_tries.sort();
    let in_100_ms =
        |at: &Duration| first_tries.iter().filter(|t| **t >= *at && **t < *at + ms(100)).count();
    assert!(first_tries.iter().map(in_100_ms).max().unwrap() <= 6, "{first_tries:?}");
}

/// Guards against a VM that is content with a follower whose knowledge grows old.
#[test]
fn a_follower_that_lags_is_left() {
    let near = vms(19);
    let vm = near.iter().find(|vm| !Plan::is_follower(vm, &near, 95)).unwrap();
    let mut plan = Plan::default();
    let Source::Vm(first) = plan.next(ms(0), vm, &near, 95) else { panic!("it asks nobody") };
    plan.answered(ms(0), &first, false, Some(ms(1_000)), REVOKE);
    assert_eq!(plan.next(ms(0), vm, &near, 95), Source::Vm(first.clone()));
    plan.answered(ms(0), &first, false, Some(ms(2_600)), REVOKE);
    let Source::Vm(second) = plan.next(ms(0), vm, &near, 95) else { panic!("it asks nobody") };
    assert_ne!(first, second);
    plan.answered(ms(0), &second, false, None, REVOKE);
    assert!(!matches!(plan.next(ms(10), vm, &near, 95), Source::Vm(_)));
}

/// A follower whose store turns it away lives from another VM, and tries the store again soon.
#[test]
fn a_follower_without_the_store_asks_another_vm() {
    let near = vms(3);
    let mut plan = Plan::default();
    assert_eq!(plan.next(ms(0), "vm-0", &near, 3), Source::Store);
    plan.store_failed(ms(0), true, ms(100));
    assert!(matches!(plan.next(ms(50), "vm-0", &near, 3), Source::Vm(_)));
    // Answers that come at once would make it ask without a pause.
    assert_eq!(plan.ask_wait(ms(40), true, spread::WAIT), ms(60));
    assert_eq!(plan.ask_wait(ms(40), false, spread::WAIT), spread::WAIT);
    // Its knowledge is old, and yet the best that there is.
    let Source::Vm(other) = plan.next(ms(50), "vm-0", &near, 3) else { panic!("it asks nobody") };
    plan.answered(ms(50), &other, true, Some(ms(3_000)), REVOKE);
    assert_eq!(plan.next(ms(60), "vm-0", &near, 3), Source::Vm(other));
    assert_eq!(plan.next(ms(100), "vm-0", &near, 3), Source::Store);
}

async fn second_vm(world: &Simulation) -> Vm {
    another_vm(world, world.further_settings("vm-2")).await
}

async fn another_vm(world: &Simulation, settings: VmSettings) -> Vm {
    let second = Vm::start(settings, world.logs.clone()).await.unwrap();
    world.wait_until_joined(&second).await;
    second
}

/// Changes reach a VM that only asks another one, and its knowledge is not younger than that of the other.
#[tokio::test]
async fn another_vm_tells_changes_and_the_age_of_its_knowledge() {
    let world = Simulation::start().await;
    let second = second_vm(&world).await;
    let (edge, addr) = (&second.edge, world.settings.peers);
    let first = &world.vm.as_ref().unwrap().edge;
    let revision = first.spread.journal(|journal| journal.revision());
    let waits = spread::ask(edge, addr, revision, ms(2_000));
    let started = std::time::Instant::now();
    let changes = async {
        tokio::time::sleep(ms(100)).await;
        let mut config = common::config(9);
        config["Routes"][0]["Prefix"] = json!("/new/");
        world.store.put("op/config", &config);
    };
    let (told, ()) = tokio::join!(waits, changes);
    let Told::Changes { changes, confirmed, revision: next } = told.unwrap() else {
        panic!("it does not know")
    };
    assert!(started.elapsed() < ms(1_500), "it answers when there is a change");
    assert!(
        next > revision && changes.iter().any(|change| change.key == "op/config"),
        "{changes:?}"
    );
    let age = |edge: &lw_edge::state::Edge| edge.known().age(edge.timer.now_suspended()).unwrap();
    let told_age = edge.timer.now_suspended().saturating_sub(confirmed);
    assert!(told_age + ms(5) >= age(first), "{told_age:?} told, {:?} true", age(first));
    // Revisions that it does not know are not made up.
    assert_eq!(spread::ask(edge, addr, 0, ms(0)).await.unwrap(), Told::Unknown);
}

/// Guards against answers to whoever asks, and against answers that look like new ones.
#[tokio::test]
async fn only_vms_with_the_key_are_answered() {
    let world = Simulation::start().await;
    let second = second_vm(&world).await;
    let key = second.edge.known().own("lavenderwood/peer-key").unwrap().clone();
    let wrong = lw_edge::state::OwnItem {
        value: b"another key".to_vec(),
        revision: key.revision + 1_000,
        ..key
    };
    second.edge.known().set_own("lavenderwood/peer-key", Some(wrong));
    let told = spread::ask(&second.edge, world.settings.peers, 0, ms(0)).await;
    assert!(told.is_err(), "{told:?}");
}

/// Guards against a VM that refuses its callers although another one knows enough, and against one that serves on when
/// nobody knows any more.
#[tokio::test]
async fn a_vm_that_the_store_turns_away_lives_from_another_one() {
    let world = Simulation::start().await;
    let door = world.store.door().await.unwrap();
    let settings = VmSettings { store: door.addr(), ..world.further_settings("vm-2") };
    let second = another_vm(&world, settings).await;
    let addr = second.edge.settings.callers;
    let status =
        async |id: &str| send(addr, &request(id, "/look/x")).await.map(|reply| reply.status);
    door.set_open(false);
    let ends = tokio::time::Instant::now() + world.settings.bounds.revoke * 2;
    let mut n = 0;
    while tokio::time::Instant::now() < ends {
        n += 1;
        assert_eq!(status(&format!("away-{n}")).await, Some(200), "request {n}");
        tokio::time::sleep(ms(50)).await;
    }
    // A key that is taken away meanwhile is refused.
    let mut config = common::config(9);
    config["Tenants"][0]["ApiKeys"] = json!(["another-key"]);
    world.store.put("op/config", &config);
    let refused = async |_: &Simulation| status("revoked").await == Some(401);
    world.wait_until("the key is refused", refused).await;
    world.store.set_mode(Mode::Unavailable);
    let refused = async |_: &Simulation| status("unknown").await == Some(503);
    world.wait_until("nobody knows enough", refused).await;
}
