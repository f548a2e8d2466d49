//! Completion requests: validation, placement and the answer, streamed or as one body.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use http_body::Frame;
use lw_forward::intake::{CallerMemory, Hold, NoRoom, hold_events};
use lw_limit::retry::AttemptContext;
use lw_protocol::{
    caller::{Answer, ChunkWriter, CompletionRequest, DONE, Endpoint, Failure, Usage},
    sse,
};
use lw_route::{CacheScope, Decision, Fingerprint, Placement};
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
    generate::{AnswerEvent, Driver, Job},
    intake, limits,
    tables::{InFlightGuard, Tables},
};

pub(super) async fn serve(
    tables: &Arc<Tables>,
    caller: Caller,
    endpoint: Endpoint,
    body: Body,
    guard: InFlightGuard,
) -> Result<Response, Failure> {
    let settings = &tables.settings;
    let bytes = intake::read_body(
        &caller.connection,
        &tables.statsd,
        &caller.request_id,
        body,
        settings.limits.body_max,
        settings.timeouts.body,
    )
    .await?;
    let completion = CompletionRequest::parse(endpoint, &bytes)?;
    drop(bytes);
    let prompt_hold = intake::hold_prompt(
        &caller.connection,
        &tables.statsd,
        &caller.request_id,
        &completion.prompt,
    )
    .await?;
    let guards = Guards { _in_flight: guard, _prompt: prompt_hold };
    let mut context = AttemptContext::received(caller.arrived, 0, caller.deadline);
    let mut last_failure = None;
    for versions in versions(tables, &caller, &completion)? {
        let mut request = router_request(&caller, &completion, versions)?;
        let tokens = request.fingerprint.tokens;
        if last_failure.is_none() {
            limits::check_workspace(tables, &caller, tokens)?;
            // Under pressure a workspace above its share must leave queue capacity to the others.
            request.deadline = limits::record_offered(tables, &caller, tokens);
        }
        match start_answer(tables, &caller, &completion, request, context).await {
            Ok((first, driver)) => {
                return answer(tables, &caller, &completion, first, driver, guards).await;
            }
            Err(StartFailure { failure, context: next_context }) => {
                let may_continue = may_try_other_version(failure.code);
                context = next_context;
                last_failure = Some(failure_for_caller(last_failure, failure));
                if !may_continue {
                    break;
                }
            }
        }
    }
    Err(last_failure.unwrap_or_else(missing_result))
}

/// What a request holds until its last event is sent.
struct Guards {
    /// Counts the request as in flight.
    _in_flight: InFlightGuard,
    /// Accounts for the memory of its prompt.
    _prompt: Hold,
}

/// Failure of an answer before its first event.
struct StartFailure {
    failure: Failure,
    context: AttemptContext,
}

/// Whether an answer that failed before its first event may be started again with another version: all engines with the
/// replaced weights may have loaded the new ones meanwhile. If it may have run, the next attempt counts as a retry.
fn may_try_other_version(code: ResultCode) -> bool {
    code.executed() == Executed::No
        || matches!(code, ResultCode::StreamBroken | ResultCode::UpstreamError)
}

/// Returns the failure to report to the caller. "Not run" may be reported only if no attempt has run.
fn failure_for_caller(earlier: Option<Failure>, failure: Failure) -> Failure {
    earlier.filter(|earlier| earlier.code.executed() != Executed::No).unwrap_or(failure)
}

/// Places a request and runs it up to the first event of the answer, which determines the HTTP status.
async fn start_answer(
    tables: &Arc<Tables>,
    caller: &Caller,
    completion: &CompletionRequest,
    request: lw_route::Request,
    context: AttemptContext,
) -> Result<(AnswerEvent, Driver), StartFailure> {
    let placement =
        decide(tables, &request).map_err(|failure| StartFailure { failure, context })?;
    limits::record_admitted(tables, caller, request.fingerprint.tokens);
    let (caller, completion) = (caller.clone(), completion.clone());
    let job = Job { caller, completion, request, placement, context };
    let mut driver = Driver::start(Arc::clone(tables), job);
    let failure = match driver.next().await {
        None => missing_result(),
        Some(AnswerEvent::Fail(failure)) => failure,
        Some(first) => return Ok((first, driver)),
    };
    Err(StartFailure { context: driver.context_after(failure.code), failure })
}

async fn answer(
    tables: &Tables,
    caller: &Caller,
    completion: &CompletionRequest,
    first: AnswerEvent,
    driver: Driver,
    guards: Guards,
) -> Result<Response, Failure> {
    let answer = Answer {
        endpoint: completion.endpoint,
        id: caller.request_id.clone(),
        model: model_with_adapter(completion),
        created: unix_seconds(),
    };
    if completion.stream {
        let room = Room { memory: Arc::clone(&tables.caller_memory), time_max: caller.deadline };
        Ok(stream_answer(&answer, first, driver, guards, room))
    } else {
        collect_answer(&answer, first, driver).await
    }
}

fn missing_result() -> Failure {
    Failure::new(ResultCode::Internal, "the answer ended without a result")
}

fn model_with_adapter(completion: &CompletionRequest) -> String {
    match &completion.adapter {
        Some(adapter) => format!("{}:{adapter}", completion.model),
        None => completion.model.clone(),
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Returns the versions to try for a request, best first; more than one only during a rollout.
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
    let target = rollout::configured_versions(model, adapter).ok_or_else(|| {
        let adapter = adapter.unwrap_or_default();
        let text = format!("no such adapter of model {name}: {adapter}");
        Failure::new(ResultCode::UnknownAdapter, text)
    })?;
    let previous = caller.active.previous.get(name);
    let previous = previous.and_then(|previous| rollout::configured_versions(previous, adapter));
    let loaded = match previous {
        None => Vec::new(),
        Some(_) => tables.router().loaded_versions(role(caller, name), name, adapter),
    };
    Ok(rollout::versions_to_try(target, previous, &loaded, &completion.prompt))
}

fn role<'a>(caller: &'a Caller, model: &str) -> &'a str {
    let document = &caller.active.document;
    document.role_for(&caller.workspace, caller.class, model).unwrap_or_default()
}

fn router_request(
    caller: &Caller,
    completion: &CompletionRequest,
    versions: Versions,
) -> Result<lw_route::Request, Failure> {
    let name = &completion.model;
    let scope = CacheScope {
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
        id: caller.request_id.clone(),
        role: role(caller, name).to_owned(),
        scope,
        fingerprint,
        class: caller.class,
        deadline: caller.deadline,
        tried: Vec::new(),
    })
}

fn decide(tables: &Tables, request: &lw_route::Request) -> Result<Placement, Failure> {
    let decision = tables.router().decide(tables.timer.now(), request);
    match decision {
        Decision::Send(placement) => {
            tables.record_step("route", &request.id, &describe_candidates(&placement));
            Ok(placement)
        }
        Decision::Refuse(refusal) => {
            for item in &refusal.rejected {
                let what = format!("{} rejected: {}", item.engine, item.reason);
                tables.record_step("route", &request.id, &what);
            }
            let text = match refusal.expected_first_token {
                Some(time) => format!("the first token would take {} ms", time.as_millis()),
                None => "no engine for the model is available".to_owned(),
            };
            Err(Failure::new(refusal.code, text).retry_after(refusal.retry_after))
        }
    }
}

fn describe_candidates(placement: &Placement) -> String {
    let candidates = placement.candidates.iter().map(|candidate| {
        let ms = candidate.expected_first_token.as_millis();
        let cached = candidate.cached_tokens;
        format!("{}: {} ({ms} ms expected, {cached} cached)", candidate.engine, candidate.reason)
    });
    let rejected =
        placement.rejected.iter().map(|item| format!("{}: {}", item.engine, item.reason));
    format!("candidates {}", candidates.chain(rejected).collect::<Vec<_>>().join("; "))
}

fn usage(end: &End) -> Usage {
    Usage {
        prompt_tokens: end.usage.prompt_tokens,
        cached_tokens: end.usage.cached_prompt_tokens,
        completion_tokens: end.usage.completion_tokens,
    }
}

struct CompletionStream {
    answer: Answer,
    chunks: ChunkWriter,
    first: Option<AnswerEvent>,
    driver: Driver,
    room: Room,
    _guards: Guards,
}

/// Where the events of a stream are accounted for, and how long one may wait for room.
struct Room {
    memory: Arc<CallerMemory>,
    time_max: Duration,
}

impl CompletionStream {
    async fn next(&mut self) -> Option<Result<Bytes, NoRoom>> {
        let event = match self.first.take() {
            Some(event) => event,
            None => self.driver.next().await?,
        };
        let event = Bytes::from(match event {
            AnswerEvent::Text(text) => self.chunks.event(&text),
            AnswerEvent::Finish(end) => {
                let last = self.answer.last_chunk(&end.finish_reason, &usage(&end));
                sse::event(&last.to_string()) + &sse::event(DONE)
            }
            AnswerEvent::Fail(failure) => sse::event(&failure.body().to_string()),
        });
        let held = hold_events(&self.room.memory, event, self.room.time_max).await;
        if let Err(e) = &held {
            log::warn!("http: {} broken off: {e}", self.answer.id);
        }
        Some(held)
    }
}

fn stream_answer(
    answer: &Answer,
    first: AnswerEvent,
    driver: Driver,
    guards: Guards,
    room: Room,
) -> Response {
    let chunks = answer.chunk_writer();
    let stream = CompletionStream {
        answer: answer.clone(),
        chunks,
        first: Some(first),
        driver,
        room,
        _guards: guards,
    };
    // Boxed, since each event moves this state into a future and back.
    let events = stream::unfold(Box::new(stream), async |mut stream: Box<CompletionStream>| {
        let event = stream.next().await?;
        let frame = event.map(Frame::data).map_err(volo_http::error::BoxError::from);
        Some((frame, stream))
    });
    let body = Body::from_stream(SyncStream::new(events));
    server::respond(StatusCode::OK, "text/event-stream", body)
}

async fn collect_answer(
    answer: &Answer,
    first: AnswerEvent,
    mut driver: Driver,
) -> Result<Response, Failure> {
    let mut text = String::new();
    let mut next = Some(first);
    loop {
        match next {
            Some(AnswerEvent::Text(more)) => text.push_str(&more),
            Some(AnswerEvent::Finish(end)) => {
                let body = answer.body(&text, &end.finish_reason, &usage(&end));
                return Ok(server::json(StatusCode::OK, &body));
            }
            Some(AnswerEvent::Fail(failure)) => return Err(failure),
            None => return Err(missing_result()),
        }
        next = driver.next().await;
    }
}
