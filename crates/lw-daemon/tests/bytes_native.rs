//! Guards against a process of the native interface that ends, hangs, or uses too much memory or too many descriptors because
//! of the bytes that callers send or do not read. This file has one test, so that its cases run one after the other.

use std::time::Duration;

use http::Method;
use lw_standin::hosted::http::{Request, Server, Step, answer, serve};
use serde_json::json;

mod common;
mod hostile;

use common::{Fleet, KEY, Options};
use hostile::{ANSWER_BYTES, BODY_MAX, Requests, cases, check, run};

/// 0.8 of a VM with 160 MB, in KiB.
const KIB_MAX: u64 = 160 * 1024 * 8 / 10;
/// Most connections of callers, and descriptors of the process: two for each connection, and others.
const CONNECTIONS_MAX: usize = 128;
const DESCRIPTORS_MAX: usize = 2 * CONNECTIONS_MAX + 100;

/// Answers calls of the plain service: a large answer, none, or an empty object.
async fn start_service() -> Server {
    let large = vec![b'y'; ANSWER_BYTES];
    let handle = move |request: Request| {
        let steps = match request.path() {
            "/large" => answer(200, &[], &large),
            "/silent" => vec![Step::Wait(Duration::from_secs(60))],
            _ => answer(200, &[("content-type", "application/json")], b"{}"),
        };
        async move { steps }
    };
    serve(handle).await.expect("service")
}

fn requests(fleet: &Fleet) -> Requests {
    let head = |request: &str| {
        format!(
            "{request} HTTP/1.1\r\nhost: lavenderwood\r\nauthorization: Bearer {KEY}\r\n\
             content-type: application/json\r\n"
        )
    };
    Requests {
        addr: fleet.vms[0].callers,
        upload: head("POST /v1/completions"),
        in_flight: head("POST /v1/services/desk/silent"),
        large_answer: head("GET /v1/services/desk/large"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_bytes_use_bounded_memory_and_descriptors() {
    let mut findings = Vec::new();
    for case in cases() {
        // A process of its own for each case, since its peak memory never falls.
        let settings = format!(
            "limits:\n  body_max: {}MiB\n  connections_max: {CONNECTIONS_MAX}\n  memory: 48MiB\n",
            BODY_MAX >> 20
        );
        let options = Options { services: 0, engines: 1, settings, ..Options::default() };
        let fleet = Fleet::start("bytes-native", options).await;
        let service = start_service().await;
        let upstream = json!({
            "service": "desk", "address": service.addr.to_string(), "failure_domain": "domain-0",
        });
        let patch = json!({ "upstreams": { "raw": upstream } });
        let applied = fleet.apply_patch(0, 1, &patch).await;
        assert_eq!(applied.0, 200, "configuration: {}", applied.1);
        fleet.wait_for_version(0, 2).await;
        let answered = async || fleet.call_service(0, Method::GET, "/x", &[], "").await.0 == 200;
        fleet.wait_until("an ordinary request is answered", &answered).await;
        let result = run(case, fleet.vms[0].pid(), requests(&fleet), &answered).await;
        findings.extend(check(case, &result, KIB_MAX, DESCRIPTORS_MAX));
    }
    assert!(findings.is_empty(), "{findings:#?}");
}
