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
use lw_forward::{
    collect::AnswerMemory,
    intake::{CallerMemory, Shares},
    listen::{ClosedCounts, Connections, Options, serve},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// Larger than the buffers of both sockets, so that most of it waits in the process.
const ANSWER_BYTES: usize = 16 << 20;
const UNREAD_MAX: Duration = Duration::from_secs(2);
/// Longest time for an outcome; only a failed run takes that long.
const OUTCOME_MAX: Duration = Duration::from_secs(60);

/// Bytes of an answer that is held in the memory for callers' bytes, and the largest total of that memory of which three of
/// them are three quarters.
const HELD_BYTES: usize = 4 << 20;
const SEND_BUFFER_BYTES: u32 = 128 << 10;
const TOTAL_BYTES: usize = 4 * HELD_BYTES;

/// Starts a listener that answers each request with [`ANSWER_BYTES`].
fn start() -> (SocketAddr, Arc<ClosedCounts>) {
    let body = Bytes::from(vec![b'y'; ANSWER_BYTES]);
    start_with(UNREAD_MAX, None, move || {
        let body = body.clone();
        async move { body }
    })
}

/// Starts a listener within a memory, whose answers are returned by `answer`.
fn start_with<F: Future<Output = Bytes> + Send + 'static>(
    unread_max: Duration,
    memory: Option<Arc<CallerMemory>>,
    answer: impl Fn() -> F + Clone + Send + 'static,
) -> (SocketAddr, Arc<ClosedCounts>) {
    let closed = Arc::new(ClosedCounts::default());
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("address");
    if memory.is_some() {
        // Connections inherit it, so that answers wait in the process, whatever the machine's limits are.
        socket.set_send_buffer_size(SEND_BUFFER_BYTES).expect("buffer size");
    }
    let listener = socket.listen(100).expect("listener");
    let addr = listener.local_addr().expect("address");
    let options = move || Options {
        head_timeout: Duration::from_secs(60),
        idle_timeout: Duration::from_secs(60),
        head_max_bytes: 16 << 10,
        head_max_fields: 100,
        unread_max,
        connections_max: 100,
    };
    let handler = move |_: Request<Incoming>| {
        let body = answer();
        async move { Ok::<_, Infallible>(Response::new(Full::new(body.await))) }
    };
    let connections = Connections::counting(Arc::clone(&closed));
    let connections = match memory {
        Some(memory) => connections.within(memory),
        None => connections,
    };
    tokio::spawn(serve(listener, connections, options, handler));
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
    let (addr, closed) = start();
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
    let (addr, closed) = start();
    let _stream = request(addr).await;
    let disconnected = async {
        while closed.unread.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(OUTCOME_MAX, disconnected).await.expect("the connection is closed");
}

/// Reads this many bytes every 20 ms until the connection ends or `is_fast` is set, then the rest. Returns whether the whole
/// answer arrived.
async fn read_slowly(mut stream: TcpStream, bytes: usize, is_fast: watch::Receiver<bool>) -> bool {
    let mut buf = vec![0; bytes];
    let mut read_bytes = 0;
    while !*is_fast.borrow() {
        sleep(Duration::from_millis(20)).await;
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(n) => read_bytes += n,
        }
    }
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.is_ok() && read_bytes + rest.len() > HELD_BYTES
}

/// Guards against a caller that holds an answer for as long as it likes by reading a few bytes each time, and against the
/// closing of other connections than its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_slowest_reader_is_disconnected_when_memory_is_scarce() {
    let shares = Shares { large_answers: TOTAL_BYTES, ..Shares::of_total(TOTAL_BYTES) };
    let memory = CallerMemory::new(shares);
    let answers = Arc::new(AnswerMemory::new(Arc::clone(&memory)));
    let answer = move || {
        let answers = Arc::clone(&answers);
        let body = Full::new(Bytes::from(vec![b'y'; HELD_BYTES]));
        async move { answers.collect(body).await.expect("there is room") }
    };
    // Nobody is disconnected for reading nothing.
    let (addr, closed) = start_with(OUTCOME_MAX, Some(Arc::clone(&memory)), answer);
    let (set_fast, is_fast) = watch::channel(false);
    let mut readers = Vec::new();
    // The slowest is the first, so that its rate is known when those of the others are.
    for bytes in [64, 8 << 10, 8 << 10] {
        let mut stream = request(addr).await;
        stream.read_exact(&mut [0]).await.expect("an answer");
        readers.push(tokio::spawn(read_slowly(stream, bytes, is_fast.clone())));
    }
    let disconnected = async {
        while closed.slowest.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(OUTCOME_MAX, disconnected).await.expect("a connection is closed");
    set_fast.send_replace(true);
    let mut is_whole = Vec::new();
    for reader in readers {
        let read = timeout(OUTCOME_MAX, reader).await.expect("in time");
        is_whole.push(read.expect("no panic"));
    }
    assert_eq!(is_whole, [false, true, true]);
    let counts = (closed.slowest.load(Ordering::Relaxed), closed.unread.load(Ordering::Relaxed));
    assert_eq!(counts, (1, 0));
    let released = async {
        while memory.used().total() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(OUTCOME_MAX, released).await.expect("the memory is released");
}
