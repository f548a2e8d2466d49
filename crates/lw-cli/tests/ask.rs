//! Runs `ask` against a VM with prepared event streams.

mod support;

use lw_protocol::caller::{Answer, DONE, Endpoint, Failure, Usage};
use lw_types::prelude::*;
use serde_json::{Value, json};
use support::{FakeVm, PreparedAnswer};

fn answer() -> Answer {
    Answer { endpoint: Endpoint::Chat, id: "req-1".into(), model: "m".into(), created: 0 }
}

/// Returns the chunks of the answer `one two`, its last chunk and its end mark.
fn complete_stream() -> Vec<String> {
    let usage = Usage { prompt_tokens: 100, cached_tokens: 80, completion_tokens: 2 };
    vec![
        answer().chunk("one").to_string(),
        answer().chunk(" two").to_string(),
        answer().last_chunk("stop", &usage).to_string(),
        DONE.to_owned(),
    ]
}

/// Guards against a request without one of the caller's options, and against an answer that is printed without its usage.
#[test]
fn complete_answer_is_printed_with_its_usage() {
    let vm = FakeVm::start(PreparedAnswer::Stream { data: complete_stream(), is_aborted: false });
    let output = vm.run_ask(&["--key", "key-1", "--class", "live", "--max-tokens", "9"]);
    assert_eq!(output.status, 0, "{output:?}");
    assert!(output.stdout.starts_with("one two\n"), "{}", output.stdout);
    let usage = "request req-1: finish stop, prompt tokens 100 (80 cached), completion tokens 2";
    assert!(output.stdout.contains(usage), "{}", output.stdout);
    let call = vm.only_call();
    assert_eq!(call.path, "/v1/chat/completions");
    assert_eq!(call.header("authorization").as_deref(), Some("Bearer key-1"));
    assert_eq!(call.header("x-lavenderwood-class").as_deref(), Some("live"));
    let expected = json!({ "model": "m", "stream": true, "max_tokens": 9,
        "messages": [{ "role": "user", "content": "p" }] });
    assert_eq!(call.json::<Value>().expect("JSON"), expected);
}

/// Guards against an incomplete answer that is reported as complete.
#[test]
fn incomplete_answers_have_their_exit_status() {
    let failure = Failure::new(ResultCode::StreamBroken, "no engine could go on").body();
    let altered_stream = |change: fn(&mut Vec<String>)| {
        let mut data = complete_stream();
        change(&mut data);
        data
    };
    let in_stream = vec![answer().chunk("one").to_string(), failure.to_string()];
    let cases = [
        ("complete", altered_stream(|_| {}), false, 0, ""),
        ("complete, then aborted", altered_stream(|_| {}), true, 0, ""),
        ("no end mark", altered_stream(|data| drop(data.pop())), false, 5, "end mark"),
        ("end mark only", altered_stream(|data| drop(data.drain(..3))), false, 5, "finish reason"),
        ("aborted", altered_stream(|data| data.truncate(2)), true, 5, "not complete"),
        ("error in the stream", in_stream, false, 5, "stream_broken (4001)"),
        ("not JSON", vec!["{".to_owned()], false, 5, "not complete"),
        ("nothing", Vec::new(), false, 5, "end mark"),
    ];
    for (name, data, is_aborted, exit, message) in cases {
        let vm = FakeVm::start(PreparedAnswer::Stream { data, is_aborted });
        let output = vm.run_ask(&["--key", "k"]);
        assert_eq!(output.status, exit, "{name}: {output:?}");
        assert!(output.stderr.contains(message), "{name}: {output:?}");
        let json = vm.run_ask(&["--key", "k", "--json"]);
        let report: Value = serde_json::from_str(&json.stdout).expect("JSON");
        assert_eq!((json.status, report["complete"] == json!(true)), (exit, exit == 0), "{name}");
    }
}

/// Guards against a refusal that is printed without its code or without whether anything was executed.
#[test]
fn refusal_is_printed_with_its_code() {
    let body = Failure::new(ResultCode::Overloaded, "no engine is free in time").body();
    let vm = FakeVm::start(PreparedAnswer::Json(503, body));
    let output = vm.run_ask(&["--key", "k"]);
    assert_eq!((output.status, output.stdout.as_str()), (1, ""), "{output:?}");
    assert!(
        output.stderr.contains("overloaded (3000): no engine is free in time [ran: no]"),
        "{output:?}"
    );
}
