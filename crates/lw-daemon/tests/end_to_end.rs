//! Requests through daemon processes to stand-ins: guards against answers that are lost or incomplete, and against
//! placement that misses the cached prefix.

use http::Method;
use lw_standin::engine::{Faults, LogEntry, StreamFaults, answer_text};

mod common;

use common::{CompletionRequest, Fleet, OTHER_KEY, Options};

/// Characters of one block of a prompt.
const BLOCK_CHARS: usize = 4096;

fn shared_prefix(blocks: usize) -> String {
    "The station's programme of Friday evening. ".repeat(blocks * BLOCK_CHARS / 43 + 1)
}

#[tokio::test]
async fn streamed_answer_is_complete_and_reuses_the_cached_prefix() {
    let fleet = Fleet::start("path", Options { engines: 3, vms: 2, ..Options::default() }).await;
    let prefix = shared_prefix(4);
    let first = format!("{prefix} First question?");
    let answer = fleet.complete(CompletionRequest::new(0, &first, 20)).await;
    assert_eq!(answer.status, 200, "{:?}", answer.error);
    assert_eq!(answer.text, answer_text(&first, 20));
    assert!(answer.is_done);
    assert_eq!(answer.cached_tokens(), 0);

    // The other VM did not receive the first request and must still place this one on the same engine.
    let second = format!("{prefix} Second question?");
    let answer = fleet.complete(CompletionRequest::new(1, &second, 20)).await;
    assert_eq!(answer.text, answer_text(&second, 20));
    assert!(answer.cached_tokens() >= 4000, "{:?}", answer.usage);

    let other = fleet
        .complete(CompletionRequest { key: OTHER_KEY, ..CompletionRequest::new(0, &second, 20) })
        .await;
    assert_eq!(other.cached_tokens(), 0, "cache of another workspace was used");
}

#[tokio::test]
async fn answer_is_resumed_after_engines_fail_during_the_stream() {
    let fleet = Fleet::start("dies", Options { engines: 3, ..Options::default() }).await;
    let prompt = shared_prefix(1);
    fleet.complete(CompletionRequest::new(0, &prompt, 1)).await;
    let faults = Faults {
        stream: StreamFaults { times: Some(1), drop_after: Some(7), ..StreamFaults::default() },
        ..Faults::default()
    };
    // The engine that served the first request and one more fail once.
    let mut failing = 0;
    for engine in &fleet.engines {
        let log: Vec<LogEntry> = fleet.standin_log(engine.address()).await;
        if !log.is_empty() || failing == 0 {
            fleet.set_faults(engine.address(), &faults).await;
            failing += 1;
        }
    }
    let answer = fleet.complete(CompletionRequest::new(0, &prompt, 30)).await;
    assert_eq!(answer.text, answer_text(&prompt, 30), "{:?}", answer.error);
    assert!(answer.is_done);
    let mut resumed = 0;
    for engine in &fleet.engines {
        let log: Vec<LogEntry> = fleet.standin_log(engine.address()).await;
        resumed += log.iter().filter(|entry| entry.from > 0).count();
    }
    assert!(resumed > 0, "no engine resumed the answer");
}

#[tokio::test]
async fn call_reaches_the_plain_service() {
    let fleet = Fleet::start("service", Options::default()).await;
    let (status, body) = fleet.call_service(0, Method::GET, "/slots?day=5", &[], "").await;
    assert_eq!((status, body["path"].as_str()), (200, Some("/slots?day=5")), "{body}");
    assert_eq!(fleet.service_runs().await.len(), 1);
}
