//! Accepts the connections of operators and of the other VMs.

use std::{io, time::Duration};

use tokio::net::TcpListener;
use volo::net::{
    Address,
    conn::{Conn, ConnInfo},
    incoming::{Incoming, MakeIncoming},
};

/// Delay after a failed accept, which would otherwise fail again at once while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts the connections of a listener.
#[derive(Debug)]
pub(super) struct Acceptor(pub(super) TcpListener);

impl MakeIncoming for Acceptor {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for Acceptor {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            match self.0.accept().await {
                Ok((stream, peer)) => {
                    let info = ConnInfo { peer_addr: Some(Address::from(peer)) };
                    return Ok(Some(Conn::new(stream.into(), info)));
                }
                Err(e) => {
                    log::warn!("http: connection not accepted: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
