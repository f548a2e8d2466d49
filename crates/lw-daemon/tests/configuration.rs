//! Guards against configuration versions that are lost, reverted or accepted twice while the store or VMs fail.

use std::time::Duration;

use lw_standin::platform::Faults;
use serde_json::json;

mod common;

use common::{CompletionRequest, Fleet, Options};

fn options(vms: usize) -> Options {
    Options { vms, ..Options::default() }
}

#[tokio::test]
async fn stale_patch_changes_nothing_and_returns_the_current_version() {
    let fleet = Fleet::start("stale", options(2)).await;
    let patch = json!({ "workspaces": { "station": { "share": 7 } } });
    let (status, body) = fleet.apply_patch(1, 0, &patch).await;
    assert_eq!((status, &body["version"], &body["number"]), (409, &json!(1), &json!(5000)));
    let (status, body) = fleet.apply_patch(1, 1, &patch).await;
    assert_eq!((status, &body["version"]), (200, &json!(2)), "{body}");
    fleet.wait_for_version(0, 2).await;
}

#[tokio::test]
async fn invalid_patch_is_refused_with_all_its_faults() {
    let fleet = Fleet::start("invalid", options(1)).await;
    let patch = json!({ "workspaces": { "station": { "share": "many", "colour": 1 } } });
    let (status, body) = fleet.apply_patch(0, 1, &patch).await;
    let faults = body["faults"].to_string();
    assert_eq!(status, 422, "{body}");
    assert!(faults.contains("share") && faults.contains("colour"), "{faults}");
}

#[tokio::test]
async fn one_of_several_concurrent_patches_is_accepted() {
    let fleet = Fleet::start("race", options(3)).await;
    for base in 1..4 {
        let patch = |n: usize| json!({ "workspaces": { "station": { "share": n + 1 } } });
        let (a, b, c) = (patch(0), patch(1), patch(2));
        let results = tokio::join!(
            fleet.apply_patch(0, base, &a),
            fleet.apply_patch(1, base, &b),
            fleet.apply_patch(2, base, &c)
        );
        let statuses = [results.0.0, results.1.0, results.2.0];
        assert_eq!(statuses.iter().filter(|s| **s == 200).count(), 1, "base {base}: {results:?}");
        for vm in 0..3 {
            fleet.wait_for_version(vm, base + 1).await;
        }
    }
}

#[tokio::test]
async fn restarted_vm_gets_the_version_from_its_peers_while_the_store_is_down() {
    let mut fleet = Fleet::start("restart", options(3)).await;
    let patch = json!({ "workspaces": { "station": { "share": 3 } } });
    assert_eq!(fleet.apply_patch(0, 1, &patch).await.0, 200);
    let mut down = Faults::default();
    down.http.unavailable = true;
    fleet.set_faults(fleet.platform.address(), &down).await;
    fleet.vms[1].kill();
    fleet.vms[1].spawn();
    fleet.wait_until("vm 1 answers", async || fleet.status(1).await.is_some()).await;
    fleet.wait_for_version(1, 2).await;
    let answer = fleet.complete(CompletionRequest::new(1, "a prompt", 3)).await;
    assert!(answer.is_done, "{answer:?}");
    let (status, _) = fleet.apply_patch(1, 2, &patch).await;
    assert_eq!(status, 503, "a patch was accepted without the store");
}

#[tokio::test]
async fn patch_whose_reply_is_lost_is_accepted_once() {
    let fleet = Fleet::start("lost-reply", options(2)).await;
    let faults = Faults { lose_replies: 1, ..Faults::default() };
    fleet.set_faults(fleet.platform.address(), &faults).await;
    let patch = json!({ "workspaces": { "station": { "share": 9 } } });
    let (status, body) = fleet.apply_patch(0, 1, &patch).await;
    assert_eq!((status, &body["version"]), (200, &json!(2)), "{body}");
    fleet.wait_for_version(1, 2).await;
}

#[tokio::test]
async fn all_vms_restart_without_store_and_serve_from_the_bootstrap_document() {
    let mut fleet = Fleet::start("bootstrap", options(2)).await;
    let mut document = fleet.initial_config();
    document["version"] = json!(1);
    fleet.use_bootstrap(&document);
    let mut down = Faults::default();
    down.http.unavailable = true;
    fleet.set_faults(fleet.platform.address(), &down).await;
    for vm in &mut fleet.vms {
        vm.kill();
    }
    for vm in &mut fleet.vms {
        vm.spawn();
    }
    fleet
        .wait_until("a VM serves", async || {
            fleet.complete(CompletionRequest::new(0, "a prompt", 3)).await.is_done
        })
        .await;
    let status = fleet.status(0).await.expect("status");
    assert_eq!((&status["provisional"], &status["version"]), (&json!(true), &json!(0)));

    fleet.set_faults(fleet.platform.address(), &Faults::default()).await;
    fleet.wait_for_version(0, 1).await;
    let status = fleet.status(0).await.expect("status");
    assert_eq!(status["provisional"], json!(false));
}

#[tokio::test]
async fn killed_peer_is_suspected_within_three_seconds() {
    let mut fleet = Fleet::start("dead-peer", options(3)).await;
    fleet
        .wait_until("all peers are alive", async || peer_state(&fleet, 0, "vm-2").await == "alive")
        .await;
    fleet.vms[2].kill();
    let killed = std::time::Instant::now();
    fleet
        .wait_until("the peer is suspected", async || {
            peer_state(&fleet, 0, "vm-2").await == "suspect"
        })
        .await;
    assert!(killed.elapsed() < Duration::from_secs(3), "{:?}", killed.elapsed());
}

/// Returns the state of a peer as the VM reports it, empty if it has none.
async fn peer_state(fleet: &Fleet, vm: usize, peer: &str) -> String {
    let status = fleet.status(vm).await.unwrap_or_default();
    let peers = status["peers"].as_array().cloned().unwrap_or_default();
    let found = peers.iter().find(|p| p["vm"] == peer);
    found.and_then(|p| p["state"].as_str()).unwrap_or_default().to_owned()
}
