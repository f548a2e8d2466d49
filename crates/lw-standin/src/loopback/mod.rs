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
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [.., b, a] = std::process::id().to_be_bytes();
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, b.max(1), a, 1], port))
}
