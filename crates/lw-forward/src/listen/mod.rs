//! Accepts, limits and closes callers' connections.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Request, Response};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

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
    /// Maximum number of open connections; further ones are closed at once.
    pub connections_max: usize,
}

/// Counts the connections of a listener and closes them.
#[derive(Debug, Clone)]
pub struct Connections {
    open_count: Arc<AtomicUsize>,
    is_closing: watch::Sender<bool>,
}

impl Default for Connections {
    fn default() -> Self {
        Self { open_count: Arc::default(), is_closing: watch::Sender::new(false) }
    }
}

impl Connections {
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
            log::warn!("http: connection closed at once, {} are open", connections.open_count());
            continue;
        }
        let open_guard = OpenGuard::new(&connections);
        let handler = handler.clone();
        let is_closing = connections.is_closing.subscribe();
        tokio::spawn(async move {
            serve_connection(stream, options, is_closing, handler).await;
            drop(open_guard);
        });
    }
}

async fn serve_connection<S, F, B, E>(
    stream: TcpStream,
    options: Options,
    mut is_closing: watch::Receiver<bool>,
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
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
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
    if let Err(e) = result {
        log::debug!("http: connection of a caller failed: {e}");
    }
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
