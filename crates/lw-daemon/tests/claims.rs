//! Guards against non-repeatable calls that run twice, and against refusals that report a call as not run although it
//! ran.

use std::time::Duration;

use http::Method;
use lw_standin::{platform, service};
use serde_json::{Value, json};

mod common;

use common::{Fleet, Options};

fn options() -> Options {
    Options { vms: 3, services: 2, ..Options::default() }
}

async fn book(fleet: &Fleet, vm: usize, key: &str, body: &str) -> (u16, Value) {
    let headers = [("idempotency-key", key)];
    fleet.call_service(vm, Method::POST, "/bookings", &headers, body).await
}

/// Returns how often the service ran the call with this idempotency key.
async fn run_count(fleet: &Fleet, key: &str) -> usize {
    fleet
        .service_runs()
        .await
        .iter()
        .filter(|run| run.idempotency_key.as_deref() == Some(key))
        .count()
}

/// Whether an error body states that the call did not run.
fn is_reported_not_run(body: &Value) -> bool {
    body["error"]["ran"] == "no"
}

#[tokio::test]
async fn same_key_at_all_vms_at_once_runs_once() {
    let fleet = Fleet::start("same-key", options()).await;
    for round in 0..10 {
        let key = format!("wish-{round}");
        let (a, b, c) = tokio::join!(
            book(&fleet, 0, &key, "{}"),
            book(&fleet, 1, &key, "{}"),
            book(&fleet, 2, &key, "{}")
        );
        assert_eq!(run_count(&fleet, &key).await, 1, "round {round}: {a:?} {b:?} {c:?}");
        assert!([&a, &b, &c].iter().any(|answer| answer.0 == 200), "{a:?} {b:?} {c:?}");
        let repeated = book(&fleet, round % 3, &key, "{}").await;
        assert_eq!((repeated.0, repeated.1["run"].is_u64()), (200, true), "{repeated:?}");
        assert_eq!(run_count(&fleet, &key).await, 1);
    }
}

#[tokio::test]
async fn missing_or_reused_idempotency_key_is_refused_without_a_run() {
    let fleet = Fleet::start("misuse", options()).await;
    let (status, body) = fleet.call_service(0, Method::POST, "/bookings", &[], "{}").await;
    assert_eq!((status, &body["error"]["number"]), (400, &json!(2013)), "{body}");
    assert_eq!(book(&fleet, 0, "wish", "{\"slot\":1}").await.0, 200);
    let (status, body) = book(&fleet, 1, "wish", "{\"slot\":2}").await;
    assert_eq!((status, &body["error"]["number"]), (422, &json!(2011)), "{body}");
    assert_eq!(fleet.service_runs().await.len(), 1);
}

#[tokio::test]
async fn refusal_during_a_store_outage_is_immediate_and_correct() {
    let fleet = Fleet::start("outage", options()).await;
    let mut down = platform::Faults::default();
    down.http.unavailable = true;
    fleet.set_faults(fleet.platform.address(), &down).await;
    for round in 0..5 {
        let key = format!("wish-{round}");
        let started = std::time::Instant::now();
        let (status, body) = book(&fleet, round % 3, &key, "{}").await;
        assert_eq!((status, is_reported_not_run(&body)), (503, true), "{body}");
        assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    }
    fleet.set_faults(fleet.platform.address(), &platform::Faults::default()).await;
    assert_eq!(fleet.service_runs().await.len(), 0, "a call that was refused as not run has run");
    fleet
        .wait_until("bookings succeed again", async || {
            book(&fleet, 0, "later", "{}").await.0 == 200
        })
        .await;
    assert_eq!(run_count(&fleet, "later").await, 1);
}

#[tokio::test]
async fn lost_store_replies_do_not_run_a_call_twice() {
    let fleet = Fleet::start("lost-cas", options()).await;
    for round in 0..6 {
        let faults = platform::Faults { lose_replies: 1, ..platform::Faults::default() };
        fleet.set_faults(fleet.platform.address(), &faults).await;
        let key = format!("wish-{round}");
        let first = book(&fleet, 0, &key, "{}").await;
        let second = book(&fleet, 1, &key, "{}").await;
        let runs = run_count(&fleet, &key).await;
        assert!(runs <= 1, "round {round}: {first:?} {second:?}");
        if is_reported_not_run(&first.1) && is_reported_not_run(&second.1) {
            assert_eq!(runs, 0, "round {round}: {first:?} {second:?}");
        }
    }
}

#[tokio::test]
async fn lost_answer_of_the_service_is_reported_as_unknown_outcome() {
    let fleet = Fleet::start("lost-answer", Options { services: 1, ..options() }).await;
    let faults = service::Faults { lose_replies: 1, ..service::Faults::default() };
    fleet.set_faults(fleet.services[0].address(), &faults).await;
    let (status, body) = book(&fleet, 0, "wish", "{}").await;
    assert_eq!((status, &body["error"]["ran"]), (502, &json!("unknown")), "{body}");
    for vm in [1, 2, 0] {
        let (_, body) = book(&fleet, vm, "wish", "{}").await;
        assert_ne!(body["error"]["ran"], "no", "{body}");
    }
    assert_eq!(run_count(&fleet, "wish").await, 1);
}

#[tokio::test]
async fn call_of_a_killed_vm_is_not_run_again() {
    let mut fleet = Fleet::start("dies-claim", Options { services: 1, ..options() }).await;
    let mut slow = service::Faults::default();
    slow.http.delay_ms = 1500;
    fleet.set_faults(fleet.services[0].address(), &slow).await;
    let started = async {
        fleet
            .wait_until("the call is sent", async || fleet.vms[0].log().contains("call sent"))
            .await;
    };
    tokio::select! {
        _ = book(&fleet, 0, "wish", "{}") => panic!("the call ended early"),
        () = started => {}
    }
    fleet.vms[0].kill();
    fleet.set_faults(fleet.services[0].address(), &service::Faults::default()).await;
    for vm in [1, 2, 1, 2] {
        let (_, body) = book(&fleet, vm, "wish", "{}").await;
        assert_ne!(body["error"]["ran"], "no", "{body}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(run_count(&fleet, "wish").await <= 1);
}

#[tokio::test]
async fn vm_paused_during_a_call_does_not_run_it_twice() {
    let fleet = Fleet::start("frozen", options()).await;
    for round in 0..4 {
        let key = format!("wish-{round}");
        let paused_call = book(&fleet, 0, &key, "{}");
        let other_call = async {
            fleet.vms[0].signal("-STOP");
            let answer = book(&fleet, 1, &key, "{}").await;
            fleet.vms[0].signal("-CONT");
            answer
        };
        let (first, second) = tokio::join!(paused_call, other_call);
        let runs = run_count(&fleet, &key).await;
        assert!(runs <= 1, "round {round}: {first:?} {second:?}");
        for answer in [&first, &second] {
            assert!(answer.0 != 200 || runs == 1, "{first:?} {second:?}");
        }
    }
}
