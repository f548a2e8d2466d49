//! Calls to plain services.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, header};
use lw_config::document::UpstreamKind;
use lw_limit::retry::{AttemptContext, Kind};
use lw_protocol::caller::{Failure, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER};
use lw_transport::{
    client::{Call, Error, Reuse},
    server,
};
use lw_types::prelude::*;
use volo_http::{body::Body, response::Response};
use xxhash_rust::xxh3::xxh3_64;

use crate::{callers::Caller, limits, tables::Tables};

mod once;

/// Attempts of a call that may be repeated.
const REPEATABLE_ATTEMPTS: usize = 2;
/// Part of the deadline that the first attempt may take, so that a connection that went silent costs no more.
const FIRST_ATTEMPT_PART: f64 = 0.6;
/// Time for a service to answer with its headers.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller's request to a service.
#[derive(Debug)]
pub struct Incoming {
    /// Method.
    pub method: Method,
    /// Service name, path and query, without a leading slash.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

struct Prepared {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

/// Sends a call to an instance of the service and returns its answer.
///
/// # Errors
///
/// A [`Failure`] whose code says whether the call may have run.
pub async fn serve(
    tables: &Arc<Tables>,
    caller: &Caller,
    incoming: Incoming,
) -> Result<Response, Failure> {
    let (name, path) = match incoming.target.split_once('/') {
        Some((name, rest)) => (name.to_owned(), format!("/{rest}")),
        None => (incoming.target.clone(), "/".to_owned()),
    };
    let may_repeat = match check(tables, caller, &name, incoming.method.as_str(), &path) {
        Ok(may_repeat) => may_repeat,
        Err(failure) => {
            server::discard(incoming.body).await;
            return Err(failure);
        }
    };
    let limits = &tables.settings.limits;
    let body =
        server::read_body(incoming.body, limits.body_max, tables.settings.timeouts.body).await?;
    let headers = forwarded(&incoming.headers, caller);
    let call = Prepared { method: incoming.method, path, headers, body };
    if may_repeat {
        repeatable(tables, caller, &name, &call).await
    } else {
        once::serve(tables, caller, &name, call).await
    }
}

/// Whether the call may be repeated, when the caller may make it at all.
fn check(
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

/// Headers that a service gets: content headers, the idempotency key and the request id.
fn forwarded(headers: &HeaderMap, caller: &Caller) -> HeaderMap {
    let mut out = HeaderMap::new();
    let passed: [HeaderName; 3] =
        [header::CONTENT_TYPE, header::ACCEPT, HeaderName::from_static(IDEMPOTENCY_HEADER)];
    for name in passed {
        if let Some(value) = headers.get(&name) {
            out.insert(name, value.clone());
        }
    }
    if let Ok(value) = caller.request.parse() {
        out.insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    out
}

async fn repeatable(
    tables: &Tables,
    caller: &Caller,
    name: &str,
    call: &Prepared,
) -> Result<Response, Failure> {
    let mut targets = instances(tables, caller, name);
    // A single instance gets the retry too: its pooled connection may have gone silent.
    targets.extend_from_within(..);
    targets.truncate(REPEATABLE_ATTEMPTS);
    let mut carried = AttemptContext::received(caller.arrived, 0, SERVICE_TIMEOUT);
    let mut last = Failure::new(ResultCode::NoUpstream, "no instance of the service is available");
    for (i, (id, addr)) in targets.into_iter().enumerate() {
        tables.note("http", &caller.request, &format!("service call at {id}"));
        let (reuse, timeout) = match i {
            0 => (Reuse::Pooled, caller.deadline.mul_f64(FIRST_ATTEMPT_PART)),
            _ => (Reuse::Fresh, SERVICE_TIMEOUT),
        };
        let e = match send(tables, addr, call, reuse, timeout).await {
            Ok(response) => return Ok(response),
            Err(e) => e,
        };
        log::warn!("http: {} service call at {id} failed: {e}", caller.request);
        last = failure(&e);
        if !e.is_not_sent() {
            let now = tables.timer.now();
            let spent = tables.limits().budget.spend(now, Kind::Retry, carried);
            match spent {
                Ok(next) => carried = next,
                Err(_) => break,
            }
        }
    }
    Err(last)
}

/// Instances to try in this order: those of the own failure domain first.
fn instances(tables: &Tables, caller: &Caller, name: &str) -> Vec<(UpstreamId, SocketAddr)> {
    let mut found: Vec<_> = caller
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
    // Instances of one failure domain share the calls by a hash of the request.
    found.sort_by_key(|(id, upstream)| {
        let spread = xxh3_64(format!("{}/{id}", caller.request).as_bytes());
        (upstream.failure_domain != tables.settings.failure_domain, spread)
    });
    found.into_iter().map(|(id, upstream)| (id.clone(), upstream.address)).collect()
}

async fn send(
    tables: &Tables,
    addr: SocketAddr,
    call: &Prepared,
    reuse: Reuse,
    timeout: Duration,
) -> Result<Response, Error> {
    let out = Call {
        method: call.method.clone(),
        addr,
        path: &call.path,
        headers: call.headers.clone(),
        body: call.body.clone(),
        timeout,
        reuse,
    };
    let response = tables.clients.send(out).await?;
    let (parts, body) = response.into_parts();
    let mut answer = Response::new(Body::from_body(body));
    *answer.status_mut() = parts.status;
    for name in [header::CONTENT_TYPE, header::RETRY_AFTER] {
        if let Some(value) = parts.headers.get(&name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    Ok(answer)
}

fn failure(e: &Error) -> Failure {
    match e {
        Error::NotSent(_) => Failure::new(ResultCode::NotSent, "the service could not be reached"),
        _ => Failure::new(ResultCode::OutcomeUnknown, "the service did not answer"),
    }
}
