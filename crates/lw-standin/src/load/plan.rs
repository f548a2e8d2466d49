//! Seeded chat requests whose prompts share nested prefixes.

use std::fmt::Write as _;

use lw_protocol::caller::{CompletionRequest, Endpoint};
use serde_json::json;

use super::Options;

/// One request of the load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// JSON body of `POST /v1/chat/completions`.
    pub body: Vec<u8>,
    /// The prompt as the engine sees it.
    pub prompt: String,
}

/// The request with this number: its station and programme are drawn from the seed, its question is unique.
///
/// ```
/// use lw_standin::load::{Options, planned};
/// let options = Options::default();
/// assert_eq!(planned(&options, 3), planned(&options, 3));
/// assert_ne!(planned(&options, 3), planned(&options, 4));
/// ```
#[must_use]
pub fn planned(options: &Options, number: u64) -> Planned {
    let mut rng =
        fastrand::Rng::with_seed(options.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let station = rng.u32(..options.stations.max(1));
    let programme = rng.u32(..options.programmes.max(1));
    let system = text(options, &format!("station {station}"));
    let shared = text(options, &format!("station {station} programme {programme}"));
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
    Planned { body, prompt: prompt.unwrap_or_default() }
}

/// A text of the level's length that depends on its title and the seed only.
fn text(options: &Options, title: &str) -> String {
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
