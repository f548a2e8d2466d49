//! `ask` against a VM with prepared streams.

mod support;

use lw_protocol::caller::{Answer, DONE, Endpoint, Failure, Usage};
use lw_types::prelude::*;
use serde_json::{Value, json};
use support::{Fake, Prepared};

fn answer() -> Answer {
    Answer { endpoint: Endpoint::Chat, id: "req-1".into(), model: "m".into(), created: 0 }
}

/// Chunks of the answer `one two`, its last chunk and its end mark.
fn whole() -> Vec<String> {
    let usage = Usage { prompt_tokens: 100, cached_tokens: 80, completion_tokens: 2 };
    vec![
        answer().chunk("one").to_string(),
        answer().chunk(" two").to_string(),
        answer().last_chunk("stop", &usage).to_string(),
        DONE.to_owned(),
    ]
}

/// Guards against a request that lacks what the caller asked for, and against an answer without its usage.
#[test]
fn whole_answer_is_shown_with_its_usage() {
    let vm = Fake::start(Prepared::Stream { data: whole(), aborted: false });
    let ran = vm.ask(&["--key", "key-1", "--class", "live", "--max-tokens", "9"]);
    assert_eq!(ran.status, 0, "{ran:?}");
    assert!(ran.out.starts_with("one two\n"), "{}", ran.out);
    let usage = "request req-1: finish stop, prompt tokens 100 (80 cached), completion tokens 2";
    assert!(ran.out.contains(usage), "{}", ran.out);
    let call = vm.call();
    assert_eq!(call.path, "/v1/chat/completions");
    assert_eq!(call.header("authorization").as_deref(), Some("Bearer key-1"));
    assert_eq!(call.header("x-lavenderwood-class").as_deref(), Some("live"));
    let expected = json!({ "model": "m", "stream": true, "max_tokens": 9,
        "messages": [{ "role": "user", "content": "p" }] });
    assert_eq!(call.json::<Value>().expect("JSON"), expected);
}

/// Guards against a part of an answer that is reported as the whole.
#[test]
fn incomplete_answers_have_their_exit_status() {
    let failure = Failure::new(ResultCode::StreamBroken, "no engine could go on").body();
    let with = |change: fn(&mut Vec<String>)| {
        let mut data = whole();
        change(&mut data);
        data
    };
    let in_stream = vec![answer().chunk("one").to_string(), failure.to_string()];
    let cases = [
        ("whole", with(|_| {}), false, 0, ""),
        ("whole, then aborted", with(|_| {}), true, 0, ""),
        ("no end mark", with(|data| drop(data.pop())), false, 5, "end mark"),
        ("end mark only", with(|data| drop(data.drain(..3))), false, 5, "finish reason"),
        ("aborted", with(|data| data.truncate(2)), true, 5, "not complete"),
        ("error in the stream", in_stream, false, 5, "stream_broken (4001)"),
        ("not JSON", vec!["{".to_owned()], false, 5, "not complete"),
        ("nothing", Vec::new(), false, 5, "end mark"),
    ];
    for (name, data, aborted, exit, message) in cases {
        let vm = Fake::start(Prepared::Stream { data, aborted });
        let ran = vm.ask(&["--key", "k"]);
        assert_eq!(ran.status, exit, "{name}: {ran:?}");
        assert!(ran.err.contains(message), "{name}: {ran:?}");
        let json = vm.ask(&["--key", "k", "--json"]);
        let report: Value = serde_json::from_str(&json.out).expect("JSON");
        assert_eq!((json.status, report["complete"] == json!(true)), (exit, exit == 0), "{name}");
    }
}

/// Guards against a refusal that hides its code or whether anything ran.
#[test]
fn refusal_is_shown() {
    let body = Failure::new(ResultCode::Overloaded, "no engine is free in time").body();
    let vm = Fake::start(Prepared::Json(503, body));
    let ran = vm.ask(&["--key", "k"]);
    assert_eq!((ran.status, ran.out.as_str()), (1, ""), "{ran:?}");
    assert!(ran.err.contains("overloaded (3000): no engine is free in time [ran: no]"), "{ran:?}");
}
