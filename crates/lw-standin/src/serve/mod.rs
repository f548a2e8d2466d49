//! The HTTP server of a stand-in, which runs on its own thread and supports the faults common to all stand-ins.

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

/// Time for the answer to the call that set the fault to be sent before the server goes down.
const DOWN_GRACE: Duration = Duration::from_millis(20);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A stand-in's request handling.
pub trait App: Send + Sync + 'static {
    /// Fault switches, the body of `POST /faults`.
    type Faults: Clone + Default + Send + Sync + serde::Serialize + serde::de::DeserializeOwned;

    /// Returns the fault switches.
    fn switches(&self) -> &Switches<Self::Faults>;

    /// Returns the faults that are common to all stand-ins.
    fn http_faults(faults: &Self::Faults) -> &HttpFaults;

    /// Whether this path is served in spite of faults, so that tests can always read it.
    fn is_exempt_from_faults(path: &str) -> bool;

    /// Answers one request.
    fn call(self: Arc<Self>, call: Call) -> impl Future<Output = Response> + Send;
}

#[derive(Debug)]
enum Command {
    Down(Duration),
    Stop,
}

/// Takes a stand-in down or stops it.
#[derive(Debug, Clone)]
pub struct Control(commands::UnboundedSender<Command>);

impl Control {
    /// Closes all connections and the listener for this long; then the stand-in starts again.
    pub fn down(&self, time: Duration) {
        // Sending fails only if the stand-in has ended.
        let _ = self.0.send(Command::Down(time));
    }

    /// Stops the stand-in.
    pub fn stop(&self) {
        let _ = self.0.send(Command::Stop);
    }
}

/// A running stand-in; dropping it stops the stand-in.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    control: Control,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and the listener for this long; then the stand-in starts again on the same address.
    pub fn down(&self, time: Duration) {
        self.control.down(time);
    }

    /// Waits until the stand-in ends, for instance on a signal.
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

/// Starts a stand-in; `make` is called at each start with the number of the start, from 0.
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
    // Bound until the end, so that no other socket gets the port while the stand-in is down.
    let reserved = bind(listen)?;
    let address = reserved.local_addr()?;
    let thread = thread::Builder::new().name("standin".to_owned()).spawn(move || {
        let _reserved = reserved;
        let mut next_delay = Some(Duration::ZERO);
        for start_number in 0.. {
            let Some(delay) = next_delay else { return };
            let ready = (start_number == 0).then_some(&ready_tx);
            next_delay =
                serve_once(address, delay, || make(start_number, &inner), &inner, &mut rx, ready);
        }
    })?;
    ready_rx.recv().map_err(io::Error::other)??;
    Ok(Handle { address, control, thread: Some(thread) })
}

/// Serves after a delay until a command or a signal; returns the time to stay down, or `None` to end.
fn serve_once<A: App>(
    address: SocketAddr,
    delay: Duration,
    make: impl FnOnce() -> Arc<A>,
    control: &Control,
    rx: &mut commands::UnboundedReceiver<Command>,
    ready: Option<&mpsc::Sender<io::Result<()>>>,
) -> Option<Duration> {
    let report = |result: io::Result<()>| match (ready, result) {
        (Some(tx), result) => drop(tx.send(result)),
        (None, Ok(())) => {}
        (None, Err(e)) => log::error!("standin: {address}: {e}"),
    };
    // Dropping the runtime drops its tasks and all their sockets, as the end of a process does.
    let rt = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => {
            report(Err(e));
            return None;
        }
    };
    let served = async {
        // The handlers are installed before the address is reported, so that an early signal ends the program normally.
        let signals = [SignalKind::terminate(), SignalKind::interrupt()];
        let [Ok(term), Ok(int)] = signals.map(signal) else { return None };
        let until_down = async {
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = wait_for_stop(rx) => return None,
            }
            let listener = bind(address).and_then(|socket| socket.listen(BACKLOG));
            report(listener.as_ref().map(|_| ()).map_err(|e| e.kind().into()));
            serve_until_command(listener.ok()?, make(), control, rx).await
        };
        tokio::select! {
            down = until_down => down,
            () = wait_for_signal(term, int) => None,
        }
    };
    rt.block_on(served)
}

/// Waits for the command to stop; other commands are ignored while the stand-in is down.
async fn wait_for_stop(rx: &mut commands::UnboundedReceiver<Command>) {
    while let Some(Command::Down(_)) = rx.recv().await {}
}

/// Waits for the first signal. volo would wait up to 30 s for open connections on a signal; a stand-in ends at once.
async fn wait_for_signal(mut term: Signal, mut int: Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Returns a socket that is bound and does not listen; connections to it are refused.
///
/// It sets the option to reuse addresses, with which it and a listening socket can share the address.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn serve_until_command<A: App>(
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
