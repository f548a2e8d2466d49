//! Guards against callers that hold connections without a request, or that keep others from being accepted.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use lw_standin::engine;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

mod common;

use common::{Ask, Fleet, KEY, Options, raw};

const HEAD: Duration = Duration::from_secs(1);
/// Longest time after the timeout until the connection ends: a quarter of it between two looks, and a busy machine.
const LATE_MAX: Duration = Duration::from_secs(3);

async fn fleet(name: &str, limits: &str) -> Fleet {
    let settings = format!("timeouts:\n  head: 1s\n{limits}");
    let engine = engine::Options { token_time: Duration::from_millis(10), ..Default::default() };
    Fleet::start(name, Options { engine, settings, ..Options::default() }).await
}

async fn open(addr: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = raw::connect(addr).await;
    stream.write_all(bytes.as_bytes()).await.expect("written");
    stream
}

/// Reads to the end and returns what came and when.
async fn end(mut stream: TcpStream, since: Instant) -> (Vec<u8>, Duration) {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await.expect("the connection ends");
    (bytes, since.elapsed())
}

#[tokio::test]
async fn half_open_callers_are_ended_and_disturb_nobody() {
    let fleet = fleet("half-open", "").await;
    let addr = fleet.vms[0].callers;
    let started = Instant::now();
    // A stream that lasts three times as long as the timeout must not be taken for a silent connection.
    let long = async {
        let answer = fleet.ask(Ask::new(0, "a long reading", 300)).await;
        assert!(answer.is_done, "{answer:?}");
        assert!(started.elapsed() >= 2 * HEAD, "the stream was too short to show anything");
    };
    let silent = async {
        let heads = ["", "P", "POST /v1/completions HTTP/1.1\r\n", "GET / HTTP/1.1\r\nx-a: 1\r\n"];
        let mut sockets = Vec::new();
        for i in 0..48 {
            sockets.push(open(addr, heads[i % heads.len()]).await);
        }
        for socket in sockets {
            let (bytes, after) = end(socket, started).await;
            assert!(bytes.is_empty(), "{bytes:?}");
            assert!(after >= HEAD && after < HEAD + LATE_MAX, "ended after {after:?}");
        }
    };
    let trickle = async {
        let (mut reader, mut writer) =
            open(addr, "GET /v1/models HTTP/1.1\r\nx: ").await.into_split();
        let write = async {
            while writer.write_all(b"x").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let mut rest = Vec::new();
        tokio::join!(write, reader.read_to_end(&mut rest)).1.ok();
        assert!(started.elapsed() < HEAD + LATE_MAX, "a head that trickles in is never refused");
    };
    let others = async {
        while started.elapsed() < 2 * HEAD {
            let asked = Instant::now();
            let answer = fleet.ask(Ask::new(0, "a question", 2)).await;
            assert!(answer.is_done && asked.elapsed() < HEAD, "{:?} {answer:?}", asked.elapsed());
        }
    };
    tokio::join!(long, silent, trickle, others);
}

#[tokio::test]
async fn connection_between_two_requests_is_kept_beyond_the_time_for_heads() {
    let fleet = fleet("kept", "").await;
    let request =
        format!("GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let mut stream = open(fleet.vms[0].callers, &request).await;
    stream.read_u8().await.expect("first answer");
    tokio::time::sleep(2 * HEAD).await;
    let request = request.replace("host: a", "connection: close\r\nhost: a");
    stream.write_all(request.as_bytes()).await.expect("written");
    let reply = raw::read(&mut stream).await;
    // The rest of the first answer stands before the second one.
    assert!(reply.body.contains("HTTP/1.1 200 OK"), "{reply:?}");
}

#[tokio::test]
async fn connections_above_the_limit_are_closed_at_once_and_places_are_freed() {
    let fleet = fleet("limit", "limits:\n  connections_max: 8\n").await;
    let addr = fleet.vms[0].callers;
    let started = Instant::now();
    let mut held = Vec::new();
    for _ in 0..8 {
        held.push(open(addr, "GET").await);
    }
    let (bytes, after) = end(raw::connect(addr).await, Instant::now()).await;
    assert!(bytes.is_empty() && after < HEAD, "{bytes:?} after {after:?}");
    // Callers that leave free their places before the time for heads has passed.
    drop(held);
    fleet.wait("a place is free", async || fleet.ask(Ask::new(0, "a", 1)).await.is_done).await;
    assert!(started.elapsed() < HEAD + LATE_MAX, "{:?}", started.elapsed());
}

/// Each fault is one caller's; requests of others are answered in between, so the accept loop goes on.
#[tokio::test]
async fn no_fault_of_one_caller_stops_the_accept_loop() {
    let fleet = fleet("accept", "").await;
    let addr = fleet.vms[0].callers;
    let stream = json!({ "model": "m", "prompt": "a", "max_tokens": 500, "stream": true });
    let stream =
        raw::request("POST /v1/completions HTTP/1.1", KEY, &[], stream.to_string().as_bytes());
    let faults: [(&str, Vec<u8>, bool); 6] = [
        ("reset at once", Vec::new(), true),
        ("reset in the head", b"GET /v1".to_vec(), true),
        ("reset in the body", stream[..stream.len() - 5].to_vec(), true),
        ("reset in the stream", stream, true),
        ("binary", vec![0xff; 4096], false),
        ("TLS", vec![0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3], false),
    ];
    for (name, bytes, resets) in faults {
        let mut held = Vec::new();
        for _ in 0..8 {
            let mut socket = raw::connect(addr).await;
            socket.write_all(&bytes).await.expect("written");
            if resets {
                // Dropping with a linger time of zero sends a reset.
                socket.set_zero_linger().expect("linger");
            } else {
                held.push(socket);
            }
        }
        let asked = Instant::now();
        let answer = fleet.ask(Ask::new(0, name, 2)).await;
        assert!(answer.is_done && asked.elapsed() < HEAD, "{name}: {answer:?}");
    }
    fleet
        .wait("nothing stays in flight", async || {
            fleet.status(0).await.is_some_and(|status| status["in_flight"] == 0)
        })
        .await;
}

/// Guards against an accept loop that ends or stays without file descriptors after half-open callers took them all.
#[tokio::test]
async fn service_returns_after_callers_took_all_file_descriptors() {
    let mut fleet = fleet("files", "").await;
    fleet.vms[0].kill();
    fleet.vms[0].files_max = Some(96);
    fleet.vms[0].spawn();
    fleet.wait("the VM answers", async || fleet.status(0).await.is_some()).await;
    fleet.wait_version(0, 1).await;
    let addr = fleet.vms[0].callers;
    let mut held = Vec::new();
    for _ in 0..96 {
        held.push(raw::connect(addr).await);
    }
    fleet
        .wait("the descriptors are used up", async || {
            let log = fleet.vms[0].log();
            log.contains("cannot be watched") || log.contains("not accepted")
        })
        .await;
    let since = Instant::now();
    fleet.wait("others are served", async || fleet.ask(Ask::new(0, "a", 1)).await.is_done).await;
    assert!(since.elapsed() < HEAD + LATE_MAX, "{:?}", since.elapsed());
}
