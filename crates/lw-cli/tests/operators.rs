//! Runs the commands for operators against a VM with prepared answers.

mod support;

use http::Method;
use serde_json::{Value, json};
use support::{FakeVm, PreparedAnswer, TOKEN, run_program};

fn status() -> Value {
    json!({
        "vm": "vm-1", "failure_domain": "kochi-a", "state": "serving", "version": 7,
        "provisional": false, "in_flight": 2,
        "peers": [{ "vm": "vm-2", "failure_domain": "kochi-b", "state": "suspect", "version": 6 }],
        "upstreams": [{ "id": "engine-1", "kind": "engine", "address": "10.0.0.1:80",
            "chosen": false, "why": "leaving by its load report", "in_flight": 1 }],
        "histograms": [{ "workspace": "station", "class": "live", "measure": "ttft", "count": 10,
            "p50_ms": 12.5, "p95_ms": 20.0, "p99_ms": 30.0, "max_ms": 31.25 }],
    })
}

/// Arguments, method, path, prepared answer and the texts that must be printed.
type Case<'a> = (&'a [&'a str], Method, &'a str, Value, &'a [&'a str]);

/// Guards against commands that call another path or method, lack the token, or omit a section of the answer.
#[test]
fn each_command_calls_its_path_and_prints_the_answer() {
    let config =
        json!({ "version": 7, "provisional": false, "document": { "models": { "m": {} } } });
    let history = json!({ "patches": [{ "version": 7, "patch": { "models": null } }] });
    let explanation =
        json!({ "request": "req-1", "steps": [{ "at_ms": 3, "what": "sent to engine-1" }] });
    let cases: [Case; 5] = [
        (&["config", "show"], Method::GET, "/op/config", config, &["# version 7", "models:"]),
        (
            &["config", "history"],
            Method::GET,
            "/op/history",
            history,
            &["7        {\"models\":null}"],
        ),
        (
            &["status"],
            Method::GET,
            "/op/status",
            status(),
            &[
                "VM vm-1 in kochi-a: serving, configuration 7, 2 requests in flight",
                "vm-2  kochi-b  suspect  6",
                "engine-1  engine  10.0.0.1:80  no      1          leaving by its load report",
                "station    live   ttft     10     12.5    20.0    30.0    31.2",
            ],
        ),
        (
            &["explain", "req-1"],
            Method::GET,
            "/op/explain/req-1",
            explanation,
            &["request req-1", "3   sent to engine-1"],
        ),
        (&["drain"], Method::POST, "/op/drain", status(), &["vm-1 is serving, 2 requests"]),
    ];
    for (args, method, path, answer, expected_texts) in cases {
        let vm = FakeVm::start(PreparedAnswer::Json(200, answer.clone()));
        let output = vm.run_operator(args);
        assert_eq!(output.status, 0, "{args:?}: {}", output.stderr);
        for expected in expected_texts {
            assert!(
                output.stdout.contains(expected),
                "{args:?}: {expected:?} is not in\n{}",
                output.stdout
            );
        }
        let call = vm.only_call();
        assert_eq!((call.method.clone(), call.path.as_str()), (method, path));
        assert_eq!(call.header("authorization"), Some(format!("Bearer {TOKEN}")));
        let json = vm.run_operator(&[args, &["--json"]].concat());
        assert_eq!(serde_json::from_str::<Value>(&json.stdout).expect("JSON"), answer, "{args:?}");
    }
}

/// Guards against patches in either format that are altered before they are sent.
#[test]
fn patches_are_sent_as_json_against_their_base() {
    let answer = json!({ "version": 8, "provisional": false, "document": {} });
    let yaml = "models:\n  old: null\n  m:\n    version: \"2\"\n";
    let as_json = r#"{"models":{"old":null,"m":{"version":"2"}}}"#;
    for input in [yaml, as_json] {
        let vm = FakeVm::start(PreparedAnswer::Json(200, answer.clone()));
        let file = std::env::temp_dir().join(format!("lw-cli-{}.patch", std::process::id()));
        std::fs::write(&file, input).expect("patch file");
        let output =
            vm.run_operator(&["config", "apply", "--base", "7", file.to_str().expect("path")]);
        std::fs::remove_file(&file).expect("patch file");
        assert_eq!(
            (output.status, output.stdout.as_str()),
            (0, "accepted as version 8\n"),
            "{}",
            output.stderr
        );
        let call = vm.only_call();
        assert_eq!((call.method.clone(), call.query.as_str()), (Method::PATCH, "base=7"));
        let sent: Value = call.json().expect("JSON");
        assert_eq!(sent, serde_json::from_str::<Value>(as_json).expect("JSON"));
    }
}

/// Guards against refusals that are reported as success, and against a stale version error without the current
/// version.
#[test]
fn refusals_have_their_exit_status() {
    let refusal = |number: u16, code: &str, faults: &[&str]| json!({ "number": number, "code": code, "version": 9, "faults": faults });
    let error = json!({ "error": { "message": "the operator token is wrong",
        "code": "operator_denied", "number": 5003, "ran": "no" } });
    let faults = ["models.m.role: missing", "upstreams.e: no address"];
    let cases = [
        ("stale", 409, refusal(5000, "stale_version", &["old"]), 3, "current version is 9"),
        ("invalid", 422, refusal(5001, "invalid_config", &faults), 1, "upstreams.e: no address"),
        ("denied", 401, error, 1, "operator_denied (5003): the operator token is wrong [ran: no]"),
        ("another server", 404, json!("nothing"), 1, "status 404"),
        ("unexpected JSON", 200, json!({ "models": 1 }), 0, ""),
    ];
    for (name, status, body, exit, message) in cases {
        let vm = FakeVm::start(PreparedAnswer::Json(status, body));
        let unreadable = vm.run_operator(&["config", "apply", "--base", "7", "/nonexistent/patch"]);
        assert_eq!(unreadable.status, 2, "{name}: a file that cannot be read");
        let output = apply_empty_patch(&vm);
        assert_eq!(output.status, exit, "{name}: {output:?}");
        assert!(output.stderr.contains(message), "{name}: {output:?}");
        if exit == 3 {
            assert_eq!(output.stdout, "current version 9\n");
        }
    }
}

fn apply_empty_patch(vm: &FakeVm) -> support::ProgramOutput {
    let file = std::env::temp_dir().join(format!("lw-cli-{}.refused", std::process::id()));
    std::fs::write(&file, "{}").expect("patch file");
    let output = vm.run_operator(&["config", "apply", "--base", "7", file.to_str().expect("path")]);
    std::fs::remove_file(&file).expect("patch file");
    output
}

/// Guards against an unreachable VM that is reported as a refusal.
#[test]
fn unreachable_vm_has_its_exit_status() {
    let output = run_program(&["status", "--operator", "127.0.0.1:1"], "");
    assert_eq!(output.status, 4, "{output:?}");
}

/// Guards against wrong arguments that are ignored or not named in the error.
#[test]
fn wrong_arguments_are_reported() {
    let at = "127.0.0.1:1";
    let cases: [(&[&str], &str); 10] = [
        (&[], "unknown command"),
        (&["config", "edit", "--operator", at], "config edit"),
        (&["status"], "--operator"),
        (&["status", "--operator", "localhost"], "'localhost'"),
        (&["status", "--operator", at, "--colour"], "--colour"),
        (&["config", "apply", "--operator", at, "--base", "x", "-"], "'x'"),
        (&["config", "apply", "--operator", at, "--base", "1", "--colour"], "--colour"),
        (&["config", "apply", "--operator", at, "--base", "1", "-"], "must be a mapping"),
        (&["explain", "../config", "--operator", at], "not a request id"),
        (&["ask", "--callers", at, "--model", "m", "--prompt", "p"], "LAVENDERWOOD_API_KEY"),
    ];
    for (args, message) in cases {
        let output = run_program(args, "[1]");
        assert_eq!(output.status, 2, "{args:?}: {output:?}");
        assert!(output.stderr.contains(message), "{args:?}: {output:?}");
    }
    assert!(run_program(&["--help"], "").stdout.contains("3  stale version"));
    assert!(run_program(&["--version"], "").stdout.starts_with("lavenderwood "));
}
