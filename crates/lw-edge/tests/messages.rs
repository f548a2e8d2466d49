//! Guards against messages that cross between failure domains once for each VM there, and against VMs that do not hear of
//! what the others sent.

mod common;

use std::collections::BTreeSet;

use common::{Simulation, ms, request};
use lw_catalog::VmSettings;
use lw_edge::{
    peers::route::{Recipient, to_all, to_domain},
    run::Vm,
    state::keys::VmEntry,
};
use lw_standin::hosted::{caller::Caller, upstream::Behaviour};

fn fleet(domains: &[(&str, usize)]) -> Vec<(String, VmEntry)> {
    let mut vms = Vec::new();
    for (domain, count) in domains {
        for n in 0..*count {
            let port = u16::try_from(1000 + vms.len()).unwrap();
            let entry =
                VmEntry { addr: ([10, 0, 0, 1], port).into(), failure_domain: (*domain).into() };
            vms.push((format!("{domain}-{n}"), entry));
        }
    }
    vms
}

#[test]
fn one_vm_of_each_other_failure_domain_passes_a_message_on_to_the_rest() {
    let vms = fleet(&[("a", 6), ("b", 5), ("c", 8), ("d", 3)]);
    let all = || vms.iter().map(|(vm, entry)| (vm, entry));
    let mut relays = BTreeSet::new();
    for subject in 0..200 {
        let sent = to_all("a-0", &"a".into(), subject, all());
        assert_eq!(sent, to_all("a-0", &"a".into(), subject, all()), "the same way each time");
        let mut reached = vec![all().find(|(vm, _)| *vm == "a-0").unwrap().1.addr];
        for Recipient { addr, is_relay } in &sent {
            reached.push(*addr);
            if *is_relay {
                relays.insert(*addr);
                let (vm, entry) = all().find(|(_, entry)| entry.addr == *addr).unwrap();
                let further = to_domain(vm, &entry.failure_domain, all());
                assert!(further.iter().all(|to| !to.is_relay), "a message is passed on once");
                reached.extend(further.iter().map(|to| to.addr));
            }
        }
        assert_eq!(reached.len(), vms.len(), "each VM gets it once");
        assert_eq!(reached.iter().collect::<BTreeSet<_>>().len(), vms.len());
        // 5 of the own domain, one of `b` and `c` each, and the few of `d`.
        assert_eq!(sent.len(), 5 + 1 + 1 + 3);
    }
    assert_eq!(relays.len(), 5 + 8, "the work is on all of them");
}

#[tokio::test]
async fn vms_of_another_failure_domain_hear_of_a_large_request() {
    let world = Simulation::start().await;
    let mut others = Vec::new();
    for n in 2..=5 {
        let settings = world.further_settings(&format!("vm-{n}"));
        let settings = VmSettings { failure_domain: "kochi-b".into(), ..settings };
        others.push(Vm::start(settings, world.logs.clone()).await.unwrap());
    }
    let first = &world.vm.as_ref().unwrap().edge;
    let joined = async |_: &Simulation| {
        let mut edges = others.iter().map(|vm| &vm.edge).chain([first]);
        edges.all(|edge| edge.datagrams().is_some() && edge.known().vms().count() == 5)
    };
    world.wait_until("the VMs know each other", joined).await;
    world.engines.iter().for_each(|engine| engine.always(Behaviour::Paced(ms(250))));
    let mut caller = Caller::connect(world.settings.callers).await.unwrap();
    let mut large = request("large", "/long/x");
    large.headers = large.headers.replace("1200,", "1900,");
    caller.send(&large).await;
    let in_flight = |vm: &Vm| vm.edge.with_fleet("llm", |fleet| fleet.in_flight()).unwrap_or(0);
    let all = async |_: &Simulation| others.iter().all(|vm| in_flight(vm) == 1);
    world.wait_until("all know of it", all).await;
    assert!(caller.receive().await.expect("an answer").is_complete);
    let none = async |_: &Simulation| others.iter().all(|vm| in_flight(vm) == 0);
    world.wait_until("all know that it is over", none).await;
}
