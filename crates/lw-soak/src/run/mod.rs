//! One run from its start to its findings.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::{Display, Error, From};
use lw_standin::{
    hosted::{
        caller::{request, send},
        operator::{VmOptions, config, revoked_config},
        store::Store,
        upstream::{BehaviourQueue, MODEL, Upstream},
    },
    loopback::free_address,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    callers::{self, PATHS, Shared, is_ready},
    judge::{Trace, Window},
    plan::{Options, draw},
    proxy::Proxy,
    vm::Vm,
};

mod faults;

/// Time in which a revoked key must be refused. Shorter than usual, so that runs are.
const REVOKE: Duration = Duration::from_secs(3);
/// Time in which an upstream that leaves must get nothing more.
const DRAIN: Duration = Duration::from_secs(2);
/// Longest time for a VM to end, with the longest pause on top of the time between the signal and the kill.
const END_MAX: Duration = Duration::from_secs(12);
/// Time after the last fault in which everything must work again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Longest time for all VMs to be ready at the start.
const START_MAX: Duration = Duration::from_secs(20);
/// Callers of each VM.
const CALLERS: usize = 4;
/// Failure domains, over which VMs and upstreams are spread.
const DOMAINS: [&str; 3] = ["kochi-a", "kochi-b", "kochi-c"];

/// Why a run could not be made.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A process, port or file.
    #[display("the run could not be set up: {_0}")]
    Io(io::Error),
    /// The VMs did not become ready.
    #[display("the VMs were not ready in time; their logs are in {}", dir.display())]
    #[from(skip)]
    NotReady {
        /// Directory of the logs.
        dir: PathBuf,
    },
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// What contradicts the promises.
    pub findings: Vec<String>,
    /// Faults and changes.
    pub faults: usize,
    /// Requests of callers.
    pub requests: usize,
    /// Requests that got an upstream's whole answer.
    pub served: usize,
}

#[derive(Debug)]
struct Operators {
    config: u64,
    weights: u64,
    has_other_key: bool,
    revoked: Vec<(Instant, Instant)>,
    leaving: Vec<(usize, Instant, Instant)>,
    is_leaving: Vec<bool>,
}

struct World {
    store: Store,
    store_paths: Vec<Proxy>,
    upstreams: Vec<Upstream>,
    paths: Vec<Proxy>,
    engines: usize,
    vms: Vec<Vm>,
    /// Kills and restarts of a VM come one after the other.
    restarts: Vec<tokio::sync::Mutex<()>>,
    answers: BehaviourQueue,
    operators: Mutex<Operators>,
    windows: Mutex<Vec<Window>>,
    findings: Mutex<Vec<String>>,
}

/// Makes a run; settings and logs of the VMs go below `dir`.
///
/// # Errors
///
/// When the run cannot be made. A broken promise is a finding and no error.
pub async fn run(options: &Options, daemon: &Path, dir: &Path) -> Result<Outcome, Error> {
    fs::create_dir_all(dir)?;
    let world = Arc::new(World::start(options, daemon, dir).await?);
    if timeout(START_MAX, world.ready()).await.is_err() {
        return Err(Error::NotReady { dir: dir.to_owned() });
    }
    let shared = Arc::new(Shared::default());
    let mut all_callers = tokio::task::JoinSet::new();
    for (vm, at) in world.vms.iter().enumerate() {
        for n in 0..CALLERS {
            let (name, place) = (format!("{}-{n}", at.place.vm), at.place.clone());
            let seed =
                options.seed.wrapping_mul(1000) + u64::try_from(vm * CALLERS + n).unwrap_or(0);
            all_callers.spawn(callers::call(Arc::clone(&shared), vm, place, name, seed));
        }
    }
    let registry = tokio::spawn(register_weights(Arc::clone(&world)));
    let events = draw(options);
    let faults = events.len();
    let mut running = tokio::task::JoinSet::new();
    for event in events {
        running.spawn(faults::happen(Arc::clone(&world), event));
    }
    while running.join_next().await.is_some() {}
    world.recover().await;
    shared.end();
    while all_callers.join_next().await.is_some() {}
    world.end().await?;
    registry.abort();
    let trace = world.trace(&shared);
    let mut findings = std::mem::take(&mut *lock(&world.findings));
    findings.extend(trace.findings());
    let is_served = |record: &&callers::Record| {
        record.reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.is_complete)
    };
    let served = trace.records.iter().filter(is_served).count();
    Ok(Outcome { findings, faults, requests: trace.records.len(), served })
}

/// Registers engines again when they serve other weights, as engines do.
async fn register_weights(world: Arc<World>) {
    let mut registered = vec![1; world.engines];
    loop {
        sleep(Duration::from_millis(100)).await;
        for (n, known) in registered.iter_mut().enumerate() {
            let version = world.upstreams[n].version();
            if std::mem::replace(known, version) != version {
                let operators = lock(&world.operators);
                world.register(n, if operators.is_leaving[n] { "leaving" } else { "ready" });
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    async fn start(options: &Options, daemon: &Path, dir: &Path) -> io::Result<Self> {
        let store = Store::start().await?;
        store.put("op/config", &config(1));
        let answers = BehaviourQueue::default();
        let (mut upstreams, mut paths) = (Vec::new(), Vec::new());
        for n in 0..options.engines + options.servers {
            let kind = if n < options.engines { "engine" } else { "desk" };
            let upstream = Upstream::start(&format!("{kind}-{n}")).await?;
            upstream.set_queue(&answers);
            paths.push(Proxy::start(upstream.addr()).await?);
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
                peers: free_address(),
                store: path.addr,
                revoke: REVOKE,
                drain: DRAIN,
            };
            store_paths.push(path);
            vms.push(Vm::new(daemon, dir, place)?);
        }
        let operators = Operators {
            config: 1,
            weights: 1,
            has_other_key: true,
            revoked: Vec::new(),
            leaving: Vec::new(),
            is_leaving: vec![false; upstreams.len()],
        };
        let world = Self {
            store,
            store_paths,
            upstreams,
            paths,
            engines: options.engines,
            restarts: vms.iter().map(|_| tokio::sync::Mutex::default()).collect(),
            vms,
            answers,
            operators: Mutex::new(operators),
            windows: Mutex::default(),
            findings: Mutex::default(),
        };
        world.name_weights(1);
        for n in 0..world.upstreams.len() {
            world.register(n, "ready");
        }
        for vm in &world.vms {
            vm.start().await?;
        }
        Ok(world)
    }

    fn register(&self, n: usize, state: &str) {
        let service = if n < self.engines { "llm" } else { "desk" };
        let upstream = &self.upstreams[n];
        let mut entry = upstream.registry_entry(service, DOMAINS[n % DOMAINS.len()]);
        entry["Address"] = Value::from(self.paths[n].addr.to_string());
        entry["State"] = Value::from(state);
        self.store.put(&format!("servers/{}", upstream.id), &entry);
    }

    fn name_weights(&self, version: u64) {
        let named = json!({ "Model": MODEL, "Version": version });
        self.store.put(&format!("op/version/{MODEL}"), &named);
    }

    /// Writes a further configuration.
    fn configure(&self, operators: &mut Operators) {
        operators.config += 1;
        let version = operators.config;
        let config =
            if operators.has_other_key { config(version) } else { revoked_config(version) };
        self.store.put("op/config", &config);
    }

    fn find(&self, what: String) {
        lock(&self.findings).push(what);
    }

    async fn ready(&self) {
        for vm in &self.vms {
            while !is_ready(&vm.place).await {
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Waits until every VM serves every kind of request and all engines have the last weights.
    async fn recover(&self) {
        self.answers.clear();
        let end = Instant::now() + RECOVERY;
        if tokio::time::timeout_at(end, self.ready()).await.is_err() {
            self.find("a VM was not ready in time after the last fault".into());
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
                if tokio::time::timeout_at(end, served).await.is_err() {
                    self.find(format!(
                        "{} does not serve {path} after the last fault",
                        vm.place.vm
                    ));
                }
            }
        }
        let weights = lock(&self.operators).weights;
        let is_new = |engine: &Upstream| engine.version() == weights;
        while !self.upstreams[..self.engines].iter().all(is_new) {
            if Instant::now() > end {
                let versions: Vec<_> =
                    self.upstreams[..self.engines].iter().map(Upstream::version).collect();
                return self.find(format!("engines serve {versions:?}, not {weights}"));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn end(&self) -> io::Result<()> {
        for vm in &self.vms {
            if vm.has_ended().await? {
                self.find(format!("{} ended by itself", vm.place.vm));
            } else if !vm.drain(END_MAX).await? {
                self.find(format!("{} did not end when told", vm.place.vm));
            }
        }
        Ok(())
    }

    fn trace(&self, shared: &Shared) -> Trace {
        let operators = lock(&self.operators);
        Trace {
            records: shared.records(),
            received: self.upstreams.iter().map(Upstream::received).collect(),
            orders: self.upstreams[..self.engines].iter().map(Upstream::accepted_orders).collect(),
            windows: lock(&self.windows).clone(),
            revoked: operators.revoked.clone(),
            leaving: operators.leaving.clone(),
            revoke: REVOKE,
            drain: DRAIN,
        }
    }
}

async fn serves(vm: &Vm, id: &str, path: &'static str) -> bool {
    let req = request(id, path);
    let reply = timeout(Duration::from_secs(3), send(vm.place.callers, &req)).await.ok().flatten();
    reply.is_some_and(|reply| reply.status == 200 && reply.is_complete)
}
