//! Guards against a process of the native interface that ends, hangs, or exceeds the memory of its VM because of many callers
//! that stop within a request or an answer: not only because of their bodies. This file has one test, so that its cases run
//! one after the other.

use http::Method;
use serde_json::json;

mod common;
mod crowd;
mod hostile;

use common::{Fleet, KEY, Options};
use crowd::{Group, PATIENCE, Requests, Stop, mixed, run};
use hostile::start_service;

/// `limits.memory`, and the memory of the VM: it leaves 48 MiB to all that is not held for callers.
const MEMORY_MIB: usize = 16;
const KIB_MAX: u64 = 64 << 10;
const BODY_MAX: usize = 1 << 20;
/// The default of `limits.connections_max`, two descriptors each, and others.
const DESCRIPTORS_MAX: usize = 2 * 4_096 + 100;
const HEAD: usize = 15 << 10;
/// The HTTP library's own limit on heads is 408 KiB.
const LARGE_HEAD: usize = 200 << 10;
const SEEDS: std::ops::Range<u64> = 0..2;

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
        prompt: head("POST /v1/completions"),
        large_answer: head("GET /v1/services/desk/large"),
    }
}

fn cases() -> Vec<(String, Vec<Vec<Group>>)> {
    let turn = [
        vec![(Stop::Head(HEAD), 800)],
        vec![(Stop::Head(LARGE_HEAD), 60)],
        vec![(Stop::Body(BODY_MAX), 40)],
    ];
    let cases = [
        ("heads that stop", vec![vec![(Stop::Head(HEAD), 2_000)]]),
        ("large heads that stop", vec![vec![(Stop::Head(LARGE_HEAD), 400)]]),
        ("heads of complete requests", vec![vec![(Stop::Segments(HEAD), 1_000)]]),
        (
            "heads, large bodies and unread answers",
            vec![vec![(Stop::Head(HEAD), 1_500), (Stop::Body(BODY_MAX), 80), (Stop::Answer, 80)]],
        ),
        ("crowds in turn", [turn.clone(), turn].concat()),
    ];
    let cases = cases.into_iter().map(|(name, crowds)| (name.to_owned(), crowds));
    let seeded = SEEDS.map(|seed| {
        let crowds = (0..2).map(|n| mixed(2 * seed + n, 600, LARGE_HEAD, BODY_MAX)).collect();
        (format!("mixed, seed {seed}"), crowds)
    });
    cases.chain(seeded).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_that_stop_stay_within_the_memory_of_a_native_vm() {
    let mut findings = Vec::new();
    for (name, crowds) in cases() {
        // A process of its own for each case, since its peak memory never falls.
        let patience = PATIENCE.as_secs() / 2;
        let settings = format!(
            "limits:\n  body_max: {}MiB\n  memory: {MEMORY_MIB}MiB\ntimeouts:\n  head: {patience}s\n  body: \
             {patience}s\n  unread: {patience}s\n",
            BODY_MAX >> 20
        );
        let options = Options { services: 0, engines: 1, settings, ..Options::default() };
        let fleet = Fleet::start("crowds-native", options).await;
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
        let result = run(&crowds, fleet.vms[0].pid(), requests(&fleet), &answered).await;
        findings.extend(hostile::check_usage(&name, &result, KIB_MAX, DESCRIPTORS_MAX));
    }
    assert!(findings.is_empty(), "{findings:#?}");
}
