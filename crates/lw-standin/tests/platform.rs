//! Tests the platform's interface and its fault switches.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::Method;
use lw_protocol::platform::{
    KeyValue, LeaseAnswer, LeaseRequest, PutAnswer, PutRequest, VALUE_MAX_BYTES, VmEntry, VmList,
};
use lw_standin::{
    client::{Answer, Error},
    platform::{Faults, Options, Stats, start},
    serve::HttpFaults,
};
use support::{client, get, post, set_faults, wait_until};

const MS: fn(u64) -> Duration = Duration::from_millis;

async fn put(at: SocketAddr, value: &str, prev: Option<u64>) -> Result<Answer, Error> {
    let put = PutRequest { value: value.to_owned(), prev, lease: None };
    client().put(at, "/kv/config/current", &put).await
}

fn revision(answer: &Answer) -> u64 {
    answer.json::<PutAnswer>().expect("revision").revision
}

async fn status(at: SocketAddr, path: &str) -> u16 {
    client().get(at, path).await.expect(path).status
}

/// Guards against a write to a stale revision being applied, which would overwrite another writer's change.
#[tokio::test]
async fn compare_and_swap_applies_on_the_current_revision_only() {
    let platform = start(Options::default()).expect("platform");
    let at = platform.address();
    let cases = [
        ("absent key, other revision", Some(5), 409, 0),
        ("absent key", Some(0), 200, 1),
        ("no longer absent", Some(0), 409, 1),
        ("current", Some(1), 200, 2),
        ("stale", Some(1), 409, 2),
        ("without comparison", None, 200, 3),
    ];
    for (name, prev, status, expected) in cases {
        let answer = put(at, name, prev).await.expect(name);
        assert_eq!((answer.status, revision(&answer)), (status, expected), "{name}");
    }
    let kv: KeyValue = get(&client(), at, "/kv/config/current").await;
    assert_eq!((kv.value.as_str(), kv.revision), ("without comparison", 3));
    for (prev, status) in [(2, 409), (3, 200)] {
        let path = format!("/kv/config/current?prev={prev}");
        let deleted = client().call(Method::DELETE, at, &path, &[], Vec::new()).await;
        assert_eq!(deleted.expect("answer").status, status);
    }
    assert_eq!(status(at, "/kv/config/current").await, 404);
}

/// Guards against a store that accepts larger values than the platform does.
#[tokio::test]
async fn values_above_the_size_limit_are_refused() {
    let platform = start(Options::default()).expect("platform");
    for (len, status) in [(VALUE_MAX_BYTES, 200), (VALUE_MAX_BYTES + 1, 413)] {
        let answer = put(platform.address(), &"v".repeat(len), None).await.expect("answer");
        assert_eq!(answer.status, status, "{len} bytes");
    }
}

/// Guards against keys that remain after the lease of a paused holder has expired, and against a lease that expires
/// although it is renewed.
#[tokio::test]
async fn expired_leases_remove_their_keys() {
    let platform = start(Options::default()).expect("platform");
    let at = platform.address();
    let ttl = MS(400);
    let answer = post(&client(), at, "/leases", &LeaseRequest { ttl_ms: 400 }, 200).await;
    let lease: LeaseAnswer = answer.json().expect("lease");
    let bound = PutRequest { value: "vm".to_owned(), prev: Some(0), lease: Some(lease.id) };
    assert_eq!(client().put(at, "/kv/issuer", &bound).await.expect("put").status, 200);
    let renew = format!("/leases/{}/renew", lease.id);
    let granted = tokio::time::Instant::now();
    while granted.elapsed() < ttl * 2 {
        tokio::time::sleep(ttl / 20).await;
        post(&client(), at, &renew, &(), 200).await;
    }
    assert_eq!(status(at, "/kv/issuer").await, 200, "renewed past its time to live");
    assert_eq!(status(at, "/watch/issuer?after=1").await, 404, "a watch returns at the expiry");
    post(&client(), at, &renew, &(), 404).await;
    assert_eq!(client().put(at, "/kv/other", &bound).await.expect("put").status, 404);

    post(&client(), at, "/leases", &LeaseRequest { ttl_ms: 60_000 }, 200).await;
    set_faults(at, &Faults { lapse_leases: true, ..Faults::default() }).await;
    post(&client(), at, "/leases/2/renew", &(), 404).await;
}

/// Guards against watches that miss a change, return a value without a change, or count as more than one call.
#[tokio::test]
async fn watches_wait_for_a_change() {
    let platform = start(Options { watch_time: MS(30), ..Options::default() }).expect("platform");
    let at = platform.address();
    assert_eq!(status(at, "/watch/config/current?after=0").await, 204, "no change in time");
    let path = "/watch/config/current?after=1&wait_ms=10000";
    let watch = tokio::spawn(async move { get::<KeyValue>(&client(), at, path).await });
    wait_until("watching", || async { stats(at).await.watches == 2 }).await;
    put(at, "first", None).await.expect("put");
    put(at, "second", None).await.expect("put");
    let seen = watch.await.expect("watch");
    assert_eq!((seen.value.as_str(), seen.revision), ("second", 2));
    assert_eq!(status(at, "/watch/config/current?after=1").await, 200, "a change in the past");
    let stats = stats(at).await;
    assert_eq!((stats.watches, stats.writes, stats.reads), (3, 2, 0));
}

async fn stats(at: SocketAddr) -> Stats {
    get(&client(), at, "/stats").await
}

/// Guards against a change of the VM list that becomes visible before the lag is over.
#[tokio::test]
async fn vm_list_changes_become_visible_after_the_lag() {
    let lag = MS(150);
    let platform = start(Options { vms_lag: lag, ..Options::default() }).expect("platform");
    let at = platform.address();
    let entry = VmEntry {
        id: "vm-1".to_owned(),
        kind: "router".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        failure_domain: "a".to_owned(),
        leaving: false,
    };
    let list = VmList { vms: vec![entry] };
    let before = tokio::time::Instant::now();
    assert_eq!(client().put(at, "/vms", &list).await.expect("put").status, 204);
    wait_until("listed", || async { get::<VmList>(&client(), at, "/vms").await == list }).await;
    assert!(before.elapsed() >= lag);
}

/// Guards against a store that accepts calls above the limits, which would hide that a client sends too many.
#[tokio::test]
async fn calls_above_the_rate_limits_are_refused() {
    const PER_SECOND: u32 = 5;
    let options = Options {
        writes_per_second: PER_SECOND,
        reads_per_second: PER_SECOND,
        ..Options::default()
    };
    let before = tokio::time::Instant::now();
    let platform = start(options).expect("platform");
    let at = platform.address();
    wait_until("refused", || async {
        let write = put(at, "x", None).await.expect("put").status;
        let read = status(at, "/kv/config/current").await;
        write == 429 && read == 429
    })
    .await;
    let stats = stats(at).await;
    // The burst of 200 ms allows one call, and the call that exceeds it is accepted too.
    let allowed = before.elapsed().as_millis() * u128::from(PER_SECOND) / 1000 + 2;
    for calls in [stats.writes, stats.reads] {
        assert!(calls >= 1 && u128::from(calls) <= allowed, "{calls} of {allowed}");
    }
    assert!(stats.refused >= 2, "{stats:?}");
}

/// Guards against a write that is not applied although only its answer is lost, and one that is applied although the
/// write is lost, in combination and repeatedly.
#[tokio::test]
async fn lost_replies_and_lost_writes_differ() {
    let cases = [
        ("reply lost", 1, 0, vec![false, true], vec!["0", "1"]),
        ("reply lost twice", 2, 0, vec![false, false, true], vec!["0", "1", "2"]),
        ("write lost", 0, 1, vec![false, true], vec!["", "1"]),
        ("write lost, then reply lost", 1, 1, vec![false, false, true], vec!["", "1", "2"]),
    ];
    for (name, lose_replies, lose_writes, answered, values) in cases {
        let faults = Faults { lose_replies, lose_writes, ..Faults::default() };
        let platform = start(Options { faults, ..Options::default() }).expect("platform");
        let at = platform.address();
        for (i, (is_answered, value)) in answered.into_iter().zip(values).enumerate() {
            assert_eq!(
                put(at, &i.to_string(), None).await.is_ok(),
                is_answered,
                "{name}, write {i}"
            );
            let answer = client().get(at, "/kv/config/current").await.expect("get");
            let stored = answer.json::<KeyValue>().map(|kv| kv.value).unwrap_or_default();
            assert_eq!(stored, value, "{name}, write {i}");
        }
    }
}

/// Guards against data loss in an outage, with refused connections or with status 503, also when it is repeated.
#[tokio::test]
async fn data_persists_through_an_outage() {
    let platform = start(Options::default()).expect("platform");
    let at = platform.address();
    put(at, "kept", None).await.expect("put");
    for _ in 0..2 {
        let http = HttpFaults { unavailable: true, ..HttpFaults::default() };
        set_faults(at, &Faults { http, ..Faults::default() }).await;
        assert_eq!(status(at, "/kv/config/current").await, 503);
        let http = HttpFaults { down_ms: Some(500), ..HttpFaults::default() };
        set_faults(at, &Faults { http, ..Faults::default() }).await;
        wait_until("refused", || async { client().get(at, "/stats").await.is_err() }).await;
        wait_until("available again", || async { client().get(at, "/stats").await.is_ok() }).await;
        let kv: KeyValue = get(&client(), at, "/kv/config/current").await;
        assert_eq!(kv.value, "kept");
    }
}
