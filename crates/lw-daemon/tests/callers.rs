//! Guards against bad, slow and leaving callers that get a wrong code, no answer, or hold work of the engines.

use std::{
    fmt::Write as _,
    time::{Duration, Instant},
};

use lw_standin::{
    engine::{self, LogEntry, answer_text, prompt_tokens},
    platform, service,
};
use lw_types::prelude::*;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

mod common;

use common::{
    Fleet, KEY, Options,
    raw::{self, Reply},
};

const LIMITED_KEY: &str = "key-of-a-limited-workspace";
const SLOW_KEY: &str = "key-of-a-workspace-with-a-rate";
/// Well above the timeout of bodies; a caller whose body is left unread waits far longer.
const ROW_TIME_MAX: Duration = Duration::from_secs(5);
const CHAT: &str = "POST /v1/chat/completions HTTP/1.1";
const TEXT: &str = "POST /v1/completions HTTP/1.1";
const BOOK: &str = "POST /v1/services/desk/bookings HTTP/1.1";
const VALID: &str = r#"{"model":"m","prompt":"hello","max_tokens":2}"#;

async fn fleet(name: &str, engine: engine::Options) -> Fleet {
    let settings =
        "limits:\n  body_max: 64KiB\n  headers_max: 32\ntimeouts:\n  body: 300ms\n".to_owned();
    let fleet = Fleet::start(name, Options { engine, settings, ..Options::default() }).await;
    let digest = lw_config::document::key_digest;
    let patch = json!({
        "workspaces": {
            "limited": { "key_digests": [digest(LIMITED_KEY)], "allowed": ["other"] },
            "slow": { "key_digests": [digest(SLOW_KEY)], "requests_per_second": 1 },
        },
        "models": { "m": { "max_prompt_tokens": 5000 }, "other": { "version": "1", "role": "none" } },
    });
    let (status, body) = fleet.apply(0, 1, &patch).await;
    assert_eq!(status, 200, "{body}");
    fleet.wait_version(0, 2).await;
    fleet
}

/// Checks what holds for every refusal: numbers, request id, and `Retry-After` exactly where a retry may help.
fn check(name: &str, reply: &Reply, code: ResultCode) {
    let error = &reply.json()["error"];
    let seen = (reply.status, reply.number(), error["code"].as_str(), error["ran"].as_str());
    let ran = code.executed().to_string();
    let wanted = (code.http_status(), code.number().into(), Some(code.name()), Some(ran.as_str()));
    assert_eq!(seen, wanted, "{name}: {reply:?}");
    assert!(!error["message"].as_str().unwrap_or_default().is_empty(), "{name}: no message");
    assert!(reply.header("x-request-id").is_some(), "{name}: {reply:?}");
    let secs: Option<u64> = reply.header("retry-after").and_then(|secs| secs.parse().ok());
    assert_eq!(secs.is_some_and(|secs| secs > 0), code.may_retry(), "{name}: {reply:?}");
}

fn cases() -> Vec<(&'static str, Vec<u8>, ResultCode)> {
    use ResultCode as C;
    let text = |headers: &[&str], body: &str| raw::request(TEXT, KEY, headers, body.as_bytes());
    let chat = |body: &str| raw::request(CHAT, KEY, &[], body.as_bytes());
    let ask = |line: &str, key: &str| raw::request(line, key, &[], VALID.as_bytes());
    // Larger than the buffers of both sockets, so that the caller still sends when it is refused.
    let large = "x".repeat(16 << 20);
    let mut chunked = raw::head(TEXT, KEY, &["transfer-encoding: chunked"]).into_bytes();
    for part in large.as_bytes().chunks(1 << 16) {
        chunked.extend(format!("{:x}\r\n", part.len()).bytes().chain(part.iter().copied()));
        chunked.extend(b"\r\n");
    }
    chunked.extend(b"0\r\n\r\n");
    let long = json!({ "model": "m", "prompt": "x".repeat(30_000) }).to_string();
    let long_key = format!("idempotency-key: {}", "k".repeat(256));
    let half = raw::head(TEXT, KEY, &["content-length: 1000"]) + VALID;
    vec![
        ("malformed JSON", text(&[], r#"{"model":"#), C::MalformedBody),
        ("empty body", text(&[], ""), C::MalformedBody),
        ("deep nesting", text(&[], &"[".repeat(50_000)), C::MalformedBody),
        ("invalid UTF-8", raw::request(TEXT, KEY, &[], b"{\"model\":\"\xff\"}"), C::MalformedBody),
        ("list for a mapping", text(&[], r#"["m",null,"hi",2,null,false]"#), C::InvalidField),
        ("no model", text(&[], r#"{"prompt":"a"}"#), C::InvalidField),
        ("model a number", text(&[], r#"{"model":1,"prompt":"a"}"#), C::InvalidField),
        ("no prompt", text(&[], r#"{"model":"m"}"#), C::InvalidField),
        ("empty prompt", text(&[], r#"{"model":"m","prompt":""}"#), C::InvalidField),
        ("prompt a list", text(&[], r#"{"model":"m","prompt":["a"]}"#), C::InvalidField),
        ("no messages", chat(VALID), C::InvalidField),
        ("no role", chat(r#"{"model":"m","messages":[{"content":"a"}]}"#), C::InvalidField),
        (
            "content a number",
            chat(r#"{"model":"m","messages":[{"role":"a","content":1}]}"#),
            C::InvalidField,
        ),
        ("no tokens", text(&[], r#"{"model":"m","prompt":"a","max_tokens":0}"#), C::InvalidField),
        (
            "less than no tokens",
            text(&[], r#"{"model":"m","prompt":"a","max_tokens":-1}"#),
            C::InvalidField,
        ),
        (
            "stream a text",
            text(&[], r#"{"model":"m","prompt":"a","stream":"yes"}"#),
            C::InvalidField,
        ),
        ("class", text(&["x-lavenderwood-class: urgent"], VALID), C::InvalidField),
        ("class not ASCII", text(&["x-lavenderwood-class: l\u{ef}ve"], VALID), C::InvalidField),
        ("no deadline", text(&["x-lavenderwood-deadline-ms: 0"], VALID), C::InvalidField),
        ("deadline with unit", text(&["x-lavenderwood-deadline-ms: 10s"], VALID), C::InvalidField),
        ("endless deadline", text(&["x-lavenderwood-deadline-ms: 600001"], VALID), C::InvalidField),
        ("no key", ask(TEXT, ""), C::UnknownKey),
        ("unknown key", ask(TEXT, "no-such-key"), C::UnknownKey),
        ("unknown key, large body", raw::request(TEXT, "no", &[], large.as_bytes()), C::UnknownKey),
        ("service, unknown key", ask(BOOK, "no-such-key"), C::UnknownKey),
        ("model not allowed", ask(TEXT, LIMITED_KEY), C::NotAllowed),
        ("service not allowed", ask(BOOK, LIMITED_KEY), C::NotAllowed),
        ("unknown model", text(&[], r#"{"model":"x","prompt":"a"}"#), C::UnknownModel),
        ("unknown adapter", text(&[], r#"{"model":"m:x","prompt":"a"}"#), C::UnknownAdapter),
        ("unknown service", ask("POST /v1/services/x/a HTTP/1.1", KEY), C::UnknownService),
        ("no service name", ask("POST /v1/services/ HTTP/1.1", KEY), C::UnknownService),
        ("unknown path", ask("POST /v1/x HTTP/1.1", KEY), C::UnknownPath),
        ("unknown method", ask("PUT /v1/completions HTTP/1.1", KEY), C::UnknownPath),
        ("prompt too long", text(&[], &long), C::PromptTooLong),
        ("large body", text(&[], &large), C::BodyTooLarge),
        ("large body, length not stated", chunked, C::BodyTooLarge),
        ("service, large body", raw::request(BOOK, KEY, &[], large.as_bytes()), C::BodyTooLarge),
        ("body not sent", half.clone().into_bytes(), C::BodyTimeout),
        (
            "service, body not sent",
            half.replace("/v1/completions", "/v1/services/desk/a").into_bytes(),
            C::BodyTimeout,
        ),
        ("booking without key", ask(BOOK, KEY), C::KeyMissing),
        ("long idempotency key", raw::request(BOOK, KEY, &[&long_key], b"{}"), C::InvalidField),
    ]
}

#[tokio::test]
async fn bad_requests_get_their_code_and_do_no_work() {
    let fleet = fleet("callers", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    for (name, bytes, code) in cases() {
        let started = Instant::now();
        check(name, &raw::send(addr, &bytes).await, code);
        assert!(started.elapsed() < ROW_TIME_MAX, "{name}: {:?}", started.elapsed());
    }
    for engine in &fleet.engines {
        assert!(fleet.log_of::<LogEntry>(engine.address()).await.is_empty(), "an engine did work");
    }
    assert!(fleet.runs().await.is_empty(), "the service did work");
    let reply = raw::send(addr, &raw::request(TEXT, KEY, &[], VALID.as_bytes())).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[tokio::test]
async fn faulty_heads_are_answered_by_the_http_library() {
    let fleet = fleet("heads", engine::Options::default()).await;
    let many = (0..40).fold(String::new(), |mut lines, i| {
        let _ = write!(lines, "x-{i}: 1\r\n");
        lines
    });
    let large = format!("x-large: {}\r\n", "x".repeat(1 << 20));
    let cases: [(&str, String, u16); 5] = [
        ("too many headers", format!("GET /v1/models HTTP/1.1\r\n{many}\r\n"), 431),
        ("very large header", format!("GET /v1/models HTTP/1.1\r\n{large}\r\n"), 431),
        ("no HTTP", "what is this\r\n\r\n".to_owned(), 400),
        ("length not a number", raw::head(TEXT, KEY, &["content-length: many"]), 400),
        ("two lengths", raw::head(TEXT, KEY, &["content-length: 1", "content-length: 2"]), 400),
    ];
    for (name, bytes, status) in cases {
        let reply = raw::send(fleet.vms[0].callers, bytes.as_bytes()).await;
        assert_eq!(reply.status, status, "{name}: {}", reply.head);
    }
}

/// A body that trickles in is as slow as one that stops: guards against a timeout that each byte restarts.
#[tokio::test]
async fn trickled_body_is_refused_after_the_configured_time() {
    let fleet = fleet("trickle", engine::Options::default()).await;
    let started = Instant::now();
    let mut stream = raw::connect(fleet.vms[0].callers).await;
    let head = raw::head(TEXT, KEY, &["content-length: 1000"]);
    stream.write_all(head.as_bytes()).await.expect("head");
    let (mut reader, mut writer) = stream.split();
    let trickle = async {
        while writer.write_all(b" ").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let mut first = [0; 12];
    tokio::select! {
        read = reader.read_exact(&mut first) => assert!(read.is_ok(), "{read:?}"),
        () = trickle => {}
    }
    assert_eq!(&first, b"HTTP/1.1 408");
    assert!(started.elapsed() >= Duration::from_millis(300), "{:?}", started.elapsed());
}

#[tokio::test]
async fn refusals_that_may_be_retried_say_when() {
    let fleet = fleet("retry", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    let ask = raw::request(TEXT, KEY, &[], VALID.as_bytes());
    let book = raw::request(BOOK, KEY, &["idempotency-key: a"], b"{}");
    let slow = raw::request("GET /v1/services/desk/a HTTP/1.1", SLOW_KEY, &[], b"");
    let mut reply = Reply::default();
    for _ in 0..100 {
        reply = raw::send(addr, &slow).await;
        if reply.status != 200 {
            break;
        }
    }
    check("workspace limit", &reply, ResultCode::WorkspaceLimit);

    let gone = json!({ "upstreams": {
        "engine-0": null, "engine-1": null, "service-0": { "address": "127.0.0.1:1" },
    } });
    assert_eq!(fleet.apply(0, 2, &gone).await.0, 200);
    fleet.wait_version(0, 3).await;
    check("no engine", &raw::send(addr, &ask).await, ResultCode::NoUpstream);
    check("service unreachable", &raw::send(addr, &book).await, ResultCode::NotSent);

    let mut down = platform::Faults::default();
    down.http.unavailable = true;
    fleet.set_faults(fleet.platform.address(), &down).await;
    let book = raw::request(BOOK, KEY, &["idempotency-key: b"], b"{}");
    check("store down", &raw::send(addr, &book).await, ResultCode::ClaimUnavailable);
}

/// A service that answers each connection with the same bytes.
async fn answering(bytes: &'static [u8]) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("address");
    let addr = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4096]).await;
                let _ = stream.write_all(bytes).await;
                let _ = stream.shutdown().await;
                // Waits for the end of the other side, so that unread bytes reset nothing.
                while stream.read(&mut [0; 4096]).await.is_ok_and(|read| read > 0) {}
            });
        }
    });
    addr
}

/// Guards against errors of a service that come without request id, or without the time that the service stated.
#[tokio::test]
async fn error_answers_of_services_are_passed_on_with_the_request_id() {
    let fleet = fleet("service-errors", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    let book = |key: &str| raw::request(BOOK, KEY, &[&format!("idempotency-key: {key}")], b"{}");
    let lost = service::Faults { lose_replies: 1, ..service::Faults::default() };
    fleet.set_faults(fleet.services[0].address(), &lost).await;
    check("reply lost", &raw::send(addr, &book("a")).await, ResultCode::OutcomeUnknown);

    let busy = answering(
        b"HTTP/1.1 503 Busy\r\nretry-after: 7\r\ncontent-type: text/plain\r\n\
          content-length: 4\r\nconnection: close\r\n\r\nbusy",
    )
    .await;
    let patch = json!({ "upstreams": { "service-0": { "address": busy.to_string() } } });
    assert_eq!(fleet.apply(0, 2, &patch).await.0, 200);
    fleet.wait_version(0, 3).await;
    let get = raw::request("GET /v1/services/desk/a HTTP/1.1", KEY, &[], b"");
    for request in [get, book("b")] {
        let reply = raw::send(addr, &request).await;
        assert_eq!((reply.status, reply.body.as_str()), (503, "busy"), "{reply:?}");
        assert_eq!(reply.header("retry-after"), Some("7"), "{reply:?}");
        assert_eq!(reply.header("content-type"), Some("text/plain"), "{reply:?}");
        assert!(reply.header("x-request-id").is_some(), "{reply:?}");
    }
}

#[tokio::test]
async fn health_and_models_follow_the_state_of_the_vm() {
    let mut fleet = fleet("health", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    let get = async |path: &str| {
        let head = raw::head(&format!("GET {path} HTTP/1.1"), KEY, &[]);
        let reply = raw::send(addr, head.as_bytes()).await;
        assert!(reply.status == 0 || reply.header("x-request-id").is_some(), "{reply:?}");
        reply
    };
    assert_eq!((get("/healthz").await.status, get("/readyz").await.status), (200, 200));
    let models = get("/v1/models").await;
    let names: Vec<_> =
        models.json()["data"].as_array().into_iter().flatten().map(|m| m["id"].clone()).collect();
    assert_eq!((models.status, names), (200, vec![json!("m"), json!("other")]));
    let head = raw::head("GET /v1/models HTTP/1.1", LIMITED_KEY, &[]);
    let data = raw::send(addr, head.as_bytes()).await.json()["data"].clone();
    assert_eq!((data.as_array().map(Vec::len), &data[0]["id"]), (Some(1), &json!("other")));

    let mut down = platform::Faults::default();
    down.http.unavailable = true;
    fleet.set_faults(fleet.platform.address(), &down).await;
    fleet.vms[0].kill();
    fleet.vms[0].spawn();
    fleet.wait("the VM answers", async || fleet.status(0).await.is_some()).await;
    assert_eq!((get("/healthz").await.status, get("/readyz").await.status), (200, 503));
    check("no configuration", &get("/v1/models").await, ResultCode::NotReady);

    fleet.set_faults(fleet.platform.address(), &platform::Faults::default()).await;
    fleet.wait_version(0, 2).await;
    assert_eq!(get("/readyz").await.status, 200);
    let drain = fleet.operator(0, http::Method::POST, "/op/drain", &Value::Null).await;
    assert_eq!(drain.0, 200);
    // The balancer follows the readiness with a delay, in which health and requests are still served.
    assert_eq!((get("/readyz").await.status, get("/healthz").await.status), (503, 200));
    assert_eq!(get("/v1/models").await.status, 200);
}

#[tokio::test]
async fn whole_answers_equal_streamed_ones_and_count_cached_tokens() {
    let fleet = fleet("whole", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    let prefix = "The station's programme. ".repeat(400);
    for (path, field, stream_field) in [
        ("/v1/completions", "/choices/0/text", "/choices/0/text"),
        ("/v1/chat/completions", "/choices/0/message/content", "/choices/0/delta/content"),
    ] {
        let mut body = json!({ "model": "m", "max_tokens": 12 });
        let prompt = if path.contains("chat") {
            body["messages"] = json!([{ "role": "user", "content": prefix }]);
            format!("user: {prefix}\n")
        } else {
            body["prompt"] = json!(prefix);
            prefix.clone()
        };
        let mut ask = async |stream: bool| {
            body["stream"] = json!(stream);
            let line = format!("POST {path} HTTP/1.0");
            raw::send(addr, &raw::request(&line, KEY, &[], body.to_string().as_bytes())).await
        };
        let (streamed, whole) = (ask(true).await, ask(false).await);
        let events = streamed.events();
        assert_eq!(events.last(), Some(&"[DONE]"), "{streamed:?}");
        let chunks: Vec<Value> =
            events.iter().filter_map(|e| serde_json::from_str(e).ok()).collect();
        let text: String =
            chunks.iter().filter_map(|c| c.pointer(stream_field)?.as_str()).collect();
        let answer = whole.json();
        assert_eq!(answer.pointer(field).and_then(Value::as_str), Some(text.as_str()), "{whole:?}");
        assert_eq!(text, answer_text(&prompt, 12), "{path}");
        let last = &chunks[chunks.len() - 1];
        assert_eq!(last["choices"][0]["finish_reason"], answer["choices"][0]["finish_reason"]);
        let (first, second) = (&last["usage"], &answer["usage"]);
        let tokens = prompt_tokens(&prompt);
        let counts = |usage: &Value| {
            ["prompt_tokens", "completion_tokens", "total_tokens"].map(|key| usage[key].as_u64())
        };
        assert_eq!(counts(first), [tokens, 12, tokens + 12].map(Some), "{first}");
        assert_eq!(counts(second), counts(first));
        let cached = |usage: &Value| usage["prompt_tokens_details"]["cached_tokens"].as_u64();
        assert_eq!(cached(first), Some(0), "{path}");
        assert!(cached(second) >= Some(2048), "{path}: {second}");
    }
}

#[tokio::test]
async fn caller_that_leaves_cancels_the_work_at_once() {
    let slow = engine::Options { token_time: Duration::from_millis(20), ..Default::default() };
    let fleet = fleet("leaves", slow).await;
    for (round, stream) in [true, false].into_iter().enumerate() {
        let body = json!({ "model": "m", "prompt": "a", "max_tokens": 1000, "stream": stream });
        let mut caller = raw::connect(fleet.vms[0].callers).await;
        let bytes = raw::request(TEXT, KEY, &[], body.to_string().as_bytes());
        caller.write_all(&bytes).await.expect("request");
        if stream {
            caller.read_u8().await.expect("the answer begins");
        }
        let count = async |outcome: &str| {
            let mut found = 0;
            for engine in &fleet.engines {
                let log: Vec<LogEntry> = fleet.log_of(engine.address()).await;
                found += log.iter().filter(|entry| entry.outcome == outcome).count();
            }
            found
        };
        fleet.wait("the engine works", async || count("running").await == 1).await;
        drop(caller);
        let left = Instant::now();
        fleet.wait("cancelled", async || count("cancelled").await == round + 1).await;
        assert!(left.elapsed() < Duration::from_secs(2), "stream {stream}: {:?}", left.elapsed());
        let in_flight = fleet.status(0).await.and_then(|status| status["in_flight"].as_u64());
        assert_eq!(in_flight, Some(0), "stream {stream}");
    }
}
