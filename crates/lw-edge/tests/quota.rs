//! Guards against requests above a usage cap that are sent, and against messages and store keys for caps where there are none.

mod common;

use std::{
    cell::RefCell,
    collections::HashMap,
    time::{Duration, Instant},
};

use common::{CallerRequest, Simulation, config, get, log_output, ms, request};
use lw_catalog::{
    routes::{UsageCap, UsageUnit},
    settings::QuotaBounds,
};
use lw_edge::{
    quota::{self, Outcome, Quota, Route},
    run::Vm,
    state::{RouterItem, StoreView, keys},
};
use lw_limit::quota::{
    keeper::{Fleet, Lease, SlotWrite},
    requester::Ask,
    slots_of,
};
use lw_standin::hosted::caller::OTHER_KEY;
use lw_types::prelude::*;
use serde_json::{Value, json};

/// Tokens a second, and at once, of the workspace `station`. A request for the route `short` costs 1,220.
const RATE: u32 = 20_000;
const COST: u32 = 1_220;

fn put_cap(simulation: &Simulation) {
    let mut config = config(4);
    config["Tenants"][0]["RatePerS"] = json!(RATE);
    config["Tenants"][0]["Burst"] = json!(RATE);
    config["Tenants"][0]["Unit"] = json!("tokens");
    simulation.store.put("op/config", &config);
}

/// Starts a VM with a cap, and waits until it holds the slots: all leases of an earlier era might exist for 4 s.
async fn start_capped() -> Simulation {
    let simulation = Simulation::start().await;
    put_cap(&simulation);
    let holds_slots = async |simulation: &Simulation| {
        simulation.vm.as_ref().expect("the VM runs").edge.quota.slot_count() == 24
    };
    simulation.wait_until("the slots are taken", holds_slots).await;
    // Until the buckets are full.
    tokio::time::sleep(ms(1_500)).await;
    simulation
}

fn quota_keys(simulation: &Simulation) -> usize {
    simulation.store.keys().iter().filter(|key| key.contains("quota")).count()
}

/// Returns the numbers of the slots whose keys name this VM.
fn slots_in_store(simulation: &Simulation, vm: &str) -> Vec<u8> {
    let names_vm = |slot: &u8| {
        let value = simulation.store.get(&format!("lavenderwood/quota/{slot:02}"));
        let value = value.and_then(|value| serde_json::from_slice::<Value>(&value).ok());
        value.is_some_and(|value| value["holder"] == vm)
    };
    (0..24).filter(names_vm).collect()
}

/// Sends requests for this time, one each 10 ms, and returns how many were served. The others must get 429.
async fn send_steadily(simulation: &Simulation, vm: &Vm, name: &str, time: Duration) -> u32 {
    let started = Instant::now();
    let mut served = 0;
    for n in 0.. {
        if started.elapsed() >= time {
            break;
        }
        let id = format!("{name}-{n}");
        let reply = common::send(vm.edge.settings.callers, &request(&id, "/short/x")).await;
        let reply = reply.expect("an answer");
        match reply.status {
            200 => served += 1,
            429 => {
                let retry_after = reply.header("retry-after").and_then(|s| s.parse::<f64>().ok());
                assert!(retry_after.is_some_and(|s| s > 0.0 && s < 3.0), "{}", reply.head);
                assert!(reply.text().contains("workspace_limit"), "{}", reply.text());
                assert_eq!(simulation.received(&id).len(), 0, "{id} was sent");
            }
            _ => panic!("{id}: {} {}", reply.head, reply.text()),
        }
        tokio::time::sleep(ms(10)).await;
    }
    served
}

#[tokio::test]
async fn requests_above_the_cap_are_refused_and_not_sent() {
    let simulation = start_capped().await;
    let vm = simulation.vm.as_ref().expect("the VM runs");
    let time = ms(2_000);
    let started = Instant::now();
    let served = send_steadily(&simulation, vm, "capped", time).await;
    let elapsed = started.elapsed().as_secs_f64();
    let allowed = f64::from(RATE) * (elapsed + 1.0);
    assert!(f64::from(served * COST) <= allowed, "{served} served in {elapsed} s");
    assert!(f64::from(served * COST) >= 0.8 * f64::from(RATE) * elapsed, "{served} served");
    assert!(log_output().contains("above the usage cap"), "no line about the refusal");
    // Another workspace has no cap.
    for n in 0..50 {
        let request =
            CallerRequest { key: OTHER_KEY, ..request(&format!("other-{n}"), "/short/x") };
        let reply = simulation.send(&request).await.expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.head);
    }
    let metrics = get(simulation.settings.metrics.unwrap(), "/metrics").await.expect("metrics");
    for counted in ["quota_total{kind=\"granted\"}", "quota_total{kind=\"refused\"}"] {
        assert!(metrics.text().contains(counted), "{}", metrics.text());
    }
    assert!(metrics.text().contains("lavenderwood_quota_slots 24"), "{}", metrics.text());
}

/// Guards against VMs that each grant the whole cap, and against slots that are lost when their holder leaves.
#[tokio::test]
async fn two_vms_keep_a_cap_together_and_hand_the_slots_over() {
    let mut simulation = start_capped().await;
    let second = simulation.start_second().await;
    let first = simulation.vm.take().expect("the VM runs");
    let knows_holder = async |_: &Simulation| {
        let view = second.edge.store_view();
        view.router_items_below("lavenderwood/quota/").count() == 24
    };
    simulation.wait_until("the second VM knows the holder", knows_holder).await;
    let (started, time) = (Instant::now(), ms(2_000));
    let (a, b) = tokio::join!(
        send_steadily(&simulation, &first, "a", time),
        send_steadily(&simulation, &second, "b", time)
    );
    let elapsed = started.elapsed().as_secs_f64();
    let used = f64::from((a + b) * COST);
    assert!(used <= f64::from(RATE) * (elapsed + 1.0), "{a} and {b} served in {elapsed} s");
    assert!(used >= 0.8 * f64::from(RATE) * elapsed, "{a} and {b} served in {elapsed} s");
    assert!(b > 2, "the second VM gets grants of the first: {a}, {b}");
    assert_eq!(slots_in_store(&simulation, "vm-1").len(), 24);
    first.leave().await;
    assert_eq!(
        slots_in_store(&simulation, "vm-1"),
        Vec::<u8>::new(),
        "the keys still name the VM that left"
    );
    let is_holder = async |_: &Simulation| second.edge.quota.slot_count() == 24;
    simulation.wait_until("the second VM holds the slots", is_holder).await;
    assert!(send_steadily(&simulation, &second, "after", ms(1_000)).await > 5);
}

/// Returns the limits of another VM in the same fleet, which takes all slots once this write is carried out.
fn taking_slots(simulation: &Simulation) -> (Quota, SlotWrite) {
    let quota = Quota::default();
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let catalog = edge.store_view().catalog();
    assert!(quota.configure(catalog.as_deref(), &edge.bounds().quota));
    let fleet = Fleet {
        own: "vm-9",
        vms: &["vm-9"],
        era: 0,
        recorded_era: Some(0),
        former_leases_end: None,
        lease_time: ms(4_000),
        is_current: true,
        lease: Some(Lease { id: 1, era: 0, valid_until: Now::MAX }),
        items: &HashMap::new(),
        has_caps: true,
    };
    let write = quota.update_slots(&fleet).expect("the slots are taken");
    (quota, write)
}

/// Asks for a grant while the view of the store names no holder. Returns whether it was decided on.
async fn is_decided(simulation: &Simulation, quota: &Quota) -> bool {
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let catalog = edge.store_view().catalog().expect("a configuration");
    let (workspace, cap) = catalog.capped_workspaces().next().expect("a cap");
    let share = quota::share(cap, &edge.bounds().quota);
    let ask = Ask::new(
        &workspace.name,
        slots_of(&workspace.name),
        u64::from(COST),
        catalog.version,
        share,
    );
    match quota.acquire(ask, |_| Route::NoHolder).await {
        Outcome::Admitted(_) | Outcome::Refused { .. } => true,
        Outcome::Unavailable { retry_after } => {
            assert_eq!(retry_after, ms(300), "nothing is known of the time until then");
            false
        }
    }
}

/// Guards against a 503 of a VM that has just taken the slots, since its view of the store does not show its write yet.
#[tokio::test]
async fn a_vm_decides_on_requests_for_the_slots_that_it_holds() {
    let simulation = start_capped().await;
    let (quota, write) = taking_slots(&simulation);
    let started = Instant::now();
    assert!(!is_decided(&simulation, &quota).await, "nobody holds the slots");
    assert!(started.elapsed() >= ms(100), "it did not wait for a holder");
    let taken = async {
        tokio::time::sleep(ms(40)).await;
        quota.on_written(write, Some(Position { era: 0, revision: 30 }));
    };
    let (is_decided_then, ()) = tokio::join!(is_decided(&simulation, &quota), taken);
    assert!(is_decided_then, "the slots were taken within the wait");
    assert!(is_decided(&simulation, &quota).await);
}

/// Guards against a further attempt that is not charged since the first slot has no holder.
#[test]
fn a_further_attempt_is_charged_to_the_slot_that_has_a_holder() {
    let quota = Quota::default();
    let cap = UsageCap { rate: 1_000.0, burst: 1_000.0, unit: UsageUnit::Requests };
    let share = quota::share(cap, &QuotaBounds::default());
    let ask = Ask::new("station", slots_of("station"), 1, 1, share);
    let slots: Vec<_> = ask.charges(1).map(|claim| claim.slot).collect();
    assert_eq!(slots.len(), 2);
    for held in slots {
        let sent = RefCell::new(Vec::new());
        quota.charge_further(ask.charges(1), |claim| {
            if claim.slot != held {
                return Route::NoHolder;
            }
            sent.borrow_mut().push(claim.slot);
            Route::Sent
        });
        assert_eq!(*sent.borrow(), [held]);
    }
}

/// Guards against a table of holders that does not follow the view of the store.
#[test]
fn the_view_of_the_store_has_the_slots_that_their_keys_state() {
    let mut view = StoreView::new(ms(1_000));
    let key = keys::quota(7);
    let item = |value: &str| {
        Some(RouterItem { value: value.as_bytes().to_vec(), revision: 1, read_at: ms(1) })
    };
    let holder = |view: &StoreView| view.quota_slot(7).and_then(|entry| entry.holder.clone());
    view.set_router_item(&key, item(r#"{"holder":"vm-1"}"#));
    assert_eq!(holder(&view).as_deref(), Some("vm-1"));
    view.retain_router_items(|listed| listed == key);
    assert_eq!(holder(&view).as_deref(), Some("vm-1"));
    view.set_router_item(&key, item("{"));
    assert_eq!(holder(&view), None);
    view.set_router_item(&key, item(r#"{"holder":"vm-2"}"#));
    view.set_router_item(&key, None);
    assert_eq!(holder(&view), None);
    view.set_router_item(&key, item(r#"{"holder":"vm-2"}"#));
    view.retain_router_items(|_| false);
    assert_eq!(holder(&view), None);
    assert_eq!((view.quota_slot(6), view.quota_slot(24)), (None, None));
}

/// Guards against a slot that is lost for good by a value that cannot be decoded.
#[tokio::test]
async fn a_slot_whose_key_was_overwritten_is_taken_again() {
    let simulation = start_capped().await;
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    simulation.store.put_bytes(&keys::quota(3), b"{");
    simulation.wait_until("the slot is lost", async |_| edge.quota.slot_count() == 23).await;
    simulation.wait_until("the slot is taken", async |_| edge.quota.slot_count() == 24).await;
    assert_eq!(slots_in_store(&simulation, "vm-1").len(), 24);
}

/// Guards against callers that are told to return long before anybody can hold the slots.
#[tokio::test]
async fn callers_return_when_the_slots_are_held() {
    let simulation = Simulation::start().await;
    put_cap(&simulation);
    let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
    let is_capped = async |_: &Simulation| {
        edge.store_view().catalog().is_some_and(|catalog| catalog.version == 4)
    };
    simulation.wait_until("the cap is in force", is_capped).await;
    // Until the slots have been looked at under the new configuration.
    tokio::time::sleep(ms(200)).await;
    assert_eq!(edge.quota.slot_count(), 0, "the leases of a former era may exist");
    let reply = simulation.send(&request("early", "/short/x")).await.expect("an answer");
    assert_eq!(reply.status, 503, "{}", reply.head);
    let retry_after = reply.header("retry-after").and_then(|s| s.parse::<f64>().ok());
    let retry_after = retry_after.expect("a time");
    assert!((0.5..=4.4).contains(&retry_after), "{}", reply.head);
    tokio::time::sleep(Duration::from_secs_f64(retry_after)).await;
    // 0.3 s of the time are for the write, which takes longer beside load.
    simulation.wait_until("the slots are taken", async |_| edge.quota.slot_count() == 24).await;
}

#[tokio::test]
async fn without_caps_there_are_no_messages_and_no_keys() {
    let simulation = Simulation::start().await;
    let second = simulation.start_second().await;
    for n in 0..20 {
        for callers in [simulation.settings.callers, second.edge.settings.callers] {
            let reply = common::send(callers, &request(&format!("free-{n}"), "/short/x")).await;
            assert_eq!(reply.expect("an answer").status, 200);
        }
    }
    // The time after which slots would be taken.
    tokio::time::sleep(ms(4_500)).await;
    assert_eq!(quota_keys(&simulation), 0);
    let metrics = get(simulation.settings.metrics.unwrap(), "/metrics").await.expect("metrics");
    assert!(!metrics.text().contains("quota_total{"), "{}", metrics.text());
}
