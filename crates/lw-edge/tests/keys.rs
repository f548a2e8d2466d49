//! Guards against API keys that are accepted although they are not in the configuration or were revoked.

mod common;

use common::{CallerRequest, Simulation, ms, request};
use lw_standin::hosted::store::StoreMode;

fn with_key(key: &'static str, id: &str) -> CallerRequest {
    CallerRequest { key, ..request(id, "/look/x") }
}

/// Guards against accepting unknown API keys, and against forwarding a caller's key to an upstream.
#[tokio::test]
async fn only_keys_of_the_configuration_are_accepted() {
    let simulation = Simulation::start().await;
    let reply = simulation.send(&with_key("unknown", "a")).await.unwrap();
    assert_eq!((reply.status, simulation.run_count("a")), (401, 0));
    let reply = simulation.send(&with_key(lw_standin::hosted::caller::KEY, "b")).await.unwrap();
    assert_eq!(reply.status, 200);
    let forwarded = &simulation.received("b")[0].request;
    assert_eq!(forwarded.header("x-tenant"), Some("station"));
    assert_eq!(forwarded.header("x-credential"), None, "the key was forwarded");
}

/// Guards against accepting a key after a configuration without it was written, also when an older configuration
/// follows.
#[tokio::test]
async fn a_revoked_key_is_refused_at_once() {
    let simulation = Simulation::start().await;
    let mut config = common::config(4);
    config["Tenants"][0]["ApiKeys"] = serde_json::json!(["another-key"]);
    simulation.store.put("op/config", &config);
    let refused = async |simulation: &Simulation| {
        simulation.send(&request("c", "/look/x")).await.is_some_and(|reply| reply.status == 401)
    };
    simulation.wait_until("the key is refused", refused).await;
    // An older configuration that is written later must not come into force.
    simulation.store.put("op/config", &common::config(2));
    tokio::time::sleep(ms(200)).await;
    assert_eq!(simulation.send(&request("d", "/look/x")).await.unwrap().status, 401);
}

/// Guards against accepting keys that may have been revoked while the store did not answer.
#[tokio::test]
async fn keys_are_refused_when_the_store_has_not_answered_for_too_long() {
    for mode in [StoreMode::NoAnswer, StoreMode::Unavailable, StoreMode::Reset] {
        let simulation = Simulation::start().await;
        simulation.store.set_mode(mode);
        let started = std::time::Instant::now();
        let refused = async |simulation: &Simulation| {
            simulation.send(&request("e", "/look/x")).await.is_some_and(|reply| reply.status == 503)
        };
        simulation.wait_until("keys are refused", refused).await;
        let revoke = simulation.settings.bounds.revoke;
        assert!(started.elapsed() < revoke, "{mode:?}: {:?}", started.elapsed());
        assert!(!simulation.is_ready().await, "{mode:?}");
        let reply = simulation.send(&request("f", "/look/x")).await.unwrap();
        assert!(reply.header("retry-after").is_some(), "{mode:?}");
        simulation.store.set_mode(StoreMode::Normal);
        let serves = async |simulation: &Simulation| {
            simulation.send(&request("g", "/look/x")).await.is_some_and(|reply| reply.status == 200)
        };
        simulation.wait_until("keys are accepted again", serves).await;
    }
}

/// Guards against callers that are refused although no revoked key could be overdue yet.
#[tokio::test]
async fn keys_are_accepted_for_nearly_as_long_as_a_revocation_may_take() {
    let simulation = Simulation::start().await;
    // The view is at most this much older than the beginning of the outage.
    let edge = &simulation.vm.as_ref().unwrap().edge;
    let now = edge.timer.now_including_suspend();
    let age = edge.store_view().age(now).expect("a current view");
    simulation.store.set_mode(StoreMode::Unavailable);
    let started = std::time::Instant::now();
    let until = simulation.settings.bounds.revoke.mul_f64(0.9).saturating_sub(age);
    let mut n = 0;
    while started.elapsed() < until {
        n += 1;
        let reply = simulation.send(&request(&format!("n-{n}"), "/look/x")).await.unwrap();
        assert_eq!(reply.status, 200, "after {:?} and {age:?}", started.elapsed());
        tokio::time::sleep(ms(20)).await;
    }
}
