//! Guards against messages that are sent to another failure domain once for each VM there, and against VMs that do not
//! receive what others send.

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

/// Entries of a fleet with this number of VMs in each failure domain.
fn fleet(domains: &[(&str, usize)]) -> Vec<(String, VmEntry)> {
    let mut vms = Vec::new();
    for (domain, count) in domains {
        for n in 0..*count {
            let port = u16::try_from(1000 + vms.len()).unwrap();
            let entry = VmEntry {
                addr: ([10, 0, 0, 1], port).into(),
                failure_domain: (*domain).into(),
                forwarded: None,
                capacity: 1,
            };
            vms.push((format!("{domain}-{n}"), entry));
        }
    }
    vms
}

/// Guards against a message that reaches a VM twice or not at all, and against one VM that relays all of them.
#[test]
fn one_vm_of_each_other_failure_domain_relays_a_message_to_the_others_there() {
    let vms = fleet(&[("a", 6), ("b", 5), ("c", 8), ("d", 3)]);
    let all = || vms.iter().map(|(vm, entry)| (vm, entry));
    let mut relays = BTreeSet::new();
    for subject in 0..200 {
        let sent = to_all("a-0", Some(&"a".into()), subject, all());
        assert_eq!(
            sent,
            to_all("a-0", Some(&"a".into()), subject, all()),
            "recipients differ for the same subject"
        );
        let mut reached = vec![all().find(|(vm, _)| *vm == "a-0").unwrap().1.addr];
        for Recipient { addr, is_relay } in &sent {
            reached.push(*addr);
            if *is_relay {
                relays.insert(*addr);
                let (vm, entry) = all().find(|(_, entry)| entry.addr == *addr).unwrap();
                let relayed = to_domain(vm, &entry.failure_domain, all());
                assert!(
                    relayed.iter().all(|to| !to.is_relay),
                    "a message must be relayed only once"
                );
                reached.extend(relayed.iter().map(|to| to.addr));
            }
        }
        assert_eq!(reached.len(), vms.len(), "each VM receives it once");
        assert_eq!(reached.iter().collect::<BTreeSet<_>>().len(), vms.len());
        // 5 VMs of the sender's domain, one each of `b` and `c`, and all of the small domain `d`.
        assert_eq!(sent.len(), 5 + 1 + 1 + 3);
    }
    assert_eq!(relays.len(), 5 + 8, "each VM of the two domains relays some of the messages");
}

/// Guards against an issuer that sends each notice about a load to every VM: with 300 VMs its link is full.
#[test]
fn notices_of_one_vm_about_all_engines_go_to_one_relay_of_each_failure_domain() {
    let vms = fleet(&[("a", 100), ("b", 100), ("c", 3)]);
    let all = || vms.iter().map(|(vm, entry)| (vm, entry));
    let mut relays = BTreeSet::new();
    for subject in 0..2_000 {
        let sent = to_all("a-0", None, subject, all());
        assert_eq!(sent.len(), 1 + 1 + 3);
        relays.extend(sent.iter().filter(|to| to.is_relay).map(|to| to.addr));
    }
    assert_eq!(relays.len(), 99 + 100, "each VM relays some of the messages");
}

/// Guards against VMs of another failure domain that do not count a large request as in flight, or count it after its
/// end.
#[tokio::test]
async fn vms_of_another_failure_domain_track_a_large_request() {
    let simulation = Simulation::start().await;
    let mut others = Vec::new();
    for n in 2..=5 {
        let settings = simulation.further_settings(&format!("vm-{n}"));
        let settings = VmSettings { failure_domain: "kochi-b".into(), ..settings };
        others.push(Vm::start(settings, simulation.logs.clone()).await.unwrap());
    }
    let first = &simulation.vm.as_ref().unwrap().edge;
    let joined = async |_: &Simulation| {
        let mut edges = others.iter().map(|vm| &vm.edge).chain([first]);
        edges.all(|edge| edge.datagrams().is_some() && edge.store_view().vms().count() == 5)
    };
    simulation.wait_until("the VMs are connected to each other", joined).await;
    simulation
        .engines
        .iter()
        .for_each(|engine| engine.set_behaviour(Behaviour::DelayedEvents(ms(250))));
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    let mut large = request("large", "/long/x");
    large.headers = large.headers.replace("1200,", "1900,");
    caller.send(&large).await;
    let in_flight =
        |vm: &Vm| vm.edge.with_upstream_pool("llm", |pool| pool.in_flight()).unwrap_or(0);
    let all_track_it = async |_: &Simulation| others.iter().all(|vm| in_flight(vm) == 1);
    simulation.wait_until("all VMs track the request", all_track_it).await;
    assert!(caller.read_answer().await.expect("an answer").is_complete);
    let none_tracks_it = async |_: &Simulation| others.iter().all(|vm| in_flight(vm) == 0);
    simulation.wait_until("no VM tracks the request after its end", none_tracks_it).await;
}
