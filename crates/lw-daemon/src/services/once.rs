//! Calls that may not be repeated: each is claimed before it is sent, and sent at most once.

use std::sync::Arc;

use http::{HeaderName, HeaderValue, StatusCode};
use lw_claim::{
    executor::CallDecision,
    record::{BodyDigest, ClaimKey, Outcome},
};
use lw_forward::pool::{Error, Reuse};
use lw_protocol::caller::{Failure, IDEMPOTENCY_HEADER};
use lw_transport::server;
use lw_types::prelude::*;
use volo_http::{body::Body, response::Response};

use super::{SERVICE_TIMEOUT, ServiceCall, instances, send, to_failure};
use crate::{
    callers::Caller,
    claims::{self, Claim},
    tables::Tables,
};

/// Longest idempotency key in bytes.
const KEY_MAX_BYTES: usize = 255;
/// Header that marks a replayed answer: it was recorded when the call ran earlier.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Runs a call at most once for its idempotency key.
pub(super) async fn serve(
    tables: &Arc<Tables>,
    caller: &Caller,
    name: &str,
    call: ServiceCall,
) -> Result<Response, Failure> {
    let key = call.headers.get(IDEMPOTENCY_HEADER).filter(|key| !key.is_empty());
    let key = key.ok_or_else(|| {
        let text = format!("a call that may not be repeated needs the header {IDEMPOTENCY_HEADER}");
        Failure::new(ResultCode::KeyMissing, text)
    })?;
    if key.len() > KEY_MAX_BYTES {
        let text = format!("{IDEMPOTENCY_HEADER} is longer than {KEY_MAX_BYTES} bytes");
        return Err(Failure::new(ResultCode::InvalidField, text));
    }
    if caller.active.is_provisional {
        let text = "only the bootstrap configuration is in force";
        return Err(Failure::new(ResultCode::ClaimUnavailable, text));
    }
    let text = String::from_utf8_lossy(key.as_bytes());
    let key = ClaimKey::new(&caller.workspace, name, &text);
    let digest = BodyDigest::new(call.method.as_str(), &call.path, &call.body);
    let tables = Arc::clone(tables);
    let (caller, name) = (caller.clone(), name.to_owned());
    // The call runs in its own task, so that its outcome is recorded even if the caller disconnects.
    let task = tokio::spawn(async move {
        let guard = tables.track_request();
        let answer = run_call(&tables, &caller, &name, call, key, digest).await;
        drop(guard);
        answer
    });
    task.await.unwrap_or_else(|e| Err(Failure::new(ResultCode::OutcomeUnknown, e.to_string())))
}

async fn run_call(
    tables: &Arc<Tables>,
    caller: &Caller,
    name: &str,
    call: ServiceCall,
    key: ClaimKey,
    digest: BodyDigest,
) -> Result<Response, Failure> {
    let (claim, decision) = claims::request_claim(tables, key, digest).await;
    let what = match &decision {
        CallDecision::Run => "claim granted".to_owned(),
        CallDecision::Replay { status, .. } => {
            format!("answer of an earlier call, status {status}")
        }
        other => format!("claim not granted: {other:?}"),
    };
    tables.record_step("claim", &caller.request_id, &what);
    match decision {
        CallDecision::Run => send_once(tables, caller, name, &call, claim).await,
        CallDecision::Replay { status, body } => Ok(replayed_response(status, body)),
        other => Err(claim_failure(&other)),
    }
}

fn claim_failure(decision: &CallDecision) -> Failure {
    let text = match decision {
        CallDecision::InProgress => "a call with this idempotency key is still running",
        CallDecision::Unknown => {
            "a call with this idempotency key was sent and its outcome is unknown"
        }
        CallDecision::KeyReused => "the idempotency key was used with another request",
        _ => "the call was not run, since it could not be claimed",
    };
    Failure::new(decision.result_code().unwrap_or(ResultCode::Internal), text)
}

fn replayed_response(status: u16, body: Option<Vec<u8>>) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response =
        server::respond(status, "application/json", Body::from(body.unwrap_or_default()));
    let name = HeaderName::from_static(REPLAYED_HEADER);
    response.headers_mut().insert(name, HeaderValue::from_static("true"));
    response
}

async fn send_once(
    tables: &Tables,
    caller: &Caller,
    name: &str,
    call: &ServiceCall,
    claim: Claim,
) -> Result<Response, Failure> {
    if !claim.try_start() {
        return Err(claim_failure(&CallDecision::NotRun));
    }
    let mut last_failure =
        Failure::new(ResultCode::NoUpstream, "no instance of the service is available");
    for (id, addr) in instances(tables, caller, name) {
        tables.record_step("claim", &caller.request_id, &format!("call sent to {id}"));
        match send(tables, (&id, addr), call, Reuse::Never, SERVICE_TIMEOUT).await {
            Ok(response) => return record_outcome(tables, response, claim).await,
            // Only a failed connect proves that the call was not sent, so only then another instance is tried.
            Err(e @ Error::NotSent(_)) => last_failure = to_failure(&e),
            Err(e) => {
                log::warn!("claim: {} call at {id} has an unknown outcome: {e}", caller.request_id);
                claim.finish(Outcome::Unknown);
                return Err(to_failure(&e));
            }
        }
    }
    claim.finish(Outcome::NotRun);
    Err(last_failure)
}

async fn record_outcome(
    tables: &Tables,
    response: Response,
    claim: Claim,
) -> Result<Response, Failure> {
    let (parts, body) = response.into_parts();
    match tables.answer_memory.collect(body).await {
        Ok(bytes) => {
            claim.finish(claims::done_outcome(parts.status.as_u16(), &bytes));
            Ok(Response::from_parts(parts, Body::from(bytes)))
        }
        Err(e) => {
            claim.finish(Outcome::Unknown);
            let text = format!("the service ran the call, but {e}");
            Err(Failure::new(ResultCode::OutcomeUnknown, text))
        }
    }
}
