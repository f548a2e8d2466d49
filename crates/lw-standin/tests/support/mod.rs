//! Helpers for the tests of the stand-ins.
#![allow(dead_code, reason = "each test file uses only some of them")]

use std::{net::SocketAddr, time::Duration};

use http::Method;
use lw_protocol::upstream::{GenerateEvent, GenerateRequest};
use lw_standin::client::{Answer, Error, Http, OpenAnswer};
use serde::{Serialize, de::DeserializeOwned};

/// Limit on waits for conditions that must become true; far above any time that a test needs.
const WAIT_MAX: Duration = Duration::from_secs(10);
/// Time without a received byte after which a connection counts as silenced.
const SHORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns a client that waits up to [`WAIT_MAX`].
pub fn client() -> Http {
    Http::new(WAIT_MAX).expect("client")
}

/// Returns a client that waits up to [`SHORT_TIMEOUT`].
pub fn short_timeout_client() -> Http {
    Http::new(SHORT_TIMEOUT).expect("client")
}

/// Waits until the condition holds.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let ends = tokio::time::Instant::now() + WAIT_MAX;
    while !condition().await {
        assert!(tokio::time::Instant::now() < ends, "condition not met in time: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Sends a `GET` request that must succeed and parses its JSON answer.
pub async fn get<T: DeserializeOwned>(http: &Http, address: SocketAddr, path: &str) -> T {
    let answer = http.get(address, path).await.expect(path);
    assert_eq!(answer.status, 200, "GET {path}");
    answer.json().expect(path)
}

/// Sends a `POST` request that must be answered with this status.
pub async fn post<T: Serialize>(
    http: &Http,
    address: SocketAddr,
    path: &str,
    body: &T,
    status: u16,
) -> Answer {
    let answer = http.post(address, path, body).await.expect(path);
    assert_eq!(answer.status, status, "POST {path}");
    answer
}

/// Sets the fault switches.
pub async fn set_faults<T: Serialize>(address: SocketAddr, faults: &T) {
    post(&client(), address, "/faults", faults, 200).await;
}

/// Returns a request for 4 tokens of model `m`, version 1.
pub fn request(id: &str) -> GenerateRequest {
    GenerateRequest {
        request: id.to_owned(),
        attempt: 0,
        model: "m".to_owned(),
        version: "1".to_owned(),
        adapter: None,
        scope: "scope".to_owned(),
        prompt: "the gasket of batch 7".to_owned(),
        blocks: Vec::new(),
        max_tokens: 4,
        resume: None,
        priority: 1,
        incarnation: None,
        deadline_ms: 1000,
    }
}

/// Starts a generation and returns its answer, whose body has not been read yet.
pub async fn open(http: &Http, address: SocketAddr, req: &GenerateRequest) -> OpenAnswer {
    let body = serde_json::to_vec(req).expect("JSON");
    let answer = http.open(Method::POST, address, "/generate", &[], body).await;
    answer.expect("answer of the engine")
}

/// Runs a generation and returns its events, and the error that ended it if there was one.
pub async fn generate(
    http: &Http,
    address: SocketAddr,
    req: &GenerateRequest,
) -> (Vec<GenerateEvent>, Result<(), Error>) {
    let mut answer = open(http, address, req).await;
    assert_eq!(answer.status, 200);
    let mut events = Vec::new();
    loop {
        match answer.next().await {
            Ok(Some(data)) => events.push(serde_json::from_str(&data).expect("event")),
            Ok(None) => return (events, Ok(())),
            Err(e) => return (events, Err(e)),
        }
    }
}

/// Runs a generation that must complete; returns its text and the number of its cached tokens.
pub async fn complete(http: &Http, address: SocketAddr, req: &GenerateRequest) -> (String, u64) {
    let (events, end) = generate(http, address, req).await;
    end.expect("complete answer");
    let mut text = String::new();
    for event in events {
        match event {
            GenerateEvent::Token { text: token, .. } => text.push_str(&token),
            GenerateEvent::End { cached_tokens, .. } => return (text, cached_tokens),
            GenerateEvent::Error { message, .. } => panic!("{message}"),
        }
    }
    panic!("no end mark")
}
