//! Guards against VMs that miss changes, or use a view of the store that is older than they assume, when only a few of
//! them follow the store; and against many calls to the store at the same time.

mod common;

use std::{collections::HashSet, sync::Arc, time::Duration};

use common::{CallerRequest, Simulation, ms, request, send};
use lw_catalog::{VmSettings, settings::Bounds};
use lw_edge::{
    distribution::{
        self, ChangesReply,
        journal::{Change, JOURNAL_MAX_BYTES, Journal},
        source::{Candidate, FOLLOWER_ROLE_MIN_VMS, FOLLOWERS, Source, SourceSelector},
        value::Value,
    },
    run::Vm,
};
use lw_standin::hosted::{caller::KEY, store::StoreMode};
use lw_types::prelude::Position;
use serde_json::json;

/// Time within which a change must be known.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Longer than the time for which a VM that did not reply gets no requests.
const AFTER_AVOID_TIME: Duration = Duration::from_secs(3);

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn change(key: &str, revision: u64) -> Change {
    Change { key: key.into(), revision, value: Some(Value::new(vec![0; 100])) }
}

/// Guards against a journal that returns only some of the changes after a revision.
#[test]
fn a_journal_returns_all_changes_after_a_revision_or_none() {
    let mut journal = Journal::default();
    assert_eq!(journal.changes_after(at(0)), None, "nothing was read yet");
    journal.reset(at(10));
    journal.advance(12, vec![change("a", 11), change("b", 12)]);
    journal.advance(15, Vec::new());
    let keys = |after| {
        let changes: Option<Vec<Change>> = journal.changes_after(at(after));
        changes.map(|changes| changes.into_iter().map(|change| change.key).collect::<String>())
    };
    assert_eq!(keys(9), None);
    assert_eq!(keys(10).as_deref(), Some("ab"));
    assert_eq!(keys(11).as_deref(), Some("b"));
    assert_eq!(keys(15).as_deref(), Some(""));
    assert_eq!(keys(20).as_deref(), Some(""), "the other VM has a newer revision");
    assert_eq!(journal.changes_after(Position { era: 1, revision: 10 }), None, "another era");
    assert_eq!(journal.revision(), 15);
}

/// Guards against replies with each of several configurations, which a VM with a narrow link cannot send to all others in time.
#[test]
fn a_journal_keeps_only_the_newest_configuration() {
    let mut journal = Journal::default();
    journal.reset(at(10));
    let config = |revision| change(lw_platform::config::CONFIG_KEY, revision);
    let other = |revision| change("op/version/m", revision);
    journal.advance(12, vec![config(11), other(12)]);
    journal.advance(16, vec![config(13), other(14), config(15), other(16)]);
    let after = |revision| journal.changes_after(at(revision)).expect("all changes");
    assert_eq!(after(10), [other(12), other(14), config(15), other(16)]);
    assert_eq!(after(14), [config(15), other(16)]);
    assert_eq!(after(15), [other(16)]);
    // Configurations that are dropped make room for other changes.
    let config = |revision| Change {
        value: Some(Value::Plain(vec![0; 100_000].into())),
        ..config(revision)
    };
    for revision in 17..100 {
        journal.advance(revision, vec![config(revision)]);
    }
    assert_eq!(journal.changes_after(at(10)).expect("all changes").len(), 4);
}

/// Guards against a full journal that drops changes and still returns the others as if they were all.
#[test]
fn a_full_journal_returns_nothing_from_before_the_dropped_changes() {
    let mut journal = Journal::default();
    journal.reset(at(0));
    let count = u64::try_from(JOURNAL_MAX_BYTES / 100).unwrap();
    for revision in 1..=count {
        journal.advance(revision, vec![change("key", revision)]);
    }
    assert_eq!(journal.changes_after(at(0)), None);
    let first = (0..count)
        .find(|after| journal.changes_after(at(*after)).is_some())
        .expect("some are kept");
    assert_eq!(
        journal.changes_after(at(first)).unwrap().len(),
        usize::try_from(count - first).unwrap()
    );
}

fn vms(n: usize) -> Vec<Candidate> {
    (0..n).map(|n| Candidate { vm: format!("vm-{n}"), capacity: 100 }).collect()
}

/// Guards against too many or too few followers in a failure domain, and against requests that all go to one of them.
#[test]
fn two_vms_of_a_failure_domain_follow_the_store_and_serve_the_others() {
    let same_domain = vms(19);
    let is_follower = |vm: &&Candidate| SourceSelector::is_follower(vm, &same_domain, 95);
    let followers: Vec<_> = same_domain.iter().filter(is_follower).collect();
    assert_eq!(followers.len(), FOLLOWERS);
    let mut requested = HashSet::new();
    for vm in &same_domain {
        match SourceSelector::default().select(ms(0), vm, &same_domain, 95) {
            Source::Store => assert!(followers.contains(&vm)),
            Source::Vm(other) => drop(requested.insert(other)),
            Source::Wait(_) => panic!("{vm:?} waits"),
        }
    }
    assert_eq!(requested.len(), FOLLOWERS, "each of the followers gets requests");
    assert!(same_domain.iter().all(|vm| SourceSelector::is_follower(
        vm,
        &same_domain,
        FOLLOWER_ROLE_MIN_VMS - 1
    )));
}

/// Guards against followers whose links or processors cannot send large changes to all others in time.
#[test]
fn the_vms_with_the_largest_capacity_follow_the_store() {
    let mut same_domain = vms(19);
    for n in [3, 11] {
        same_domain[n].capacity = 10_000;
    }
    let is_follower = |n: &usize| SourceSelector::is_follower(&same_domain[*n], &same_domain, 95);
    assert_eq!((0..19).filter(is_follower).collect::<Vec<_>>(), [3, 11]);
}

/// Guards against a VM that waits out the whole time of two followers in turn when both are down.
#[test]
fn a_vm_without_a_reply_asks_the_next_follower_for_one_at_once() {
    let same_domain = vms(19);
    let is_other = |vm: &&Candidate| !SourceSelector::is_follower(vm, &same_domain, 95);
    let vm = same_domain.iter().find(is_other).unwrap();
    let mut selector = SourceSelector::default();
    let Source::Vm(first) = selector.select(ms(0), vm, &same_domain, 95) else {
        panic!("no VM selected")
    };
    assert_eq!(selector.request_wait(ms(0), false, ms(500)), ms(500));
    selector.record_failure(ms(900), &first);
    assert_eq!(selector.request_wait(ms(900), false, ms(500)), ms(0));
    selector.record_reply(ms(910), "another", false, Some(ms(100)), KNOWN_WITHIN);
    assert_eq!(selector.request_wait(ms(910), false, ms(500)), ms(500));
}

/// Guards against VMs that remain without a source when both followers do not reply, and against VMs that then all call
/// the store at the same time.
#[test]
fn vms_without_a_follower_call_the_store_one_after_the_other() {
    let same_domain = vms(19);
    let mut first_attempts = Vec::new();
    for vm in same_domain.iter().filter(|vm| !SourceSelector::is_follower(vm, &same_domain, 95)) {
        let mut selector = SourceSelector::default();
        let mut requested = Vec::new();
        let mut now = ms(0);
        loop {
            match selector.select(now, vm, &same_domain, 95) {
                Source::Vm(other) => {
                    selector.record_failure(now, &other);
                    requested.push(other);
                }
                Source::Wait(time) => now += time,
                Source::Store => break,
            }
            assert!(now < ms(1_100), "{vm:?} is without a source for {now:?}");
        }
        assert_eq!(requested.len(), FOLLOWERS, "{vm:?} sent requests to {requested:?}");
        first_attempts.push(now);
        // During an outage of the store, this VM calls it again a second later, and sends requests to others meanwhile.
        selector.record_store_failure(now, false, ms(100));
        assert!(!matches!(selector.select(now + ms(900), vm, &same_domain, 95), Source::Store));
        assert!(matches!(selector.select(now + ms(1_000), vm, &same_domain, 95), Source::Store));
        assert!(matches!(
            selector.select(now + AFTER_AVOID_TIME, vm, &same_domain, 95),
            Source::Vm(_)
        ));
    }
    first_attempts.sort();
    let in_100_ms =
        |at: &Duration| first_attempts.iter().filter(|t| **t >= *at && **t < *at + ms(100)).count();
    assert!(first_attempts.iter().map(in_100_ms).max().unwrap() <= 6, "{first_attempts:?}");
}

/// Guards against a VM that continues to use a follower whose view of the store is too old.
#[test]
fn a_follower_with_an_old_view_is_avoided() {
    let same_domain = vms(19);
    let vm =
        same_domain.iter().find(|vm| !SourceSelector::is_follower(vm, &same_domain, 95)).unwrap();
    let mut selector = SourceSelector::default();
    let Source::Vm(first) = selector.select(ms(0), vm, &same_domain, 95) else {
        panic!("no VM selected")
    };
    selector.record_reply(ms(0), &first, false, Some(ms(1_000)), KNOWN_WITHIN);
    assert_eq!(selector.select(ms(0), vm, &same_domain, 95), Source::Vm(first.clone()));
    selector.record_reply(ms(0), &first, false, Some(ms(1_600)), KNOWN_WITHIN);
    let Source::Vm(second) = selector.select(ms(0), vm, &same_domain, 95) else {
        panic!("no VM selected")
    };
    assert_ne!(first, second);
    selector.record_reply(ms(0), &second, false, None, KNOWN_WITHIN);
    assert!(!matches!(selector.select(ms(10), vm, &same_domain, 95), Source::Vm(_)));
}

/// Guards against a follower that has no source when its calls to the store fail: it uses another VM, and calls the
/// store again soon.
#[test]
fn a_follower_without_the_store_uses_another_vm() {
    let same_domain = vms(3);
    let mut selector = SourceSelector::default();
    assert_eq!(selector.select(ms(0), &same_domain[0], &same_domain, 3), Source::Store);
    selector.record_store_failure(ms(0), true, ms(100));
    assert!(matches!(selector.select(ms(50), &same_domain[0], &same_domain, 3), Source::Vm(_)));
    // The other VM holds the request until the store is called again. Replies at once would cause requests without a
    // pause.
    assert_eq!(selector.request_wait(ms(40), true, distribution::CHANGE_WAIT), ms(60));
    assert_eq!(
        selector.request_wait(ms(40), false, distribution::CHANGE_WAIT),
        distribution::CHANGE_WAIT
    );
    // The view of the other VM is old, but there is no better source.
    let Source::Vm(other) = selector.select(ms(50), &same_domain[0], &same_domain, 3) else {
        panic!("no VM selected")
    };
    selector.record_reply(ms(50), &other, true, Some(ms(3_000)), KNOWN_WITHIN);
    assert_eq!(selector.select(ms(60), &same_domain[0], &same_domain, 3), Source::Vm(other));
    assert_eq!(selector.select(ms(100), &same_domain[0], &same_domain, 3), Source::Store);
}

async fn second_vm(simulation: &Simulation) -> Vm {
    another_vm(simulation, simulation.further_settings("vm-2")).await
}

async fn another_vm(simulation: &Simulation, settings: VmSettings) -> Vm {
    let second = Vm::start(settings, simulation.logs.clone()).await.unwrap();
    simulation.wait_until_joined(&second).await;
    second
}

/// Guards against changes that do not reach a VM that gets them from another one, and against an age that is less than
/// that of the other VM's view.
#[tokio::test]
async fn another_vm_returns_changes_and_the_age_of_its_view() {
    let simulation = Simulation::start().await;
    let second = second_vm(&simulation).await;
    let (edge, addr) = (&second.edge, simulation.settings.peers);
    let first = &simulation.vm.as_ref().unwrap().edge;
    let revision = first.distribution.with_journal(|journal| journal.revision());
    let request = distribution::request_changes(edge, addr, at(revision), ms(2_000));
    let started = std::time::Instant::now();
    let changes = async {
        tokio::time::sleep(ms(100)).await;
        let mut config = common::config(9);
        config["Routes"][0]["Prefix"] = json!("/new/");
        simulation.store.put("op/config", &config);
    };
    let (reply, ()) = tokio::join!(request, changes);
    let ChangesReply::Changes { changes, current_as_of, revision: next, .. } = reply.unwrap()
    else {
        panic!("the other VM does not have the changes")
    };
    assert!(started.elapsed() < ms(1_500), "it must reply as soon as there is a change");
    assert!(
        next > revision && changes.iter().any(|change| change.key == "op/config"),
        "{changes:?}"
    );
    let age = |edge: &lw_edge::state::Edge| {
        edge.store_view().age(edge.timer.now_including_suspend()).unwrap()
    };
    let received_age = edge.timer.now_including_suspend().saturating_sub(current_as_of.unwrap());
    assert!(
        received_age + ms(5) >= age(first),
        "received {received_age:?}, actual {:?}",
        age(first)
    );
    // Changes after a revision that is not in its journal must not be returned.
    assert_eq!(
        distribution::request_changes(edge, addr, at(0), ms(0)).await.unwrap(),
        ChangesReply::Unknown
    );
}

/// Guards against a VM that replies to requests without a valid authentication code.
#[tokio::test]
async fn only_vms_with_the_key_get_a_reply() {
    let simulation = Simulation::start().await;
    let second = second_vm(&simulation).await;
    let key = second.edge.store_view().router_item("lavenderwood/peer-key").unwrap().clone();
    let wrong = lw_edge::state::RouterItem {
        value: b"another key".to_vec(),
        revision: key.revision + 1_000,
        ..key
    };
    second.edge.store_view().set_router_item("lavenderwood/peer-key", Some(wrong));
    let reply =
        distribution::request_changes(&second.edge, simulation.settings.peers, at(0), ms(0)).await;
    assert!(reply.is_err(), "{reply:?}");
}

/// Guards against a VM without a connection to the store that refuses callers although another VM has a recent view,
/// and against one that still accepts callers when no VM has.
#[tokio::test]
async fn a_vm_that_cannot_reach_the_store_gets_changes_from_another_one() {
    let simulation = Simulation::start().await;
    let proxy = simulation.store.add_endpoint().await.unwrap();
    let settings = VmSettings { store: proxy.addr(), ..simulation.further_settings("vm-2") };
    let second = another_vm(&simulation, settings).await;
    let addr = second.edge.settings.callers;
    let status =
        async |id: &str| send(addr, &request(id, "/look/x")).await.map(|reply| reply.status);
    proxy.set_available(false);
    let ends = tokio::time::Instant::now() + simulation.settings.bounds.revoke * 2;
    let mut n = 0;
    while tokio::time::Instant::now() < ends {
        n += 1;
        assert_eq!(status(&format!("away-{n}")).await, Some(200), "request {n}");
        tokio::time::sleep(ms(50)).await;
    }
    // A key that is revoked meanwhile is refused.
    let mut config = common::config(9);
    config["Tenants"][0]["ApiKeys"] = json!(["another-key"]);
    simulation.store.put("op/config", &config);
    let refused = async |_: &Simulation| status("revoked").await == Some(401);
    simulation.wait_until("the key is refused", refused).await;
    simulation.store.set_mode(StoreMode::Unavailable);
    let refused = async |_: &Simulation| status("unknown").await == Some(503);
    simulation.wait_until("callers are refused since no VM has a recent view", refused).await;
}

/// Guards against a VM that offers changes after the store has turned it away, to VMs that could get them elsewhere.
#[tokio::test]
async fn a_vm_that_the_store_turns_away_offers_no_changes() {
    let simulation = Simulation::start().await;
    let proxy = simulation.store.add_endpoint().await.unwrap();
    let settings = VmSettings { store: proxy.addr(), ..simulation.further_settings("vm-2") };
    let second = another_vm(&simulation, settings).await;
    let first = Arc::clone(&simulation.vm.as_ref().unwrap().edge);
    let addr = second.edge.settings.peers;
    let revision = || first.distribution.with_journal(|journal| journal.revision());
    let request =
        async |wait| distribution::request_changes(&first, addr, at(revision()), wait).await;
    assert!(matches!(request(ms(0)).await, Ok(ChangesReply::Changes { .. })));
    proxy.set_available(false);
    let offers_none =
        async |_: &Simulation| matches!(request(ms(0)).await, Ok(ChangesReply::Unknown));
    simulation.wait_until("it offers no changes", offers_none).await;
    let started = std::time::Instant::now();
    assert!(matches!(request(ms(500)).await, Ok(ChangesReply::Unknown)));
    assert!(started.elapsed() < ms(200), "it must say so at once");
    proxy.set_available(true);
    let offers =
        async |_: &Simulation| matches!(request(ms(0)).await, Ok(ChangesReply::Changes { .. }));
    simulation.wait_until("it offers changes again", offers).await;
}

/// Guards against a VM that offers no changes after it has read the whole store again, so that all others turn to the store.
#[tokio::test]
async fn a_vm_that_reads_the_store_again_still_offers_the_changes_since_then() {
    let simulation = Simulation::start().await;
    let second = second_vm(&simulation).await;
    let first = Arc::clone(&simulation.vm.as_ref().unwrap().edge);
    let after = first.distribution.with_journal(|journal| journal.position()).unwrap();
    let desk = format!("servers/{}", simulation.servers[0].id);
    simulation.store.cut_watches();
    simulation.store.remove(&desk);
    simulation.store.put("op/config", &common::config(9));
    simulation.store.compact();
    let has_read = async |_: &Simulation| {
        let catalog = first.store_view().catalog();
        catalog.is_some_and(|catalog| catalog.version == 9)
    };
    simulation.wait_until("the first VM has read the store again", has_read).await;
    let addr = simulation.settings.peers;
    let reply = distribution::request_changes(&second.edge, addr, after, ms(0)).await;
    let Ok(ChangesReply::Changes { changes, revision, .. }) = reply else {
        panic!("the first VM offers no changes: {reply:?}")
    };
    assert!(revision > after.revision);
    let value_of = |key: &str| {
        let change = changes.iter().rev().find(|change| change.key == key);
        change.unwrap_or_else(|| panic!("no change of {key} in {changes:?}")).value.clone()
    };
    assert!(value_of("op/config").is_some());
    assert_eq!(value_of(&desk), None, "it was removed");
}

/// Guards against routes and keys that are refused for good by a VM whose configuration may be out of date.
#[tokio::test]
async fn a_vm_with_an_old_view_does_not_say_that_a_route_or_key_does_not_exist() {
    let bounds = Bounds { config: ms(2_000), revoke: ms(5_000), ..common::bounds() };
    let simulation = Simulation::start_with(bounds).await;
    let status = async |id: &str, path: &'static str, key: &'static str| {
        let request = CallerRequest { key, ..request(id, path) };
        simulation.send(&request).await.expect("an answer").status
    };
    // Also while nothing changes in the store for a few watches.
    for n in 0..30 {
        assert_eq!(status(&format!("current-route-{n}"), "/none/x", KEY).await, 404);
        assert_eq!(status(&format!("current-key-{n}"), "/look/x", "unknown").await, 401);
        tokio::time::sleep(ms(100)).await;
    }
    simulation.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(ms(2_500)).await;
    assert_eq!(status("old-route", "/none/x", KEY).await, 503);
    assert_eq!(status("old-key", "/look/x", "unknown").await, 503);
    assert_eq!(status("known", "/look/x", KEY).await, 200);
    simulation.store.set_mode(StoreMode::Normal);
    let is_refused = async |_: &Simulation| status("current", "/none/x", KEY).await == 404;
    simulation.wait_until("the view is current again", is_refused).await;
}

/// Guards against a reply that is given up while it arrives over a slow link, and against one that is awaited after it has
/// stopped.
#[tokio::test]
async fn a_slow_reply_is_read_to_its_end_and_a_silent_one_is_not() {
    use lw_transport::client::{BodyTime, Call, Clients, Error, Options};
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for parts in [6, 3] {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await;
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 600\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            for _ in 0..parts {
                tokio::time::sleep(ms(150)).await;
                stream.write_all(&[b'x'; 100]).await.unwrap();
            }
            tokio::time::sleep(ms(3_000)).await;
        }
    });
    let options = Options { connect_timeout: ms(300), pool_idle_timeout: ms(300) };
    let clients = Clients::new(options);
    let collect = async || {
        let mut call = Call::new(http::Method::GET, addr, "/", ms(400));
        call.body_time = Some(BodyTime { pause_max: ms(400), total_max: ms(2_000) });
        clients.collect(call).await
    };
    assert_eq!(collect().await.unwrap().into_body().len(), 600, "it takes 0.9 s");
    assert!(matches!(collect().await, Err(Error::Timeout(_))));
}
