//! Guards against requests that reach an upstream in another form than the caller sent, or with the rights of another
//! caller.

mod common;

use common::{CallerRequest, Simulation, config, ms, request};
use lw_edge::run::Vm;
use lw_standin::hosted::caller::{Caller, KEY, send};

/// Guards against callers that set headers by which the router controls engines.
#[tokio::test]
async fn internal_headers_of_callers_are_not_forwarded() {
    let simulation = Simulation::start().await;
    let internal = "X-Tenant: quiz\r\nX-Hold: 1\r\nX-Pin-Ms: 4000\r\nX-Kv-Backup: 10.0.0.1:1\r\n\
               Kv-From: 10.0.0.1:1/2\r\nX-Cache-Salt: other\r\nX-Kv-Fetch: 10.0.0.1:1\r\n\
               X-Expect-Instance: nobody\r\nX-Request-Priority: 0\r\nX-Extra: kept\r\n";
    let mut sent = request("own", "/short/x");
    sent.headers.push_str(internal);
    let reply = simulation.send(&sent).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.head);
    let got = &simulation.received("own")[0].request;
    assert_eq!(got.header("x-tenant"), Some("station"));
    for name in ["x-hold", "x-pin-ms", "x-kv-backup", "kv-from"] {
        assert_eq!(got.header(name), None, "{name}");
    }
    assert_ne!(got.header("x-cache-salt"), Some("other"));
    assert_ne!(got.header("x-kv-fetch"), Some("10.0.0.1:1"));
    assert_eq!(got.header("x-extra"), Some("kept"));
    assert_eq!(got.header("x-model"), Some("m"));
    assert_eq!(got.header("x-expect-version"), Some("1"));
}

/// Guards against cached prompts that are shared with an isolated workspace. Engines find them only under the same
/// salt.
#[tokio::test]
async fn an_isolated_workspace_has_its_own_cache_salt() {
    let simulation = Simulation::start().await;
    let salt = async |id: &str, key: &'static str| {
        simulation.send(&CallerRequest { key, ..request(id, "/long/x") }).await.unwrap();
        simulation.received(id)[0].request.header("x-cache-salt").map(str::to_owned).unwrap()
    };
    let (first, second) = (salt("s1", KEY).await, salt("s2", KEY).await);
    assert_eq!(first, second);
    assert_ne!(first, salt("s3", "key-of-the-quiz").await);
}

/// Guards against cached prompts that a workspace made before it became isolated and that others go on using.
#[tokio::test]
async fn what_a_workspace_cached_before_it_became_isolated_is_not_used_again() {
    let simulation = Simulation::start().await;
    let quiz = "key-of-the-quiz";
    let salt = async |id: &str, key: &'static str| {
        simulation.send(&CallerRequest { key, ..request(id, "/long/x") }).await.unwrap();
        simulation.received(id)[0].request.header("x-cache-salt").map(str::to_owned).unwrap()
    };
    let set_isolated = async |version: u64, is_isolated: bool| {
        let mut config = config(version);
        config["Tenants"][1]["Isolated"] = is_isolated.into();
        simulation.store.put("op/config", &config);
        tokio::time::sleep(ms(200)).await;
    };
    set_isolated(4, false).await;
    let shared = salt("s1", KEY).await;
    assert_eq!(shared, salt("s2", quiz).await);
    set_isolated(5, true).await;
    let (own, others) = (salt("s3", quiz).await, salt("s4", KEY).await);
    assert!(shared != own && shared != others && own != others, "{shared} {own} {others}");
    set_isolated(6, true).await;
    assert_eq!(others, salt("s5", KEY).await, "nothing has changed");
}

/// Guards against an upstream that receives the caller's full deadline instead of the time that is left.
#[tokio::test]
async fn the_remaining_time_is_forwarded() {
    let simulation = Simulation::start().await;
    let sent = CallerRequest { deadline_ms: 900, ..request("time", "/look/x?day=3") };
    simulation.send(&sent).await.unwrap();
    let got = &simulation.received("time")[0].request;
    let left: u64 = got.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!((500..=900).contains(&left), "{left}");
    assert_eq!((got.method.as_str(), got.target.as_str()), ("GET", "/look/x?day=3"));
}

/// Guards against pipelined requests that are lost or answered out of order.
#[tokio::test]
async fn requests_on_one_connection_are_answered_in_order() {
    let simulation = Simulation::start().await;
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    let bytes = [request("p1", "/book/a"), request("p2", "/look/b"), request("p3", "/long/c")]
        .iter()
        .flat_map(CallerRequest::bytes)
        .collect::<Vec<_>>();
    caller.send_bytes(&bytes).await;
    for id in ["p1", "p2", "p3"] {
        let reply = caller.read_answer().await.expect("an answer");
        assert_eq!((reply.status, reply.header("x-attempt-id")), (200, Some(id)));
        assert!(reply.is_complete);
    }
}

/// Guards against request smuggling: a request in the body of another one must not run.
#[tokio::test]
async fn a_smuggled_request_does_not_run() {
    let simulation = Simulation::start().await;
    let inner = String::from_utf8(request("inner", "/book/x").bytes()).unwrap();
    let outer = format!(
        "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: outer\r\n\
         X-Credential: {}\r\nX-Deadline-Ms: 1000\r\nContent-Length: {}\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        KEY,
        inner.len() + 5,
    );
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    caller.send_bytes(outer.as_bytes()).await;
    let reply = caller.read_answer().await;
    tokio::time::sleep(ms(200)).await;
    assert_eq!(simulation.run_count("inner"), 0, "{reply:?}");
}

/// Guards against chunked bodies that are cut off, and against bodies above the limit that reach an upstream.
#[tokio::test]
async fn chunked_bodies_arrive_complete_and_too_large_ones_are_refused() {
    let simulation = Simulation::start().await;
    let head = |id: &str| {
        format!(
            "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\n\
             X-Credential: {KEY}\r\nX-Deadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
    };
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    caller.send_bytes(head("chunks").as_bytes()).await;
    caller.send_bytes(b"4\r\nabcd\r\n").await;
    tokio::time::sleep(ms(50)).await;
    caller.send_bytes(b"3\r\nefg\r\n0\r\n\r\n").await;
    assert_eq!(caller.read_answer().await.unwrap().status, 200);
    assert_eq!(simulation.received("chunks")[0].request.body, b"abcdefg");
    let big = CallerRequest { body: vec![b'x'; 70_000], ..request("big", "/book/x") };
    assert_eq!(simulation.send(&big).await.map(|reply| reply.status), Some(413));
    assert_eq!(simulation.run_count("big"), 0);
}

/// Guards against a VM without a configuration that answers as if a key or path were wrong.
#[tokio::test]
async fn a_vm_without_a_configuration_refuses_and_is_not_ready() {
    let simulation = Simulation::start().await;
    simulation.store.set_mode(lw_standin::hosted::store::StoreMode::NoAnswer);
    let settings = simulation.further_settings("vm-2");
    let vm = Vm::start(settings.clone(), simulation.logs.clone()).await.unwrap();
    let reply = send(settings.callers, &request("early", "/look/x")).await.unwrap();
    assert_eq!(reply.status, 503, "never 401 or 404: {}", reply.head);
    assert_eq!(common::get(settings.readiness, "/api/readiness").await.unwrap().status, 503);
    drop(vm);
}

/// Guards against a request that is sent along a route with a shorter prefix than another matching one.
#[tokio::test]
async fn the_route_with_the_longest_prefix_is_used() {
    let simulation = Simulation::start().await;
    let mut changed = config(5);
    let mut route = changed["Routes"][0].clone();
    route["Name"] = "deeper".into();
    route["Prefix"] = "/look/deep/".into();
    route["Service"] = "nowhere".into();
    changed["Routes"].as_array_mut().unwrap().push(route);
    simulation.store.put("op/config", &changed);
    simulation
        .wait_until("the deeper route is used", async |simulation| {
            simulation.send(&request("deep", "/look/deep/x")).await.unwrap().status == 503
        })
        .await;
    assert_eq!(simulation.send(&request("flat", "/look/x")).await.unwrap().status, 200);
    assert_eq!(simulation.send(&request("none", "/other/x")).await.unwrap().status, 404);
}
