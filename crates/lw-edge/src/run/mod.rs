//! Starts a VM on the platform and ends it after a drain.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, Error};
use lw_catalog::VmSettings;
use lw_forward::listen::{self, Connections};
use lw_observe::logs::Logs;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinSet,
};

use crate::{feeds, follow, observe, orders, peers, register, serve, spread, state::Edge};

/// Time before the kill at which a leaving VM ends, whatever is still open.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Pause between two looks at the requests in flight while leaving.
const LEAVE_POLL: Duration = Duration::from_millis(50);
/// Bounds on connections until a configuration is known.
const UNKNOWN_IDLE: Duration = Duration::from_secs(15);
const UNKNOWN_HEAD_BYTES: usize = 64 << 10;
/// Period in which idle connections to upstreams are closed.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Why a VM could not run.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address could not be bound.
    #[display("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// Signals could not be received.
    #[display("no signals: {_0}")]
    Signal(std::io::Error),
}

/// Runs a VM until it gets the signal to terminate and is drained. At the signal to hang up the settings are read again.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn run(
    settings: VmSettings,
    logs: Logs,
    read_again: impl Fn() -> Result<VmSettings, String>,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let vm = Vm::start(settings, logs).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reconfigure(&vm.edge, read_again()),
        }
    }
    vm.leave().await;
    Ok(())
}

/// Takes settings that were read again, or says why not.
fn reconfigure(edge: &Edge, new: Result<VmSettings, String>) {
    match new.and_then(|new| edge.reconfigure(&new)) {
        Ok(()) => {
            let bounds = format!("{:?}", edge.bounds());
            log::info!(target: "run", bounds = bounds; "settings taken");
        }
        Err(e) => {
            log::warn!(target: "run", why = e.as_str();
                "settings refused, the former ones stay in force");
        }
    }
}

/// A running VM; its tasks end when this is dropped.
#[derive(Debug)]
pub struct Vm {
    /// What its requests and tasks share.
    pub edge: Arc<Edge>,
    connections: Connections,
    _tasks: JoinSet<()>,
}

impl Vm {
    /// Starts a VM.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start(settings: VmSettings, logs: Logs) -> Result<Self, Error> {
        let edge = Arc::new(Edge::new(settings, logs));
        let callers = bind(edge.settings.callers).await?;
        let readiness = bind(edge.settings.readiness).await?;
        log::info!(target: "run", vm = edge.settings.vm.as_str(),
            failure_domain = edge.settings.failure_domain.as_str(),
            build = env!("CARGO_PKG_VERSION"); "started");
        let connections = Connections::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(follow::run(Arc::clone(&edge)));
        tasks.spawn(register::run(Arc::clone(&edge)));
        tasks.spawn(peers::run(Arc::clone(&edge)));
        tasks.spawn(serve_peers(Arc::clone(&edge), bind(edge.settings.peers).await?));
        tasks.spawn(feeds::run(Arc::clone(&edge)));
        tasks.spawn(orders::run(Arc::clone(&edge)));
        tasks.spawn(sweep(Arc::clone(&edge)));
        tasks.spawn(serve_callers(Arc::clone(&edge), callers, connections.clone()));
        tasks.spawn(serve_readiness(Arc::clone(&edge), readiness));
        if let Some(addr) = edge.settings.metrics {
            tasks.spawn(serve_operators(Arc::clone(&edge), bind(addr).await?));
        }
        Ok(Self { edge, connections, _tasks: tasks })
    }

    /// Serves on while the balancer still sends callers, then ends when no request is in flight.
    pub async fn leave(self) {
        leave(&self.edge, &self.connections).await;
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|source| Error::Listen { addr, source })
}

async fn serve_callers(edge: Arc<Edge>, listener: TcpListener, connections: Connections) {
    let options = {
        let edge = Arc::clone(&edge);
        move || {
            let limits = edge.known().catalog().map(|catalog| catalog.limits);
            listen::Options {
                head_timeout: limits.map_or(UNKNOWN_IDLE, |limits| limits.idle_time),
                head_max_bytes: limits.map_or(UNKNOWN_HEAD_BYTES, |limits| limits.head_bytes),
                connections_max: edge.settings.sockets_max / 2,
            }
        }
    };
    let answer = move |req| serve::answer(Arc::clone(&edge), req);
    listen::serve(listener, connections, options, answer).await;
}

/// Bounds of the connections of the balancer and of operators.
fn few_connections() -> listen::Options {
    listen::Options {
        head_timeout: UNKNOWN_IDLE,
        head_max_bytes: UNKNOWN_HEAD_BYTES,
        connections_max: 64,
    }
}

async fn serve_operators(edge: Arc<Edge>, listener: TcpListener) {
    let answer = move |req| observe::answer(Arc::clone(&edge), req);
    listen::serve(listener, Connections::default(), few_connections, answer).await;
}

/// Every other VM of the failure domain may ask this one, and a few more may do so while they look for another source.
async fn serve_peers(edge: Arc<Edge>, listener: TcpListener) {
    let connections_max = edge.settings.sockets_max / 8;
    let options = move || listen::Options { connections_max, ..few_connections() };
    let answer = move |req| spread::answer(Arc::clone(&edge), req);
    listen::serve(listener, Connections::default(), options, answer).await;
}

async fn serve_readiness(edge: Arc<Edge>, listener: TcpListener) {
    let answer = move |req| serve::readiness(Arc::clone(&edge), req);
    listen::serve(listener, Connections::default(), few_connections, answer).await;
}

async fn sweep(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(SWEEP_PERIOD);
    loop {
        ticks.tick().await;
        let now = edge.timer.now();
        edge.fleets().values_mut().for_each(|fleet| fleet.remove_expired(now));
        let ids: HashSet<_> = edge.known().directory.iter().map(|u| u.id.clone()).collect();
        edge.pool.close_unused(|(_, id)| ids.contains(&**id));
    }
}

async fn leave(edge: &Arc<Edge>, connections: &Connections) {
    let started = edge.timer.now();
    edge.leave();
    log::info!(target: "run", in_flight = edge.in_flight(); "leaving");
    orders::hand_over(edge).await;
    let last = edge.bounds().grace.saturating_sub(GRACE_MARGIN);
    loop {
        tokio::time::sleep(LEAVE_POLL).await;
        let since = edge.timer.now().saturating_sub(started);
        if edge.is_closed() {
            connections.close_when_idle();
            if connections.open_count() == 0 {
                break;
            }
        }
        if since >= last {
            break;
        }
    }
    log::info!(target: "run", in_flight = edge.in_flight(); "ended");
}
