//! Starts stand-ins in this process and daemons as processes of their own, and sends them requests of callers and
//! operators.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::{
    fmt::Write as _,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command},
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use lw_protocol::{caller::DONE, sse};
use lw_standin::{engine, loopback::free_address, platform, serve::Handle, service};
use lw_transport::client::{self, Call, Clients, Reuse};
use serde_json::{Value, json};

pub mod raw;

pub const KEY: &str = "key-of-the-station";
pub const OTHER_KEY: &str = "key-of-the-other-workspace";
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";
pub const PEER_KEY: &str = "peer-key-for-all-the-tests";
/// Longest wait for a condition or an answer; only a failed run waits that long.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// What [`Fleet::start`] starts.
pub struct Options {
    pub engines: usize,
    pub services: usize,
    pub vms: usize,
    pub engine: engine::Options,
    /// Lines that are added to the settings of every VM.
    pub settings: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            engines: 2,
            services: 1,
            vms: 1,
            engine: engine::Options::default(),
            settings: String::new(),
        }
    }
}

/// A daemon process and its addresses.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    /// Value of `RUST_LOG` for the daemon from its next start on.
    pub log_filter: &'static str,
    /// Limit of open files of the process from its next start on; none leaves the limit unchanged.
    pub files_max: Option<u32>,
    settings: PathBuf,
    process: Option<Child>,
}

impl Vm {
    pub fn spawn(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("log file");
        let limit = self.files_max.map(|max| format!("ulimit -n {max} && ")).unwrap_or_default();
        let child = Command::new("sh")
            .args(["-c", &format!("{limit}exec \"$0\" --config \"$1\"")])
            .arg(env!("CARGO_BIN_EXE_lavenderwoodd"))
            .arg(&self.settings)
            .env("RUST_LOG", self.log_filter)
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn()
            .expect("daemon starts");
        self.process = Some(child);
    }

    pub fn signal(&self, name: &str) {
        let pid = self.process.as_ref().expect("running").id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(status.success(), "signal {name}");
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> u32 {
        self.process.as_ref().expect("running").id()
    }

    pub fn has_exited(&mut self) -> bool {
        let child = self.process.as_mut().expect("running");
        matches!(child.try_wait(), Ok(Some(status)) if status.success())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        const LINES: usize = 30;
        let log = self.log();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All VMs of an installation and the stand-ins that they use; dropping it ends the processes and removes their files.
pub struct Fleet {
    pub platform: Handle,
    pub engines: Vec<Handle>,
    pub services: Vec<Handle>,
    pub vms: Vec<Vm>,
    pub clients: Arc<Clients>,
    dir: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A streamed answer, collected up to its end.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub request_id: String,
    pub retry_after: Option<String>,
    pub text: String,
    pub chunks: usize,
    pub usage: Value,
    pub error: Value,
    /// Whether the stream ended with its last event, `[DONE]`.
    pub is_done: bool,
}

impl Answer {
    pub fn cached_tokens(&self) -> u64 {
        self.usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or(0)
    }
}

/// A streamed text completion to request from a VM.
pub struct CompletionRequest<'a> {
    pub vm: usize,
    pub key: &'a str,
    pub prompt: &'a str,
    pub max_tokens: u64,
    pub headers: &'a [(&'static str, &'a str)],
}

impl<'a> CompletionRequest<'a> {
    pub fn new(vm: usize, prompt: &'a str, max_tokens: u64) -> Self {
        Self { vm, key: KEY, prompt, max_tokens, headers: &[] }
    }
}

impl Fleet {
    /// Starts the stand-ins and VMs, applies a configuration with two workspaces, one model and one service, and waits
    /// until all VMs have it.
    pub async fn start(name: &str, options: Options) -> Self {
        let dir = std::env::temp_dir().join(format!("lw-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("scratch directory");
        let platform = platform::start(platform::Options::default()).expect("platform");
        let engines = (0..options.engines)
            .map(|_| engine::start(options.engine.clone()).expect("engine"))
            .collect();
        let services = (0..options.services)
            .map(|i| {
                let name = format!("service-{i}");
                service::start(service::Options { name, ..Default::default() }).expect("service")
            })
            .collect();
        let clients = Arc::new(Clients::new(client::Options {
            connect_timeout: Duration::from_secs(1),
            pool_idle_timeout: Duration::from_secs(1),
        }));
        let mut fleet = Self { platform, engines, services, vms: Vec::new(), clients, dir };
        let addresses: Vec<_> = (0..options.vms).map(|_| free_address()).collect();
        for i in 0..options.vms {
            fleet.add_vm(i, &addresses, &options.settings);
        }
        let config = fleet.initial_config();
        for vm in 0..fleet.vms.len() {
            fleet.wait_until("the VM answers", async || fleet.status(vm).await.is_some()).await;
        }
        let applied = fleet.apply_patch(0, 0, &config).await;
        assert_eq!(applied.0, 200, "configuration: {}", applied.1);
        for vm in 0..fleet.vms.len() {
            fleet.wait_for_version(vm, 1).await;
        }
        fleet
    }

    fn add_vm(&mut self, i: usize, peers: &[SocketAddr], extra: &str) {
        let (callers, operators) = (free_address(), free_address());
        let name = format!("vm-{i}");
        let others: Vec<String> = peers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != i)
            .map(|(_, addr)| format!("\"{addr}\""))
            .collect();
        let text = format!(
            "vm: {name}\nfailure_domain: domain-{}\nlisten:\n  callers: {callers}\n  \
             operators: {operators}\n  peers: {}\nplatform: {}\npeers: [{}]\n\
             peer_key: {PEER_KEY}\noperator_token: {OPERATOR_TOKEN}\n{extra}",
            i % 3,
            peers[i],
            self.platform.address(),
            others.join(", "),
        );
        let settings = self.dir.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings file");
        let log_filter = "lw_daemon=debug,warn";
        let peers = peers[i];
        let files_max = None;
        let mut vm =
            Vm { name, callers, operators, peers, log_filter, files_max, settings, process: None };
        vm.spawn();
        self.vms.push(vm);
    }

    /// Returns the configuration that [`Fleet::start`] applies as version 1.
    pub fn initial_config(&self) -> Value {
        let mut upstreams = serde_json::Map::new();
        for (i, engine) in self.engines.iter().enumerate() {
            let address = engine.address().to_string();
            let domain = format!("domain-{}", i % 3);
            upstreams.insert(
                format!("engine-{i}"),
                json!({ "role": "assistant", "address": address, "failure_domain": domain }),
            );
        }
        for (i, service) in self.services.iter().enumerate() {
            let address = service.address().to_string();
            upstreams.insert(
                format!("service-{i}"),
                json!({ "service": "desk", "address": address, "failure_domain": "domain-0" }),
            );
        }
        json!({
            "workspaces": {
                "station": { "key_digests": [lw_config::document::key_digest(KEY)], "deadline": "10s" },
                "other": { "key_digests": [lw_config::document::key_digest(OTHER_KEY)], "deadline": "10s" },
            },
            "models": { "m": { "version": "1", "role": "assistant" } },
            "services": { "desk": { "not_repeatable": ["POST /bookings"] } },
            "upstreams": upstreams,
        })
    }

    /// Sets the bootstrap document of all VMs from their next start on.
    pub fn use_bootstrap(&self, document: &Value) {
        let path = self.dir.join("bootstrap.json");
        fs::write(&path, document.to_string()).expect("bootstrap document");
        for vm in &self.vms {
            let mut text = fs::read_to_string(&vm.settings).expect("settings");
            let _ = writeln!(text, "\nbootstrap: {}", path.display());
            fs::write(&vm.settings, text).expect("settings");
        }
    }

    /// Waits until the condition holds; panics with the VMs' logs when it does not in time.
    pub async fn wait_until(&self, description: &str, condition: impl AsyncFn() -> bool) {
        let started = Instant::now();
        while !condition().await {
            if started.elapsed() > WAIT_MAX {
                let logs: Vec<_> = self.vms.iter().map(Vm::log).collect();
                panic!("timed out waiting until {description}\n{}", logs.join("\n---\n"));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn wait_for_version(&self, vm: usize, version: u64) {
        self.wait_until(&format!("vm {vm} has version {version}"), async || {
            self.status(vm).await.is_some_and(|s| s["version"].as_u64() >= Some(version))
        })
        .await;
    }

    /// Calls the operator interface and returns the status and JSON body; status 0 means that no answer came.
    pub async fn call_operator(
        &self,
        vm: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        let mut call = Call::new(method, self.vms[vm].operators, path, Duration::from_secs(5));
        call.headers
            .insert("authorization", format!("Bearer {OPERATOR_TOKEN}").parse().expect("header"));
        call.body = body.to_string().into();
        call.reuse = Reuse::Fresh;
        let Ok(response) = self.clients.send(call).await else { return (0, Value::Null) };
        let status = response.status().as_u16();
        let bytes = client::read_body(response.into_body(), 1 << 22).await.unwrap_or_default();
        (status, serde_json::from_slice(&bytes).unwrap_or_default())
    }

    pub async fn status(&self, vm: usize) -> Option<Value> {
        let (status, body) = self.call_operator(vm, Method::GET, "/op/status", &Value::Null).await;
        (status == 200).then_some(body)
    }

    pub async fn apply_patch(&self, vm: usize, base: u64, patch: &Value) -> (u16, Value) {
        self.call_operator(vm, Method::PATCH, &format!("/op/config?base={base}"), patch).await
    }

    /// Requests a streamed completion and reads the answer to its end.
    pub async fn complete(&self, request: CompletionRequest<'_>) -> Answer {
        let body = json!({
            "model": "m", "prompt": request.prompt, "max_tokens": request.max_tokens, "stream": true,
        });
        let addr = self.vms[request.vm].callers;
        let mut call = Call::new(Method::POST, addr, "/v1/completions", WAIT_MAX);
        call.headers
            .insert("authorization", format!("Bearer {}", request.key).parse().expect("header"));
        for (name, value) in request.headers {
            call.headers.insert(*name, value.parse().expect("header"));
        }
        call.body = body.to_string().into();
        call.reuse = Reuse::Fresh;
        match self.clients.send(call).await {
            Ok(response) => read_answer(response).await,
            Err(e) => Answer { error: json!(e.to_string()), ..Answer::default() },
        }
    }

    /// Calls a path of the plain service and returns the status and JSON body; status 0 means that no answer came.
    pub async fn call_service(
        &self,
        vm: usize,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> (u16, Value) {
        let path = format!("/v1/services/desk{path}");
        let mut call = Call::new(method, self.vms[vm].callers, &path, WAIT_MAX);
        call.headers.insert("authorization", format!("Bearer {KEY}").parse().expect("header"));
        for (name, value) in headers {
            call.headers.insert(*name, value.parse().expect("header"));
        }
        call.body = body.to_owned().into();
        call.reuse = Reuse::Fresh;
        let Ok(response) = self.clients.send(call).await else { return (0, Value::Null) };
        let status = response.status().as_u16();
        let bytes = client::read_body(response.into_body(), 1 << 20).await.unwrap_or_default();
        (status, serde_json::from_slice(&bytes).unwrap_or_default())
    }

    pub async fn set_faults(&self, addr: SocketAddr, faults: &impl serde::Serialize) {
        let mut call = Call::new(Method::POST, addr, "/faults", Duration::from_secs(5));
        call.reuse = Reuse::Fresh;
        call.body = serde_json::to_vec(faults).expect("faults").into();
        let response = self.clients.send(call).await.expect("stand-in answers");
        assert!(response.status().is_success(), "faults: {}", response.status());
    }

    /// Returns the entries of a stand-in's log.
    pub async fn standin_log<T: serde::de::DeserializeOwned>(&self, addr: SocketAddr) -> Vec<T> {
        let mut call = Call::new(Method::GET, addr, "/log", Duration::from_secs(5));
        call.reuse = Reuse::Fresh;
        self.clients.json(call, None::<&()>).await.expect("log of the stand-in")
    }

    /// Returns the calls that all stand-ins of the plain service have run.
    pub async fn service_runs(&self) -> Vec<service::Run> {
        let mut runs = Vec::new();
        for service in &self.services {
            runs.extend(self.standin_log::<service::Run>(service.address()).await);
        }
        runs
    }
}

async fn read_answer(response: volo_http::response::Response) -> Answer {
    let header =
        |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let mut answer = Answer {
        status: response.status().as_u16(),
        request_id: header("x-request-id").unwrap_or_default(),
        retry_after: header("retry-after"),
        ..Answer::default()
    };
    if response.status() != StatusCode::OK {
        let bytes = client::read_body(response.into_body(), 1 << 20).await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        answer.error = body["error"].clone();
        return answer;
    }
    let mut parser = sse::Parser::new(1 << 20);
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { break };
        let Ok(bytes) = frame.into_data() else { continue };
        for data in parser.push(&bytes).expect("valid events") {
            apply_event(&mut answer, &data);
        }
    }
    answer
}

fn apply_event(answer: &mut Answer, data: &str) {
    if data == DONE {
        answer.is_done = true;
        return;
    }
    let value: Value = serde_json::from_str(data).expect("events are JSON");
    if !value["error"].is_null() {
        answer.error = value["error"].clone();
    }
    if let Some(text) = value["choices"][0]["text"].as_str() {
        answer.text.push_str(text);
        answer.chunks += 1;
    }
    if !value["usage"].is_null() {
        answer.usage = value["usage"].clone();
    }
}
