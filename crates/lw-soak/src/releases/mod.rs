//! Runs in which engines are replaced by those of other software versions, while VMs are killed, drained and restarted and the
//! store falls silent. Callers take up the streams that break.

use std::{
    collections::{BTreeSet, HashMap},
    fs,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use fastrand::Rng;
use lw_standin::{
    hosted::{
        caller::{CallerRequest, Reply, request, send},
        operator::{INTERNAL_PORTS, VmOptions, config},
        store::{Store, StoreMode},
        upstream::{MODEL, Upstream},
    },
    loopback::{free_address, free_addresses},
};
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    run::{
        Error, LEAVING_TIME_MAX, SHUTDOWN_TIME_MAX, START_TIME_MAX, drain, lock, wait_until_ready,
    },
    schedule::Options,
    vm::Vm,
};

/// Software versions that engines have.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// Fewest engines, so that two versions can have two each.
const ENGINES_MIN: usize = 4;
/// Longest wait of a caller for an answer.
const ANSWER_WAIT_MAX: Duration = Duration::from_secs(6);
/// Requests that a caller sends for one stream.
const TRIES_MAX: usize = 4;
/// Callers for each VM.
const CALLERS_PER_VM: usize = 12;
/// Path of a resumable stream with a pause before each event.
const STREAM_PATH: &str = "/long/x?pause-ms=80";

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// A line for each stream that was joined from two versions, and each VM that ended by itself, did not end, or panicked.
    pub findings: Vec<String>,
    /// Streams whose first event arrived, and requests for them.
    pub begun: (usize, usize),
    /// Streams that went on when they were taken up, and requests for that.
    pub resumed: (usize, usize),
    /// Engines that were replaced.
    pub releases: usize,
}

struct Deployment {
    store: Store,
    vms: Vec<Vm>,
    /// Engines that are registered as ready.
    engines: Mutex<Vec<Upstream>>,
    /// Engines that left. They finish what they have begun.
    retired: Mutex<Vec<Upstream>>,
    /// Software version of each engine that ever was.
    versions: Mutex<HashMap<String, &'static str>>,
    outcome: Mutex<Outcome>,
    is_stopped: AtomicBool,
}

/// Runs the VMs while engines are replaced, and writes their settings and logs into `dir`.
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
    let mut rng = Rng::with_seed(options.seed);
    let mut callers = JoinSet::new();
    for n in 0..options.vms * CALLERS_PER_VM {
        callers.spawn(run_caller(Arc::clone(&deployment), format!("caller-{n}"), rng.fork()));
    }
    let end = Instant::now() + options.fault_window;
    tokio::try_join!(
        replace_engines(&deployment, rng.fork(), end),
        inject_faults(&deployment, rng.fork(), options.mean_interval * 4, end),
    )?;
    deployment.is_stopped.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    let drained = drain(&deployment.vms).await?;
    let mut outcome = std::mem::take(&mut *lock(&deployment.outcome));
    outcome.findings.extend(drained);
    Ok(outcome)
}

impl Deployment {
    async fn start(options: &Options, daemon: &Path, dir: &Path) -> Result<Self, Error> {
        let store = Store::start().await?;
        store.put("op/config", &config(1));
        store.put(&format!("op/version/{MODEL}"), &json!({ "Model": MODEL, "Version": 1 }));
        let mut vms = Vec::new();
        for n in 0..options.vms {
            let place = VmOptions {
                vm: format!("vm-{n}"),
                failure_domain: "kochi-a".to_owned(),
                callers: free_address(),
                readiness: free_address(),
                peers: free_addresses(INTERNAL_PORTS),
                store: store.addr(),
                revoke: Duration::from_secs(3),
                drain: LEAVING_TIME_MAX,
            };
            vms.push(Vm::new(daemon, dir, place)?);
        }
        let deployment = Self {
            store,
            vms,
            engines: Mutex::default(),
            retired: Mutex::default(),
            versions: Mutex::default(),
            outcome: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        };
        for n in 0..options.engines.max(ENGINES_MIN) {
            deployment.add_engine(n, VERSIONS[0]).await?;
        }
        for vm in &deployment.vms {
            vm.start().await?;
        }
        Ok(deployment)
    }

    async fn add_engine(&self, number: usize, version: &'static str) -> Result<(), Error> {
        let engine = Upstream::start(&format!("engine-{number}")).await?;
        engine.set_software(version);
        lock(&self.versions).insert(engine.id.clone(), version);
        let entry = engine.registry_entry("llm", "kochi-a");
        self.store.put(&format!("servers/{}", engine.id), &entry);
        lock(&self.engines).push(engine);
        Ok(())
    }

    /// Registers the engine at a position as leaving, and returns its key.
    fn retire(&self, position: usize) -> String {
        let engine = lock(&self.engines).swap_remove(position);
        let key = format!("servers/{}", engine.id);
        let mut entry = engine.registry_entry("llm", "kochi-a");
        entry["State"] = "draining".into();
        self.store.put(&key, &entry);
        lock(&self.retired).push(engine);
        key
    }
}

/// Replaces engines until `end`: some in quick succession, to any of the versions.
async fn replace_engines(deployment: &Deployment, mut rng: Rng, end: Instant) -> Result<(), Error> {
    let mut number = lock(&deployment.engines).len();
    let mut leaving: Vec<(Instant, String)> = Vec::new();
    while Instant::now() < end {
        let version = VERSIONS[rng.usize(..VERSIONS.len())];
        let all = lock(&deployment.engines).len();
        for _ in 0..rng.usize(1..=all) {
            deployment.add_engine(number, version).await?;
            number += 1;
            sleep(Duration::from_millis(rng.u64(0..400))).await;
            let oldest = lock(&deployment.engines).len() - 1;
            let key = deployment.retire(rng.usize(..oldest));
            leaving.push((Instant::now() + LEAVING_TIME_MAX, key));
            lock(&deployment.outcome).releases += 1;
        }
        let pause = Instant::now() + Duration::from_millis(rng.u64(200..6_000));
        while Instant::now() < pause.min(end) {
            sleep(Duration::from_millis(50)).await;
            let now = Instant::now();
            for (_, key) in leaving.extract_if(.., |(at, _)| *at <= now) {
                deployment.store.remove(&key);
            }
        }
    }
    Ok(())
}

/// Kills, drains and restarts VMs, and silences the store, until `end`.
async fn inject_faults(
    deployment: &Deployment,
    mut rng: Rng,
    mean_interval: Duration,
    end: Instant,
) -> Result<(), Error> {
    while Instant::now() < end {
        sleep(mean_interval.mul_f64(0.3 + 1.4 * rng.f64())).await;
        let time = Duration::from_millis(rng.u64(100..1_500));
        let one = rng.usize(..deployment.vms.len());
        match rng.u8(0..6) {
            0 | 1 => restart(&deployment.vms[one..=one], time).await?,
            2 => restart(&deployment.vms, time).await?,
            3 => {
                deployment.vms[one].drain(SHUTDOWN_TIME_MAX).await?;
                sleep(time).await;
                deployment.vms[one].start().await?;
            }
            4 => deployment.vms[one].pause(time).await?,
            _ => {
                deployment.store.set_mode(StoreMode::NoAnswer);
                sleep(time).await;
                deployment.store.set_mode(StoreMode::Normal);
            }
        }
    }
    Ok(())
}

/// Kills VMs at once and starts them again later.
async fn restart(vms: &[Vm], downtime: Duration) -> Result<(), Error> {
    for vm in vms {
        vm.kill().await?;
    }
    sleep(downtime).await;
    for vm in vms {
        vm.start().await?;
    }
    Ok(())
}

/// Sends streams one after the other, and takes up those that break at any VM.
async fn run_caller(deployment: Arc<Deployment>, name: String, mut rng: Rng) {
    let mut number = 0;
    while !deployment.is_stopped.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(rng.u64(5..60))).await;
        number += 1;
        let stream = Stream::new(format!("{name}-{number}"));
        let versions = stream.run(&deployment, &mut rng).await;
        if versions.len() > 1 {
            let finding = format!("stream {name}-{number} has events of {versions:?}");
            lock(&deployment.outcome).findings.push(finding);
        }
    }
}

/// A stream as its caller knows it.
struct Stream {
    name: String,
    /// Id of the request that brought the first event.
    origin: Option<String>,
    last_event: u64,
    versions: BTreeSet<&'static str>,
}

impl Stream {
    fn new(name: String) -> Self {
        Self { name, origin: None, last_event: 0, versions: BTreeSet::new() }
    }

    /// Requests the stream until it is complete. Returns the versions of the engines that sent its events.
    async fn run(mut self, deployment: &Deployment, rng: &mut Rng) -> BTreeSet<&'static str> {
        for n in 0..TRIES_MAX {
            let vm = &deployment.vms[rng.usize(..deployment.vms.len())];
            let req = self.request(n);
            let is_resumption = self.origin.is_some();
            let reply = timeout(ANSWER_WAIT_MAX, send(vm.place.callers, &req)).await;
            if let Some(reply) = reply.ok().flatten() {
                let has_events = self.receive(deployment, &req.id, &reply);
                let mut outcome = lock(&deployment.outcome);
                let (served, sent) =
                    if is_resumption { &mut outcome.resumed } else { &mut outcome.begun };
                *served += usize::from(has_events);
                *sent += 1;
                if reply.status == 200 && reply.is_complete {
                    break;
                }
            }
            sleep(Duration::from_millis(rng.u64(10..300))).await;
        }
        self.versions
    }

    fn request(&self, number: usize) -> CallerRequest {
        let id = format!("{}-{number}", self.name);
        let req = request(&id, STREAM_PATH);
        let Some(origin) = &self.origin else { return req };
        let headers =
            format!("{}Last-Event-Id: {}\r\nResumes: {origin}\r\n", req.headers, self.last_event);
        CallerRequest { headers, ..req }
    }

    /// Takes the whole events of an answer. Returns whether it has any.
    fn receive(&mut self, deployment: &Deployment, id: &str, reply: &Reply) -> bool {
        let text = reply.text();
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let ids = whole.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        let last = ids.max().filter(|_| reply.status == 200);
        let Some(last) = last else { return false };
        self.last_event = self.last_event.max(last);
        self.origin.get_or_insert_with(|| id.to_owned());
        let engine = reply.header("x-response-seal").unwrap_or_default();
        self.versions.extend(lock(&deployment.versions).get(engine));
        true
    }
}
