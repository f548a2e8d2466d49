//! Guards against claim requests that remain unanswered while the store is down, lost outcomes, and the removal of
//! records that still prevent a call from running twice.

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

fn body_digest() -> BodyDigest {
    BodyDigest::new("POST", "/book", b"{}")
}

fn claim(n: u64) -> Request {
    Request { bucket: 0, key: key(n), attempt: attempt(n), kind: RequestKind::Claim(body_digest()) }
}

fn store_call_op(actions: &[Action]) -> u64 {
    match actions.last() {
        Some(Action::Get { op, .. } | Action::Put { op, .. }) => *op,
        other => panic!("expected a store call, got {other:?}"),
    }
}

fn claim_statuses(actions: &[Action]) -> Vec<ClaimStatus> {
    let claim_status = |action: &Action| match action {
        Action::Reply(reply) => Some(reply.claim_status.clone()),
        _ => None,
    };
    actions.iter().filter_map(claim_status).collect()
}

/// Guards against callers that wait for a timeout during each outage of the store.
#[test]
fn claims_are_refused_at_once_while_the_store_is_down() {
    let mut owner = Owner::new(Options::default());
    let read = owner.on_request(at(0), claim(1));
    let refused = owner.on_store_result(at(3), store_call_op(&read), StoreResult::Failed);
    assert_eq!(claim_statuses(&refused), [ClaimStatus::Refused { maybe_written: false }]);
    let refused = owner.on_request(at(4), claim(2));
    assert_eq!(claim_statuses(&refused), [ClaimStatus::Refused { maybe_written: false }]);
    let probe = owner.tick(at(203));
    let up = owner.on_store_result(at(205), store_call_op(&probe), StoreResult::Value(0, None));
    assert!(up.is_empty());
    assert!(matches!(owner.on_request(at(206), claim(3))[..], [Action::Put { prev: 0, .. }]));
}

/// Guards against the refusal of a claim that was written, when only the reply of the store was lost.
#[test]
fn a_lost_write_result_is_resolved_by_reading_the_value() {
    let mut owner = Owner::new(Options::default());
    let read = owner.on_request(at(0), claim(1));
    let put = owner.on_store_result(at(3), store_call_op(&read), StoreResult::Value(0, None));
    let Some(Action::Put { value, .. }) = put.last() else { panic!("no write: {put:?}") };
    let read = owner.tick(at(160));
    assert!(claim_statuses(&read).is_empty(), "the claim must wait for the read: {read:?}");
    let found = StoreResult::Value(7, Some(value.clone()));
    assert_eq!(
        claim_statuses(&owner.on_store_result(at(163), store_call_op(&read), found)),
        [ClaimStatus::Granted]
    );
}

/// Guards against the loss of all claims of a bucket whose value cannot be decoded.
#[test]
fn an_undecodable_value_is_never_overwritten() {
    let mut owner = Owner::new(Options::default());
    let read = owner.on_request(at(0), claim(1));
    let actions =
        owner.on_store_result(at(3), store_call_op(&read), StoreResult::Value(4, Some(vec![0xc1])));
    assert_eq!(claim_statuses(&actions), [ClaimStatus::Refused { maybe_written: false }]);
    assert_eq!(actions.len(), 1, "a write was issued: {actions:?}");
}

/// Guards against a lost outcome, acknowledged because the cached value does not contain its claim yet.
#[test]
fn an_outcome_is_not_acknowledged_from_an_older_cached_value() {
    let mut owner = Owner::new(Options::default());
    let read = owner.on_request(at(0), claim(1));
    let put = owner.on_store_result(at(3), store_call_op(&read), StoreResult::Value(0, None));
    owner.on_store_result(at(5), store_call_op(&put), StoreResult::Written(1));
    // Another owner has granted the claim of attempt 2 in the meantime.
    let kind = RequestKind::Record(Outcome::Unknown);
    let request = Request { bucket: 0, key: key(2), attempt: attempt(2), kind };
    assert!(owner.on_request(at(10), request).is_empty());
    let actions = owner.tick(at(1_010));
    assert!(matches!(actions[..], [Action::Get { .. }]), "{actions:?}");
}

/// Guards against a value above its maximum size, and against the removal of records to keep it below.
#[test]
fn a_full_bucket_removes_copies_of_answers_and_then_refuses_claims() {
    let options = Options { max_value_bytes: 20_000, ..Options::default() };
    let unix = Duration::from_secs(1_000);
    let mut value = Value::default();
    let mut granted = 0;
    for n in 0..1_000 {
        let (claim_status, _) = value.claim(key(n), body_digest(), &attempt(n), unix, &options);
        if claim_status == ClaimStatus::Granted {
            granted += 1;
            let outcome = Outcome::Done { status: 201, body: vec![200; 100] };
            assert!(value.record(key(n), &attempt(n), &outcome, unix, &options));
        }
        assert!(value.encode().len() <= options.max_value_bytes);
    }
    assert!((200..1_000).contains(&granted), "{granted}");
    assert_eq!(value.len(), granted, "a record that prevents a second run was removed");
    value.expire(unix + options.retention, &options);
    assert!(value.is_empty());
}

/// Guards against an outcome that is recorded for the claim of another attempt, and against a delayed request that
/// claims a released key again.
#[test]
fn only_the_attempt_that_holds_a_claim_changes_it() {
    let options = Options::default();
    let unix = Duration::from_secs(1_000);
    let mut value = Value::default();
    value.claim(key(1), body_digest(), &attempt(1), unix, &options);
    assert!(!value.record(key(1), &attempt(2), &Outcome::NotRun, unix, &options));
    let other = BodyDigest::new("POST", "/book", b"other");
    assert_eq!(value.claim(key(1), other, &attempt(2), unix, &options).0, ClaimStatus::KeyReused);
    assert!(value.record(key(1), &attempt(1), &Outcome::NotRun, unix, &options));
    // A delayed copy of the released claim request must not claim the key again; another attempt may.
    let (delayed, _) = value.claim(key(1), body_digest(), &attempt(1), unix, &options);
    assert_eq!(delayed, ClaimStatus::Refused { maybe_written: false });
    assert_eq!(
        value.claim(key(1), body_digest(), &attempt(2), unix, &options).0,
        ClaimStatus::Granted
    );
    assert_eq!(value.get(&key(1)).map(|r| &r.state), Some(&State::Claimed(attempt(2))));
}
