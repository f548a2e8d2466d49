//! Connections to upstreams.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, response::Parts};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::Instant};

mod body;

pub use body::AnswerBody;

/// Bounds of connections.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time to establish a connection.
    pub connect_timeout: Duration,
    /// Time for which an idle connection is kept when the upstream states none.
    pub idle_timeout: Duration,
    /// Time before the stated end of an idle connection at which it is not used any more.
    pub idle_margin: Duration,
    /// Most connections in all.
    pub connections_max: usize,
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection or a new one.
    Any,
    /// An idle connection only if it was used a moment ago, since its upstream may be about to close it.
    Recent,
    /// Only a new connection.
    Never,
}

/// Largest head of an answer, and most bytes of an answer that are read ahead.
const BUFFER_MAX_BYTES: usize = 64 << 10;
/// Idle time up to which a connection is [`Reuse::Recent`]. Upstreams whose idle time is below a second state none.
const YOUNG: Duration = Duration::from_millis(400);

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

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// The body, which gives the connection back when it was read to its end.
    pub body: AnswerBody,
}

/// An upstream at an address. Another upstream at the same address has connections of its own.
pub type HostKey = (SocketAddr, Arc<str>);

#[derive(Debug, Default)]
struct Host {
    idle: VecDeque<Idle>,
    open: usize,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Instant,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    hosts: HashMap<HostKey, Host>,
    open: usize,
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
        self.pool.closed(&self.key);
    }
}

/// Connections to all upstreams.
#[derive(Debug)]
pub struct Pool {
    options: Options,
    state: Mutex<State>,
}

impl Pool {
    /// No connections yet.
    #[must_use]
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self { options, state: Mutex::default() })
    }

    /// Connections to one upstream, idle ones included.
    #[must_use]
    pub fn open_count(&self, key: &HostKey) -> usize {
        self.lock().hosts.get(key).map_or(0, |host| host.open)
    }

    /// Closes the idle connections to upstreams that are not in use any more, and those that are idle for too long.
    pub fn close_unused(&self, is_in_use: impl Fn(&HostKey) -> bool) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        let mut state = self.lock();
        for (key, host) in &mut state.hosts {
            let used = is_in_use(key);
            let (kept, old): (VecDeque<_>, VecDeque<_>) =
                host.idle.drain(..).partition(|idle| used && idle.until > now);
            host.idle = kept;
            dropped.extend(old);
        }
        drop(state);
        // The connections lock the state when they are dropped.
        drop(dropped);
        self.lock().hosts.retain(|_, host| host.open > 0);
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
    ) -> Result<Answer, Error> {
        while let Some(mut conn) = self.checkout(key, reuse) {
            if conn.sender.ready().await.is_err() {
                continue;
            }
            match conn.sender.try_send_request(req).await {
                Ok(response) => return Ok(reply(response, conn)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(Error::Broken(e.into_error().to_string())),
                },
            }
        }
        let mut conn = self.connect(key).await?;
        match conn.sender.try_send_request(req).await {
            Ok(response) => Ok(reply(response, conn)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let text = e.into_error().to_string();
                Err(if unsent { Error::NotSent(text) } else { Error::Broken(text) })
            }
        }
    }

    fn checkout(&self, key: &HostKey, reuse: Reuse) -> Option<Conn> {
        if reuse == Reuse::Never {
            return None;
        }
        let now = Instant::now();
        loop {
            let idle = self.lock().hosts.get_mut(key)?.idle.pop_back()?;
            let is_young = reuse == Reuse::Any || now < idle.since + YOUNG;
            if idle.until > now && is_young && !idle.conn.sender.is_closed() {
                return Some(idle.conn);
            }
        }
    }

    async fn connect(self: &Arc<Self>, key: &HostKey) -> Result<Conn, Error> {
        self.reserve(key)?;
        let guard = Reserved { pool: self, key, used: false };
        let not_sent = |e: std::io::Error| Error::NotSent(e.to_string());
        let stream = tokio::time::timeout(self.options.connect_timeout, TcpStream::connect(key.0));
        let stream = stream.await.map_err(|_| Error::NotSent("connect timed out".into()))?;
        let stream = stream.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX_BYTES);
        let shaken = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|e| Error::NotSent(e.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("http: connection to an upstream ended: {e}");
            }
        });
        guard.keep();
        Ok(Conn { sender, driver, pool: Arc::clone(self), key: key.clone() })
    }

    fn reserve(&self, key: &HostKey) -> Result<(), Error> {
        let mut state = self.lock();
        if state.open >= self.options.connections_max {
            return Err(Error::NotSent("too many connections are open".into()));
        }
        state.open += 1;
        state.hosts.entry(key.clone()).or_default().open += 1;
        Ok(())
    }

    fn closed(&self, key: &HostKey) {
        let mut state = self.lock();
        state.open = state.open.saturating_sub(1);
        if let Some(host) = state.hosts.get_mut(key) {
            host.open = host.open.saturating_sub(1);
        }
    }

    fn give_back(&self, conn: Conn, keep: Option<Duration>) {
        let now = Instant::now();
        let keep = keep.map(|time| time.saturating_sub(self.options.idle_margin));
        let until = now + keep.unwrap_or(self.options.idle_timeout);
        let key = conn.key.clone();
        let mut state = self.lock();
        if let Some(host) = state.hosts.get_mut(&key) {
            host.idle.push_back(Idle { conn, since: now, until });
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

/// The place of a connection that is being established.
struct Reserved<'a> {
    pool: &'a Pool,
    key: &'a HostKey,
    used: bool,
}

impl Reserved<'_> {
    fn keep(mut self) {
        self.used = true;
    }
}

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        if !self.used {
            self.pool.closed(self.key);
        }
    }
}

fn reply(response: http::Response<hyper::body::Incoming>, conn: Conn) -> Answer {
    let (head, incoming) = response.into_parts();
    let body = AnswerBody::new(incoming, conn, &head);
    Answer { head, body }
}
