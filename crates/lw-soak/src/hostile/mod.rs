//! Callers that make a VM hold bytes: bodies that stop short of their end, chunks of one byte, and slow readers.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lw_standin::hosted::{
    caller::KEY,
    http::{Request, Server, answer, serve},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout_at},
};

use crate::vm::Vm;

/// Largest body that the configuration allows.
const BODY_MAX: usize = 1 << 20;
/// Length of the answers that slow callers request: more than the kernel holds for a connection.
const ANSWER_BYTES: usize = 3 << 20;
/// Id of the upstream with these answers; its service and route have the same name.
const UPSTREAM: &str = "bulk-0";
const SERVICE: &str = "bulk";
/// Longest time for which a hostile connection is kept. Shorter than the time in which a drained VM waits for connections.
const HELD_MAX: Duration = Duration::from_secs(2);
/// 0.8 of the memory of the VMs' settings, 110 MB, in KiB.
const KIB_MAX: u64 = 110 * 1024 * 8 / 10;
/// Interval between two looks at the memory of a VM. The peak is kept by the kernel until the process ends.
const MEMORY_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the upstream with large answers.
///
/// # Errors
///
/// When no address can be bound.
pub async fn start_upstream() -> io::Result<Server> {
    let body = vec![b'y'; ANSWER_BYTES];
    let handle = move |request: Request| {
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let headers = [("x-attempt-id", id.as_str()), ("x-response-seal", UPSTREAM)];
        let is_large = request.path().starts_with(&format!("/{SERVICE}/"));
        let steps = answer(200, &headers, if is_large { &body } else { b"ok" });
        async move { steps }
    };
    serve(handle).await
}

/// Adds the service with large answers to a configuration, and allows bodies of 1 MiB.
#[must_use]
pub fn with_large_answers(mut config: Value) -> Value {
    config["Limits"]["MaxBodyBytes"] = json!(BODY_MAX);
    let mut route = config["Routes"][0].clone();
    route["Name"] = json!(SERVICE);
    route["Prefix"] = json!(format!("/{SERVICE}/"));
    route["Service"] = json!(SERVICE);
    let service = json!({ "Name": SERVICE, "HealthPath": "/health", "MaxConnections": 100 });
    for (list, item) in [("Routes", route), ("Services", service)] {
        if let Some(items) = config[list].as_array_mut() {
            items.push(item);
        }
    }
    config
}

/// Returns the key and the entry of this upstream in the registry, made from that of another one.
#[must_use]
pub fn registry_entry(addr: SocketAddr, mut entry: Value) -> (String, Value) {
    entry["Service"] = json!(SERVICE);
    entry["Address"] = json!(addr.to_string());
    (format!("servers/{UPSTREAM}"), entry)
}

/// What a hostile caller does with one connection.
#[derive(Debug, Clone, Copy)]
enum Attack {
    /// Announces a body and stops one byte short of its end.
    ShortBody,
    /// Sends chunks of one byte without a last one.
    OneByteChunks,
    /// Reads a few bytes of a large answer each time.
    SlowReader,
}

/// Attacks one VM, one connection after the other, until `is_stopped`.
pub async fn run_caller(is_stopped: Arc<AtomicBool>, addr: SocketAddr, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    while !is_stopped.load(Ordering::Relaxed) {
        let attack =
            [Attack::ShortBody, Attack::OneByteChunks, Attack::SlowReader][rng.usize(0..3)];
        let until = Instant::now() + HELD_MAX.mul_f64(0.2 + 0.8 * rng.f64());
        let bytes = rng.usize(1..=BODY_MAX);
        // The VM may refuse or close the connection.
        let _ = timeout_at(until, run_attack(attack, addr, bytes)).await;
        // Also the pace of attempts while the VM is down.
        sleep(Duration::from_millis(rng.u64(20..200))).await;
    }
}

async fn run_attack(attack: Attack, addr: SocketAddr, bytes: usize) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    // A small buffer, so that the kernel holds little of an answer.
    socket.set_recv_buffer_size(4 << 10)?;
    let mut stream = socket.connect(addr).await?;
    let head = |request: &str, framing: &str| {
        format!(
            "{request} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: hostile\r\nX-Credential: {KEY}\r\n{framing}\r\n"
        )
    };
    match attack {
        Attack::ShortBody => {
            let head = head("POST /book/x", &format!("Content-Length: {bytes}\r\n"));
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'x'; bytes - 1]).await?;
        }
        Attack::OneByteChunks => {
            let head = head("POST /book/x", "Transfer-Encoding: chunked\r\n");
            stream.write_all(head.as_bytes()).await?;
            // As many as the other attack has bytes on the wire.
            stream.write_all(&b"1\r\nx\r\n".repeat(bytes / 6)).await?;
        }
        Attack::SlowReader => {
            stream.write_all(head(&format!("GET /{SERVICE}/x"), "").as_bytes()).await?;
        }
    }
    read_slowly(&mut stream).await
}

/// Reads a few bytes each time until the connection ends.
async fn read_slowly(stream: &mut TcpStream) -> io::Result<()> {
    let mut buf = [0; 16];
    while stream.read(&mut buf).await? > 0 {
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Watches the memory of a VM until `is_stopped`, and returns the most that one of its processes used, in KiB.
pub async fn watch_memory(is_stopped: &AtomicBool, vm: &Vm) -> u64 {
    let mut peak = 0;
    while !is_stopped.load(Ordering::Relaxed) {
        peak = peak.max(vm.pid().and_then(peak_kib).unwrap_or(0));
        sleep(MEMORY_INTERVAL).await;
    }
    peak
}

/// Returns a finding if a VM used more memory than its limit.
#[must_use]
pub fn check_memory(vm: &str, peak_kib: u64) -> Option<String> {
    (peak_kib > KIB_MAX)
        .then(|| format!("{vm} used {peak_kib} KiB of memory, more than {KIB_MAX} KiB"))
}

fn peak_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
