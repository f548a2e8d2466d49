//! Guards against connections without a request that stay open, and against callers that keep others from being
//! accepted.

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

use common::{CompletionRequest, Fleet, KEY, Options, raw};

/// Configured time limit of request heads.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time from the timeout to the end of the connection. Connections are checked every quarter of the timeout;
/// the rest is for a busy machine.
const CLOSE_DELAY_MAX: Duration = Duration::from_secs(3);

/// Starts a VM with [`HEAD_TIMEOUT`] and these lines of settings.
async fn start_fleet(name: &str, limits: &str) -> Fleet {
    let settings = format!("timeouts:\n  head: 1s\n{limits}");
    let engine = engine::Options { token_time: Duration::from_millis(10), ..Default::default() };
    Fleet::start(name, Options { engine, settings, ..Options::default() }).await
}

async fn connect_and_send(addr: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = raw::connect(addr).await;
    stream.write_all(bytes.as_bytes()).await.expect("written");
    stream
}

/// Reads to the end of the connection and returns the bytes and the time since `since`.
async fn read_to_end(mut stream: TcpStream, since: Instant) -> (Vec<u8>, Duration) {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await.expect("the connection ends");
    (bytes, since.elapsed())
}

#[tokio::test]
async fn connections_without_a_complete_head_are_closed_and_affect_no_other_caller() {
    let fleet = start_fleet("half-open", "").await;
    let addr = fleet.vms[0].callers;
    let started = Instant::now();
    // A stream that lasts three times as long as the head timeout must not be closed.
    let long_stream = async {
        let answer = fleet.complete(CompletionRequest::new(0, "a long reading", 300)).await;
        assert!(answer.is_done, "{answer:?}");
        assert!(started.elapsed() >= 2 * HEAD_TIMEOUT, "the stream was too short to show anything");
    };
    let incomplete_heads = async {
        let heads = ["", "P", "POST /v1/completions HTTP/1.1\r\n", "GET / HTTP/1.1\r\nx-a: 1\r\n"];
        let mut sockets = Vec::new();
        for i in 0..48 {
            sockets.push(connect_and_send(addr, heads[i % heads.len()]).await);
        }
        for socket in sockets {
            let (bytes, after) = read_to_end(socket, started).await;
            assert!(bytes.is_empty(), "{bytes:?}");
            assert!(
                after >= HEAD_TIMEOUT && after < HEAD_TIMEOUT + CLOSE_DELAY_MAX,
                "ended after {after:?}"
            );
        }
    };
    let slow_head = async {
        let (mut reader, mut writer) =
            connect_and_send(addr, "GET /v1/models HTTP/1.1\r\nx: ").await.into_split();
        let write = async {
            while writer.write_all(b"x").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let mut bytes = Vec::new();
        tokio::join!(write, reader.read_to_end(&mut bytes)).1.ok();
        assert!(
            started.elapsed() < HEAD_TIMEOUT + CLOSE_DELAY_MAX,
            "the connection of a slow head was not closed in time"
        );
    };
    let other_requests = async {
        while started.elapsed() < 2 * HEAD_TIMEOUT {
            let requested_at = Instant::now();
            let answer = fleet.complete(CompletionRequest::new(0, "a question", 2)).await;
            assert!(
                answer.is_done && requested_at.elapsed() < HEAD_TIMEOUT,
                "{:?} {answer:?}",
                requested_at.elapsed()
            );
        }
    };
    tokio::join!(long_stream, incomplete_heads, slow_head, other_requests);
}

#[tokio::test]
async fn connection_between_two_requests_outlives_the_head_timeout() {
    let fleet = start_fleet("kept", "").await;
    let request =
        format!("GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let mut stream = connect_and_send(fleet.vms[0].callers, &request).await;
    stream.read_u8().await.expect("first answer");
    tokio::time::sleep(2 * HEAD_TIMEOUT).await;
    let request = request.replace("host: a", "connection: close\r\nhost: a");
    stream.write_all(request.as_bytes()).await.expect("written");
    let reply = raw::read_reply(&mut stream).await;
    // The remaining bytes of the first answer precede the second one.
    assert!(reply.body.contains("HTTP/1.1 200 OK"), "{reply:?}");
}

/// Guards against callers that stop within a head and keep others from being accepted, and against more open connections than
/// the limit.
#[tokio::test]
async fn the_connection_that_stalled_first_gives_way_to_one_above_the_limit() {
    let fleet = start_fleet("limit", "limits:\n  connections_max: 8\n").await;
    let addr = fleet.vms[0].callers;
    let mut connections = Vec::new();
    for _ in 0..8 {
        connections.push(connect_and_send(addr, "GET").await);
    }
    let started = Instant::now();
    let stalled: Vec<_> = connections.drain(..3).collect();
    for stalled in stalled {
        connections.push(connect_and_send(addr, "GET").await);
        let (bytes, after) = read_to_end(stalled, started).await;
        assert!(bytes.is_empty() && after < HEAD_TIMEOUT, "{bytes:?} after {after:?}");
    }
    for open in &connections {
        let read = open.try_read(&mut [0]).expect_err("the connection is open");
        assert_eq!(read.kind(), std::io::ErrorKind::WouldBlock);
    }
    // Disconnecting callers free capacity before the head timeout has passed.
    drop(connections);
    fleet
        .wait_until("a connection is accepted", async || {
            fleet.complete(CompletionRequest::new(0, "a", 1)).await.is_done
        })
        .await;
    assert!(started.elapsed() < HEAD_TIMEOUT + CLOSE_DELAY_MAX, "{:?}", started.elapsed());
}

/// Guards against requests that are broken off for the sake of further connections.
#[tokio::test]
async fn connections_above_the_limit_are_closed_at_once_while_all_are_served() {
    let fleet = start_fleet("limit-busy", "limits:\n  connections_max: 8\n").await;
    let addr = fleet.vms[0].callers;
    let body = json!({ "model": "m", "prompt": "a", "max_tokens": 300, "stream": true });
    let request =
        raw::request("POST /v1/completions HTTP/1.1", KEY, &[], body.to_string().as_bytes());
    let mut streams = Vec::new();
    for _ in 0..8 {
        let mut stream = raw::connect(addr).await;
        stream.write_all(&request).await.expect("written");
        stream.read_u8().await.expect("an answer");
        streams.push(stream);
    }
    let (bytes, after) = read_to_end(raw::connect(addr).await, Instant::now()).await;
    assert!(bytes.is_empty() && after < HEAD_TIMEOUT, "{bytes:?} after {after:?}");
    for mut stream in streams {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"0\r\n\r\n") {
            let read = stream.read_buf(&mut bytes).await.expect("the stream goes on");
            assert!(read > 0, "a stream was broken off");
        }
    }
}

/// Guards against an accept loop that ends at a connection with a fault: requests of other callers must be answered
/// after each.
#[tokio::test]
async fn faulty_connections_do_not_stop_the_accept_loop() {
    let fleet = start_fleet("accept", "").await;
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
    for (name, bytes, must_reset) in faults {
        let mut connections = Vec::new();
        for _ in 0..8 {
            let mut socket = raw::connect(addr).await;
            socket.write_all(&bytes).await.expect("written");
            if must_reset {
                // Dropping a socket with a linger time of zero sends a reset.
                socket.set_zero_linger().expect("linger");
            } else {
                connections.push(socket);
            }
        }
        let requested_at = Instant::now();
        let answer = fleet.complete(CompletionRequest::new(0, name, 2)).await;
        assert!(answer.is_done && requested_at.elapsed() < HEAD_TIMEOUT, "{name}: {answer:?}");
    }
    fleet
        .wait_until("no request is in flight", async || {
            fleet.status(0).await.is_some_and(|status| status["in_flight"] == 0)
        })
        .await;
}

/// Guards against an accept loop that ends, or whose file descriptors stay used up, after idle connections took all of
/// them.
#[tokio::test]
async fn vm_serves_again_after_callers_used_all_file_descriptors() {
    let mut fleet = start_fleet("files", "").await;
    fleet.vms[0].kill();
    fleet.vms[0].files_max = Some(96);
    fleet.vms[0].spawn();
    fleet.wait_until("the VM answers", async || fleet.status(0).await.is_some()).await;
    fleet.wait_for_version(0, 1).await;
    let addr = fleet.vms[0].callers;
    let mut connections = Vec::new();
    for _ in 0..96 {
        connections.push(raw::connect(addr).await);
    }
    fleet
        .wait_until("the file descriptors are used up", async || {
            let log = fleet.vms[0].log();
            log.contains("cannot be watched") || log.contains("not accepted")
        })
        .await;
    let since = Instant::now();
    fleet
        .wait_until("another caller is served", async || {
            fleet.complete(CompletionRequest::new(0, "a", 1)).await.is_done
        })
        .await;
    assert!(since.elapsed() < HEAD_TIMEOUT + CLOSE_DELAY_MAX, "{:?}", since.elapsed());
}

/// Guards against connections to services that stay open after a call that may not be repeated, until no further one can be
/// opened: such a call always uses a new connection.
#[tokio::test]
async fn connections_of_earlier_calls_to_services_do_not_count_for_long() {
    let settings = "timeouts:\n  pool_idle: 100ms\nlimits:\n  connections_max: 20\n";
    let options = Options { settings: settings.to_owned(), ..Options::default() };
    let fleet = Fleet::start("idle-services", options).await;
    for n in 0..32 {
        if n == 16 {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        }
        let key = n.to_string();
        let headers = [("idempotency-key", key.as_str())];
        let (status, body) =
            fleet.call_service(0, http::Method::POST, "/bookings", &headers, "{}").await;
        assert_eq!(status, 200, "call {n}: {body}");
    }
}
