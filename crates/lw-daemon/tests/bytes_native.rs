//! Guards against a process of the native interface that ends, hangs, or uses too much memory or too many descriptors because
//! of the bytes that callers send or do not read. This file has one test, so that its cases run one after the other.

use http::Method;
use serde_json::json;

mod common;
mod hostile;

use common::{Fleet, KEY, Options};
use hostile::{BODY_MAX, Requests, cases, check, run, start_service};

/// 0.8 of a VM with 160 MB, in KiB.
const KIB_MAX: u64 = 160 * 1024 * 8 / 10;
/// Most connections of callers, and descriptors of the process: two for each connection, and others.
const CONNECTIONS_MAX: usize = 128;
const DESCRIPTORS_MAX: usize = 2 * CONNECTIONS_MAX + 100;

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
        let service = start_service("desk", b"{}").await;
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
