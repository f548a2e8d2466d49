//! One attempt of a completion at one engine.

use std::{
    future::Future,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body::Body as _;
use lw_protocol::{
    sse,
    upstream::{Adapter, EngineRefusal, GenerateRequest, Resume},
};
use lw_transport::client::{self, Call, Clients, Reuse};
use lw_types::prelude::*;
use volo_http::{body::Body, response::Response};

use super::{Job, kv::KvMove};

/// Longest event of an engine in bytes.
const EVENT_MAX_BYTES: usize = 64 << 10;
/// Timeout for the headers of the answer. The stream assembler fails the attempt earlier.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest body of a refusal that is read, in bytes.
const REFUSAL_MAX_BYTES: usize = 4 << 10;

/// What an attempt has received.
#[derive(Debug)]
pub(super) enum Received {
    /// The engine accepted the request.
    Started,
    /// The data of one event.
    Data(String),
    /// The connection ended.
    Closed,
    /// The attempt failed.
    Failed { code: ResultCode, reason: String },
}

type AttemptFailure = (ResultCode, String);
type ConnectFuture = Pin<Box<dyn Future<Output = Result<Body, AttemptFailure>> + Send>>;

enum State {
    Connecting(ConnectFuture),
    Reading { body: Body, parser: sse::Parser },
    Ended,
}

/// A running attempt. Dropping it closes its connection, which cancels it at the engine.
pub(super) struct AttemptStream {
    state: State,
    /// Data of parsed events that were not returned yet, last one first.
    parsed: Vec<String>,
}

/// Returns the body of the request to the engine.
pub(super) fn request_body(
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
        deadline_ms: 0,
    }
}

fn priority(class: Class) -> u8 {
    match class {
        Class::Live => 0,
        Class::Standard => 1,
        Class::Bulk => 2,
    }
}

impl AttemptStream {
    /// Creates an attempt that sends its request when it is first polled, after the KV move if there is one.
    ///
    /// A pooled connection may be unresponsive, so only the first attempt of a request may use one.
    pub(super) fn new(
        clients: &Arc<Clients>,
        addr: SocketAddr,
        request: &GenerateRequest,
        reuse: Reuse,
        kv_move: Option<KvMove>,
    ) -> Self {
        let clients = Arc::clone(clients);
        let encoded = serde_json::to_vec(request);
        let connecting = async move {
            if let Some(kv_move) = kv_move {
                kv_move.run(&clients).await;
            }
            let body = encoded.map_err(|e| (ResultCode::Internal, e.to_string()))?;
            connect(&clients, addr, body.into(), reuse).await
        };
        Self { state: State::Connecting(Box::pin(connecting)), parsed: Vec::new() }
    }

    /// Polls for what the attempt receives next. Nothing follows [`Received::Closed`] or [`Received::Failed`].
    pub(super) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Received> {
        loop {
            if let Some(data) = self.parsed.pop() {
                return Poll::Ready(Received::Data(data));
            }
            let step = match &mut self.state {
                State::Connecting(connecting) => match ready!(connecting.as_mut().poll(cx)) {
                    Ok(body) => {
                        let parser = sse::Parser::new(EVENT_MAX_BYTES);
                        self.state = State::Reading { body, parser };
                        return Poll::Ready(Received::Started);
                    }
                    Err(e) => Err(e),
                },
                State::Reading { body, parser } => {
                    if let Some(frame) = ready!(pin!(body).poll_frame(cx)) {
                        parse_frame(frame.map_err(|e| e.to_string()), parser, &mut self.parsed)
                    } else {
                        self.state = State::Ended;
                        return Poll::Ready(Received::Closed);
                    }
                }
                State::Ended => return Poll::Pending,
            };
            if let Err((code, reason)) = step {
                self.state = State::Ended;
                return Poll::Ready(Received::Failed { code, reason });
            }
        }
    }
}

fn parse_frame(
    frame: Result<http_body::Frame<Bytes>, String>,
    parser: &mut sse::Parser,
    parsed: &mut Vec<String>,
) -> Result<(), AttemptFailure> {
    let broken = |e: String| (ResultCode::StreamBroken, e);
    if let Ok(bytes) = frame.map_err(broken)?.into_data() {
        *parsed = parser.push(&bytes).map_err(|e| broken(e.to_string()))?;
        parsed.reverse();
    }
    Ok(())
}

async fn connect(
    clients: &Clients,
    addr: SocketAddr,
    body: Bytes,
    reuse: Reuse,
) -> Result<Body, AttemptFailure> {
    let mut call = Call::new(Method::POST, addr, "/generate", HEADERS_TIMEOUT);
    call.body = body;
    call.reuse = reuse;
    let response = clients.send(call).await.map_err(|e| (failure_code(&e), e.to_string()))?;
    if response.status() != StatusCode::OK {
        return Err(refusal_failure(response).await);
    }
    Ok(response.into_body())
}

fn failure_code(e: &client::Error) -> ResultCode {
    if e.is_unsent() { ResultCode::NotSent } else { ResultCode::StreamBroken }
}

/// Returns the failure for an error answer. An engine sends a refusal before it does any work; any other error answer
/// leaves open whether it did.
async fn refusal_failure(response: Response) -> AttemptFailure {
    let status = response.status();
    let body = client::read_body(response.into_body(), REFUSAL_MAX_BYTES).await;
    let refusal = body.ok().and_then(|bytes| serde_json::from_slice::<EngineRefusal>(&bytes).ok());
    match refusal {
        Some(refusal) => (ResultCode::NotSent, format!("refused: {:?}", refusal.reason)),
        None => (ResultCode::UpstreamError, format!("status {status}")),
    }
}
