//! Guards against input of callers and engines that makes a parser panic, and against a result that depends on how the
//! input is split into chunks.

use lw_protocol::{
    caller::{Answer, CompletionRequest, Endpoint},
    sse::{Error, Parser, event},
};
use lw_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::{Value, json};

const LIMIT_BYTES: usize = 64;

/// Generates JSON of a few levels, with keys and values that completion bodies use.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "(|m|m:|:a|m:a:b|user|\\PC{0,8})".prop_map(Value::from),
    ];
    let key = "(model|messages|prompt|max_tokens|max_completion_tokens|stream|role|content|text)";
    leaf.prop_recursive(4, 48, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key, inner, 0..7)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// Generates bytes that often form events.
fn event_bytes() -> impl Strategy<Value = Vec<u8>> {
    let fragment = prop_oneof![
        Just(b"data: ".to_vec()),
        Just(b"data:".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"\r\n\r\n".to_vec()),
        Just("ü".as_bytes().to_vec()),
        prop::collection::vec(any::<u8>(), 0..6),
        "[a-z:]{0,20}".prop_map(String::into_bytes),
    ];
    prop::collection::vec(fragment, 0..24).prop_map(|fragments| fragments.concat())
}

/// Parses chunks up to the first error, and returns the data of the events and that error.
fn parse<'a>(chunks: impl Iterator<Item = &'a [u8]>) -> (Vec<String>, Option<Error>) {
    let (mut parser, mut out) = (Parser::new(LIMIT_BYTES), Vec::new());
    for chunk in chunks {
        if let Err(e) = parser.push_with(chunk, |data| out.push(data.to_owned())) {
            return (out, Some(e));
        }
    }
    (out, None)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(33),
        failure_persistence: None,
        ..ProptestConfig::with_cases(1000)
    })]

    #[test]
    fn any_body_is_accepted_or_refused_with_its_code(
        bytes in prop::collection::vec(any::<u8>(), 0..80), body in any_json(),
    ) {
        for endpoint in [Endpoint::Chat, Endpoint::Text] {
            if let Err(failure) = CompletionRequest::parse(endpoint, &bytes) {
                prop_assert!([2000, 2001].contains(&failure.code.number()));
            }
            match CompletionRequest::parse(endpoint, body.to_string().as_bytes()) {
                Ok(completion) => {
                    prop_assert!(body.is_object() && !completion.prompt.is_empty());
                    prop_assert!((1..=131_072).contains(&completion.max_tokens));
                }
                Err(failure) => prop_assert_eq!(failure.code, ResultCode::InvalidField),
            }
        }
    }

    #[test]
    fn valid_body_keeps_its_values(
        prompt in "\\PC{1,40}", tokens in 1_u32..=131_072, stream in any::<bool>(), extra in any_json(),
    ) {
        let body = json!({ "model": "m:a", "prompt": prompt, "max_tokens": tokens, "stream": stream, "user": extra });
        let completion =
            CompletionRequest::parse(Endpoint::Text, body.to_string().as_bytes()).expect("valid");
        prop_assert_eq!((completion.model.as_str(), completion.adapter.as_deref()), ("m", Some("a")));
        prop_assert_eq!((completion.prompt, completion.max_tokens, completion.stream), (prompt, tokens, stream));
    }

    #[test]
    fn events_do_not_depend_on_chunk_borders(bytes in event_bytes(), size in 1_usize..9) {
        let (bytewise, bytewise_error) = parse(bytes.chunks(1));
        let (chunked, error) = parse(bytes.chunks(size));
        prop_assert_eq!(&bytewise, &chunked);
        prop_assert_eq!(bytewise_error, error);
        for data in bytewise {
            prop_assert!(data.len() <= LIMIT_BYTES, "{} bytes", data.len());
        }
    }

    #[test]
    fn text_of_a_chunk_is_parsed_unchanged(text in any::<String>(), model in "\\PC{0,12}", size in 1_usize..50) {
        let answer = Answer { endpoint: Endpoint::Text, id: "r".into(), model, created: 1 };
        let bytes = answer.chunk_writer().event(&text);
        prop_assert_eq!(&bytes, &event(&answer.chunk(&text).to_string()));
        let mut parser = Parser::new(1 << 20);
        let mut events = Vec::new();
        for chunk in bytes.as_bytes().chunks(size) {
            events.extend(parser.push(chunk).expect("valid events"));
        }
        prop_assert_eq!(events.len(), 1);
        let value: Value = serde_json::from_str(&events[0]).expect("JSON");
        prop_assert_eq!(value["choices"][0]["text"].as_str(), Some(text.as_str()));
    }
}
