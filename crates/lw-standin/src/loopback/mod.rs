//! Listen addresses for processes that tests start.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port of the addresses, below the range from which the kernel assigns ports to connections.
const FIRST_PORT: u16 = 20_000;

/// Returns a loopback address that no other process uses, because the IP address contains the process id.
///
/// On 127.0.0.1, a connection of another process could take the port before the program that listens on it starts.
///
/// ```
/// let (a, b) = (lw_standin::loopback::free_address(), lw_standin::loopback::free_address());
/// assert!(a.ip().is_loopback() && a != b);
/// ```
#[must_use]
pub fn free_address() -> SocketAddr {
    free_addresses(1)
}

/// Returns the first of `count` such addresses with consecutive ports.
///
/// ```
/// use lw_standin::loopback::{free_address, free_addresses};
/// let first = free_addresses(2);
/// assert!(free_address().port() != first.port() + 1);
/// ```
#[must_use]
pub fn free_addresses(count: u16) -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [.., b, a] = std::process::id().to_be_bytes();
    let port = NEXT.fetch_add(count, Ordering::Relaxed);
    SocketAddr::from(([127, b.max(1), a, 1], port))
}
