//! A loopback proxy that injects faults into the connections through it.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Pause between two attempts to listen again after connections were refused.
const LISTEN_PAUSE: Duration = Duration::from_millis(10);
/// Delay of [`PathFault::Delay`].
const DELAY: Duration = Duration::from_millis(150);

/// A fault of a network path: what a proxy does to the connections through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFault {
    /// No fault.
    None,
    /// Bytes are delayed by 150 ms.
    Delay,
    /// Open and new connections are reset.
    Reset,
    /// Bytes to the server are withheld.
    BlockToServer,
    /// Bytes from the server are withheld.
    BlockFromServer,
    /// Bytes in both directions are withheld.
    BlockBoth,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which it listens.
    pub addr: SocketAddr,
    fault_tx: watch::Sender<PathFault>,
    is_refusing: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy for the server at `to`.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (fault_tx, fault_rx) = watch::channel(PathFault::None);
        let (is_refusing, refusing_rx) = watch::channel(false);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            let mut listener = Listener { addr, open: Some(listener), refusing_rx };
            while let Ok(stream) = listener.accept().await {
                connections.spawn(proxy_connection(stream, to, fault_rx.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self { addr, fault_tx, is_refusing, task })
    }

    /// Sets the fault of all open and new connections.
    pub fn set_fault(&self, fault: PathFault) {
        self.fault_tx.send_replace(fault);
    }

    /// Refuses new connections, or accepts them again. Open ones are kept.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.is_refusing.send_replace(is_refusing);
    }
}

/// The listener of a proxy, which is closed while the proxy refuses connections.
struct Listener {
    addr: SocketAddr,
    open: Option<TcpListener>,
    refusing_rx: watch::Receiver<bool>,
}

impl Listener {
    /// Waits for the next connection.
    async fn accept(&mut self) -> io::Result<TcpStream> {
        loop {
            if *self.refusing_rx.borrow_and_update() {
                self.open = None;
                self.refusing_rx.changed().await.map_err(io::Error::other)?;
                continue;
            }
            let Some(open) = &self.open else {
                match TcpListener::bind(self.addr).await {
                    Ok(listener) => self.open = Some(listener),
                    Err(_) => tokio::time::sleep(LISTEN_PAUSE).await,
                }
                continue;
            };
            tokio::select! {
                accepted = open.accept() => return accepted.map(|(stream, _)| stream),
                changed = self.refusing_rx.changed() => changed.map_err(io::Error::other)?,
            }
        }
    }
}

async fn proxy_connection(
    mut client: TcpStream,
    to: SocketAddr,
    fault_rx: watch::Receiver<PathFault>,
) {
    let mut reset_rx = fault_rx.clone();
    let is_reset = async { reset_rx.wait_for(|fault| *fault == PathFault::Reset).await.is_ok() };
    let relayed = async {
        // A refused connection to the server closes the client's connection as well.
        let Ok(mut server) = TcpStream::connect(to).await else { return };
        let (client_rx, client_tx) = client.split();
        let (server_rx, server_tx) = server.split();
        tokio::join!(
            relay(
                client_rx,
                server_tx,
                fault_rx.clone(),
                [PathFault::BlockToServer, PathFault::BlockBoth]
            ),
            relay(
                server_rx,
                client_tx,
                fault_rx,
                [PathFault::BlockFromServer, PathFault::BlockBoth]
            ),
        );
    };
    let ends_by_reset = tokio::select! {
        is_reset = is_reset => is_reset,
        () = relayed => false,
    };
    if ends_by_reset {
        // An error means that the connection has already ended.
        let _ = client.set_zero_linger();
    }
}

/// Relays bytes until one side closes, and withholds them while the path has one of the faults in `blocking`.
async fn relay(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut fault_rx: watch::Receiver<PathFault>,
    blocking: [PathFault; 2],
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        // A failed connection is closed like one that its peer has closed.
        let n = from.read(&mut buf).await.unwrap_or_default();
        if fault_rx.wait_for(|fault| !blocking.contains(fault)).await.is_err() {
            return;
        }
        let is_delayed = *fault_rx.borrow() == PathFault::Delay;
        if is_delayed {
            tokio::time::sleep(DELAY).await;
        }
        let relayed = if n == 0 { to.shutdown().await } else { to.write_all(&buf[..n]).await };
        if n == 0 || relayed.is_err() {
            return;
        }
    }
}
