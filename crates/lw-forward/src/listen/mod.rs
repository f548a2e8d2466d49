//! Accepts, limits and closes callers' connections.

use std::{
    future::Future,
    net::SocketAddr,
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

mod guard;
mod readers;
mod stream;

use guard::ServedBody;
use readers::SlowReaders;
use stream::{Account, CallerEnd, CallerStream};

use crate::intake::{CallerMemory, Callers, Holder, Shares};

/// Memory of a connection without a request: its task, and the first read and write buffer of the HTTP library, 8 KiB each.
const CONNECTION_BYTES: usize = 24 << 10;
/// Connections that may be open beyond the maximum while evicted ones close.
const CLOSING_MAX: usize = 64;
/// Pause after a failed accept, since accepting fails again at once for as long as no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;

/// Limits of callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time until the first request head of a connection is complete.
    pub head_timeout: Duration,
    /// Longest time between two requests.
    pub idle_timeout: Duration,
    /// Largest request head in bytes.
    pub head_max_bytes: usize,
    /// Largest number of fields of a request head.
    pub head_max_fields: usize,
    /// Longest time for which a caller may read nothing of an answer while bytes of it wait to be written.
    pub unread_max: Duration,
    /// Maximum number of open connections. For a further one, the one without progress for the longest time is closed; if all
    /// are served, the new one.
    pub connections_max: usize,
}

/// Counts connections that were closed because of their callers, by reason.
#[derive(Debug, Default)]
pub struct ClosedCounts {
    /// The maximum number was open, or no memory was left for another one.
    pub too_many: AtomicU64,
    /// The caller had not sent a whole request, or was idle, while connections or memory were scarce.
    pub stalled: AtomicU64,
    /// The caller did not read its answer.
    pub unread: AtomicU64,
    /// Memory for callers' bytes was scarce, and the caller read its answer more slowly than others.
    pub slowest: AtomicU64,
}

/// Counts the connections of a listener and closes them.
#[derive(Debug, Clone)]
pub struct Connections {
    open_count: Arc<AtomicUsize>,
    failed_count: Arc<AtomicU64>,
    closed_counts: Arc<ClosedCounts>,
    callers: Arc<Callers>,
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
        let unlimited = Shares::of_total(usize::MAX);
        Self {
            open_count: Arc::default(),
            failed_count: Arc::default(),
            closed_counts,
            callers: Callers::new(CallerMemory::new(unlimited)),
            readers: SlowReaders::new(None),
            is_closing: watch::Sender::new(false),
        }
    }

    /// Holds the connections in this memory. While it is scarce, callers that make no progress are disconnected, and those
    /// that read least.
    #[must_use]
    pub fn within(self, memory: Arc<CallerMemory>) -> Self {
        let readers = SlowReaders::new(Some(Arc::clone(&memory)));
        Self { callers: Callers::new(memory), readers, ..self }
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open_count.load(Ordering::Acquire)
    }

    /// Number of connections so far that ended with an error: the caller reset them, or an answer was broken off.
    #[must_use]
    pub fn failed_count(&self) -> u64 {
        self.failed_count.load(Ordering::Relaxed)
    }

    /// Admits a new connection, if there is a place and memory for it, or others are about to leave theirs.
    fn admit(&self, connections_max: usize) -> Option<Account> {
        let open_count = self.open_count();
        let may_exceed = || open_count < connections_max + CLOSING_MAX && self.callers.make_place();
        if open_count >= connections_max && !may_exceed() {
            return None;
        }
        let caller = self.callers.insert();
        let mut hold = caller.hold(Holder::Connection, None);
        hold.grow(CONNECTION_BYTES).ok()?;
        Some(Account::new(caller, hold))
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
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("http: connection not accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let options = options();
        let Some(account) = connections.admit(options.connections_max) else {
            connections.closed_counts.too_many.fetch_add(1, Ordering::Relaxed);
            log::warn!("http: connection closed at once, {} are open", connections.open_count());
            continue;
        };
        let open_guard = OpenGuard::new(&connections);
        let handler = handler.clone();
        let is_closing = connections.is_closing.subscribe();
        let connections = connections.clone();
        tokio::spawn(async move {
            let stream = AcceptedStream { stream, peer, account };
            serve_connection(stream, options, is_closing, &connections, handler).await;
            drop(open_guard);
        });
    }
}

/// The socket of a new connection, and what is held for it.
struct AcceptedStream {
    stream: TcpStream,
    peer: SocketAddr,
    account: Account,
}

async fn serve_connection<S, F, B, E>(
    accepted: AcceptedStream,
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
    let AcceptedStream { stream, peer, account } = accepted;
    let caller = account.caller().clone();
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("http: TCP_NODELAY not set on a caller's connection: {e}");
    }
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle_timeout.max(options.head_timeout))
        .max_headers(options.head_max_fields)
        .max_buf_size(options.head_max_bytes.max(BUFFER_MIN_BYTES));
    // A connection that arrives while the others are being closed gets one answer, so that its caller learns that this
    // VM is leaving.
    let is_after_closing = *is_closing.borrow();
    builder.keep_alive(!is_after_closing);
    let is_refusing = Arc::new(AtomicBool::new(false));
    let end = Arc::new(CallerEnd::default());
    let readers = &connections.readers;
    let stream =
        CallerStream::new(stream, options.unread_max, account, &is_refusing, readers, &end);
    let requester = caller.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let has_body = !req.body().is_end_stream();
        requester.begin_request();
        req.extensions_mut().insert(requester.clone());
        // Boxed, since the library reserves the size of this future for idle connections too.
        let answer = Box::pin(handler(req));
        let (is_refusing, caller) = (Arc::clone(&is_refusing), requester.clone());
        async move {
            let answer = answer.await;
            let is_refused = matches!(&answer, Ok(answer) if is_error(answer.status()));
            is_refusing.store(has_body && is_refused, Ordering::Release);
            answer.map(|answer| answer.map(|body| ServedBody::new(body, caller)))
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
    let head_late = async {
        // The library has the longer of the two timeouts.
        if options.head_timeout < options.idle_timeout {
            tokio::time::sleep(options.head_timeout).await;
            if !caller.has_sent_request() {
                return;
            }
        }
        std::future::pending::<()>().await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = head_late => {
            log::debug!("http: connection closed, no request head arrived in {:?}", options.head_timeout);
            Ok(())
        }
    };
    let closed_counts = &connections.closed_counts;
    if caller.was_closed() {
        closed_counts.stalled.fetch_add(1, Ordering::Relaxed);
    } else if end.is_slowest.load(Ordering::Acquire) {
        closed_counts.slowest.fetch_add(1, Ordering::Relaxed);
    } else if end.is_unread.load(Ordering::Acquire) {
        closed_counts.unread.fetch_add(1, Ordering::Relaxed);
        let time = options.unread_max;
        log::warn!("http: closed the connection of {peer}: it read nothing for {time:?}");
    } else if let Err(e) = result {
        connections.failed_count.fetch_add(1, Ordering::Relaxed);
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
