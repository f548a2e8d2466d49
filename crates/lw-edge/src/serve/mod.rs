//! Callers' requests: who calls, on which route, and what becomes of it.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, Uri, header};
use http_body::Body as _;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use lw_catalog::{Catalog, Route, Workspace};
use lw_place::{Prompt, RANK_MAX};
use lw_platform::headers::{self, CallerHead};
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use crate::state::{Edge, InFlight};
use record::Record;

mod answer;
mod attempt;
mod forward;
mod record;
mod relay;

pub(crate) use answer::full;
pub use answer::{Answer, OutBody};
pub(crate) use record::millis;

/// When to come back if another VM can take the request at once.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// When to come back to a VM that does not know enough; the balancer takes it out within two seconds.
const UNREADY: Duration = Duration::from_millis(300);

/// One request of a caller that is to be forwarded.
#[derive(Debug)]
pub struct Call {
    /// What its head says.
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
    /// Service that the route sends it to.
    pub service: String,
    /// Workspace of the caller.
    pub workspace: Option<Arc<Workspace>>,
    /// Prompt, if the service has engines.
    pub prompt: Option<Prompt>,
    /// Hash of its id, which spreads requests over equals.
    pub spread: u64,
    /// When it arrived.
    pub arrived: Now,
    /// When the caller stops waiting.
    pub deadline: Now,
    /// When it must have its final answer.
    pub due: Now,
    _in_flight: InFlight,
}

/// Answers one request.
///
/// # Errors
///
/// Never; a request without an answer ends with its connection.
pub async fn answer(edge: Arc<Edge>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let head = headers::caller_head(req.headers());
    let id = head.request.clone();
    let mut record = Record::new(&edge, &id, edge.timer.now());
    let mut response = match accept(&edge, req, head, &mut record).await {
        Ok(call) => forward::run(&edge, Arc::new(call), record).await,
        Err(failure) => {
            record.failed(&failure);
            answer::failure(&id, &failure)
        }
    };
    if edge.is_leaving() {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Answers the balancer, which asks whether this VM takes callers.
///
/// # Errors
///
/// Never.
#[expect(clippy::unused_async, reason = "it serves connections like the answers to callers")]
pub async fn readiness(edge: Arc<Edge>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let is_ready = req.uri().path() == lw_platform::engine::READINESS_PATH && edge.is_ready();
    let mut response = Response::new(answer::empty());
    if !is_ready {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

async fn accept(
    edge: &Arc<Edge>,
    req: Request<Incoming>,
    head: CallerHead,
    record: &mut Record,
) -> Result<Call, Failure> {
    if edge.is_closed() {
        let failure = Failure::new(ResultCode::Draining, "this VM is about to end");
        return Err(failure.retry_after(ELSEWHERE));
    }
    let in_flight = edge.enter();
    let arrived = edge.timer.now();
    let (parts, body) = req.into_parts();
    let catalog = edge.known().catalog().ok_or_else(|| {
        let text = "no configuration has been received yet";
        Failure::new(ResultCode::NotReady, text).retry_after(UNREADY)
    })?;
    let route = find_route(&catalog, &parts)?;
    let workspace = identify(edge, &catalog, &route, &head)?;
    record.identified(route.kind, workspace.as_deref().map(|w| w.name.as_str()));
    let body = read_body(body, catalog.limits.body_bytes).await?;
    let spread = xxhash_rust::xxh3::xxh3_64(head.request.as_bytes());
    let service = route.target(spread).ok_or_else(|| {
        Failure::new(ResultCode::NoUpstream, format!("route {} has no service", route.name))
    })?;
    let service = service.to_owned();
    let has_engines = catalog.service(&service).is_some_and(|s| s.engines().is_some());
    let prompt = has_engines.then(|| prompt(&head, &route, workspace.as_deref(), body.len()));
    let deadline = arrived + head.deadline.unwrap_or(route.timeout);
    Ok(Call {
        head,
        method: parts.method,
        target: target(parts.uri),
        headers: parts.headers,
        body,
        due: deadline.min(arrived + route.timeout),
        route,
        service,
        workspace,
        prompt,
        spread,
        arrived,
        deadline,
        _in_flight: in_flight,
    })
}

/// Path and query alone, also of a target that names its host.
fn target(uri: Uri) -> Uri {
    let path_and_query = uri.into_parts().path_and_query;
    path_and_query.map_or_else(|| Uri::from_static("/"), Uri::from)
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

fn identify(
    edge: &Edge,
    catalog: &Catalog,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<Arc<Workspace>>, Failure> {
    if route.is_anonymous || !catalog.needs_keys() {
        return Ok(None);
    }
    let now = edge.timer.now_suspended();
    if !edge.known().may_use_keys(now, edge.bounds().revoke) {
        let text = "the knowledge about API keys is too old";
        return Err(Failure::new(ResultCode::NotReady, text).retry_after(UNREADY));
    }
    let workspace = head.key.as_deref().and_then(|key| catalog.workspace(key));
    workspace
        .cloned()
        .map(Some)
        .ok_or_else(|| Failure::new(ResultCode::UnknownKey, "the API key is missing or unknown"))
}

async fn read_body(body: Incoming, max: usize) -> Result<Bytes, Failure> {
    let too_large =
        || Failure::new(ResultCode::BodyTooLarge, format!("the body is larger than {max} bytes"));
    if body.size_hint().lower() > u64::try_from(max).unwrap_or(u64::MAX) {
        return Err(too_large());
    }
    match Limited::new(body, max).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(e) => Err(Failure::new(ResultCode::MalformedBody, e.to_string())),
    }
}

/// Rank at the engine: the workspace's goes before the route's.
fn rank(route: &Route, workspace: Option<&Workspace>) -> u8 {
    const ROUTE_RANKS: u8 = 2;
    let workspace = workspace.and_then(|workspace| workspace.priority);
    let rank = workspace.map_or(route.priority, |workspace| {
        workspace.saturating_mul(ROUTE_RANKS).saturating_add(route.priority.min(ROUTE_RANKS - 1))
    });
    rank.min(RANK_MAX)
}

fn prompt(head: &CallerHead, route: &Route, workspace: Option<&Workspace>, bytes: usize) -> Prompt {
    let wall = workspace.filter(|workspace| workspace.is_isolated);
    Prompt {
        model: head.model.clone().unwrap_or_default(),
        segments: head.segments.clone(),
        tokens: head.prompt_tokens,
        output_tokens: head.output_tokens_hint.unwrap_or(head.output_tokens_max),
        isolated_workspace: wall.map(|workspace| workspace.name.clone()),
        rank: rank(route, workspace),
        bytes,
    }
}
