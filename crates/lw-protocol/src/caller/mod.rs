//! Wire types of the OpenAI-style interface for callers.

use std::time::Duration;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::sse;

/// Request header with the class of the request.
pub const CLASS_HEADER: &str = "x-lavenderwood-class";
/// Request header with the longest allowed time to first token, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-lavenderwood-deadline-ms";
/// Request header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Answer header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Data of the event that ends a complete stream.
pub const DONE: &str = "[DONE]";

/// Largest number of generated tokens when a request gives none.
const MAX_TOKENS_DEFAULT: u32 = 256;
/// Largest accepted value of `max_tokens`.
const MAX_TOKENS_LIMIT: u64 = 131_072;

/// Endpoint of a completion request.
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
    /// Endpoint, which determines the format of the answer.
    pub endpoint: Endpoint,
    /// Model name.
    pub model: ModelId,
    /// Adapter name, when the field `model` of the body has the form `model:adapter`.
    pub adapter: Option<String>,
    /// The complete prompt. Chat messages are joined, one a line, each after its role.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
}

/// A refusal or failure that is reported to the caller in an error body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The result code.
    pub code: ResultCode,
    /// Message for the caller.
    pub message: String,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Returns a failure without a retry time.
    #[must_use]
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after: None }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Returns the JSON error body.
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
            "ran": self.code.executed().to_string(),
        } })
    }

    /// Returns the value of the `Retry-After` header in full seconds, at least 1, or `None` when the code may not be
    /// retried. Without a retry time it is 1.
    #[must_use]
    pub fn retry_after_secs(&self) -> Option<u64> {
        if !self.code.may_retry() {
            return None;
        }
        let time = self.retry_after.unwrap_or(Duration::from_secs(1));
        Some(time.as_millis().div_ceil(1000).max(1).try_into().unwrap_or(u64::MAX))
    }
}

/// Body of a completion request before validation.
#[derive(Debug, Deserialize)]
pub struct CompletionRequestBody {
    model: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<Value>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    stream: Option<bool>,
}

/// One chat message before validation.
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
    /// [`ResultCode::MalformedBody`] when the body is not valid UTF-8 or JSON, [`ResultCode::InvalidField`] when it is
    /// not an object or a field is missing or invalid.
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
        // Deserializing a struct would also accept an array, with the fields in their order.
        if !value.is_object() {
            return Err(invalid_field(&"the body is not a JSON object"));
        }
        let fields: CompletionRequestBody =
            serde_json::from_value(value).map_err(|e| invalid_field(&e))?;
        (endpoint, fields).try_into()
    }
}

fn invalid_field(e: &dyn std::fmt::Display) -> Failure {
    Failure::new(ResultCode::InvalidField, e.to_string())
}

impl TryFrom<(Endpoint, CompletionRequestBody)> for CompletionRequest {
    type Error = Failure;

    fn try_from((endpoint, fields): (Endpoint, CompletionRequestBody)) -> Result<Self, Failure> {
        let name = fields
            .model
            .filter(|m| !m.is_empty())
            .ok_or_else(|| invalid_field(&"model is missing"))?;
        let (model, adapter) = match name.split_once(':') {
            Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
            None => (name, None),
        };
        let prompt = match endpoint {
            Endpoint::Chat => chat_prompt(fields.messages)?,
            Endpoint::Text => text_prompt(fields.prompt)?,
        };
        let max_tokens = match fields.max_tokens.or(fields.max_completion_tokens) {
            None => MAX_TOKENS_DEFAULT,
            Some(n @ 1..=MAX_TOKENS_LIMIT) => u32::try_from(n).unwrap_or(u32::MAX),
            Some(n) => {
                let text = format!("max_tokens is {n}, allowed: 1 to {MAX_TOKENS_LIMIT}");
                return Err(invalid_field(&text));
            }
        };
        let stream = fields.stream.unwrap_or(false);
        Ok(Self { endpoint, model, adapter, prompt, max_tokens, stream })
    }
}

fn chat_prompt(messages: Option<Vec<ChatMessage>>) -> Result<String, Failure> {
    let messages = messages
        .filter(|list| !list.is_empty())
        .ok_or_else(|| invalid_field(&"messages is missing or empty"))?;
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        append_content(&mut prompt, &message.content)?;
        prompt.push('\n');
    }
    Ok(prompt)
}

fn append_content(prompt: &mut String, content: &Value) -> Result<(), Failure> {
    match content {
        Value::String(text) => prompt.push_str(text),
        Value::Array(parts) => {
            for part in parts {
                let text = part.get("text").and_then(Value::as_str);
                prompt.push_str(
                    text.ok_or_else(|| invalid_field(&"each content part must have a text"))?,
                );
            }
        }
        _ => return Err(invalid_field(&"content must be a string or a list of text parts")),
    }
    Ok(())
}

fn text_prompt(prompt: Option<Value>) -> Result<String, Failure> {
    match prompt {
        Some(Value::String(text)) if !text.is_empty() => Ok(text),
        _ => Err(invalid_field(&"prompt must be a non-empty string")),
    }
}

/// Token counts of one answer.
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
    /// Returns the `usage` object of an answer.
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

/// Formats streamed chunks as server-sent events.
#[derive(Debug, Clone)]
pub struct ChunkWriter {
    before_text: String,
    after_text: String,
}

impl ChunkWriter {
    /// Returns the event of a chunk with this text.
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
        let mut event =
            String::with_capacity(self.before_text.len() + text.len() + self.after_text.len());
        event.push_str(&self.before_text);
        event.push_str(&text);
        event.push_str(&self.after_text);
        event
    }
}

/// Formats the answer to one completion request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Endpoint of the request.
    pub endpoint: Endpoint,
    /// Request id.
    pub id: RequestId,
    /// Model name as the caller wrote it, including the adapter.
    pub model: String,
    /// Seconds since the Unix epoch.
    pub created: u64,
}

impl Answer {
    /// Returns one streamed chunk with this text.
    #[must_use]
    pub fn chunk(&self, text: &str) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
            Endpoint::Text => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        self.envelope(true, &choice, None)
    }

    /// Returns a writer of streamed chunks, which formats only once what all chunks have in common.
    #[must_use]
    pub fn chunk_writer(&self) -> ChunkWriter {
        // The escaped placeholder in quotes occurs only once, since quotes in names and ids are escaped.
        const PLACEHOLDER: &str = "\u{0}";
        let event = sse::event(&self.chunk(PLACEHOLDER).to_string());
        let (before_text, after_text) = event.split_once("\"\\u0000\"").unwrap_or((&event, ""));
        ChunkWriter { before_text: before_text.to_owned(), after_text: after_text.to_owned() }
    }

    /// Returns the last streamed chunk, with the finish reason and the usage.
    #[must_use]
    pub fn last_chunk(&self, finish_reason: &str, usage: &Usage) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({ "index": 0, "delta": {}, "finish_reason": finish_reason }),
            Endpoint::Text => json!({ "index": 0, "text": "", "finish_reason": finish_reason }),
        };
        self.envelope(true, &choice, Some(usage))
    }

    /// Returns the complete body of an answer that is not streamed.
    #[must_use]
    pub fn body(&self, text: &str, finish_reason: &str, usage: &Usage) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }),
            Endpoint::Text => json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
        };
        self.envelope(false, &choice, Some(usage))
    }

    fn envelope(&self, is_chunk: bool, choice: &Value, usage: Option<&Usage>) -> Value {
        let object = match (self.endpoint, is_chunk) {
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
