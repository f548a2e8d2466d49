//! A stand-in for the path between one VM and one upstream, which can be cut while others reach the upstream.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Pause between two attempts to listen again after connections were refused.
const LISTEN_PAUSE: Duration = Duration::from_millis(10);

/// State of a path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Connections work.
    #[default]
    Open,
    /// New connections are accepted, and nothing passes on any connection.
    Hanging,
    /// All connections are reset, and new ones refused.
    Reset,
    /// New connections are refused, and open ones work.
    Refusing,
}

/// A running path; connections to its address lead to the upstream.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    mode: watch::Sender<LinkMode>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Opens a path to an upstream.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn open(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let (mode, modes) = watch::channel(LinkMode::Open);
        let task = tokio::spawn(run(listener, addr, upstream, modes));
        Ok(Self { addr, mode, task })
    }

    /// Returns its address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets its state.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn run(
    listener: TcpListener,
    addr: SocketAddr,
    upstream: SocketAddr,
    mut modes: watch::Receiver<LinkMode>,
) {
    let mut listener = Some(listener);
    loop {
        let mode = *modes.borrow_and_update();
        if matches!(mode, LinkMode::Reset | LinkMode::Refusing) {
            listener = None;
            if modes.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            match TcpListener::bind(addr).await {
                Ok(again) => listener = Some(again),
                Err(_) => tokio::time::sleep(LISTEN_PAUSE).await,
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(carry(stream, upstream, modes.clone()));
            },
            changed = modes.changed() => if changed.is_err() { return },
        }
    }
}

/// Carries one connection until it ends or is reset.
async fn carry(near: TcpStream, upstream: SocketAddr, mut modes: watch::Receiver<LinkMode>) {
    let near = Arc::new(near);
    let is_hanging = |mode: &LinkMode| *mode == LinkMode::Hanging;
    if modes.wait_for(|mode| !is_hanging(mode)).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(upstream).await else { return };
    let far = Arc::new(far);
    let is_reset = async |mut modes: watch::Receiver<LinkMode>| {
        drop(modes.wait_for(|mode| *mode == LinkMode::Reset).await);
    };
    let mut there = tokio::spawn(copy(Arc::clone(&near), Arc::clone(&far), modes.clone()));
    let mut back = tokio::spawn(copy(Arc::clone(&far), Arc::clone(&near), modes.clone()));
    tokio::select! {
        _ = &mut there => {}
        _ = &mut back => {}
        () = is_reset(modes) => {}
    }
    there.abort();
    back.abort();
}

/// Copies bytes in one direction, none while the path hangs.
async fn copy(from: Arc<TcpStream>, to: Arc<TcpStream>, mut modes: watch::Receiver<LinkMode>) {
    let mut buf = [0; 16 << 10];
    loop {
        if from.readable().await.is_err() {
            return;
        }
        if modes.wait_for(|mode| *mode != LinkMode::Hanging).await.is_err() {
            return;
        }
        let n = match from.try_read(&mut buf) {
            Ok(0) => return,
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        let mut left = &buf[..n];
        while !left.is_empty() {
            match to.try_write(left) {
                Ok(n) => left = &left[n..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if to.writable().await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }
}
