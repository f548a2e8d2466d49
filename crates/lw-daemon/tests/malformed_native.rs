//! Guards against parts of answers that callers of the native interface take as complete, and against answers with a status
//! that no caller can use.

use std::net::SocketAddr;

use http::Method;
use lw_standin::hosted::caller::Caller;
use serde_json::json;

mod common;
mod faulty_upstream;

use common::{Fleet, KEY, Options};
use faulty_upstream::{BAD_STATUSES, UPLOAD_BYTES};

/// Number of uploads: the reset reaches the VM while it reads in some, while it writes in others.
const UPLOADS: usize = 20;

/// Sends a call of the plain service and returns the status, the body, and whether the body is complete; none if there is no
/// answer.
async fn call(
    addr: SocketAddr,
    target: &str,
    key: &str,
    body: &[u8],
) -> Option<(u16, String, bool)> {
    let mut caller = Caller::connect(addr).await?;
    let head = format!(
        "POST /v1/services/desk/{target} HTTP/1.1\r\nhost: lavenderwood\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: {key}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    caller.send_bytes(&[head.as_bytes(), body].concat()).await;
    let reply = caller.read_answer().await?;
    Some((reply.status, reply.text(), reply.is_complete))
}

/// Requests a completion from an engine that answers with this prompt's behaviour.
async fn complete(fleet: &Fleet, prompt: &str) -> common::Answer {
    fleet.complete(common::CompletionRequest::new(0, prompt, 2)).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_answers_do_not_reach_callers() {
    let settings = "limits:\n  body_max: 8MiB\n".to_owned();
    let options = Options { engines: 0, services: 0, settings, ..Options::default() };
    let fleet = Fleet::start("malformed-native", options).await;
    let service = faulty_upstream::start(|_| String::new()).await;
    let patch = json!({
        "services": { "desk": { "not_repeatable": ["POST /once/"] } },
        "upstreams": {
            "raw": { "service": "desk", "address": service.to_string(), "failure_domain": "domain-0" },
            "engine": { "role": "assistant", "address": service.to_string(), "failure_domain": "domain-0" },
        },
    });
    let applied = fleet.apply_patch(0, 1, &patch).await;
    assert_eq!(applied.0, 200, "configuration: {}", applied.1);
    fleet.wait_for_version(0, 2).await;
    let addr = fleet.vms[0].callers;
    let mut findings = Vec::new();
    let upload = vec![b'x'; UPLOAD_BYTES];
    for target in ["once/early", "early"] {
        for n in 0..UPLOADS {
            let reply = call(addr, target, &format!("{target}-{n}"), &upload).await;
            println!("{target} {n}: {reply:?}");
            if reply.is_some_and(|(status, _, is_complete)| status == 200 && is_complete) {
                findings.push(format!("{target} {n}"));
            }
        }
    }
    for status in BAD_STATUSES {
        for target in [format!("once/{status}"), status.to_owned()] {
            let reply = call(addr, &target, &format!("key-{target}"), b"{}").await;
            println!("{target}: {reply:?}");
            if reply.is_some_and(|(status, ..)| status != 502) {
                findings.push(target);
            }
        }
    }
    // The answer of the engine is complete as HTTP, and has no event.
    let answer = complete(&fleet, "a question").await;
    println!("engine: {answer:?}");
    if answer.is_done || answer.status == 200 {
        findings.push("engine".to_owned());
    }
    let sound = fleet.call_service(0, Method::GET, "/ok", &[], "").await;
    assert_eq!(sound.0, 200, "{}", sound.1);
    assert!(findings.is_empty(), "{findings:#?}");
}
