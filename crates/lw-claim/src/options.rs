//! Time and size bounds of claims.

use std::time::Duration;

/// Time and size bounds of claims. All VMs must use the same `buckets`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of buckets. A VM with another number would look for a key in another bucket, so a change
    /// needs a pause of one `retention` without claims.
    pub buckets: u32,
    /// Shortest time between two writes of one bucket.
    pub batch_interval: Duration,
    /// Longest time an outcome waits for a claim to share its write.
    pub outcome_delay: Duration,
    /// Time after which the executing VM gives up on its claim and answers "not run".
    pub claim_timeout: Duration,
    /// Time after which a claim request or outcome without a reply is sent again.
    pub resend_after: Duration,
    /// Time in which a granted call must be started.
    pub start_window: Duration,
    /// Time after which a store call without a result counts as lost. The store answers in milliseconds;
    /// two lost calls in a row delay the first refusals of an outage by twice this time.
    pub store_timeout: Duration,
    /// Time between two probes of a store that failed.
    pub probe_interval: Duration,
    /// Age up to which an answer that needs no write is given from the cached value.
    pub max_cache_age: Duration,
    /// Time a record is kept; a key may be used again after it. It must be far above `claim_timeout`
    /// plus `start_window` plus the clock difference between VMs.
    pub retention: Duration,
    /// Time the copy of an answer is kept.
    pub answer_retention: Duration,
    /// Largest copy of an answer in bytes; a longer answer is not copied.
    pub max_answer_bytes: usize,
    /// Size of the finished records, in bytes, at which they are moved to a segment. A commit rewrites half
    /// of it on average, and a new owner reads 64 segments at most.
    pub segment_bytes: usize,
    /// Largest encoded bucket value in bytes. The store takes 1 MB, and base64 in JSON adds a third.
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
