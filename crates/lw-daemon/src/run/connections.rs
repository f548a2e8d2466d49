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
use lw_forward::intake::CallerMemory;
use lw_transport::timer::Timer;
use lw_types::prelude::*;
use tokio::net::TcpListener;
use volo::net::{
    Address,
    conn::{Conn, ConnInfo},
    incoming::{Incoming, MakeIncoming},
};
use volo_http::{body::Body, error::BoxError};

use super::unread::{Undelivered, Unread, slowest};

/// Time without a request after which a connection that has carried one is closed. Load balancers commonly keep idle
/// connections for 60 s, and a request that is sent on a connection while it closes has to be sent again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
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
    timeouts: Timeouts,
    memory: Arc<CallerMemory>,
    last_id: AtomicU64,
    /// Number of connections that were closed since their callers read nothing.
    unread_count: AtomicU64,
    /// Number of connections that were closed since their callers read least and memory was scarce.
    slowest_count: AtomicU64,
}

/// Timeouts of callers' connections.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timeouts {
    /// For the first request head.
    pub(super) head: Duration,
    /// Time for which a caller may read nothing of an answer that waits for it.
    pub(super) unread: Duration,
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
    undelivered: Undelivered,
}

impl Connection {
    fn shut_down(&self) {
        if let Err(e) = self.socket.shutdown(Shutdown::Both) {
            log::debug!("http: a connection was not shut down: {e}");
        }
    }
}

impl Connections {
    pub(super) fn new(
        timer: Timer,
        open_max: usize,
        timeouts: Timeouts,
        memory: Arc<CallerMemory>,
    ) -> Self {
        Self {
            table: Mutex::default(),
            timer,
            open_max,
            timeouts,
            memory,
            last_id: AtomicU64::new(0),
            unread_count: AtomicU64::new(0),
            slowest_count: AtomicU64::new(0),
        }
    }

    /// Closes idle connections, and those whose callers read too little, until the process ends. Counts the latter by kind.
    pub(super) async fn run_idle_checks(self: Arc<Self>, count_closed: impl Fn(&str, u64)) {
        let period = (self.timeouts.head.min(self.timeouts.unread) / 4).min(CHECK_INTERVAL_MAX);
        let mut ticks = self.timer.subscribe(period);
        loop {
            let now = ticks.tick().await;
            self.close_idle(&mut self.lock(), now);
            self.close_slowest(&mut self.lock(), now);
            for (kind, count) in [("unread", &self.unread_count), ("slowest", &self.slowest_count)]
            {
                match count.swap(0, Ordering::Relaxed) {
                    0 => {}
                    count => count_closed(kind, count),
                }
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
            undelivered: Undelivered::None,
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
        if connection.undelivered.drain().is_none() {
            connection.undelivered = Undelivered::Unknown;
        }
        let (id, unread) = (connection.id, Arc::clone(&connection.unread));
        unread.set(None);
        Some(RequestGuard { connections: Arc::clone(self), peer, id, unread, is_broken: false })
    }

    fn close_idle(&self, table: &mut ConnectionTable, now: Now) {
        table.last_check = now;
        table.connections.retain(|peer, connection| {
            let is_idle = connection.requests_in_progress == 0;
            let (taken, idle_since) = if is_idle {
                (None, Some(connection.idle_since))
            } else {
                (connection.unread.get(), None)
            };
            connection.undelivered.update(&connection.socket, taken, idle_since, now);
            if let Some(drain) = connection.undelivered.drain() {
                connection.idle_since = now;
                let idle_time = drain.idle_time(now);
                if idle_time >= self.timeouts.unread {
                    log::warn!(
                        "http: closed the connection of {peer}: it read nothing for {idle_time:?}"
                    );
                    self.unread_count.fetch_add(1, Ordering::Relaxed);
                    connection.shut_down();
                    return false;
                }
                return true;
            }
            if !is_idle {
                return true;
            }
            // Does not block: the socket shares the non-blocking mode of the HTTP library's handle.
            let peeked = connection.socket.peek(&mut [0]);
            let had_unread_bytes =
                std::mem::replace(&mut connection.has_unread_bytes, matches!(peeked, Ok(1..)));
            let timeout = if connection.has_received_request {
                IDLE_TIMEOUT.max(self.timeouts.head)
            } else {
                self.timeouts.head
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

    /// Closes the connections whose callers read least, if memory is scarce.
    fn close_slowest(&self, table: &mut ConnectionTable, now: Now) {
        if !self.memory.needs_room() {
            return;
        }
        let rates = table.connections.iter().filter_map(|(peer, connection)| {
            Some((*peer, connection.undelivered.drain()?.rate(now)?))
        });
        for (peer, rate) in slowest(rates) {
            let used = self.memory.used();
            log::warn!(
                "http: closed the connection of {peer}: it reads {rate} bytes/s and memory is scarce, {} of {} bytes are \
                 held, {} of answers",
                used.total(),
                self.memory.shares().total,
                used.answers
            );
            self.slowest_count.fetch_add(1, Ordering::Relaxed);
            if let Some(connection) = table.connections.remove(&peer) {
                connection.shut_down();
            }
        }
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
