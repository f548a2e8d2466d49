//! Calls to plain services.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::select_ok;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use http_body_util::Full;
use lw_config::document::UpstreamKind;
use lw_forward::{
    intake::HeldBody,
    pool::{Error, Reuse, UpstreamAnswer},
};
use lw_limit::retry::{AttemptContext, Kind};
use lw_protocol::caller::{Failure, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER};
use lw_transport::server;
use lw_types::prelude::*;
use volo_http::{body::Body, response::Response};
use xxhash_rust::xxh3::xxh3_64;

use crate::{callers::Caller, intake, limits, tables::Tables};

mod once;

/// Fraction of the deadline after which a second attempt is made beside the first, so that an unresponsive connection
/// costs no more.
const FIRST_ATTEMPT_FRACTION: f64 = 0.6;
/// Timeout for the response headers of a service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of the idle connections to services.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// A caller's request to a service.
#[derive(Debug)]
pub struct IncomingCall {
    /// HTTP method.
    pub method: Method,
    /// Service name, path and query, without a leading slash.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

struct ServiceCall {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

/// Closes connections to services that have been idle for too long, or whose instance is gone, until the process ends.
pub async fn close_idle_connections(tables: Arc<Tables>) {
    let mut ticks = tables.timer.subscribe(IDLE_CHECK_PERIOD);
    loop {
        ticks.tick().await;
        let Some(active) = tables.active_config() else { continue };
        let upstreams = &active.document.upstreams;
        tables.service_connections.close_unused(|(addr, id)| {
            upstreams.get(&**id).is_some_and(|upstream| upstream.address == *addr)
        });
    }
}

/// Sends a call to an instance of the service and returns its answer.
///
/// # Errors
///
/// Returns a [`Failure`] whose code says whether the call may have run.
pub async fn serve(
    tables: &Arc<Tables>,
    caller: &Caller,
    incoming: IncomingCall,
) -> Result<Response, Failure> {
    let (name, path) = match incoming.target.split_once('/') {
        Some((name, rest)) => (name.to_owned(), format!("/{rest}")),
        None => (incoming.target.clone(), "/".to_owned()),
    };
    let may_repeat = match check_access(tables, caller, &name, incoming.method.as_str(), &path) {
        Ok(may_repeat) => may_repeat,
        Err(failure) => {
            server::discard(incoming.body).await;
            return Err(failure);
        }
    };
    let body = intake::read_body(
        &caller.connection,
        &tables.statsd,
        &caller.request_id,
        incoming.body,
        tables.settings.limits.body_max,
        tables.settings.timeouts.body,
    )
    .await?;
    let headers = forwarded_headers(&incoming.headers, caller);
    let call = ServiceCall { method: incoming.method, path, headers, body };
    if may_repeat {
        send_repeatable(tables, caller, &name, &call).await
    } else {
        once::serve(tables, caller, &name, call).await
    }
}

/// Checks that the caller may make the call, and returns whether the call may be repeated.
fn check_access(
    tables: &Arc<Tables>,
    caller: &Caller,
    name: &str,
    method: &str,
    path: &str,
) -> Result<bool, Failure> {
    let service = caller.active.document.services.get(name).ok_or_else(|| {
        Failure::new(ResultCode::UnknownService, format!("no such service: {name}"))
    })?;
    if !caller.may_use(name) {
        let text = format!("the workspace may not use service {name}");
        return Err(Failure::new(ResultCode::NotAllowed, text));
    }
    limits::check_workspace(tables, caller, 0)?;
    Ok(service.may_repeat(method, path))
}

/// Returns the headers that are sent to a service: content headers, the idempotency key and the request id.
fn forwarded_headers(headers: &HeaderMap, caller: &Caller) -> HeaderMap {
    let mut out = HeaderMap::new();
    let names: [HeaderName; 3] =
        [header::CONTENT_TYPE, header::ACCEPT, HeaderName::from_static(IDEMPOTENCY_HEADER)];
    for name in names {
        if let Some(value) = headers.get(&name) {
            out.insert(name, value.clone());
        }
    }
    if let Ok(value) = caller.request_id.parse() {
        out.insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    out
}

/// Sends a call that may be repeated. It is repeated once, at another instance if there is one, when the first attempt
/// fails or is silent for too long.
async fn send_repeatable(
    tables: &Tables,
    caller: &Caller,
    name: &str,
    call: &ServiceCall,
) -> Result<Response, Failure> {
    let mut targets = instances(tables, caller, name);
    // A single instance also receives the retry: its pooled connection may have become unresponsive.
    targets.extend_from_within(..);
    let [first, second, ..] = &targets[..] else {
        let text = "no instance of the service is available";
        return Err(Failure::new(ResultCode::NoUpstream, text));
    };
    let mut first = Box::pin(send_logged(tables, caller, first, call, Reuse::Any));
    let silence = caller.deadline.mul_f64(FIRST_ATTEMPT_FRACTION);
    let first_error = match tokio::time::timeout(silence, first.as_mut()).await {
        Ok(Ok(response)) => return Ok(response),
        Ok(Err(e)) => Some(e),
        Err(_) => None,
    };
    let is_unsent = matches!(first_error, Some(Error::NotSent(_)));
    let may_repeat = is_unsent || spend_retry(tables, caller);
    let second = send_logged(tables, caller, second, call, Reuse::Never);
    let result = match (first_error, may_repeat) {
        (Some(e), false) => Err(e),
        // "Not run" may be reported only if it holds for both attempts.
        (Some(e), true) => second.await.map_err(|next| if is_unsent { next } else { e }),
        (None, false) => first.await,
        // The silent instance may still answer, and the other one may fail.
        (None, true) => match select_ok([first, Box::pin(second)]).await {
            Ok((response, _)) => Ok(response),
            Err(_) => Err(Error::Broken("neither attempt was answered".to_owned())),
        },
    };
    result.map_err(|e| to_failure(&e))
}

/// Charges a retry to the budget and returns whether it is allowed.
fn spend_retry(tables: &Tables, caller: &Caller) -> bool {
    let context = AttemptContext::received(caller.arrived, 0, SERVICE_TIMEOUT);
    tables.limits().budget.spend(tables.timer.now(), Kind::Retry, context).is_ok()
}

async fn send_logged(
    tables: &Tables,
    caller: &Caller,
    (id, addr): &(UpstreamId, SocketAddr),
    call: &ServiceCall,
    reuse: Reuse,
) -> Result<Response, Error> {
    tables.record_step("http", &caller.request_id, &format!("service call at {id}"));
    let result = send(tables, (id, *addr), call, reuse, SERVICE_TIMEOUT).await;
    if let Err(e) = &result {
        log::warn!("http: {} service call at {id} failed: {e}", caller.request_id);
    }
    result
}

/// Returns the instances in the order in which to try them: those in the failure domain of this VM first.
fn instances(tables: &Tables, caller: &Caller, name: &str) -> Vec<(UpstreamId, SocketAddr)> {
    let mut instances: Vec<_> = caller
        .active
        .document
        .upstreams
        .iter()
        .filter(|(id, upstream)| {
            !upstream.is_leaving
                && !tables.is_listed_leaving(id)
                && matches!(&upstream.kind, UpstreamKind::Service { service } if service == name)
        })
        .collect();
    // A hash of the request id distributes the calls among the instances of one failure domain.
    instances.sort_by_key(|(id, upstream)| {
        let rank = xxh3_64(format!("{}/{id}", caller.request_id).as_bytes());
        (upstream.failure_domain != tables.settings.failure_domain, rank)
    });
    instances.into_iter().map(|(id, upstream)| (id.clone(), upstream.address)).collect()
}

async fn send(
    tables: &Tables,
    (id, addr): (&UpstreamId, SocketAddr),
    call: &ServiceCall,
    reuse: Reuse,
    timeout: Duration,
) -> Result<Response, Error> {
    let mut req = http::Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    let uri = call.path.parse();
    *req.uri_mut() = uri.map_err(|e: http::uri::InvalidUri| Error::NotSent(e.to_string()))?;
    *req.headers_mut() = call.headers.clone();
    let host = HeaderValue::from_str(&addr.to_string());
    req.headers_mut().insert(header::HOST, host.map_err(|e| Error::NotSent(e.to_string()))?);
    let key = (addr, id.as_str().into());
    let sent = tokio::time::timeout(timeout, tables.service_connections.send(&key, req, reuse));
    let no_answer = || Error::Broken(format!("no answer within {timeout:?}"));
    let UpstreamAnswer { head, body } = sent.await.unwrap_or_else(|_| Err(no_answer()))?;
    let body = HeldBody::new(body, Arc::clone(&tables.caller_memory), timeout);
    let mut answer = Response::new(Body::from_body(body));
    *answer.status_mut() = head.status;
    for name in [header::CONTENT_TYPE, header::RETRY_AFTER] {
        if let Some(value) = head.headers.get(&name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    Ok(answer)
}

fn to_failure(e: &Error) -> Failure {
    match e {
        Error::NotSent(_) => Failure::new(ResultCode::NotSent, "the service could not be reached"),
        Error::Broken(_) => Failure::new(ResultCode::OutcomeUnknown, "the service did not answer"),
    }
}
