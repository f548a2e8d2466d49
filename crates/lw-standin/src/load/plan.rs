//! Seeded chat requests whose prompts share nested prefixes.

use std::fmt::Write as _;

use lw_protocol::caller::{CompletionRequest, Endpoint};
use serde_json::json;

use super::Options;

/// One request of the load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// JSON body of `POST /v1/chat/completions`.
    pub body: Vec<u8>,
    /// The prompt as the engine receives it.
    pub prompt: String,
}

/// Returns the request with this number. The two levels of its shared prefix, a station and one of its programmes, are
/// drawn from the seed; its question is unique.
///
/// ```
/// use lw_standin::load::{Options, plan_request};
/// let options = Options::default();
/// assert_eq!(plan_request(&options, 3), plan_request(&options, 3));
/// assert_ne!(plan_request(&options, 3), plan_request(&options, 4));
/// ```
#[must_use]
pub fn plan_request(options: &Options, number: u64) -> PlannedRequest {
    let mut rng =
        fastrand::Rng::with_seed(options.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let station = rng.u32(..options.first_level_prefixes.max(1));
    let programme = rng.u32(..options.second_level_prefixes.max(1));
    let system = level_text(options, &format!("station {station}"));
    let shared = level_text(options, &format!("station {station} programme {programme}"));
    let body = json!({
        "model": options.model,
        "messages": [
            { "role": "system", "content": system },
            { "role": "user", "content": format!("{shared} question {number}") },
        ],
        "max_tokens": options.max_tokens,
        "stream": true,
    });
    let body = body.to_string().into_bytes();
    let prompt = CompletionRequest::parse(Endpoint::Chat, &body).map(|req| req.prompt);
    PlannedRequest { body, prompt: prompt.unwrap_or_default() }
}

/// Returns a text of `level_bytes` bytes that depends on its title and the seed only.
fn level_text(options: &Options, title: &str) -> String {
    let mut text = title.to_owned();
    let mut word = 0;
    while text.len() < options.level_bytes {
        word += 1;
        // Writing to a string cannot fail.
        let _ = write!(text, " {title} seed {} word {word}", options.seed);
    }
    text.truncate(options.level_bytes.max(title.len()));
    text
}
