//! Guards against callers that are disconnected although they read their answers, and against callers that hold answers
//! without reading them. Starts a listener on a loopback address.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use lw_forward::listen::{ClosedCounts, Connections, Options, serve};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Larger than the buffers of both sockets, so that most of it waits in the process.
const ANSWER_BYTES: usize = 16 << 20;
const UNREAD_MAX: Duration = Duration::from_secs(2);
/// Longest time for an outcome; only a failed run takes that long.
const OUTCOME_MAX: Duration = Duration::from_secs(60);

/// Starts a listener that answers each request with [`ANSWER_BYTES`].
async fn start() -> (SocketAddr, Arc<ClosedCounts>) {
    let closed = Arc::new(ClosedCounts::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let addr = listener.local_addr().expect("address");
    let options = || Options {
        head_timeout: Duration::from_secs(60),
        head_max_bytes: 16 << 10,
        unread_max: UNREAD_MAX,
        connections_max: 100,
    };
    let body = Bytes::from(vec![b'y'; ANSWER_BYTES]);
    let handler = move |_: Request<Incoming>| {
        let body = body.clone();
        async move { Ok::<_, Infallible>(Response::new(Full::new(body))) }
    };
    tokio::spawn(serve(listener, Connections::counting(Arc::clone(&closed)), options, handler));
    (addr, closed)
}

/// Sends a request from a socket with a small receive buffer.
async fn request(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_recv_buffer_size(16 << 10).expect("buffer size");
    let mut stream = socket.connect(addr).await.expect("connection");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .await
        .expect("request");
    stream
}

/// Guards against progress that counts only once the socket's send buffer has drained by a third: at 4 KiB every 50 ms that
/// takes more than [`UNREAD_MAX`].
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_steady_slow_reader_gets_its_whole_answer() {
    let (addr, closed) = start().await;
    let mut stream = request(addr).await;
    let slow_until = Instant::now() + 3 * UNREAD_MAX;
    let mut buf = [0; 4 << 10];
    let mut read_bytes = 0;
    while Instant::now() < slow_until {
        sleep(Duration::from_millis(50)).await;
        read_bytes += stream.read_exact(&mut buf).await.expect("the connection stays open");
    }
    assert!(read_bytes < ANSWER_BYTES / 4, "the reader was not slow: {read_bytes} bytes");
    let mut rest = Vec::new();
    let read = timeout(OUTCOME_MAX, stream.read_to_end(&mut rest)).await.expect("in time");
    read.expect("the connection stays open");
    assert!(read_bytes + rest.len() > ANSWER_BYTES, "{read_bytes} + {} bytes", rest.len());
    assert_eq!(closed.unread.load(Ordering::Relaxed), 0);
}

/// Guards against a check of progress that never finds that there is none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_nothing_is_disconnected() {
    let (addr, closed) = start().await;
    let _stream = request(addr).await;
    let disconnected = async {
        while closed.unread.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(OUTCOME_MAX, disconnected).await.expect("the connection is closed");
}
