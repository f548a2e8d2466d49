//! Guards against streams that reach the caller incomplete, or with events of another stream, duplicate or reordered
//! events.

use std::time::Duration;

use futures::future::join_all;
use lw_protocol::upstream::RefusalReason;
use lw_standin::{
    engine::{self, Faults, StreamFaults, answer_text},
    serve::HttpFaults,
};
use serde_json::json;

mod common;

use common::{CompletionRequest, Fleet, Options};

const TOKENS: u64 = 40;
/// Settings under which a pause of 1.2 s counts as silence and no retry is allowed.
const NO_RETRIES: &str = "timeouts:\n  stream_silence: 300ms\nlimits:\n  min_retries: 0\n";
/// The same with enough retries.
const MANY_RETRIES: &str = "timeouts:\n  stream_silence: 300ms\nlimits:\n  min_retries: 1000\n";
/// One token takes 1.2 s instead of 2 ms.
const PAUSE_PERCENT: u32 = 60_000;

/// Faults of an engine's next streams, each with its name, which is also part of the prompt.
fn stream_faults() -> Vec<(&'static str, StreamFaults)> {
    let none = StreamFaults::default();
    vec![
        ("duplicated", StreamFaults { duplicate_every: 3, ..none.clone() }),
        ("reordered", StreamFaults { reorder_every: 4, ..none.clone() }),
        ("crossed", StreamFaults { cross_every: 5, ..none.clone() }),
        (
            "duplicated, reordered and crossed",
            StreamFaults { duplicate_every: 3, reorder_every: 4, cross_every: 5, ..none.clone() },
        ),
        ("cut", StreamFaults { drop_after: Some(9), times: Some(1), ..none.clone() }),
        (
            "cut before the first token",
            StreamFaults { drop_after: Some(0), times: Some(1), ..none.clone() },
        ),
        ("lost token", StreamFaults { lose_every: 11, times: Some(1), ..none.clone() }),
        ("silent", StreamFaults { silent_after: Some(6), times: Some(1), ..none.clone() }),
        (
            "reordered, then cut",
            StreamFaults { reorder_every: 2, drop_after: Some(9), times: Some(1), ..none },
        ),
    ]
}

#[tokio::test]
async fn answers_are_complete_and_correct_despite_stream_faults() {
    let settings = MANY_RETRIES.to_owned();
    let fleet =
        Fleet::start("streams", Options { engines: 5, settings, ..Options::default() }).await;
    for (name, stream) in stream_faults() {
        // Two of five engines have the fault, so that an answer that meets it twice can still be resumed.
        let faults = Faults { stream, ..Faults::default() };
        for engine in &fleet.engines[..2] {
            fleet.set_faults(engine.address(), &faults).await;
        }
        for round in 0..4 {
            let prompt = format!("{name} {round}");
            let answer = fleet.complete(CompletionRequest::new(0, &prompt, TOKENS)).await;
            assert_eq!(answer.text, answer_text(&prompt, TOKENS), "{prompt}: {:?}", answer.error);
            assert!(answer.is_done, "{prompt}");
        }
        for engine in &fleet.engines {
            fleet.set_faults(engine.address(), &Faults::default()).await;
        }
    }
}

#[tokio::test]
async fn stream_that_no_engine_completes_ends_with_an_error() {
    let fleet = Fleet::start("broken", Options { engines: 2, ..Options::default() }).await;
    let stream = StreamFaults { drop_after: Some(5), ..StreamFaults::default() };
    for engine in &fleet.engines {
        fleet
            .set_faults(engine.address(), &Faults { stream: stream.clone(), ..Faults::default() })
            .await;
    }
    let answer = fleet.complete(CompletionRequest::new(0, "a prompt", TOKENS)).await;
    assert!(!answer.is_done, "an incomplete answer looks complete");
    assert!(!answer.error.is_null(), "no explicit error: {answer:?}");
    assert!(answer_text("a prompt", TOKENS).starts_with(&answer.text));
}

#[tokio::test]
async fn unresponsive_pooled_connections_cost_at_most_the_first_token_budget() {
    let engine = engine::Options::default();
    let fleet =
        Fleet::start("unresponsive", Options { engines: 3, engine, ..Options::default() }).await;
    for round in 0..3 {
        let prompt = format!("prompt {round}");
        // The first request leaves idle pooled connections behind, which then become unresponsive.
        assert!(fleet.complete(CompletionRequest::new(0, &prompt, 2)).await.is_done);
        let http = HttpFaults { silence_open: true, ..HttpFaults::default() };
        for engine in &fleet.engines {
            fleet
                .set_faults(engine.address(), &Faults { http: http.clone(), ..Faults::default() })
                .await;
        }
        let started = std::time::Instant::now();
        let headers = [("x-lavenderwood-deadline-ms", "1700")];
        let answer = fleet
            .complete(CompletionRequest {
                headers: &headers,
                ..CompletionRequest::new(0, &prompt, 2)
            })
            .await;
        assert!(answer.is_done, "round {round}: {answer:?}\n{}", fleet.vms[0].log());
        assert!(started.elapsed().as_millis() < 2000, "round {round}: {:?}", started.elapsed());
    }
}

async fn set_engine_faults(fleet: &Fleet, faults: &Faults) {
    for engine in &fleet.engines {
        fleet.set_faults(engine.address(), faults).await;
    }
}

/// Requests eight streams that last at least 400 ms, carries out `disturb` in their middle and checks the answers.
async fn check_streams_during(fleet: &Fleet, disturb: impl AsyncFnOnce()) {
    let prompts: Vec<String> = (0..8).map(|i| format!("prompt {i}")).collect();
    let requests = prompts.iter().map(|prompt| CompletionRequest::new(0, prompt, 5 * TOKENS));
    let answers = join_all(requests.map(|request| fleet.complete(request)));
    let disturbed = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        disturb().await;
    };
    let (answers, ()) = tokio::join!(answers, disturbed);
    for (prompt, answer) in prompts.iter().zip(answers) {
        assert_eq!(answer.text, answer_text(prompt, 5 * TOKENS), "{prompt}: {:?}", answer.error);
        assert!(answer.is_done, "{prompt}");
    }
}

/// Each engine takes 1.2 s for the next token of each stream and then goes on; `faults` apply until then.
async fn pause_engines(fleet: &Fleet, faults: Faults) {
    set_engine_faults(fleet, &Faults { slow_percent: PAUSE_PERCENT, ..faults }).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    set_engine_faults(fleet, &Faults::default()).await;
}

#[tokio::test]
async fn pause_of_all_engines_cuts_no_stream_when_no_retry_is_left() {
    let settings = NO_RETRIES.to_owned();
    let fleet = Fleet::start("pause", Options { engines: 4, settings, ..Options::default() }).await;
    check_streams_during(&fleet, async || pause_engines(&fleet, Faults::default()).await).await;
}

#[tokio::test]
async fn pause_of_all_engines_cuts_no_stream_when_they_refuse_its_replacement() {
    let settings = MANY_RETRIES.to_owned();
    let fleet =
        Fleet::start("refusing", Options { engines: 4, settings, ..Options::default() }).await;
    let faults = Faults { refuse: Some(RefusalReason::Busy), ..Faults::default() };
    check_streams_during(&fleet, async || pause_engines(&fleet, faults).await).await;
}

#[tokio::test]
async fn pause_of_the_vm_cuts_no_stream() {
    let settings = NO_RETRIES.to_owned();
    let fleet =
        Fleet::start("stopped", Options { engines: 4, settings, ..Options::default() }).await;
    let pause = async || {
        fleet.vms[0].signal("-STOP");
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.vms[0].signal("-CONT");
    };
    check_streams_during(&fleet, pause).await;
}

#[tokio::test]
async fn late_first_token_is_awaited_until_the_deadline_when_no_retry_is_left() {
    let settings = NO_RETRIES.to_owned();
    let fleet = Fleet::start("late", Options { settings, ..Options::default() }).await;
    let faults = Faults { slow_percent: PAUSE_PERCENT, ..Faults::default() };
    set_engine_faults(&fleet, &faults).await;
    let headers = [("x-lavenderwood-deadline-ms", "1700")];
    let request =
        CompletionRequest { headers: &headers, ..CompletionRequest::new(0, "late", TOKENS) };
    let recovery = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        set_engine_faults(&fleet, &Faults::default()).await;
    };
    let (answer, ()) = tokio::join!(fleet.complete(request), recovery);
    assert_eq!(answer.text, answer_text("late", TOKENS), "{:?}", answer.error);
    assert!(answer.is_done);
}

#[tokio::test]
async fn cut_stream_is_resumed_at_an_engine_of_a_later_configuration() {
    let engine = engine::Options { token_time: Duration::from_millis(10), ..Default::default() };
    let fleet = Fleet::start("added", Options { engines: 2, engine, ..Options::default() }).await;
    let added = fleet.initial_config()["upstreams"]["engine-1"].clone();
    let removal = json!({ "upstreams": { "engine-1": null } });
    assert_eq!(fleet.apply_patch(0, 1, &removal).await.0, 200);
    fleet.wait_for_version(0, 2).await;
    let stream = StreamFaults { drop_after: Some(2 * TOKENS), ..StreamFaults::default() };
    let faults = Faults { stream, ..Faults::default() };
    fleet.set_faults(fleet.engines[0].address(), &faults).await;
    let addition = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let patch = json!({ "upstreams": { "engine-1": added } });
        assert_eq!(fleet.apply_patch(0, 2, &patch).await.0, 200);
        fleet.wait_for_version(0, 3).await;
    };
    let request = CompletionRequest::new(0, "added", 3 * TOKENS);
    let (answer, ()) = tokio::join!(fleet.complete(request), addition);
    assert_eq!(answer.text, answer_text("added", 3 * TOKENS), "{:?}", answer.error);
    assert!(answer.is_done);
}
