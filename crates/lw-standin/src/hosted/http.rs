//! A small HTTP server whose answers are lists of steps.

use std::{
    collections::HashMap,
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    task::JoinHandle,
    time::Instant,
};

/// Maximum size of the head of a request.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// One request with its complete body.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Address of the caller.
    pub from: Option<SocketAddr>,
    /// Number of the connection at its server.
    pub connection: u64,
}

impl Request {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a value of the query; `%2F` is the only escape that is decoded.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/"))
    }

    /// Returns the value of a header; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// One step of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Sends bytes again and again until the caller closes the connection.
    Repeat(&'static [u8]),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends all connections of the server, which refuses new ones for this time.
    Crash(Duration),
}

/// Returns the steps of an answer with a `content-length`.
#[must_use]
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<Step> {
    let mut bytes = head(status, &format!("content-length: {}", body.len()), headers);
    bytes.extend_from_slice(body);
    vec![Step::Send(bytes)]
}

/// Returns the step that sends the head of a chunked answer.
#[must_use]
pub fn chunked_head(status: u16, headers: &[(&str, &str)]) -> Step {
    Step::Send(head(status, "transfer-encoding: chunked", headers))
}

/// Returns the head of an answer; `framing` is its first header and defines where the body ends.
pub(super) fn head(status: u16, framing: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let headers = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    let headers = headers.collect::<String>();
    format!("HTTP/1.1 {status} X\r\n{framing}\r\n{headers}\r\n").into_bytes()
}

/// Returns the step that sends one chunk; an empty chunk ends the answer.
#[must_use]
pub fn chunk(bytes: &[u8]) -> Step {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    Step::Send(out)
}

/// A running server; dropping it stops the server.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on.
    pub addr: SocketAddr,
    open: Arc<AtomicUsize>,
    open_callers: Arc<AtomicUsize>,
    endless_bytes: Arc<AtomicU64>,
    stalled_until: watch::Sender<Instant>,
    task: JoinHandle<()>,
}

/// Reports crashes to the task that accepts connections.
type CrashSender = mpsc::UnboundedSender<Duration>;

impl Server {
    /// Returns the number of bytes that were sent with [`Step::Repeat`].
    #[must_use]
    pub fn endless_bytes(&self) -> u64 {
        self.endless_bytes.load(Ordering::Acquire)
    }

    /// Returns the number of requests that are being answered.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns the number of requests that are being answered, without calls to the interfaces of upstreams.
    #[must_use]
    pub fn open_caller_requests(&self) -> usize {
        self.open_callers.load(Ordering::Acquire)
    }

    /// Lets the server stand still for this time, as a process that is stopped by a signal: it keeps its connections, but reads
    /// and sends nothing.
    pub fn stall(&self, time: Duration) {
        self.stalled_until.send_replace(Instant::now() + time);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves requests on a free loopback port.
///
/// # Errors
///
/// When no port can be bound.
pub async fn serve<F, R>(answer: F) -> io::Result<Server>
where
    F: Fn(Request) -> R + Send + Sync + 'static,
    R: Future<Output = Vec<Step>> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let answer = Arc::new(answer);
    let open = Arc::new(AtomicUsize::new(0));
    let open_count = Arc::clone(&open);
    let open_callers = Arc::new(AtomicUsize::new(0));
    let open_callers_count = Arc::clone(&open_callers);
    let endless_bytes = Arc::new(AtomicU64::new(0));
    let endless_count = Arc::clone(&endless_bytes);
    let stalled_until = watch::Sender::new(Instant::now());
    let stall = stalled_until.subscribe();
    let task = tokio::spawn(async move {
        let mut listener = listener;
        let (crash_tx, mut crash_rx) = mpsc::unbounded_channel();
        // Dropping the server aborts this task, which drops the set and ends all connections.
        let mut connections = tokio::task::JoinSet::new();
        let mut number = 0;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(down) = crash_rx.recv() => {
                    drop(listener);
                    connections.shutdown().await;
                    tokio::time::sleep(down).await;
                    while crash_rx.try_recv().is_ok() {}
                    match TcpListener::bind(addr).await {
                        Ok(bound) => listener = bound,
                        Err(e) => return log::error!("cannot listen on {addr} again: {e}"),
                    }
                    continue;
                }
            };
            let Ok((stream, from)) = accepted else { return };
            number += 1;
            let answer = Arc::clone(&answer);
            let open_count = Arc::clone(&open_count);
            let open_callers = Arc::clone(&open_callers_count);
            let endless = Arc::clone(&endless_count);
            let crash_tx = crash_tx.clone();
            let stall = stall.clone();
            connections.spawn(async move {
                let connection = Connection {
                    from,
                    number,
                    open: &open_count,
                    open_callers: &open_callers,
                    endless_bytes: &endless,
                    crash_tx: &crash_tx,
                    stall,
                };
                // A broken connection ends this task only; the caller detects it by itself.
                let _ = connection.serve(stream, &*answer).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(Server { addr, open, open_callers, endless_bytes, stalled_until, task })
}

/// What one connection shares with its server.
struct Connection<'a> {
    from: SocketAddr,
    number: u64,
    open: &'a AtomicUsize,
    open_callers: &'a AtomicUsize,
    endless_bytes: &'a AtomicU64,
    crash_tx: &'a CrashSender,
    stall: watch::Receiver<Instant>,
}

impl Connection<'_> {
    async fn serve<F, R>(self, mut stream: TcpStream, answer: &F) -> io::Result<()>
    where
        F: Fn(Request) -> R,
        R: Future<Output = Vec<Step>>,
    {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        while let Some(mut request) = read_request(&mut stream, &mut buf).await? {
            request.from = Some(self.from);
            request.connection = self.number;
            let _guard = OpenGuard::new(self.open);
            let is_internal = request.path().starts_with("/api/");
            let _caller_guard = (!is_internal).then(|| OpenGuard::new(self.open_callers));
            self.wait_until_running().await;
            // Closing the connection cancels the request.
            let steps = tokio::select! {
                steps = answer(request) => steps,
                () = wait_closed(&stream) => return Ok(()),
            };
            for step in steps {
                self.wait_until_running().await;
                match step {
                    Step::Send(bytes) => stream.write_all(&bytes).await?,
                    Step::Wait(time) => tokio::select! {
                        () = tokio::time::sleep(time) => {}
                        () = wait_closed(&stream) => return Ok(()),
                    },
                    Step::Repeat(bytes) => loop {
                        stream.write_all(bytes).await?;
                        let count = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                        self.endless_bytes.fetch_add(count, Ordering::AcqRel);
                    },
                    Step::Close => return Ok(()),
                    Step::Reset => {
                        stream.set_zero_linger()?;
                        return Ok(());
                    }
                    Step::Crash(down) => {
                        // The receiver is dropped only with the server.
                        let _ = self.crash_tx.send(down);
                        std::future::pending::<()>().await;
                    }
                }
            }
        }
        Ok(())
    }

    /// Waits until the server no longer stands still.
    async fn wait_until_running(&self) {
        loop {
            let until = *self.stall.borrow();
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }
}

/// Counts a request as open until it is dropped.
struct OpenGuard<'a>(&'a AtomicUsize);

impl<'a> OpenGuard<'a> {
    fn new(open: &'a AtomicUsize) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self(open)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Waits until the caller closes the connection.
async fn wait_closed(stream: &TcpStream) {
    loop {
        if !matches!(stream.peek(&mut [0]).await, Ok(1..)) {
            return;
        }
        // The bytes belong to the next request, which is read after this answer.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if buf.len() > HEAD_MAX_BYTES || stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let mut lines = head.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut request = Request {
        method: first.next().unwrap_or_default().to_owned(),
        target: first.next().unwrap_or_default().to_owned(),
        ..Request::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        request.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buf.len() < length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    request.body = buf.drain(..length).collect();
    Ok(Some(request))
}
