//! Callers that make a process hold bytes for them, and what the process uses meanwhile.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lw_standin::hosted::http::{Request, Server, Step, answer, serve};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Number of callers that send or read at the same time.
pub const CLIENTS: usize = 40;
/// Number of connections that send a request head without an end.
pub const HEAD_CLIENTS: usize = 400;
/// Largest body that the configurations of these tests allow.
pub const BODY_MAX: usize = 4 << 20;
/// Body of each answer whose callers do not read it.
pub const ANSWER_BYTES: usize = 3 << 20;
/// Time after which a client stops to write; a process that does not read lets it wait.
const WRITE_MAX: Duration = Duration::from_secs(20);
/// Longest time for one case and the ordinary request after it; only a failed run takes that long.
const CASE_MAX: Duration = Duration::from_secs(90);
/// Time without growth after which the peak memory counts as reached.
const SETTLED: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Announced,
    Chunked,
}

/// How a body is sent.
#[derive(Debug, Clone, Copy)]
pub struct Upload {
    pub name: &'static str,
    pub framing: Framing,
    /// Length of each chunk, or of each write of an announced body.
    pub piece: usize,
    /// Number of bytes that are sent.
    pub bytes: usize,
    /// Bytes of the body that are announced, or would follow, and are not sent.
    pub missing: usize,
}

/// What the callers of one case do.
#[derive(Debug, Clone, Copy)]
pub enum Case {
    /// Each sends a body and keeps its connection open.
    Upload(Upload),
    /// Each sends a whole body of the largest size to an upstream that does not answer.
    InFlight,
    /// Each requests an answer of [`ANSWER_BYTES`] and does not read it.
    Unread,
    /// Each sends the start of a request head.
    Heads,
}

impl Case {
    pub fn name(&self) -> &'static str {
        match self {
            Self::Upload(upload) => upload.name,
            Self::InFlight => "whole bodies in flight",
            Self::Unread => "answers that are not read",
            Self::Heads => "heads without an end",
        }
    }
}

/// Returns all cases. One-byte pieces are fewer, since each costs a read or a decoded chunk.
pub fn cases() -> Vec<Case> {
    use Framing::{Announced, Chunked};
    const SHORT: usize = BODY_MAX - 1;
    const FAR_OVER: usize = 16 * BODY_MAX;
    let uploads = [
        ("announced, at once", Announced, SHORT, SHORT, 1),
        ("announced, pieces of 64 KiB", Announced, 64 << 10, SHORT, 1),
        ("announced, pieces of 1,400 bytes", Announced, 1_400, SHORT, 1),
        ("announced, pieces of 1 byte", Announced, 1, 4 << 10, 1),
        ("chunked, at once", Chunked, SHORT, SHORT, 1),
        ("chunks of 64 KiB", Chunked, 64 << 10, SHORT, 1),
        ("chunks of 1,400 bytes", Chunked, 1_400, SHORT, 1),
        ("chunks of 1 byte", Chunked, 1, 128 << 10, 1),
        ("far over the limit, announced", Announced, 64 << 10, FAR_OVER, 0),
        ("far over the limit, chunks of 64 KiB", Chunked, 64 << 10, FAR_OVER, 0),
        ("far over the limit, chunks of 1,400 bytes", Chunked, 1_400, FAR_OVER, 0),
    ];
    let uploads = uploads.into_iter().map(|(name, framing, piece, bytes, missing)| {
        Case::Upload(Upload { name, framing, piece, bytes, missing })
    });
    uploads.chain([Case::InFlight, Case::Unread, Case::Heads]).collect()
}

/// The requests of an interface, as heads without the lines that state the length of a body and without the empty line.
pub struct Requests {
    pub addr: SocketAddr,
    /// A request with a body.
    pub upload: String,
    /// A request whose body reaches an upstream that does not answer.
    pub in_flight: String,
    /// A request without a body, answered with [`ANSWER_BYTES`].
    pub large_answer: String,
}

/// What a process used.
#[derive(Debug)]
pub struct Usage {
    pub peak_kib: u64,
    pub descriptors: usize,
}

/// Starts a plain service, whose answers have this seal: a large answer, none, or this one to an ordinary call.
pub async fn start_service(seal: &'static str, ordinary: &'static [u8]) -> Server {
    let large = vec![b'y'; ANSWER_BYTES];
    let handle = move |request: Request| {
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let headers = [
            ("x-attempt-id", id.as_str()),
            ("x-response-seal", seal),
            ("content-type", "application/json"),
        ];
        let steps = match request.path() {
            path if path.ends_with("/large") => answer(200, &headers, &large),
            path if path.ends_with("/silent") => vec![Step::Wait(Duration::from_secs(60))],
            _ => answer(200, &headers, ordinary),
        };
        async move { steps }
    };
    serve(handle).await.expect("service")
}

/// Returns the largest memory use of a process so far in KiB; `None` if it has ended.
pub fn peak_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

pub fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Runs one case against a process, then repeats an ordinary request until it is answered. The hostile connections stay open
/// meanwhile. Returns what the process used, or why the case failed.
pub async fn run(
    case: Case,
    pid: u32,
    requests: Requests,
    answered: impl AsyncFn() -> bool,
) -> Result<Usage, String> {
    let started = Instant::now();
    let requests = Arc::new(requests);
    let mut descriptors_max = 0;
    let held = match case {
        Case::Unread => unread(&requests).await,
        Case::Heads => crowd(HEAD_CLIENTS, &requests, |requests| endless_head(requests.addr)).await,
        Case::Upload(upload) => {
            crowd(CLIENTS, &requests, move |requests| async move {
                send_body(requests.addr, &requests.upload, upload).await
            })
            .await
        }
        Case::InFlight => {
            let whole = Upload {
                name: "",
                framing: Framing::Announced,
                piece: BODY_MAX,
                bytes: BODY_MAX,
                missing: 0,
            };
            crowd(CLIENTS, &requests, move |requests| async move {
                send_body(requests.addr, &requests.in_flight, whole).await
            })
            .await
        }
    };
    let mut peak = peak_kib(pid).ok_or("the process has ended")?;
    let mut settled_at = Instant::now() + SETTLED;
    while Instant::now() < settled_at && started.elapsed() < CASE_MAX {
        descriptors_max = descriptors_max.max(descriptors(pid));
        sleep(Duration::from_millis(20)).await;
        let now = peak_kib(pid).ok_or("the process has ended")?;
        if now > peak {
            peak = now;
            settled_at = Instant::now() + SETTLED;
        }
    }
    while !answered().await {
        if started.elapsed() > CASE_MAX {
            return Err("no ordinary request is answered".to_owned());
        }
        sleep(Duration::from_millis(50)).await;
    }
    drop(held);
    let peak_kib = peak_kib(pid).ok_or("the process has ended")?;
    Ok(Usage { peak_kib, descriptors: descriptors_max.max(descriptors(pid)) })
}

/// Lets this many clients run at the same time, and returns their connections.
async fn crowd<F>(
    clients: usize,
    requests: &Arc<Requests>,
    client: impl Fn(Arc<Requests>) -> F,
) -> Vec<Option<TcpStream>>
where
    F: Future<Output = Option<TcpStream>> + Send + 'static,
{
    let mut tasks: JoinSet<_> = (0..clients).map(|_| client(Arc::clone(requests))).collect();
    let mut held = Vec::new();
    while let Some(connection) = tasks.join_next().await {
        held.push(connection.expect("a client does not panic"));
    }
    held
}

async fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(WRITE_MAX, TcpStream::connect(addr)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends a body and returns the open connection; a process that closes it ends the body.
async fn send_body(addr: SocketAddr, head: &str, upload: Upload) -> Option<TcpStream> {
    let mut stream = connect(addr).await?;
    let length = match upload.framing {
        Framing::Announced => format!("content-length: {}", upload.bytes + upload.missing),
        Framing::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    let write = async {
        stream.write_all(format!("{head}{length}\r\n\r\n").as_bytes()).await?;
        let piece = wire_piece(upload.framing, upload.piece);
        // Chunks of one byte are written together, as a caller with a small buffer for chunks and a large one for the
        // socket does.
        let together =
            if upload.framing == Framing::Chunked && upload.piece == 1 { 8 << 10 } else { 1 };
        let piece = piece.repeat(together);
        for _ in 0..upload.bytes / (upload.piece * together) {
            stream.write_all(&piece).await?;
            if upload.framing == Framing::Announced && upload.piece == 1 {
                // Lets the process read before the next byte.
                tokio::task::yield_now().await;
            }
        }
        let rest = upload.bytes % (upload.piece * together);
        if rest > 0 {
            stream.write_all(&wire_piece(upload.framing, rest)).await?;
        }
        std::io::Result::Ok(())
    };
    let _ = timeout(WRITE_MAX, write).await;
    Some(stream)
}

/// Returns the bytes of one piece of a body.
fn wire_piece(framing: Framing, bytes: usize) -> Vec<u8> {
    let data = vec![b'x'; bytes];
    match framing {
        Framing::Announced => data,
        Framing::Chunked => {
            [format!("{bytes:x}\r\n").as_bytes(), data.as_slice(), b"\r\n"].concat()
        }
    }
}

async fn endless_head(addr: SocketAddr) -> Option<TcpStream> {
    let mut stream = connect(addr).await?;
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {}", "x".repeat(15 << 10));
    let _ = timeout(WRITE_MAX, stream.write_all(head.as_bytes())).await;
    Some(stream)
}

/// Requests large answers one after the other, each when the one before has begun to arrive, and reads none of them.
async fn unread(requests: &Requests) -> Vec<Option<TcpStream>> {
    let mut held = Vec::new();
    for _ in 0..CLIENTS {
        held.push(request_unread(requests).await);
    }
    held
}

async fn request_unread(requests: &Requests) -> Option<TcpStream> {
    const FIRST_BYTES_MAX: Duration = Duration::from_secs(3);
    let socket = TcpSocket::new_v4().ok()?;
    // A small buffer, so that the answer is not held by the kernel.
    socket.set_recv_buffer_size(4 << 10).ok()?;
    let mut stream = timeout(WRITE_MAX, socket.connect(requests.addr)).await.ok()?.ok()?;
    stream.write_all(format!("{}\r\n", requests.large_answer).as_bytes()).await.ok()?;
    let _ = timeout(FIRST_BYTES_MAX, stream.read_u8()).await;
    Some(stream)
}

/// Prints what a case used, and returns a finding if it failed or used more than the bounds.
pub fn check(
    case: Case,
    result: &Result<Usage, String>,
    kib_max: u64,
    descriptors_max: usize,
) -> Option<String> {
    check_usage(case.name(), result, kib_max, descriptors_max)
}

/// Like [`check`], for a case of this name.
pub fn check_usage(
    name: &str,
    result: &Result<Usage, String>,
    kib_max: u64,
    descriptors_max: usize,
) -> Option<String> {
    let finding = match result {
        Err(why) => Some(format!("{name}: {why}")),
        Ok(usage) if usage.peak_kib > kib_max => {
            Some(format!("{name}: peak memory of {} KiB, bound {kib_max}", usage.peak_kib))
        }
        Ok(usage) if usage.descriptors > descriptors_max => {
            Some(format!("{name}: {} descriptors, bound {descriptors_max}", usage.descriptors))
        }
        Ok(_) => None,
    };
    println!("{name}: {result:?}{}", if finding.is_some() { ", FAILED" } else { "" });
    finding
}
