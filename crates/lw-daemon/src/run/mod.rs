//! Starts the servers and the background tasks, and stops the servers after a drain.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use derive_more::{Display, Error, From};
use futures::FutureExt;
use hyper::body::Incoming;
use lw_config::{document::Document, settings::Settings};
use lw_forward::listen::{self, ClosedCounts, Connections};
use lw_metrics::statsd::Statsd;
use lw_transport::{
    client::{self, Clients},
    datagram::{self, Datagrams},
};
use tokio::{net::TcpListener, task::JoinHandle};
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response, server::Server,
};

use crate::{
    callers, claims, limits, members, observe, operators, orders, peers, services,
    tables::{BALANCER_UPDATE_DELAY, Tables},
};

mod acceptor;

use acceptor::Acceptor;

/// Time without a request after which a connection that has carried one is closed. Load balancers commonly keep idle
/// connections for 60 s, and a request that is sent on a connection while it closes has to be sent again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Largest request head.
const HEAD_MAX_BYTES: usize = 408 << 10;
/// Period in which the counts of closed connections are sent.
const CLOSED_COUNT_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait at the end of a drain until the outcomes of claimed calls are recorded.
const OUTCOMES_TIMEOUT: Duration = Duration::from_secs(5);
const OUTCOMES_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Fault that keeps the daemon from starting.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address could not be bound.
    #[display("cannot listen on {addr}: {source}")]
    #[from(skip)]
    Listen {
        /// Address to listen on.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The bootstrap document could not be used.
    #[display("bootstrap document: {_0}")]
    #[from(skip)]
    Bootstrap(#[error(not(source))] String),
    /// The datagram socket of the peer address could not be bound.
    Datagram(datagram::Error),
    /// The statsd sink could not be opened.
    Statsd(lw_metrics::statsd::Error),
}

/// How a run ended.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that were still in flight at the end; 0 after a complete drain.
    pub in_flight: u64,
}

/// Runs one VM until it is drained by a signal or an operator.
///
/// # Errors
///
/// When an address, the bootstrap document or the statsd sink cannot be used.
pub async fn run(settings: Settings) -> Result<Outcome, Error> {
    let bootstrap = settings.bootstrap.as_deref().map(load_bootstrap).transpose()?;
    let clients = Arc::new(Clients::new(client::Options {
        connect_timeout: settings.timeouts.connect,
        pool_idle_timeout: settings.timeouts.pool_idle,
    }));
    let statsd = Statsd::open(settings.statsd)?;
    let listen = settings.listen.clone();
    let tables = Arc::new(Tables::new(settings, bootstrap, clients, statsd));

    let callers = bind(listen.callers).await?;
    let operators = bind(listen.operators).await?;
    let peer_listener = bind(listen.peers).await?;
    tokio::spawn(members::run(Arc::clone(&tables)));
    let key = tables.settings.peer_key.expose_secret();
    let datagrams = Arc::new(Datagrams::bind(listen.peers, key).await?);
    tokio::spawn(limits::run(Arc::clone(&tables), Arc::clone(&datagrams)));
    tokio::spawn(limits::receive_load_messages(Arc::clone(&tables), datagrams));
    tokio::spawn(orders::run(Arc::clone(&tables)));
    tokio::spawn(claims::run(Arc::clone(&tables)));
    tokio::spawn(members::poll_vm_list(Arc::clone(&tables)));
    tokio::spawn(observe::poll_engines(Arc::clone(&tables)));
    tokio::spawn(services::close_idle_connections(Arc::clone(&tables)));
    log::info!("run: {} serves callers on {}", tables.settings.vm, listen.callers);
    let callers = tokio::spawn(serve_callers(Arc::clone(&tables), callers));
    let servers = [
        serve(&tables, peer_listener, |tables, req| peers::serve(tables, req).boxed()),
        serve(&tables, operators, |tables, req| operators::serve(tables, req).boxed()),
    ];
    wait_until_drained(&tables).await;
    callers.abort();
    for server in servers {
        server.abort();
    }
    log::info!("run: drained");
    Ok(Outcome { in_flight: tables.in_flight() })
}

fn load_bootstrap(path: &str) -> Result<Document, Error> {
    let text =
        std::fs::read_to_string(path).map_err(|e| Error::Bootstrap(format!("{path}: {e}")))?;
    Document::from_json(&text).map_err(|e| Error::Bootstrap(e.to_string()))
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|source| Error::Listen { addr, source })
}

type ResponseFuture = futures::future::BoxFuture<'static, Response>;

/// Serves callers within the memory that is set aside for them, for as long as the process runs.
async fn serve_callers(tables: Arc<Tables>, listener: TcpListener) {
    let closed = Arc::new(ClosedCounts::default());
    tokio::spawn(count_closed(Arc::clone(&tables), Arc::clone(&closed)));
    let connections = Connections::counting(closed).within(Arc::clone(&tables.caller_memory));
    let (limits, timeouts) = (&tables.settings.limits, &tables.settings.timeouts);
    let options = listen::Options {
        head_timeout: timeouts.head,
        idle_timeout: IDLE_TIMEOUT.max(timeouts.head),
        head_max_bytes: HEAD_MAX_BYTES,
        head_max_fields: limits.headers_max,
        unread_max: timeouts.unread,
        connections_max: limits.connections_max,
    };
    let answer = move |req: http::Request<Incoming>| {
        let answer = callers::serve(Arc::clone(&tables), req.map(Body::from_incoming));
        async move { Ok::<_, Infallible>(answer.await) }
    };
    listen::serve(listener, connections, move || options, answer).await;
}

/// Sends the counts of connections that were closed because of their callers to statsd.
async fn count_closed(tables: Arc<Tables>, closed: Arc<ClosedCounts>) {
    let mut ticks = tables.timer.subscribe(CLOSED_COUNT_PERIOD);
    loop {
        ticks.tick().await;
        let counts = [
            ("too_many", &closed.too_many),
            ("stalled", &closed.stalled),
            ("unread", &closed.unread),
            ("slowest", &closed.slowest),
        ];
        for (kind, count) in counts {
            let count = i64::try_from(count.swap(0, Ordering::Relaxed)).unwrap_or(i64::MAX);
            if count > 0 {
                tables.statsd.count(&format!("closed_connections.{kind}"), count);
            }
        }
    }
}

fn serve(
    tables: &Arc<Tables>,
    listener: TcpListener,
    handler: fn(Arc<Tables>, Request) -> ResponseFuture,
) -> JoinHandle<()> {
    let headers_max = tables.settings.limits.headers_max;
    let hook_tables = Arc::clone(tables);
    let service = HttpService { tables: Arc::clone(tables), handler };
    let mut server = Server::new(service).register_shutdown_hook(move || {
        // The library closes all connections 28 s after its hooks have ended, so the hook waits for the drain.
        async move {
            leave(&hook_tables);
            wait_until_drained(&hook_tables).await;
        }
        .boxed()
    });
    server.http1_config().set_max_headers(headers_max);
    tokio::spawn(async move {
        if let Err(e) = server.run(Acceptor(listener)).await {
            log::error!("run: server ended: {e}");
        }
    })
}

#[derive(Clone)]
struct HttpService {
    tables: Arc<Tables>,
    handler: fn(Arc<Tables>, Request) -> ResponseFuture,
}

impl motore::service::Service<ServerContext, Request> for HttpService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut ServerContext,
        req: Request,
    ) -> Result<Self::Response, Self::Error> {
        Ok((self.handler)(Arc::clone(&self.tables), req).await)
    }
}

/// Marks this VM as leaving, here and at the peers.
pub fn leave(tables: &Arc<Tables>) {
    if !tables.is_leaving() {
        tables.mark_leaving();
        members::announce_leaving(tables);
    }
}

/// Waits until the outcomes of all claimed calls are recorded, or until a timeout if the store is not available. An
/// outcome that is not recorded is later reported as unknown, never as "not run".
async fn wait_for_claim_outcomes(tables: &Tables) {
    let deadline = tables.timer.now() + OUTCOMES_TIMEOUT;
    while tables.claims().pending_count() > 0 && tables.timer.now() < deadline {
        tokio::time::sleep(OUTCOMES_POLL_INTERVAL).await;
    }
}

/// Returns when this VM is leaving and has no request in flight.
async fn wait_until_drained(tables: &Tables) {
    loop {
        let changed = tables.drain_changed.notified();
        if tables.is_refusing_requests() && tables.in_flight() == 0 {
            wait_for_claim_outcomes(tables).await;
            return;
        }
        let _ = tokio::time::timeout(BALANCER_UPDATE_DELAY, changed).await;
    }
}
