//! Guards against requests that crash one engine after the other, and against sound requests that are refused because
//! of them.

mod common;

use std::{sync::Arc, time::Instant};

use common::{Simulation, ms, request};
use lw_catalog::settings::Bounds;
use lw_edge::{run::Vm, state::Edge};
use lw_standin::hosted::{
    caller::{CallerRequest, Reply, send},
    store::StoreMode,
    upstream::Upstream,
};

/// Segment that crashes engines.
const DEADLY: &str = "dead";
/// Time for which an engine is down after a crash.
const DOWN_MS: u64 = 300;
/// Crashes after which requests with the segment must be recognized.
const CRASHES_MAX: usize = 5;
/// Time that the VMs have to react to the last of these crashes.
const REACTION_MS: u64 = 3_000;
/// Requests with the segment that may still reach engines afterwards.
const LATE_REQUESTS_MAX: usize = 3;

/// Two VMs and six engines that a segment crashes.
struct Fleet {
    simulation: Simulation,
    second: Option<Vm>,
    further_engines: Vec<Upstream>,
}

impl Fleet {
    async fn start() -> Self {
        Self::start_with(common::bounds()).await
    }

    async fn start_with(bounds: Bounds) -> Self {
        let simulation = Simulation::start_with(bounds).await;
        let mut further_engines = Vec::new();
        for n in 3..=6 {
            let engine = Upstream::start(&format!("engine-{n}")).await.unwrap();
            let entry = engine.registry_entry("llm", "kochi-a");
            simulation.store.put(&format!("servers/{}", engine.id), &entry);
            further_engines.push(engine);
        }
        let second = Vm::start(simulation.further_settings("vm-2"), simulation.logs.clone()).await;
        let second = second.unwrap();
        simulation.wait_until_joined(&second).await;
        let fleet = Self { simulation, second: Some(second), further_engines };
        fleet.engines().for_each(|engine| engine.set_deadly_segment(DEADLY, ms(DOWN_MS)));
        fleet
    }

    fn engines(&self) -> impl Iterator<Item = &Upstream> {
        self.simulation.engines.iter().chain(&self.further_engines)
    }

    fn callers_addr(&self, vm: usize) -> std::net::SocketAddr {
        let second = || self.second.as_ref().expect("the second VM runs");
        if vm == 0 { self.simulation.settings.callers } else { second().edge.settings.callers }
    }

    /// Times of all crashes, in order.
    fn crashes(&self) -> Vec<tokio::time::Instant> {
        let mut crashes: Vec<_> = self.engines().flat_map(Upstream::crashes).collect();
        crashes.sort();
        crashes
    }

    /// Times at which requests with the deadly segment reached engines.
    fn deadly_arrivals(&self) -> Vec<tokio::time::Instant> {
        let received = self.engines().flat_map(Upstream::received);
        let deadly = received.filter(|got| {
            got.request.header("x-prompt-prefix").is_some_and(|text| text.contains(DEADLY))
        });
        deadly.map(|got| got.at).collect()
    }

    async fn send(&self, vm: usize, request: &CallerRequest) -> Option<Reply> {
        send(self.callers_addr(vm), request).await
    }

    /// Sends deadly requests to both VMs in turn, none alike, for a while. Each has a first segment that sound requests
    /// have too.
    async fn send_deadly(&self, tag: &str, time_ms: u64) {
        let end = Instant::now() + ms(time_ms);
        let mut n = 0;
        while Instant::now() < end {
            n += 1;
            self.send(n % 2, &prompt_request(&format!("{tag}-{n}"), &deadly_segments(tag, n)))
                .await;
            tokio::time::sleep(ms(60)).await;
        }
    }
}

fn deadly_segments(tag: &str, n: usize) -> String {
    format!("a{}:800,{DEADLY}:200,{:x}:200", n % 3, xxhash(&format!("{tag}-{n}")))
}

fn xxhash(text: &str) -> u64 {
    lw_platform::headers::segment_id(&format!("not-hexadecimal-{text}"))
}

/// A request for a resumable stream whose prompt has these segments.
fn prompt_request(id: &str, segments: &str) -> CallerRequest {
    let mut req = request(id, "/long/x");
    req.headers =
        format!("X-Model: m\r\nX-Token-Count: 1200,20\r\nX-Prompt-Prefix: {segments}\r\n");
    req
}

#[tokio::test]
async fn requests_with_a_segment_that_crashes_engines_stop_reaching_them() {
    let fleet = Fleet::start().await;
    let run_ms = 2 * REACTION_MS + 2_500;
    let (mut sound, mut answered) = (0, 0);
    let send_sound = async {
        let end = Instant::now() + ms(run_ms);
        while Instant::now() < end {
            sound += 1;
            let segments = format!("a{}:800,{sound:x}:200", sound % 3);
            let sound_request = prompt_request(&format!("sound-{sound}"), &segments);
            let fifth_crash = fleet.crashes().get(CRASHES_MAX - 1).copied();
            let is_late = fifth_crash.is_some_and(|at| at.elapsed() >= ms(2 * REACTION_MS));
            let reply = fleet.send(sound % 2, &sound_request).await;
            let is_complete = reply.is_some_and(|reply| reply.status == 200 && reply.is_complete);
            assert!(is_complete || !is_late, "sound request {sound} failed long after the crashes");
            answered += usize::from(is_complete);
            tokio::time::sleep(ms(20)).await;
        }
    };
    tokio::join!(fleet.send_deadly("deadly", run_ms), send_sound);
    let crashes = fleet.crashes();
    let fifth = *crashes.get(CRASHES_MAX - 1).or(crashes.last()).expect("a crash");
    let is_late = |at: &tokio::time::Instant| *at > fifth + ms(REACTION_MS);
    let late = fleet.deadly_arrivals().iter().filter(|at| is_late(at)).count();
    assert!(late <= LATE_REQUESTS_MAX, "{late} late requests, {} crashes", crashes.len());
    assert!(answered * 2 >= sound, "{answered} of {sound} sound requests were answered");
}

impl Fleet {
    fn edges(&self) -> impl Iterator<Item = &Arc<Edge>> {
        self.simulation.vm.iter().chain(&self.second).map(|vm| &vm.edge)
    }

    /// Sends deadly requests until all VMs refuse them.
    async fn quarantine(&self) {
        let end = Instant::now() + ms(10_000);
        let is_quarantined = |edge: &Arc<Edge>| {
            let quarantine = edge.quarantine.lock();
            quarantine.time_left(edge.timer.now_including_suspend(), &[0xdead, 1]).is_some()
        };
        while !self.edges().all(is_quarantined) {
            assert!(Instant::now() < end, "the segment is not quarantined");
            self.send_deadly("deadly", 200).await;
        }
    }

    async fn wait_until_stored(&self) {
        let is_stored = async |simulation: &Simulation| {
            simulation.store.keys().iter().any(|key| is_quarantine_key(key))
        };
        self.simulation.wait_until("the set is in the store", is_stored).await;
    }

    async fn assert_refused(&self, vm: usize, id: &str) {
        let arrivals = self.deadly_arrivals().len();
        let reply = self.send(vm, &prompt_request(id, &deadly_segments(id, 1))).await.unwrap();
        assert_eq!(reply.status, 503, "{}", reply.head);
        let retry_after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after > 60.0, "callers are told to come back in {retry_after} s");
        assert_eq!(self.deadly_arrivals().len(), arrivals, "it reached an engine");
    }
}

/// Guards against a VM that starts and sends engines what the others know to crash them.
#[tokio::test]
async fn a_vm_that_starts_refuses_what_the_others_have_quarantined() {
    let mut fleet = Fleet::start().await;
    fleet.quarantine().await;
    fleet.wait_until_stored().await;
    drop(fleet.second.take());
    let settings = fleet.simulation.further_settings("vm-3");
    let started = Vm::start(settings, fleet.simulation.logs.clone()).await.unwrap();
    let edge = Arc::clone(&started.edge);
    fleet.second = Some(started);
    let is_serving = async |_: &Simulation| edge.is_ready();
    fleet.simulation.wait_until("the VM serves", is_serving).await;
    tokio::time::sleep(ms(400)).await;
    fleet.assert_refused(1, "after-start").await;
}

/// Guards against a quarantine that needs the store, and one that is lost when the store is back.
#[tokio::test]
async fn a_quarantine_is_shared_and_kept_while_the_store_is_away() {
    let bounds = Bounds { revoke: ms(60_000), ..common::bounds() };
    let fleet = Fleet::start_with(bounds).await;
    fleet.simulation.store.set_mode(StoreMode::Unavailable);
    fleet.quarantine().await;
    for vm in 0..2 {
        fleet.assert_refused(vm, &format!("without-store-{vm}")).await;
    }
    fleet.simulation.store.set_mode(StoreMode::Normal);
    fleet.wait_until_stored().await;
    for vm in 0..2 {
        fleet.assert_refused(vm, &format!("with-store-{vm}")).await;
    }
}

/// Guards against a quarantine that operators cannot end.
#[tokio::test]
async fn a_set_that_operators_remove_from_the_store_is_released() {
    let fleet = Fleet::start().await;
    fleet.quarantine().await;
    fleet.wait_until_stored().await;
    let is_known = async |_: &Simulation| {
        let view = |edge: &Arc<Edge>| {
            edge.store_view().router_items_below("lavenderwood/quarantine/").count() == 1
        };
        fleet.edges().all(view)
    };
    fleet.simulation.wait_until("both VMs have read it", is_known).await;
    tokio::time::sleep(ms(600)).await;
    let key = fleet.simulation.store.keys().into_iter().find(|key| is_quarantine_key(key)).unwrap();
    fleet.simulation.store.remove(&key);
    let is_released = async |_: &Simulation| {
        let now = |edge: &Arc<Edge>| edge.timer.now_including_suspend();
        fleet.edges().all(|edge| edge.quarantine.lock().sets(now(edge)).count() == 0)
    };
    fleet.simulation.wait_until("both VMs release the set", is_released).await;
}

fn is_quarantine_key(key: &str) -> bool {
    key.starts_with("lavenderwood/quarantine/")
}
