//! Guards against a failed request whose cause cannot be found from its id: each way of docs/OPERATIONS.md is followed
//! on the VM's own output, once at its metrics address and once in its saved log.

mod common;

use common::{Simulation, get, log_output, ms, request};
use lw_observe::logs::{Line, parse};
use lw_standin::hosted::upstream::Behaviour;
use serde_json::Value;

/// A line that must be there: its message, and fields with a part of their values.
type Want = (&'static str, &'static [(&'static str, &'static str)]);

/// The lines about a request in the saved log.
async fn saved(simulation: &Simulation, id: &str, last: &str) -> Vec<Line> {
    let lines = |text: &str| -> Vec<Line> {
        let about = |line: &Line| line.field("request") == Some(id);
        text.lines().filter_map(parse).filter(about).collect()
    };
    let is_there = || lines(&log_output()).iter().any(|line| line.message == last);
    simulation.wait_until("the last line is written", async |_| is_there()).await;
    lines(&log_output())
}

async fn follow(simulation: &Simulation, id: &str, way: &[Want]) {
    let (last, _) = way.last().unwrap();
    let lines = saved(simulation, id, last).await;
    let messages: Vec<_> = lines.iter().map(|line| line.message.as_str()).collect();
    let wanted: Vec<_> = way.iter().map(|(message, _)| *message).collect();
    assert_eq!(messages, wanted, "{lines:?}");
    let explain = format!("/op/explain/{id}");
    let reply = get(simulation.settings.metrics.unwrap(), &explain).await.expect("an explanation");
    assert_eq!(reply.status, 200, "{}", reply.text());
    let explanation: Value = serde_json::from_slice(&reply.body).unwrap();
    let steps = explanation["steps"].as_array().expect("steps");
    assert_eq!(steps.len(), way.len(), "{steps:?}");
    for (((message, fields), line), step) in way.iter().zip(&lines).zip(steps) {
        let step = step["what"].as_str().expect("text");
        assert!(step.contains(message), "{step}");
        for (name, part) in *fields {
            let value = line.field(name).unwrap_or_else(|| panic!("no {name}: {line:?}"));
            assert!(value.contains(part), "{name}: {line:?}");
            assert!(step.contains(&format!("{name}=")), "{name}: {step}");
        }
    }
}

const SENT: Want = (
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
    simulation.engines.iter().for_each(|engine| engine.always(Behaviour::Reject));
    let reply = simulation.send(&request("refused", "/short/x")).await.expect("an answer");
    assert_eq!(reply.status, 503, "{}", reply.head);
    let way = [
        SENT,
        (
            "attempt ended",
            [("upstream", "engine-"), ("ended", "not_run"), ("why", "503")].as_slice(),
        ),
        (
            "request failed",
            &[("name", "overloaded"), ("ran", "no"), ("retry_after_ms", ""), ("why", "")],
        ),
    ];
    follow(&simulation, "refused", &way).await;
}

#[tokio::test]
async fn a_stream_that_broke() {
    let simulation = Simulation::start().await;
    simulation.faults.push(Behaviour::Torn(2));
    let reply = simulation.send(&request("torn", "/short/x")).await.expect("an answer");
    assert!(!reply.is_complete);
    let way = [
        SENT,
        (
            "attempt ended",
            [("upstream", "engine-"), ("ended", "failed"), ("why", "body")].as_slice(),
        ),
        ("stream broken off", &[("name", "stream_broken"), ("bytes", ""), ("why", "")]),
    ];
    follow(&simulation, "torn", &way).await;
    let lines = saved(&simulation, "torn", "stream broken off").await;
    let bytes = lines.last().and_then(|line| line.field("bytes")).unwrap().to_owned();
    assert_eq!(bytes, reply.body.len().to_string(), "what the caller got");
}

#[tokio::test]
async fn a_call_that_may_not_be_repeated_and_whose_outcome_is_not_known() {
    let simulation = Simulation::start().await;
    simulation.faults.push(Behaviour::Reset);
    let reply = simulation.send(&request("unknown", "/book/x")).await.expect("an answer");
    assert_eq!(reply.status, 502, "{}", reply.head);
    let way = [
        ("request sent", [("upstream", "desk-"), ("left_ms", "")].as_slice()),
        ("attempt ended", &[("upstream", "desk-"), ("ended", "failed"), ("why", "")]),
        ("request failed", &[("name", "outcome_unknown"), ("ran", "unknown"), ("why", "")]),
    ];
    follow(&simulation, "unknown", &way).await;
    tokio::time::sleep(ms(10)).await;
    assert_eq!(simulation.run_count("unknown"), 1);
}
