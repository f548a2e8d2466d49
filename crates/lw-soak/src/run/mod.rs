//! A run: starts the deployment, injects faults, checks recovery and collects the findings.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use derive_more::{Display, Error, From};
use lw_standin::{
    hosted::{
        caller::{request, send},
        http::Server,
        operator::{INTERNAL_PORTS, VmOptions, config, revoked_config},
        store::Store,
        upstream::{BehaviourQueue, MODEL, Upstream},
    },
    loopback::{free_address, free_addresses},
    proxy::Proxy,
};
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    callers::{self, CallerGroup, PACED_STREAM_PATHS, PATHS, STREAM_DEADLINE, is_ready},
    checks::{ActiveFault, Trace},
    hostile,
    schedule::{Options, draw_events},
    vm::Vm,
};

mod faults;

/// Time within which a revoked key must be refused. Shorter than in production, to keep runs short.
const REVOCATION_TIME_MAX: Duration = Duration::from_secs(3);
/// Time after which a leaving upstream must receive no further requests.
pub(crate) const LEAVING_TIME_MAX: Duration = Duration::from_secs(2);
/// Grace period of the VMs' settings, after which the platform kills a VM that drains.
const GRACE: Duration = Duration::from_secs(8);
/// Longest time for a VM to end after SIGTERM: its grace period before a kill plus the longest pause fault.
pub(crate) const SHUTDOWN_TIME_MAX: Duration = Duration::from_secs(12);
/// Longest time after the last fault until every VM serves all routes and all engines have the target version.
const RECOVERY_TIME_MAX: Duration = Duration::from_secs(15);
/// Longest time for all VMs to become ready at the start.
pub(crate) const START_TIME_MAX: Duration = Duration::from_secs(20);
/// Number of callers of each VM, and of those that send only paced streams.
const CALLERS_PER_VM: usize = 4;
const STREAM_CALLERS_PER_VM: usize = 3;
/// Failure domains of the VMs and upstreams, assigned in turn.
const DOMAINS: [&str; 3] = ["kochi-a", "kochi-b", "kochi-c"];

/// Why a run could not be set up.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A process could not be started, a port not bound or a file not accessed.
    #[display("the run could not be set up: {_0}")]
    Io(io::Error),
    /// The VMs did not become ready in time.
    #[display("the VMs were not ready in time; their logs are in {}", dir.display())]
    #[from(skip)]
    NotReady {
        /// Directory of the logs.
        dir: PathBuf,
    },
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// A line for each violated guarantee or fault that could not be injected.
    pub findings: Vec<String>,
    /// Number of injected faults and operator changes.
    pub faults: usize,
    /// Number of requests by callers.
    pub requests: usize,
    /// Number of requests with a complete answer of status 200.
    pub served: usize,
    /// Largest memory use of a VM, in KiB.
    pub peak_kib: u64,
}

/// What the operators have configured and registered so far.
#[derive(Debug)]
struct OperatorState {
    config_version: u64,
    target_version: u64,
    has_other_key: bool,
    revocations: Vec<(Instant, Instant)>,
    leaving: Vec<(usize, Instant, Instant)>,
    stages: Vec<UpstreamStage>,
    /// Whether the other workspace is isolated, and when that changed.
    is_isolated: bool,
    isolations: Vec<(Instant, bool)>,
}

/// What the store says of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamStage {
    Ready,
    Leaving,
    /// It has no entry.
    Gone,
}

/// The stand-ins, proxies and VMs of a run, and what is recorded of them.
struct Deployment {
    store: Store,
    store_paths: Vec<Proxy>,
    upstreams: Vec<Upstream>,
    upstream_paths: Vec<Proxy>,
    engines: usize,
    /// Upstream with answers for slow readers.
    bulk: Server,
    vms: Vec<Vm>,
    /// Serializes the restarts of each VM.
    restart_locks: Vec<tokio::sync::Mutex<()>>,
    /// Behaviours of the upstreams for the next requests.
    behaviours: BehaviourQueue,
    operators: Mutex<OperatorState>,
    active_faults: Mutex<Vec<ActiveFault>>,
    findings: Mutex<Vec<String>>,
    started_at: Instant,
}

/// Runs the VMs with the faults drawn from `options`, and writes their settings and logs into `dir`.
///
/// # Errors
///
/// When the run cannot be set up. A violated guarantee is a finding, not an error.
pub async fn run(options: &Options, daemon: &Path, dir: &Path) -> Result<Outcome, Error> {
    fs::create_dir_all(dir)?;
    let deployment = Arc::new(Deployment::start(options, daemon, dir).await?);
    if timeout(START_TIME_MAX, wait_until_ready(&deployment.vms)).await.is_err() {
        return Err(Error::NotReady { dir: dir.to_owned() });
    }
    let group = Arc::new(CallerGroup::default());
    let mut caller_tasks = JoinSet::new();
    for (i, vm) in deployment.vms.iter().enumerate() {
        for n in 0..CALLERS_PER_VM + STREAM_CALLERS_PER_VM {
            let (name, place) = (format!("{}-{n}", vm.place.vm), vm.place.clone());
            let (paths, number): (&[_], _) = if n < CALLERS_PER_VM {
                (&PATHS, i * CALLERS_PER_VM + n)
            } else {
                (&PACED_STREAM_PATHS, (options.vms + i) * CALLERS_PER_VM + n)
            };
            let seed =
                options.seed.wrapping_mul(1000).wrapping_add(u64::try_from(number).unwrap_or(0));
            let group = Arc::clone(&group);
            caller_tasks.spawn(callers::run_caller(group, i, place, paths, name, seed));
        }
    }
    let hostile = HostileCallers::start(&deployment, options);
    let registrations = tokio::spawn(register_loaded_versions(Arc::clone(&deployment)));
    let events = draw_events(options);
    let faults = events.len();
    let mut running = JoinSet::new();
    for event in events {
        running.spawn(faults::run_event(Arc::clone(&deployment), event));
    }
    while running.join_next().await.is_some() {}
    // Ordinary requests are served beside the hostile callers.
    deployment.check_recovery().await;
    let peak_kib = hostile.stop(&deployment).await;
    group.stop();
    while caller_tasks.join_next().await.is_some() {}
    let drained = drain(&deployment.vms).await?;
    registrations.abort();
    let trace = deployment.to_trace(&group);
    let mut findings = std::mem::take(&mut *lock(&deployment.findings));
    findings.extend(drained);
    findings.extend(trace.findings());
    let is_served = |record: &&callers::RequestRecord| {
        record.reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.is_complete)
    };
    let served = trace.records.iter().filter(is_served).count();
    Ok(Outcome { findings, faults, requests: trace.records.len(), served, peak_kib })
}

/// The hostile callers of all VMs, and what the VMs use meanwhile.
struct HostileCallers {
    is_stopped: Arc<AtomicBool>,
    callers: JoinSet<()>,
    /// Peak memory of each VM.
    memory: JoinSet<(usize, u64)>,
}

impl HostileCallers {
    fn start(deployment: &Arc<Deployment>, options: &Options) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (mut callers, mut memory) = (JoinSet::new(), JoinSet::new());
        let mut rng = fastrand::Rng::with_seed(options.seed);
        for (n, vm) in deployment.vms.iter().enumerate() {
            for _ in 0..options.hostile_callers {
                let is_stopped = Arc::clone(&is_stopped);
                callers.spawn(hostile::run_caller(is_stopped, vm.place.callers, rng.u64(..)));
            }
            let (deployment, is_stopped) = (Arc::clone(deployment), Arc::clone(&is_stopped));
            memory.spawn(async move {
                (n, hostile::watch_memory(&is_stopped, &deployment.vms[n]).await)
            });
        }
        Self { is_stopped, callers, memory }
    }

    /// Waits until the callers have ended, and adds a finding for each VM that used too much memory. Returns the most that one
    /// used, in KiB.
    async fn stop(mut self, deployment: &Deployment) -> u64 {
        self.is_stopped.store(true, Ordering::Relaxed);
        while self.callers.join_next().await.is_some() {}
        let mut peak_max = 0;
        while let Some(Ok((n, peak_kib))) = self.memory.join_next().await {
            peak_max = peak_max.max(peak_kib);
            let vm = &deployment.vms[n].place.vm;
            if let Some(finding) = hostile::check_memory(vm, peak_kib) {
                deployment.add_finding(finding);
            }
        }
        peak_max
    }
}

/// Updates the registry entry of each engine when the version of its weights changes, as engines themselves do.
async fn register_loaded_versions(deployment: Arc<Deployment>) {
    let mut registered = vec![1; deployment.engines];
    loop {
        sleep(Duration::from_millis(100)).await;
        for (n, registered_version) in registered.iter_mut().enumerate() {
            let version = deployment.upstreams[n].version();
            if std::mem::replace(registered_version, version) != version {
                let operators = lock(&deployment.operators);
                deployment.register_upstream(n, &operators);
            }
        }
    }
}

pub(crate) async fn wait_until_ready(vms: &[Vm]) {
    for vm in vms {
        while !is_ready(&vm.place).await {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Drains all VMs. Returns a finding for each that has ended before, fails to end or lost a task by a panic.
pub(crate) async fn drain(vms: &[Vm]) -> io::Result<Vec<String>> {
    let mut findings = Vec::new();
    for vm in vms {
        let name = &vm.place.vm;
        if vm.has_ended().await? {
            findings.push(format!("{name} ended by itself"));
        } else if !vm.drain(SHUTDOWN_TIME_MAX).await? {
            findings.push(format!("{name} did not exit with success in time after SIGTERM"));
        }
        if String::from_utf8_lossy(&fs::read(&vm.log)?).contains("panicked at") {
            findings.push(format!("a task of {name} panicked"));
        }
    }
    Ok(findings)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Deployment {
    async fn start(options: &Options, daemon: &Path, dir: &Path) -> io::Result<Self> {
        let store = Store::start().await?;
        store.put("op/config", &with_soak_limits(config(1)));
        let behaviours = BehaviourQueue::default();
        let (mut upstreams, mut upstream_paths) = (Vec::new(), Vec::new());
        for n in 0..options.engines + options.servers {
            let kind = if n < options.engines { "engine" } else { "desk" };
            let upstream = Upstream::start(&format!("{kind}-{n}")).await?;
            upstream.set_queue(&behaviours);
            upstream_paths.push(Proxy::start(upstream.addr()).await?);
            upstreams.push(upstream);
        }
        let (mut vms, mut store_paths) = (Vec::new(), Vec::new());
        for n in 0..options.vms {
            let path = Proxy::start(store.addr()).await?;
            let place = VmOptions {
                vm: format!("vm-{n}"),
                failure_domain: DOMAINS[n % DOMAINS.len()].to_owned(),
                callers: free_address(),
                readiness: free_address(),
                peers: free_addresses(INTERNAL_PORTS),
                store: path.addr,
                revoke: REVOCATION_TIME_MAX,
                drain: LEAVING_TIME_MAX,
            };
            store_paths.push(path);
            vms.push(Vm::new(daemon, dir, place)?);
        }
        let operators = OperatorState {
            config_version: 1,
            target_version: 1,
            has_other_key: true,
            revocations: Vec::new(),
            leaving: Vec::new(),
            stages: vec![UpstreamStage::Ready; upstreams.len()],
            is_isolated: true,
            isolations: vec![(Instant::now(), true)],
        };
        let deployment = Self {
            store,
            store_paths,
            upstreams,
            upstream_paths,
            engines: options.engines,
            bulk: hostile::start_upstream().await?,
            restart_locks: vms.iter().map(|_| tokio::sync::Mutex::default()).collect(),
            vms,
            behaviours,
            operators: Mutex::new(operators),
            active_faults: Mutex::default(),
            findings: Mutex::default(),
            started_at: Instant::now(),
        };
        deployment.set_target_version(1);
        for n in 0..deployment.upstreams.len() {
            deployment.register_upstream(n, &lock(&deployment.operators));
        }
        deployment.register_bulk();
        for vm in &deployment.vms {
            vm.start().await?;
        }
        Ok(deployment)
    }

    /// Writes the registry entry of an upstream, with the address of its proxy, or removes it.
    fn register_upstream(&self, n: usize, operators: &OperatorState) {
        let key = format!("servers/{}", self.upstreams[n].id);
        let state = match operators.stages[n] {
            UpstreamStage::Ready => "ready",
            UpstreamStage::Leaving => "draining",
            UpstreamStage::Gone => return self.store.remove(&key),
        };
        let service = if n < self.engines { "llm" } else { "desk" };
        let upstream = &self.upstreams[n];
        let mut entry = upstream.registry_entry(service, DOMAINS[n % DOMAINS.len()]);
        entry["Address"] = Value::from(self.upstream_paths[n].addr.to_string());
        entry["State"] = Value::from(state);
        self.store.put(&key, &entry);
    }

    /// Writes the registry entry of the upstream with large answers.
    fn register_bulk(&self) {
        let entry = self.upstreams[self.engines].registry_entry("", DOMAINS[0]);
        let (key, entry) = hostile::registry_entry(self.bulk.addr, entry);
        self.store.put(&key, &entry);
    }

    fn set_target_version(&self, version: u64) {
        let target = json!({ "Model": MODEL, "Version": version });
        self.store.put(&format!("op/version/{MODEL}"), &target);
    }

    /// Writes the configuration with the next version.
    fn write_config(&self, operators: &mut OperatorState) {
        operators.config_version += 1;
        let version = operators.config_version;
        let mut config =
            if operators.has_other_key { config(version) } else { revoked_config(version) };
        config["Tenants"][1]["Isolated"] = operators.is_isolated.into();
        self.store.put("op/config", &with_soak_limits(config));
    }

    fn add_finding(&self, finding: String) {
        lock(&self.findings).push(finding);
    }

    /// Waits until every VM serves all routes and all engines have the target version; what is not so in time is a
    /// finding.
    async fn check_recovery(&self) {
        self.behaviours.clear();
        let deadline = Instant::now() + RECOVERY_TIME_MAX;
        if tokio::time::timeout_at(deadline, wait_until_ready(&self.vms)).await.is_err() {
            self.add_finding("a VM was not ready in time after the last fault".into());
        }
        for (n, vm) in self.vms.iter().enumerate() {
            for path in PATHS {
                let served = async {
                    let mut number = 0;
                    while !serves(vm, &format!("recovery-{n}-{number}"), path).await {
                        number += 1;
                        sleep(Duration::from_millis(100)).await;
                    }
                };
                if tokio::time::timeout_at(deadline, served).await.is_err() {
                    self.add_finding(format!(
                        "{} did not serve {path} in time after the last fault",
                        vm.place.vm
                    ));
                }
            }
        }
        let target = lock(&self.operators).target_version;
        let has_target = |engine: &Upstream| engine.version() == target;
        while !self.upstreams[..self.engines].iter().all(has_target) {
            if Instant::now() > deadline {
                let versions: Vec<_> =
                    self.upstreams[..self.engines].iter().map(Upstream::version).collect();
                return self.add_finding(format!(
                    "engines serve versions {versions:?} instead of {target}"
                ));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn to_trace(&self, group: &CallerGroup) -> Trace {
        let operators = lock(&self.operators);
        Trace {
            records: group.records(),
            received: self.upstreams.iter().map(Upstream::received).collect(),
            limits: self.upstreams.iter().map(|u| u.limit_history(self.started_at)).collect(),
            started_at: self.started_at,
            orders: self.upstreams[..self.engines].iter().map(Upstream::accepted_orders).collect(),
            active_faults: lock(&self.active_faults).clone(),
            revocations: operators.revocations.clone(),
            leaving: operators.leaving.clone(),
            isolations: operators.isolations.clone(),
            revocation_time_max: REVOCATION_TIME_MAX,
            leaving_time_max: LEAVING_TIME_MAX,
            grace: GRACE,
        }
    }
}

/// Returns a configuration whose streams may last longer than those of other tests, with what hostile callers use.
fn with_soak_limits(config: Value) -> Value {
    let mut config = hostile::with_large_answers(config);
    let routes = config["Routes"].as_array_mut().into_iter().flatten();
    for route in routes.filter(|route| route["Kind"] == "streaming") {
        route["TimeoutMs"] = json!(STREAM_DEADLINE.as_millis());
    }
    config
}

/// Whether the VM answers a request completely with status 200 within 3 s.
async fn serves(vm: &Vm, id: &str, path: &'static str) -> bool {
    let req = request(id, path);
    let reply = timeout(Duration::from_secs(3), send(vm.place.callers, &req)).await.ok().flatten();
    reply.is_some_and(|reply| reply.status == 200 && reply.is_complete)
}
