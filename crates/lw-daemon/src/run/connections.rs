//! Bounds on the callers' connections: how many are open, and how long one may stay without a request.
//!
//! The HTTP library takes no timer for request heads, so a second handle of each socket is kept here, with which a
//! connection is shut down. A connection whose request is being answered is left to the library.

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

/// Time without a request after which a connection that had one is closed. Balancers commonly keep idle
/// connections for 60 s, and a request that meets a closing connection has to be sent again.
const IDLE: Duration = Duration::from_secs(75);
/// Longest time between two looks at the open connections.
const SWEEP_PERIOD_MAX: Duration = Duration::from_secs(1);
/// Shortest time between two looks that new connections cause while the limit is reached.
const SWEEP_PERIOD_MIN: Duration = Duration::from_millis(100);
/// Pause after a failed accept, which otherwise repeats at once while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The open connections of one listener.
#[derive(Debug)]
pub(super) struct Connections {
    open: Mutex<Open>,
    timer: Timer,
    max: usize,
    head: Duration,
    last_id: AtomicU64,
}

#[derive(Debug, Default)]
struct Open {
    connections: HashMap<SocketAddr, Connection>,
    swept: Now,
}

#[derive(Debug)]
struct Connection {
    id: u64,
    socket: TcpStream,
    /// Requests that are being answered.
    busy: u32,
    /// Whether a request head was ever received.
    served: bool,
    /// Whether the last look found bytes that nobody had read.
    unread: bool,
    /// Start of the time without a request.
    idle_since: Now,
}

impl Connections {
    pub(super) fn new(timer: Timer, max: usize, head: Duration) -> Self {
        let last_id = AtomicU64::new(0);
        Self { open: Mutex::default(), timer, max, head, last_id }
    }

    /// Ends connections without a request until the process ends.
    pub(super) async fn watch(self: Arc<Self>) {
        let period = (self.head / 4).min(SWEEP_PERIOD_MAX);
        let mut ticks = self.timer.subscribe(period);
        loop {
            let now = ticks.tick().await;
            self.sweep(&mut self.lock(), now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a new connection, unless too many are open.
    fn admit(&self, stream: &tokio::net::TcpStream, peer: SocketAddr) -> io::Result<bool> {
        let now = self.timer.now();
        let mut open = self.lock();
        if open.connections.len() >= self.max && now >= open.swept + SWEEP_PERIOD_MIN {
            self.sweep(&mut open, now);
        }
        if open.connections.len() >= self.max {
            return Ok(false);
        }
        let socket = TcpStream::from(stream.as_fd().try_clone_to_owned()?);
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        let connection =
            Connection { id, socket, busy: 0, served: false, unread: false, idle_since: now };
        open.connections.insert(peer, connection);
        Ok(true)
    }

    /// Marks a connection as busy; none when it was already ended, so that its request must not run.
    pub(super) fn begin(self: &Arc<Self>, peer: SocketAddr) -> Option<Busy> {
        let mut open = self.lock();
        let connection = open.connections.get_mut(&peer)?;
        connection.busy += 1;
        connection.served = true;
        connection.unread = false;
        Some(Busy { connections: Arc::clone(self), peer, id: connection.id })
    }

    fn sweep(&self, open: &mut Open, now: Now) {
        open.swept = now;
        open.connections.retain(|peer, connection| {
            if connection.busy > 0 {
                return true;
            }
            // The socket does not block, since its mode is shared with the handle of the HTTP library.
            let peeked = connection.socket.peek(&mut [0]);
            let was_unread = std::mem::replace(&mut connection.unread, matches!(peeked, Ok(1..)));
            let allowed = if connection.served { IDLE.max(self.head) } else { self.head };
            match peeked {
                Ok(0) => return false,
                // The library reads an idle connection at once, so it has closed its handle of this one.
                Ok(_) if was_unread => {}
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return false,
                _ if now < connection.idle_since + allowed => return true,
                _ => {}
            }
            log::debug!("http: connection of {peer} ended, no request head came");
            let _ = connection.socket.shutdown(Shutdown::Both);
            false
        });
    }
}

/// Keeps a connection from being ended while its request is being answered.
#[derive(Debug)]
pub(super) struct Busy {
    connections: Arc<Connections>,
    peer: SocketAddr,
    id: u64,
}

impl Drop for Busy {
    fn drop(&mut self) {
        let now = self.connections.timer.now();
        let mut open = self.connections.lock();
        let connection = open.connections.get_mut(&self.peer);
        if let Some(connection) = connection.filter(|connection| connection.id == self.id) {
            connection.busy -= 1;
            connection.idle_since = now;
        }
    }
}

/// The body of an answer, which keeps its connection busy to the last byte.
struct BusyBody {
    body: Body,
    _busy: Busy,
}

/// Keeps the connection busy until the whole body was taken.
pub(super) fn hold(body: Body, busy: Busy) -> Body {
    Body::from_body(BusyBody { body, _busy: busy })
}

impl http_body::Body for BusyBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Accepts the connections of a listener, within the bounds if there are any.
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let connections = self.connections.as_ref();
            match connections.map_or(Ok(true), |all| all.admit(&stream, peer)) {
                Ok(true) => {
                    let info = ConnInfo { peer_addr: Some(Address::from(peer)) };
                    return Ok(Some(Conn::new(stream.into(), info)));
                }
                Ok(false) => log::debug!("http: connection closed, too many are open"),
                Err(e) => log::debug!("http: connection closed, it cannot be watched: {e}"),
            }
        }
    }
}
