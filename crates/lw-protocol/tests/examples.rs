//! Guards against examples in the interface documentation that differ from the wire types.

use std::{collections::BTreeSet, fmt::Debug, fs, path::PathBuf};

use lw_protocol::{
    caller::{Answer, CompletionRequest, Endpoint, Failure, Usage},
    operator::{ConfigAnswer, Explanation, Histogram, History, PatchRefusal, Status},
    peer::LoadMessage,
    platform::{KeyValue, LeaseAnswer, LeaseRequest, PutAnswer, PutRequest, VmList},
    upstream::{
        CacheEvents, EngineRefusal, EventRef, GenerateEvent, GenerateRequest, KvBlocks, KvExport,
        LoadReport, OrderRequest,
    },
};
use lw_types::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Size of a claim's digest.
const DIGEST_BYTES: usize = 16;

fn docs_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn read(name: &str) -> String {
    let path = docs_folder().join("examples").join(format!("{name}.json"));
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn json(name: &str) -> Value {
    serde_json::from_str(&read(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn load<T: DeserializeOwned>(name: &str) -> T {
    serde_json::from_str(&read(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Checks that an example is unchanged after it was deserialized into its type and serialized again.
fn check<T: Serialize + DeserializeOwned>(name: &str) {
    let message: T = load(name);
    let written = serde_json::to_value(&message).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(digests_as_text(written), json(name), "{name}");
}

/// Does the same as [`check`], also with the `rmp_serde` encoding that VMs use between them.
fn check_peer<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str) {
    check::<T>(name);
    let message: T = load(name);
    let encoded = rmp_serde::to_vec(&message).unwrap_or_else(|e| panic!("{name}: {e}"));
    let decoded: T = rmp_serde::from_slice(&encoded).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(decoded, message, "{name}");
}

/// Replaces digests by text. JSON has no byte strings: digests are text in the examples and arrays of numbers after
/// serialization.
fn digests_as_text(value: Value) -> Value {
    match value {
        Value::Array(list) => {
            let bytes: Option<Vec<u8>> = list
                .iter()
                .map(|item| item.as_u64().and_then(|number| u8::try_from(number).ok()))
                .collect();
            match bytes.filter(|bytes| bytes.len() == DIGEST_BYTES) {
                Some(bytes) => Value::from(String::from_utf8_lossy(&bytes).into_owned()),
                None => list.into_iter().map(digests_as_text).collect(),
            }
        }
        Value::Object(map) => {
            map.into_iter().map(|(key, value)| (key, digests_as_text(value))).collect()
        }
        other => other,
    }
}

fn answer() -> (Answer, Usage) {
    let answer = Answer {
        endpoint: Endpoint::Chat,
        id: "vm-1-19ae6f2c0d1-0".to_owned(),
        model: "m:kerala".to_owned(),
        created: 1_764_816_000,
    };
    (answer, Usage { prompt_tokens: 4200, cached_tokens: 4096, completion_tokens: 5 })
}

fn check_chat_request(name: &str) {
    let request = CompletionRequest::parse(Endpoint::Chat, read(name).as_bytes()).expect(name);
    let expected = CompletionRequest {
        endpoint: Endpoint::Chat,
        model: "m".to_owned(),
        adapter: Some("kerala".to_owned()),
        prompt: "system: Station Malabar. Programme of Friday evening.\n\
                 user: Which wishes came in?\n"
            .to_owned(),
        max_tokens: 64,
        stream: true,
    };
    assert_eq!(request, expected, "{name}");
}

fn check_text_request(name: &str) {
    let request = CompletionRequest::parse(Endpoint::Text, read(name).as_bytes()).expect(name);
    let expected = CompletionRequest {
        endpoint: Endpoint::Text,
        model: "m".to_owned(),
        adapter: None,
        prompt: "Station Malabar. Which wishes came in?".to_owned(),
        max_tokens: 256,
        stream: false,
    };
    assert_eq!(request, expected, "{name}");
}

fn check_answer(name: &str) {
    let (answer, usage) = answer();
    assert_eq!(answer.body("Two wishes came in.", "stop", &usage), json(name), "{name}");
}

fn check_chunk(name: &str) {
    assert_eq!(answer().0.chunk("Two "), json(name), "{name}");
}

fn check_last_chunk(name: &str) {
    let (answer, usage) = answer();
    assert_eq!(answer.last_chunk("stop", &usage), json(name), "{name}");
}

fn check_error(name: &str) {
    let text = "workspace station is above its limit";
    let failure = Failure::new(ResultCode::WorkspaceLimit, text);
    assert_eq!(failure.body(), json(name), "{name}");
}

fn check_event(name: &str) {
    check::<GenerateEvent>(name);
    EventRef::parse(&read(name)).unwrap_or_else(|e| panic!("{name}: {e}"));
}

type Check = fn(&str);

/// The examples by file name, each with its check.
const CHECKS: [(&str, Check); 37] = [
    ("caller-chat-request", check_chat_request),
    ("caller-text-request", check_text_request),
    ("caller-answer", check_answer),
    ("caller-chunk", check_chunk),
    ("caller-last-chunk", check_last_chunk),
    ("caller-error", check_error),
    ("operator-config", check::<ConfigAnswer>),
    ("operator-patch-refusal", check::<PatchRefusal>),
    ("operator-history", check::<History>),
    ("operator-histograms", check::<Vec<Histogram>>),
    ("operator-status", check::<Status>),
    ("operator-explanation", check::<Explanation>),
    ("engine-generate-request", check::<GenerateRequest>),
    ("engine-token-event", check_event),
    ("engine-end-event", check_event),
    ("engine-error-event", check_event),
    ("engine-refusal", check::<EngineRefusal>),
    ("engine-load-report", check::<LoadReport>),
    ("engine-cache-events", check::<CacheEvents>),
    ("engine-order-model", check::<OrderRequest>),
    ("engine-order-adapter", check::<OrderRequest>),
    ("engine-order-role", check::<OrderRequest>),
    ("engine-kv-export", check::<KvExport>),
    ("engine-kv-blocks", check::<KvBlocks>),
    ("platform-key-value", check::<KeyValue>),
    ("platform-put-request", check::<PutRequest>),
    ("platform-put-answer", check::<PutAnswer>),
    ("platform-lease-request", check::<LeaseRequest>),
    ("platform-lease-answer", check::<LeaseAnswer>),
    ("platform-vms", check::<VmList>),
    ("peer-member-heartbeat", check_peer::<lw_member::Message>),
    ("peer-member-patches", check_peer::<lw_member::Message>),
    ("peer-load", check_peer::<LoadMessage>),
    ("peer-grant-report", check_peer::<lw_limit::grant::Report>),
    ("peer-grant", check_peer::<lw_limit::grant::Grant>),
    ("peer-claim-request", check_peer::<lw_claim::message::Request>),
    ("peer-claim-reply", check_peer::<lw_claim::message::Reply>),
];

#[test]
fn each_example_matches_its_type() {
    for (name, check) in CHECKS {
        check(name);
    }
}

/// Guards against an example without a check, and against one that the page does not link to.
#[test]
fn each_example_is_checked_and_linked_on_the_page() {
    let files: BTreeSet<String> = fs::read_dir(docs_folder().join("examples"))
        .expect("folder of examples")
        .map(|entry| entry.expect("entry").file_name().into_string().expect("UTF-8 name"))
        .collect();
    let checked: BTreeSet<String> = CHECKS.iter().map(|(name, _)| format!("{name}.json")).collect();
    assert_eq!(files, checked);
    let page = fs::read_to_string(docs_folder().join("interfaces.md")).expect("page of interfaces");
    let is_missing = |file: &&String| !page.contains(&format!("(examples/{file})"));
    let missing: Vec<_> = files.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "not linked on the page: {missing:?}");
}
