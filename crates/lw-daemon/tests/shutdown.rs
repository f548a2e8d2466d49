//! Guards against requests that are cut off by a graceful shutdown.

use std::time::{Duration, Instant};

use http::Method;
use lw_standin::engine::{self, answer_text};
use serde_json::Value;

mod common;

use common::{CompletionRequest, Fleet, Options};

/// Longer than the 28 s after which the HTTP library closes connections on its own.
const LONG_STREAM: Duration = Duration::from_secs(33);
/// Tokens of the long stream, one every half second.
const TOKENS: u64 = 66;

fn slow_engine() -> engine::Options {
    let token_time = LONG_STREAM / u32::try_from(TOKENS).expect("small");
    engine::Options { token_time, ..engine::Options::default() }
}

#[tokio::test]
async fn stream_longer_than_the_http_librarys_limit_completes_after_sigterm() {
    let options = Options { engine: slow_engine(), ..Options::default() };
    let mut fleet = Fleet::start("drain", options).await;
    let prompt = "a long reading";
    let drain = async {
        fleet.wait_until("the stream is in flight", async || in_flight(&fleet).await == 1).await;
        fleet.vms[0].signal("-TERM");
        // Until the load balancer follows the readiness, new requests still arrive and must be served.
        fleet.complete(CompletionRequest::new(0, "a late request", 1)).await
    };
    let started = Instant::now();
    let (answer, later_answer) =
        tokio::join!(fleet.complete(CompletionRequest::new(0, prompt, TOKENS)), drain);
    assert!(started.elapsed() + Duration::from_secs(1) >= LONG_STREAM);
    assert!(answer.is_done, "cut after {:?}: {:?}", started.elapsed(), answer.error);
    assert_eq!(answer.text, answer_text(prompt, TOKENS));
    assert!(later_answer.is_done, "{later_answer:?}");
    let deadline = Instant::now() + Duration::from_secs(10);
    while !fleet.vms[0].has_exited() {
        assert!(Instant::now() < deadline, "the daemon did not exit after its last request");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn drain_by_an_operator_completes_streams_and_is_reported_to_peers() {
    let mut fleet = Fleet::start("drain-op", Options { vms: 2, ..Options::default() }).await;
    let stream = fleet.complete(CompletionRequest::new(0, "a reading", 400));
    let drain = async {
        fleet.wait_until("the stream is in flight", async || in_flight(&fleet).await == 1).await;
        let (status, _) = fleet.call_operator(0, Method::POST, "/op/drain", &Value::Null).await;
        assert_eq!(status, 200);
        fleet
            .wait_until("the peer lists the VM as leaving", async || {
                let status = fleet.status(1).await.unwrap_or_default();
                let peers = status["peers"].as_array().cloned().unwrap_or_default();
                peers.iter().any(|p| p["vm"] == "vm-0" && p["state"] == "leaving")
            })
            .await;
    };
    let (answer, ()) = tokio::join!(stream, drain);
    assert!(answer.is_done, "{:?}", answer.error);
    let deadline = Instant::now() + Duration::from_secs(10);
    while !fleet.vms[0].has_exited() {
        assert!(Instant::now() < deadline, "the daemon did not exit after its last request");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against requests that are taken for as long as a drain lasts: the drain then never ends under load, and the last
/// ones are cut off when the process is killed.
#[tokio::test]
async fn requests_that_arrive_late_in_a_drain_are_refused() {
    let engine = engine::Options { token_time: Duration::from_millis(50), ..Default::default() };
    let fleet = Fleet::start("drain-late", Options { engine, ..Options::default() }).await;
    let stream = fleet.complete(CompletionRequest::new(0, "a reading", 60));
    let late = async {
        fleet.wait_until("the stream is in flight", async || in_flight(&fleet).await == 1).await;
        fleet.vms[0].signal("-TERM");
        tokio::time::sleep(Duration::from_secs(1)).await;
        let completion = fleet.complete(CompletionRequest::new(0, "a late request", 1)).await;
        let headers = [("idempotency-key", "late")];
        let booking = fleet.call_service(0, Method::POST, "/bookings", &headers, "{}").await;
        (completion, booking)
    };
    let (answer, (completion, (status, booking))) = tokio::join!(stream, late);
    assert!(answer.is_done, "{:?}", answer.error);
    assert_eq!((completion.status, completion.error["code"].as_str()), (503, Some("draining")));
    assert!(completion.retry_after.is_some());
    assert_eq!((status, booking["error"]["code"].as_str()), (503, Some("draining")));
    assert!(fleet.service_runs().await.is_empty());
}

async fn in_flight(fleet: &Fleet) -> u64 {
    fleet.status(0).await.and_then(|s| s["in_flight"].as_u64()).unwrap_or(0)
}
