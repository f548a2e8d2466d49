//! Guards against calls to plain services that end with an error although a service answers in time.

use http::Method;
use lw_standin::{
    serve::HttpFaults,
    service::{Faults, Run},
};
use serde_json::Value;

mod common;

use common::{Fleet, Options};

const DEADLINE: (&str, &str) = ("x-lavenderwood-deadline-ms", "1000");
/// Delay of an answer that is more than the 0.6 of [`DEADLINE`] after which another instance is tried.
const DELAY_MS: u64 = 800;

async fn set_http_faults(fleet: &Fleet, service: usize, http: HttpFaults) {
    let faults = Faults { http, ..Faults::default() };
    fleet.set_faults(fleet.services[service].address(), &faults).await;
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
    set_http_faults(&fleet, 1, HttpFaults { down_ms: Some(60_000), ..HttpFaults::default() }).await;
    // Each instance is the first of some calls.
    for _ in 0..8 {
        let (status, body) = look_up(&fleet).await;
        assert_eq!(status, 200, "{body}");
    }
}
