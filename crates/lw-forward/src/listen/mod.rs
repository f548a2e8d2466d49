//! Callers' connections.

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

/// Pause after a failed accept, which otherwise repeats at once while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library takes.
const BUFFER_MIN_BYTES: usize = 8 << 10;

/// Bounds of callers' connections.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time without a whole request head.
    pub head_timeout: Duration,
    /// Largest request head in bytes.
    pub head_max_bytes: usize,
    /// Most open connections; further ones are closed at once.
    pub connections_max: usize,
}

/// Counts and ends the connections of a listener.
#[derive(Debug, Clone)]
pub struct Connections {
    open: Arc<AtomicUsize>,
    closing: watch::Sender<bool>,
}

impl Default for Connections {
    fn default() -> Self {
        Self { open: Arc::default(), closing: watch::Sender::new(false) }
    }
}

impl Connections {
    /// Connections that are open.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Closes all connections as soon as they have no request.
    pub fn close_when_idle(&self) {
        self.closing.send_replace(true);
    }
}

/// Serves the connections of a listener for as long as the process runs.
pub async fn serve<S, F, B, E>(
    listener: TcpListener,
    connections: Connections,
    options: impl Fn() -> Options,
    answer: S,
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
            log::warn!("http: connection closed, {} are open", connections.open_count());
            continue;
        }
        let counted = Counted::new(&connections);
        let answer = answer.clone();
        let closing = connections.closing.subscribe();
        tokio::spawn(async move {
            run(stream, options, closing, answer).await;
            drop(counted);
        });
    }
}

async fn run<S, F, B, E>(
    stream: TcpStream,
    options: Options,
    mut closing: watch::Receiver<bool>,
    answer: S,
) where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<B>, E>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("http: connection without TCP_NODELAY: {e}");
    }
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(options.head_max_bytes.max(BUFFER_MIN_BYTES));
    // A connection that comes while the others are closed is answered once, so that its caller learns where to go.
    let is_late = *closing.borrow();
    builder.keep_alive(!is_late);
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(answer));
    tokio::pin!(connection);
    let closed = async {
        if is_late {
            std::future::pending::<()>().await;
        }
        drop(closing.wait_for(|closing| *closing).await);
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closed => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("http: connection of a caller ended: {e}");
    }
}

struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(connections: &Connections) -> Self {
        connections.open.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(&connections.open))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
