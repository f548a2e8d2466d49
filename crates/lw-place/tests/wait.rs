//! Guards against refusals of requests that an engine could serve in the time that the caller has.

mod common;

use common::{engine, ms, pool, prompt, request};
use lw_place::{PlacementRequest, Prompt, Refusal, Segment, UpstreamPool};

/// Returns a prompt that shares no segment with others.
fn unshared(id: u64, tokens: u64) -> Prompt {
    Prompt { segments: vec![Segment { id, tokens }], tokens, ..prompt("m") }
}

fn engines(ids: &[&str]) -> UpstreamPool {
    let mut pool = pool();
    for id in ids {
        pool.put(&engine(id, "m", 1));
    }
    pool
}

/// Sends a prompt to an engine, however long it waits there. It is not late, so that others have to wait for it.
fn send_to(pool: &mut UpstreamPool, id: &str, prompt: &Prompt) -> u64 {
    let request =
        PlacementRequest { returns_to: Some(id), time_to_target: ms(60_000), ..request(prompt) };
    let placement = pool.place(ms(0), &request).unwrap();
    pool.record_sent(ms(0), &placement, Some(prompt)).0
}

/// Makes a new request wait for 1,133 ms at an engine: five prefills of 17,000 tokens at 75 tokens/ms.
fn fill(pool: &mut UpstreamPool, id: &str) {
    for segment in 0..5 {
        send_to(pool, id, &unshared(1_000 + segment, 17_000));
    }
}

/// Guards against a limit on the wait that includes the own prefill of a request.
#[test]
fn the_largest_prompt_is_placed_on_an_idle_engine() {
    let pool = engines(&["e1", "e2"]);
    let largest = unshared(1, 93_000);
    let placement = pool.place(ms(0), &request(&largest)).unwrap();
    assert!(placement.expected_latency > ms(1_200), "{placement:?}");
    // The deadline still counts: the prefill takes 1,240 ms.
    let short = PlacementRequest { time_left: ms(1_200), ..request(&largest) };
    let refusal = pool.place(ms(0), &short).unwrap_err();
    assert!(matches!(refusal, Refusal::WaitTooLong(time) if time > ms(1_200)), "{refusal}");
}

/// Guards against large prompts that wait for others until their callers have left.
#[test]
fn the_largest_prompt_is_refused_where_it_waits_too_long_for_others() {
    let mut pool = engines(&["e1"]);
    fill(&mut pool, "e1");
    let largest = unshared(1, 93_000);
    let refusal = pool.place(ms(0), &request(&largest)).unwrap_err();
    assert!(matches!(refusal, Refusal::WaitTooLong(time) if time > ms(2_300)), "{refusal}");
    // A further attempt of a request that failed elsewhere is placed all the same.
    let tried = ["e0".to_owned()];
    assert!(pool.place(ms(0), &PlacementRequest { tried: &tried, ..request(&largest) }).is_ok());
}

/// Guards against a refusal because of the cheapest engine alone, while another one can serve the request.
#[test]
fn a_request_is_placed_where_its_wait_is_not_too_long() {
    let mut pool = engines(&["e1", "e2"]);
    let large = unshared(1, 60_000);
    // `e1` has cached the prompt, so that it is cheapest although it has much to do.
    let attempt = send_to(&mut pool, "e1", &large);
    pool.record_started(ms(0), "e1", attempt);
    pool.record_ended(ms(0), "e1", attempt, lw_place::Ended::Complete);
    fill(&mut pool, "e1");
    let patient = PlacementRequest { max_wait: ms(60_000), ..request(&large) };
    assert_eq!(pool.place(ms(0), &patient).unwrap().upstream.id, "e1", "the cheapest");
    assert_eq!(pool.place(ms(0), &request(&large)).unwrap().upstream.id, "e2");
    // Also if it waits there, but not for too long.
    send_to(&mut pool, "e2", &unshared(2, 17_000));
    assert_eq!(pool.place(ms(0), &request(&large)).unwrap().upstream.id, "e2");
    // It is refused once its wait is too long at both.
    fill(&mut pool, "e2");
    let refusal = pool.place(ms(0), &request(&large)).unwrap_err();
    assert!(matches!(refusal, Refusal::WaitTooLong(_)), "{refusal}");
    // A further attempt prefers an engine at which its wait is not too long, too.
    let mut pool = engines(&["e1", "e2"]);
    fill(&mut pool, "e1");
    let tried = ["e0".to_owned()];
    let again = unshared(1, 17_000);
    let again = PlacementRequest { tried: &tried, ..request(&again) };
    assert_eq!(pool.place(ms(0), &again).unwrap().upstream.id, "e2");
}
