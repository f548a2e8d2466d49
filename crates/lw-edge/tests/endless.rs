//! Guards against upstreams and a store that send bytes without end, in a head, a body, an event or after an answer: the
//! process must not grow, the connection must be closed, and the caller gets an answer that is true.

mod common;
mod endless_answers;

use std::time::Instant;

use common::{Simulation, ms, request};
use endless_answers::{CHUNKED_HEAD, COMPLETE_ANSWER, UNFRAMED_HEAD, chunk, endless_answers};
use lw_standin::hosted::{
    store::Mode,
    upstream::{Behaviour, Upstream},
};

/// Time from the bound to the end of the connection.
const CLOSE_TIME: std::time::Duration = std::time::Duration::from_secs(1);
async fn closed(simulation: &Simulation) {
    let ended = Instant::now();
    let open = |simulation: &Simulation| {
        simulation.servers.iter().chain(&simulation.engines).map(Upstream::open).sum::<usize>()
    };
    // Calls for cache events wait at the engines.
    simulation
        .wait_until("the connections are closed", async |simulation| {
            open(simulation) <= simulation.engines.len()
        })
        .await;
    assert!(ended.elapsed() < CLOSE_TIME, "closed {:?} after the answer", ended.elapsed());
}

#[tokio::test]
async fn a_plain_answer_without_end_is_not_passed_on() {
    let simulation = Simulation::start().await;
    for (row, way) in endless_answers().into_iter().enumerate() {
        // A failed upstream gets no work for a while, which would hide the fault of the next row.
        tokio::time::sleep(ms(310)).await;
        simulation.faults.push(way.clone());
        let reply = simulation.send(&request(&format!("look-{row}"), "/look/x")).await.unwrap();
        assert_eq!((reply.status, reply.is_complete), (200, true), "row {row}: {}", reply.head);
        assert_eq!(reply.body, b"ok", "row {row}");
        closed(&simulation).await;
        tokio::time::sleep(ms(310)).await;
        simulation.faults.push(way.clone());
        let id = format!("book-{row}");
        let reply = simulation.send(&request(&id, "/book/x")).await.unwrap();
        assert_eq!(
            (reply.status, simulation.run_count(&id)),
            (502, 1),
            "row {row}: {}",
            reply.head
        );
        closed(&simulation).await;
    }
}

/// An event without an end is no reason to lose the stream: another engine goes on with it.
#[tokio::test]
async fn a_stream_whose_event_has_no_end_goes_on_elsewhere() {
    let simulation = Simulation::start().await;
    for (row, way) in
        [Behaviour::Endless(CHUNKED_HEAD, chunk()), Behaviour::Endless(UNFRAMED_HEAD, chunk())]
            .iter()
            .enumerate()
    {
        tokio::time::sleep(ms(310)).await;
        simulation.faults.push(way.clone());
        let reply = simulation.send(&request(&format!("long-{row}"), "/long/x")).await.unwrap();
        assert!(reply.is_complete, "row {row}: {}", reply.head);
        let events: Vec<u8> = (1..=lw_standin::hosted::upstream::EVENTS)
            .flat_map(lw_standin::hosted::upstream::event)
            .collect();
        assert_eq!(reply.body, events, "row {row}");
        closed(&simulation).await;
    }
}

/// Bytes that follow an answer belong to no request, and the connection is not used again.
#[tokio::test]
async fn bytes_without_end_after_an_answer_end_the_connection() {
    let simulation = Simulation::start().await;
    for round in 0..6 {
        simulation.faults.push(Behaviour::Endless(
            COMPLETE_ANSWER,
            b"HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nother",
        ));
        let reply = simulation.send(&request(&format!("first-{round}"), "/look/x")).await.unwrap();
        assert_eq!(reply.body, b"ok");
        closed(&simulation).await;
        let id = format!("next-{round}");
        let reply = simulation.send(&request(&id, "/book/x")).await.unwrap();
        assert_eq!((reply.status, reply.header("x-attempt-id")), (200, Some(id.as_str())));
        assert_eq!(reply.body, b"ok");
    }
}

/// A store that sends without end counts as one that does not answer, and serves again afterwards.
#[tokio::test]
async fn a_store_that_sends_without_end_is_left() {
    let simulation = Simulation::start().await;
    simulation.store.set_mode(Mode::Endless);
    let refused = async |simulation: &Simulation| {
        simulation.send(&request("e", "/look/x")).await.is_some_and(|reply| reply.status == 503)
    };
    simulation.wait_until("keys are refused", refused).await;
    simulation.store.set_mode(Mode::Sound);
    let serves = async |simulation: &Simulation| {
        simulation.send(&request("g", "/look/x")).await.is_some_and(|reply| reply.status == 200)
    };
    simulation.wait_until("keys are used again", serves).await;
}
