//! Guards against lost records of segments: overwritten by another owner, replaced by those of a wrong segment, or not
//! read at all. A lost record allows its call to run twice.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lw_claim::{
    message::{AttemptId, ClaimStatus, Reply, Request, RequestKind},
    options::Options,
    owner::{Action, EventTime, Owner, StoreResult},
    record::{BodyDigest, ClaimKey, Outcome},
};

type Store = BTreeMap<u32, (u64, Vec<u8>)>;

fn options() -> Options {
    let (batch_interval, outcome_delay) = (Duration::ZERO, Duration::ZERO);
    Options { buckets: 1, segment_bytes: 200, batch_interval, outcome_delay, ..Options::default() }
}

fn at(ms: u64) -> EventTime {
    let now = Duration::from_millis(ms);
    EventTime { now, unix: now + Duration::from_secs(1_000_000) }
}

fn request(n: u64, seq: u64, kind: RequestKind) -> Request {
    let attempt = AttemptId { vm: "vm1".into(), incarnation: 1, seq };
    Request { bucket: 0, key: ClaimKey::new("station", "desk", &n.to_string()), attempt, kind }
}

fn claim(n: u64, seq: u64) -> Request {
    request(n, seq, RequestKind::Claim(BodyDigest::new("POST", "/book", b"{}")))
}

fn done(n: u64, seq: u64) -> Request {
    request(n, seq, RequestKind::Record(Outcome::Done { status: 201, body: b"booked".to_vec() }))
}

fn perform_store_call(store: &mut Store, revision: u64, action: &Action) -> (u64, StoreResult) {
    match action {
        Action::Get { op, bucket } => {
            let (revision, value) = store.get(bucket).cloned().unzip();
            (*op, StoreResult::Value(revision.unwrap_or(0), value))
        }
        Action::Put { op, bucket, prev, value } => {
            if store.get(bucket).map_or(0, |(current, _)| *current) != *prev {
                return (*op, StoreResult::Conflict);
            }
            store.insert(*bucket, (revision, value.clone()));
            (*op, StoreResult::Written(revision))
        }
        Action::Reply(_) => panic!("a reply is not a store call"),
    }
}

/// Performs all store calls at once, including those that follow, and returns the replies.
fn perform_all(
    owner: &mut Owner,
    store: &mut Store,
    now: u64,
    mut pending: Vec<Action>,
) -> Vec<Reply> {
    let mut replies = Vec::new();
    let mut revision = store.values().map(|(revision, _)| *revision).max().unwrap_or(0);
    while let Some(action) = pending.pop() {
        if let Action::Reply(reply) = action {
            replies.push(reply);
            continue;
        }
        revision += 1;
        let (op, result) = perform_store_call(store, revision, &action);
        pending.extend(owner.on_store_result(at(now), op, result));
    }
    replies
}

fn claim_status(replies: &[Reply]) -> &ClaimStatus {
    &replies.last().expect("one reply").claim_status
}

fn run_calls(owner: &mut Owner, store: &mut Store, keys: u64) {
    for n in 0..keys {
        let actions = owner.on_request(at(n * 10), claim(n, n));
        assert_eq!(
            claim_status(&perform_all(owner, store, n * 10, actions)),
            &ClaimStatus::Granted,
            "key {n}"
        );
        let actions = owner.on_request(at(n * 10), done(n, n));
        perform_all(owner, store, n * 10, actions);
    }
}

/// Guards against a new owner that does not read the segments, and against a value that grows with all records.
#[test]
fn a_new_owner_replays_answers_of_segments_and_the_value_stays_small() {
    let (mut store, mut first_owner) = (Store::new(), Owner::new(options()));
    run_calls(&mut first_owner, &mut store, 100);
    assert!(store.len() > 10, "{} keys", store.len());
    assert!(store[&0].1.len() < 2_000, "{} bytes", store[&0].1.len());
    let mut second_owner = Owner::new(options());
    for n in 0..100 {
        let actions = second_owner.on_request(at(3_000), claim(n, 1_000 + n));
        let replies = perform_all(&mut second_owner, &mut store, 3_000, actions);
        let replay = ClaimStatus::Done { status: 201, body: Some(b"booked".to_vec()) };
        assert_eq!(claim_status(&replies), &replay, "key {n}");
    }
}

/// Guards against claims that are granted based on a segment of another revision.
#[test]
fn a_segment_that_the_value_does_not_refer_to_is_not_used() {
    let (mut store, mut first_owner) = (Store::new(), Owner::new(options()));
    run_calls(&mut first_owner, &mut store, 20);
    store.get_mut(&1).expect("a segment").0 += 1_000;
    let mut second_owner = Owner::new(options());
    let mut actions = second_owner.on_request(at(3_000), claim(0, 1_000));
    let mut replies = Vec::new();
    for now in (3_000..4_500).step_by(100) {
        replies.extend(perform_all(&mut second_owner, &mut store, now, actions));
        actions = second_owner.tick(at(now));
    }
    assert!(matches!(claim_status(&replies), ClaimStatus::Refused { .. }), "{replies:?}");
}

/// Guards against the growth of the store by segments whose slots are not reused after the retention.
#[test]
fn segment_slots_are_reused_after_the_retention() {
    let (mut store, mut owner) = (Store::new(), Owner::new(options()));
    run_calls(&mut owner, &mut store, 20);
    let segments = store.len();
    let later = 2_000 + 661_000;
    for n in 100..110 {
        let actions = owner.on_request(at(later), claim(n, n));
        perform_all(&mut owner, &mut store, later, actions);
        let actions = owner.on_request(at(later), done(n, n));
        perform_all(&mut owner, &mut store, later, actions);
    }
    assert_eq!(store.len(), segments, "the new segments must reuse old slots");
}

/// Guards against a key that is granted to two attempts by two concurrent owners, with store calls that take effect in
/// any order, lost results, and restarts.
#[test]
fn concurrent_owners_lose_no_segment_record() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = Store::new();
        let mut owners = [Owner::new(options()), Owner::new(options())];
        let mut pending: [Vec<Action>; 2] = [Vec::new(), Vec::new()];
        let mut granted: BTreeMap<ClaimKey, BTreeSet<u64>> = BTreeMap::new();
        let mut numbers = BTreeMap::new();
        for now in 1..1_500 {
            let owner_index = rng.usize(0..2);
            let (n, seq) = (rng.u64(0..60), now);
            numbers.insert(claim(n, seq).key, n);
            match rng.u8(0..100) {
                0 => {
                    // Store calls of the previous process may still take effect.
                    for action in pending[owner_index].drain(..) {
                        if !matches!(action, Action::Reply(_)) && rng.bool() {
                            perform_store_call(&mut store, now, &action);
                        }
                    }
                    owners[owner_index] = Owner::new(options());
                }
                1..30 => pending[owner_index]
                    .extend(owners[owner_index].on_request(at(now * 5), claim(n, seq))),
                30..40 => pending[owner_index].extend(owners[owner_index].tick(at(now * 5))),
                _ if pending[owner_index].is_empty() => {}
                _ => {
                    let index = rng.usize(0..pending[owner_index].len());
                    let action = pending[owner_index].swap_remove(index);
                    if let Action::Reply(Reply { attempt, key, claim_status, .. }) = action {
                        if claim_status == ClaimStatus::Granted {
                            granted.entry(key).or_default().insert(attempt.seq);
                            let request = done(numbers[&key], attempt.seq);
                            pending[owner_index]
                                .extend(owners[owner_index].on_request(at(now * 5), request));
                        }
                        continue;
                    }
                    let (op, result) = perform_store_call(&mut store, now, &action);
                    if rng.u8(0..20) > 0 {
                        pending[owner_index].extend(owners[owner_index].on_store_result(
                            at(now * 5),
                            op,
                            result,
                        ));
                    }
                }
            }
        }
        let twice = granted.values().find(|attempts| attempts.len() > 1);
        assert!(twice.is_none(), "seed {seed}: {twice:?}");
        assert!(granted.len() > 10, "seed {seed}: {} keys granted", granted.len());
    }
}
