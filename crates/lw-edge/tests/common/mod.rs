//! A VM before stand-ins of the store, two engines and two plain servers.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    io::{ErrorKind, Write},
    net::SocketAddr,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

use lw_catalog::{VmSettings, settings::Bounds};
use lw_edge::run::Vm;
use lw_observe::logs::{Logs, Options};
use lw_standin::{
    hosted::{
        store::Store,
        upstream::{Faults, MODEL, Received, Upstream},
    },
    loopback::free_address,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

pub const KEY: &str = "key-of-the-station";
/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(10);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub struct World {
    pub store: Store,
    pub engines: Vec<Upstream>,
    pub servers: Vec<Upstream>,
    /// What is done with the next requests, at whichever upstream.
    pub faults: Faults,
    pub vm: Option<Vm>,
    pub settings: VmSettings,
    pub logs: Logs,
}

/// The platform's bounds, shortened where a test would wait for them.
pub fn bounds() -> Bounds {
    Bounds {
        drain: ms(2_000),
        grace: ms(4_000),
        revoke: ms(2_000),
        version: ms(15_000),
        lease: ms(500),
        is_fenced: true,
        retry_ratio: 0.2,
        retry_floor: 90,
        retry_window: ms(10_000),
        lease_min: ms(200),
    }
}

pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u64| {
        json!({
            "Name": name, "Host": "desk.example", "Prefix": prefix, "Kind": kind,
            "TimeoutMs": 1500, "TargetLatencyMs": 500, "Priority": 1, "Service": service,
            "MaxAttempts": attempts, "AllowAnonymous": false,
            "Sticky": kind == "streaming", "Resumable": name == "long",
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("look", "/look/", "idempotent", "desk", 2),
            route("book", "/book/", "non_idempotent", "desk", 2),
            route("long", "/long/", "streaming", "llm", 2),
            route("short", "/short/", "streaming", "llm", 1),
        ],
        "Services": [
            { "Name": "desk", "HealthPath": "/health", "MaxConnections": 100 },
            { "Name": "llm", "HealthPath": "/health", "MaxConnections": 100, "Engine": {
                "Slots": 8, "KvCapacityTokens": 180_000, "KvTokenBytes": 18_432,
                "LinkMbps": 88_000.0, "Stride": 6, "MaxInFlight": 12,
                "Models": [{ "Name": MODEL }],
            } },
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 65_536, "HeaderTimeoutMs": 1000,
            "IdleTimeoutMs": 3000,
        },
        "Tenants": [
            { "Name": "station", "ApiKeys": [KEY], "Priority": 1, "Isolated": false },
            { "Name": "quiz", "ApiKeys": ["key-of-the-quiz"], "Priority": 1, "Isolated": true },
        ],
    })
}

impl World {
    /// Starts the stand-ins and a VM, and waits until it is ready.
    pub async fn start() -> Self {
        Self::start_with(bounds()).await
    }

    pub async fn start_with(bounds: Bounds) -> Self {
        let store = Store::start().await.unwrap();
        store.put("op/config", &config(3));
        store.put(&format!("op/version/{MODEL}"), &json!({ "Model": MODEL, "Version": 1 }));
        let mut world = Self {
            settings: settings("vm-1", &store, bounds),
            logs: logs(),
            store,
            engines: Vec::new(),
            servers: Vec::new(),
            faults: Faults::default(),
            vm: None,
        };
        for n in 1..=2 {
            let engine = Upstream::start(&format!("engine-{n}")).await.unwrap();
            world.store.put(&format!("servers/{}", engine.id), &engine.entry("llm", "kochi-a"));
            engine.share(&world.faults);
            world.engines.push(engine);
            let server = Upstream::start(&format!("desk-{n}")).await.unwrap();
            world.store.put(&format!("servers/{}", server.id), &server.entry("desk", "kochi-a"));
            server.share(&world.faults);
            world.servers.push(server);
        }
        world.vm = Some(Vm::start(world.settings.clone(), world.logs.clone()).await.unwrap());
        world.until("the VM is ready", async |world| world.ready().await).await;
        world
    }

    pub async fn ready(&self) -> bool {
        let reply = get(self.settings.readiness, "/api/readiness").await;
        reply.is_some_and(|reply| reply.status == 200)
    }

    pub async fn until(&self, what: &str, mut holds: impl AsyncFnMut(&Self) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds(self).await {
            assert!(Instant::now() < end, "never: {what}");
            tokio::time::sleep(ms(10)).await;
        }
    }

    /// Settings of a further VM.
    pub fn another(&self, vm: &str) -> VmSettings {
        VmSettings { metrics: None, ..settings(vm, &self.store, self.settings.bounds) }
    }

    /// Sends a request on a new connection.
    pub async fn send(&self, request: &Outgoing) -> Option<Reply> {
        let mut caller = Caller::connect(self.settings.callers).await?;
        caller.send(request).await;
        caller.receive().await
    }

    /// All requests that upstreams got with this id.
    pub fn received(&self, id: &str) -> Vec<Received> {
        let all = self.servers.iter().chain(&self.engines).flat_map(Upstream::received);
        all.filter(|got| got.request.header("x-attempt-id") == Some(id)).collect()
    }

    /// Requests that plain servers or engines ran with this id.
    pub fn runs(&self, id: &str) -> usize {
        self.received(id).iter().filter(|got| got.ran).count()
    }
}

/// The log of this process, which goes to standard output as in the daemon.
pub fn logs() -> Logs {
    static LOGS: OnceLock<Logs> = OnceLock::new();
    let start = || {
        let logs = Logs::new(Options::default(), Output).unwrap();
        logs.install().unwrap();
        logs
    };
    LOGS.get_or_init(start).clone()
}

/// What the VMs of this process wrote to standard output.
static WRITTEN: Mutex<Vec<u8>> = Mutex::new(Vec::new());

/// Standard output, and a copy of what goes there.
struct Output;

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let n = std::io::stdout().write(bytes)?;
        WRITTEN.lock().unwrap().extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        std::io::stdout().flush()
    }
}

/// All lines that were written so far.
pub fn written() -> String {
    String::from_utf8_lossy(&WRITTEN.lock().unwrap()).into_owned()
}

pub fn settings(vm: &str, store: &Store, bounds: Bounds) -> VmSettings {
    VmSettings {
        vm: vm.into(),
        failure_domain: "kochi-a".into(),
        callers: free_address(),
        readiness: free_address(),
        peers: free_address(),
        metrics: Some(free_address()),
        store: store.addr(),
        memory_bytes: 64 << 20,
        sockets_max: 1000,
        bounds,
    }
}

/// Names a version of the model's weights, as operators do.
pub fn name_version(world: &World, version: u64) {
    world.store.put(&format!("op/version/{MODEL}"), &json!({ "Model": MODEL, "Version": version }));
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Outgoing {
    pub id: String,
    pub method: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub headers: String,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

pub fn request(id: &str, path: &'static str) -> Outgoing {
    let method = if path.starts_with("/look") { "GET" } else { "POST" };
    let headers = if path.starts_with("/long") || path.starts_with("/short") {
        format!("X-Model: {MODEL}\r\nX-Token-Count: 1200,20\r\nX-Prompt-Prefix: a1:1000,b2:200\r\n")
    } else {
        String::new()
    };
    let body = if method == "GET" { Vec::new() } else { b"{}".to_vec() };
    Outgoing { id: id.into(), method, path, key: KEY, headers, body, deadline_ms: 3000 }
}

impl Outgoing {
    pub fn bytes(&self) -> Vec<u8> {
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {}\r\nX-Credential: {}\r\n\
             X-Deadline-Ms: {}\r\nContent-Length: {}\r\n{}\r\n",
            self.method,
            self.path,
            self.id,
            self.key,
            self.deadline_ms,
            self.body.len(),
            self.headers
        );
        [head.as_bytes(), &self.body].concat()
    }
}

/// An answer as a caller sees it.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether it ended as it announced.
    pub is_complete: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection of a caller.
pub struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    pub async fn connect(addr: SocketAddr) -> Option<Self> {
        Some(Self { stream: TcpStream::connect(addr).await.ok()?, buf: Vec::new() })
    }

    pub async fn send(&mut self, request: &Outgoing) {
        self.send_bytes(&request.bytes()).await;
    }

    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        if let Err(e) = self.stream.write_all(bytes).await {
            assert!(matches!(e.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset), "{e}");
        }
    }

    /// The next answer; none if the connection ended before its head.
    pub async fn receive(&mut self) -> Option<Reply> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            self.more().await?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end);
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut reply = Reply { status, head, body: Vec::new(), is_complete: false };
        if reply.header("transfer-encoding").is_some() {
            self.chunks(&mut reply).await;
        } else {
            let length = reply.header("content-length").map_or(0, |text| text.parse().unwrap());
            while self.buf.len() < length && self.more().await.is_some() {}
            let taken = length.min(self.buf.len());
            reply.body = self.buf.drain(..taken).collect();
            reply.is_complete = taken == length;
        }
        Some(reply)
    }

    async fn chunks(&mut self, reply: &mut Reply) {
        loop {
            let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") else {
                if self.more().await.is_none() {
                    return;
                }
                continue;
            };
            let size = std::str::from_utf8(&self.buf[..at]).unwrap();
            let size = usize::from_str_radix(size, 16).unwrap();
            while self.buf.len() < at + 2 + size + 2 {
                if self.more().await.is_none() {
                    return;
                }
            }
            reply.body.extend_from_slice(&self.buf[at + 2..at + 2 + size]);
            self.buf.drain(..at + 2 + size + 2);
            if size == 0 {
                reply.is_complete = true;
                return;
            }
        }
    }

    /// Whether the connection is still open after `time` without a byte.
    pub async fn stays_open(&mut self, time: Duration) -> bool {
        tokio::time::timeout(time, self.more()).await.is_err()
    }

    async fn more(&mut self) -> Option<()> {
        match self.stream.read_buf(&mut self.buf).await {
            Ok(1..) => Some(()),
            _ => None,
        }
    }
}

/// A plain GET.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Reply> {
    let mut caller = Caller::connect(addr).await?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    caller.send_bytes(text.as_bytes()).await;
    caller.receive().await
}

/// A listener that accepts connections and never answers.
pub async fn mute() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}
