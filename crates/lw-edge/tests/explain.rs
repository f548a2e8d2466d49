//! Guards against a failed request whose cause cannot be found from its id. Each procedure of docs/OPERATIONS.md is
//! checked on the output of the VM: at its metrics address and in its log.

mod common;

use common::{Simulation, get, log_output, ms, request};
use lw_observe::logs::{Line, parse};
use lw_standin::hosted::upstream::Behaviour;
use serde_json::Value;

/// A line that must be there: its message, and names of fields with text that their values must contain.
type ExpectedLine = (&'static str, &'static [(&'static str, &'static str)]);

/// Waits until the log has the line with the message `last` about a request, and returns all lines about it.
async fn logged_lines(simulation: &Simulation, id: &str, last: &str) -> Vec<Line> {
    let lines = |text: &str| -> Vec<Line> {
        let about = |line: &Line| line.field("request") == Some(id);
        text.lines().filter_map(parse).filter(about).collect()
    };
    let is_there = || lines(&log_output()).iter().any(|line| line.message == last);
    simulation.wait_until("the last line is written", async |_| is_there()).await;
    lines(&log_output())
}

/// Checks that both the log and the explanation of a request consist of these lines.
async fn check_explanation(simulation: &Simulation, id: &str, expected: &[ExpectedLine]) {
    let (last, _) = expected.last().unwrap();
    let lines = logged_lines(simulation, id, last).await;
    let messages: Vec<_> = lines.iter().map(|line| line.message.as_str()).collect();
    let expected_messages: Vec<_> = expected.iter().map(|(message, _)| *message).collect();
    assert_eq!(messages, expected_messages, "{lines:?}");
    let explain = format!("/op/explain/{id}");
    let reply = get(simulation.settings.metrics.unwrap(), &explain).await.expect("an explanation");
    assert_eq!(reply.status, 200, "{}", reply.text());
    let explanation: Value = serde_json::from_slice(&reply.body).unwrap();
    let steps = explanation["steps"].as_array().expect("steps");
    assert_eq!(steps.len(), expected.len(), "{steps:?}");
    for (((message, fields), line), step) in expected.iter().zip(&lines).zip(steps) {
        let step = step["what"].as_str().expect("text");
        assert!(step.contains(message), "{step}");
        for (name, text) in *fields {
            let value = line.field(name).unwrap_or_else(|| panic!("no {name}: {line:?}"));
            assert!(value.contains(text), "{name}: {line:?}");
            assert!(step.contains(&format!("{name}=")), "{name}: {step}");
        }
    }
}

const SENT_TO_ENGINE: ExpectedLine = (
    "request sent",
    &[
        ("upstream", "engine-"),
        ("expected_ms", ""),
        ("left_ms", ""),
        ("config", "3"),
        ("known_ms", ""),
    ],
);

#[tokio::test]
async fn a_request_that_was_refused_under_load() {
    let simulation = Simulation::start().await;
    simulation.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Reject));
    let reply = simulation.send(&request("refused", "/short/x")).await.expect("an answer");
    assert_eq!(reply.status, 503, "{}", reply.head);
    let expected = [
        SENT_TO_ENGINE,
        (
            "attempt ended",
            [("upstream", "engine-"), ("ended", "not_run"), ("why", "503")].as_slice(),
        ),
        (
            "request failed",
            &[("name", "overloaded"), ("ran", "no"), ("retry_after_ms", ""), ("why", "")],
        ),
    ];
    check_explanation(&simulation, "refused", &expected).await;
}

#[tokio::test]
async fn a_stream_that_broke_off() {
    let simulation = Simulation::start().await;
    simulation.faults.push(Behaviour::ResetInEvent(2));
    let reply = simulation.send(&request("torn", "/short/x")).await.expect("an answer");
    assert!(!reply.is_complete);
    let expected = [
        SENT_TO_ENGINE,
        (
            "attempt ended",
            [("upstream", "engine-"), ("ended", "failed"), ("why", "body")].as_slice(),
        ),
        ("stream broken off", &[("name", "stream_broken"), ("bytes", ""), ("why", "")]),
    ];
    check_explanation(&simulation, "torn", &expected).await;
    let lines = logged_lines(&simulation, "torn", "stream broken off").await;
    let bytes = lines.last().and_then(|line| line.field("bytes")).unwrap().to_owned();
    assert_eq!(bytes, reply.body.len().to_string(), "what the caller got");
}

#[tokio::test]
async fn a_call_that_must_not_be_repeated_and_whose_outcome_is_unknown() {
    let simulation = Simulation::start().await;
    simulation.faults.push(Behaviour::Reset);
    let reply = simulation.send(&request("unknown", "/book/x")).await.expect("an answer");
    assert_eq!(reply.status, 502, "{}", reply.head);
    let expected = [
        ("request sent", [("upstream", "desk-"), ("left_ms", "")].as_slice()),
        ("attempt ended", &[("upstream", "desk-"), ("ended", "failed"), ("why", "")]),
        ("request failed", &[("name", "outcome_unknown"), ("ran", "unknown"), ("why", "")]),
    ];
    check_explanation(&simulation, "unknown", &expected).await;
    tokio::time::sleep(ms(10)).await;
    assert_eq!(simulation.run_count("unknown"), 1);
}
