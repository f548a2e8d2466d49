//! A VM with stand-ins of the store, two engines and two plain servers.

#![allow(dead_code, reason = "each test file uses only some of these")]

use std::{
    collections::BTreeSet,
    io::Write,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

use lw_catalog::{VmSettings, settings::Bounds};
use lw_edge::{
    peers::{self, Notice},
    run::Vm,
};
use lw_observe::logs::{Logs, Options};
use lw_standin::{
    hosted::{
        store::Store,
        upstream::{BehaviourQueue, MODEL, ReceivedRequest, STREAM_EVENTS, Upstream, event},
    },
    loopback::free_address,
};
use serde_json::{Value, json};

/// Longest wait for a condition that must become true.
const WAIT_MAX: Duration = Duration::from_secs(10);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[allow(unused_imports, reason = "each test file uses only some of these")]
pub use lw_standin::hosted::{
    caller::{CallerRequest, Reply, get, request, send},
    operator::config,
};

/// Events that a caller has before its stream breaks.
pub const RECEIVED: u64 = 2;

/// Returns a request that takes up a stream after these events. `origin` is the id of the stream's first request.
pub fn resumption(id: &str, origin: Option<&str>) -> CallerRequest {
    let req = request(id, "/long/x");
    let origin = origin.map(|id| format!("Resumes: {id}\r\n")).unwrap_or_default();
    let headers = format!("{}Last-Event-Id: {RECEIVED}\r\n{origin}", req.headers);
    CallerRequest { headers, ..req }
}

/// Returns the events that follow in the stream.
pub fn rest() -> Vec<u8> {
    (RECEIVED + 1..=STREAM_EVENTS).flat_map(event).collect()
}

/// A VM and the stand-ins of the store and its upstreams. They run in this process and use real sockets.
pub struct Simulation {
    pub store: Store,
    pub engines: Vec<Upstream>,
    pub servers: Vec<Upstream>,
    /// Behaviours for the next requests, whichever upstream receives them.
    pub faults: BehaviourQueue,
    /// The VM, until a test takes it out to end it.
    pub vm: Option<Vm>,
    pub settings: VmSettings,
    pub logs: Logs,
}

/// The platform's bounds, shortened where a test would wait for them.
pub fn bounds() -> Bounds {
    Bounds {
        drain: ms(2_000),
        config: ms(2_000),
        grace: ms(4_000),
        revoke: ms(2_000),
        version: ms(15_000),
        lease: ms(500),
        is_fenced: true,
        retry_ratio: 0.2,
        retry_floor: 90,
        retry_window: ms(10_000),
        heartbeat: ms(100),
        lease_min: ms(200),
        quota: lw_catalog::settings::QuotaBounds::default(),
    }
}

impl Simulation {
    /// Starts the stand-ins and a VM, and waits until it is ready.
    pub async fn start() -> Self {
        Self::start_with(bounds()).await
    }

    pub async fn start_with(bounds: Bounds) -> Self {
        Self::start_with_settings(bounds, |settings| settings).await
    }

    /// Starts with these bounds and changes of the VM's settings.
    pub async fn start_with_settings(
        bounds: Bounds,
        change: impl FnOnce(VmSettings) -> VmSettings,
    ) -> Self {
        let store = Store::start().await.unwrap();
        store.put("lavenderwood/settled-era", &json!({ "era": 0 }));
        store.put("op/config", &config(3));
        store.put(&format!("op/version/{MODEL}"), &json!({ "Model": MODEL, "Version": 1 }));
        let mut simulation = Self {
            settings: change(settings("vm-1", &store, bounds)),
            logs: logs(),
            store,
            engines: Vec::new(),
            servers: Vec::new(),
            faults: BehaviourQueue::default(),
            vm: None,
        };
        for n in 1..=2 {
            let engine = Upstream::start(&format!("engine-{n}")).await.unwrap();
            simulation
                .store
                .put(&format!("servers/{}", engine.id), &engine.registry_entry("llm", "kochi-a"));
            engine.set_queue(&simulation.faults);
            simulation.engines.push(engine);
            let server = Upstream::start(&format!("desk-{n}")).await.unwrap();
            simulation
                .store
                .put(&format!("servers/{}", server.id), &server.registry_entry("desk", "kochi-a"));
            server.set_queue(&simulation.faults);
            simulation.servers.push(server);
        }
        simulation.vm =
            Some(Vm::start(simulation.settings.clone(), simulation.logs.clone()).await.unwrap());
        simulation
            .wait_until("the VM is ready", async |simulation| simulation.is_ready().await)
            .await;
        simulation
    }

    /// Starts with this change of each route.
    pub async fn start_with_routes(change: impl Fn(&mut Value)) -> Self {
        let simulation = Self::start().await;
        let mut config = config(4);
        config["Routes"].as_array_mut().expect("routes").iter_mut().for_each(change);
        simulation.store.put("op/config", &config);
        let is_applied = async |simulation: &Self| {
            let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
            edge.store_view().catalog().is_some_and(|catalog| catalog.version == 4)
        };
        simulation.wait_until("the configuration is in force", is_applied).await;
        simulation
    }

    /// Adds engines until there are `count`, and waits until the VM knows them.
    pub async fn add_engines(&mut self, count: usize) {
        for n in self.engines.len() + 1..=count {
            let engine = Upstream::start(&format!("engine-{n}")).await.unwrap();
            let entry = engine.registry_entry("llm", "kochi-a");
            self.store.put(&format!("servers/{}", engine.id), &entry);
            engine.set_queue(&self.faults);
            self.engines.push(engine);
        }
        let is_known = async |simulation: &Self| {
            let vm = simulation.vm.as_ref().expect("the VM runs");
            vm.edge.store_view().directory.iter().count() == count + simulation.servers.len()
        };
        self.wait_until("all engines are known", is_known).await;
    }

    /// Starts a second VM, which sends messages to the first.
    pub async fn start_second(&self) -> Vm {
        let second = Vm::start(self.further_settings("vm-2"), self.logs.clone()).await.unwrap();
        self.wait_until_joined(&second).await;
        second
    }

    /// Returns the engine that received a request first.
    pub fn engine_of(&self, id: &str) -> &Upstream {
        let received = |engine: &&Upstream| {
            engine.received().iter().any(|got| got.request.header("x-attempt-id") == Some(id))
        };
        self.engines.iter().find(received).expect("an engine runs it")
    }

    pub async fn is_ready(&self) -> bool {
        let reply = get(self.settings.readiness, "/api/readiness").await;
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// Waits until a condition is true. `what` names it if that takes too long.
    pub async fn wait_until(&self, what: &str, mut is_true: impl AsyncFnMut(&Self) -> bool) {
        let end = Instant::now() + WAIT_MAX;
        while !is_true(self).await {
            assert!(Instant::now() < end, "never: {what}");
            tokio::time::sleep(ms(10)).await;
        }
    }

    /// Waits until all engines serve this version of the weights.
    pub async fn wait_until_served(&self, version: u64) {
        let is_served = async |simulation: &Self| {
            simulation.engines.iter().all(|engine| engine.version() == version)
        };
        self.wait_until(&format!("all engines serve version {version}"), is_served).await;
    }

    /// Waits until the first VM and this other one have each other's registration and can send messages.
    pub async fn wait_until_joined(&self, second: &Vm) {
        self.wait_until_all_joined(std::slice::from_ref(second)).await;
    }

    /// Waits until the first VM and all these other ones have joined, likewise.
    pub async fn wait_until_all_joined(&self, further: &[Vm]) {
        let first = self.vm.as_ref().expect("the first VM runs");
        let count = further.len() + 1;
        let is_joined =
            |vm: &Vm| vm.edge.datagrams().is_some() && vm.edge.store_view().vms().count() == count;
        let are_joined = async |_: &Self| further.iter().chain([first]).all(is_joined);
        self.wait_until("all joined", are_joined).await;
    }

    /// Returns the settings of a further VM.
    pub fn further_settings(&self, vm: &str) -> VmSettings {
        VmSettings { metrics: None, ..settings(vm, &self.store, self.settings.bounds) }
    }

    /// Returns the software versions of the engines that ran any of these requests.
    pub fn versions_of(&self, ids: &[&str]) -> BTreeSet<String> {
        let ran = |engine: &&Upstream| {
            let received = engine.received();
            let mut ran = received.iter().filter(|got| got.is_executed);
            ran.any(|got| got.request.header("x-attempt-id").is_some_and(|id| ids.contains(&id)))
        };
        self.engines.iter().filter(ran).map(Upstream::software).collect()
    }

    /// Sends a request on a new connection.
    pub async fn send(&self, request: &CallerRequest) -> Option<Reply> {
        send(self.settings.callers, request).await
    }

    /// Returns all requests with this id that upstreams received.
    pub fn received(&self, id: &str) -> Vec<ReceivedRequest> {
        let all = self.servers.iter().chain(&self.engines).flat_map(Upstream::received);
        all.filter(|got| got.request.header("x-attempt-id") == Some(id)).collect()
    }

    /// Returns how many requests with this id plain servers and engines ran.
    pub fn run_count(&self, id: &str) -> usize {
        self.received(id).iter().filter(|got| got.is_executed).count()
    }
}

/// Returns the log of this process, which is written to standard output as in the daemon.
pub fn logs() -> Logs {
    static LOGS: OnceLock<Logs> = OnceLock::new();
    let start = || {
        let logs = Logs::new(Options::default(), Output).unwrap();
        logs.install().unwrap();
        logs
    };
    LOGS.get_or_init(start).clone()
}

/// Copy of what the VMs of this process wrote to standard output.
static WRITTEN: Mutex<Vec<u8>> = Mutex::new(Vec::new());

/// Writes to standard output, and a copy to [`WRITTEN`].
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

/// Returns all log lines so far.
pub fn log_output() -> String {
    String::from_utf8_lossy(&WRITTEN.lock().unwrap()).into_owned()
}

pub fn settings(vm: &str, store: &Store, bounds: Bounds) -> VmSettings {
    VmSettings {
        vm: vm.into(),
        failure_domain: "kochi-a".into(),
        callers: free_address(),
        readiness: free_address(),
        peers: free_address(),
        forwarded: free_address(),
        metrics: Some(free_address()),
        store: store.addr(),
        memory_bytes: 64 << 20,
        sockets_max: 1000,
        link_mbps: 1000,
        cpu_percent: 100,
        limits_overload: true,
        bounds,
    }
}

/// Writes the target version of the model's weights to the store, as operators do.
pub fn set_target_version(simulation: &Simulation, version: u64) {
    simulation
        .store
        .put(&format!("op/version/{MODEL}"), &json!({ "Model": MODEL, "Version": version }));
}

/// Lets a VM report an engine as unresponsive to the others.
pub fn report_silence(vm: &Vm, engine: &str) {
    peers::broadcast(&vm.edge, Notice::Unresponsive { upstream: engine.to_owned(), ms: 500 });
}
