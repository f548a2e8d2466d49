//! HTTP server of a stand-in on a thread of its own, with faults that are common to all stand-ins.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
    time::Duration,
};

use lw_types::prelude::*;
use tokio::{
    net::{TcpListener, TcpSocket},
    runtime,
    signal::unix::{Signal, SignalKind, signal},
    sync::mpsc as commands,
};
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;

mod answer;
mod conns;
mod fault_service;
mod faults;

pub use self::{
    answer::{Call, Response, abort, bad_request, empty, json, status_json, stream},
    faults::{HttpFaults, Switches, count_down},
};
use self::{
    conns::{Conns, RegisteredIncoming},
    fault_service::FaultService,
};

/// Time for the answer to the command itself to be sent before the server goes down.
const DOWN_GRACE: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A stand-in's request handling.
pub trait App: Send + Sync + 'static {
    /// Fault switches, the body of `POST /faults`.
    type Faults: Clone + Default + Send + Sync + serde::Serialize + serde::de::DeserializeOwned;

    /// The current fault switches.
    fn switches(&self) -> &Switches<Self::Faults>;

    /// The part of the switches that is common to all stand-ins.
    fn http_faults(faults: &Self::Faults) -> &HttpFaults;

    /// Whether faults leave this path alone, so that tests can always read it.
    fn is_exempt_from_faults(path: &str) -> bool;

    /// Answers one request.
    fn call(self: Arc<Self>, call: Call) -> impl Future<Output = Response> + Send;
}

#[derive(Debug)]
enum Command {
    Down(Duration),
    Stop,
}

/// Takes a stand-in down or stops it; handed to the stand-in's own code.
#[derive(Debug, Clone)]
pub struct Control(commands::UnboundedSender<Command>);

impl Control {
    /// Closes all connections and the listener for this long; then the stand-in starts again.
    pub fn down(&self, time: Duration) {
        // A stand-in that has ended has nothing to take down.
        let _ = self.0.send(Command::Down(time));
    }

    /// Ends the stand-in.
    pub fn stop(&self) {
        let _ = self.0.send(Command::Stop);
    }
}

/// A running stand-in; it ends when this is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    control: Control,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and the listener for this long; then the stand-in starts again on the same address.
    pub fn down(&self, time: Duration) {
        self.control.down(time);
    }

    /// Waits until the stand-in ends, for instance by a signal.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.control.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a stand-in; `make` is called at each start with its number, from 0.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start<A: App>(
    listen: SocketAddr,
    make: impl Fn(Incarnation, &Control) -> Arc<A> + Send + 'static,
) -> io::Result<Handle> {
    let (tx, mut rx) = commands::unbounded_channel();
    let (ready_tx, ready_rx) = mpsc::channel();
    let control = Control(tx);
    let inner = control.clone();
    // Held until the end, so that no other socket gets the port while the stand-in is down.
    let reserved = bound(listen)?;
    let address = reserved.local_addr()?;
    let thread = thread::Builder::new().name("standin".to_owned()).spawn(move || {
        let _reserved = reserved;
        let mut down = Some(Duration::ZERO);
        for starts in 0.. {
            let Some(delay) = down else { return };
            let ready = (starts == 0).then_some(&ready_tx);
            down = serve_once(address, delay, || make(starts, &inner), &inner, &mut rx, ready);
        }
    })?;
    ready_rx.recv().map_err(io::Error::other)??;
    Ok(Handle { address, control, thread: Some(thread) })
}

/// Serves after a delay until a command; returns how long to stay down, or none to end.
fn serve_once<A: App>(
    address: SocketAddr,
    delay: Duration,
    make: impl FnOnce() -> Arc<A>,
    control: &Control,
    rx: &mut commands::UnboundedReceiver<Command>,
    ready: Option<&mpsc::Sender<io::Result<()>>>,
) -> Option<Duration> {
    let tell = |result: io::Result<()>| match (ready, result) {
        (Some(tx), result) => drop(tx.send(result)),
        (None, Ok(())) => {}
        (None, Err(e)) => log::error!("standin: {address}: {e}"),
    };
    // Dropping the runtime drops its tasks and with them all sockets, as the end of a process does.
    let rt = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => {
            tell(Err(e));
            return None;
        }
    };
    let served = async {
        // Handlers are in place before the address is known, so that an early signal ends the program as a later one.
        let signals = [SignalKind::terminate(), SignalKind::interrupt()];
        let [Ok(term), Ok(int)] = signals.map(signal) else { return None };
        let until_down = async {
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = stopped(rx) => return None,
            }
            let listener = bound(address).and_then(|socket| socket.listen(BACKLOG));
            tell(listener.as_ref().map(|_| ()).map_err(|e| e.kind().into()));
            run(listener.ok()?, make(), control, rx).await
        };
        tokio::select! {
            down = until_down => down,
            () = signalled(term, int) => None,
        }
    };
    rt.block_on(served)
}

/// Ends on the command to stop; a stand-in that is down already takes no other.
async fn stopped(rx: &mut commands::UnboundedReceiver<Command>) {
    while let Some(Command::Down(_)) = rx.recv().await {}
}

/// Ends on the first signal. volo itself waits up to 30 s for open connections then; a stand-in ends at once.
async fn signalled(mut term: Signal, mut int: Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// A socket that is bound and does not listen; connections to it are refused.
///
/// With the option to reuse addresses, it and a listening socket can share the address.
fn bound(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn run<A: App>(
    listener: TcpListener,
    app: Arc<A>,
    control: &Control,
    rx: &mut commands::UnboundedReceiver<Command>,
) -> Option<Duration> {
    let conns = Arc::new(Conns::default());
    let incoming = RegisteredIncoming::new(DefaultIncoming::from(listener), conns.clone());
    let server = Server::new(FaultService::new(app, conns, control.clone()));
    tokio::select! {
        command = rx.recv() => match command {
            Some(Command::Down(time)) => {
                tokio::time::sleep(DOWN_GRACE).await;
                Some(time)
            }
            Some(Command::Stop) | None => None,
        },
        result = server.run(incoming) => {
            if let Err(e) = result {
                log::error!("standin: {e}");
            }
            None
        }
    }
}
