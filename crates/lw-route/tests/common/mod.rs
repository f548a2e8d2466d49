//! Routers and requests shared by the tests.
#![allow(dead_code)]

use std::time::Duration;

use lw_route::{
    CacheChange, CacheEvent, CacheScope, Candidate, Decision, Engine, Event, Fingerprint,
    LoadReport, Options, Request, Router,
};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn engine(n: usize) -> Engine {
    Engine { id: format!("engine-{n}"), role: "assistant".into(), ..Engine::default() }
}

pub fn router_with_engines(vm: &str, engine_count: usize) -> Router {
    let mut router = Router::new(Options { vm: vm.into(), ..Options::default() });
    let engines: Vec<Engine> = (0..engine_count).map(engine).collect();
    router.set_engines(Duration::ZERO, &engines);
    router
}

pub fn scope(workspace: &str, model_version: &str, adapter_version: &str) -> CacheScope {
    CacheScope {
        workspace: workspace.into(),
        model: "malayalam".into(),
        model_version: model_version.into(),
        adapter: Some("radio".into()),
        adapter_version: Some(adapter_version.into()),
    }
}

/// Returns a request with a prompt of 8 complete pieces that depends on `topic`. Its deadline allows for the prefill of
/// a second such prompt at the same engine; tests about deadlines set their own.
pub fn request(id: &str, scope: CacheScope, topic: u8) -> Request {
    let fingerprint = Fingerprint::of(&scope, &vec![topic; 8 * 4096 + 10]);
    Request {
        id: id.into(),
        role: "assistant".into(),
        scope,
        fingerprint,
        deadline: ms(5000),
        ..Request::default()
    }
}

pub fn load_report(incarnation: u64) -> LoadReport {
    LoadReport { incarnation, ..LoadReport::default() }
}

pub fn stored_event(incarnation: u64, seq: u64, block: u64) -> CacheEvent {
    CacheEvent { incarnation, seq, change: CacheChange::Stored(block) }
}

/// Returns all candidates for the request, or none if it is refused.
pub fn place(router: &mut Router, now: Duration, request: &Request) -> Vec<Candidate> {
    match router.decide(now, request) {
        Decision::Send(placement) => placement.candidates,
        Decision::Refuse(_) => Vec::new(),
    }
}

/// Records the request as sent to the first candidate of the router, and returns the candidate if there is one.
pub fn send_to_best(router: &mut Router, now: Duration, request: &Request) -> Option<Candidate> {
    let candidate = place(router, now, request).into_iter().next()?;
    router.record(now, Event::Sent { request, attempt: 0, candidate: &candidate });
    Some(candidate)
}
