//! Guards against secrets in logs, and against operator and peer interfaces that accept a wrong secret or serve on
//! another port.

use lw_types::prelude::*;
use serde_json::json;

mod common;

use common::{
    CompletionRequest, Fleet, KEY, OPERATOR_TOKEN, OTHER_KEY, Options, PEER_KEY,
    raw::{self, request, request_head},
};

/// Neither an API key, nor the operator token, nor the peer key.
const WRONG_SECRET: &str = "a-secret-that-is-not-the-right-one";

#[tokio::test]
async fn trace_logs_contain_no_secret() {
    let mut fleet = Fleet::start("secrets", Options { vms: 2, ..Options::default() }).await;
    for vm in &mut fleet.vms {
        vm.kill();
        vm.log_filter = "trace";
        vm.spawn();
    }
    for vm in 0..2 {
        fleet.wait_until("the VM answers", async || fleet.status(vm).await.is_some()).await;
        fleet.wait_for_version(vm, 1).await;
    }
    let (callers, operators, peers) =
        (fleet.vms[0].callers, fleet.vms[0].operators, fleet.vms[0].peers);
    for key in [KEY, OTHER_KEY, WRONG_SECRET] {
        for vm in 0..2 {
            fleet
                .complete(CompletionRequest { key, ..CompletionRequest::new(vm, "a prompt", 2) })
                .await;
        }
        let bad =
            raw::send(callers, &request("POST /v1/completions HTTP/1.1", key, &[], b"{")).await;
        assert!(bad.status >= 400, "{bad:?}");
    }
    let booking =
        request("POST /v1/services/desk/bookings HTTP/1.1", KEY, &["idempotency-key: a"], b"{}");
    assert_eq!(raw::send(callers, &booking).await.status, 200);
    for (addr, key) in [
        (operators, WRONG_SECRET),
        (peers, WRONG_SECRET),
        (operators, OPERATOR_TOKEN),
        (peers, PEER_KEY),
    ] {
        raw::send(addr, request_head("GET /op/status HTTP/1.1", key, &[]).as_bytes()).await;
    }
    // An operator enters the key instead of its digest.
    let patch = json!({ "workspaces": { "station": { "key_digests": [KEY, WRONG_SECRET] } } });
    let (status, body) = fleet.apply_patch(0, 1, &patch).await;
    assert_eq!(status, 422, "{body}");
    assert!(!body.to_string().contains(KEY), "{body}");
    fleet
        .wait_until("the peers have exchanged messages", async || {
            let status = fleet.status(0).await.unwrap_or_default();
            status["peers"]
                .as_array()
                .is_some_and(|peers| peers.iter().any(|p| p["state"] == "alive"))
        })
        .await;
    for vm in &mut fleet.vms {
        vm.signal("-TERM");
    }
    for vm in 0..2 {
        fleet
            .wait_until("the VM has written its log", async || {
                fleet.vms[vm].log().contains("drained")
            })
            .await;
    }
    for vm in &fleet.vms {
        let log = vm.log();
        assert!(
            log.contains(" DEBUG tables: http: ") && log.contains(" DEBUG tables: stream: "),
            "{}: no debug lines, so the check is void: {log}",
            vm.name
        );
        assert!(!log.contains("lines left out"), "{}: the log is incomplete", vm.name);
        for secret in [KEY, OTHER_KEY, OPERATOR_TOKEN, PEER_KEY, WRONG_SECRET] {
            let line = log.lines().find(|line| line.contains(secret));
            assert_eq!(line, None, "{} logs a secret", vm.name);
        }
    }
}

#[tokio::test]
async fn operator_and_peer_interfaces_require_their_secret_and_port() {
    let fleet = Fleet::start("interfaces", Options::default()).await;
    let vm = &fleet.vms[0];
    let (operator_path, peer_path, caller_path) = ("/op/status", "/peer/member", "/v1/models");
    let prefix = &OPERATOR_TOKEN[..OPERATOR_TOKEN.len() - 1];
    let cases = [
        ("no token", vm.operators, operator_path, "", ResultCode::OperatorDenied),
        ("wrong token", vm.operators, operator_path, WRONG_SECRET, ResultCode::OperatorDenied),
        ("prefix of the token", vm.operators, operator_path, prefix, ResultCode::OperatorDenied),
        ("caller's key for a token", vm.operators, operator_path, KEY, ResultCode::OperatorDenied),
        ("peer key for a token", vm.operators, operator_path, PEER_KEY, ResultCode::OperatorDenied),
        ("wrong token, drain", vm.operators, "/op/drain", WRONG_SECRET, ResultCode::OperatorDenied),
        ("no peer key", vm.peers, peer_path, "", ResultCode::OperatorDenied),
        ("wrong peer key", vm.peers, peer_path, WRONG_SECRET, ResultCode::OperatorDenied),
        ("token for a peer key", vm.peers, peer_path, OPERATOR_TOKEN, ResultCode::OperatorDenied),
        (
            "token on the callers' port",
            vm.callers,
            operator_path,
            OPERATOR_TOKEN,
            ResultCode::UnknownKey,
        ),
        ("peer key on the callers' port", vm.callers, peer_path, PEER_KEY, ResultCode::UnknownKey),
        (
            "operators' path on the callers' port",
            vm.callers,
            operator_path,
            KEY,
            ResultCode::UnknownPath,
        ),
        ("peers' path on the callers' port", vm.callers, peer_path, KEY, ResultCode::UnknownPath),
        (
            "callers' path on the operators' port",
            vm.operators,
            caller_path,
            OPERATOR_TOKEN,
            ResultCode::UnknownPath,
        ),
        (
            "operators' path on the peers' port",
            vm.peers,
            operator_path,
            PEER_KEY,
            ResultCode::UnknownPath,
        ),
        (
            "peer message that cannot be decoded",
            vm.peers,
            peer_path,
            PEER_KEY,
            ResultCode::MalformedBody,
        ),
    ];
    for (name, addr, path, key, code) in cases {
        for method in ["GET", "POST"] {
            let reply =
                raw::send(addr, &request(&format!("{method} {path} HTTP/1.1"), key, &[], b"x"))
                    .await;
            let expected = (code.http_status(), u64::from(code.number()));
            assert_eq!(
                (reply.status, reply.error_number()),
                expected,
                "{name}: {method} {reply:?}"
            );
        }
    }
    assert_eq!(fleet.status(0).await.map(|s| s["state"].clone()), Some(json!("serving")));
}
