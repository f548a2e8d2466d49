//! Guards against metrics that are listed but never counted.

mod common;

use common::{Simulation, get, request, set_target_version};
use serde_json::json;

async fn metrics_text(simulation: &Simulation) -> String {
    get(simulation.settings.metrics.unwrap(), "/metrics").await.expect("metrics").text()
}

/// Returns the value of the metric whose line begins with `name`.
fn value(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name));
    let line = line.unwrap_or_else(|| panic!("no {name} in {text}"));
    line.rsplit(' ').next().and_then(|value| value.parse().ok()).expect("a number")
}

/// Guards against metrics of requests, calls, orders or prompt tokens that stay at zero or add up to a wrong sum.
#[tokio::test]
async fn requests_calls_orders_and_tokens_are_counted() {
    let simulation = Simulation::start().await;
    for n in 0..3 {
        let reply = simulation.send(&request(&format!("counted-{n}"), "/long/x")).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.head);
    }
    set_target_version(&simulation, 2);
    simulation
        .wait_until("both engines load the new weights", async |simulation| {
            simulation.engines.iter().all(|engine| engine.version() == 2)
        })
        .await;
    let text = metrics_text(&simulation).await;
    let sum: f64 = ["held", "fetched", "read"]
        .iter()
        .map(|kind| value(&text, &format!("lavenderwood_prompt_tokens_total{{kind=\"{kind}\"}}")))
        .sum();
    assert!((sum - 3600.0).abs() < 0.5, "{sum} tokens of 3 prompts of 1200: {text}");
    let labels = "workspace=\"station\",class=\"resumable_stream\",code=\"ok\"";
    let requests = &format!("lavenderwood_requests_total{{{labels}}}");
    assert!((value(&text, requests) - 3.0).abs() < 0.5, "{text}");
    for counted in [
        "lavenderwood_store_calls_total{call=\"range\",result=\"ok\"}",
        "lavenderwood_store_calls_total{call=\"watch\",result=\"ok\"}",
        "lavenderwood_store_calls_total{call=\"lease\",result=\"ok\"}",
        "lavenderwood_store_calls_total{call=\"write\",result=\"ok\"}",
        "lavenderwood_orders_total{kind=\"accepted\"}",
        "lavenderwood_attempts_total{kind=\"complete\"}",
        "lavenderwood_config_version",
        "lavenderwood_ready_upstreams{service=\"llm\"}",
    ] {
        assert!(value(&text, counted) >= 1.0, "{counted}: {text}");
    }
}

/// Guards against VMs that each use the whole floor of the fleet's retry budget, also after the entries of the other
/// VMs have expired with an outage of the store.
#[tokio::test]
async fn the_floor_of_the_retry_budget_is_shared_by_all_vms() {
    let simulation = Simulation::start().await;
    let left = async |simulation: &Simulation| {
        simulation.send(&request("r", "/look/x")).await.expect("an answer");
        value(&metrics_text(simulation).await, "lavenderwood_retries_left{service=\"desk\"}")
    };
    let floor = simulation.settings.bounds.retry_floor;
    assert_eq!(floor, 90);
    let others: Vec<_> = (0..8).map(|n| format!("lavenderwood/vm/other-{n}")).collect();
    for (n, key) in others.iter().enumerate() {
        let entry = json!({ "addr": format!("127.0.0.1:{}", 9 + n), "failure_domain": "kochi-b" });
        simulation.store.put(key, &entry);
    }
    let is_shared = async |simulation: &Simulation| left(simulation).await <= 12.0;
    simulation.wait_until("the floor is shared", is_shared).await;
    for key in &others {
        simulation.store.remove(key);
    }
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    assert!(left(&simulation).await < 30.0);
}
