//! Completion requests: validation, decision and the answer, streamed or whole.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use http_body::Frame;
use lw_limit::retry::AttemptContext;
use lw_protocol::{
    caller::{Answer, ChunkWriter, CompletionRequest, DONE, Endpoint, Failure, Usage},
    sse,
};
use lw_route::{Decision, Fingerprint, Placement, Scope};
use lw_stream::event::End;
use lw_transport::server;
use lw_types::prelude::*;
use sync_wrapper::SyncStream;
use volo_http::{body::Body, response::Response};

use super::{
    Caller,
    rollout::{self, Versions},
};
use crate::{
    generate::{Driver, Job, Piece},
    limits,
    tables::{InFlight, Tables},
};

pub(super) async fn serve(
    tables: &Arc<Tables>,
    caller: Caller,
    endpoint: Endpoint,
    body: Body,
    guard: InFlight,
) -> Result<Response, Failure> {
    let settings = &tables.settings;
    let bytes = server::read_body(body, settings.limits.body_max, settings.timeouts.body).await?;
    let completion = CompletionRequest::parse(endpoint, &bytes)?;
    let mut carried = AttemptContext::received(caller.arrived, 0, caller.deadline);
    let mut last = None;
    for versions in versions(tables, &caller, &completion)? {
        let mut request = describe(&caller, &completion, versions)?;
        let tokens = request.fingerprint.tokens;
        if last.is_none() {
            limits::check_workspace(tables, &caller, tokens)?;
            // Under pressure a workspace above its share must leave room in the queues for the others.
            request.deadline = limits::offered(tables, &caller, tokens);
        }
        match begin(tables, &caller, &completion, request, carried).await {
            Ok((first, driver)) => return answer(&caller, &completion, first, driver, guard).await,
            Err(Unbegun { failure, carried: spent }) => {
                let may_go_on = may_go_on(failure.code);
                carried = spent;
                last = Some(first_that_ran(last, failure));
                if !may_go_on {
                    break;
                }
            }
        }
    }
    Err(last.unwrap_or_else(no_result))
}

/// An answer that failed before its first piece.
struct Unbegun {
    failure: Failure,
    carried: AttemptContext,
}

/// Whether an answer that failed before its first piece may begin with other weights. The engines with the old ones
/// may all have changed theirs meanwhile. Where it may have run, the next attempt counts as a retry.
fn may_go_on(code: ResultCode) -> bool {
    code.ran() == Ran::No || matches!(code, ResultCode::StreamBroken | ResultCode::UpstreamError)
}

/// The failure for the caller: one that says "not run" must hold for all attempts.
fn first_that_ran(before: Option<Failure>, failure: Failure) -> Failure {
    before.filter(|before| before.code.ran() != Ran::No).unwrap_or(failure)
}

/// Decides and drives a request up to its first piece, on which the status of the answer depends.
async fn begin(
    tables: &Arc<Tables>,
    caller: &Caller,
    completion: &CompletionRequest,
    request: lw_route::Request,
    carried: AttemptContext,
) -> Result<(Piece, Driver), Unbegun> {
    let placement = decide(tables, &request).map_err(|failure| Unbegun { failure, carried })?;
    limits::admitted(tables, caller, request.fingerprint.tokens);
    let (caller, completion) = (caller.clone(), completion.clone());
    let job = Job { caller, completion, request, placement, carried };
    let mut driver = Driver::start(Arc::clone(tables), job);
    let failure = match driver.next().await {
        None => no_result(),
        Some(Piece::Fail(failure)) => failure,
        Some(first) => return Ok((first, driver)),
    };
    Err(Unbegun { carried: driver.carried(failure.code), failure })
}

async fn answer(
    caller: &Caller,
    completion: &CompletionRequest,
    first: Piece,
    driver: Driver,
    guard: InFlight,
) -> Result<Response, Failure> {
    let answer = Answer {
        endpoint: completion.endpoint,
        id: caller.request.clone(),
        model: full_name(completion),
        created: unix_seconds(),
    };
    if completion.stream {
        Ok(stream_answer(&answer, first, driver, guard))
    } else {
        whole_answer(&answer, first, driver).await
    }
}

fn no_result() -> Failure {
    Failure::new(ResultCode::Internal, "the answer ended without a result")
}

fn full_name(completion: &CompletionRequest) -> String {
    match &completion.adapter {
        Some(adapter) => format!("{}:{adapter}", completion.model),
        None => completion.model.clone(),
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// The versions to try for a request, best first; more than one only during a rollout.
fn versions(
    tables: &Tables,
    caller: &Caller,
    completion: &CompletionRequest,
) -> Result<Vec<Versions>, Failure> {
    let name = &completion.model;
    let adapter = completion.adapter.as_deref();
    let document = &caller.active.document;
    let model = document
        .models
        .get(name)
        .ok_or_else(|| Failure::new(ResultCode::UnknownModel, format!("no such model: {name}")))?;
    if !caller.may_use(name) {
        let text = format!("the workspace may not use model {name}");
        return Err(Failure::new(ResultCode::NotAllowed, text));
    }
    let wanted = rollout::named(model, adapter).ok_or_else(|| {
        let adapter = adapter.unwrap_or_default();
        let text = format!("no such adapter of model {name}: {adapter}");
        Failure::new(ResultCode::UnknownAdapter, text)
    })?;
    let previous = caller.active.previous.get(name);
    let previous = previous.and_then(|previous| rollout::named(previous, adapter));
    let loaded = match previous {
        None => Vec::new(),
        Some(_) => tables.router().loaded_versions(role(caller, name), name, adapter),
    };
    Ok(rollout::choose(wanted, previous, &loaded, &completion.prompt))
}

fn role<'a>(caller: &'a Caller, model: &str) -> &'a str {
    let document = &caller.active.document;
    document.role_for(&caller.workspace, caller.class, model).unwrap_or_default()
}

fn describe(
    caller: &Caller,
    completion: &CompletionRequest,
    versions: Versions,
) -> Result<lw_route::Request, Failure> {
    let name = &completion.model;
    let scope = Scope {
        workspace: caller.workspace.clone(),
        model: name.clone(),
        model_version: versions.model,
        adapter: completion.adapter.clone(),
        adapter_version: versions.adapter,
    };
    let fingerprint = Fingerprint::of(&scope, completion.prompt.as_bytes());
    let model = caller.active.document.models.get(name);
    let max_tokens = model.map_or(0, |model| model.max_prompt_tokens);
    if fingerprint.tokens > max_tokens {
        let text =
            format!("the prompt has about {} tokens, allowed: {max_tokens}", fingerprint.tokens);
        return Err(Failure::new(ResultCode::PromptTooLong, text));
    }
    Ok(lw_route::Request {
        id: caller.request.clone(),
        role: role(caller, name).to_owned(),
        scope,
        fingerprint,
        class: caller.class,
        deadline: caller.deadline,
        avoid: Vec::new(),
    })
}

fn decide(tables: &Tables, request: &lw_route::Request) -> Result<Placement, Failure> {
    let decision = tables.router().decide(tables.timer.now(), request);
    match decision {
        Decision::Send(placement) => {
            tables.note("route", &request.id, &explain(&placement));
            Ok(placement)
        }
        Decision::Refuse(refusal) => {
            for item in &refusal.rejected {
                let what = format!("{} not chosen: {}", item.engine, item.why);
                tables.note("route", &request.id, &what);
            }
            let text = match refusal.expected {
                Some(time) => format!("the first token would take {} ms", time.as_millis()),
                None => "no engine for the model is available".to_owned(),
            };
            Err(Failure::new(refusal.code, text).retry_after(refusal.retry_after))
        }
    }
}

fn explain(placement: &Placement) -> String {
    let chosen = placement.candidates.iter().map(|candidate| {
        let ms = candidate.expected.as_millis();
        let cached = candidate.cached_tokens;
        format!("{}: {} ({ms} ms expected, {cached} cached)", candidate.engine, candidate.why)
    });
    let rejected = placement.rejected.iter().map(|item| format!("{}: {}", item.engine, item.why));
    format!("candidates {}", chosen.chain(rejected).collect::<Vec<_>>().join("; "))
}

fn usage(end: &End) -> Usage {
    Usage {
        prompt_tokens: end.usage.prompt_tokens,
        cached_tokens: end.usage.cached_prompt_tokens,
        completion_tokens: end.usage.completion_tokens,
    }
}

struct Stream {
    answer: Answer,
    chunks: ChunkWriter,
    first: Option<Piece>,
    driver: Driver,
    // The request stays in flight until its last event was taken.
    _guard: InFlight,
}

impl Stream {
    async fn next(&mut self) -> Option<Bytes> {
        let piece = match self.first.take() {
            Some(piece) => piece,
            None => self.driver.next().await?,
        };
        Some(Bytes::from(match piece {
            Piece::Text(text) => self.chunks.event(&text),
            Piece::Finish(end) => {
                let last = self.answer.last_chunk(&end.finish_reason, &usage(&end));
                sse::event(&last.to_string()) + &sse::event(DONE)
            }
            Piece::Fail(failure) => sse::event(&failure.body().to_string()),
        }))
    }
}

fn stream_answer(answer: &Answer, first: Piece, driver: Driver, guard: InFlight) -> Response {
    let chunks = answer.chunk_writer();
    let stream =
        Stream { answer: answer.clone(), chunks, first: Some(first), driver, _guard: guard };
    // Boxed, since each event moves the state of the stream into its future and back.
    let events = stream::unfold(Box::new(stream), async |mut stream: Box<Stream>| {
        let event = stream.next().await?;
        Some((Ok::<_, volo_http::error::BoxError>(Frame::data(event)), stream))
    });
    let body = Body::from_stream(SyncStream::new(events));
    server::respond(StatusCode::OK, "text/event-stream", body)
}

async fn whole_answer(
    answer: &Answer,
    first: Piece,
    mut driver: Driver,
) -> Result<Response, Failure> {
    let mut text = String::new();
    let mut next = Some(first);
    loop {
        match next {
            Some(Piece::Text(piece)) => text.push_str(&piece),
            Some(Piece::Finish(end)) => {
                let body = answer.body(&text, &end.finish_reason, &usage(&end));
                return Ok(server::json(StatusCode::OK, &body));
            }
            Some(Piece::Fail(failure)) => return Err(failure),
            None => return Err(no_result()),
        }
        next = driver.next().await;
    }
}
