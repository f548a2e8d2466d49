//! Prints how the cost of membership and configuration grows with the fleet, for `docs/CAPACITY.md`.
//!
//! `cargo run --release -p lw-bench --example member_capacity [steady|restart|partition|document]`. Processor
//! times are wall-clock times of one thread and vary between runs.

use std::{
    fs,
    time::{Duration, Instant},
};

use lw_bench::cases::member::{HTTP_BYTES, SIZES, fleet::Fleet};
use lw_config::document::Document;
use lw_member::config::stored::{StoredConfig, VALUE_BYTES_MAX};
use serde_json::{Value, json};

fn main() {
    let selected = std::env::args().nth(1);
    let is_selected = |name: &str| selected.as_deref().is_none_or(|selected| selected == name);
    if is_selected("steady") {
        print_steady_state();
    }
    if is_selected("restart") {
        print_restart();
    }
    if is_selected("partition") {
        print_partition();
    }
    if is_selected("document") {
        print_document();
    }
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0_usize) * 4096
}

fn sent_totals(fleet: &Fleet) -> (u64, u64) {
    fleet.nodes.iter().fold((0, 0), |sum, node| (sum.0 + node.bytes, sum.1 + node.messages))
}

/// Prints traffic, processor time and memory of a node without changes.
fn print_steady_state() {
    println!("members\tpayload B/s\tmessages/s\twith HTTP B/s\tprocessor us/s\tstate bytes");
    for (size, domains) in SIZES {
        let before = resident_bytes();
        let mut fleet = Fleet::new(size, domains, 1);
        fleet.start_converged();
        fleet.run(Duration::from_secs(5));
        let state_bytes = resident_bytes().saturating_sub(before) / size;
        let (bytes, messages) = sent_totals(&fleet);
        let clock = Instant::now();
        let seconds = 40;
        fleet.run(Duration::from_secs(seconds));
        let node_seconds = size as u64 * seconds;
        let processor_us = clock.elapsed().as_nanos() / 1000 / u128::from(node_seconds);
        let (bytes, messages) = (sent_totals(&fleet).0 - bytes, sent_totals(&fleet).1 - messages);
        println!(
            "{size}\t{}\t{}.{}\t{}\t{processor_us}\t{state_bytes}",
            bytes / node_seconds,
            messages / node_seconds,
            messages * 10 / node_seconds % 10,
            (bytes + messages * HTTP_BYTES) / node_seconds,
        );
    }
}

/// Prints how a fleet converges when all processes restart together with three seeds each.
fn print_restart() {
    println!("members\trestart: converged after s\tpayload bytes a node\tmost at one node");
    for (size, domains) in SIZES {
        let mut fleet = Fleet::new(size, domains, 1);
        for node in 0..size {
            fleet.start(node);
        }
        let seconds = (1..=120).find(|_| {
            fleet.run(Duration::from_secs(1));
            fleet.is_converged()
        });
        let max_bytes = fleet.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
        println!("{size}\t{seconds:?}\t{}\t{max_bytes}", sent_totals(&fleet).0 / size as u64);
    }
}

/// Prints how a fleet recovers from a partition. An eighth of the failure domains (one of three with 8 members) is cut
/// off until the others have removed all its members, as they would in a partition of an hour, and is then connected
/// again.
fn print_partition() {
    println!("members\tsplit noticed s\thealed s\tworst second B/s a node, mean\tat one node");
    for (size, domains) in SIZES {
        let mut fleet = Fleet::new(size, domains, 1);
        fleet.start_converged();
        fleet.run(Duration::from_secs(3));
        let isolated_domains = domains.div_ceil(8);
        for node in (0..size).filter(|node| node % domains < isolated_domains) {
            fleet.nodes[node].group = 1;
        }
        let detected_after = seconds_until_converged(&mut fleet, 60, |_| {});
        fleet.run(Duration::from_secs(75));
        for node in 0..size {
            fleet.nodes[node].group = 0;
        }
        let (mut mean_bytes, mut max_bytes) = (0, 0);
        let mut before: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
        let healed_after = seconds_until_converged(&mut fleet, 200, |fleet| {
            let after: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
            let sent_bytes: Vec<u64> = after.iter().zip(&before).map(|(a, b)| a - b).collect();
            mean_bytes = mean_bytes.max(sent_bytes.iter().sum::<u64>() / size as u64);
            max_bytes = max_bytes.max(sent_bytes.iter().copied().max().unwrap_or(0));
            before = after;
        });
        println!("{size}\t{detected_after:?}\t{healed_after:?}\t{mean_bytes}\t{max_bytes}");
    }
}

fn seconds_until_converged(
    fleet: &mut Fleet,
    limit: u32,
    mut after_each: impl FnMut(&Fleet),
) -> Option<u32> {
    (1..=limit).find(|_| {
        fleet.run(Duration::from_secs(1));
        after_each(fleet);
        fleet.is_converged()
    })
}

/// Prints the size of configuration documents, up to the size in two years, and the times to patch and to parse them.
fn print_document() {
    println!("engines\tworkspaces\tdocument bytes\tfits the store\tpatch us\tread value us");
    for (engines, workspaces) in [(32, 8), (3_000, 400), (6_000, 800), (12_000, 1_500)] {
        let document = Document::from_value(document_of_size(engines, workspaces)).expect("valid");
        let stored = StoredConfig { document, history: Vec::new() };
        let patch = json!({ "workspaces": { "workspace-0": { "share": 3 } } });
        let clock = Instant::now();
        for _ in 0..10 {
            let patched = stored.document.patched(1, &patch);
            assert!(patched.is_ok(), "the patch is valid");
        }
        let patch_us = clock.elapsed().as_micros() / 10;
        let text = json!({ "document": stored.document.as_json(), "history": [] }).to_string();
        let clock = Instant::now();
        let parsed = StoredConfig::parse(&text);
        let parse_us = (clock.elapsed().as_micros(), parsed.is_ok()).0;
        let fits = text.len() <= VALUE_BYTES_MAX;
        println!("{engines}\t{workspaces}\t{}\t{fits}\t{patch_us}\t{parse_us}", text.len());
    }
}

fn document_of_size(engines: usize, workspaces: usize) -> Value {
    let upstreams: serde_json::Map<String, Value> = (0..engines)
        .map(|n| {
            let address = format!("10.{}.{}.{}:8000", n >> 16, n >> 8 & 255, n & 255);
            let domain = format!("region-{}/zone-{}", n % 7, n % 24);
            let engine =
                json!({ "role": "assistant", "address": address, "failure_domain": domain });
            (format!("engine-{n}"), engine)
        })
        .collect();
    let workspaces: serde_json::Map<String, Value> = (0..workspaces)
        .map(|n| {
            let digest = format!("{n:064x}");
            let limits =
                json!({ "key_digests": [digest], "share": 2, "tokens_per_second": 90_000 });
            (format!("workspace-{n}"), limits)
        })
        .collect();
    json!({ "version": 1, "workspaces": workspaces, "upstreams": upstreams })
}
