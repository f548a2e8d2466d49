//! Guards against refusals for lack of memory that operators cannot see on the native interface, and against answers there
//! that callers hold without reading them, or lose although they read them.

use std::{net::SocketAddr, time::Duration};

use lw_standin::hosted::http::{Server, answer, serve};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream, UdpSocket},
    time::{Instant, sleep, timeout},
};

mod common;

use common::{CompletionRequest, Fleet, KEY, Options};

const ANSWER_BYTES: usize = 3 << 20;
const UNREAD_MAX: Duration = Duration::from_secs(2);
/// Longest time for an outcome; only a failed run takes that long.
const OUTCOME_MAX: Duration = Duration::from_secs(60);

/// Starts a VM with these settings and a sink of its statsd metrics.
async fn start(name: &str, settings: &str) -> (Fleet, UdpSocket) {
    let sink = UdpSocket::bind("127.0.0.1:0").await.expect("sink");
    let statsd = sink.local_addr().expect("address");
    let settings = format!("statsd: \"{statsd}\"\n{settings}");
    let fleet =
        Fleet::start(name, Options { services: 0, engines: 1, settings, ..Options::default() });
    (fleet.await, sink)
}

/// Waits until this counter is sent.
async fn wait_for_counter(sink: &UdpSocket, name: &str) {
    let received = async {
        let mut packet = [0; 2 << 10];
        loop {
            let length = sink.recv(&mut packet).await.expect("packet");
            if String::from_utf8_lossy(&packet[..length]).contains(name) {
                break;
            }
        }
    };
    timeout(OUTCOME_MAX, received).await.unwrap_or_else(|_| panic!("{name} is not counted"));
}

/// Starts a plain service whose answers have [`ANSWER_BYTES`].
async fn start_service(fleet: &Fleet) -> Server {
    let body = vec![b'y'; ANSWER_BYTES];
    let service = serve(move |_| {
        let steps = answer(200, &[], &body);
        async move { steps }
    });
    let service = service.await.expect("service");
    let upstream = json!({
        "service": "desk", "address": service.addr.to_string(), "failure_domain": "domain-0",
    });
    let applied = fleet.apply_patch(0, 1, &json!({ "upstreams": { "raw": upstream } })).await;
    assert_eq!(applied.0, 200, "configuration: {}", applied.1);
    fleet.wait_for_version(0, 2).await;
    service
}

/// Sends a request for a large answer from a socket with a small receive buffer, and returns when the answer has begun.
async fn request(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(16 << 10).expect("buffer size");
    let mut stream = socket.connect(addr).await.expect("connection");
    let head = format!(
        "GET /v1/services/desk/large HTTP/1.1\r\nhost: lavenderwood\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("request");
    let first = timeout(OUTCOME_MAX, stream.read_u8()).await.expect("in time");
    assert_eq!(first.expect("an answer"), b'H');
    stream
}

/// Guards against a prompt that is refused for lack of memory without a counter and a log line.
#[tokio::test]
async fn a_prompt_that_finds_no_room_is_counted_and_logged() {
    let settings = "limits:\n  body_max: 1MiB\n  memory: 4MiB\ntimeouts:\n  body: 60s\n";
    let (fleet, sink) = start("prompt-room", settings).await;
    // A body that stops short of its end holds a quarter of the memory: half of that for large requests.
    let mut stalled = TcpStream::connect(fleet.vms[0].callers).await.expect("connection");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: lavenderwood\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n",
        1 << 20
    );
    stalled.write_all(head.as_bytes()).await.expect("head");
    stalled.write_all(&vec![b'x'; (1 << 20) - 1]).await.expect("body");
    // The body of this request fits in beside it, but not the two copies of its prompt.
    let prompt = "x".repeat(900 << 10);
    let refused = async || {
        let answer = fleet.complete(CompletionRequest::new(0, &prompt, 1)).await;
        answer.status == 503
    };
    fleet.wait_until("the prompt is refused", &refused).await;
    wait_for_counter(&sink, "body_refusals.no_memory").await;
    let is_logged = async || fleet.vms[0].log().contains("prompt not held (no_memory)");
    fleet.wait_until("the refusal is logged", &is_logged).await;
}

/// Guards against a time for unread answers that does not apply to an answer that the HTTP library has taken as a whole,
/// and against one that ends although the caller reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_callers_that_read_nothing_are_disconnected() {
    let settings = format!("timeouts:\n  unread: {}s\n", UNREAD_MAX.as_secs());
    let (fleet, sink) = start("unread-native", &settings).await;
    let _service = start_service(&fleet).await;
    let addr = fleet.vms[0].callers;
    let mut slow = request(addr).await;
    let _idle = request(addr).await;
    let slow_until = Instant::now() + 3 * UNREAD_MAX;
    let mut buf = [0; 4 << 10];
    let mut read_bytes = 0;
    while Instant::now() < slow_until {
        sleep(Duration::from_millis(50)).await;
        read_bytes += slow.read_exact(&mut buf).await.expect("the connection stays open");
    }
    wait_for_counter(&sink, "closed_connections.unread:1").await;
    let log = fleet.vms[0].log();
    let closed = log.lines().filter(|line| line.contains("it read nothing")).count();
    assert_eq!(closed, 1, "{}", fleet.vms[0].log_tail());
    let rest = async {
        while read_bytes < ANSWER_BYTES {
            let length = slow.read(&mut buf).await.expect("the connection stays open");
            assert!(length > 0, "the answer ends after {read_bytes} bytes");
            read_bytes += length;
        }
    };
    timeout(OUTCOME_MAX, rest).await.expect("in time");
}
