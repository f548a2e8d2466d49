//! Tests the fault switches of the engine.

mod support;

use std::time::{Duration, Instant};

use lw_protocol::upstream::{CacheEvents, GenerateEvent, LoadReport};
use lw_standin::{
    client::Error,
    engine::{Faults, Options, StreamFaults, start},
    serve::HttpFaults,
};
use support::{
    client, complete, generate, get, open, request, set_faults, short_timeout_client, wait_until,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn quick() -> Options {
    Options { incarnation: Some(7), token_time: MS(1), ..Options::default() }
}

/// Returns a short form of events: the index of a token, `x` for an event of another request, `E` for the end.
fn abbreviate(events: &[GenerateEvent]) -> String {
    let one = |event: &GenerateEvent| match event {
        GenerateEvent::Token { request, .. } if request != "r" => "x".to_owned(),
        GenerateEvent::Token { index, .. } => index.to_string(),
        GenerateEvent::End { request, .. } => if request == "r" { "E" } else { "x" }.to_owned(),
        GenerateEvent::Error { message, .. } => message.clone(),
    };
    events.iter().map(one).collect()
}

/// Guards against fault switches that do not cause the fault on which a router test relies.
#[tokio::test]
async fn stream_faults_take_effect() {
    let none = StreamFaults::default();
    let cases = [
        ("none", none.clone(), "0123E", "complete"),
        ("drop", StreamFaults { drop_after: Some(2), ..none.clone() }, "01", "aborted"),
        ("drop at once", StreamFaults { drop_after: Some(0), ..none.clone() }, "", "aborted"),
        ("silence", StreamFaults { silent_after: Some(3), ..none.clone() }, "012", "timed out"),
        ("duplicates", StreamFaults { duplicate_every: 2, ..none.clone() }, "011233E", "complete"),
        ("other order", StreamFaults { reorder_every: 2, ..none.clone() }, "021E3", "complete"),
        ("crossed", StreamFaults { cross_every: 2, ..none.clone() }, "0x12x3E", "complete"),
        ("lost", StreamFaults { lose_every: 2, ..none.clone() }, "02E", "complete"),
        (
            "duplicates, then drop",
            StreamFaults { duplicate_every: 1, drop_after: Some(3), ..none },
            "001",
            "aborted",
        ),
    ];
    for (name, stream, expected, end) in cases {
        let faults = Faults { stream, ..Faults::default() };
        let engine = start(Options { faults, ..quick() }).expect("engine");
        let (events, result) =
            generate(&short_timeout_client(), engine.address(), &request("r")).await;
        let ended = match result {
            Ok(()) => "complete",
            Err(Error::IdleTimeout(_)) => "timed out",
            Err(_) => "aborted",
        };
        assert_eq!((abbreviate(&events).as_str(), ended), (expected, end), "{name}");
    }
}

/// Guards against a fault that affects more streams than it was set for.
#[tokio::test]
async fn counted_faults_end_after_their_count() {
    let stream = StreamFaults { times: Some(1), drop_after: Some(1), ..StreamFaults::default() };
    let faults = Faults { stream, ..Faults::default() };
    let engine = start(Options { faults, ..quick() }).expect("engine");
    for expected in ["0", "0123E"] {
        let (events, _) = generate(&client(), engine.address(), &request("r")).await;
        assert_eq!(abbreviate(&events), expected);
    }
}

/// Guards against router tests that set another version or incarnation but receive events without it.
#[tokio::test]
async fn events_state_the_set_version_and_incarnation() {
    let stream = StreamFaults {
        as_version: Some("old".to_owned()),
        as_incarnation: Some(3),
        ..StreamFaults::default()
    };
    let faults = Faults { stream, ..Faults::default() };
    let engine = start(Options { faults, ..quick() }).expect("engine");
    let (events, _) = generate(&client(), engine.address(), &request("r")).await;
    assert_eq!(events.len(), 5);
    for event in events {
        let (GenerateEvent::Token { version, incarnation, .. }
        | GenerateEvent::End { version, incarnation, .. }) = event
        else {
            panic!("{event:?}")
        };
        assert_eq!((version.as_str(), incarnation), ("old", 3));
    }
}

/// Guards against a crash after which the cache or the incarnation is the same, also when the crash is repeated.
#[tokio::test]
async fn crash_clears_the_cache_and_raises_the_incarnation() {
    let engine = start(quick()).expect("engine");
    let at = engine.address();
    let mut req = request("r");
    (req.prompt, req.blocks, req.max_tokens) = ("p".repeat(4096), vec![1], 1);
    for incarnation in [7, 8] {
        assert_eq!(complete(&client(), at, &req).await.1, 0, "empty cache");
        assert_eq!(complete(&client(), at, &req).await.1, 1024, "warm cache");
        let mut long = request("long");
        long.max_tokens = 10_000;
        let mut running = open(&client(), at, &long).await;
        running.next().await.expect("first token");
        let http = HttpFaults { down_ms: Some(500), ..HttpFaults::default() };
        set_faults(at, &Faults { http, ..Faults::default() }).await;
        let end = loop {
            match running.next().await {
                Ok(Some(_)) => {}
                other => break other,
            }
        };
        assert!(matches!(end, Err(Error::Connection(_))), "{end:?}");
        wait_until("refused", || async { client().get(at, "/load").await.is_err() }).await;
        wait_until("available again", || async { client().get(at, "/load").await.is_ok() }).await;
        let report: LoadReport = get(&client(), at, "/load").await;
        assert_eq!(report.incarnation, incarnation + 1);
        let events: CacheEvents = get(&client(), at, "/cache-events?after=2").await;
        assert_eq!(events.events, [], "numbers start again");
    }
}

/// Guards against a fault of the open connections that also affects new ones.
#[tokio::test]
async fn silenced_connections_time_out_and_new_ones_work() {
    let engine = start(quick()).expect("engine");
    let at = engine.address();
    let old = short_timeout_client();
    let mut long = request("long");
    long.max_tokens = 10_000;
    let mut running = open(&old, at, &long).await;
    running.next().await.expect("first token");
    let http = HttpFaults { silence_open: true, ..HttpFaults::default() };
    set_faults(at, &Faults { http, ..Faults::default() }).await;
    let end = loop {
        match running.next().await {
            Ok(Some(_)) => {}
            other => break other,
        }
    };
    assert!(matches!(end, Err(Error::IdleTimeout(_))), "{end:?}");
    complete(&client(), at, &request("r")).await;
}

/// Guards against requests that are answered normally in spite of a fault, and against faults that also block the call
/// that ends them.
#[tokio::test]
async fn request_faults_take_effect() {
    let engine = start(quick()).expect("engine");
    let at = engine.address();
    let set = |http| async move { set_faults(at, &Faults { http, ..Faults::default() }).await };
    set(HttpFaults { silent: true, ..HttpFaults::default() }).await;
    assert!(matches!(short_timeout_client().get(at, "/load").await, Err(Error::IdleTimeout(_))));
    set(HttpFaults { unavailable: true, ..HttpFaults::default() }).await;
    assert_eq!(client().get(at, "/load").await.expect("answer").status, 503);
    set(HttpFaults { delay_ms: 50, ..HttpFaults::default() }).await;
    let before = Instant::now();
    assert_eq!(client().get(at, "/load").await.expect("answer").status, 200);
    assert!(before.elapsed() >= MS(50));
    set(HttpFaults::default()).await;
    let wrong = client().post(at, "/faults", &serde_json::json!({ "dealy_ms": 1 })).await;
    assert_eq!(wrong.expect("answer").status, 400, "a misspelled switch is refused");
}
