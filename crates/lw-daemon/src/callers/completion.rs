//! Completion requests: validation, decision and the answer, streamed or whole.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use http_body::Frame;
use lw_config::document::Model;
use lw_protocol::{
    caller::{Answer, ChunkWriter, Completion, DONE, Endpoint, Failure, Usage},
    sse,
};
use lw_route::{Decision, Fingerprint, Placement, Scope};
use lw_stream::event::End;
use lw_transport::server;
use lw_types::prelude::*;
use sync_wrapper::SyncStream;
use volo_http::{body::Body, response::Response};

use super::Caller;
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
    let completion = Completion::parse(endpoint, &bytes)?;
    let request = describe(&caller, &completion)?;
    limits::check_workspace(tables, &caller, request.fingerprint.tokens)?;
    // Shares come before the placement: above-share work must not fill the queues that the rest needs.
    limits::check_share(tables, &caller, &request)?;
    let placement = decide(tables, &request)?;

    let answer = Answer {
        endpoint,
        id: caller.request.clone(),
        model: full_name(&completion),
        created: unix_seconds(),
    };
    let streamed = completion.stream;
    let job = Job { caller, completion, request, placement };
    let mut driver = Driver::start(Arc::clone(tables), job);
    // The status depends on the first piece: a failure before it is an ordinary error answer.
    match driver.next().await {
        None => Err(Failure::new(ResultCode::Internal, "the answer ended without a result")),
        Some(Piece::Fail(failure)) => Err(failure),
        Some(first) if streamed => Ok(stream_answer(&answer, first, driver, guard)),
        Some(first) => whole_answer(&answer, first, driver).await,
    }
}

fn full_name(completion: &Completion) -> String {
    match &completion.adapter {
        Some(adapter) => format!("{}:{adapter}", completion.model),
        None => completion.model.clone(),
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

fn describe(caller: &Caller, completion: &Completion) -> Result<lw_route::Request, Failure> {
    let name = &completion.model;
    let document = &caller.active.document;
    let model = document
        .models
        .get(name)
        .ok_or_else(|| Failure::new(ResultCode::UnknownModel, format!("no such model: {name}")))?;
    if !caller.may_use(name) {
        let text = format!("the workspace may not use model {name}");
        return Err(Failure::new(ResultCode::NotAllowed, text));
    }
    let scope = scope(caller, completion, model)?;
    let fingerprint = Fingerprint::of(&scope, completion.prompt.as_bytes());
    if fingerprint.tokens > model.max_prompt_tokens {
        let text = format!(
            "the prompt has about {} tokens, allowed: {}",
            fingerprint.tokens, model.max_prompt_tokens
        );
        return Err(Failure::new(ResultCode::PromptTooLong, text));
    }
    let role = document.role_for(&caller.workspace, caller.class, name).unwrap_or_default();
    Ok(lw_route::Request {
        id: caller.request.clone(),
        role: role.to_owned(),
        scope,
        fingerprint,
        class: caller.class,
        deadline: caller.deadline,
        avoid: Vec::new(),
    })
}

fn scope(caller: &Caller, completion: &Completion, model: &Model) -> Result<Scope, Failure> {
    let adapter_version = match &completion.adapter {
        None => None,
        Some(name) => Some(model.adapters.get(name).cloned().ok_or_else(|| {
            let text = format!("no such adapter of model {}: {name}", completion.model);
            Failure::new(ResultCode::UnknownAdapter, text)
        })?),
    };
    Ok(Scope {
        workspace: caller.workspace.clone(),
        model: completion.model.clone(),
        model_version: model.version.clone(),
        adapter: completion.adapter.clone(),
        adapter_version,
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
    let chunks = answer.chunks();
    let stream =
        Stream { answer: answer.clone(), chunks, first: Some(first), driver, _guard: guard };
    let events = stream::unfold(stream, async |mut stream: Stream| {
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
                let body = answer.whole(&text, &end.finish_reason, &usage(&end));
                return Ok(server::json(StatusCode::OK, &body));
            }
            Some(Piece::Fail(failure)) => return Err(failure),
            None => {
                let text = "the answer ended without a result";
                return Err(Failure::new(ResultCode::Internal, text));
            }
        }
        next = driver.next().await;
    }
}
