//! Guards against invalid requests that are accepted or refused with the wrong code, and against prompts that lose
//! text.

use lw_protocol::caller::{CompletionRequest, Endpoint};
use lw_types::prelude::*;

#[test]
fn invalid_bodies_are_refused_with_their_code() {
    let cases: [(&str, Endpoint, &[u8], ResultCode); 9] = [
        ("not JSON", Endpoint::Chat, b"{", ResultCode::MalformedBody),
        ("not UTF-8", Endpoint::Chat, b"{\"model\":\"\xff\"}", ResultCode::MalformedBody),
        ("no model", Endpoint::Text, br#"{"prompt":"a"}"#, ResultCode::InvalidField),
        ("no prompt", Endpoint::Text, br#"{"model":"m"}"#, ResultCode::InvalidField),
        ("no messages", Endpoint::Chat, br#"{"model":"m"}"#, ResultCode::InvalidField),
        ("empty list", Endpoint::Chat, br#"{"model":"m","messages":[]}"#, ResultCode::InvalidField),
        ("wrong type", Endpoint::Chat, br#"{"model":1}"#, ResultCode::InvalidField),
        (
            "zero tokens",
            Endpoint::Text,
            br#"{"model":"m","prompt":"a","max_tokens":0}"#,
            ResultCode::InvalidField,
        ),
        (
            "image part",
            Endpoint::Chat,
            br#"{"model":"m","messages":[{"role":"user","content":[{"image_url":"x"}]}]}"#,
            ResultCode::InvalidField,
        ),
    ];
    for (name, endpoint, body, code) in cases {
        let failure = CompletionRequest::parse(endpoint, body).expect_err(name);
        assert_eq!(failure.code, code, "{name}");
    }
}

#[test]
fn chat_messages_are_joined_into_one_prompt() {
    let body = br#"{"model":"m","messages":[{"role":"system","content":"s"},
        {"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}"#;
    let req = CompletionRequest::parse(Endpoint::Chat, body).expect("valid request");
    assert_eq!(req.prompt, "system: s\nuser: ab\n");
}
