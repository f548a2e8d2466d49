//! Guards against engines that get more calls than the limit that they name, and against limits that are lost, outdated
//! or not genuine.

mod common;

use std::time::{Duration, Instant};

use common::{Simulation, ms, request};
use lw_standin::hosted::{limit::LimitHistory, upstream::Upstream};

/// Time after which a limit must be kept: a VM that was told is bound half a second later.
const SETTLE: Duration = Duration::from_millis(500);
/// Limit that an engine names, in requests a second.
const LIMIT: f64 = 2.0;

/// Sends a request each 40 ms for this time without waiting for the answers. Returns how many were answered with 200,
/// and how many were sent.
async fn send_steadily(simulation: &Simulation, name: &str, time: Duration) -> (usize, usize) {
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    while started.elapsed() < time {
        let (callers, id) = (simulation.settings.callers, format!("{name}-{}", tasks.len()));
        tasks.spawn(async move {
            common::send(callers, &request(&id, "/short/x")).await.is_some_and(|r| r.status == 200)
        });
        tokio::time::sleep(ms(40)).await;
    }
    let sent = tasks.len();
    (tasks.join_all().await.into_iter().filter(|is_served| *is_served).count(), sent)
}

/// Checks the rule for an engine that names [`LIMIT`] since `named_at`, for requests and for calls of all kinds.
fn assert_limit_kept(engine: &Upstream, named_at: tokio::time::Instant) {
    let mut history = LimitHistory::default();
    history.set(Duration::ZERO, Some(LIMIT));
    let since = |at: tokio::time::Instant| at.checked_duration_since(named_at);
    let requests: Vec<_> = engine.received().iter().filter_map(|got| since(got.at)).collect();
    let calls: Vec<_> = engine.calls().into_iter().filter_map(since).collect();
    assert_eq!(history.first_excess(&requests, SETTLE), None, "requests at {}", engine.id);
    assert_eq!(history.first_excess(&calls, SETTLE), None, "calls of all kinds at {}", engine.id);
}

#[tokio::test]
async fn an_engine_gets_no_more_calls_than_the_limit_that_it_names() {
    let simulation = Simulation::start().await;
    send_steadily(&simulation, "before", ms(600)).await;
    let preferred = simulation.engines.iter().max_by_key(|engine| engine.received().len());
    let preferred = preferred.expect("there are two");
    preferred.set_limit(Some(&LIMIT.to_string()));
    let named_at = tokio::time::Instant::now();
    let (served, sent) = send_steadily(&simulation, "limited", ms(7_000)).await;
    assert_limit_kept(preferred, named_at);
    assert!(served * 100 >= sent * 98, "the other engine serves the rest: {served} of {sent}");
}
