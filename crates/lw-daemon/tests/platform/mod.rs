//! A VM of the platform as a process, with stand-ins of the store and one plain service.

use std::{net::SocketAddr, path::Path, time::Duration};

use lw_soak::vm::Vm;
use lw_standin::{
    hosted::{
        caller::{get, request, send},
        operator::{VmOptions, config},
        store::Store,
        upstream::Upstream,
    },
    loopback::free_address,
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

fn configuration() -> Value {
    let mut config = config(1);
    config["Limits"]["MaxBodyBytes"] = json!(BODY_MAX);
    for route in config["Routes"].as_array_mut().expect("routes") {
        route["TimeoutMs"] = json!(15_000);
    }
    config
}

pub struct Deployment {
    pub vm: Vm,
    _store: Store,
}

/// Starts a VM whose plain service is at `service`, and waits until it answers. Its files are in `dir`.
pub async fn start(dir: &Path, number: usize, service: SocketAddr) -> Deployment {
    let store = Store::start().await.expect("store");
    store.put("op/config", &configuration());
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
        peers: free_address(),
        store: store.addr(),
        revoke: Duration::from_secs(60),
        drain: Duration::from_secs(2),
    };
    let vm = Vm::new(Path::new(env!("CARGO_BIN_EXE_lavenderwoodd")), dir, place).expect("settings");
    let settings = dir.join(format!("{name}.toml"));
    let text = std::fs::read_to_string(&settings).expect("settings");
    let text = text.replace("MemoryMb = 110", &format!("MemoryMb = {MEMORY_MB}"));
    let text = text.replace("MaxFds = 4100", &format!("MaxFds = {FDS_MAX}"));
    assert!(text.contains(&format!("MaxFds = {FDS_MAX}")), "{text}");
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
