//! Guards against claims that hang while the store is down, lost outcomes, and records that are dropped
//! while they still keep a call from running twice.

use std::time::Duration;

use lw_claim::{
    message::{AttemptId, ClaimStatus, Request, RequestKind},
    options::Options,
    owner::{Action, EventTime, Owner, StoreResult},
    record::{BodyDigest, ClaimKey, Outcome, State, Value},
};

fn at(ms: u64) -> EventTime {
    let now = Duration::from_millis(ms);
    EventTime { now, unix: now + Duration::from_secs(1_000_000) }
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId { vm: "vm1".into(), incarnation: 1, seq }
}

fn key(n: u64) -> ClaimKey {
    ClaimKey::new("station", "desk", &n.to_string())
}

fn body() -> BodyDigest {
    BodyDigest::new("POST", "/book", b"{}")
}

fn claim(n: u64) -> Request {
    Request { bucket: 0, key: key(n), attempt: attempt(n), kind: RequestKind::Claim(body()) }
}

fn op(actions: &[Action]) -> u64 {
    match actions.last() {
        Some(Action::Get { op, .. } | Action::Put { op, .. }) => *op,
        other => panic!("expected a store call, got {other:?}"),
    }
}

fn findings(actions: &[Action]) -> Vec<ClaimStatus> {
    let claim_status = |action: &Action| match action {
        Action::Reply(reply) => Some(reply.claim_status.clone()),
        _ => None,
    };
    actions.iter().filter_map(claim_status).collect()
}

#[test]
fn claims_are_refused_at_once_while_the_store_is_down() {
    let mut owner = Owner::new(Options::default());
    let read = owner.on_request(at(0), claim(1));
    let refused = owner.on_store_result(at(3), op(&read), StoreResult::Failed);
    assert_eq!(findings(&refused), [ClaimStatus::Refused { maybe_written: false }]);
    let refused = owner.on_request(at(4), claim(2));
    assert_eq!(findings(&refused), [ClaimStatus::Refused { maybe_written: false }]);
    let probe = owner.tick(at(203));
    let up = owner.on_store_result(at(205), op(&probe), StoreResult::Value(0, None));
    assert!(up.is_empty());
    assert!(matches!(owner.on_request(at(206), claim(3))[..], [Action::Put { prev: 0, .. }]));
}

#[test]
fn a_lost_swap_reply_is_resolved_by_reading_back() {
    let mut owner = Owner::new(Options::default());
    let read = owner.on_request(at(0), claim(1));
    let put = owner.on_store_result(at(3), op(&read), StoreResult::Value(0, None));
    let Some(Action::Put { value, .. }) = put.last() else { panic!("no write: {put:?}") };
    let read = owner.tick(at(160));
    assert!(findings(&read).is_empty(), "the claim waits for the read: {read:?}");
    let found = StoreResult::Value(7, Some(value.clone()));
    assert_eq!(findings(&owner.on_store_result(at(163), op(&read), found)), [ClaimStatus::Granted]);
}

#[test]
fn a_value_that_does_not_decode_is_never_overwritten() {
    let mut owner = Owner::new(Options::default());
    let read = owner.on_request(at(0), claim(1));
    let actions = owner.on_store_result(at(3), op(&read), StoreResult::Value(4, Some(vec![0xc1])));
    assert_eq!(findings(&actions), [ClaimStatus::Refused { maybe_written: false }]);
    assert_eq!(actions.len(), 1, "no write: {actions:?}");
}

#[test]
fn an_outcome_is_not_acknowledged_from_an_older_cached_value() {
    let mut owner = Owner::new(Options::default());
    let read = owner.on_request(at(0), claim(1));
    let put = owner.on_store_result(at(3), op(&read), StoreResult::Value(0, None));
    owner.on_store_result(at(5), op(&put), StoreResult::Written(1));
    // Another owner has taken the claim of attempt 2 meanwhile.
    let kind = RequestKind::Record(Outcome::Unknown);
    let request = Request { bucket: 0, key: key(2), attempt: attempt(2), kind };
    assert!(owner.on_request(at(10), request).is_empty());
    let actions = owner.tick(at(1_010));
    assert!(matches!(actions[..], [Action::Get { .. }]), "{actions:?}");
}

#[test]
fn a_full_bucket_drops_copies_of_answers_and_then_takes_no_claims() {
    let options = Options { max_value_bytes: 20_000, ..Options::default() };
    let unix = Duration::from_secs(1_000);
    let mut value = Value::default();
    let mut taken = 0;
    for n in 0..1_000 {
        let (claim_status, _) = value.claim(key(n), body(), &attempt(n), unix, &options);
        if claim_status == ClaimStatus::Granted {
            taken += 1;
            let outcome = Outcome::Done { status: 201, body: vec![200; 100] };
            assert!(value.record(key(n), &attempt(n), &outcome, unix, &options));
        }
        assert!(value.encode().len() <= options.max_value_bytes);
    }
    assert!((200..1_000).contains(&taken), "{taken}");
    assert_eq!(value.len(), taken, "no record that keeps a call from running twice is dropped");
    value.expire(unix + options.retention, &options);
    assert!(value.is_empty());
}

#[test]
fn only_the_attempt_that_holds_a_claim_changes_it() {
    let options = Options::default();
    let unix = Duration::from_secs(1_000);
    let mut value = Value::default();
    value.claim(key(1), body(), &attempt(1), unix, &options);
    assert!(!value.record(key(1), &attempt(2), &Outcome::NotRun, unix, &options));
    let other = BodyDigest::new("POST", "/book", b"other");
    assert_eq!(value.claim(key(1), other, &attempt(2), unix, &options).0, ClaimStatus::KeyReused);
    assert!(value.record(key(1), &attempt(1), &Outcome::NotRun, unix, &options));
    // A late copy of the released claim must not claim again; another attempt may.
    let (late, _) = value.claim(key(1), body(), &attempt(1), unix, &options);
    assert_eq!(late, ClaimStatus::Refused { maybe_written: false });
    assert_eq!(value.claim(key(1), body(), &attempt(2), unix, &options).0, ClaimStatus::Granted);
    assert_eq!(value.get(&key(1)).map(|r| &r.state), Some(&State::Claimed(attempt(2))));
}
