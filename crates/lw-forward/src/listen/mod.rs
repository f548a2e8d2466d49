//! Accepts, limits and closes callers' connections.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Request, Response, StatusCode};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

mod readers;
mod stream;

use readers::SlowReaders;
use stream::{CallerEnd, CallerStream};

use crate::intake::CallerMemory;

/// Pause after a failed accept, since accepting fails again at once for as long as no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;

/// Limits of callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time for which a connection may be without a complete request head.
    pub head_timeout: Duration,
    /// Largest request head in bytes.
    pub head_max_bytes: usize,
    /// Longest time for which a caller may read nothing of an answer while bytes of it wait to be written.
    pub unread_max: Duration,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections_max: usize,
}

/// Counts connections that were closed because of their callers, by reason.
#[derive(Debug, Default)]
pub struct ClosedCounts {
    /// The maximum number was open.
    pub too_many: AtomicU64,
    /// The caller did not read its answer.
    pub unread: AtomicU64,
    /// Memory for callers' bytes was scarce, and the caller read its answer more slowly than others.
    pub slowest: AtomicU64,
}

/// Counts the connections of a listener and closes them.
#[derive(Debug, Clone)]
pub struct Connections {
    open_count: Arc<AtomicUsize>,
    closed_counts: Arc<ClosedCounts>,
    readers: Arc<SlowReaders>,
    is_closing: watch::Sender<bool>,
}

impl Default for Connections {
    fn default() -> Self {
        Self::counting(Arc::default())
    }
}

impl Connections {
    /// Returns a listener's connections without any open one, which counts those that it closes in `closed_counts`.
    #[must_use]
    pub fn counting(closed_counts: Arc<ClosedCounts>) -> Self {
        Self {
            open_count: Arc::default(),
            closed_counts,
            readers: SlowReaders::new(None),
            is_closing: watch::Sender::new(false),
        }
    }

    /// Lets the callers that read least be disconnected when this memory is scarce.
    #[must_use]
    pub fn within(self, memory: Arc<CallerMemory>) -> Self {
        Self { readers: SlowReaders::new(Some(memory)), ..self }
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open_count.load(Ordering::Acquire)
    }

    /// Closes each connection as soon as it has no request in flight.
    pub fn close_when_idle(&self) {
        self.is_closing.send_replace(true);
    }
}

/// Serves the connections of a listener for as long as the process runs.
pub async fn serve<S, F, B, E>(
    listener: TcpListener,
    connections: Connections,
    options: impl Fn() -> Options,
    handler: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<B>, E>> + Send,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("http: connection not accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let options = options();
        if connections.open_count() >= options.connections_max {
            connections.closed_counts.too_many.fetch_add(1, Ordering::Relaxed);
            log::warn!("http: connection closed at once, {} are open", connections.open_count());
            continue;
        }
        let open_guard = OpenGuard::new(&connections);
        let handler = handler.clone();
        let is_closing = connections.is_closing.subscribe();
        let connections = connections.clone();
        tokio::spawn(async move {
            serve_connection(stream, options, is_closing, &connections, handler).await;
            drop(open_guard);
        });
    }
}

async fn serve_connection<S, F, B, E>(
    stream: TcpStream,
    options: Options,
    mut is_closing: watch::Receiver<bool>,
    connections: &Connections,
    handler: S,
) where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<B>, E>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("http: TCP_NODELAY not set on a caller's connection: {e}");
    }
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.head_max_bytes.max(BUFFER_MIN_BYTES));
    // A connection that arrives while the others are being closed gets one answer, so that its caller learns that this
    // VM is leaving.
    let is_after_closing = *is_closing.borrow();
    builder.keep_alive(!is_after_closing);
    let is_refusing = Arc::new(AtomicBool::new(false));
    let end = Arc::new(CallerEnd::default());
    let readers = &connections.readers;
    let stream = CallerStream::new(stream, options.unread_max, &is_refusing, readers, &end);
    let service = service_fn(move |req: Request<Incoming>| {
        let has_body = !req.body().is_end_stream();
        let answer = handler(req);
        let is_refusing = Arc::clone(&is_refusing);
        async move {
            let answer = answer.await;
            let is_refused = matches!(&answer, Ok(answer) if is_error(answer.status()));
            is_refusing.store(has_body && is_refused, Ordering::Release);
            answer
        }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        if is_after_closing {
            std::future::pending::<()>().await;
        }
        drop(is_closing.wait_for(|is_closing| *is_closing).await);
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    let closed_counts = &connections.closed_counts;
    if end.is_slowest.load(Ordering::Acquire) {
        closed_counts.slowest.fetch_add(1, Ordering::Relaxed);
    } else if end.is_unread.load(Ordering::Acquire) {
        closed_counts.unread.fetch_add(1, Ordering::Relaxed);
        log::warn!("http: connection closed, its caller read nothing for {:?}", options.unread_max);
    } else if let Err(e) = result {
        log::debug!("http: connection of a caller failed: {e}");
    }
}

fn is_error(status: StatusCode) -> bool {
    status.is_client_error() || status.is_server_error()
}

/// Counts one connection as open until it is dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(connections: &Connections) -> Self {
        connections.open_count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(&connections.open_count))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
