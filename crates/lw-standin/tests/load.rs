//! Tests the load tool against a router that answers correctly or incorrectly.

mod support;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use lw_protocol::{
    caller::{Answer, CompletionRequest, DONE, Endpoint, Failure, Usage},
    sse,
};
use lw_standin::{
    engine::token_text,
    load::{Options, Outcome, plan_request, run},
    serve::{self, App, Call, Handle, HttpFaults, Response, Switches},
};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How the router answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
enum Mode {
    #[default]
    Correct,
    Refuses,
    ErrorInStream,
    Truncates,
    LosesToken,
    SwapsTokens,
    NoFinish,
    OtherAnswer,
    Aborts,
}

struct Router(Switches<Mode>);

impl App for Router {
    type Faults = Mode;

    fn switches(&self) -> &Switches<Mode> {
        &self.0
    }

    fn http_faults(_: &Mode) -> &HttpFaults {
        const NONE: &HttpFaults = &HttpFaults {
            delay_ms: 0,
            silent: false,
            silence_open: false,
            unavailable: false,
            down_ms: None,
        };
        NONE
    }

    fn is_exempt_from_faults(_: &str) -> bool {
        false
    }

    async fn call(self: Arc<Self>, call: Call) -> Response {
        let mode = self.0.get();
        let req = CompletionRequest::parse(Endpoint::Chat, &call.body).expect("valid request");
        let failure = Failure::new(ResultCode::Overloaded, "full").body();
        if mode == Mode::Refuses {
            let mut refusal = serve::status_json(StatusCode::SERVICE_UNAVAILABLE, &failure);
            let wait = http::HeaderValue::from_static("1");
            refusal.headers_mut().insert(http::header::RETRY_AFTER, wait);
            return refusal;
        }
        let answer =
            Answer { endpoint: Endpoint::Chat, id: "r".into(), model: "m".into(), created: 0 };
        let prompt = if mode == Mode::OtherAnswer { "other" } else { &req.prompt };
        let mut texts: Vec<String> =
            (0..u64::from(req.max_tokens)).map(|i| token_text(prompt, i)).collect();
        match mode {
            Mode::LosesToken => drop(texts.remove(1)),
            Mode::SwapsTokens => texts.swap(0, 1),
            _ => {}
        }
        let mut data: Vec<String> = texts.iter().map(|t| answer.chunk(t).to_string()).collect();
        let usage = Usage {
            prompt_tokens: 100,
            cached_tokens: 25,
            completion_tokens: u64::from(req.max_tokens),
        };
        if mode != Mode::NoFinish {
            data.push(answer.last_chunk("length", &usage).to_string());
        }
        data.push(DONE.to_owned());
        match mode {
            Mode::ErrorInStream => data[2] = failure.to_string(),
            Mode::Truncates => data.truncate(2),
            _ => {}
        }
        let mut events: Vec<_> = data.iter().map(|data| Ok(sse::event(data))).collect();
        if mode == Mode::Aborts {
            events[2] = Err(std::io::Error::other("aborted"));
        }
        serve::stream(futures::stream::iter(events))
    }
}

fn router(mode: Mode) -> Handle {
    let listen = "127.0.0.1:0".parse().expect("address");
    serve::start(listen, move |_, _| Arc::new(Router(Switches::new(mode)))).expect("router")
}

async fn load(vms: &[&Handle], retries: u32) -> Outcome {
    let options = Options {
        vms: vms.iter().map(|vm| vm.address()).collect(),
        requests: 6,
        callers: 3,
        max_tokens: 5,
        level_bytes: 200,
        idle_timeout: Duration::from_secs(10),
        retries,
        ..Options::default()
    };
    run(options).await.expect("load")
}

/// Guards against a load tool that counts an incorrect answer as complete.
#[tokio::test]
async fn incorrect_answers_are_detected() {
    type Count = fn(&Outcome) -> u64;
    let wrong: Count = |o| o.wrong.values().sum();
    let cases: [(Mode, Count); 9] = [
        (Mode::Correct, |o| o.complete),
        (Mode::Refuses, |o| o.refused.get("503 overloaded").copied().unwrap_or(0)),
        (Mode::ErrorInStream, |o| o.failed.get("overloaded").copied().unwrap_or(0)),
        (Mode::Truncates, |o| o.truncated),
        (Mode::LosesToken, wrong),
        (Mode::SwapsTokens, wrong),
        (Mode::NoFinish, wrong),
        (Mode::OtherAnswer, wrong),
        (Mode::Aborts, |o| o.broken.values().sum()),
    ];
    for (mode, count) in cases {
        let outcome = load(&[&router(mode)], 0).await;
        assert_eq!((outcome.requests, count(&outcome)), (6, 6), "{mode:?}: {outcome}");
        assert_eq!(outcome.is_complete(), mode == Mode::Correct, "{mode:?}");
    }
}

/// Guards against retries that are sent to the VM that failed or before the stated time, or that are not counted.
#[tokio::test]
async fn retries_go_to_the_next_vm_after_the_stated_time() {
    let cases = [
        (Mode::Truncates, "truncated", Duration::ZERO),
        (Mode::Refuses, "refused 503 overloaded", Duration::from_secs(1)),
    ];
    for (mode, cause, wait) in cases {
        let (bad, good) = (router(mode), router(Mode::Correct));
        let before = std::time::Instant::now();
        let outcome = load(&[&bad, &good], 1).await;
        assert!(before.elapsed() >= wait, "{mode:?}");
        assert_eq!((outcome.complete, outcome.retries[cause]), (6, 3), "{outcome}");
        assert!((outcome.cached_fraction() - 0.25).abs() < 1e-9);
    }
}

/// Guards against requests that share no prefixes or differ between runs with the same seed.
#[test]
fn prompts_share_nested_prefixes() {
    let options =
        Options { first_level_prefixes: 1, second_level_prefixes: 2, ..Options::default() };
    let prompts: Vec<_> = (0..20).map(|number| plan_request(&options, number).prompt).collect();
    let shared = |a: &str, b: &str| a.bytes().zip(b.bytes()).take_while(|(x, y)| x == y).count();
    let lens: Vec<_> = prompts[1..].iter().map(|p| shared(&prompts[0], p)).collect();
    let two_levels = lens.iter().filter(|&&len| len > 2 * options.level_bytes).count();
    let one_level = lens.iter().filter(|&&len| len > options.level_bytes).count();
    assert!(two_levels > 0 && two_levels < one_level && one_level == 19, "{lens:?}");
    assert_eq!(
        plan_request(&options, 0).prompt,
        prompts[0],
        "the same seed gives the same request"
    );
}
