//! `ask`: one streamed chat request.

use std::{io, time::Duration};

use http::{Method, StatusCode, header};
use http_body_util::BodyExt as _;
use lw_protocol::{
    caller::{CLASS_HEADER, DONE, REQUEST_ID_HEADER},
    sse,
};
use serde_json::{Value, json};
use volo_http::response::Response;

use super::{Error, pretty, print};
use crate::{
    args::Ask,
    remote::{self, Remote, error_text, refusal},
};

const PATH: &str = "/v1/chat/completions";
/// Silence of the VM after which the answer counts as broken; longer than the largest deadline of a workspace.
const SILENCE: Duration = Duration::from_secs(610);
const EVENT_MAX_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Seen {
    request: String,
    text: String,
    finish: Option<String>,
    usage: Value,
    is_done: bool,
    error: Option<Value>,
}

pub(super) async fn run(ask: &Ask, json: bool, out: &mut impl io::Write) -> Result<(), Error> {
    let mut remote = Remote::new(ask.address, &ask.key)?;
    if let Some(class) = ask.class {
        remote.header(CLASS_HEADER, class.name());
    }
    let mut body = json!({
        "model": ask.model,
        "messages": [{ "role": "user", "content": ask.prompt }],
        "stream": true,
    });
    if let Some(max_tokens) = ask.max_tokens {
        body["max_tokens"] = json!(max_tokens);
    }
    let response = remote.open(Method::POST, PATH, body.to_string().into(), SILENCE).await?;
    if response.status() != StatusCode::OK {
        let status = response.status();
        let wait = response.headers().get(header::RETRY_AFTER).and_then(|secs| secs.to_str().ok());
        let hint = wait.map(|secs| format!("; retry after {secs} s")).unwrap_or_default();
        let refused = refusal(status, &remote.body(response).await?);
        return Err(remote::Error::Refused(format!("{refused}{hint}")).into());
    }
    let mut seen = Seen::default();
    let read = seen.read(response, |text| if json { Ok(()) } else { print(out, text) }).await;
    let verdict = read.and_then(|()| seen.verdict());
    let why = verdict.as_ref().err().map(ToString::to_string);
    print(out, &if json { seen.json(why.as_deref()) } else { seen.summary() })?;
    verdict
}

impl Seen {
    async fn read(
        &mut self,
        response: Response,
        mut show: impl FnMut(&str) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let id = response.headers().get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
        id.unwrap_or_default().clone_into(&mut self.request);
        let mut parser = sse::Parser::new(EVENT_MAX_BYTES);
        let mut body = response.into_body();
        while !self.is_done && self.error.is_none() {
            let frame = tokio::time::timeout(SILENCE, body.frame())
                .await
                .map_err(|_| Error::Broken(format!("nothing received for {SILENCE:?}")))?;
            let Some(frame) = frame else { return Ok(()) };
            let frame = frame.map_err(|e| Error::Broken(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            for data in parser.push(&data).map_err(|e| Error::Broken(e.to_string()))? {
                show(&self.event(&data)?)?;
            }
        }
        Ok(())
    }

    /// Takes the data of one event and returns its text.
    fn event(&mut self, data: &str) -> Result<String, Error> {
        if data == DONE {
            self.is_done = true;
            return Ok(String::new());
        }
        let chunk: Value =
            serde_json::from_str(data).map_err(|e| Error::Broken(format!("{e}: {data}")))?;
        if let Some(error) = chunk.get("error") {
            self.error = Some(error.clone());
        }
        if let Some(finish) = chunk.pointer("/choices/0/finish_reason").and_then(Value::as_str) {
            self.finish = Some(finish.to_owned());
        }
        if let Some(usage) = chunk.get("usage").filter(|usage| usage.is_object()) {
            self.usage = usage.clone();
        }
        let text = chunk.pointer("/choices/0/delta/content").and_then(Value::as_str);
        self.text.push_str(text.unwrap_or_default());
        Ok(text.unwrap_or_default().to_owned())
    }

    fn verdict(&self) -> Result<(), Error> {
        if let Some(error) = &self.error {
            return Err(Error::Broken(error_text(error)));
        }
        if self.is_done && self.finish.is_some() {
            return Ok(());
        }
        let part = if self.is_done { "finish reason" } else { "end mark" };
        Err(Error::Broken(format!("the stream ended without its {part}")))
    }

    fn summary(&self) -> String {
        let tokens = |pointer| self.usage.pointer(pointer).and_then(Value::as_u64).unwrap_or(0);
        let finish = self.finish.as_deref().unwrap_or("(none)");
        format!(
            "\n\nrequest {}: finish {finish}, prompt tokens {} ({} cached), completion tokens {}\n",
            self.request,
            tokens("/prompt_tokens"),
            tokens("/prompt_tokens_details/cached_tokens"),
            tokens("/completion_tokens"),
        )
    }

    fn json(&self, why: Option<&str>) -> String {
        pretty(&json!({
            "request": self.request,
            "complete": why.is_none(),
            "why": why,
            "text": self.text,
            "finish": self.finish,
            "usage": self.usage,
            "error": self.error,
        }))
    }
}
