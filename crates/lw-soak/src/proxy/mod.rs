//! A loopback proxy that harms the connections through it.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

use crate::plan::Harm;

/// Delay of [`Harm::Slow`].
const SLOW: Duration = Duration::from_millis(150);

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    harm: watch::Sender<Harm>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy before the server at `to`.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (harm, seen) = watch::channel(Harm::None);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(connection(stream, to, seen.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self { addr, harm, task })
    }

    /// Changes what is done to connections.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn connection(mut near: TcpStream, to: SocketAddr, harm: watch::Receiver<Harm>) {
    let mut resets = harm.clone();
    let is_reset = async { resets.wait_for(|harm| *harm == Harm::Reset).await.is_ok() };
    let passed = async {
        // A server that does not listen ends the caller's connection as well.
        let Ok(mut far) = TcpStream::connect(to).await else { return };
        let (near_rx, near_tx) = near.split();
        let (far_rx, far_tx) = far.split();
        tokio::join!(
            pump(near_rx, far_tx, harm.clone(), [Harm::MuteUp, Harm::Silent]),
            pump(far_rx, near_tx, harm, [Harm::MuteDown, Harm::Silent]),
        );
    };
    let ends_by_reset = tokio::select! {
        is_reset = is_reset => is_reset,
        () = passed => false,
    };
    if ends_by_reset {
        // A connection that has ended already needs no reset.
        let _ = near.set_zero_linger();
    }
}

/// Passes bytes on until one side ends, and holds them back during `mutes`.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut harm: watch::Receiver<Harm>,
    mutes: [Harm; 2],
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        // A connection that breaks ends here as one that was closed does.
        let n = from.read(&mut buf).await.unwrap_or_default();
        if harm.wait_for(|harm| !mutes.contains(harm)).await.is_err() {
            return;
        }
        let is_slow = *harm.borrow() == Harm::Slow;
        if is_slow {
            tokio::time::sleep(SLOW).await;
        }
        let passed_on = if n == 0 { to.shutdown().await } else { to.write_all(&buf[..n]).await };
        if n == 0 || passed_on.is_err() {
            return;
        }
    }
}
