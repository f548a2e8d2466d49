//! Guards against digests of demand whose bytes grow with the fleet or that change on their way.

use lw_edge::peers::{DemandWire, Message, Notice};
use lw_limit::admission::overload::{
    Key, Level,
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
    demand.update(std::time::Duration::from_millis(100));
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
