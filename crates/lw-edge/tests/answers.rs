//! What callers get when upstreams break the protocol, one row for each way and kind of route.
//!
//! Guards against answers that are not the upstream's own, calls that run twice, and refusals that say "not run" of
//! calls that may have run.

mod common;

use common::{Simulation, ms, request};
use lw_standin::{
    hosted::{
        caller::Caller,
        upstream::{Behaviour, EVENTS, event},
    },
    loopback::free_address,
};

const LOOK: &str = "/look/x";
const BOOK: &str = "/book/x";
const LONG: &str = "/long/x";
const SHORT: &str = "/short/x";

/// What a caller must get, and how often the request ran.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Want {
    /// The whole answer of an upstream.
    Answer,
    /// This status with the upstream's authentication code.
    Sealed(u16),
    /// A refusal: it has not run.
    Refused,
    /// A failure that promises nothing, with this status.
    Failed(u16),
    /// An answer that does not look complete.
    Broken,
}

#[tokio::test]
async fn each_fault_of_an_upstream_on_each_kind_of_route() {
    use Want::{Answer, Broken, Failed, Refused, Sealed};
    let simulation = Simulation::start().await;
    let torn = Behaviour::Torn;
    let rows: &[(&str, Behaviour, Want, usize)] = &[
        (LOOK, Behaviour::Sound, Answer, 1),
        (LOOK, Behaviour::Reject, Answer, 1),
        (LOOK, Behaviour::Reset, Answer, 2),
        (LOOK, Behaviour::Status(500), Answer, 2),
        (LOOK, Behaviour::Status(404), Sealed(404), 1),
        (LOOK, Behaviour::Short, Answer, 2),
        (LOOK, Behaviour::Garbage, Answer, 2),
        (LOOK, Behaviour::Foreign, Answer, 2),
        (LOOK, Behaviour::Unframed, Answer, 1),
        (LOOK, Behaviour::UnframedReset, Answer, 2),
        (LOOK, Behaviour::Twice, Answer, 1),
        (BOOK, Behaviour::Sound, Answer, 1),
        (BOOK, Behaviour::Reject, Answer, 1),
        (BOOK, Behaviour::Reset, Failed(502), 1),
        (BOOK, Behaviour::Status(500), Sealed(500), 1),
        (BOOK, Behaviour::Short, Failed(502), 1),
        (BOOK, Behaviour::Garbage, Failed(502), 1),
        (BOOK, Behaviour::Foreign, Failed(502), 1),
        (BOOK, Behaviour::Unframed, Answer, 1),
        (BOOK, Behaviour::UnframedReset, Failed(502), 1),
        (LONG, Behaviour::Sound, Answer, 1),
        (LONG, Behaviour::Reject, Answer, 1),
        (LONG, Behaviour::Reset, Answer, 2),
        (LONG, torn(0), Answer, 2),
        (LONG, torn(2), Answer, 2),
        (LONG, Behaviour::Foreign, Answer, 2),
        (SHORT, Behaviour::Sound, Answer, 1),
        (SHORT, Behaviour::Reject, Refused, 0),
        (SHORT, Behaviour::Reset, Failed(502), 1),
        (SHORT, torn(2), Broken, 1),
        (SHORT, Behaviour::Garbage, Failed(502), 1),
    ];
    for (row, (path, behaviour, want, runs)) in rows.iter().enumerate() {
        // A failed upstream gets no work for a while, which would hide the fault of the next row.
        tokio::time::sleep(ms(if row == 0 { 0 } else { 310 })).await;
        simulation.faults.push(behaviour.clone());
        let id = format!("row-{row}");
        let reply = simulation.send(&request(&id, path)).await;
        let reply = reply.unwrap_or_else(|| panic!("row {row} {path} {behaviour:?}: no answer"));
        let text = format!("row {row} {path} {behaviour:?}: {} {}", reply.head, reply.text());
        let is_sealed = reply.header("x-response-seal").is_some();
        match want {
            Answer => {
                assert_eq!(
                    (reply.status, reply.is_complete, is_sealed),
                    (200, true, true),
                    "{text}"
                );
                assert_eq!(reply.body, whole(path), "{text}");
            }
            Sealed(status) => assert_eq!((reply.status, is_sealed), (*status, true), "{text}"),
            Refused => {
                assert_eq!((reply.status, is_sealed), (503, false), "{text}");
                assert!(reply.header("retry-after").is_some(), "{text}");
            }
            Failed(status) => assert_eq!((reply.status, is_sealed), (*status, false), "{text}"),
            Broken => assert!(!reply.is_complete, "{text}"),
        }
        assert_eq!(reply.header("x-attempt-id"), Some(id.as_str()), "{text}");
        assert_eq!(simulation.run_count(&id), *runs, "{text}");
    }
}

fn whole(path: &str) -> Vec<u8> {
    match path {
        LONG | SHORT => (1..=EVENTS).flat_map(event).collect(),
        _ => b"ok".to_vec(),
    }
}

/// Guards against a stray answer that is taken for the answer to the next request on its connection.
#[tokio::test]
async fn a_second_answer_reaches_nobody() {
    let simulation = Simulation::start().await;
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    for n in 0..12 {
        simulation.faults.push(Behaviour::Twice);
        let id = format!("twice-{n}");
        caller.send(&request(&id, BOOK)).await;
        let reply = caller.receive().await.expect("an answer");
        assert!(matches!(reply.status, 200 | 502), "{}", reply.head);
        assert_eq!(reply.header("x-attempt-id"), Some(id.as_str()));
        assert_eq!(simulation.run_count(&id), 1);
    }
}

/// Guards against work that goes on at an upstream after its caller has left.
#[tokio::test]
async fn a_caller_that_leaves_ends_the_work() {
    let simulation = Simulation::start().await;
    let slow = Behaviour::Slow(ms(10_000));
    let open = |simulation: &Simulation| {
        let all = simulation.servers.iter().chain(&simulation.engines);
        all.map(lw_standin::hosted::upstream::Upstream::open).sum::<usize>()
    };
    for path in [LOOK, BOOK, LONG, SHORT] {
        // Calls for cache events are open all the time.
        simulation.faults.push(slow.clone());
        let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
        let id = format!("leaves-{path}");
        caller.send(&request(&id, path)).await;
        simulation.wait_until("it runs", async |simulation| simulation.run_count(&id) == 1).await;
        drop(caller);
        let started = std::time::Instant::now();
        simulation
            .wait_until("its work ends", async |simulation| {
                open(simulation) <= simulation.engines.len()
            })
            .await;
        assert!(started.elapsed() < ms(500), "{path}: {:?}", started.elapsed());
    }
}

/// Guards against an answer that comes after the route's time, and against one that comes far too early.
#[tokio::test]
async fn a_silent_upstream_is_answered_for_at_the_time_of_the_route() {
    let simulation = Simulation::start().await;
    simulation.servers.iter().for_each(|server| server.always(Behaviour::Silent));
    let started = std::time::Instant::now();
    let reply = simulation.send(&request("silent", BOOK)).await.expect("an answer");
    assert_eq!(reply.status, 504, "{}", reply.head);
    assert!((ms(1_400)..ms(1_900)).contains(&started.elapsed()), "{:?}", started.elapsed());
    assert_eq!(simulation.run_count("silent"), 1);
}

/// Guards against a refusal when the only attempt of a request went to an upstream that cannot be reached: nothing was
/// sent, so another upstream may still get it.
#[tokio::test]
async fn an_upstream_that_cannot_be_reached_takes_no_attempt() {
    let simulation = Simulation::start().await;
    for (dead, service) in [(&simulation.engines[0], "llm"), (&simulation.servers[0], "desk")] {
        let mut entry = dead.entry(service, "kochi-a");
        entry["Address"] = serde_json::json!(free_address().to_string());
        simulation.store.put(&format!("servers/{}", dead.id), &entry);
    }
    tokio::time::sleep(ms(100)).await;
    for n in 0..6 {
        for path in [SHORT, BOOK] {
            let mut req = request(&format!("unreached-{n}{path}"), path);
            // Another prompt each time, so that each engine is preferred by some.
            req.headers = req.headers.replace("a1:", &format!("a{n}:"));
            let reply = simulation.send(&req).await.expect("an answer");
            assert_eq!(reply.status, 200, "{n} {path}: {}", reply.head);
        }
        // An upstream that could not be reached gets no work for a while.
        tokio::time::sleep(ms(310)).await;
    }
}
