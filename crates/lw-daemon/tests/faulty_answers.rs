//! Guards against answers of faulty services and engines that make the process grow, or that appear complete to callers
//! although they broke off. The upstreams are plain sockets, since no HTTP library sends such answers.

use std::{net::SocketAddr, time::Duration};

use lw_standin::loopback::free_address;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

mod common;

use common::{Fleet, KEY, Options, raw};

/// Largest growth of the daemon's memory while all requests get bytes without end: half of the memory of a node.
const GROWTH_MAX_KIB: u64 = 32 << 10;
const CONCURRENT_REQUESTS: usize = 20;
/// Longest time for which an endless answer is sent; a caller's deadline is shorter.
const ENDLESS_TIME: Duration = Duration::from_secs(3);

/// Longest time until a caller whose deadline is a second has the end of its answer.
const ANSWER_TIME_MAX: Duration = Duration::from_secs(10);

const SERVICE_ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 12\r\n\r\n{\"ok\": true}";

/// What an upstream sends on each connection after it has read something, before it closes the connection.
#[derive(Clone, Copy)]
enum Answer {
    /// These bytes.
    Bytes(&'static [u8]),
    /// The first bytes, then the second ones again and again.
    Endless(&'static [u8], &'static [u8]),
}

/// Starts an upstream that answers every request so, and returns its address.
async fn start_upstream(answer: Answer) -> SocketAddr {
    let addr = free_address();
    let listener = TcpListener::bind(addr).await.expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                if !matches!(stream.read(&mut buf).await, Ok(1..)) {
                    return;
                }
                match answer {
                    Answer::Bytes(bytes) => drop(stream.write_all(bytes).await),
                    Answer::Endless(first, repeated) => {
                        let repeated = repeated.repeat((16 << 10) / repeated.len());
                        let sending = async {
                            stream.write_all(first).await?;
                            loop {
                                stream.write_all(&repeated).await?;
                            }
                        };
                        let sent: Result<std::io::Result<()>, _> =
                            tokio::time::timeout(ENDLESS_TIME, sending).await;
                        drop(sent);
                    }
                }
            });
        }
    });
    addr
}

/// Starts a VM without upstreams of its own.
async fn start_fleet(name: &str) -> Fleet {
    Fleet::start(name, Options { engines: 0, services: 0, ..Options::default() }).await
}

/// Replaces the only upstream of the service `desk` and of the engines.
async fn use_upstream(fleet: &Fleet, base: u64, addr: SocketAddr) {
    let patch = json!({ "upstreams": {
        "desk-0": { "service": "desk", "address": addr.to_string(), "failure_domain": "domain-0" },
        "engine-0": { "role": "assistant", "address": addr.to_string(), "failure_domain": "domain-0" },
    } });
    // The VM may be busy with the bytes of the upstream before.
    let is_applied = async || {
        fleet.apply_patch(0, base, &patch).await;
        fleet.status(0).await.is_some_and(|status| status["version"].as_u64() > Some(base))
    };
    fleet.wait_until("the patch is applied", is_applied).await;
}

fn requests(n: usize) -> [(&'static str, Vec<u8>); 3] {
    let key = format!("idempotency-key: {n}");
    let headers =
        ["content-type: application/json", "x-lavenderwood-deadline-ms: 1000", key.as_str()];
    let completion = json!({ "model": "m", "prompt": "a", "max_tokens": 3, "stream": true });
    let completion = completion.to_string();
    [
        ("lookup", raw::request("GET /v1/services/desk/slots HTTP/1.1", KEY, &headers, b"")),
        ("booking", raw::request("POST /v1/services/desk/bookings HTTP/1.1", KEY, &headers, b"{}")),
        (
            "completion",
            raw::request("POST /v1/completions HTTP/1.1", KEY, &headers, completion.as_bytes()),
        ),
    ]
}

/// Whether an answer has its stated length or its last chunk.
fn is_framed_as_complete(reply: &raw::Reply) -> bool {
    match reply.header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => reply.body.len() == length,
        None => reply.body.ends_with("0\r\n\r\n"),
    }
}

/// Guards against a success that is framed as complete although the upstream stopped within its head or body.
#[tokio::test]
async fn an_answer_that_breaks_off_at_any_byte_is_no_complete_success() {
    let fleet = start_fleet("cut-answers").await;
    for (version, cut) in (1..).zip((0..SERVICE_ANSWER.len()).step_by(7)) {
        use_upstream(&fleet, version, start_upstream(Answer::Bytes(&SERVICE_ANSWER[..cut])).await)
            .await;
        for (kind, request) in requests(cut) {
            let reply = raw::send(fleet.vms[0].callers, &request);
            let reply = tokio::time::timeout(ANSWER_TIME_MAX, reply).await;
            let reply = reply.unwrap_or_else(|_| {
                panic!("{kind} at {cut}: no answer\n{}", fleet.vms[0].log_tail())
            });
            let is_success = reply.status == 200 && is_framed_as_complete(&reply);
            let is_failed_stream = kind == "completion" && reply.body.contains("\"error\"");
            assert!(
                !is_success || is_failed_stream,
                "{kind} at {cut}: {} {}",
                reply.head,
                reply.body
            );
        }
    }
}

/// Guards against a process that keeps all bytes of an answer without end, in its head or its body.
#[tokio::test]
async fn endless_answers_use_bounded_memory() {
    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const UNFRAMED: &[u8] = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    let fleet = start_fleet("endless-answers").await;
    let vm = &fleet.vms[0];
    let before = peak_kib(vm.pid());
    let answers = [
        Answer::Endless(b"", b"\x00\x01 no answer at all "),
        Answer::Endless(b"HTTP/1.1 200 OK\r\nx-more: ", b"aaaaaaaaaaaaaaaa"),
        Answer::Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        Answer::Endless(CHUNKED, b"10\r\naaaaaaaaaaaaaaaa\r\n"),
        Answer::Endless(UNFRAMED, b"aaaaaaaaaaaaaaaa"),
    ];
    for (version, answer) in (1..).zip(answers) {
        use_upstream(&fleet, version, start_upstream(answer).await).await;
        let all =
            (0..CONCURRENT_REQUESTS).flat_map(|n| requests(1_000 * version_index(version) + n));
        let sent = all.map(|(_, request)| async move {
            // A relayed answer without end lasts until the caller leaves.
            let sent = raw::send(vm.callers, &request);
            drop(tokio::time::timeout(Duration::from_secs(2), sent).await);
        });
        futures::future::join_all(sent).await;
        println!("answer {version}: peak memory grew by {} KiB", peak_kib(vm.pid()) - before);
    }
    let growth = peak_kib(vm.pid()) - before;
    println!("peak memory grew by {growth} KiB");
    assert!(growth < GROWTH_MAX_KIB, "peak memory grew by {growth} KiB");
    assert!(fleet.status(0).await.is_some(), "the VM answers");
}

fn version_index(version: u64) -> usize {
    usize::try_from(version).expect("small")
}

/// Returns the largest memory use of a process so far, in KiB.
fn peak_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("listed");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}
