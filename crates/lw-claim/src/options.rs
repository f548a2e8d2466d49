//! Time and size bounds of claims.

use std::time::Duration;

/// Time and size bounds of claims. All VMs must use the same `buckets`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of buckets. A VM with a different number would look for a key in a different bucket, so a
    /// change requires a pause of one `retention` without claims.
    pub buckets: u32,
    /// Minimum time between two writes of one bucket.
    pub batch_interval: Duration,
    /// Maximum time for which an outcome waits for a claim with which it can be written.
    pub outcome_delay: Duration,
    /// Time after which the executing VM cancels its claim request and answers "not run".
    pub claim_timeout: Duration,
    /// Time after which a claim request without a reply is resent. Outcomes are resent after `outcome_delay`
    /// plus twice this time.
    pub resend_after: Duration,
    /// Time after `claim_timeout` within which a granted call must be started.
    pub start_window: Duration,
    /// Time after which a store call without a result is considered lost. The store answers within
    /// milliseconds; two consecutive lost calls delay the first refusals of an outage by twice this time.
    pub store_timeout: Duration,
    /// Time between two probes of a store that failed.
    pub probe_interval: Duration,
    /// Maximum age of the cached value for replies to claim requests that need no write.
    pub max_cache_age: Duration,
    /// Time for which a record is kept; a key may be reused after it. It must be far longer than
    /// `claim_timeout` plus `start_window` plus the clock difference between VMs.
    pub retention: Duration,
    /// Time for which the copy of an answer is kept.
    pub answer_retention: Duration,
    /// Maximum size of the copy of an answer in bytes; a longer answer is not copied.
    pub max_answer_bytes: usize,
    /// Size of the finished records, in bytes, at which they are moved to a segment. A commit rewrites half
    /// of this size on average, and a new owner reads at most 64 segments.
    pub segment_bytes: usize,
    /// Maximum size of an encoded bucket value in bytes. The store accepts 1 MB, and base64 in JSON adds a third.
    pub max_value_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            buckets: 8,
            batch_interval: Duration::from_millis(250),
            outcome_delay: Duration::from_secs(1),
            claim_timeout: Duration::from_secs(1),
            resend_after: Duration::from_millis(300),
            start_window: Duration::from_secs(1),
            store_timeout: Duration::from_millis(100),
            probe_interval: Duration::from_millis(200),
            max_cache_age: Duration::from_secs(1),
            retention: Duration::from_secs(600),
            answer_retention: Duration::from_secs(30),
            max_answer_bytes: 512,
            segment_bytes: 64_000,
            max_value_bytes: 700_000,
        }
    }
}
