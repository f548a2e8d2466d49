//! The `ask` command: sends one streamed chat request.

use std::{io, time::Duration};

use http::{Method, StatusCode, header};
use http_body_util::BodyExt as _;
use lw_protocol::{
    caller::{CLASS_HEADER, DONE, REQUEST_ID_HEADER},
    sse,
};
use serde_json::{Value, json};
use volo_http::response::Response;

use super::{Error, format_json, print};
use crate::{
    args::ChatRequest,
    client::{self, VmClient, format_error_object, response_error},
};

const CHAT_PATH: &str = "/v1/chat/completions";
/// Time without data after which the answer counts as incomplete; longer than the largest deadline of a workspace.
const IDLE_TIMEOUT: Duration = Duration::from_secs(610);
const EVENT_MAX_BYTES: usize = 1 << 20;

#[derive(Default)]
struct StreamedAnswer {
    request_id: String,
    text: String,
    finish_reason: Option<String>,
    usage: Value,
    is_done: bool,
    error: Option<Value>,
}

pub(super) async fn run(
    request: &ChatRequest,
    is_json: bool,
    out: &mut impl io::Write,
) -> Result<(), Error> {
    let mut client = VmClient::new(request.address, &request.key)?;
    if let Some(class) = request.class {
        client.add_header(CLASS_HEADER, class.name());
    }
    let mut body = json!({
        "model": request.model,
        "messages": [{ "role": "user", "content": request.prompt }],
        "stream": true,
    });
    if let Some(max_tokens) = request.max_tokens {
        body["max_tokens"] = json!(max_tokens);
    }
    let response =
        client.send(Method::POST, CHAT_PATH, body.to_string().into(), IDLE_TIMEOUT).await?;
    if response.status() != StatusCode::OK {
        let status = response.status();
        let retry_after =
            response.headers().get(header::RETRY_AFTER).and_then(|secs| secs.to_str().ok());
        let hint = retry_after.map(|secs| format!("; retry after {secs} s")).unwrap_or_default();
        let refused = response_error(status, &client.collect_body(response).await?);
        return Err(client::Error::Refused(format!("{refused}{hint}")).into());
    }
    let mut answer = StreamedAnswer::default();
    let stream_result =
        answer.read_stream(response, |text| if is_json { Ok(()) } else { print(out, text) }).await;
    let result = stream_result.and_then(|()| answer.check_complete());
    let failure = result.as_ref().err().map(ToString::to_string);
    print(out, &if is_json { answer.report(failure.as_deref()) } else { answer.summary() })?;
    result
}

impl StreamedAnswer {
    async fn read_stream(
        &mut self,
        response: Response,
        mut print_text: impl FnMut(&str) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let id = response.headers().get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
        id.unwrap_or_default().clone_into(&mut self.request_id);
        let mut parser = sse::Parser::new(EVENT_MAX_BYTES);
        let mut body = response.into_body();
        while !self.is_done && self.error.is_none() {
            let frame = tokio::time::timeout(IDLE_TIMEOUT, body.frame()).await.map_err(|_| {
                Error::IncompleteAnswer(format!("nothing received for {IDLE_TIMEOUT:?}"))
            })?;
            let Some(frame) = frame else { return Ok(()) };
            let frame = frame.map_err(|e| Error::IncompleteAnswer(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            for data in parser.push(&data).map_err(|e| Error::IncompleteAnswer(e.to_string()))? {
                print_text(&self.apply_event(&data)?)?;
            }
        }
        Ok(())
    }

    /// Applies the data of one event and returns its text.
    fn apply_event(&mut self, data: &str) -> Result<String, Error> {
        if data == DONE {
            self.is_done = true;
            return Ok(String::new());
        }
        let chunk: Value = serde_json::from_str(data)
            .map_err(|e| Error::IncompleteAnswer(format!("{e}: {data}")))?;
        if let Some(error) = chunk.get("error") {
            self.error = Some(error.clone());
        }
        if let Some(finish_reason) =
            chunk.pointer("/choices/0/finish_reason").and_then(Value::as_str)
        {
            self.finish_reason = Some(finish_reason.to_owned());
        }
        if let Some(usage) = chunk.get("usage").filter(|usage| usage.is_object()) {
            self.usage = usage.clone();
        }
        let text = chunk.pointer("/choices/0/delta/content").and_then(Value::as_str);
        self.text.push_str(text.unwrap_or_default());
        Ok(text.unwrap_or_default().to_owned())
    }

    fn check_complete(&self) -> Result<(), Error> {
        if let Some(error) = &self.error {
            return Err(Error::IncompleteAnswer(format_error_object(error)));
        }
        if self.is_done && self.finish_reason.is_some() {
            return Ok(());
        }
        let missing = if self.is_done { "finish reason" } else { "end mark" };
        Err(Error::IncompleteAnswer(format!("the stream ended without its {missing}")))
    }

    fn summary(&self) -> String {
        let tokens = |pointer| self.usage.pointer(pointer).and_then(Value::as_u64).unwrap_or(0);
        let finish_reason = self.finish_reason.as_deref().unwrap_or("(none)");
        format!(
            "\n\nrequest {}: finish {finish_reason}, prompt tokens {} ({} cached), completion tokens {}\n",
            self.request_id,
            tokens("/prompt_tokens"),
            tokens("/prompt_tokens_details/cached_tokens"),
            tokens("/completion_tokens"),
        )
    }

    fn report(&self, failure: Option<&str>) -> String {
        format_json(&json!({
            "request": self.request_id,
            "complete": failure.is_none(),
            "why": failure,
            "text": self.text,
            "finish": self.finish_reason,
            "usage": self.usage,
            "error": self.error,
        }))
    }
}
