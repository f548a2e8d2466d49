//! Guards against callers with invalid or slow requests that get a wrong code or no answer, and against engines that go
//! on with the work of callers that have disconnected.

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

/// Key of a workspace that may use the model `other` only.
const LIMITED_KEY: &str = "key-of-a-limited-workspace";
/// Key of a workspace with a limit of 1 request/s.
const RATE_LIMITED_KEY: &str = "key-of-a-workspace-with-a-rate";
/// Longest time until a refusal. It is well above the body timeout of 300 ms; a caller whose body is left unread waits
/// far longer.
const CASE_TIME_MAX: Duration = Duration::from_secs(5);
const POST_CHAT: &str = "POST /v1/chat/completions HTTP/1.1";
const POST_TEXT: &str = "POST /v1/completions HTTP/1.1";
const POST_BOOKING: &str = "POST /v1/services/desk/bookings HTTP/1.1";
/// Body of a completion that is accepted.
const VALID: &str = r#"{"model":"m","prompt":"hello","max_tokens":2}"#;

/// Starts a VM with small limits and short body timeouts, and adds two workspaces and a model that no engine serves.
async fn start_fleet(name: &str, engine: engine::Options) -> Fleet {
    let settings =
        "limits:\n  body_max: 64KiB\n  headers_max: 32\ntimeouts:\n  body: 300ms\n".to_owned();
    let fleet = Fleet::start(name, Options { engine, settings, ..Options::default() }).await;
    let digest = lw_config::document::key_digest;
    let patch = json!({
        "workspaces": {
            "limited": { "key_digests": [digest(LIMITED_KEY)], "allowed": ["other"] },
            "slow": { "key_digests": [digest(RATE_LIMITED_KEY)], "requests_per_second": 1 },
        },
        "models": { "m": { "max_prompt_tokens": 5000 }, "other": { "version": "1", "role": "none" } },
    });
    let (status, body) = fleet.apply_patch(0, 1, &patch).await;
    assert_eq!(status, 200, "{body}");
    fleet.wait_for_version(0, 2).await;
    fleet
}

/// Checks the parts of a refusal: status, code and number, message, request id, and `Retry-After` exactly if its code
/// may be retried.
fn assert_refused(name: &str, reply: &Reply, code: ResultCode) {
    let error = &reply.json()["error"];
    let actual =
        (reply.status, reply.error_number(), error["code"].as_str(), error["ran"].as_str());
    let ran = code.executed().to_string();
    let expected =
        (code.http_status(), code.number().into(), Some(code.name()), Some(ran.as_str()));
    assert_eq!(actual, expected, "{name}: {reply:?}");
    assert!(!error["message"].as_str().unwrap_or_default().is_empty(), "{name}: no message");
    assert!(reply.header("x-request-id").is_some(), "{name}: {reply:?}");
    let secs: Option<u64> = reply.header("retry-after").and_then(|secs| secs.parse().ok());
    assert_eq!(secs.is_some_and(|secs| secs > 0), code.may_retry(), "{name}: {reply:?}");
}

/// Requests that must be refused: what is wrong with each, its bytes, and the code of the refusal.
fn refused_requests() -> Vec<(&'static str, Vec<u8>, ResultCode)> {
    use ResultCode as C;
    let text =
        |headers: &[&str], body: &str| raw::request(POST_TEXT, KEY, headers, body.as_bytes());
    let chat = |body: &str| raw::request(POST_CHAT, KEY, &[], body.as_bytes());
    let post = |line: &str, key: &str| raw::request(line, key, &[], VALID.as_bytes());
    // Larger than the buffers of both sockets, so that the caller is still sending when the request is refused.
    let large = "x".repeat(16 << 20);
    let mut chunked =
        raw::request_head(POST_TEXT, KEY, &["transfer-encoding: chunked"]).into_bytes();
    for chunk in large.as_bytes().chunks(1 << 16) {
        chunked.extend(format!("{:x}\r\n", chunk.len()).bytes().chain(chunk.iter().copied()));
        chunked.extend(b"\r\n");
    }
    chunked.extend(b"0\r\n\r\n");
    let long = json!({ "model": "m", "prompt": "x".repeat(30_000) }).to_string();
    let long_key = format!("idempotency-key: {}", "k".repeat(256));
    let incomplete = raw::request_head(POST_TEXT, KEY, &["content-length: 1000"]) + VALID;
    vec![
        ("malformed JSON", text(&[], r#"{"model":"#), C::MalformedBody),
        ("empty body", text(&[], ""), C::MalformedBody),
        ("deep nesting", text(&[], &"[".repeat(50_000)), C::MalformedBody),
        (
            "invalid UTF-8",
            raw::request(POST_TEXT, KEY, &[], b"{\"model\":\"\xff\"}"),
            C::MalformedBody,
        ),
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
            "negative number of tokens",
            text(&[], r#"{"model":"m","prompt":"a","max_tokens":-1}"#),
            C::InvalidField,
        ),
        (
            "stream a string",
            text(&[], r#"{"model":"m","prompt":"a","stream":"yes"}"#),
            C::InvalidField,
        ),
        ("unknown class", text(&["x-lavenderwood-class: urgent"], VALID), C::InvalidField),
        ("class not ASCII", text(&["x-lavenderwood-class: l\u{ef}ve"], VALID), C::InvalidField),
        ("deadline 0", text(&["x-lavenderwood-deadline-ms: 0"], VALID), C::InvalidField),
        ("deadline with unit", text(&["x-lavenderwood-deadline-ms: 10s"], VALID), C::InvalidField),
        (
            "deadline above the maximum",
            text(&["x-lavenderwood-deadline-ms: 600001"], VALID),
            C::InvalidField,
        ),
        ("no key", post(POST_TEXT, ""), C::UnknownKey),
        ("unknown key", post(POST_TEXT, "no-such-key"), C::UnknownKey),
        (
            "unknown key, large body",
            raw::request(POST_TEXT, "no", &[], large.as_bytes()),
            C::UnknownKey,
        ),
        ("service, unknown key", post(POST_BOOKING, "no-such-key"), C::UnknownKey),
        ("model not allowed", post(POST_TEXT, LIMITED_KEY), C::NotAllowed),
        ("service not allowed", post(POST_BOOKING, LIMITED_KEY), C::NotAllowed),
        ("unknown model", text(&[], r#"{"model":"x","prompt":"a"}"#), C::UnknownModel),
        ("unknown adapter", text(&[], r#"{"model":"m:x","prompt":"a"}"#), C::UnknownAdapter),
        ("unknown service", post("POST /v1/services/x/a HTTP/1.1", KEY), C::UnknownService),
        ("no service name", post("POST /v1/services/ HTTP/1.1", KEY), C::UnknownService),
        ("unknown path", post("POST /v1/x HTTP/1.1", KEY), C::UnknownPath),
        ("unknown method", post("PUT /v1/completions HTTP/1.1", KEY), C::UnknownPath),
        ("prompt too long", text(&[], &long), C::PromptTooLong),
        ("large body", text(&[], &large), C::BodyTooLarge),
        ("large body, length not stated", chunked, C::BodyTooLarge),
        (
            "service, large body",
            raw::request(POST_BOOKING, KEY, &[], large.as_bytes()),
            C::BodyTooLarge,
        ),
        ("body not sent", incomplete.clone().into_bytes(), C::BodyTimeout),
        (
            "service, body not sent",
            incomplete.replace("/v1/completions", "/v1/services/desk/a").into_bytes(),
            C::BodyTimeout,
        ),
        ("booking without key", post(POST_BOOKING, KEY), C::KeyMissing),
        (
            "long idempotency key",
            raw::request(POST_BOOKING, KEY, &[&long_key], b"{}"),
            C::InvalidField,
        ),
    ]
}

#[tokio::test]
async fn invalid_requests_get_their_code_and_reach_no_upstream() {
    let fleet = start_fleet("callers", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    for (name, bytes, code) in refused_requests() {
        let started = Instant::now();
        assert_refused(name, &raw::send(addr, &bytes).await, code);
        assert!(started.elapsed() < CASE_TIME_MAX, "{name}: {:?}", started.elapsed());
    }
    for engine in &fleet.engines {
        assert!(
            fleet.standin_log::<LogEntry>(engine.address()).await.is_empty(),
            "an engine received a request"
        );
    }
    assert!(fleet.service_runs().await.is_empty(), "the service received a request");
    let reply = raw::send(addr, &raw::request(POST_TEXT, KEY, &[], VALID.as_bytes())).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[tokio::test]
async fn malformed_request_heads_are_refused_by_the_http_library() {
    let fleet = start_fleet("heads", engine::Options::default()).await;
    let many = (0..40).fold(String::new(), |mut lines, i| {
        let _ = write!(lines, "x-{i}: 1\r\n");
        lines
    });
    let large = format!("x-large: {}\r\n", "x".repeat(1 << 20));
    let cases: [(&str, String, u16); 5] = [
        ("too many headers", format!("GET /v1/models HTTP/1.1\r\n{many}\r\n"), 431),
        ("very large header", format!("GET /v1/models HTTP/1.1\r\n{large}\r\n"), 431),
        ("not HTTP", "what is this\r\n\r\n".to_owned(), 400),
        ("length not a number", raw::request_head(POST_TEXT, KEY, &["content-length: many"]), 400),
        (
            "two lengths",
            raw::request_head(POST_TEXT, KEY, &["content-length: 1", "content-length: 2"]),
            400,
        ),
    ];
    for (name, bytes, status) in cases {
        let reply = raw::send(fleet.vms[0].callers, bytes.as_bytes()).await;
        assert_eq!(reply.status, status, "{name}: {}", reply.head);
    }
}

/// Guards against a body timeout that each received byte restarts: a body sent byte by byte would then never time out.
#[tokio::test]
async fn body_sent_byte_by_byte_is_refused_after_the_body_timeout() {
    let fleet = start_fleet("trickle", engine::Options::default()).await;
    let started = Instant::now();
    let mut stream = raw::connect(fleet.vms[0].callers).await;
    let head = raw::request_head(POST_TEXT, KEY, &["content-length: 1000"]);
    stream.write_all(head.as_bytes()).await.expect("head");
    let (mut reader, mut writer) = stream.split();
    let send_bytes = async {
        while writer.write_all(b" ").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let mut status_line = [0; 12];
    tokio::select! {
        read = reader.read_exact(&mut status_line) => assert!(read.is_ok(), "{read:?}"),
        () = send_bytes => {}
    }
    assert_eq!(&status_line, b"HTTP/1.1 408");
    assert!(started.elapsed() >= Duration::from_millis(300), "{:?}", started.elapsed());
}

#[tokio::test]
async fn retryable_refusals_have_a_retry_after_header() {
    let fleet = start_fleet("retry", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    let completion = raw::request(POST_TEXT, KEY, &[], VALID.as_bytes());
    let booking = raw::request(POST_BOOKING, KEY, &["idempotency-key: a"], b"{}");
    let rate_limited = raw::request("GET /v1/services/desk/a HTTP/1.1", RATE_LIMITED_KEY, &[], b"");
    let mut reply = Reply::default();
    for _ in 0..100 {
        reply = raw::send(addr, &rate_limited).await;
        if reply.status != 200 {
            break;
        }
    }
    assert_refused("workspace limit", &reply, ResultCode::WorkspaceLimit);

    let patch = json!({ "upstreams": {
        "engine-0": null, "engine-1": null, "service-0": { "address": "127.0.0.1:1" },
    } });
    assert_eq!(fleet.apply_patch(0, 2, &patch).await.0, 200);
    fleet.wait_for_version(0, 3).await;
    assert_refused("no engine", &raw::send(addr, &completion).await, ResultCode::NoUpstream);
    assert_refused("service unreachable", &raw::send(addr, &booking).await, ResultCode::NotSent);

    let mut down = platform::Faults::default();
    down.http.unavailable = true;
    fleet.set_faults(fleet.platform.address(), &down).await;
    let booking = raw::request(POST_BOOKING, KEY, &["idempotency-key: b"], b"{}");
    assert_refused("store down", &raw::send(addr, &booking).await, ResultCode::ClaimUnavailable);
}

/// Starts a service that answers each connection with the same bytes.
async fn start_fixed_answer_service(bytes: &'static [u8]) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("address");
    let addr = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4096]).await;
                let _ = stream.write_all(bytes).await;
                let _ = stream.shutdown().await;
                // Reads until the peer closes, as closing with unread bytes would reset the connection.
                while stream.read(&mut [0; 4096]).await.is_ok_and(|read| read > 0) {}
            });
        }
    });
    addr
}

/// Guards against error answers of a service that lose their `Retry-After` header or come without a request id.
#[tokio::test]
async fn service_errors_are_forwarded_with_the_request_id() {
    let fleet = start_fleet("service-errors", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    let book =
        |key: &str| raw::request(POST_BOOKING, KEY, &[&format!("idempotency-key: {key}")], b"{}");
    let faults = service::Faults { lose_replies: 1, ..service::Faults::default() };
    fleet.set_faults(fleet.services[0].address(), &faults).await;
    assert_refused("reply lost", &raw::send(addr, &book("a")).await, ResultCode::OutcomeUnknown);

    let busy = start_fixed_answer_service(
        b"HTTP/1.1 503 Busy\r\nretry-after: 7\r\ncontent-type: text/plain\r\n\
          content-length: 4\r\nconnection: close\r\n\r\nbusy",
    )
    .await;
    let patch = json!({ "upstreams": { "service-0": { "address": busy.to_string() } } });
    assert_eq!(fleet.apply_patch(0, 2, &patch).await.0, 200);
    fleet.wait_for_version(0, 3).await;
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
async fn health_readiness_and_models_follow_the_state_of_the_vm() {
    let mut fleet = start_fleet("health", engine::Options::default()).await;
    let addr = fleet.vms[0].callers;
    let get = async |path: &str| {
        let head = raw::request_head(&format!("GET {path} HTTP/1.1"), KEY, &[]);
        let reply = raw::send(addr, head.as_bytes()).await;
        assert!(reply.status == 0 || reply.header("x-request-id").is_some(), "{reply:?}");
        reply
    };
    assert_eq!((get("/healthz").await.status, get("/readyz").await.status), (200, 200));
    let models = get("/v1/models").await;
    let names: Vec<_> =
        models.json()["data"].as_array().into_iter().flatten().map(|m| m["id"].clone()).collect();
    assert_eq!((models.status, names), (200, vec![json!("m"), json!("other")]));
    let head = raw::request_head("GET /v1/models HTTP/1.1", LIMITED_KEY, &[]);
    let data = raw::send(addr, head.as_bytes()).await.json()["data"].clone();
    assert_eq!((data.as_array().map(Vec::len), &data[0]["id"]), (Some(1), &json!("other")));

    let mut down = platform::Faults::default();
    down.http.unavailable = true;
    fleet.set_faults(fleet.platform.address(), &down).await;
    fleet.vms[0].kill();
    fleet.vms[0].spawn();
    fleet.wait_until("the VM answers", async || fleet.status(0).await.is_some()).await;
    assert_eq!((get("/healthz").await.status, get("/readyz").await.status), (200, 503));
    assert_refused("no configuration", &get("/v1/models").await, ResultCode::NotReady);

    fleet.set_faults(fleet.platform.address(), &platform::Faults::default()).await;
    fleet.wait_for_version(0, 2).await;
    assert_eq!(get("/readyz").await.status, 200);
    let drain = fleet.call_operator(0, http::Method::POST, "/op/drain", &Value::Null).await;
    assert_eq!(drain.0, 200);
    // The load balancer follows the readiness with a delay, and until then requests still arrive and must be served.
    assert_eq!((get("/readyz").await.status, get("/healthz").await.status), (503, 200));
    assert_eq!(get("/v1/models").await.status, 200);
}

#[tokio::test]
async fn non_streamed_answers_equal_streamed_ones_and_count_cached_tokens() {
    let fleet = start_fleet("non-streamed", engine::Options::default()).await;
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
        let mut request = async |stream: bool| {
            body["stream"] = json!(stream);
            let line = format!("POST {path} HTTP/1.0");
            raw::send(addr, &raw::request(&line, KEY, &[], body.to_string().as_bytes())).await
        };
        let (streamed, collected) = (request(true).await, request(false).await);
        let events = streamed.events();
        assert_eq!(events.last(), Some(&"[DONE]"), "{streamed:?}");
        let chunks: Vec<Value> =
            events.iter().filter_map(|e| serde_json::from_str(e).ok()).collect();
        let text: String =
            chunks.iter().filter_map(|c| c.pointer(stream_field)?.as_str()).collect();
        let answer = collected.json();
        assert_eq!(
            answer.pointer(field).and_then(Value::as_str),
            Some(text.as_str()),
            "{collected:?}"
        );
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
async fn disconnecting_caller_cancels_the_engine_work() {
    let slow_engine =
        engine::Options { token_time: Duration::from_millis(20), ..Default::default() };
    let fleet = start_fleet("leaves", slow_engine).await;
    for (round, stream) in [true, false].into_iter().enumerate() {
        let body = json!({ "model": "m", "prompt": "a", "max_tokens": 1000, "stream": stream });
        let mut caller = raw::connect(fleet.vms[0].callers).await;
        let bytes = raw::request(POST_TEXT, KEY, &[], body.to_string().as_bytes());
        caller.write_all(&bytes).await.expect("request");
        if stream {
            caller.read_u8().await.expect("the answer begins");
        }
        let count = async |outcome: &str| {
            let mut found = 0;
            for engine in &fleet.engines {
                let log: Vec<LogEntry> = fleet.standin_log(engine.address()).await;
                found += log.iter().filter(|entry| entry.outcome == outcome).count();
            }
            found
        };
        fleet.wait_until("the engine runs the request", async || count("running").await == 1).await;
        drop(caller);
        let disconnected_at = Instant::now();
        fleet
            .wait_until("the request is cancelled", async || count("cancelled").await == round + 1)
            .await;
        assert!(
            disconnected_at.elapsed() < Duration::from_secs(2),
            "stream {stream}: {:?}",
            disconnected_at.elapsed()
        );
        let in_flight = fleet.status(0).await.and_then(|status| status["in_flight"].as_u64());
        assert_eq!(in_flight, Some(0), "stream {stream}");
    }
}
