//! Starts a VM on the platform, and drains it before it ends.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, Error};
use log::Level;
use lw_catalog::VmSettings;
use lw_forward::listen::{self, Connections};
use lw_observe::logs::{Logs, millis};
use lw_types::prelude::*;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinSet,
};

use crate::{
    admission, distribution, feeds, follow, intake, limits, observe, orders, peers, quarantine,
    reach, register, restore, serve, software,
    state::{Edge, GivenUp},
};

mod quota;

/// Time before the platform kills the process at which a leaving VM gives up the requests in flight and ends.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Longest time until the callers of these requests have their answers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// Interval at which a VM notes that it runs. A signal that it handles was sent after the last time but one.
const ACTIVITY_PERIOD: Duration = Duration::from_millis(100);
/// Time between two checks of the open connections during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Limits of connections until the first configuration is received, and of connections that are not from callers.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);
const DEFAULT_HEAD_BYTES: usize = 64 << 10;
/// Largest number of fields of a head of the balancer, an operator or another VM.
const INTERNAL_HEAD_FIELDS: usize = 100;
/// Length of the shortest field of a request head with the end of its line.
const FIELD_MIN_BYTES: usize = 4;
/// Longest header that a VM adds to a request that it passes on.
const STATEMENT_MAX_BYTES: usize = 512;
/// Time between two updates of the states of upstreams and of the pool of connections to them.
const UPSTREAMS_PERIOD: Duration = Duration::from_millis(500);

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
    #[display("cannot receive signals: {_0}")]
    Signal(std::io::Error),
}

/// Runs a VM until it receives SIGTERM and is drained. At SIGHUP the settings are read again with `reload`.
///
/// # Errors
///
/// When an address cannot be bound or signals cannot be received.
pub async fn run(
    settings: VmSettings,
    logs: Logs,
    reload: impl Fn() -> Result<VmSettings, String>,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let vm = Vm::start(settings, logs).await?;
    let timer = vm.edge.timer;
    let mut ticks = timer.subscribe(ACTIVITY_PERIOD);
    // The last two ticks. A process that stood still may handle the tick that it missed before the signal.
    let mut active_at = [timer.now_including_suspend(); 2];
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = hangup.recv() => reconfigure(&vm.edge, reload()),
            _ = ticks.tick() => active_at = [active_at[1], timer.now_including_suspend()],
        }
    }
    vm.leave_since(active_at[0]).await;
    Ok(())
}

/// Applies settings that were read again, or logs why they are refused.
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
    /// State that its requests and tasks share.
    pub edge: Arc<Edge>,
    connections: Connections,
    _tasks: JoinSet<()>,
}

impl Vm {
    /// Binds the addresses of a VM and starts its tasks.
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
        let connections = Connections::counting(Arc::clone(&edge.closed_connections))
            .within(Arc::clone(&edge.caller_memory));
        let mut tasks = JoinSet::new();
        tasks.spawn(follow::run(Arc::clone(&edge)));
        tasks.spawn(register::run(Arc::clone(&edge)));
        tasks.spawn(peers::run(Arc::clone(&edge)));
        tasks.spawn(serve_peers(Arc::clone(&edge), bind(edge.settings.peers).await?));
        tasks.spawn(serve_forwarded(
            Arc::clone(&edge),
            bind(edge.settings.forwarded).await?,
            connections.clone(),
        ));
        tasks.spawn(reach::run(Arc::clone(&edge)));
        tasks.spawn(feeds::run(Arc::clone(&edge)));
        tasks.spawn(orders::run(Arc::clone(&edge)));
        tasks.spawn(quarantine::run(Arc::clone(&edge)));
        tasks.spawn(limits::run(Arc::clone(&edge)));
        tasks.spawn(quota::run(Arc::clone(&edge)));
        if edge.settings.limits_overload {
            tasks.spawn(update_admission(Arc::clone(&edge)));
        }
        tasks.spawn(restore::run(Arc::clone(&edge)));
        tasks.spawn(software::run(Arc::clone(&edge)));
        tasks.spawn(update_upstreams(Arc::clone(&edge)));
        tasks.spawn(serve_callers(Arc::clone(&edge), callers, connections.clone()));
        tasks.spawn(serve_readiness(Arc::clone(&edge), readiness));
        if let Some(addr) = edge.settings.metrics {
            tasks.spawn(serve_operators(Arc::clone(&edge), bind(addr).await?));
        }
        Ok(Self { edge, connections, _tasks: tasks })
    }

    /// Drains the VM: serves requests until the balancer sends no more, then returns when all connections are closed or
    /// the time until the kill is nearly over.
    pub async fn leave(self) {
        let now = self.edge.timer.now_including_suspend();
        self.leave_since(now).await;
    }

    /// Drains the VM, likewise. The signal to terminate was sent at `since` or later, by the clock that counts suspended time.
    async fn leave_since(self, since: Now) {
        drain(&self.edge, &self.connections, since).await;
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|source| Error::Listen { addr, source })
}

async fn serve_callers(edge: Arc<Edge>, listener: TcpListener, connections: Connections) {
    let options = {
        let edge = Arc::clone(&edge);
        move || caller_options(&edge, 0)
    };
    let answer = move |req| serve::answer(Arc::clone(&edge), req);
    listen::serve(listener, connections, options, answer).await;
}

/// Serves requests that other VMs pass on, within the same memory and number of connections as callers.
async fn serve_forwarded(edge: Arc<Edge>, listener: TcpListener, connections: Connections) {
    let options = {
        let edge = Arc::clone(&edge);
        move || caller_options(&edge, STATEMENT_MAX_BYTES)
    };
    let answer = move |req| serve::answer_forwarded(Arc::clone(&edge), req);
    listen::serve(listener, connections, options, answer).await;
}

/// Returns the limits for connections of callers, whose heads may have `further_head_bytes` in addition.
fn caller_options(edge: &Edge, further_head_bytes: usize) -> listen::Options {
    let limits = edge.store_view().catalog().map(|catalog| catalog.limits);
    let idle_time = limits.map_or(DEFAULT_IDLE_TIME, |limits| limits.idle_time);
    let head_max_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes);
    let head_max_bytes = head_max_bytes + further_head_bytes;
    listen::Options {
        head_timeout: idle_time,
        idle_timeout: idle_time,
        head_max_bytes,
        // The operators limit the bytes of a head, not its fields.
        head_max_fields: head_max_bytes / FIELD_MIN_BYTES,
        unread_max: idle_time,
        connections_max: intake::connections_max(
            edge.settings.sockets_max,
            edge.settings.memory_bytes,
        ),
    }
}

/// Returns the limits for connections of the balancer and of operators.
fn internal_options() -> listen::Options {
    listen::Options {
        head_timeout: DEFAULT_IDLE_TIME,
        idle_timeout: DEFAULT_IDLE_TIME,
        head_max_bytes: DEFAULT_HEAD_BYTES,
        head_max_fields: INTERNAL_HEAD_FIELDS,
        unread_max: DEFAULT_IDLE_TIME,
        connections_max: 64,
    }
}

async fn serve_operators(edge: Arc<Edge>, listener: TcpListener) {
    let answer = move |req| observe::answer(Arc::clone(&edge), req);
    listen::serve(listener, Connections::default(), internal_options, answer).await;
}

/// Serves changes of the store to other VMs. Every other VM of the failure domain may request them from this one, and a
/// few more while they look for another source.
async fn serve_peers(edge: Arc<Edge>, listener: TcpListener) {
    let connections_max = edge.settings.sockets_max / 8;
    let options = move || listen::Options { connections_max, ..internal_options() };
    let answer = move |req| distribution::answer(Arc::clone(&edge), req);
    listen::serve(listener, Connections::default(), options, answer).await;
}

async fn serve_readiness(edge: Arc<Edge>, listener: TcpListener) {
    let answer = move |req| serve::readiness(Arc::clone(&edge), req);
    listen::serve(listener, Connections::default(), internal_options, answer).await;
}

/// Tells admission the load of the engines, and other VMs the demand under pressure.
async fn update_admission(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(admission::UPDATE_PERIOD);
    loop {
        ticks.tick().await;
        let now = edge.timer.now();
        let vms = edge.store_view().vms().count();
        let loads: Vec<_> = {
            let mut pools = edge.upstream_pools();
            let load = |(service, pool): (&String, &mut lw_place::UpstreamPool)| {
                let pressure = pool.pressure(now)?;
                pool.update_mean_speed();
                Some((service.clone(), pressure))
            };
            pools.iter_mut().filter_map(load).collect()
        };
        for digest in edge.admission.update(now, &loads, vms) {
            peers::send_demand(&edge, &digest);
        }
    }
}

/// Updates the states of upstreams, and closes idle connections and those to upstreams that are gone.
async fn update_upstreams(edge: Arc<Edge>) {
    let mut ticks = edge.timer.subscribe(UPSTREAMS_PERIOD);
    loop {
        ticks.tick().await;
        let now = edge.timer.now();
        for pool in edge.upstream_pools().values_mut() {
            pool.remove_expired(now);
            pool.decay_speeds(now);
        }
        let ids: HashSet<_> = {
            let view = edge.store_view();
            let upstreams = view.directory.iter().map(|upstream| upstream.id.clone());
            upstreams.chain(view.vms().map(|(vm, _)| vm.clone())).collect()
        };
        edge.connection_pool.close_unused(|(_, id)| ids.contains(&**id));
    }
}

async fn drain(edge: &Arc<Edge>, connections: &Connections, since: Now) {
    let started = edge.timer.now();
    edge.mark_leaving(since);
    let late = edge.timer.now_including_suspend().saturating_sub(since);
    log::info!(target: "run", in_flight = edge.in_flight(), late_max_ms = millis(late); "leaving");
    tokio::join!(Box::pin(orders::hand_over(edge)), Box::pin(quota::leave(edge)));
    let time_max = edge.bounds().grace.saturating_sub(KILL_MARGIN);
    let refuses = || edge.is_refusing_requests();
    if !wait_until_closed(edge, connections, started + time_max, refuses).await {
        edge.give_up(GivenUp::Unanswered);
        let end = edge.timer.now() + LAST_ANSWERS_TIME;
        if !wait_until_closed(edge, connections, end, || true).await {
            edge.give_up(GivenUp::Streams);
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
    edge.give_up(GivenUp::Everything);
    log_end(edge, connections);
}

/// Logs what became of the requests since the VM began to leave. Those that are in flight now are cut, and each is logged as the
/// process ends.
fn log_end(edge: &Edge, connections: &Connections) {
    let open = connections.open_count();
    let level = if open > 0 { Level::Warn } else { Level::Info };
    log::log!(target: "run", level, in_flight = edge.in_flight(), open = open,
        failed = connections.failed_count(), taken = edge.stop_account.taken(),
        ends = edge.stop_account.to_string(); "ended");
}

/// Closes idle connections from when `may_close` holds, and waits until all are closed, at most until `end`. Returns
/// whether they are.
async fn wait_until_closed(
    edge: &Edge,
    connections: &Connections,
    end: Now,
    may_close: impl Fn() -> bool,
) -> bool {
    loop {
        tokio::time::sleep(DRAIN_POLL).await;
        if may_close() {
            connections.close_when_idle();
            if connections.open_count() == 0 {
                return true;
            }
        }
        if edge.timer.now() >= end {
            return false;
        }
    }
}
