//! Limits of the callers' connections: how many may be open, and how long one may stay open without a request.
//!
//! The HTTP library has no timeout for request heads. So this module keeps a second handle of each socket and shuts the
//! connection down with it. It leaves a connection whose request is being answered to the library.

use std::{
    collections::HashMap,
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    os::fd::AsFd,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use lw_transport::timer::Timer;
use lw_types::prelude::*;
use tokio::net::TcpListener;
use volo::net::{
    Address,
    conn::{Conn, ConnInfo},
    incoming::{Incoming, MakeIncoming},
};
use volo_http::{body::Body, error::BoxError};

/// Time without a request after which a connection that has carried one is closed. Load balancers commonly keep idle
/// connections for 60 s, and a request that is sent on a connection while it closes has to be sent again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time for which a caller may take nothing of an answer before its connection is closed. As long as the idle time, so
/// that a caller is never closed earlier for reading slowly than for sending nothing. The HTTP library buffers about 400 KB,
/// so a caller that takes 6 KB/s or more is not affected.
const UNREAD_TIMEOUT: Duration = IDLE_TIMEOUT;
/// Longest time between two checks of the open connections.
const CHECK_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Shortest time between two checks caused by new connections while the maximum number is open.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Delay after a failed accept, which would otherwise fail again at once while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The open connections of one listener.
#[derive(Debug)]
pub(super) struct Connections {
    table: Mutex<ConnectionTable>,
    timer: Timer,
    open_max: usize,
    head_timeout: Duration,
    last_id: AtomicU64,
    /// Number of connections that were closed since their callers did not read.
    unread_count: AtomicU64,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    connections: HashMap<SocketAddr, Connection>,
    last_check: Now,
}

#[derive(Debug)]
struct Connection {
    id: u64,
    socket: TcpStream,
    /// Number of requests that are being answered.
    requests_in_progress: u32,
    /// Whether a request head was ever received.
    has_received_request: bool,
    /// Whether the last check found bytes that the HTTP library had not read.
    has_unread_bytes: bool,
    /// When the time without a request began.
    idle_since: Now,
    unread: Arc<Unread>,
}

/// When the HTTP library took the last frame of an answer, while it has not asked for the next one: its caller does not read.
#[derive(Debug, Default)]
struct Unread(Mutex<Option<Now>>);

impl Unread {
    fn set(&self, since: Option<Now>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }

    fn get(&self) -> Option<Now> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    fn shut_down(&self) {
        if let Err(e) = self.socket.shutdown(Shutdown::Both) {
            log::debug!("http: a connection was not shut down: {e}");
        }
    }
}

impl Connections {
    pub(super) fn new(timer: Timer, open_max: usize, head_timeout: Duration) -> Self {
        let last_id = AtomicU64::new(0);
        Self {
            table: Mutex::default(),
            timer,
            open_max,
            head_timeout,
            last_id,
            unread_count: AtomicU64::new(0),
        }
    }

    /// Closes idle connections, and those whose callers do not read, until the process ends. Counts the latter.
    pub(super) async fn run_idle_checks(self: Arc<Self>, count_unread: impl Fn(u64)) {
        let period = (self.head_timeout / 4).min(CHECK_INTERVAL_MAX);
        let mut ticks = self.timer.subscribe(period);
        loop {
            let now = ticks.tick().await;
            self.close_idle(&mut self.lock(), now);
            match self.unread_count.swap(0, Ordering::Relaxed) {
                0 => {}
                count => count_unread(count),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a new connection. Returns false if the maximum number is open.
    fn register(&self, stream: &tokio::net::TcpStream, peer: SocketAddr) -> io::Result<bool> {
        let now = self.timer.now();
        let mut table = self.lock();
        if table.connections.len() >= self.open_max && now >= table.last_check + CHECK_INTERVAL_MIN
        {
            self.close_idle(&mut table, now);
        }
        if table.connections.len() >= self.open_max {
            return Ok(false);
        }
        let socket = TcpStream::from(stream.as_fd().try_clone_to_owned()?);
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        let connection = Connection {
            id,
            socket,
            requests_in_progress: 0,
            has_received_request: false,
            has_unread_bytes: false,
            idle_since: now,
            unread: Arc::default(),
        };
        table.connections.insert(peer, connection);
        Ok(true)
    }

    /// Counts a request on its connection until the guard is dropped. `None` if the connection is already closed: the
    /// request must not be run then.
    pub(super) fn start_request(self: &Arc<Self>, peer: SocketAddr) -> Option<RequestGuard> {
        let mut table = self.lock();
        let connection = table.connections.get_mut(&peer)?;
        connection.requests_in_progress += 1;
        connection.has_received_request = true;
        connection.has_unread_bytes = false;
        let (id, unread) = (connection.id, Arc::clone(&connection.unread));
        unread.set(None);
        Some(RequestGuard { connections: Arc::clone(self), peer, id, unread, is_broken: false })
    }

    fn close_idle(&self, table: &mut ConnectionTable, now: Now) {
        table.last_check = now;
        table.connections.retain(|peer, connection| {
            if connection.requests_in_progress > 0 {
                let is_read =
                    connection.unread.get().is_none_or(|since| now < since + UNREAD_TIMEOUT);
                if !is_read {
                    log::warn!(
                        "http: closed the connection of {peer}: it read nothing for {UNREAD_TIMEOUT:?}"
                    );
                    self.unread_count.fetch_add(1, Ordering::Relaxed);
                    connection.shut_down();
                }
                return is_read;
            }
            // Does not block: the socket shares the non-blocking mode of the HTTP library's handle.
            let peeked = connection.socket.peek(&mut [0]);
            let had_unread_bytes =
                std::mem::replace(&mut connection.has_unread_bytes, matches!(peeked, Ok(1..)));
            let timeout = if connection.has_received_request {
                IDLE_TIMEOUT.max(self.head_timeout)
            } else {
                self.head_timeout
            };
            match peeked {
                Ok(0) => return false,
                // The library reads an idle connection at once. Bytes that are still unread at the next check
                // show that it has closed its handle.
                Ok(_) if had_unread_bytes => {}
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return false,
                _ if now < connection.idle_since + timeout => return true,
                _ => {}
            }
            log::debug!("http: closed the connection of {peer}: no request head arrived in time");
            connection.shut_down();
            false
        });
    }
}

/// Keeps a connection from being closed as idle while its request is being answered.
#[derive(Debug)]
pub(super) struct RequestGuard {
    connections: Arc<Connections>,
    peer: SocketAddr,
    id: u64,
    unread: Arc<Unread>,
    /// Whether the answer broke off, so that the connection must not stay open.
    is_broken: bool,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.connections.timer.now();
        let mut table = self.connections.lock();
        let connection = table.connections.get_mut(&self.peer);
        if let Some(connection) = connection.filter(|connection| connection.id == self.id) {
            connection.requests_in_progress -= 1;
            connection.idle_since = now;
            // The library closes only its own handle, so that the caller would wait for the rest.
            if self.is_broken {
                connection.shut_down();
                table.connections.remove(&self.peer);
            }
        }
    }
}

/// Body of a response that holds the guard of its request up to the last byte.
struct GuardedBody {
    body: Body,
    guard: RequestGuard,
}

/// Attaches the guard of a request to its response body, so that the guard lasts until the body is sent.
pub(super) fn guard_body(body: Body, guard: RequestGuard) -> Body {
    Body::from_body(GuardedBody { body, guard })
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        self.guard.is_broken |= matches!(polled, Poll::Ready(Some(Err(_))));
        let has_frame = matches!(polled, Poll::Ready(Some(Ok(_))));
        self.guard.unread.set(has_frame.then(|| self.guard.connections.timer.now()));
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Accepts the connections of a listener, within the limits if `connections` is set.
#[derive(Debug)]
pub(super) struct Acceptor {
    pub(super) listener: TcpListener,
    pub(super) connections: Option<Arc<Connections>>,
}

impl MakeIncoming for Acceptor {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for Acceptor {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("http: connection not accepted: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let connections = self.connections.as_ref();
            match connections.map_or(Ok(true), |connections| connections.register(&stream, peer)) {
                Ok(true) => {
                    let info = ConnInfo { peer_addr: Some(Address::from(peer)) };
                    return Ok(Some(Conn::new(stream.into(), info)));
                }
                Ok(false) => log::debug!("http: connection closed: the maximum number is open"),
                Err(e) => log::debug!("http: connection closed: it cannot be watched: {e}"),
            }
        }
    }
}
