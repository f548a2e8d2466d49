//! Guards against events that are lost or merged where chunks are split, and against invalid events that are accepted.

use lw_protocol::sse::{Error, Parser, event};

#[test]
fn events_are_the_same_for_any_chunk_size() {
    let text = format!("{}{}: note\n\n{}", event("one"), event("zwei ü"), event("three"));
    for size in 1..text.len() {
        let mut parser = Parser::new(1024);
        let mut out = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            out.extend(parser.push(chunk).expect("valid events"));
        }
        assert_eq!(out, ["one", "zwei ü", "three"], "chunk size {size}");
    }
}

#[test]
fn event_above_the_limit_is_refused() {
    let mut parser = Parser::new(16);
    assert_eq!(parser.push(&[b'a'; 17]), Err(Error::TooLong { limit: 16 }));
}

#[test]
fn invalid_utf8_is_refused() {
    let mut parser = Parser::new(16);
    assert_eq!(parser.push(b"data: \xff\n\n"), Err(Error::Utf8));
}
