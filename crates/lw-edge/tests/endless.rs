//! Guards against upstreams and a store that send bytes without end, in a head, a body, an event or after an answer: the
//! process must not grow, the connection must be closed, and the caller gets an answer that is true.

mod common;
mod ways;

use std::time::Instant;

use common::{World, ms, request};
use lw_standin::hosted::{
    store::Mode,
    upstream::{Behaviour, Upstream},
};
use ways::{CHUNKED, UNFRAMED, WHOLE, chunk, ways};

/// Time from the bound to the end of the connection.
const CLOSE_TIME: std::time::Duration = std::time::Duration::from_secs(1);
async fn closed(world: &World) {
    let ended = Instant::now();
    let open = |world: &World| {
        world.servers.iter().chain(&world.engines).map(Upstream::open).sum::<usize>()
    };
    // Calls for cache events wait at the engines.
    world
        .until("the connections are closed", async |world| open(world) <= world.engines.len())
        .await;
    assert!(ended.elapsed() < CLOSE_TIME, "closed {:?} after the answer", ended.elapsed());
}

#[tokio::test]
async fn a_plain_answer_without_end_is_not_passed_on() {
    let world = World::start().await;
    for (row, way) in ways().into_iter().enumerate() {
        // A failed upstream gets no work for a while, which would hide the fault of the next row.
        tokio::time::sleep(ms(310)).await;
        world.faults.push(way.clone());
        let reply = world.send(&request(&format!("look-{row}"), "/look/x")).await.unwrap();
        assert_eq!((reply.status, reply.is_complete), (200, true), "row {row}: {}", reply.head);
        assert_eq!(reply.body, b"ok", "row {row}");
        closed(&world).await;
        tokio::time::sleep(ms(310)).await;
        world.faults.push(way.clone());
        let id = format!("book-{row}");
        let reply = world.send(&request(&id, "/book/x")).await.unwrap();
        assert_eq!((reply.status, world.runs(&id)), (502, 1), "row {row}: {}", reply.head);
        closed(&world).await;
    }
}

/// An event without an end is no reason to lose the stream: another engine goes on with it.
#[tokio::test]
async fn a_stream_whose_event_has_no_end_goes_on_elsewhere() {
    let world = World::start().await;
    for (row, way) in [Behaviour::Endless(CHUNKED, chunk()), Behaviour::Endless(UNFRAMED, chunk())]
        .iter()
        .enumerate()
    {
        tokio::time::sleep(ms(310)).await;
        world.faults.push(way.clone());
        let reply = world.send(&request(&format!("long-{row}"), "/long/x")).await.unwrap();
        assert!(reply.is_complete, "row {row}: {}", reply.head);
        let events: Vec<u8> = (1..=lw_standin::hosted::upstream::EVENTS)
            .flat_map(lw_standin::hosted::upstream::event)
            .collect();
        assert_eq!(reply.body, events, "row {row}");
        closed(&world).await;
    }
}

/// Bytes that follow an answer belong to no request, and the connection is not used again.
#[tokio::test]
async fn bytes_without_end_after_an_answer_end_the_connection() {
    let world = World::start().await;
    for round in 0..6 {
        world
            .faults
            .push(Behaviour::Endless(WHOLE, b"HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nother"));
        let reply = world.send(&request(&format!("first-{round}"), "/look/x")).await.unwrap();
        assert_eq!(reply.body, b"ok");
        closed(&world).await;
        let id = format!("next-{round}");
        let reply = world.send(&request(&id, "/book/x")).await.unwrap();
        assert_eq!((reply.status, reply.header("x-attempt-id")), (200, Some(id.as_str())));
        assert_eq!(reply.body, b"ok");
    }
}

/// A store that sends without end counts as one that does not answer, and serves again afterwards.
#[tokio::test]
async fn a_store_that_sends_without_end_is_left() {
    let world = World::start().await;
    world.store.set_mode(Mode::Endless);
    let refused = async |world: &World| {
        world.send(&request("e", "/look/x")).await.is_some_and(|reply| reply.status == 503)
    };
    world.until("keys are refused", refused).await;
    world.store.set_mode(Mode::Sound);
    let serves = async |world: &World| {
        world.send(&request("g", "/look/x")).await.is_some_and(|reply| reply.status == 200)
    };
    world.until("keys are used again", serves).await;
}
