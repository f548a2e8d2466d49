//! Guards against rollouts that stop service, load too many engines at once, or reuse cache of older weights.

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

use common::{Ask, Fleet, Options};

const ENGINES: usize = 4;

async fn load(fleet: &Fleet, engine: usize) -> LoadReport {
    let addr = fleet.engines[engine].address();
    let mut call = Call::new(Method::GET, addr, "/load", Duration::from_secs(5));
    call.reuse = Reuse::Fresh;
    fleet.clients.json(call, None::<&()>).await.expect("load report")
}

async fn start(name: &str, is_fencing_checked: bool) -> Fleet {
    let engine = engine::Options {
        load_time: Duration::from_millis(400),
        is_fencing_checked,
        ..engine::Options::default()
    };
    Fleet::start(name, Options { engines: ENGINES, vms: 3, engine, ..Options::default() }).await
}

async fn versions(fleet: &Fleet, engines: usize) -> Vec<Option<String>> {
    let mut versions = Vec::new();
    for engine in 0..engines {
        versions.push(load(fleet, engine).await.models.get("m").cloned());
    }
    versions
}

#[tokio::test]
async fn service_goes_on_while_a_version_is_rolled_out() {
    let fleet = start("rollout", true).await;
    let patch = json!({ "models": { "m": { "version": "2", "min_engines": 2 } } });
    let (is_done, most_loading) = (AtomicBool::new(false), AtomicUsize::new(0));
    let watch = async {
        while !is_done.load(Ordering::Relaxed) {
            let mut loading = 0;
            for engine in 0..ENGINES {
                loading += usize::from(load(&fleet, engine).await.loading);
            }
            most_loading.fetch_max(loading, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let ask = async {
        let mut served = 0;
        for round in 0.. {
            if is_done.load(Ordering::Relaxed) {
                break;
            }
            let prompt = format!("question {round}");
            let answer = fleet.ask(Ask::new(round % 3, &prompt, 3)).await;
            let right = answer_text(&prompt, 3);
            assert_eq!(
                answer.text,
                right,
                "round {round}: {:?}\n{}",
                answer.error,
                fleet.vms[round % 3].log_end()
            );
            served += 1;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        served
    };
    let roll = async {
        let (status, body) = fleet.apply(0, 1, &patch).await;
        assert_eq!(status, 200, "{body}");
        fleet
            .wait("all engines have version 2", async || {
                versions(&fleet, ENGINES)
                    .await
                    .iter()
                    .all(|version| version.as_deref() == Some("2"))
            })
            .await;
        is_done.store(true, Ordering::Relaxed);
    };
    let (served, (), ()) = tokio::join!(ask, roll, watch);
    assert!(served > 20, "only {served} requests during the rollout");
    assert!(most_loading.load(Ordering::Relaxed) <= 2, "{most_loading:?} engines loading at once");
}

/// Guards against answers that fail because the only engine with the weights they were to begin with is gone, while
/// others serve the new ones.
#[tokio::test]
async fn answer_begins_with_the_new_weights_when_the_old_ones_are_gone() {
    let engine = engine::Options { load_time: Duration::from_millis(400), ..Default::default() };
    let options = Options { engines: 3, vms: 1, engine, ..Options::default() };
    let fleet = Fleet::start("old-gone", options).await;
    // Only the first load ends. One engine then has the new weights, one loads and one has to keep the old ones.
    let (new, old) = (0, 2);
    let slow = engine::Faults { load_percent: 100_000, ..engine::Faults::default() };
    for engine in [1, 2] {
        fleet.set_faults(fleet.engines[engine].address(), &slow).await;
    }
    let patch = json!({ "models": { "m": { "version": "2", "min_engines": 2 } } });
    assert_eq!(fleet.apply(0, 1, &patch).await.0, 200);
    fleet
        .wait("one engine loads and one has the new weights", async || {
            let versions = versions(&fleet, 3).await;
            versions[new].as_deref() == Some("2") && load(&fleet, 1).await.loading
        })
        .await;
    let waits = engine::Faults { slow_percent: 10_000, ..slow };
    fleet.set_faults(fleet.engines[old].address(), &waits).await;
    let prompts: Vec<_> = (0..4).map(|i| format!("question {i}")).collect();
    let asks = prompts.iter().map(|prompt| fleet.ask(Ask::new(0, prompt, 3)));
    let before = counts(&fleet).await[old];
    let crash = async {
        fleet.wait("it got requests", async || counts(&fleet).await[old] > before).await;
        fleet.engines[old].down(Duration::from_secs(30));
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(asks), crash);
    for (prompt, answer) in prompts.iter().zip(answers) {
        let log = fleet.vms[0].log_end();
        assert_eq!(answer.text, answer_text(prompt, 3), "{:?}\n{log}", answer.error);
    }
}

#[tokio::test]
async fn cache_of_older_weights_is_not_used() {
    let fleet = start("weights", false).await;
    let prompt = "The standard for gaskets. ".repeat(400);
    for vm in [0, 1] {
        assert!(fleet.ask(Ask::new(vm, &prompt, 2)).await.is_done);
    }
    let patch = json!({ "models": { "m": { "version": "2" } } });
    assert_eq!(fleet.apply(0, 1, &patch).await.0, 200);
    fleet
        .wait("all engines have version 2", async || {
            versions(&fleet, ENGINES).await.iter().all(|version| version.as_deref() == Some("2"))
        })
        .await;
    let before: Vec<usize> = counts(&fleet).await;
    // Each VM learns the versions from load reports; until then it may still divide its requests.
    fleet
        .wait("a request is served by version 2", async || {
            fleet.ask(Ask::new(2, &prompt, 2)).await.cached_tokens() == 0
        })
        .await;
    assert!(counts(&fleet).await > before);
}

async fn counts(fleet: &Fleet) -> Vec<usize> {
    let mut counts = Vec::new();
    for engine in &fleet.engines {
        counts.push(fleet.log_of::<LogEntry>(engine.address()).await.len());
    }
    counts
}

#[tokio::test]
async fn engine_that_comes_back_empty_gets_its_version_again() {
    let fleet = start("empty", true).await;
    let patch = json!({ "models": { "m": { "version": "2" } } });
    assert_eq!(fleet.apply(0, 1, &patch).await.0, 200);
    let all_loaded = async || {
        versions(&fleet, ENGINES).await.iter().all(|version| version.as_deref() == Some("2"))
    };
    fleet.wait("all engines have version 2", all_loaded).await;
    fleet.engines[1].down(Duration::from_millis(200));
    fleet.wait("the engine is back", async || load(&fleet, 1).await.incarnation > 0).await;
    fleet.wait("the engine has version 2 again", all_loaded).await;
}

#[tokio::test]
async fn leaving_upstream_gets_no_new_work_after_three_seconds() {
    let fleet = start("leaving", true).await;
    let list = json!({ "vms": [{
        "id": "engine-1", "kind": "engine", "address": fleet.engines[1].address().to_string(),
        "failure_domain": "domain-1", "leaving": true,
    }]});
    // The configuration names engine 0, the engine itself says so for engine 2; the list says so for engine 1.
    let patch = json!({ "upstreams": { "engine-0": { "leaving": true } } });
    assert_eq!(fleet.apply(0, 1, &patch).await.0, 200);
    let faults = engine::Faults { leaving: true, ..engine::Faults::default() };
    fleet.set_faults(fleet.engines[2].address(), &faults).await;
    let platform = fleet.platform.address();
    let mut call = Call::new(Method::PUT, platform, "/vms", Duration::from_secs(5));
    call.body = list.to_string().into();
    fleet.clients.send(call).await.expect("platform answers");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = counts(&fleet).await;
    for round in 0..40 {
        let prompt = format!("question {round}");
        let answer = fleet.ask(Ask::new(round % 3, &prompt, 2)).await;
        assert!(answer.is_done, "{answer:?}");
    }
    let after = counts(&fleet).await;
    assert_eq!(before[..3], after[..3], "a leaving engine got new work");
    assert_eq!(after[3] - before[3], 40);
}
