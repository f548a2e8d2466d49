//! Starts the servers and the background tasks, and stops the servers after a drain.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, Error, From};
use futures::FutureExt;
use lw_config::{document::Document, settings::Settings};
use lw_metrics::statsd::Statsd;
use lw_protocol::caller::Failure;
use lw_transport::{
    client::{self, Clients},
    datagram::{self, Datagrams},
    server,
};
use lw_types::prelude::*;
use tokio::{net::TcpListener, task::JoinHandle};
use volo::context::Context as _;
use volo_http::{context::ServerContext, request::Request, response::Response, server::Server};

use crate::{
    callers, claims, limits, members, observe, operators, orders, peers, services,
    tables::{BALANCER_UPDATE_DELAY, Tables},
};

mod connections;
mod unread;

use connections::{Acceptor, Connections};

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
    let (limits, timeouts) = (&tables.settings.limits, &tables.settings.timeouts);
    let timeouts = connections::Timeouts { head: timeouts.head, unread: timeouts.unread };
    let memory = Arc::clone(&tables.caller_memory);
    let connection_limits =
        Arc::new(Connections::new(tables.timer, limits.connections_max, timeouts, memory));
    let count_tables = Arc::clone(&tables);
    let count_closed = move |kind: &str, count| {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        count_tables.statsd.count(&format!("closed_connections.{kind}"), count);
    };
    tokio::spawn(Arc::clone(&connection_limits).run_idle_checks(count_closed));
    let callers = Acceptor { listener: callers, connections: Some(connection_limits) };
    let peer_listener = Acceptor { listener: peer_listener, connections: None };
    let operators = Acceptor { listener: operators, connections: None };
    let servers = [
        serve(&tables, callers, |tables, req| callers::serve(tables, req).boxed()),
        serve(&tables, peer_listener, |tables, req| peers::serve(tables, req).boxed()),
        serve(&tables, operators, |tables, req| operators::serve(tables, req).boxed()),
    ];
    wait_until_drained(&tables).await;
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

fn serve(
    tables: &Arc<Tables>,
    acceptor: Acceptor,
    handler: fn(Arc<Tables>, Request) -> ResponseFuture,
) -> JoinHandle<()> {
    let headers_max = tables.settings.limits.headers_max;
    let hook_tables = Arc::clone(tables);
    let connections = acceptor.connections.clone();
    let service = HttpService { tables: Arc::clone(tables), connections, handler };
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
        if let Err(e) = server.run(acceptor).await {
            log::error!("run: server ended: {e}");
        }
    })
}

#[derive(Clone)]
struct HttpService {
    tables: Arc<Tables>,
    connections: Option<Arc<Connections>>,
    handler: fn(Arc<Tables>, Request) -> ResponseFuture,
}

impl motore::service::Service<ServerContext, Request> for HttpService {
    type Response = Response;
    type Error = std::convert::Infallible;

    async fn call(
        &self,
        cx: &mut ServerContext,
        req: Request,
    ) -> Result<Self::Response, Self::Error> {
        let response = (self.handler)(Arc::clone(&self.tables), req);
        let Some(connections) = &self.connections else { return Ok(response.await) };
        let peer = cx.rpc_info().caller().address().and_then(|peer| peer.ip_addr().copied());
        let Some(guard) = peer.and_then(|peer| connections.start_request(peer)) else {
            let text = "the connection was closed before its request was read";
            return Ok(server::failure(&Failure::new(ResultCode::NotReady, text)));
        };
        Ok(response.await.map(|body| connections::guard_body(body, guard)))
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
