//! Answers to callers when upstreams violate the protocol, for each fault and kind of route.
//!
//! Guards against answers that are not the upstream's answer to this request, calls that run twice, and refusals that
//! state "not run" of calls that may have run.

mod common;

use common::{Simulation, ms, request};
use lw_standin::{
    hosted::{
        caller::Caller,
        raw::{AnswerId, End, Framing, RawAnswer},
        upstream::{Behaviour, RefusalId, STREAM_EVENTS, event},
    },
    loopback::free_address,
};

const IDEMPOTENT: &str = "/look/x";
const AT_MOST_ONCE: &str = "/book/x";
const RESUMABLE: &str = "/long/x";
const NOT_RESUMABLE: &str = "/short/x";

/// What the caller must get.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Expected {
    /// The complete answer of an upstream.
    Complete,
    /// This status with the upstream's authentication code.
    Signed(u16),
    /// A refusal, which states that the request has not run.
    Refused,
    /// A failure with this status, which does not state whether the request has run.
    Failed(u16),
    /// An answer that the caller can detect as incomplete.
    Incomplete,
}

#[tokio::test]
async fn each_fault_of_an_upstream_on_each_kind_of_route() {
    use Expected::{Complete, Failed, Incomplete, Refused, Signed};
    let torn = Behaviour::ResetInEvent;
    check_rows(&[
        (IDEMPOTENT, Behaviour::Normal, Complete, 1),
        (IDEMPOTENT, Behaviour::Reject, Complete, 1),
        (IDEMPOTENT, Behaviour::Reset, Complete, 2),
        (IDEMPOTENT, Behaviour::Status(500), Complete, 2),
        (IDEMPOTENT, Behaviour::Status(404), Signed(404), 1),
        (IDEMPOTENT, Behaviour::Truncated, Complete, 2),
        (IDEMPOTENT, Behaviour::InvalidBytes, Complete, 2),
        (IDEMPOTENT, Behaviour::AnswerOfOtherRequest, Complete, 2),
        (IDEMPOTENT, Behaviour::NoLength, Complete, 1),
        (IDEMPOTENT, Behaviour::NoLengthReset, Complete, 2),
        (IDEMPOTENT, Behaviour::AnswerTwice, Complete, 1),
        (AT_MOST_ONCE, Behaviour::Normal, Complete, 1),
        (AT_MOST_ONCE, Behaviour::Reject, Complete, 1),
        (AT_MOST_ONCE, Behaviour::Reset, Failed(502), 1),
        (AT_MOST_ONCE, Behaviour::Status(500), Signed(500), 1),
        (AT_MOST_ONCE, Behaviour::Truncated, Failed(502), 1),
        (AT_MOST_ONCE, Behaviour::InvalidBytes, Failed(502), 1),
        (AT_MOST_ONCE, Behaviour::AnswerOfOtherRequest, Failed(502), 1),
        (AT_MOST_ONCE, Behaviour::NoLength, Complete, 1),
        (AT_MOST_ONCE, Behaviour::NoLengthReset, Failed(502), 1),
        (RESUMABLE, Behaviour::Normal, Complete, 1),
        (RESUMABLE, Behaviour::Reject, Complete, 1),
        (RESUMABLE, Behaviour::Reset, Complete, 2),
        (RESUMABLE, torn(0), Complete, 2),
        (RESUMABLE, torn(2), Complete, 2),
        (RESUMABLE, Behaviour::AnswerOfOtherRequest, Complete, 2),
        (NOT_RESUMABLE, Behaviour::Normal, Complete, 1),
        (NOT_RESUMABLE, Behaviour::Reject, Refused, 0),
        (NOT_RESUMABLE, Behaviour::Reset, Failed(502), 1),
        (NOT_RESUMABLE, torn(2), Incomplete, 1),
        (NOT_RESUMABLE, Behaviour::InvalidBytes, Failed(502), 1),
    ])
    .await;
}

type Row = (&'static str, Behaviour, Expected, usize);

/// Returns what is expected on each kind of route of an answer that does not count as one: the request runs elsewhere if it may run
/// again.
fn rows_of_no_answer(raw: RawAnswer) -> [Row; 4] {
    use Expected::{Complete, Failed};
    let answer = Behaviour::Raw(Box::new(raw));
    [
        (IDEMPOTENT, answer.clone(), Complete, 2),
        (AT_MOST_ONCE, answer.clone(), Failed(502), 1),
        (RESUMABLE, answer.clone(), Complete, 2),
        (NOT_RESUMABLE, answer, Failed(502), 1),
    ]
}

/// Sends a request for each row: its path, the fault of the upstream, what the caller must get, and how often it must run.
async fn check_rows(rows: &[Row]) {
    use Expected::{Complete, Failed, Incomplete, Refused, Signed};
    let simulation = Simulation::start().await;
    for (row, (path, behaviour, expected, run_count)) in rows.iter().enumerate() {
        // A failed upstream gets no work for a while, which would hide the fault of the next row.
        tokio::time::sleep(ms(if row == 0 { 0 } else { 310 })).await;
        simulation.faults.push(behaviour.clone());
        let id = format!("row-{row}");
        let reply = simulation.send(&request(&id, path)).await;
        let reply = reply.unwrap_or_else(|| panic!("row {row} {path} {behaviour:?}: no answer"));
        let text = format!("row {row} {path} {behaviour:?}: {} {}", reply.head, reply.text());
        let is_signed = reply.header("x-response-seal").is_some();
        match expected {
            Complete => {
                assert_eq!(
                    (reply.status, reply.is_complete, is_signed),
                    (200, true, true),
                    "{text}"
                );
                assert_eq!(reply.body, complete_body(path), "{text}");
            }
            Signed(status) => assert_eq!((reply.status, is_signed), (*status, true), "{text}"),
            Refused => {
                assert_eq!((reply.status, is_signed), (503, false), "{text}");
                assert!(reply.header("retry-after").is_some(), "{text}");
            }
            Failed(status) => assert_eq!((reply.status, is_signed), (*status, false), "{text}"),
            Incomplete => assert!(!reply.is_complete, "{text}"),
        }
        assert_eq!(reply.header("x-attempt-id"), Some(id.as_str()), "{text}");
        assert_eq!(simulation.run_count(&id), *run_count, "{text}");
    }
}

fn complete_body(path: &str) -> Vec<u8> {
    match path {
        RESUMABLE | NOT_RESUMABLE => (1..=STREAM_EVENTS).flat_map(event).collect(),
        _ => b"ok".to_vec(),
    }
}

/// Guards against a refusal that an engine repeats on a kept connection and that is taken for the answer to a request which the
/// engine runs: the caller would be told that it has not run, or it would run at a second engine.
#[tokio::test]
async fn a_repeated_refusal_of_an_earlier_request_does_not_count() {
    use Expected::{Complete, Failed};
    let refusal = Behaviour::RefuseAfterRun;
    let mut rows = Vec::new();
    for id in [RefusalId::Missing, RefusalId::Earlier] {
        rows.extend([
            (IDEMPOTENT, refusal(id), Complete, 2),
            (AT_MOST_ONCE, refusal(id), Failed(502), 1),
            (RESUMABLE, refusal(id), Complete, 2),
            (NOT_RESUMABLE, refusal(id), Failed(502), 1),
        ]);
    }
    // An upstream that answers so without stating that it has not run the request may have run it.
    for status in [408, 429, 503] {
        rows.push((AT_MOST_ONCE, Behaviour::Status(status), Failed(502), 1));
        rows.push((NOT_RESUMABLE, Behaviour::Status(status), Failed(502), 1));
    }
    check_rows(&rows).await;
}

/// Guards against an answer without an id, which may be a second answer to an earlier request, that is relayed as the answer to
/// this one.
#[tokio::test]
async fn an_answer_without_the_request_id_does_not_count() {
    let mut rows = Vec::new();
    for status in [200, 304, 400, 404, 500] {
        for (framing, end) in [(Framing::Length, End::Kept), (Framing::None, End::Closed)] {
            let raw =
                RawAnswer { status, framing, end, id: AnswerId::Missing, ..Default::default() };
            rows.extend(rows_of_no_answer(raw));
        }
    }
    check_rows(&rows).await;
}

/// Guards against a switch to another protocol, which no caller asked for, that is relayed as the answer to a request.
#[tokio::test]
async fn a_switch_of_protocols_is_no_answer() {
    check_rows(&rows_of_no_answer(RawAnswer { status: 101, ..Default::default() })).await;
}

/// Guards against a success that reaches its caller without the authentication code or the id, since the upstream names that
/// header as one for its connection only.
#[tokio::test]
async fn an_answer_whose_authentication_code_is_not_relayed_does_not_count() {
    let mut rows = Vec::new();
    for name in ["X-Response-Seal", "keep-alive, x-attempt-id"] {
        let raw = RawAnswer { lines: format!("Connection: {name}\r\n"), ..Default::default() };
        rows.extend(rows_of_no_answer(raw));
    }
    check_rows(&rows).await;
}

/// Guards against an encoded body that reaches its caller without the header which says so.
#[tokio::test]
async fn an_answer_with_a_transfer_encoding_besides_chunks_does_not_count() {
    let framing = Framing::ChunkedWith("transfer-encoding: gzip, chunked\r\n");
    check_rows(&rows_of_no_answer(RawAnswer { framing, ..Default::default() })).await;
}

/// Guards against a length that callers cannot read, since the upstream stated it as a list.
#[tokio::test]
async fn a_length_that_is_stated_twice_reaches_the_caller_once() {
    let simulation = Simulation::start().await;
    let framings =
        ["content-length: LEN, LEN\r\n", "content-length: LEN\r\nContent-Length: LEN\r\n"];
    for (row, lines) in framings.into_iter().enumerate() {
        let raw = RawAnswer { framing: Framing::Lines(lines), ..Default::default() };
        simulation.faults.push(Behaviour::Raw(Box::new(raw)));
        let reply = simulation.send(&request(&format!("twice-{row}"), IDEMPOTENT)).await.unwrap();
        assert_eq!(reply.header("content-length"), Some("2"), "{}", reply.head);
        assert_eq!(reply.head.to_ascii_lowercase().matches("content-length").count(), 1);
        assert_eq!(reply.body, b"ok", "{}", reply.head);
    }
}

/// Guards against an answer to another request that is relayed since it has the id of this one as well.
#[tokio::test]
async fn an_answer_with_two_request_ids_does_not_count() {
    let mut rows = Vec::new();
    for status in [200, 404] {
        let raw = RawAnswer { status, id: AnswerId::Two, ..Default::default() };
        rows.extend(rows_of_no_answer(raw));
    }
    check_rows(&rows).await;
}

/// Guards against a connection that is used again although the answer to the request before is still to come on it.
#[tokio::test]
async fn a_connection_with_a_repeated_refusal_is_not_used_again() {
    let simulation = Simulation::start().await;
    for n in 0..4 {
        simulation.faults.push(Behaviour::RefuseAfterRun(RefusalId::Earlier));
        let reply = simulation.send(&request(&format!("refused-{n}"), AT_MOST_ONCE)).await;
        assert_eq!(reply.map(|reply| reply.status), Some(502));
        for next in 0..3 {
            let reply = simulation.send(&request(&format!("next-{n}-{next}"), AT_MOST_ONCE)).await;
            assert_eq!(reply.map(|reply| reply.status), Some(200), "{n} {next}");
        }
    }
}

/// Guards against the text of an error, or its head, in the middle of a caller's stream, and against a stream that ends as
/// complete since the engine that resumed it sent an error or nothing.
#[tokio::test]
async fn an_error_in_the_middle_of_a_stream_is_not_relayed() {
    use Expected::{Complete, Incomplete};
    const TEXT: &[u8] = b"internal error: out of memory\n\n";
    const HEAD: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 5\r\n\r\nerror";
    let simulation = Simulation::start().await;
    let resumed: [(&str, &'static [u8]); 4] = [
        ("text", TEXT),
        ("head", HEAD),
        ("empty", b""),
        ("earlier-events", b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"),
    ];
    for (name, bytes) in resumed {
        simulation.faults.push(Behaviour::ResetInEvent(2));
        simulation.faults.push(Behaviour::ResumeWith(bytes));
        let reply = simulation.send(&request(name, RESUMABLE)).await.expect("an answer");
        let text = format!("{name}: {}", reply.text());
        assert!(!reply.is_complete, "{text}");
        assert!(complete_body(RESUMABLE).starts_with(&reply.body), "{text}");
        simulation.faults.clear();
        tokio::time::sleep(ms(1_600)).await;
    }
    let rows = [
        (RESUMABLE, Behaviour::EventsThen(2, TEXT), Complete, 2),
        (RESUMABLE, Behaviour::EventsThen(2, HEAD), Complete, 2),
        (NOT_RESUMABLE, Behaviour::EventsThen(2, TEXT), Incomplete, 1),
        (NOT_RESUMABLE, Behaviour::EventsThen(2, HEAD), Incomplete, 1),
        (NOT_RESUMABLE, Behaviour::EventsThen(5, HEAD), Incomplete, 1),
    ];
    check_rows(&rows).await;
}

/// Guards against a second answer to one request that is taken for the answer to the next request on the connection.
#[tokio::test]
async fn a_second_answer_to_a_request_is_discarded() {
    let simulation = Simulation::start().await;
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    for n in 0..12 {
        simulation.faults.push(Behaviour::AnswerTwice);
        let id = format!("twice-{n}");
        caller.send(&request(&id, AT_MOST_ONCE)).await;
        let reply = caller.read_answer().await.expect("an answer");
        assert!(matches!(reply.status, 200 | 502), "{}", reply.head);
        assert_eq!(reply.header("x-attempt-id"), Some(id.as_str()));
        assert_eq!(simulation.run_count(&id), 1);
    }
}

/// Guards against an upstream that still works on a request after the caller has left.
#[tokio::test]
async fn a_request_is_cancelled_at_its_upstream_when_the_caller_leaves() {
    let simulation = Simulation::start().await;
    let slow = Behaviour::Slow(ms(10_000));
    let open = |simulation: &Simulation| {
        let all = simulation.servers.iter().chain(&simulation.engines);
        all.map(lw_standin::hosted::upstream::Upstream::open_requests).sum::<usize>()
    };
    for path in [IDEMPOTENT, AT_MOST_ONCE, RESUMABLE, NOT_RESUMABLE] {
        // Each engine always has one open call for its cache events.
        simulation.faults.push(slow.clone());
        let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
        let id = format!("leaves-{path}");
        caller.send(&request(&id, path)).await;
        simulation
            .wait_until("the request runs", async |simulation| simulation.run_count(&id) == 1)
            .await;
        drop(caller);
        let started = std::time::Instant::now();
        simulation
            .wait_until("the request is cancelled", async |simulation| {
                open(simulation) <= simulation.engines.len()
            })
            .await;
        assert!(started.elapsed() < ms(500), "{path}: {:?}", started.elapsed());
    }
}

/// Guards against a failure that is sent later than the route's timeout, or long before it.
#[tokio::test]
async fn a_request_at_an_unresponsive_upstream_fails_at_the_timeout_of_the_route() {
    let simulation = Simulation::start().await;
    simulation.servers.iter().for_each(|server| server.set_behaviour(Behaviour::NoAnswer));
    let started = std::time::Instant::now();
    let reply = simulation.send(&request("silent", AT_MOST_ONCE)).await.expect("an answer");
    assert_eq!(reply.status, 504, "{}", reply.head);
    assert!((ms(1_400)..ms(1_900)).contains(&started.elapsed()), "{:?}", started.elapsed());
    assert_eq!(simulation.run_count("silent"), 1);
}

/// Guards against a refusal when the only allowed attempt of a request went to an upstream that cannot be reached.
/// Nothing was sent then, so the request may still go to another upstream.
#[tokio::test]
async fn an_unreachable_upstream_does_not_count_as_an_attempt() {
    let simulation = Simulation::start().await;
    for (unreachable, service) in
        [(&simulation.engines[0], "llm"), (&simulation.servers[0], "desk")]
    {
        let mut entry = unreachable.registry_entry(service, "kochi-a");
        entry["Address"] = serde_json::json!(free_address().to_string());
        simulation.store.put(&format!("servers/{}", unreachable.id), &entry);
    }
    tokio::time::sleep(ms(100)).await;
    for n in 0..6 {
        for path in [NOT_RESUMABLE, AT_MOST_ONCE] {
            let mut req = request(&format!("unreached-{n}{path}"), path);
            // The prompt differs each time, so that each engine is preferred for some of the requests.
            req.headers = req.headers.replace("a1:", &format!("a{n}:"));
            let reply = simulation.send(&req).await.expect("an answer");
            assert_eq!(reply.status, 200, "{n} {path}: {}", reply.head);
        }
        // An upstream that could not be reached gets no work for a while.
        tokio::time::sleep(ms(310)).await;
    }
}
