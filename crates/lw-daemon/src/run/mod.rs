//! Starts the servers and background tasks and ends them after a drain.

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

use crate::{callers, claims, limits, members, observe, operators, orders, peers, tables::Tables};

mod connections;

use connections::{Acceptor, Connections};

/// Time after the mark as leaving in which the balancer still sends new requests.
const BALANCER_LAG: Duration = Duration::from_millis(500);

/// Longest wait for the outcomes of claimed calls at the end of a drain.
const RECORD_WAIT: Duration = Duration::from_secs(5);
const RECORD_POLL: Duration = Duration::from_millis(25);

/// Why the daemon stopped.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address could not be bound.
    #[display("cannot listen on {addr}: {source}")]
    #[from(skip)]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
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
        connect: settings.timeouts.connect,
        pool_idle: settings.timeouts.pool_idle,
    }));
    let statsd = Statsd::open(settings.statsd)?;
    let listen = settings.listen.clone();
    let tables = Arc::new(Tables::new(settings, bootstrap, clients, statsd));

    let callers = listener(listen.callers).await?;
    let operators = listener(listen.operators).await?;
    let peer_listener = listener(listen.peers).await?;
    tokio::spawn(members::run(Arc::clone(&tables)));
    let key = tables.settings.peer_key.expose_secret();
    let datagrams = Arc::new(Datagrams::bind(listen.peers, key).await?);
    tokio::spawn(limits::run(Arc::clone(&tables), Arc::clone(&datagrams)));
    tokio::spawn(limits::receive(Arc::clone(&tables), datagrams));
    tokio::spawn(orders::run(Arc::clone(&tables)));
    tokio::spawn(claims::run(Arc::clone(&tables)));
    tokio::spawn(members::follow_list(Arc::clone(&tables)));
    tokio::spawn(observe::follow(Arc::clone(&tables)));
    log::info!("run: {} serves callers on {}", tables.settings.vm, listen.callers);
    let (limits, timeouts) = (&tables.settings.limits, &tables.settings.timeouts);
    let bounds = Connections::new(tables.timer, limits.connections_max, timeouts.head);
    let bounds = Arc::new(bounds);
    tokio::spawn(Arc::clone(&bounds).watch());
    let callers = Acceptor { listener: callers, connections: Some(bounds) };
    let peer_listener = Acceptor { listener: peer_listener, connections: None };
    let operators = Acceptor { listener: operators, connections: None };
    let servers = [
        serve(&tables, callers, |tables, req| callers::serve(tables, req).boxed()),
        serve(&tables, peer_listener, |tables, req| peers::serve(tables, req).boxed()),
        serve(&tables, operators, |tables, req| operators::serve(tables, req).boxed()),
    ];
    drained(&tables).await;
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

async fn listener(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|source| Error::Listen { addr, source })
}

type Answer = futures::future::BoxFuture<'static, Response>;

fn serve(
    tables: &Arc<Tables>,
    acceptor: Acceptor,
    handler: fn(Arc<Tables>, Request) -> Answer,
) -> JoinHandle<()> {
    let headers_max = tables.settings.limits.headers_max;
    let hook_tables = Arc::clone(tables);
    let connections = acceptor.connections.clone();
    let service = Handler { tables: Arc::clone(tables), connections, answer: handler };
    let mut server = Server::new(service).register_shutdown_hook(move || {
        // The library closes connections 28 s after its hooks, so the drain has to happen in here.
        async move {
            leave(&hook_tables);
            drained(&hook_tables).await;
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
struct Handler {
    tables: Arc<Tables>,
    connections: Option<Arc<Connections>>,
    answer: fn(Arc<Tables>, Request) -> Answer,
}

impl motore::service::Service<ServerContext, Request> for Handler {
    type Response = Response;
    type Error = std::convert::Infallible;

    async fn call(
        &self,
        cx: &mut ServerContext,
        req: Request,
    ) -> Result<Self::Response, Self::Error> {
        let answer = (self.answer)(Arc::clone(&self.tables), req);
        let Some(connections) = &self.connections else { return Ok(answer.await) };
        let peer = cx.rpc_info().caller().address().and_then(|peer| peer.ip_addr().copied());
        let Some(busy) = peer.and_then(|peer| connections.begin(peer)) else {
            let text = "the connection was closed before its request was read";
            return Ok(server::failure(&Failure::new(ResultCode::NotReady, text)));
        };
        Ok(answer.await.map(|body| connections::hold(body, busy)))
    }
}

/// Marks this VM as leaving, here and at the peers.
pub fn leave(tables: &Arc<Tables>) {
    if !tables.is_leaving() {
        tables.leave();
        members::leave(tables);
    }
}

/// Waits until the outcomes of all claimed calls are recorded. An outage of the store bounds the wait: an outcome
/// that is not recorded is later reported as unknown, never as "not run".
async fn record_claims(tables: &Tables) {
    let until = tables.timer.now() + RECORD_WAIT;
    while tables.claims().open() > 0 && tables.timer.now() < until {
        tokio::time::sleep(RECORD_POLL).await;
    }
}

/// Returns when this VM is leaving and no request is in flight any more.
async fn drained(tables: &Tables) {
    let mut left_at = None;
    loop {
        let changed = tables.drain_changed.notified();
        let now = tables.timer.now();
        if tables.is_leaving() {
            let since = *left_at.get_or_insert(now);
            if tables.in_flight() == 0 && now >= since + BALANCER_LAG {
                record_claims(tables).await;
                return;
            }
        }
        let _ = tokio::time::timeout(BALANCER_LAG, changed).await;
    }
}
