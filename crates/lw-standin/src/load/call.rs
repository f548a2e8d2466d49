//! One streamed chat request and the check of its answer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::Method;
use lw_protocol::caller::{CLASS_HEADER, DONE};
use serde_json::Value;

use super::{Options, Planned};
use crate::{
    client::{Error, Http, Opened},
    engine::answer_text,
};

/// How one request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// The answer is whole and in order.
    Complete,
    /// It was refused with this result code.
    Refused(String),
    /// The stream carried an explicit error with this result code.
    Failed(String),
    /// The stream ended without its end mark or an error.
    Truncated,
    /// The answer has an end mark, but is not the answer to this request.
    Wrong(String),
    /// No connection, or it broke or went silent.
    Broken(String),
}

/// One answered request.
#[derive(Debug, Clone)]
pub struct Answered {
    /// How it ended.
    pub ended: Ended,
    /// Time to the first text.
    pub first: Option<Duration>,
    /// Times between texts.
    pub gaps: Vec<Duration>,
    /// Tokens of the prompt, as the answer says.
    pub prompt_tokens: u64,
    /// Prompt tokens from the prefix cache, as the answer says.
    pub cached_tokens: u64,
    /// Time after which a refused request may come back.
    pub retry_after: Option<Duration>,
}

#[derive(Default)]
struct Seen {
    text: String,
    usage: Value,
    is_finished: bool,
    first: Option<Duration>,
    last: Option<Instant>,
    gaps: Vec<Duration>,
    retry_after: Option<Duration>,
}

/// Sends a request to one VM and checks the answer.
pub async fn call(http: &Http, options: &Options, vm: SocketAddr, planned: &Planned) -> Answered {
    let began = Instant::now();
    let mut seen = Seen::default();
    let ended = match stream(http, options, vm, planned, began, &mut seen).await {
        Ok(ended) => ended,
        Err(e) => Ended::Broken(e.to_string()),
    };
    let tokens = |pointer| seen.usage.pointer(pointer).and_then(Value::as_u64).unwrap_or(0);
    Answered {
        ended,
        first: seen.first,
        prompt_tokens: tokens("/prompt_tokens"),
        cached_tokens: tokens("/prompt_tokens_details/cached_tokens"),
        gaps: seen.gaps,
        retry_after: seen.retry_after,
    }
}

async fn stream(
    http: &Http,
    options: &Options,
    vm: SocketAddr,
    planned: &Planned,
    began: Instant,
    seen: &mut Seen,
) -> Result<Ended, Error> {
    let bearer = format!("Bearer {}", options.key);
    let mut headers =
        vec![("authorization", bearer.as_str()), ("content-type", "application/json")];
    if let Some(class) = options.class {
        headers.push((CLASS_HEADER, class.name()));
    }
    let path = "/v1/chat/completions";
    let mut opened = http.open(Method::POST, vm, path, &headers, planned.body.clone()).await?;
    if opened.status != 200 {
        let secs = opened.headers.get(http::header::RETRY_AFTER).and_then(|v| v.to_str().ok());
        seen.retry_after = secs.and_then(|secs| secs.parse().ok()).map(Duration::from_secs);
        return refusal(opened).await;
    }
    while let Some(data) = opened.next().await? {
        if data == DONE {
            return Ok(check(options, planned, seen));
        }
        let chunk: Value =
            serde_json::from_str(&data).map_err(|e| Error::Answer(format!("{e}: {data}")))?;
        if chunk.get("error").is_some() {
            return Ok(Ended::Failed(code(&chunk)));
        }
        seen.add(&chunk, began);
    }
    Ok(Ended::Truncated)
}

async fn refusal(opened: Opened) -> Result<Ended, Error> {
    let answer = opened.collect().await?;
    let body = answer.json::<Value>().unwrap_or_default();
    Ok(Ended::Refused(format!("{} {}", answer.status, code(&body))))
}

fn code(body: &Value) -> String {
    body.pointer("/error/code").and_then(Value::as_str).unwrap_or("(no code)").to_owned()
}

impl Ended {
    /// The way of ending in one or two words.
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

impl Seen {
    fn add(&mut self, chunk: &Value, began: Instant) {
        if let Some(text) = chunk.pointer("/choices/0/delta/content").and_then(Value::as_str)
            && !text.is_empty()
        {
            let now = Instant::now();
            match self.last.replace(now) {
                None => self.first = Some(now - began),
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

/// Compares an answer that has its end mark with the text that the stand-in engines generate.
fn check(options: &Options, planned: &Planned, seen: &Seen) -> Ended {
    let tokens = seen.usage.get("completion_tokens").and_then(Value::as_u64);
    if !seen.is_finished {
        return Ended::Wrong("end mark without a finish reason".to_owned());
    }
    if tokens != Some(u64::from(options.max_tokens)) {
        return Ended::Wrong(format!("{tokens:?} tokens instead of {}", options.max_tokens));
    }
    if seen.text != answer_text(&planned.prompt, u64::from(options.max_tokens)) {
        return Ended::Wrong("other text than the engines generate".to_owned());
    }
    Ended::Complete
}
