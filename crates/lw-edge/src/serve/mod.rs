//! Serves callers' requests: finds the route, authenticates the caller and forwards the request to an upstream.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use lw_catalog::{Catalog, Route, Workspace};
use lw_forward::intake::{BodyLimits, Caller, Hold, leaves_body_unread};
use lw_observe::logs::millis;
use lw_place::{Prompt, RANK_MAX};
use lw_platform::headers::{self, CallerHead};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use crate::{
    answer::{self, Answer, OwnFailure},
    intake,
    state::{Edge, GivenUp, InFlightGuard},
};
use forwarded::{AnsweredBy, Forwarded, SignedHead};
use record::RequestRecord;

mod admit;
mod attempt;
mod forward;
mod forwarded;
mod pass_on;
mod place;
mod quota;
mod record;
mod relay;
mod software;
mod takeover;

/// `retry-after` of a leaving VM: the balancer sends the next request to another VM, which can serve it at once.
const RETRY_AFTER_LEAVING: Duration = Duration::from_millis(20);

/// `retry-after` of a VM without a configuration or current API keys. The balancer stops sending to it within two
/// seconds.
const RETRY_AFTER_UNREADY: Duration = Duration::from_millis(300);

/// One request of a caller that is to be forwarded.
#[derive(Debug)]
pub struct Call {
    /// Values from its headers.
    pub head: CallerHead,
    /// Method.
    pub method: Method,
    /// Path with query.
    pub target: Uri,
    /// All headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Service to which the route sends it.
    pub service: String,
    /// Workspace of the caller.
    pub workspace: Option<Arc<Workspace>>,
    /// Version of the configuration that route and workspace are of.
    pub config: ConfigVersion,
    /// Prompt, if the service has engines.
    pub prompt: Option<Prompt>,
    /// Segments of its prompt, or one that stands for the whole request. If it crashes upstreams, one of them is the cause.
    pub segments: Vec<SegmentId>,
    /// Hash of its id. It distributes requests over services and upstreams that are equally good.
    pub id_hash: u64,
    /// Hash of the id of the request that brings or brought the first event of its stream, as far as it is known.
    pub stream_hash: u64,
    /// What it states of the stream that it resumes; none if it begins its answer.
    pub resumption: Option<Resumption>,
    /// What the VM states that passed it on; none if a caller sent it to this VM.
    forwarded: Option<Forwarded>,
    /// When it arrived.
    pub arrived: Now,
    /// When the caller stops waiting.
    pub deadline: Now,
    /// When its answer must be complete: the earlier of the caller's deadline and the route's timeout.
    pub due: Now,
    _in_flight: InFlightGuard,
    /// Memory of its head.
    _hold: Hold,
}

/// What a request states of the stream that it resumes.
#[derive(Debug, Clone, Copy)]
pub struct Resumption {
    /// Hash of the id of the request that brought the first event of the stream, if it is stated.
    pub origin: Option<u64>,
}

impl Resumption {
    /// Returns what the head of a request on a route states. A caller that has no event yet resumes nothing.
    fn of(route: &Route, head: &CallerHead) -> Option<Self> {
        head.last_event.filter(|last| route.kind.is_resumable() && *last > 0)?;
        let hash = |id: &RequestId| xxhash_rust::xxh3::xxh3_64(id.as_bytes());
        Some(Self { origin: head.origin.as_ref().map(hash) })
    }
}

/// Answers one request.
///
/// # Errors
///
/// Returns no error. If the body of the answer ends early, the connection is closed.
pub async fn answer(edge: Arc<Edge>, mut req: Request<Incoming>) -> Result<Answer, Infallible> {
    forwarded::remove_statements(req.headers_mut());
    Ok(answer_request(edge, req, None).await)
}

/// Answers a request that another VM passes on, since it has no path to any upstream.
///
/// # Errors
///
/// Returns no error, likewise.
pub async fn answer_forwarded(
    edge: Arc<Edge>,
    mut req: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let id = headers::caller_head(req.headers()).request;
    let (method, target) = (req.method().clone(), req.uri().clone());
    let head = SignedHead { method: &method, target: &target, id: &id };
    let key = edge.store_view().peer_key();
    let taken = key.and_then(|key| Some((Forwarded::take(&key, head, req.headers_mut())?, key)));
    let Some((forwarded, key)) = taken else {
        log::warn!(target: "member", request = id.as_str();
            "rejected a passed-on request without a valid authentication code");
        let mut response = Response::new(answer::empty_body());
        *response.status_mut() = http::StatusCode::FORBIDDEN;
        return Ok(response);
    };
    log::info!(target: "route", request = id.as_str(), vm = forwarded.vm.as_str(),
        attempts = forwarded.attempts; "request passed on by another VM");
    let mut response = answer_request(edge, req, Some(forwarded)).await;
    let by = match response.extensions().get::<OwnFailure>() {
        Some(OwnFailure(code)) => AnsweredBy::Vm(*code),
        None => AnsweredBy::Upstream,
    };
    by.write(&key, &id, &mut response);
    Ok(response)
}

async fn answer_request(
    edge: Arc<Edge>,
    req: Request<Incoming>,
    forwarded: Option<Forwarded>,
) -> Answer {
    let head = headers::caller_head(req.headers());
    let id = head.request.clone();
    let mut record = RequestRecord::new(&edge, &id, edge.timer.now());
    let (mut response, is_body_unread) = match accept(&edge, req, head, &mut record).await {
        Ok(call) => {
            let call = Arc::new(Call { forwarded, ..call });
            (forward::run(&edge, call, record).await, false)
        }
        Err(failure) => {
            record.record_failure(&failure);
            if matches!(failure.code, ResultCode::UnknownPath | ResultCode::UnknownKey) {
                log_refusal_by_configuration(&edge, &id, &failure);
            }
            (answer::failure_answer(&id, &failure), leaves_body_unread(failure.code))
        }
    };
    if edge.is_leaving() || is_body_unread {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    response
}

/// Answers a readiness check of the balancer: 200 if this VM accepts callers' requests, otherwise 503.
///
/// # Errors
///
/// Returns no error.
#[expect(clippy::unused_async, reason = "the listener accepts only async handlers")]
pub async fn readiness(edge: Arc<Edge>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let is_ready = req.uri().path() == lw_platform::engine::READINESS_PATH && edge.is_ready();
    let mut response = Response::new(answer::empty_body());
    if !is_ready {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

/// Turns an HTTP request into a call that can be forwarded, or returns why it is refused.
async fn accept(
    edge: &Arc<Edge>,
    req: Request<Incoming>,
    head: CallerHead,
    record: &mut RequestRecord,
) -> Result<Call, Failure> {
    if edge.is_refusing_requests() {
        return Err(leaving_failure());
    }
    let in_flight = edge.track_request();
    let arrived = edge.timer.now();
    let (mut parts, body) = req.into_parts();
    let caller = parts
        .extensions
        .remove::<Caller>()
        .ok_or_else(|| Failure::new(ResultCode::Internal, "the request has no connection"))?;
    let catalog = {
        let view = edge.store_view();
        view.catalog().filter(|_| view.has_been_current())
    };
    let catalog = catalog.ok_or_else(|| {
        let text = "no current configuration has been received yet";
        Failure::new(ResultCode::NotReady, text).retry_after(RETRY_AFTER_UNREADY)
    })?;
    let route = find_route(&catalog, &parts).map_err(|e| unless_outdated(edge, e))?;
    let workspace =
        authenticate(edge, &catalog, &route, &head).map_err(|e| unless_outdated(edge, e))?;
    record.set_labels(route.kind, workspace.as_deref().map(|w| w.name.as_str()));
    let deadline = arrived + head.deadline.unwrap_or(route.timeout);
    let due = deadline.min(arrived + route.timeout);
    let limits = BodyLimits {
        bytes_max: catalog.limits.body_bytes,
        idle_max: catalog.limits.idle_time,
        time_max: due.saturating_sub(arrived),
    };
    let intake = intake::Intake { caller: &caller, metrics: &edge.metrics, request: &head.request };
    let mut hold = intake.hold_head(&parts.headers)?;
    let body = tokio::select! {
        body = intake.read_body(body, limits) => body?,
        () = edge.wait_until_given_up(GivenUp::Unanswered) => return Err(leaving_failure()),
    };
    let id_hash = xxhash_rust::xxh3::xxh3_64(head.request.as_bytes());
    let resumption = Resumption::of(&route, &head);
    let origin = resumption.and_then(|resumption| resumption.origin);
    let stream_hash = origin.unwrap_or(id_hash);
    let service = route.target(stream_hash).ok_or_else(|| {
        Failure::new(ResultCode::NoUpstream, format!("route {} has no service", route.name))
    })?;
    let service = service.to_owned();
    let has_engines = catalog.service(&service).is_some_and(|s| s.engines().is_some());
    let mut prompt = has_engines.then(|| prompt(&head, &route, workspace.as_deref(), body.len()));
    if let Some(prompt) = &mut prompt {
        prompt.segments = headers::caller_segments(&parts.headers);
        intake.hold_segments(&mut hold, prompt.segments.len())?;
    }
    let target = target(parts.uri);
    let segments = segments(prompt.as_ref(), workspace.as_deref(), &target, &body);
    Ok(Call {
        head,
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        due,
        route,
        service,
        workspace,
        config: catalog.version,
        prompt,
        segments,
        id_hash,
        stream_hash,
        resumption,
        forwarded: None,
        arrived,
        deadline,
        _in_flight: in_flight,
        _hold: hold,
    })
}

/// Logs from which view of the store it follows that a route or a key does not exist.
fn log_refusal_by_configuration(edge: &Edge, id: &str, failure: &Failure) {
    let view = edge.store_view();
    let age = view.age(edge.timer.now_including_suspend()).map(millis).unwrap_or_default();
    let config = view.catalog().map_or(0, |catalog| catalog.version);
    let known = view.provenance();
    log::info!(target: "config", request = id, name = failure.code.name(), config = config,
        known_ms = age, known_revision = known.revision, known_from = &*known.from;
        "refused as the configuration says");
}

/// Returns the failure of a request that a leaving VM does not take.
fn leaving_failure() -> Failure {
    let failure = Failure::new(ResultCode::Draining, "this VM is shutting down");
    failure.retry_after(RETRY_AFTER_LEAVING)
}

/// Returns the path and query of a request target, without a scheme and host that it may contain.
fn target(uri: Uri) -> Uri {
    let path_and_query = uri.into_parts().path_and_query;
    path_and_query.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Returns the segments of a prompt. Without any, copies of a request are recognized by their workspace, path and body.
fn segments(
    prompt: Option<&Prompt>,
    workspace: Option<&Workspace>,
    target: &Uri,
    body: &[u8],
) -> Vec<SegmentId> {
    let segments = prompt.map(|prompt| &prompt.segments).filter(|segments| !segments.is_empty());
    if let Some(segments) = segments {
        return segments.iter().map(|segment| segment.id).collect();
    }
    let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [workspace.as_bytes(), target.to_string().as_bytes(), body] {
        hasher.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
        hasher.update(part);
    }
    vec![hasher.digest()]
}

/// Returns the failure of a request that the configuration in force does not allow. A newer one that must be in force by now may
/// allow it, where the view of the store is too old to tell.
fn unless_outdated(edge: &Edge, failure: Failure) -> Failure {
    let age = edge.store_view().age(edge.timer.now_including_suspend());
    let is_outdated = age.is_none_or(|age| age > edge.bounds().config);
    if is_outdated && matches!(failure.code, ResultCode::UnknownPath | ResultCode::UnknownKey) {
        let text = format!("{}, but the configuration may be out of date", failure.message);
        return Failure::new(ResultCode::NotReady, text).retry_after(RETRY_AFTER_UNREADY);
    }
    failure
}

fn find_route(catalog: &Catalog, parts: &http::request::Parts) -> Result<Arc<Route>, Failure> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(host).unwrap_or_default();
    let path = parts.uri.path();
    catalog
        .route(host, path)
        .cloned()
        .ok_or_else(|| Failure::new(ResultCode::UnknownPath, format!("no route for {host}{path}")))
}

/// Returns the workspace of the caller's API key, or none if the route or the configuration needs no key.
fn authenticate(
    edge: &Edge,
    catalog: &Catalog,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<Arc<Workspace>>, Failure> {
    if route.is_anonymous || !catalog.needs_keys() {
        return Ok(None);
    }
    let now = edge.timer.now_including_suspend();
    if !edge.store_view().may_use_keys(now, edge.bounds().revoke) {
        let text = "the cached API keys are too old";
        return Err(Failure::new(ResultCode::NotReady, text).retry_after(RETRY_AFTER_UNREADY));
    }
    let workspace = head.key.as_deref().and_then(|key| catalog.workspace(key));
    workspace
        .cloned()
        .map(Some)
        .ok_or_else(|| Failure::new(ResultCode::UnknownKey, "the API key is missing or unknown"))
}

/// Returns the rank at the engine: by the priority of the workspace first, then by that of the route.
fn rank(route: &Route, workspace: Option<&Workspace>) -> u8 {
    const ROUTE_RANKS: u8 = 2;
    let workspace = workspace.and_then(|workspace| workspace.priority);
    let rank = workspace.map_or(route.priority, |workspace| {
        workspace.saturating_mul(ROUTE_RANKS).saturating_add(route.priority.min(ROUTE_RANKS - 1))
    });
    rank.min(RANK_MAX)
}

/// Returns the prompt of a request, without its segments.
fn prompt(head: &CallerHead, route: &Route, workspace: Option<&Workspace>, bytes: usize) -> Prompt {
    Prompt {
        model: head.model.clone().unwrap_or_default(),
        segments: Vec::new(),
        tokens: head.prompt_tokens,
        output_tokens: head.output_tokens_hint.unwrap_or(head.output_tokens_max),
        rank: rank(route, workspace),
        bytes,
        kind: kind(route, workspace),
    }
}

/// Returns what identifies the requests of one route and workspace.
fn kind(route: &Route, workspace: Option<&Workspace>) -> u64 {
    let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
    let seed = xxhash_rust::xxh3::xxh3_64(workspace.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(route.name.as_bytes(), seed)
}
