//! The OpenAI-style interface towards callers.

use std::time::Duration;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::sse;

/// Header that names the class of a request.
pub const CLASS_HEADER: &str = "x-lavenderwood-class";
/// Header with the time to first token allowed, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-lavenderwood-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header of answers with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Data of the last event of a complete stream.
pub const DONE: &str = "[DONE]";

const MAX_TOKENS_DEFAULT: u32 = 256;
const MAX_TOKENS_LIMIT: u64 = 131_072;

/// Which end point a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// A validated completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// End point, which sets the shape of the answer.
    pub endpoint: Endpoint,
    /// Model name.
    pub model: ModelId,
    /// Adapter name, from `model` written as `model:adapter`.
    pub adapter: Option<String>,
    /// The whole prompt; chat messages are joined with their roles.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
}

/// A refusal or failure, in the form of the error body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The result code.
    pub code: ResultCode,
    /// One sentence for the caller.
    pub message: String,
    /// When to try again.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure without a time to come back.
    #[must_use]
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after: None }
    }

    /// The same failure with a time to come back.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// The error body.
    ///
    /// ```
    /// use lw_protocol::caller::Failure;
    /// use lw_types::prelude::*;
    /// let body = Failure::new(ResultCode::Overloaded, "no engine is free in time").body();
    /// assert_eq!(body["error"]["number"], 3000);
    /// ```
    #[must_use]
    pub fn body(&self) -> Value {
        let kind = match self.code.number() {
            2000..3000 => "invalid_request_error",
            3000..4000 => "refused_error",
            _ => "server_error",
        };
        json!({ "error": {
            "message": self.message,
            "type": kind,
            "code": self.code.name(),
            "number": self.code.number(),
            "ran": self.code.ran().to_string(),
        } })
    }

    /// Value of the `Retry-After` header: whole seconds, at least 1; none when a retry cannot help.
    #[must_use]
    pub fn retry_after_secs(&self) -> Option<u64> {
        if !self.code.may_retry() {
            return None;
        }
        let time = self.retry_after.unwrap_or(Duration::from_secs(1));
        Some(time.as_millis().div_ceil(1000).max(1).try_into().unwrap_or(u64::MAX))
    }
}

/// The body of a completion request as it comes over the wire.
#[derive(Debug, Deserialize)]
pub struct CompletionRequestBody {
    model: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<Value>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    stream: Option<bool>,
}

/// One chat message as it comes over the wire.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    role: String,
    content: Value,
}

impl CompletionRequest {
    /// Parses and validates the body of a request.
    ///
    /// # Errors
    ///
    /// [`ResultCode::MalformedBody`] for bad JSON or UTF-8, [`ResultCode::InvalidField`] for fields.
    ///
    /// ```
    /// use lw_protocol::caller::{CompletionRequest, Endpoint};
    /// let body = br#"{"model":"m:a","prompt":"hello","stream":true}"#;
    /// let req = CompletionRequest::parse(Endpoint::Text, body).unwrap();
    /// assert_eq!(req.adapter.as_deref(), Some("a"));
    /// ```
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, Failure> {
        let malformed =
            |e: &dyn std::fmt::Display| Failure::new(ResultCode::MalformedBody, e.to_string());
        let text = std::str::from_utf8(body).map_err(|e| malformed(&e))?;
        let value: Value = serde_json::from_str(text).map_err(|e| malformed(&e))?;
        // Deserializing a struct would also take a list, as its fields in their order.
        if !value.is_object() {
            return Err(invalid(&"the body is not a mapping"));
        }
        let wire: CompletionRequestBody = serde_json::from_value(value).map_err(|e| invalid(&e))?;
        (endpoint, wire).try_into()
    }
}

fn invalid(e: &dyn std::fmt::Display) -> Failure {
    Failure::new(ResultCode::InvalidField, e.to_string())
}

impl TryFrom<(Endpoint, CompletionRequestBody)> for CompletionRequest {
    type Error = Failure;

    fn try_from((endpoint, wire): (Endpoint, CompletionRequestBody)) -> Result<Self, Failure> {
        let name =
            wire.model.filter(|m| !m.is_empty()).ok_or_else(|| invalid(&"model is missing"))?;
        let (model, adapter) = match name.split_once(':') {
            Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
            None => (name, None),
        };
        let prompt = match endpoint {
            Endpoint::Chat => chat_prompt(wire.messages)?,
            Endpoint::Text => text_prompt(wire.prompt)?,
        };
        let max_tokens = match wire.max_tokens.or(wire.max_completion_tokens) {
            None => MAX_TOKENS_DEFAULT,
            Some(n @ 1..=MAX_TOKENS_LIMIT) => u32::try_from(n).unwrap_or(u32::MAX),
            Some(n) => {
                let text = format!("max_tokens is {n}, allowed: 1 to {MAX_TOKENS_LIMIT}");
                return Err(invalid(&text));
            }
        };
        let stream = wire.stream.unwrap_or(false);
        Ok(Self { endpoint, model, adapter, prompt, max_tokens, stream })
    }
}

fn chat_prompt(messages: Option<Vec<ChatMessage>>) -> Result<String, Failure> {
    let messages = messages
        .filter(|list| !list.is_empty())
        .ok_or_else(|| invalid(&"messages is missing or empty"))?;
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        push_content(&mut prompt, &message.content)?;
        prompt.push('\n');
    }
    Ok(prompt)
}

fn push_content(prompt: &mut String, content: &Value) -> Result<(), Failure> {
    match content {
        Value::String(text) => prompt.push_str(text),
        Value::Array(parts) => {
            for part in parts {
                let text = part.get("text").and_then(Value::as_str);
                prompt.push_str(text.ok_or_else(|| invalid(&"content parts must have a text"))?);
            }
        }
        _ => return Err(invalid(&"content must be a text or a list of text parts")),
    }
    Ok(())
}

fn text_prompt(prompt: Option<Value>) -> Result<String, Failure> {
    match prompt {
        Some(Value::String(text)) if !text.is_empty() => Ok(text),
        _ => Err(invalid(&"prompt must be a non-empty text")),
    }
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

impl Usage {
    /// The `usage` object of an answer.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}

/// Formats the events of streamed chunks.
#[derive(Debug, Clone)]
pub struct ChunkWriter {
    head: String,
    tail: String,
}

impl ChunkWriter {
    /// The event with a piece of text.
    ///
    /// ```
    /// use lw_protocol::{caller::{Answer, Endpoint}, sse};
    /// let answer =
    ///     Answer { endpoint: Endpoint::Chat, id: "r".into(), model: "m".into(), created: 1 };
    /// let event = answer.chunk_writer().event("say \"hi\"\n");
    /// assert_eq!(event, sse::event(&answer.chunk("say \"hi\"\n").to_string()));
    /// ```
    #[must_use]
    pub fn event(&self, text: &str) -> String {
        let text = Value::from(text).to_string();
        let mut event = String::with_capacity(self.head.len() + text.len() + self.tail.len());
        event.push_str(&self.head);
        event.push_str(&text);
        event.push_str(&self.tail);
        event
    }
}

/// Formats the answer to one completion request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// End point of the request.
    pub endpoint: Endpoint,
    /// Request id.
    pub id: RequestId,
    /// Model name as the caller wrote it.
    pub model: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
}

impl Answer {
    /// One streamed chunk with a piece of text.
    #[must_use]
    pub fn chunk(&self, text: &str) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
            Endpoint::Text => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        self.object(true, &choice, None)
    }

    /// A writer of streamed chunks, which formats the constant parts only once.
    #[must_use]
    pub fn chunk_writer(&self) -> ChunkWriter {
        // The mark is the only text of this form, since quotes in names and ids are escaped.
        const MARK: &str = "\u{0}";
        let whole = sse::event(&self.chunk(MARK).to_string());
        let (head, tail) = whole.split_once("\"\\u0000\"").unwrap_or((&whole, ""));
        ChunkWriter { head: head.to_owned(), tail: tail.to_owned() }
    }

    /// The last streamed chunk, with the finish reason and the usage.
    #[must_use]
    pub fn last_chunk(&self, finish: &str, usage: &Usage) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
            Endpoint::Text => json!({ "index": 0, "text": "", "finish_reason": finish }),
        };
        self.object(true, &choice, Some(usage))
    }

    /// The whole answer to a request that is not streamed.
    #[must_use]
    pub fn body(&self, text: &str, finish: &str, usage: &Usage) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
            Endpoint::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        self.object(false, &choice, Some(usage))
    }

    fn object(&self, chunk: bool, choice: &Value, usage: Option<&Usage>) -> Value {
        let object = match (self.endpoint, chunk) {
            (Endpoint::Chat, true) => "chat.completion.chunk",
            (Endpoint::Chat, false) => "chat.completion",
            (Endpoint::Text, _) => "text_completion",
        };
        let mut body = json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            body["usage"] = usage.body();
        }
        body
    }
}
