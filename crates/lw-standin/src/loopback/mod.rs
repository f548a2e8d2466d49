//! Addresses for processes that tests start.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port of the addresses, below those that connections take by themselves.
const FIRST_PORT: u16 = 20_000;

/// An address of this process alone: connections of other processes take ports of 127.0.0.1, so a port there could be
/// taken between the choice and the start of the program that listens on it.
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
