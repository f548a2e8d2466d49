//! Guards against VMs that fail their callers while they have no path to any upstream and other VMs have one.

mod common;

use std::time::{Duration, Instant};

use common::{CallerRequest, Reply, Simulation, ms, request, send};
use lw_catalog::VmSettings;
use lw_edge::run::Vm;
use lw_standin::{
    hosted::{
        store::StoreEndpoint,
        upstream::{Behaviour, Upstream},
    },
    proxy::{PathFault, Proxy},
};

/// Time after which a VM that lost its paths must serve its callers again, as the platform states it.
const CONTACT: Duration = Duration::from_secs(3);

/// What the paths of a VM to all upstreams do.
#[derive(Debug, Clone, Copy)]
enum Paths {
    Work,
    /// New connections are accepted, and nothing passes on any connection.
    Hang,
    /// All connections are reset, and new ones refused.
    Reset,
    /// New connections are refused, and open ones work.
    Refuse,
}

/// Two VMs, of which the second reaches the upstreams over paths that can be cut.
struct CutSimulation {
    simulation: Simulation,
    second: Vm,
    links: Vec<Proxy>,
    _endpoint: StoreEndpoint,
}

impl CutSimulation {
    async fn start() -> Self {
        let simulation = Simulation::start().await;
        let endpoint = simulation.store.add_endpoint().await.unwrap();
        let mut links = Vec::new();
        let engines = simulation.engines.iter().map(|engine| (engine, "llm"));
        let servers = simulation.servers.iter().map(|server| (server, "desk"));
        for (upstream, service) in engines.chain(servers) {
            links.push(link_to(upstream, service, &endpoint).await);
        }
        let settings = VmSettings { store: endpoint.addr(), ..simulation.further_settings("vm-2") };
        let second = Vm::start(settings, simulation.logs.clone()).await.unwrap();
        simulation.wait_until_joined(&second).await;
        Self { simulation, second, links, _endpoint: endpoint }
    }

    fn set_paths(&self, paths: Paths) {
        let (fault, is_refusing) = match paths {
            Paths::Work => (PathFault::None, false),
            Paths::Hang => (PathFault::BlockBoth, false),
            Paths::Reset => (PathFault::Reset, true),
            Paths::Refuse => (PathFault::None, true),
        };
        for link in &self.links {
            link.set_fault(fault);
            link.set_refusing(is_refusing);
        }
    }

    async fn send(&self, request: &CallerRequest) -> Option<Reply> {
        send(self.second.edge.settings.callers, request).await
    }

    /// Sends requests of all kinds to the second VM, a few at once, and returns those that were not answered with success.
    async fn failures(&self, name: &str, rounds: usize) -> Vec<String> {
        let mut failures = Vec::new();
        for round in 0..rounds {
            let paths = ["/look/x", "/book/x", "/long/x", "/short/x"];
            // More at once than there are open connections.
            let copies =
                |path| (0..3).map(move |n| request(&format!("{name}-{round}-{n}{path}"), path));
            let requests: Vec<_> = paths.into_iter().flat_map(copies).collect();
            let replies = requests.iter().map(|request| self.send(request));
            let replies = futures::future::join_all(replies).await;
            for (request, reply) in requests.iter().zip(replies) {
                let is_served = reply.as_ref().is_some_and(|r| r.status == 200 && r.is_complete);
                if !is_served {
                    failures.push(format!("{}: {:?}", request.id, reply.map(|r| r.head)));
                } else if self.simulation.run_count(&request.id) != 1 {
                    failures.push(format!("{} did not run once", request.id));
                }
            }
            tokio::time::sleep(ms(20)).await;
        }
        failures
    }

    /// Sends requests until the VM must have learnt that its paths are cut.
    async fn wait_for_contact_time(&self) {
        let cut = Instant::now();
        while cut.elapsed() < CONTACT {
            self.failures(&format!("new-{:?}", cut.elapsed()), 1).await;
        }
    }

    async fn assert_served_during(&self, paths: Paths) {
        assert_eq!(self.failures("before", 3).await, [""; 0]);
        self.set_paths(paths);
        self.wait_for_contact_time().await;
        assert_eq!(self.failures("cut", 25).await, [""; 0], "{paths:?}");
        self.set_paths(Paths::Work);
        assert_eq!(self.failures("open", 10).await, [""; 0], "{paths:?}, open again");
    }
}

/// Opens a path to an upstream for the VM that reads the store at `endpoint`.
async fn link_to(upstream: &Upstream, service: &str, endpoint: &StoreEndpoint) -> Proxy {
    let entry = upstream.registry_entry(service, "kochi-a");
    // Ports with four digits would change the length of the entry.
    loop {
        let link = Proxy::start(upstream.addr()).await.unwrap();
        let mut linked = entry.clone();
        linked["Address"] = link.addr.to_string().into();
        if linked.to_string().len() == entry.to_string().len() {
            endpoint.replace(&entry, &linked);
            return link;
        }
    }
}

#[tokio::test]
async fn callers_are_served_while_all_upstreams_refuse_connections_of_a_vm() {
    CutSimulation::start().await.assert_served_during(Paths::Reset).await;
}

#[tokio::test]
async fn callers_are_served_while_all_connections_of_a_vm_to_upstreams_hang() {
    CutSimulation::start().await.assert_served_during(Paths::Hang).await;
}

#[tokio::test]
async fn callers_are_served_while_new_connections_of_a_vm_to_upstreams_are_refused() {
    CutSimulation::start().await.assert_served_during(Paths::Refuse).await;
}

/// Guards against requests that wait until their deadline although no VM can serve them.
#[tokio::test]
async fn a_request_is_refused_at_once_when_no_vm_reaches_an_upstream() {
    let mut cut = CutSimulation::start().await;
    cut.set_paths(Paths::Reset);
    cut.simulation.engines.clear();
    cut.simulation.servers.clear();
    cut.wait_for_contact_time().await;
    let sent = Instant::now();
    for n in 0..10 {
        let reply =
            cut.send(&request(&format!("refused-{n}"), "/look/x")).await.expect("an answer");
        assert_eq!(reply.status, 503, "{}", reply.head);
        assert!(reply.head.contains("retry-after"), "{}", reply.head);
    }
    assert!(sent.elapsed() < ms(1_000), "ten refusals took {:?}", sent.elapsed());
}

/// Guards against callers that use the address for passed-on requests, or pose as a VM on the address for callers.
#[tokio::test]
async fn only_vms_pass_requests_on() {
    let simulation = Simulation::start().await;
    let forged = "Lavenderwood-Forwarded: vm-2;1;00000000000000000000000000000000\r\n";
    for headers in ["", forged] {
        let request = CallerRequest { headers: headers.into(), ..request("not-a-vm", "/look/x") };
        let reply = send(simulation.settings.forwarded, &request).await.expect("an answer");
        assert_eq!(reply.status, 403);
    }
    assert_eq!(simulation.run_count("not-a-vm"), 0);
    let posing = CallerRequest { headers: forged.into(), ..request("posing", "/look/x") };
    assert_eq!(simulation.send(&posing).await.expect("an answer").status, 200);
    let received = &simulation.received("posing")[0];
    assert_eq!(received.request.header("lavenderwood-forwarded"), None);
}

/// Guards against refusals that are lost between two VMs, and against work for callers that have left.
#[tokio::test]
async fn refusals_and_leaving_callers_pass_through_another_vm() {
    let cut = CutSimulation::start().await;
    cut.set_paths(Paths::Reset);
    cut.wait_for_contact_time().await;
    let unknown = CallerRequest { key: "unknown", ..request("unknown", "/look/x") };
    assert_eq!(cut.send(&unknown).await.expect("an answer").status, 401);
    for server in &cut.simulation.servers {
        server.set_behaviour(Behaviour::Status(500));
    }
    let failed = cut.send(&request("failed", "/book/x")).await.expect("an answer");
    assert_eq!(failed.status, 500, "the answer of the upstream");
    for server in &cut.simulation.servers {
        server.set_behaviour(Behaviour::NoAnswer);
    }
    let leaving = request("leaving", "/look/x");
    assert!(tokio::time::timeout(ms(500), cut.send(&leaving)).await.is_err(), "no answer yet");
    let is_idle = async |simulation: &Simulation| {
        simulation.servers.iter().all(|server| server.open_caller_requests() == 0)
    };
    cut.simulation.wait_until("no upstream works for a caller that left", is_idle).await;
}

/// Guards against a VM that passes requests on only to one that has ended.
#[tokio::test]
async fn a_request_that_a_killed_vm_has_not_run_is_served_by_another_one() {
    let mut cut = CutSimulation::start().await;
    let third = Vm::start(cut.simulation.further_settings("vm-3"), cut.simulation.logs.clone());
    let third = third.await.unwrap();
    let second = &cut.second.edge;
    let knows_all = async |_: &Simulation| second.store_view().vms().count() == 3;
    cut.simulation.wait_until("all VMs are registered", knows_all).await;
    cut.set_paths(Paths::Reset);
    cut.wait_for_contact_time().await;
    drop(cut.simulation.vm.take());
    assert_eq!(cut.failures("killed", 20).await, [""; 0]);
    drop(third);
}
