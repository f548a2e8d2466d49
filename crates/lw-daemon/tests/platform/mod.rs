//! A VM of the platform as a process, with stand-ins of the store and one plain service.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::{net::SocketAddr, path::Path, time::Duration};

use lw_soak::vm::Vm;
use lw_standin::{
    hosted::{
        caller::{get, request, send},
        operator::{INTERNAL_PORTS, VmOptions, config},
        store::Store,
        upstream::Upstream,
    },
    loopback::{free_address, free_addresses},
};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

/// Largest body that the configuration allows.
pub const BODY_MAX: usize = 4 << 20;
/// `MemoryMb` of the VM.
pub const MEMORY_MB: usize = 110;
/// `MaxFds` of the VM.
pub const FDS_MAX: usize = 300;
/// Id of the plain service's server.
pub const SERVICE: &str = "desk-1";
const START_MAX: Duration = Duration::from_secs(60);

/// The machine of a VM, and the times that its operators allow.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// `MemoryMb`.
    pub memory_mb: usize,
    /// `MaxFds`.
    pub fds_max: usize,
    /// `IdleTimeoutMs`; none leaves that of the stand-in's configuration.
    pub idle_timeout: Option<Duration>,
    /// `TimeoutMs` of all routes.
    pub route_timeout: Duration,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            memory_mb: MEMORY_MB,
            fds_max: FDS_MAX,
            idle_timeout: None,
            route_timeout: Duration::from_secs(15),
        }
    }
}

fn configuration(machine: Machine) -> Value {
    let mut config = config(1);
    config["Limits"]["MaxBodyBytes"] = json!(BODY_MAX);
    if let Some(time) = machine.idle_timeout {
        config["Limits"]["IdleTimeoutMs"] = json!(time.as_millis());
    }
    for route in config["Routes"].as_array_mut().expect("routes") {
        route["TimeoutMs"] = json!(machine.route_timeout.as_millis());
    }
    config
}

pub struct Deployment {
    pub vm: Vm,
    _store: Store,
}

/// Starts a VM whose plain service is at `service`, and waits until it answers. Its files are in `dir`.
pub async fn start(dir: &Path, number: usize, service: SocketAddr) -> Deployment {
    start_on(Machine::default(), dir, number, service).await
}

/// Starts a VM on this machine, likewise.
pub async fn start_on(
    machine: Machine,
    dir: &Path,
    number: usize,
    service: SocketAddr,
) -> Deployment {
    let store = Store::start().await.expect("store");
    store.put("op/config", &configuration(machine));
    let mut entry =
        Upstream::start(SERVICE).await.expect("upstream").registry_entry("desk", "kochi-a");
    entry["Address"] = Value::from(service.to_string());
    store.put(&format!("servers/{SERVICE}"), &entry);
    let name = format!("vm-{number}");
    let place = VmOptions {
        vm: name.clone(),
        failure_domain: "kochi-a".to_owned(),
        callers: free_address(),
        readiness: free_address(),
        peers: free_addresses(INTERNAL_PORTS),
        store: store.addr(),
        revoke: Duration::from_secs(60),
        drain: Duration::from_secs(2),
    };
    let vm = Vm::new(Path::new(env!("CARGO_BIN_EXE_lavenderwoodd")), dir, place).expect("settings");
    let settings = dir.join(format!("{name}.toml"));
    let text = std::fs::read_to_string(&settings).expect("settings");
    let Machine { memory_mb, fds_max, .. } = machine;
    let text = text.replace("MemoryMb = 110", &format!("MemoryMb = {memory_mb}"));
    let text = text.replace("MaxFds = 4100", &format!("MaxFds = {fds_max}"));
    assert!(text.contains(&format!("MaxFds = {fds_max}")), "{text}");
    std::fs::write(&settings, text).expect("settings");
    vm.start().await.expect("daemon");
    let ready = async {
        let is_ready = async || {
            get(vm.place.readiness, "/api/readiness").await.is_some_and(|reply| reply.status == 200)
        };
        while !is_ready().await || !is_answered(&vm).await {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(START_MAX, ready).await.expect("the VM is ready");
    Deployment { vm, _store: store }
}

/// Whether an ordinary request is answered.
pub async fn is_answered(vm: &Vm) -> bool {
    let request = request("ordinary", "/look/x");
    let reply = send(vm.place.callers, &request);
    let reply = timeout(Duration::from_secs(10), reply).await.ok().flatten();
    reply.is_some_and(|reply| reply.status == 200 && reply.is_complete)
}
