//! Guards against digests of demand whose bytes grow with the fleet or that change on their way.

use std::time::Duration;

use lw_edge::{
    admission::SharedAdmission,
    peers::{DemandWire, Message, Notice},
};
use lw_limit::admission::overload::{
    Arrival, Decision, Key, Level, Pressure,
    demand::{Demand, ENTRIES_MAX, Entry},
};
use lw_types::prelude::*;

fn entry(workspace: u32) -> Entry {
    let level = Level { workspace: 1, route: 2 };
    Entry { key: Key { workspace, level }, short: 3_000.5, long: 2_900.0, size: 150.2 }
}

/// Guards against a digest that does not fit a datagram, or that is refused for one that is larger.
#[test]
fn a_digest_of_many_workspaces_is_bounded() {
    let mut demand = Demand::default();
    demand.update(Now::ZERO);
    for workspace in 0..300_u32 {
        demand.record(Key { workspace: u32::MAX - workspace, ..entry(0).key }, 10_000.0);
    }
    demand.update(Duration::from_millis(100));
    let entries: Vec<_> = demand.entries().iter().map(DemandWire::from).collect();
    assert_eq!(entries.len(), ENTRIES_MAX);
    let notice = Notice::Demand { service: u32::MAX, entries };
    let message = Message { vm: "vm-123456789012".into(), notice, is_for_relay: false };
    let bytes = rmp_serde::to_vec(&message).unwrap();
    println!("{} bytes with {ENTRIES_MAX} entries", bytes.len());
    assert!(bytes.len() <= 640, "{} bytes", bytes.len());
    assert_eq!(rmp_serde::from_slice::<Message>(&bytes).unwrap(), message);
}

/// Guards against work that is rounded away or scaled.
#[test]
fn demand_is_the_same_after_encoding() {
    let sent = entry(7);
    assert_eq!(Entry::from(&DemandWire::from(&sent)), sent);
}

/// Guards against digests that are sent in calm, that are applied to another service, or that do not count.
#[test]
fn digests_are_sent_under_pressure_and_count_at_the_receiver() {
    let (sender, receiver) = (SharedAdmission::default(), SharedAdmission::default());
    let arrival = Arrival {
        id_hash: 0,
        key: entry(7).key,
        work_ms: 50.0,
        target_latency: Duration::from_millis(500),
        time_left: Duration::from_secs(6),
    };
    let full = Pressure { engines: 2, slots: 16, taken: 16, waiting: 9, ..Pressure::default() };
    let calm = Pressure { taken: 7, waiting: 0, ..full };
    let load = |pressure| [("other".to_owned(), calm), ("llm".to_owned(), pressure)];
    let at = |step: u32| Duration::from_millis(100) * step;
    for step in 0..10 {
        assert!(sender.update(at(step), &load(calm), 2).is_empty(), "sent in calm");
        assert_eq!(sender.decide(at(step), "llm", &arrival).0, Decision::Admitted);
    }
    let digests: Vec<_> =
        (10..20).flat_map(|step| sender.update(at(step), &load(full), 2)).collect();
    assert_eq!(digests.len(), 5, "one each 200 ms");
    receiver.update(at(19), &load(full), 2);
    receiver.apply(at(19), "vm-1", &digests[0]);
    let (_, inputs) = receiver.decide(at(19), "llm", &arrival);
    assert_eq!(inputs.sampled, 2);
    let (_, inputs) = receiver.decide(at(19), "other", &arrival);
    assert_eq!(inputs.sampled, 1);
}
