//! Tests the plain service and its fault switches.

mod support;

use http::Method;
use lw_protocol::caller::{IDEMPOTENCY_HEADER, REQUEST_ID_HEADER};
use lw_standin::{
    client::{Answer, Error},
    serve::{Handle, HttpFaults},
    service::{Faults, Options, Run, body_digest, start},
};
use support::{client, get, set_faults, short_timeout_client};

async fn book(service: &Handle, key: &str) -> Result<Answer, Error> {
    let headers = [(IDEMPOTENCY_HEADER, key), (REQUEST_ID_HEADER, "r1")];
    let body = b"seat 4".to_vec();
    short_timeout_client()
        .call(Method::POST, service.address(), "/bookings?day=1", &headers, body)
        .await
}

/// Guards against calls that the service does not log or logs with other values.
#[tokio::test]
async fn each_run_is_answered_and_logged() {
    let service = start(Options { name: "desk-1".to_owned(), ..Options::default() }).expect("desk");
    let answered: Run = book(&service, "k1").await.expect("answer").json().expect("run");
    let expected = Run {
        run: 1,
        service: "desk-1".to_owned(),
        method: "POST".to_owned(),
        path: "/bookings?day=1".to_owned(),
        body_digest: body_digest(b"seat 4"),
        idempotency_key: Some("k1".to_owned()),
        request_id: Some("r1".to_owned()),
    };
    assert_eq!(answered, expected);
    client().get(service.address(), "/any/path").await.expect("answer");
    let log: Vec<Run> = get(&client(), service.address(), "/log").await;
    assert_eq!(log[0], expected);
    assert_eq!((log[1].run, log[1].method.as_str(), log.len()), (2, "GET", 2));
}

/// Guards against faults after which the log has too many or too few runs.
#[tokio::test]
async fn faults_leave_the_log_of_runs_correct() {
    let none = Faults::default();
    let silent = HttpFaults { silent: true, ..HttpFaults::default() };
    let unavailable = HttpFaults { unavailable: true, ..HttpFaults::default() };
    let cases = [
        ("reply lost after the run", Faults { lose_replies: 1, ..none.clone() }, false, 1),
        ("call lost before the run", Faults { lose_calls: 1, ..none.clone() }, false, 0),
        ("both", Faults { lose_calls: 1, lose_replies: 1, ..none.clone() }, false, 0),
        ("silent", Faults { http: silent, ..none.clone() }, false, 0),
        ("unavailable", Faults { http: unavailable, ..none }, true, 0),
    ];
    for (name, faults, answered, runs) in cases {
        let service = start(Options { faults, ..Options::default() }).expect(name);
        assert_eq!(book(&service, "k").await.is_ok(), answered, "{name}");
        let log: Vec<Run> = get(&client(), service.address(), "/log").await;
        assert_eq!(log.len(), runs, "{name}");
    }
}

/// Guards against a log that loses runs when the service crashes.
#[tokio::test]
async fn log_persists_through_a_crash() {
    let service = start(Options::default()).expect("service");
    book(&service, "k").await.expect("answer");
    let http = HttpFaults { down_ms: Some(500), ..HttpFaults::default() };
    set_faults(service.address(), &Faults { http, ..Faults::default() }).await;
    let is_down = || async { client().get(service.address(), "/log").await.is_err() };
    support::wait_until("down", is_down).await;
    support::wait_until("available again", || async { !is_down().await }).await;
    let log: Vec<Run> = get(&client(), service.address(), "/log").await;
    assert_eq!(log.len(), 1);
}

/// Guards against a stand-in that delays the end of its test while it is down.
#[tokio::test]
async fn stand_in_can_be_stopped_while_it_is_down() {
    let service = start(Options::default()).expect("service");
    let address = service.address();
    service.down(std::time::Duration::from_secs(3600));
    support::wait_until("down", || async { client().get(address, "/log").await.is_err() }).await;
    drop(service);
}
