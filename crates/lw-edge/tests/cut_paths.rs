//! Guards against VMs that fail their callers while they have no path to any upstream and other VMs have one.

mod common;

use std::time::{Duration, Instant};

use common::{CallerRequest, Reply, Simulation, ms, request, send};
use lw_catalog::VmSettings;
use lw_edge::run::Vm;
use lw_standin::hosted::{
    link::{Link, LinkMode},
    store::StoreEndpoint,
    upstream::Upstream,
};

/// Time after which a VM that lost its paths must serve its callers again, as the platform states it.
const CONTACT: Duration = Duration::from_secs(3);

/// Two VMs, of which the second reaches the upstreams over paths that can be cut.
struct CutSimulation {
    simulation: Simulation,
    second: Vm,
    links: Vec<Link>,
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

    fn set_mode(&self, mode: LinkMode) {
        self.links.iter().for_each(|link| link.set_mode(mode));
    }

    async fn send(&self, request: &CallerRequest) -> Option<Reply> {
        send(self.second.edge.settings.callers, request).await
    }

    /// Sends requests of all kinds to the second VM, a few at once, and returns those that were not answered with success.
    async fn failures(&self, name: &str, rounds: usize) -> Vec<String> {
        let mut failures = Vec::new();
        for round in 0..rounds {
            let paths = ["/look/x", "/book/x", "/long/x", "/short/x"];
            let requests: Vec<_> =
                paths.iter().map(|path| request(&format!("{name}-{round}{path}"), path)).collect();
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

    async fn assert_served_during(&self, mode: LinkMode) {
        assert_eq!(self.failures("before", 3).await, [""; 0]);
        self.set_mode(mode);
        let cut = Instant::now();
        while cut.elapsed() < CONTACT {
            self.failures(&format!("new-{:?}", cut.elapsed()), 1).await;
        }
        assert_eq!(self.failures("cut", 25).await, [""; 0], "{mode:?}");
        self.set_mode(LinkMode::Open);
        assert_eq!(self.failures("open", 10).await, [""; 0], "{mode:?}, open again");
    }
}

/// Opens a path to an upstream for the VM that reads the store at `endpoint`.
async fn link_to(upstream: &Upstream, service: &str, endpoint: &StoreEndpoint) -> Link {
    let entry = upstream.registry_entry(service, "kochi-a");
    // Ports with four digits would change the length of the entry.
    loop {
        let link = Link::open(upstream.addr()).await.unwrap();
        let mut linked = entry.clone();
        linked["Address"] = link.addr().to_string().into();
        if linked.to_string().len() == entry.to_string().len() {
            endpoint.replace(&entry, &linked);
            return link;
        }
    }
}

#[tokio::test]
async fn callers_are_served_while_all_upstreams_refuse_connections_of_a_vm() {
    CutSimulation::start().await.assert_served_during(LinkMode::Reset).await;
}

#[tokio::test]
async fn callers_are_served_while_all_connections_of_a_vm_to_upstreams_hang() {
    CutSimulation::start().await.assert_served_during(LinkMode::Hanging).await;
}

#[tokio::test]
async fn callers_are_served_while_new_connections_of_a_vm_to_upstreams_are_refused() {
    CutSimulation::start().await.assert_served_during(LinkMode::Refusing).await;
}
