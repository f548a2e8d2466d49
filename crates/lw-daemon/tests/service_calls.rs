//! Guards against calls to plain services that end with an error although a service answers in time, or with a false
//! "not run".

use http::Method;
use lw_standin::{
    serve::HttpFaults,
    service::{Faults, Run},
};
use serde_json::Value;
use tokio::net::TcpStream;

mod common;

use common::{Fleet, Options};

const DEADLINE: (&str, &str) = ("x-lavenderwood-deadline-ms", "1000");
/// Delay of an answer that is more than the 0.6 of [`DEADLINE`] after which another instance is tried.
const DELAY_MS: u64 = 800;

async fn set_http_faults(fleet: &Fleet, service: usize, http: HttpFaults) {
    let faults = Faults { http, ..Faults::default() };
    fleet.set_faults(fleet.services[service].address(), &faults).await;
}

async fn stop_service(fleet: &Fleet, service: usize) {
    let down = HttpFaults { down_ms: Some(60_000), ..HttpFaults::default() };
    set_http_faults(fleet, service, down).await;
    let addr = fleet.services[service].address();
    let is_down = async || TcpStream::connect(addr).await.is_err();
    fleet.wait_until("the service is down", is_down).await;
}

async fn look_up(fleet: &Fleet) -> (u16, Value) {
    fleet.call_service(0, Method::GET, "/slots", &[DEADLINE], "").await
}

#[tokio::test]
async fn late_answer_of_a_service_is_awaited_when_no_retry_is_left() {
    let settings = "limits:\n  min_retries: 0\n".to_owned();
    let fleet = Fleet::start("late-service", Options { settings, ..Options::default() }).await;
    set_http_faults(&fleet, 0, HttpFaults { delay_ms: DELAY_MS, ..HttpFaults::default() }).await;
    let (status, body) = look_up(&fleet).await;
    assert_eq!(status, 200, "{body}");
    let runs: Vec<Run> = fleet.service_runs().await;
    assert_eq!(runs.len(), 1);
}

#[tokio::test]
async fn late_answer_of_a_service_is_awaited_when_the_other_instance_is_down() {
    let fleet = Fleet::start("other-down", Options { services: 2, ..Options::default() }).await;
    set_http_faults(&fleet, 0, HttpFaults { delay_ms: DELAY_MS, ..HttpFaults::default() }).await;
    stop_service(&fleet, 1).await;
    // Each instance is the first of some calls.
    for _ in 0..8 {
        let (status, body) = look_up(&fleet).await;
        assert_eq!(status, 200, "{body}");
    }
}

#[tokio::test]
async fn call_that_ran_without_an_answer_is_not_reported_as_not_run() {
    let fleet = Fleet::start("lost-reply", Options { services: 2, ..Options::default() }).await;
    let lossy = Faults { lose_replies: 100, ..Faults::default() };
    fleet.set_faults(fleet.services[0].address(), &lossy).await;
    stop_service(&fleet, 1).await;
    // Each instance is the first of some calls.
    for _ in 0..8 {
        let (status, body) = look_up(&fleet).await;
        assert_eq!((status, body["error"]["ran"].as_str()), (502, Some("unknown")), "{body}");
    }
}
