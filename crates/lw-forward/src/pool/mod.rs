//! Pooled connections to upstreams.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, StatusCode, response::Parts};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::Notify, task::JoinHandle, time::Instant};

mod body;

pub use body::UpstreamAnswerBody;

/// Limits of connections.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time to establish a connection.
    pub connect_timeout: Duration,
    /// Time for which an idle connection is kept when the upstream states none.
    pub idle_timeout: Duration,
    /// Time by which an idle connection is given up before the end that its upstream states.
    pub idle_margin: Duration,
    /// Maximum number of connections to all upstreams.
    pub connections_max: usize,
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection or a new one.
    Any,
    /// A new connection, or an idle one that was used a moment ago: after a longer time its upstream may be about to
    /// close it.
    Recent,
    /// Only a new connection.
    Never,
}

/// Largest head of an answer, and most bytes of an answer that are read ahead.
const BUFFER_MAX_BYTES: usize = 64 << 10;
/// Most interim answers (status 1xx) to one request. The HTTP library would read them without end.
const INTERIM_ANSWERS_MAX: usize = 16;
/// Largest status that HTTP defines.
const STATUS_MAX: u16 = 599;
/// Idle time up to which a connection may be used with [`Reuse::Recent`]. It is short since upstreams that close idle
/// connections within a second do not state their idle time.
const RECENT_IDLE_MAX: Duration = Duration::from_millis(400);

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// Nothing was written, so the upstream has not run it.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection broke after the request was written, so the upstream may have run it.
    #[display("connection broke: {_0}")]
    Broken(#[error(not(source))] String),
}

/// An upstream's answer.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status and headers.
    pub head: Parts,
    /// The body, which returns its connection to the pool when it was read to its end.
    pub body: UpstreamAnswerBody,
}

/// An upstream at an address. Another upstream at the same address has its own connections.
pub type HostKey = (SocketAddr, Arc<str>);

#[derive(Debug, Default)]
struct Host {
    idle: VecDeque<IdleConn>,
    open_count: usize,
}

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    idle_since: Instant,
    usable_until: Instant,
}

#[derive(Debug, Default)]
struct State {
    hosts: HashMap<HostKey, Host>,
    open_count: usize,
}

/// One connection; it is closed when this is dropped.
#[derive(Debug)]
struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    pool: Arc<Pool>,
    key: HostKey,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
        self.pool.release_slot(&self.key);
    }
}

/// Connections to all upstreams.
#[derive(Debug)]
pub struct Pool {
    options: Options,
    state: Mutex<State>,
}

impl Pool {
    /// Returns a pool without connections.
    #[must_use]
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self { options, state: Mutex::default() })
    }

    /// Number of connections to one upstream, idle ones included.
    #[must_use]
    pub fn open_count(&self, key: &HostKey) -> usize {
        self.lock().hosts.get(key).map_or(0, |host| host.open_count)
    }

    /// Whether a connection to an upstream is open, as far as is known.
    #[must_use]
    pub fn is_connected(&self, key: &HostKey) -> bool {
        let state = self.lock();
        state.hosts.get(key).is_some_and(|host| {
            host.open_count > host.idle.len()
                || host.idle.iter().any(|idle| !idle.conn.sender.is_closed())
        })
    }

    /// Closes idle connections whose upstream is no longer in use and those that have been idle for too long.
    pub fn close_unused(&self, is_in_use: impl Fn(&HostKey) -> bool) {
        let now = Instant::now();
        let mut to_close = Vec::new();
        let mut state = self.lock();
        for (key, host) in &mut state.hosts {
            let is_used = is_in_use(key);
            let (usable, expired): (VecDeque<_>, VecDeque<_>) =
                host.idle.drain(..).partition(|idle| is_used && idle.usable_until > now);
            host.idle = usable;
            to_close.extend(expired);
        }
        drop(state);
        // The connections lock the state when they are dropped.
        drop(to_close);
        self.lock().hosts.retain(|_, host| host.open_count > 0);
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// Dropping the future or the answer's body closes the connection, which ends the work at the upstream.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] or [`Error::Broken`].
    pub async fn send(
        self: &Arc<Self>,
        key: &HostKey,
        mut req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<UpstreamAnswer, Error> {
        while let Some(mut conn) = self.check_out(key, reuse) {
            if conn.sender.ready().await.is_err() {
                continue;
            }
            match exchange(conn, req).await {
                Err((_, Some(unsent))) => req = unsent,
                Err((e, None)) => return Err(Error::Broken(e)),
                Ok(answer) => return Ok(answer),
            }
        }
        let conn = self.connect(key).await?;
        exchange(conn, req).await.map_err(|(e, unsent)| match unsent {
            Some(_) => Error::NotSent(e),
            None => Error::Broken(e),
        })
    }

    fn check_out(&self, key: &HostKey, reuse: Reuse) -> Option<Conn> {
        if reuse == Reuse::Never {
            return None;
        }
        let now = Instant::now();
        loop {
            let idle = self.lock().hosts.get_mut(key)?.idle.pop_back()?;
            let may_reuse = reuse == Reuse::Any || now < idle.idle_since + RECENT_IDLE_MAX;
            if idle.usable_until > now && may_reuse && !idle.conn.sender.is_closed() {
                return Some(idle.conn);
            }
        }
    }

    async fn connect(self: &Arc<Self>, key: &HostKey) -> Result<Conn, Error> {
        self.reserve_slot(key)?;
        let slot = ReservedSlot { pool: self, key, is_used: false };
        let not_sent = |e: std::io::Error| Error::NotSent(e.to_string());
        let stream = tokio::time::timeout(self.options.connect_timeout, TcpStream::connect(key.0));
        let stream = stream.await.map_err(|_| Error::NotSent("connect timed out".into()))?;
        let stream = stream.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| Error::NotSent(e.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("http: connection to an upstream failed: {e}");
            }
        });
        slot.mark_used();
        Ok(Conn { sender, driver, pool: Arc::clone(self), key: key.clone() })
    }

    fn reserve_slot(&self, key: &HostKey) -> Result<(), Error> {
        let mut state = self.lock();
        if state.open_count >= self.options.connections_max {
            return Err(Error::NotSent("too many connections are open".into()));
        }
        state.open_count += 1;
        state.hosts.entry(key.clone()).or_default().open_count += 1;
        Ok(())
    }

    fn release_slot(&self, key: &HostKey) {
        let mut state = self.lock();
        state.open_count = state.open_count.saturating_sub(1);
        if let Some(host) = state.hosts.get_mut(key) {
            host.open_count = host.open_count.saturating_sub(1);
        }
    }

    fn check_in(&self, conn: Conn, keep_alive: Option<Duration>) {
        let now = Instant::now();
        let usable_time = keep_alive.map(|time| time.saturating_sub(self.options.idle_margin));
        let usable_until = now + usable_time.unwrap_or(self.options.idle_timeout);
        let key = conn.key.clone();
        let mut state = self.lock();
        if let Some(host) = state.hosts.get_mut(&key) {
            host.idle.push_back(IdleConn { conn, idle_since: now, usable_until });
            return;
        }
        // The connection locks the state when it is dropped.
        drop(state);
        drop(conn);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The slot of a connection that is being established. It is released on drop unless the connection uses it.
struct ReservedSlot<'a> {
    pool: &'a Pool,
    key: &'a HostKey,
    is_used: bool,
}

impl ReservedSlot<'_> {
    fn mark_used(mut self) {
        self.is_used = true;
    }
}

impl Drop for ReservedSlot<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.pool.release_slot(self.key);
        }
    }
}

/// Sends a request on a connection and waits for the head of the answer. Returns the error with the request if nothing of
/// it was written.
async fn exchange(
    mut conn: Conn,
    mut req: Request<Full<Bytes>>,
) -> Result<UpstreamAnswer, (String, Option<Request<Full<Bytes>>>)> {
    let is_flooded = Arc::new(Notify::new());
    let (count, flooded) = (AtomicUsize::new(0), Arc::clone(&is_flooded));
    hyper::ext::on_informational(&mut req, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= INTERIM_ANSWERS_MAX {
            flooded.notify_one();
        }
    });
    let sent = tokio::select! {
        sent = conn.sender.try_send_request(req) => sent,
        () = is_flooded.notified() => {
            return Err((format!("more than {INTERIM_ANSWERS_MAX} interim answers"), None));
        }
    };
    match sent {
        // No request asks for an upgrade.
        Ok(response) if response.status() == StatusCode::SWITCHING_PROTOCOLS => {
            Err(("it switched to another protocol".into(), None))
        }
        // HTTP defines 100 to 599, and no caller knows what another status means.
        Ok(response) if response.status().as_u16() > STATUS_MAX => {
            Err((format!("it sent the status {}", response.status().as_u16()), None))
        }
        Ok(response) => Ok(to_answer(response, conn)),
        Err(mut e) => {
            let unsent = e.take_message();
            Err((e.into_error().to_string(), unsent))
        }
    }
}

fn to_answer(response: http::Response<hyper::body::Incoming>, conn: Conn) -> UpstreamAnswer {
    let (head, incoming) = response.into_parts();
    let body = UpstreamAnswerBody::new(incoming, conn, &head);
    UpstreamAnswer { head, body }
}
