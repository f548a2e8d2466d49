//! Guards against rollouts during which requests fail, too many engines load at once, or the cache of replaced weights
//! is used.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};

use http::Method;
use lw_protocol::upstream::LoadReport;
use lw_standin::engine::{self, LogEntry, answer_text};
use lw_transport::client::{Call, Reuse};
use serde_json::json;

mod common;

use common::{CompletionRequest, Fleet, Options};

const ENGINES: usize = 4;

async fn load_report(fleet: &Fleet, engine: usize) -> LoadReport {
    try_load_report(fleet, engine).await.expect("load report")
}

/// Returns the load report of an engine, or none if the engine is down.
async fn try_load_report(fleet: &Fleet, engine: usize) -> Option<LoadReport> {
    let addr = fleet.engines[engine].address();
    let mut call = Call::new(Method::GET, addr, "/load", Duration::from_secs(5));
    call.reuse = Reuse::Fresh;
    fleet.clients.json(call, None::<&()>).await.ok()
}

async fn start(name: &str, is_fencing_checked: bool) -> Fleet {
    let engine = engine::Options {
        load_time: Duration::from_millis(400),
        is_fencing_checked,
        ..engine::Options::default()
    };
    Fleet::start(name, Options { engines: ENGINES, vms: 3, engine, ..Options::default() }).await
}

/// Returns the version of model `m` that each of the first `engines` engines has loaded.
async fn loaded_versions(fleet: &Fleet, engines: usize) -> Vec<Option<String>> {
    let mut versions = Vec::new();
    for engine in 0..engines {
        versions.push(load_report(fleet, engine).await.models.get("m").cloned());
    }
    versions
}

#[tokio::test]
async fn requests_are_served_during_a_rollout() {
    let fleet = start("rollout", true).await;
    let patch = json!({ "models": { "m": { "version": "2", "min_engines": 2 } } });
    let (is_done, max_loading) = (AtomicBool::new(false), AtomicUsize::new(0));
    let observe_loads = async {
        while !is_done.load(Ordering::Relaxed) {
            let mut loading = 0;
            for engine in 0..ENGINES {
                loading += usize::from(load_report(&fleet, engine).await.loading);
            }
            max_loading.fetch_max(loading, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let send_requests = async {
        let mut served = 0;
        for round in 0.. {
            if is_done.load(Ordering::Relaxed) {
                break;
            }
            let prompt = format!("question {round}");
            let answer = fleet.complete(CompletionRequest::new(round % 3, &prompt, 3)).await;
            let expected = answer_text(&prompt, 3);
            assert_eq!(
                answer.text,
                expected,
                "round {round}: {:?}\n{}",
                answer.error,
                fleet.vms[round % 3].log_tail()
            );
            served += 1;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        served
    };
    let roll_out = async {
        let (status, body) = fleet.apply_patch(0, 1, &patch).await;
        assert_eq!(status, 200, "{body}");
        fleet
            .wait_until("all engines have version 2", async || {
                loaded_versions(&fleet, ENGINES)
                    .await
                    .iter()
                    .all(|version| version.as_deref() == Some("2"))
            })
            .await;
        is_done.store(true, Ordering::Relaxed);
    };
    let (served, (), ()) = tokio::join!(send_requests, roll_out, observe_loads);
    assert!(served > 20, "only {served} requests during the rollout");
    assert!(max_loading.load(Ordering::Relaxed) <= 2, "{max_loading:?} engines loading at once");
}

/// Guards against requests that fail when the only engine with the replaced weights, on which they were placed, fails
/// while another engine serves the new weights.
#[tokio::test]
async fn answer_uses_the_new_weights_when_no_engine_with_replaced_ones_is_left() {
    let engine = engine::Options { load_time: Duration::from_millis(400), ..Default::default() };
    let options = Options { engines: 3, vms: 1, engine, ..Options::default() };
    let fleet = Fleet::start("old-gone", options).await;
    // Only the first load completes. Engine 0 then has the new weights, engine 1 is loading and engine 2 keeps the
    // replaced ones.
    let (updated, stale) = (0, 2);
    let slow_load = engine::Faults { load_percent: 100_000, ..engine::Faults::default() };
    for engine in [1, 2] {
        fleet.set_faults(fleet.engines[engine].address(), &slow_load).await;
    }
    let patch = json!({ "models": { "m": { "version": "2", "min_engines": 2 } } });
    assert_eq!(fleet.apply_patch(0, 1, &patch).await.0, 200);
    fleet
        .wait_until("one engine loads and one has the new weights", async || {
            let versions = loaded_versions(&fleet, 3).await;
            versions[updated].as_deref() == Some("2") && load_report(&fleet, 1).await.loading
        })
        .await;
    let slow_answers = engine::Faults { slow_percent: 10_000, ..slow_load };
    fleet.set_faults(fleet.engines[stale].address(), &slow_answers).await;
    let prompts: Vec<_> = (0..4).map(|i| format!("question {i}")).collect();
    let requests =
        prompts.iter().map(|prompt| fleet.complete(CompletionRequest::new(0, prompt, 3)));
    let before = request_counts(&fleet).await[stale];
    let crash = async {
        fleet
            .wait_until("the engine with the replaced weights has requests", async || {
                request_counts(&fleet).await[stale] > before
            })
            .await;
        fleet.engines[stale].down(Duration::from_secs(30));
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(requests), crash);
    for (prompt, answer) in prompts.iter().zip(answers) {
        let log = fleet.vms[0].log_tail();
        assert_eq!(answer.text, answer_text(prompt, 3), "{:?}\n{log}", answer.error);
    }
}

#[tokio::test]
async fn cache_of_replaced_weights_is_not_used() {
    let fleet = start("weights", false).await;
    let prompt = "The standard for gaskets. ".repeat(400);
    for vm in [0, 1] {
        assert!(fleet.complete(CompletionRequest::new(vm, &prompt, 2)).await.is_done);
    }
    let patch = json!({ "models": { "m": { "version": "2" } } });
    assert_eq!(fleet.apply_patch(0, 1, &patch).await.0, 200);
    fleet
        .wait_until("all engines have version 2", async || {
            loaded_versions(&fleet, ENGINES)
                .await
                .iter()
                .all(|version| version.as_deref() == Some("2"))
        })
        .await;
    let before: Vec<usize> = request_counts(&fleet).await;
    // A VM gets the loaded versions from load reports; until then it may still use the cache of version 1.
    fleet
        .wait_until("a request is served by version 2", async || {
            fleet.complete(CompletionRequest::new(2, &prompt, 2)).await.cached_tokens() == 0
        })
        .await;
    assert!(request_counts(&fleet).await > before);
}

/// Returns the number of requests in each engine's log.
async fn request_counts(fleet: &Fleet) -> Vec<usize> {
    let mut counts = Vec::new();
    for engine in &fleet.engines {
        counts.push(fleet.standin_log::<LogEntry>(engine.address()).await.len());
    }
    counts
}

#[tokio::test]
async fn restarted_engine_loads_the_target_version_again() {
    let fleet = start("empty", true).await;
    let patch = json!({ "models": { "m": { "version": "2" } } });
    assert_eq!(fleet.apply_patch(0, 1, &patch).await.0, 200);
    let all_loaded = async || {
        loaded_versions(&fleet, ENGINES).await.iter().all(|version| version.as_deref() == Some("2"))
    };
    fleet.wait_until("all engines have version 2", all_loaded).await;
    let before = load_report(&fleet, 1).await.incarnation;
    fleet.engines[1].down(Duration::from_millis(200));
    // The engine goes down some time after the call, and refuses calls until it is back.
    let is_back =
        async || try_load_report(&fleet, 1).await.is_some_and(|report| report.incarnation > before);
    fleet.wait_until("the engine is back with a higher incarnation", is_back).await;
    fleet.wait_until("the engine has version 2 again", all_loaded).await;
}

#[tokio::test]
async fn leaving_engine_gets_no_new_requests_after_three_seconds() {
    let fleet = start("leaving", true).await;
    let list = json!({ "vms": [{
        "id": "engine-1", "kind": "engine", "address": fleet.engines[1].address().to_string(),
        "failure_domain": "domain-1", "leaving": true,
    }]});
    // Engine 0 is leaving by the configuration, engine 1 by the platform's list, engine 2 by its own load report.
    let patch = json!({ "upstreams": { "engine-0": { "leaving": true } } });
    assert_eq!(fleet.apply_patch(0, 1, &patch).await.0, 200);
    let faults = engine::Faults { leaving: true, ..engine::Faults::default() };
    fleet.set_faults(fleet.engines[2].address(), &faults).await;
    let platform = fleet.platform.address();
    let mut call = Call::new(Method::PUT, platform, "/vms", Duration::from_secs(5));
    call.body = list.to_string().into();
    fleet.clients.send(call).await.expect("platform answers");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = request_counts(&fleet).await;
    for round in 0..40 {
        let prompt = format!("question {round}");
        let answer = fleet.complete(CompletionRequest::new(round % 3, &prompt, 2)).await;
        assert!(answer.is_done, "{answer:?}");
    }
    let after = request_counts(&fleet).await;
    assert_eq!(before[..3], after[..3], "a leaving engine got new requests");
    assert_eq!(after[3] - before[3], 40);
}
