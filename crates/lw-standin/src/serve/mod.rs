//! HTTP server of a stand-in on a thread of its own, with faults that are common to all stand-ins.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
    time::Duration,
};

use lw_types::prelude::*;
use tokio::{net::TcpListener, runtime, sync::mpsc as commands};
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;

mod answer;
mod conns;
mod faults;
mod front;

pub use self::{
    answer::{Call, Response, bad_request, cut, empty, json, status_json, stream},
    faults::{HttpFaults, Switches, count_down},
};
use self::{
    conns::{Conns, Counted},
    front::Front,
};

/// The time that the answer to the command itself gets to leave before the server goes down.
const DOWN_GRACE: Duration = Duration::from_millis(20);
const BIND_RETRY: Duration = Duration::from_millis(10);

/// A stand-in's request handling.
pub trait App: Send + Sync + 'static {
    /// Fault switches, the body of `POST /faults`.
    type Faults: Clone + Default + Send + Sync + serde::Serialize + serde::de::DeserializeOwned;

    /// The current fault switches.
    fn switches(&self) -> &Switches<Self::Faults>;

    /// The part of the switches that is common to all stand-ins.
    fn http_faults(faults: &Self::Faults) -> &HttpFaults;

    /// Whether faults leave this path alone, so that tests can always read it.
    fn is_probe(path: &str) -> bool;

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
    let thread = thread::Builder::new().name("standin".to_owned()).spawn(move || {
        let first = serve_once(listen, make(0, &inner), &inner, &mut rx, Some(&ready_tx));
        let Some((address, mut down)) = first else { return };
        for starts in 1.. {
            let Some(time) = down else { return };
            thread::sleep(time);
            let next = serve_once(address, make(starts, &inner), &inner, &mut rx, None);
            down = next.and_then(|(_, down)| down);
        }
    })?;
    let address = ready_rx.recv().map_err(io::Error::other)??;
    Ok(Handle { address, control, thread: Some(thread) })
}

/// Serves until a command; returns the bound address and how long to stay down, or none to end.
fn serve_once<A: App>(
    listen: SocketAddr,
    app: Arc<A>,
    control: &Control,
    rx: &mut commands::UnboundedReceiver<Command>,
    ready: Option<&mpsc::Sender<io::Result<SocketAddr>>>,
) -> Option<(SocketAddr, Option<Duration>)> {
    // Dropping the runtime drops its tasks and with them all sockets, as the end of a process does.
    let rt = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => {
            ready.map(|tx| tx.send(Err(e)));
            return None;
        }
    };
    rt.block_on(async {
        let listener = match (bind(listen, ready.is_some()).await, ready) {
            (Ok(listener), _) => listener,
            (Err(e), Some(tx)) => {
                let _ = tx.send(Err(e));
                return None;
            }
            (Err(_), None) => return None,
        };
        let address = listener.local_addr().ok()?;
        if let Some(tx) = ready {
            let _ = tx.send(Ok(address));
        }
        let down = run(listener, app, control, rx).await;
        Some((address, down))
    })
}

/// A restart waits until the address is free again; a first start fails at once.
async fn bind(listen: SocketAddr, first: bool) -> io::Result<TcpListener> {
    loop {
        match TcpListener::bind(listen).await {
            Err(e) if !first && e.kind() == io::ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_RETRY).await;
            }
            result => return result,
        }
    }
}

async fn run<A: App>(
    listener: TcpListener,
    app: Arc<A>,
    control: &Control,
    rx: &mut commands::UnboundedReceiver<Command>,
) -> Option<Duration> {
    let conns = Arc::new(Conns::default());
    let incoming = Counted::new(DefaultIncoming::from(listener), conns.clone());
    let front = Front::new(app, conns, control.clone());
    let on_signal = control.clone();
    let server = Server::new(front).register_shutdown_hook(move || {
        // volo waits up to 30 s for open connections after a signal; a stand-in ends at once.
        on_signal.stop();
        Box::pin(std::future::ready(()))
    });
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
