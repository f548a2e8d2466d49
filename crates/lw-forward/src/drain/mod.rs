//! How much of an answer its caller's system has received, and how quickly.
//!
//! The kernel counts the bytes of a connection that the peer has acknowledged. Linux reports them over netlink
//! (`sock_diag(7)`), which needs no privileges and no unsafe code.

use std::{
    io::{self, Read},
    net::{IpAddr, SocketAddr},
    os::fd::AsFd,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use socket2::{Domain, Protocol, SockRef, Socket, Type};

/// Time after which the rate of a caller is known: a single acknowledgement may stand for a whole receive buffer.
const RATE_TIME_MIN: Duration = Duration::from_secs(1);

// Constants of `linux/netlink.h`, `linux/sock_diag.h` and `linux/inet_diag.h`.
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const AF_INET: u8 = 2;
const AF_INET6: u8 = 10;
const IPPROTO_TCP: u8 = 6;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const INET_DIAG_INFO: u16 = 2;
const NETLINK_HEAD_BYTES: usize = 16;
const MESSAGE_BYTES: usize = 72;
/// Offset of `idiag_wqueue` in `inet_diag_msg`.
const WRITE_QUEUE_OFFSET: usize = 60;
/// Offset of `tcpi_bytes_acked` in `tcp_info`.
const BYTES_ACKED_OFFSET: usize = 120;

/// What the kernel reports about the sending side of a TCP connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendState {
    /// Bytes that the peer has acknowledged since the connection was opened.
    pub acked_bytes: u64,
    /// Bytes that were written and are not acknowledged yet.
    pub queued_bytes: u32,
}

impl SendState {
    /// Returns the state of the connection of a socket; `None` if the kernel does not tell, which is logged once.
    #[must_use]
    pub fn of(socket: &impl AsFd) -> Option<Self> {
        static IS_LOGGED: AtomicBool = AtomicBool::new(false);
        let socket = SockRef::from(socket);
        let local = socket.local_addr().ok()?.as_socket()?;
        let peer = socket.peer_addr().ok()?.as_socket()?;
        match query(local, peer) {
            Ok(state) => Some(state),
            // The connection was closed.
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            Err(e) => {
                if !IS_LOGGED.swap(true, Ordering::Relaxed) {
                    log::warn!("http: the kernel does not tell what callers have read: {e}");
                }
                None
            }
        }
    }
}

/// Asks the kernel, which answers before the request is sent: nothing waits here.
fn query(local: SocketAddr, peer: SocketAddr) -> io::Result<SendState> {
    let (domain, protocol) = (Domain::from(AF_NETLINK), Protocol::from(NETLINK_SOCK_DIAG));
    let mut socket = Socket::new(domain, Type::DGRAM, Some(protocol))?;
    socket.set_nonblocking(true)?;
    socket.send(&request(local, peer))?;
    let mut answer = [0; 1 << 10];
    let length = socket.read(&mut answer)?;
    parse(&answer[..length])
}

/// Returns a request for one connection: `nlmsghdr` and `inet_diag_req_v2`.
fn request(local: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    const ANY_STATE: u32 = u32::MAX;
    const NO_COOKIE: [u8; 8] = [0xff; 8];
    let family = if local.is_ipv4() { AF_INET } else { AF_INET6 };
    let extensions = 1 << (INET_DIAG_INFO - 1);
    let mut body = vec![family, IPPROTO_TCP, extensions, 0];
    body.extend(ANY_STATE.to_ne_bytes());
    body.extend(local.port().to_be_bytes());
    body.extend(peer.port().to_be_bytes());
    body.extend(address(local.ip()));
    body.extend(address(peer.ip()));
    let interface: u32 = 0;
    body.extend(interface.to_ne_bytes());
    body.extend(NO_COOKIE);
    let length = u32::try_from(NETLINK_HEAD_BYTES + body.len()).unwrap_or(u32::MAX);
    let mut message = Vec::from(length.to_ne_bytes());
    message.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    message.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and port, which a single request does not need.
    message.extend([0; 8]);
    message.extend(body);
    message
}

fn address(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => {
            let mut bytes = [0; 16];
            bytes[..4].copy_from_slice(&ip.octets());
            bytes
        }
        IpAddr::V6(ip) => ip.octets(),
    }
}

fn parse(answer: &[u8]) -> io::Result<SendState> {
    let short = || io::Error::new(io::ErrorKind::InvalidData, "an incomplete answer of the kernel");
    let u16_at = |at: usize| answer.get(at..)?.first_chunk().copied().map(u16::from_ne_bytes);
    let u32_at = |at: usize| answer.get(at..)?.first_chunk().copied().map(u32::from_ne_bytes);
    let u64_at = |at: usize| answer.get(at..)?.first_chunk().copied().map(u64::from_ne_bytes);
    if u16_at(4) != Some(SOCK_DIAG_BY_FAMILY) {
        let errno = u32_at(NETLINK_HEAD_BYTES).ok_or_else(short)?.cast_signed();
        return Err(io::Error::from_raw_os_error(-errno));
    }
    let queued_bytes = u32_at(NETLINK_HEAD_BYTES + WRITE_QUEUE_OFFSET).ok_or_else(short)?;
    let mut at = NETLINK_HEAD_BYTES + MESSAGE_BYTES;
    while let (Some(length), Some(kind)) = (u16_at(at), u16_at(at + 2)) {
        if kind == INET_DIAG_INFO {
            let acked_bytes = u64_at(at + 4 + BYTES_ACKED_OFFSET).ok_or_else(short)?;
            return Ok(SendState { acked_bytes, queued_bytes });
        }
        at += usize::from(length.max(4)).next_multiple_of(4);
    }
    Err(short())
}

/// Progress of a caller for which bytes wait. Times are since any fixed moment.
///
/// ```
/// use std::time::Duration;
/// use lw_forward::drain::Drain;
/// let second = Duration::from_secs(1);
/// let mut drain = Drain::new(Some(100), 0 * second);
/// drain.update(Some(101), 2 * second);
/// drain.update(Some(101), 3 * second);
/// assert_eq!(drain.idle_time(5 * second), 3 * second);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    started: Duration,
    progressed: Duration,
    acked_first: Option<u64>,
    acked: Option<u64>,
}

impl Drain {
    /// Returns a progress that begins now; `acked` bytes were acknowledged before.
    #[must_use]
    pub fn new(acked: Option<u64>, now: Duration) -> Self {
        Self { started: now, progressed: now, acked_first: acked, acked }
    }

    /// Records how many bytes are acknowledged now. Without a number, nothing is known.
    pub fn update(&mut self, acked: Option<u64>, now: Duration) {
        if acked.is_some() && acked != self.acked {
            self.acked = acked;
            self.acked_first = self.acked_first.or(acked);
            self.progressed = now;
        }
    }

    /// Records progress of an unknown number of bytes, now or earlier.
    pub fn record_progress(&mut self, now: Duration) {
        self.progressed = self.progressed.max(now);
    }

    /// Returns the time since the last progress.
    #[must_use]
    pub fn idle_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.progressed)
    }

    /// Returns the bytes per second that were acknowledged, or none while they are not known.
    #[must_use]
    pub fn rate(&self, now: Duration) -> Option<u64> {
        let millis =
            now.checked_sub(self.started).filter(|time| *time >= RATE_TIME_MIN)?.as_millis();
        let bytes = self.acked?.saturating_sub(self.acked_first?);
        Some(bytes.saturating_mul(1_000) / u64::try_from(millis).unwrap_or(u64::MAX))
    }
}
