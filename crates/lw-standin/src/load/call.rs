//! Sends one streamed chat request and checks its answer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::Method;
use lw_protocol::caller::{CLASS_HEADER, DONE};
use serde_json::Value;

use super::{Options, PlannedRequest};
use crate::{
    client::{Error, Http, OpenAnswer},
    engine::answer_text,
};

/// How one request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The answer is complete and correct.
    Complete,
    /// It was refused with this result code.
    Refused(String),
    /// The stream carried an explicit error with this result code.
    Failed(String),
    /// The stream ended without its end mark or an error.
    Truncated,
    /// The answer has an end mark, but is not the answer to this request.
    Wrong(String),
    /// The connection failed, or nothing was received in time.
    Broken(String),
}

/// The result of one request.
#[derive(Debug, Clone)]
pub struct RequestResult {
    /// How it ended.
    pub end: RequestEnd,
    /// Time to the first text.
    pub first: Option<Duration>,
    /// Times from each text to the next.
    pub gaps: Vec<Duration>,
    /// Tokens of the prompt, as the answer states.
    pub prompt_tokens: u64,
    /// Prompt tokens from the prefix cache, as the answer states.
    pub cached_tokens: u64,
    /// Time after which a refused request may be sent again, as the refusal states.
    pub retry_after: Option<Duration>,
}

/// What was received of an answer so far.
#[derive(Default)]
struct Received {
    text: String,
    usage: Value,
    is_finished: bool,
    first: Option<Duration>,
    last: Option<Instant>,
    gaps: Vec<Duration>,
    retry_after: Option<Duration>,
}

/// Sends a request to one VM and checks the answer.
pub async fn call(
    http: &Http,
    options: &Options,
    vm: SocketAddr,
    planned: &PlannedRequest,
) -> RequestResult {
    let started_at = Instant::now();
    let mut received = Received::default();
    let end = match read_stream(http, options, vm, planned, started_at, &mut received).await {
        Ok(end) => end,
        Err(e) => RequestEnd::Broken(e.to_string()),
    };
    let tokens = |pointer| received.usage.pointer(pointer).and_then(Value::as_u64).unwrap_or(0);
    RequestResult {
        end,
        first: received.first,
        prompt_tokens: tokens("/prompt_tokens"),
        cached_tokens: tokens("/prompt_tokens_details/cached_tokens"),
        gaps: received.gaps,
        retry_after: received.retry_after,
    }
}

async fn read_stream(
    http: &Http,
    options: &Options,
    vm: SocketAddr,
    planned: &PlannedRequest,
    started_at: Instant,
    received: &mut Received,
) -> Result<RequestEnd, Error> {
    let bearer = format!("Bearer {}", options.key);
    let mut headers =
        vec![("authorization", bearer.as_str()), ("content-type", "application/json")];
    if let Some(class) = options.class {
        headers.push((CLASS_HEADER, class.name()));
    }
    let path = "/v1/chat/completions";
    let mut open_answer = http.open(Method::POST, vm, path, &headers, planned.body.clone()).await?;
    if open_answer.status != 200 {
        let secs = open_answer.headers.get(http::header::RETRY_AFTER).and_then(|v| v.to_str().ok());
        received.retry_after = secs.and_then(|secs| secs.parse().ok()).map(Duration::from_secs);
        return read_refusal(open_answer).await;
    }
    while let Some(data) = open_answer.next().await? {
        if data == DONE {
            return Ok(check_answer(options, planned, received));
        }
        let chunk: Value =
            serde_json::from_str(&data).map_err(|e| Error::Answer(format!("{e}: {data}")))?;
        if chunk.get("error").is_some() {
            return Ok(RequestEnd::Failed(error_code(&chunk)));
        }
        received.add_chunk(&chunk, started_at);
    }
    Ok(RequestEnd::Truncated)
}

async fn read_refusal(open_answer: OpenAnswer) -> Result<RequestEnd, Error> {
    let answer = open_answer.collect().await?;
    let body = answer.json::<Value>().unwrap_or_default();
    Ok(RequestEnd::Refused(format!("{} {}", answer.status, error_code(&body))))
}

fn error_code(body: &Value) -> String {
    body.pointer("/error/code").and_then(Value::as_str).unwrap_or("(no code)").to_owned()
}

impl RequestEnd {
    /// Returns a short name, with the result code if there is one.
    #[must_use]
    pub fn name(&self) -> String {
        match self {
            Self::Complete => "complete".to_owned(),
            Self::Refused(code) => format!("refused {code}"),
            Self::Failed(code) => format!("failed {code}"),
            Self::Truncated => "truncated".to_owned(),
            Self::Wrong(_) => "wrong".to_owned(),
            Self::Broken(_) => "broken".to_owned(),
        }
    }
}

impl Received {
    fn add_chunk(&mut self, chunk: &Value, started_at: Instant) {
        if let Some(text) = chunk.pointer("/choices/0/delta/content").and_then(Value::as_str)
            && !text.is_empty()
        {
            let now = Instant::now();
            match self.last.replace(now) {
                None => self.first = Some(now - started_at),
                Some(last) => self.gaps.push(now - last),
            }
            self.text.push_str(text);
        }
        if chunk.pointer("/choices/0/finish_reason").is_some_and(Value::is_string) {
            self.is_finished = true;
        }
        if let Some(usage) = chunk.get("usage").filter(|usage| usage.is_object()) {
            self.usage = usage.clone();
        }
    }
}

/// Compares an answer that has an end mark with the text that the stand-in engines generate.
fn check_answer(options: &Options, planned: &PlannedRequest, received: &Received) -> RequestEnd {
    let tokens = received.usage.get("completion_tokens").and_then(Value::as_u64);
    if !received.is_finished {
        return RequestEnd::Wrong("end mark without a finish reason".to_owned());
    }
    if tokens != Some(u64::from(options.max_tokens)) {
        return RequestEnd::Wrong(format!("{tokens:?} tokens instead of {}", options.max_tokens));
    }
    if received.text != answer_text(&planned.prompt, u64::from(options.max_tokens)) {
        return RequestEnd::Wrong("other text than the engines generate".to_owned());
    }
    RequestEnd::Complete
}
