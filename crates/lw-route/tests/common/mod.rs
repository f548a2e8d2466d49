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

pub fn router(vm: &str, engines: usize) -> Router {
    let mut router = Router::new(Options { vm: vm.into(), ..Options::default() });
    let list: Vec<Engine> = (0..engines).map(engine).collect();
    router.set_engines(Duration::ZERO, &list);
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

/// A request with a prompt of 8 whole pieces that depends on `topic`. Its deadline leaves room for a second such
/// prompt at the same engine; a test that is about deadlines sets its own.
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

pub fn report(incarnation: u64) -> LoadReport {
    LoadReport { incarnation, ..LoadReport::default() }
}

pub fn stored(incarnation: u64, seq: u64, block: u64) -> CacheEvent {
    CacheEvent { incarnation, seq, change: CacheChange::Stored(block) }
}

/// All candidates of a decision, or none if it is a refusal.
pub fn candidates(router: &mut Router, now: Duration, request: &Request) -> Vec<Candidate> {
    match router.decide(now, request) {
        Decision::Send(placement) => placement.candidates,
        Decision::Refuse(_) => Vec::new(),
    }
}

/// Sends the request to the router's first candidate.
pub fn send(router: &mut Router, now: Duration, request: &Request) -> Option<Candidate> {
    let candidate = candidates(router, now, request).into_iter().next()?;
    router.record(now, Event::Sent { request, attempt: 0, candidate: &candidate });
    Some(candidate)
}
