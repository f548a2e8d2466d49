//! Authenticated datagrams between VMs, for messages that may be lost.
//!
//! HTTP would add some 400 bytes of headers to each message, which is more than the size of most of these messages.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use tokio::net::UdpSocket;

use crate::auth;

/// Largest datagram that is received, in bytes.
const DATAGRAM_MAX_BYTES: usize = 16 << 10;

/// Why a datagram could not be sent or received.
#[derive(Debug, Display, Error, From)]
#[display("datagram: {_0}")]
pub struct Error(std::io::Error);

/// A UDP socket whose datagrams carry an authentication code.
///
/// Receivers must drop old and repeated messages themselves, for instance by a sequence number.
#[derive(Debug)]
pub struct Datagrams {
    socket: UdpSocket,
    key: Box<[u8]>,
}

impl Datagrams {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(addr: SocketAddr, key: &str) -> Result<Self, Error> {
        Ok(Self { socket: UdpSocket::bind(addr).await?, key: key.as_bytes().into() })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// When the system does not return it.
    pub fn local_addr(&self) -> Result<SocketAddr, Error> {
        Ok(self.socket.local_addr()?)
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// When the system refuses it, for instance because it is too long.
    pub async fn send(&self, to: SocketAddr, message: &[u8]) -> Result<(), Error> {
        self.socket.send_to(&self.sign(message), to).await?;
        Ok(())
    }

    /// Returns a message with its authentication code, for [`Datagrams::try_send`] to several receivers.
    #[must_use]
    pub fn sign(&self, message: &[u8]) -> Vec<u8> {
        auth::sign(&self.key, message)
    }

    /// Sends a signed message if the system accepts it without waiting.
    ///
    /// # Errors
    ///
    /// When the system refuses it or cannot accept it without waiting.
    pub fn try_send(&self, to: SocketAddr, datagram: &[u8]) -> Result<(), Error> {
        self.socket.try_send_to(datagram, to)?;
        Ok(())
    }

    /// Waits for the next message with a valid code.
    ///
    /// # Errors
    ///
    /// When the socket fails.
    pub async fn receive(&self) -> Result<Bytes, Error> {
        let mut buf = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            // An error here reports that the receiver of an earlier message was unreachable.
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else { continue };
            if let Some(message) = auth::verify(&self.key, &buf[..len]) {
                return Ok(Bytes::copy_from_slice(message));
            }
            log::warn!("member: datagram from {from} has a wrong authentication code");
        }
    }
}
