//! Distribution of the configuration, restarts, the bootstrap document and operators' patches. Each row has its own
//! seed.

use std::time::Duration;

use lw_bench::cases::member::{fleet::Fleet, net::Net};
use lw_config::document::Document;
use lw_member::{
    Action, InForce, Member, Message, Options, PatchOutcome, StoreCall, StoreOutcome,
    config::stored::{StoredConfig, VALUE_BYTES_MAX},
    message::{Body, VersionedPatch},
};
use lw_types::prelude::*;
use serde_json::{Value, json};

/// Time within which an accepted version must be in force at every running VM (target 9 of section 1.4 of the design).
const IN_FORCE_TARGET: Duration = Duration::from_secs(3);

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn share_patch(n: u64) -> Value {
    json!({ "workspaces": { "station": { "share": n } } })
}

fn configured_fleet(size: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, domains, seed);
    fleet.start_converged();
    fleet.run(secs(3));
    fleet.patch(0, 0, share_patch(1));
    let took = fleet.run_until(secs(10), |f| f.store.version() == 1 && f.is_configured());
    assert!(took.is_some(), "seed {seed}: no first version");
    fleet
}

/// Guards against a version that does not reach every VM in time, also when the store fails right after it
/// accepted the version, and when the patch is too large for gossip.
#[test]
fn version_is_in_force_within_the_target() {
    let large = json!({ "workspaces": { "large": { "allowed": [] , "key_digests": vec!["a".repeat(64); 200] } } });
    for (size, domains, is_store_down, patch, seed) in [
        (8, 3, false, share_patch(5), 101),
        (8, 3, true, share_patch(5), 102),
        (64, 24, true, share_patch(5), 103),
        (256, 24, true, share_patch(5), 106),
        (64, 24, true, large.clone(), 104),
        (64, 24, false, large, 105),
    ] {
        let mut fleet = configured_fleet(size, domains, seed);
        let node = fleet.any_living();
        if is_store_down {
            // No watch returns the version either, so only the VM that accepted the patch has it.
            fleet.store.pending_watches.clear();
        }
        fleet.patch(node, 1, patch);
        fleet.run_until(secs(2), |f| f.store.version() == 2).expect("accepted");
        if is_store_down {
            fleet.store_down();
        }
        let took = fleet.run_until(secs(10), Fleet::is_configured);
        assert!(took.is_some_and(|t| t <= IN_FORCE_TARGET), "seed {seed}: {took:?}");
    }
}

/// Guards against a version that no VM distributes, because the VM that had it accepted fails right after or
/// does not receive the store's reply.
#[test]
fn watchers_distribute_a_version_its_writer_does_not() {
    for (writer_fails, seed) in [(true, 111), (false, 112)] {
        let mut fleet = configured_fleet(24, 3, seed);
        fleet.store.faults.reply_loss = if writer_fails { 0.0 } else { 0.5 };
        fleet.patch(5, 1, share_patch(9));
        if writer_fails {
            // The swap runs 9 ms after the start, and its reply arrives 3 ms later.
            fleet.run(Duration::from_millis(10));
            assert_eq!(fleet.store.version(), 2, "seed {seed}");
            fleet.kill(5);
        }
        fleet.run_until(secs(6), |f| f.store.version() == 2).expect("accepted");
        let took = fleet.run_until(secs(10), Fleet::is_configured);
        assert!(took.is_some_and(|t| t <= IN_FORCE_TARGET), "seed {seed}: {took:?}");
    }
}

/// Guards against VMs that do not get the current version after a partition in which more versions were accepted
/// than the history in the store holds, or that return to an older version.
#[test]
fn partitioned_side_catches_up() {
    let seed = 121;
    let mut fleet = configured_fleet(12, 4, seed);
    (0..12).filter(|n| n % 4 == 3).for_each(|n| fleet.nodes[n].group = 1);
    fleet.run(secs(5));
    for n in 0..60 {
        fleet.patch(0, n + 1, share_patch(n % 50 + 2));
        fleet.run(secs(1));
    }
    assert_eq!(fleet.store.version(), 61, "seed {seed}");
    let refused = fleet.patch(3, 1, share_patch(7));
    fleet.run(secs(6));
    assert_eq!(fleet.answers.get(&refused), Some(&PatchOutcome::Unavailable), "seed {seed}");
    (0..12).for_each(|n| fleet.nodes[n].group = 0);
    let took = fleet.run_until(secs(60), Fleet::is_configured);
    assert!(took.is_some_and(|t| t <= secs(15)), "seed {seed}: {took:?}");
}

/// Guards against a restarted VM that waits for an unavailable store instead of fetching from a peer, and
/// against a fleet that stays without configuration after all VMs restarted during an outage of the store.
#[test]
fn restarted_vm_uses_the_first_reply() {
    for (is_store_up, seed) in [(true, 131), (false, 132)] {
        let mut fleet = configured_fleet(9, 3, seed);
        if !is_store_up {
            fleet.store_down();
        }
        fleet.kill(4);
        fleet.run(secs(1));
        fleet.start(4);
        let took = fleet.run_until(secs(10), Fleet::is_configured);
        assert!(took.is_some_and(|t| t <= IN_FORCE_TARGET), "seed {seed}: {took:?}");
    }
    let seed = 133;
    let mut fleet = configured_fleet(9, 3, seed);
    fleet.store_down();
    (0..9).for_each(|node| fleet.start(node));
    fleet.run(secs(20));
    fleet.store.faults.is_up = true;
    let took = fleet.run_until(secs(20), Fleet::is_configured);
    assert!(took.is_some_and(|t| t <= secs(9)), "seed {seed}: {took:?}");
}

/// Guards against a number of store calls that grows with the number of VMs.
#[test]
fn store_calls_do_not_grow_with_the_fleet() {
    let calls = |size: usize| {
        let mut fleet = configured_fleet(size, 4, 141);
        fleet.net = Net { loss: 0.0, ..Net::default() };
        fleet.run(secs(2));
        let before = fleet.store.calls;
        fleet.patch(0, 1, share_patch(3));
        fleet.run(secs(2));
        fleet.store.calls - before
    };
    let (small, large) = (calls(16), calls(96));
    assert_eq!(small, large);
    assert!(small <= 2 + 2 * 4 + 2, "{small} calls for one change");
}

fn lone_member(bootstrap: Option<Document>) -> Member {
    let address = "10.0.0.1:7400".parse().expect("an address");
    let mut options = Options::new("vm-1", address, "zone-1", 1);
    options.bootstrap = bootstrap;
    Member::new(Duration::ZERO, options)
}

fn find_store_call(actions: &[Action]) -> Option<(u64, StoreCall)> {
    actions.iter().find_map(|action| match action {
        Action::Store { call, op } if !matches!(op, StoreCall::Watch { .. }) => {
            Some((*call, op.clone()))
        }
        _ => None,
    })
}

fn peer_message(version: ConfigVersion, body: Body) -> Message {
    let (from, digest) = ("vm-2".to_owned(), 0);
    Message { from, incarnation: 1, version, digest, updates: Vec::new(), body }
}

/// Guards against a bootstrap document that is treated or distributed as an accepted one, is patched, or stays in
/// force when an accepted document arrives, whatever the versions of the two are.
#[test]
fn bootstrap_is_provisional() {
    let bootstrap = Document::from_value(json!({ "version": 900 })).expect("valid");
    let mut member = lone_member(Some(bootstrap));
    assert!(
        member.config().document().is_none(),
        "in force before the store and the peers had time to reply"
    );
    let tick = member.tick(secs(1));
    assert!(tick.actions.contains(&Action::ConfigChanged));
    assert!(matches!(member.config(), InForce::Provisional(_)));
    assert_eq!(member.config().accepted_version(), None);
    let (reply, _) = member.on_request(secs(1), &peer_message(0, Body::Fetch(0)));
    assert_eq!((reply.version, reply.body), (0, Body::Gossip));
    let patch = VersionedPatch { version: 901, patch: "{}".to_owned() };
    member.on_reply(secs(1), &peer_message(901, Body::Patches(vec![patch])));
    assert!(matches!(member.config(), InForce::Provisional(_)));
    member.on_reply(secs(2), &peer_message(3, Body::Whole(json!({ "version": 3 }).to_string())));
    assert_eq!(member.config().accepted_version(), Some(3));
    member.tick(secs(9));
    assert_eq!(member.config().accepted_version(), Some(3));
}

/// Guards against a late reply of the store or of a peer that puts an older version in force.
#[test]
fn replies_with_older_versions_have_no_effect() {
    let mut member = lone_member(None);
    let tick = member.tick(secs(1));
    let (read, _) = find_store_call(&tick.actions).expect("a read at start");
    member.on_reply(secs(1), &peer_message(5, Body::Whole(json!({ "version": 5 }).to_string())));
    let old = StoredConfig { document: Document::empty(), history: Vec::new() };
    let old = old.patched("a", &share_patch(1)).and_then(|s| s.to_text()).expect("valid");
    member.on_store_result(secs(2), read, &StoreOutcome::Value(1, old.clone()));
    member.on_store_result(secs(2), read, &StoreOutcome::Value(1, old));
    member.on_reply(secs(3), &peer_message(4, Body::Whole(json!({ "version": 4 }).to_string())));
    let patch = VersionedPatch { version: 4, patch: "{}".to_owned() };
    member.on_reply(secs(3), &peer_message(4, Body::Patches(vec![patch])));
    assert_eq!(member.config().accepted_version(), Some(5));
}

/// Guards against wrong answers to the operator when the reply to a swap is lost. Each row: whether the first swap
/// took effect, whether another patch followed it, and the expected answer.
#[test]
fn outcome_of_a_swap_without_a_reply_is_read_from_the_store() {
    let rows = [
        (true, false, PatchOutcome::Accepted(1)),
        (true, true, PatchOutcome::Accepted(1)),
        (false, true, PatchOutcome::Stale { current: 1 }),
        (false, false, PatchOutcome::Accepted(1)),
    ];
    for (took_effect, other_follows, expected) in rows {
        let mut member = lone_member(None);
        let now = Duration::ZERO;
        let (call, _) = find_store_call(&member.patch(now, 7, 0, share_patch(1))).expect("a read");
        let actions = member.on_store_result(now, call, &StoreOutcome::Absent);
        let Some((call, StoreCall::Swap { prev: 0, value })) = find_store_call(&actions) else {
            panic!("no swap in {actions:?}")
        };
        let actions = member.on_store_result(secs(1), call, &StoreOutcome::Unknown);
        let (call, _) = find_store_call(&actions).expect("a read of the outcome");
        let mut stored = if took_effect {
            StoredConfig::parse(&value).expect("valid")
        } else {
            StoredConfig::empty()
        };
        if other_follows {
            stored = stored.patched("other", &share_patch(2)).expect("valid");
        }
        let outcome = match stored.document.version {
            0 => StoreOutcome::Absent,
            version => StoreOutcome::Value(version, stored.to_text().expect("fits")),
        };
        let mut actions = member.on_store_result(secs(1), call, &outcome);
        if let Some((call, StoreCall::Swap { prev, value: again })) = find_store_call(&actions) {
            assert_eq!((prev, &again), (0, &value), "the repeated swap must be the same");
            actions = member.on_store_result(secs(1), call, &StoreOutcome::Swapped(1));
        }
        let answer = Action::Answer { request: 7, outcome: expected };
        assert!(actions.contains(&answer), "{took_effect} {other_follows}: {actions:?}");
    }
}

/// Guards against an operator who must wait, or gets an unknown outcome, when the store is unavailable.
#[test]
fn patch_is_refused_at_once_without_a_store() {
    let mut member = lone_member(None);
    let (call, _) = find_store_call(&member.patch(secs(1), 7, 0, share_patch(1))).expect("a read");
    let actions = member.on_store_result(secs(1), call, &StoreOutcome::NotRun);
    let answer = Action::Answer { request: 7, outcome: PatchOutcome::Unavailable };
    assert_eq!(actions, [answer]);
}

/// Guards against values that are too large for the store, and a history that leaves no space for the document.
#[test]
fn stored_value_is_limited_in_size() {
    let mut stored = StoredConfig::empty();
    for n in 0..100 {
        let digests = vec![format!("{n:064x}"); 60];
        let patch = json!({ "workspaces": { format!("w{n}"): { "key_digests": digests } } });
        stored = stored.patched(&format!("vm/1/{n}"), &patch).expect("valid");
        let text = stored.to_text().expect("fits");
        let document = stored.document.as_json().to_string().len();
        assert!(text.len() <= (document + 70_000).min(VALUE_BYTES_MAX));
        assert_eq!(stored.history.last().map(|e| e.attempt.as_str()), Some(&*format!("vm/1/{n}")));
    }
    assert!(stored.history.len() <= 32 && stored.patches().count() >= 10);
    let digests = vec!["f".repeat(64); 16_000];
    let patch = json!({ "workspaces": { "huge": { "key_digests": digests } } });
    let huge = stored.patched("a", &patch).expect("valid");
    assert!(huge.to_text().is_err(), "more than the store holds");
}
