//! Guards against upstreams and a store that send bytes without end, in a head, a body, an event or after an answer.
//! The process must not grow, the connection must be closed, and the caller must get a correct answer or a failure.

mod common;
mod endless_answers;

use std::time::Instant;

use common::{Simulation, ms, request};
use endless_answers::{CHUNKED_HEAD, COMPLETE_ANSWER, UNFRAMED_HEAD, chunk, endless_answers};
use lw_standin::hosted::{
    store::StoreMode,
    upstream::{Behaviour, Upstream},
};

/// Longest time from the answer to the caller until the connection is closed.
const CLOSE_MAX: std::time::Duration = std::time::Duration::from_secs(1);

/// Waits until the connections to the upstreams are closed.
async fn wait_until_closed(simulation: &Simulation) {
    let answered_at = Instant::now();
    let open = |simulation: &Simulation| {
        simulation
            .servers
            .iter()
            .chain(&simulation.engines)
            .map(Upstream::open_requests)
            .sum::<usize>()
    };
    // Each engine always has one open call for its cache events.
    simulation
        .wait_until("the connections are closed", async |simulation| {
            open(simulation) <= simulation.engines.len()
        })
        .await;
    assert!(
        answered_at.elapsed() < CLOSE_MAX,
        "closed {:?} after the answer",
        answered_at.elapsed()
    );
}

/// Guards against an answer without end that reaches the caller, and against a retry of a call that must run once.
#[tokio::test]
async fn a_plain_answer_without_end_is_discarded() {
    let simulation = Simulation::start().await;
    for (row, endless) in endless_answers().into_iter().enumerate() {
        // A failed upstream gets no work for a while, which would hide the fault of the next row.
        tokio::time::sleep(ms(310)).await;
        simulation.faults.push(endless.clone());
        let reply = simulation.send(&request(&format!("look-{row}"), "/look/x")).await.unwrap();
        assert_eq!((reply.status, reply.is_complete), (200, true), "row {row}: {}", reply.head);
        assert_eq!(reply.body, b"ok", "row {row}");
        wait_until_closed(&simulation).await;
        tokio::time::sleep(ms(310)).await;
        simulation.faults.push(endless.clone());
        let id = format!("book-{row}");
        let reply = simulation.send(&request(&id, "/book/x")).await.unwrap();
        assert_eq!(
            (reply.status, simulation.run_count(&id)),
            (502, 1),
            "row {row}: {}",
            reply.head
        );
        wait_until_closed(&simulation).await;
    }
}

/// Guards against a stream that fails because one engine sends an event without end. Another engine must resume it.
#[tokio::test]
async fn a_stream_with_an_event_without_end_is_resumed_at_another_engine() {
    let simulation = Simulation::start().await;
    for (row, endless) in
        [Behaviour::Endless(CHUNKED_HEAD, chunk()), Behaviour::Endless(UNFRAMED_HEAD, chunk())]
            .iter()
            .enumerate()
    {
        tokio::time::sleep(ms(310)).await;
        simulation.faults.push(endless.clone());
        let reply = simulation.send(&request(&format!("long-{row}"), "/long/x")).await.unwrap();
        assert!(reply.is_complete, "row {row}: {}", reply.head);
        let events: Vec<u8> = (1..=lw_standin::hosted::upstream::STREAM_EVENTS)
            .flat_map(lw_standin::hosted::upstream::event)
            .collect();
        assert_eq!(reply.body, events, "row {row}");
        wait_until_closed(&simulation).await;
    }
}

/// Guards against bytes after an answer that are taken for the answer to the next request. The connection must not be
/// used again.
#[tokio::test]
async fn a_connection_with_bytes_after_an_answer_is_closed() {
    let simulation = Simulation::start().await;
    for round in 0..6 {
        simulation.faults.push(Behaviour::Endless(
            COMPLETE_ANSWER,
            b"HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nother",
        ));
        let reply = simulation.send(&request(&format!("first-{round}"), "/look/x")).await.unwrap();
        assert_eq!(reply.body, b"ok");
        wait_until_closed(&simulation).await;
        let id = format!("next-{round}");
        let reply = simulation.send(&request(&id, "/book/x")).await.unwrap();
        assert_eq!((reply.status, reply.header("x-attempt-id")), (200, Some(id.as_str())));
        assert_eq!(reply.body, b"ok");
    }
}

/// Guards against a store that sends without end and is not treated as unavailable, or not used again afterwards.
#[tokio::test]
async fn a_store_that_sends_without_end_counts_as_unavailable() {
    let simulation = Simulation::start().await;
    simulation.store.set_mode(StoreMode::Endless);
    let refused = async |simulation: &Simulation| {
        simulation.send(&request("e", "/look/x")).await.is_some_and(|reply| reply.status == 503)
    };
    simulation.wait_until("keys are refused", refused).await;
    simulation.store.set_mode(StoreMode::Normal);
    let serves = async |simulation: &Simulation| {
        simulation.send(&request("g", "/look/x")).await.is_some_and(|reply| reply.status == 200)
    };
    simulation.wait_until("keys are used again", serves).await;
}
