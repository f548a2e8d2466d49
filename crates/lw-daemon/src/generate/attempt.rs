//! One attempt of a completion at one engine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use lw_protocol::{
    sse,
    upstream::{Adapter, EngineRefusal, GenerateEvent, GenerateRequest, Resume},
};
use lw_transport::client::{self, Call, Reuse};
use lw_types::prelude::*;
use tokio::{sync::mpsc, task::AbortHandle};

use super::Job;
use crate::tables::Tables;

/// Longest event of an engine in bytes.
const EVENT_MAX_BYTES: usize = 64 << 10;
/// Bound for the headers of the answer. The assembler gives up earlier; this ends forgotten tasks.
const HEADERS_MAX: Duration = Duration::from_secs(600);
/// Longest refusal that is read, in bytes.
const REFUSAL_MAX_BYTES: usize = 4 << 10;

/// Where and how an attempt is sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Plan {
    pub(super) attempt: Attempt,
    pub(super) addr: SocketAddr,
    pub(super) is_first: bool,
}

/// Something that an attempt received.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) attempt: Attempt,
    pub(super) received: Received,
}

#[derive(Debug)]
pub(super) enum Received {
    Started,
    Event(Box<GenerateEvent>),
    Closed,
    Failed { code: ResultCode, reason: String },
}

pub(super) fn body(
    job: &Job,
    attempt: Attempt,
    incarnation: Option<Incarnation>,
    resume: Option<Resume>,
) -> GenerateRequest {
    let scope = &job.request.scope;
    let adapter = scope.adapter.clone().zip(scope.adapter_version.clone());
    GenerateRequest {
        request: job.request.id.clone(),
        attempt,
        model: scope.model.clone(),
        version: scope.model_version.clone(),
        adapter: adapter.map(|(name, version)| Adapter { name, version }),
        scope: format!("{:016x}", job.request.fingerprint.salt),
        prompt: job.completion.prompt.clone(),
        blocks: job.request.fingerprint.blocks.clone(),
        max_tokens: job.completion.max_tokens,
        resume,
        priority: priority(job.caller.class),
        incarnation,
        deadline_ms: u64::try_from(job.caller.deadline.as_millis()).unwrap_or(u64::MAX),
    }
}

fn priority(class: Class) -> u8 {
    match class {
        Class::Live => 0,
        Class::Standard => 1,
        Class::Bulk => 2,
    }
}

/// Starts the attempt; aborting the task closes its connection, which cancels it at the engine.
pub(super) fn spawn(
    tables: Arc<Tables>,
    plan: Plan,
    body: GenerateRequest,
    events: mpsc::Sender<Incoming>,
) -> AbortHandle {
    let task = async move {
        let last = match exchange(&tables, plan, body, &events).await {
            Ok(()) => Received::Closed,
            Err((code, reason)) => Received::Failed { code, reason },
        };
        let _ = events.send(Incoming { attempt: plan.attempt, received: last }).await;
    };
    tokio::spawn(task).abort_handle()
}

async fn exchange(
    tables: &Tables,
    plan: Plan,
    body: GenerateRequest,
    events: &mpsc::Sender<Incoming>,
) -> Result<(), (ResultCode, String)> {
    let mut call = Call::new(Method::POST, plan.addr, "/generate", HEADERS_MAX);
    call.body =
        serde_json::to_vec(&body).map_err(|e| (ResultCode::Internal, e.to_string()))?.into();
    drop(body);
    // A pooled connection may have gone silent, so only the first attempt uses one.
    call.reuse = if plan.is_first { Reuse::Pooled } else { Reuse::Fresh };
    let response =
        tables.clients.send(call).await.map_err(|e| (failure_code(&e), e.to_string()))?;
    if response.status() != StatusCode::OK {
        return Err(refused(response).await);
    }
    let send = |received| events.send(Incoming { attempt: plan.attempt, received });
    let _ = send(Received::Started).await;
    let mut parser = sse::Parser::new(EVENT_MAX_BYTES);
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let broken = |e: String| (ResultCode::StreamBroken, e);
        let frame = frame.map_err(|e| broken(e.to_string()))?;
        let Ok(bytes) = frame.into_data() else { continue };
        for data in parser.push(&bytes).map_err(|e| broken(e.to_string()))? {
            let event = serde_json::from_str(&data).map_err(|e| broken(e.to_string()))?;
            let _ = send(Received::Event(Box::new(event))).await;
        }
    }
    Ok(())
}

fn failure_code(e: &client::Error) -> ResultCode {
    if e.is_not_sent() { ResultCode::NotSent } else { ResultCode::StreamBroken }
}

/// An engine refuses before it does any work; other error answers say nothing about that.
async fn refused(response: volo_http::response::Response) -> (ResultCode, String) {
    let status = response.status();
    let body = client::read_body(response.into_body(), REFUSAL_MAX_BYTES).await;
    let refusal = body.ok().and_then(|bytes| serde_json::from_slice::<EngineRefusal>(&bytes).ok());
    match refusal {
        Some(refusal) => (ResultCode::NotSent, format!("refused: {:?}", refusal.reason)),
        None => (ResultCode::UpstreamError, format!("status {status}")),
    }
}
