//! Dissemination, restart, bootstrap and operators' patches. Each row names its seed.

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

/// Target 9: in force at every living VM.
const IN_FORCE: Duration = Duration::from_secs(3);

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn share(n: u64) -> Value {
    json!({ "workspaces": { "station": { "share": n } } })
}

fn configured(size: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, domains, seed);
    fleet.start_converged();
    fleet.run(secs(3));
    fleet.patch(0, 0, share(1));
    let took = fleet.run_until(secs(10), |f| f.store.version() == 1 && f.is_configured());
    assert!(took.is_some(), "seed {seed}: no first version");
    fleet
}

/// Guards against a version that does not reach every VM in time, with the store lost right after the
/// acceptance, and with patches too large to be pushed.
#[test]
fn version_is_in_force_within_the_target() {
    let large = json!({ "workspaces": { "large": { "allowed": [] , "key_digests": vec!["a".repeat(64); 200] } } });
    for (size, domains, store_down, patch, seed) in [
        (8, 3, false, share(5), 101),
        (8, 3, true, share(5), 102),
        (64, 24, true, share(5), 103),
        (256, 24, true, share(5), 106),
        (64, 24, true, large.clone(), 104),
        (64, 24, false, large, 105),
    ] {
        let mut fleet = configured(size, domains, seed);
        let node = fleet.any_living();
        if store_down {
            // No watch brings the version either, so the accepting VM alone knows it.
            fleet.store.waiting.clear();
        }
        fleet.patch(node, 1, patch);
        fleet.run_until(secs(2), |f| f.store.version() == 2).expect("accepted");
        if store_down {
            fleet.store_down();
        }
        let took = fleet.run_until(secs(10), Fleet::is_configured);
        assert!(took.is_some_and(|t| t <= IN_FORCE), "seed {seed}: {took:?}");
    }
}

/// Guards against a version known only to a VM that dies right after the acceptance, or whose reply is lost.
#[test]
fn watchers_find_what_the_accepting_vm_does_not_tell() {
    for (dies, seed) in [(true, 111), (false, 112)] {
        let mut fleet = configured(24, 3, seed);
        fleet.store.faults.reply_loss = if dies { 0.0 } else { 0.5 };
        fleet.patch(5, 1, share(9));
        if dies {
            // The swap runs 9 ms after the start, and its reply arrives 3 ms later.
            fleet.run(Duration::from_millis(10));
            assert_eq!(fleet.store.version(), 2, "seed {seed}");
            fleet.kill(5);
        }
        fleet.run_until(secs(6), |f| f.store.version() == 2).expect("accepted");
        let took = fleet.run_until(secs(10), Fleet::is_configured);
        assert!(took.is_some_and(|t| t <= IN_FORCE), "seed {seed}: {took:?}");
    }
}

/// Guards against a side of a partition that stays behind after an hour with more changes than are kept in
/// the store's history, and against its VMs going back.
#[test]
fn partitioned_side_catches_up() {
    let seed = 121;
    let mut fleet = configured(12, 4, seed);
    (0..12).filter(|n| n % 4 == 3).for_each(|n| fleet.nodes[n].group = 1);
    fleet.run(secs(5));
    for n in 0..60 {
        fleet.patch(0, n + 1, share(n % 50 + 2));
        fleet.run(secs(1));
    }
    assert_eq!(fleet.store.version(), 61, "seed {seed}");
    let refused = fleet.patch(3, 1, share(7));
    fleet.run(secs(6));
    assert_eq!(fleet.answers.get(&refused), Some(&PatchOutcome::Unavailable), "seed {seed}");
    (0..12).for_each(|n| fleet.nodes[n].group = 0);
    let took = fleet.run_until(secs(60), Fleet::is_configured);
    assert!(took.is_some_and(|t| t <= secs(15)), "seed {seed}: {took:?}");
}

/// Guards against a restarted VM that waits for a store that is down, and a fleet that stays without
/// configuration after a joint restart during a store outage.
#[test]
fn restart_takes_the_first_answer() {
    for (store_up, seed) in [(true, 131), (false, 132)] {
        let mut fleet = configured(9, 3, seed);
        if !store_up {
            fleet.store_down();
        }
        fleet.kill(4);
        fleet.run(secs(1));
        fleet.start(4);
        let took = fleet.run_until(secs(10), Fleet::is_configured);
        assert!(took.is_some_and(|t| t <= IN_FORCE), "seed {seed}: {took:?}");
    }
    let seed = 133;
    let mut fleet = configured(9, 3, seed);
    fleet.store_down();
    (0..9).for_each(|node| fleet.start(node));
    fleet.run(secs(20));
    fleet.store.faults.up = true;
    let took = fleet.run_until(secs(20), Fleet::is_configured);
    assert!(took.is_some_and(|t| t <= secs(9)), "seed {seed}: {took:?}");
}

/// Guards against calls to the platform that grow with the number of VMs.
#[test]
fn store_calls_do_not_grow_with_the_fleet() {
    let calls = |size: usize| {
        let mut fleet = configured(size, 4, 141);
        fleet.net = Net { loss: 0.0, ..Net::default() };
        fleet.run(secs(2));
        let before = fleet.store.calls;
        fleet.patch(0, 1, share(3));
        fleet.run(secs(2));
        fleet.store.calls - before
    };
    let (small, large) = (calls(16), calls(96));
    assert_eq!(small, large);
    assert!(small <= 2 + 2 * 4 + 2, "{small} calls for one change");
}

fn alone(bootstrap: Option<Document>) -> Member {
    let address = "10.0.0.1:7400".parse().expect("an address");
    let mut options = Options::new("vm-1", address, "zone-1", 1);
    options.bootstrap = bootstrap;
    Member::new(Duration::ZERO, options)
}

fn store_call(actions: &[Action]) -> Option<(u64, StoreCall)> {
    actions.iter().find_map(|action| match action {
        Action::Store { call, op } if !matches!(op, StoreCall::Watch { .. }) => {
            Some((*call, op.clone()))
        }
        _ => None,
    })
}

fn from_peer(version: ConfigVersion, body: Body) -> Message {
    let (from, digest) = ("vm-2".to_owned(), 0);
    Message { from, incarnation: 1, version, digest, updates: Vec::new(), body }
}

/// Guards against a bootstrap document that is reported or told as accepted, patched, or kept when an
/// accepted document arrives, whichever version numbers the two have.
#[test]
fn bootstrap_is_provisional() {
    let bootstrap = Document::from_value(json!({ "version": 900 })).expect("valid");
    let mut member = alone(Some(bootstrap));
    assert!(member.config().document().is_none(), "not before the others had time to answer");
    let tick = member.tick(secs(1));
    assert!(tick.actions.contains(&Action::ConfigChanged));
    assert!(matches!(member.config(), InForce::Provisional(_)));
    assert_eq!(member.config().accepted_version(), None);
    let (reply, _) = member.on_request(secs(1), &from_peer(0, Body::Fetch(0)));
    assert_eq!((reply.version, reply.body), (0, Body::Gossip));
    let patch = VersionedPatch { version: 901, patch: "{}".to_owned() };
    member.on_reply(secs(1), &from_peer(901, Body::Patches(vec![patch])));
    assert!(matches!(member.config(), InForce::Provisional(_)));
    member.on_reply(secs(2), &from_peer(3, Body::Whole(json!({ "version": 3 }).to_string())));
    assert_eq!(member.config().accepted_version(), Some(3));
    member.tick(secs(9));
    assert_eq!(member.config().accepted_version(), Some(3));
}

/// Guards against a late answer of store or peer that brings back an older version.
#[test]
fn older_answers_change_nothing() {
    let mut member = alone(None);
    let tick = member.tick(secs(1));
    let (read, _) = store_call(&tick.actions).expect("a read at start");
    member.on_reply(secs(1), &from_peer(5, Body::Whole(json!({ "version": 5 }).to_string())));
    let old = StoredConfig { document: Document::empty(), history: Vec::new() };
    let old = old.patched("a", &share(1)).and_then(|s| s.to_text()).expect("valid");
    member.on_store_result(secs(2), read, &StoreOutcome::Value(1, old.clone()));
    member.on_store_result(secs(2), read, &StoreOutcome::Value(1, old));
    member.on_reply(secs(3), &from_peer(4, Body::Whole(json!({ "version": 4 }).to_string())));
    let patch = VersionedPatch { version: 4, patch: "{}".to_owned() };
    member.on_reply(secs(3), &from_peer(4, Body::Patches(vec![patch])));
    assert_eq!(member.config().accepted_version(), Some(5));
}

/// Guards against wrong answers when the swap's reply is lost. Each row: whether the first swap took effect,
/// whether another patch followed it, and the expected answer.
#[test]
fn lost_swap_reply_is_settled_by_reading_back() {
    let rows = [
        (true, false, PatchOutcome::Accepted(1)),
        (true, true, PatchOutcome::Accepted(1)),
        (false, true, PatchOutcome::Stale { current: 1 }),
        (false, false, PatchOutcome::Accepted(1)),
    ];
    for (took_effect, other_follows, expected) in rows {
        let mut member = alone(None);
        let now = Duration::ZERO;
        let (call, _) = store_call(&member.patch(now, 7, 0, share(1))).expect("a read");
        let actions = member.on_store_result(now, call, &StoreOutcome::Absent);
        let Some((call, StoreCall::Swap { prev: 0, value })) = store_call(&actions) else {
            panic!("no swap in {actions:?}")
        };
        let actions = member.on_store_result(secs(1), call, &StoreOutcome::Unknown);
        let (call, _) = store_call(&actions).expect("a read to settle");
        let mut stored = if took_effect {
            StoredConfig::parse(&value).expect("valid")
        } else {
            StoredConfig::empty()
        };
        if other_follows {
            stored = stored.patched("other", &share(2)).expect("valid");
        }
        let outcome = match stored.document.version {
            0 => StoreOutcome::Absent,
            version => StoreOutcome::Value(version, stored.to_text().expect("fits")),
        };
        let mut actions = member.on_store_result(secs(1), call, &outcome);
        if let Some((call, StoreCall::Swap { prev, value: again })) = store_call(&actions) {
            assert_eq!((prev, &again), (0, &value), "the repeated swap must be the same");
            actions = member.on_store_result(secs(1), call, &StoreOutcome::Swapped(1));
        }
        let answer = Action::Answer { request: 7, outcome: expected };
        assert!(actions.contains(&answer), "{took_effect} {other_follows}: {actions:?}");
    }
}

/// Guards against an operator who waits, or is told that a change may be in force, when the store is down.
#[test]
fn store_down_refuses_at_once() {
    let mut member = alone(None);
    let (call, _) = store_call(&member.patch(secs(1), 7, 0, share(1))).expect("a read");
    let actions = member.on_store_result(secs(1), call, &StoreOutcome::NotRun);
    let answer = Action::Answer { request: 7, outcome: PatchOutcome::Unavailable };
    assert_eq!(actions, [answer]);
}

/// Guards against values that the store cannot hold and history that displaces the document.
#[test]
fn value_keeps_its_size() {
    let mut stored = StoredConfig::empty();
    for n in 0..100 {
        let digests = vec![format!("{n:064x}"); 60];
        let patch = json!({ "workspaces": { format!("w{n}"): { "key_digests": digests } } });
        stored = stored.patched(&format!("vm/1/{n}"), &patch).expect("valid");
        let text = stored.to_text().expect("fits");
        let document = stored.document.raw().to_string().len();
        assert!(text.len() <= (document + 70_000).min(VALUE_BYTES_MAX));
        assert_eq!(stored.history.last().map(|e| e.attempt.as_str()), Some(&*format!("vm/1/{n}")));
    }
    assert!(stored.history.len() <= 32 && stored.patches().count() >= 10);
    let digests = vec!["f".repeat(64); 16_000];
    let patch = json!({ "workspaces": { "huge": { "key_digests": digests } } });
    let huge = stored.patched("a", &patch).expect("valid");
    assert!(huge.to_text().is_err(), "more than the store holds");
}
