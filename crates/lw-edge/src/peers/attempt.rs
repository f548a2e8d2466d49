//! Attempts of large requests, as VMs announce them to each other.

use std::time::Duration;

use lw_observe::logs::millis;
use lw_place::AnnouncedAttempt;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// An attempt as it is encoded in [`super::Notice::Sent`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SentAttempt {
    upstream: UpstreamId,
    #[serde(rename = "ticket")]
    attempt_id: u64,
    tokens: u64,
    #[serde(rename = "to_read")]
    prefill_tokens: u64,
    output_tokens: u64,
    rank: u8,
    #[serde(rename = "parts")]
    segments: Vec<(u64, u64)>,
    fetch_ms: u64,
    is_saved: bool,
}

impl From<&AnnouncedAttempt> for SentAttempt {
    fn from(sent: &AnnouncedAttempt) -> Self {
        Self {
            upstream: sent.upstream.clone(),
            attempt_id: sent.attempt_id,
            tokens: sent.tokens,
            prefill_tokens: sent.prefill_tokens,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            segments: sent.segments.clone(),
            fetch_ms: millis(sent.fetch_time),
            is_saved: sent.is_saved,
        }
    }
}

impl From<&SentAttempt> for AnnouncedAttempt {
    fn from(sent: &SentAttempt) -> Self {
        Self {
            upstream: sent.upstream.clone(),
            attempt_id: sent.attempt_id,
            tokens: sent.tokens,
            prefill_tokens: sent.prefill_tokens,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            segments: sent.segments.clone(),
            fetch_time: Duration::from_millis(sent.fetch_ms),
            is_saved: sent.is_saved,
        }
    }
}
