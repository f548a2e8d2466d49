//! VMs and engines that a segment of prompts crashes.

#![allow(dead_code, reason = "each test file uses only some of these")]

use std::{net::SocketAddr, sync::Arc, time::Instant};

use lw_catalog::settings::Bounds;
use lw_edge::{run::Vm, state::Edge};
use lw_standin::hosted::{
    caller::{CallerRequest, Reply, send},
    upstream::Upstream,
};

use crate::common::{self, Simulation, ms, request};

/// Segment that crashes engines.
pub const DEADLY: &str = "dead";
/// Time for which an engine is down after a crash.
const DOWN_MS: u64 = 300;
/// Time that the VMs have to react to a crash.
pub const REACTION_MS: u64 = 3_000;
/// Deadly requests that may still reach engines afterwards.
pub const LATE_REQUESTS_MAX: usize = 3;

/// Some VMs and six engines that a segment crashes.
pub struct Fleet {
    pub simulation: Simulation,
    /// The VMs beside that of the simulation.
    pub further_vms: Vec<Vm>,
    further_engines: Vec<Upstream>,
}

impl Fleet {
    /// Starts two VMs.
    pub async fn start() -> Self {
        Self::start_with(common::bounds(), 2).await
    }

    pub async fn start_with(bounds: Bounds, vms: usize) -> Self {
        let simulation = Simulation::start_with(bounds).await;
        let mut further_engines = Vec::new();
        for n in 3..=6 {
            let engine = Upstream::start(&format!("engine-{n}")).await.unwrap();
            let entry = engine.registry_entry("llm", "kochi-a");
            simulation.store.put(&format!("servers/{}", engine.id), &entry);
            further_engines.push(engine);
        }
        let mut fleet = Self { simulation, further_vms: Vec::new(), further_engines };
        for n in 2..=vms {
            fleet.start_vm(&format!("vm-{n}")).await;
        }
        let is_joined =
            |edge: &Arc<Edge>| edge.datagrams().is_some() && edge.store_view().vms().count() == vms;
        let are_joined = async |_: &Simulation| fleet.edges().all(is_joined);
        fleet.simulation.wait_until("all joined", are_joined).await;
        fleet.set_down_time(DOWN_MS);
        fleet
    }

    /// Sets for how long an engine is down after a crash.
    pub fn set_down_time(&self, time_ms: u64) {
        self.engines().for_each(|engine| engine.set_deadly_segment(DEADLY, ms(time_ms)));
    }

    /// Starts a further VM and waits until it serves.
    pub async fn start_vm(&mut self, vm: &str) {
        let settings = self.simulation.further_settings(vm);
        let started = Vm::start(settings, self.simulation.logs.clone()).await.unwrap();
        let edge = Arc::clone(&started.edge);
        self.further_vms.push(started);
        let is_serving = async |_: &Simulation| edge.is_ready();
        self.simulation.wait_until("the VM serves", is_serving).await;
    }

    pub fn edges(&self) -> impl Iterator<Item = &Arc<Edge>> {
        self.simulation.vm.iter().chain(&self.further_vms).map(|vm| &vm.edge)
    }

    fn engines(&self) -> impl Iterator<Item = &Upstream> {
        self.simulation.engines.iter().chain(&self.further_engines)
    }

    fn callers_addr(&self, vm: usize) -> SocketAddr {
        self.edges().nth(vm).expect("the VM runs").settings.callers
    }

    /// Times of all crashes, in order.
    pub fn crashes(&self) -> Vec<tokio::time::Instant> {
        let mut crashes: Vec<_> = self.engines().flat_map(Upstream::crashes).collect();
        crashes.sort();
        crashes
    }

    /// Times at which requests with the deadly segment reached engines.
    pub fn deadly_arrivals(&self) -> Vec<tokio::time::Instant> {
        let received = self.engines().flat_map(Upstream::received);
        let deadly = received.filter(|got| {
            got.request.header("x-prompt-prefix").is_some_and(|text| text.contains(DEADLY))
        });
        deadly.map(|got| got.at).collect()
    }

    /// Checks how many deadly requests reached engines after this crash, counted from one, and the time to react to it.
    pub fn assert_few_late_arrivals(&self, crash: usize) {
        let crashes = self.crashes();
        let last = *crashes.get(crash - 1).or(crashes.last()).expect("a crash");
        let is_late = |at: &&tokio::time::Instant| **at > last + ms(REACTION_MS);
        let late = self.deadly_arrivals().iter().filter(is_late).count();
        assert!(late <= LATE_REQUESTS_MAX, "{late} late requests, {} crashes", crashes.len());
    }

    pub async fn send(&self, vm: usize, request: &CallerRequest) -> Option<Reply> {
        send(self.callers_addr(vm), request).await
    }

    /// Sends sound requests to two VMs in turn for a while, each with a first segment that deadly requests have too. Those
    /// that are sent long after this crash, counted from one, must be answered, and half of all.
    pub async fn send_sound(&self, time_ms: u64, crash: usize) {
        let end = Instant::now() + ms(time_ms);
        let (mut sent, mut answered) = (0, 0);
        while Instant::now() < end {
            sent += 1;
            let segments = format!("a{}:800,{sent:x}:200", sent % 3);
            let req = prompt_request(&format!("sound-{sent}"), &segments);
            let crash = self.crashes().get(crash - 1).copied();
            let is_late = crash.is_some_and(|at| at.elapsed() >= ms(2 * REACTION_MS));
            let reply = self.send(sent % 2, &req).await;
            let is_complete = reply.is_some_and(|reply| reply.status == 200 && reply.is_complete);
            assert!(is_complete || !is_late, "sound request {sent} failed long after the crashes");
            answered += usize::from(is_complete);
            tokio::time::sleep(ms(20)).await;
        }
        assert!(answered * 2 >= sent, "{answered} of {sent} sound requests were answered");
    }

    /// Sends deadly requests to both VMs in turn, none alike, for a while. Each has a first segment that sound requests
    /// have too.
    pub async fn send_deadly(&self, tag: &str, time_ms: u64) {
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

pub fn deadly_segments(tag: &str, n: usize) -> String {
    format!("a{}:800,{DEADLY}:200,{:x}:200", n % 3, xxhash(&format!("{tag}-{n}")))
}

fn xxhash(text: &str) -> u64 {
    lw_platform::headers::segment_id(&format!("not-hexadecimal-{text}"))
}

/// A request for a resumable stream whose prompt has these segments.
pub fn prompt_request(id: &str, segments: &str) -> CallerRequest {
    let mut req = request(id, "/long/x");
    req.headers =
        format!("X-Model: m\r\nX-Token-Count: 1200,20\r\nX-Prompt-Prefix: {segments}\r\n");
    req
}
