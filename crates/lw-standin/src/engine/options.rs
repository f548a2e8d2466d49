//! Options and fault switches of an engine.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lw_protocol::upstream::RefusalReason;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::serve::HttpFaults;

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Role at the start.
    pub role: String,
    /// Versions that are loaded at the start, by model.
    pub models: BTreeMap<ModelId, String>,
    /// Versions that are loaded at the start, by adapter.
    pub adapters: BTreeMap<String, String>,
    /// Incarnation of the first start, raised by one at each restart; `None` uses the time of each start in
    /// milliseconds since the epoch.
    pub incarnation: Option<Incarnation>,
    /// Maximum number of requests that run at once.
    pub running_max: usize,
    /// Maximum number of requests that wait; further ones are refused as busy.
    pub queue_max: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Tokens of one block.
    pub block_tokens: u64,
    /// Time to compute one block that is not cached; one block is computed at a time.
    pub prefill_per_block: Duration,
    /// Time from one token of an answer to the next.
    pub token_time: Duration,
    /// Longest answer in tokens; a lower `max_tokens` of the request applies instead.
    pub answer_max: u32,
    /// Age of the load reports that `GET /load` returns.
    pub load_lag: Duration,
    /// Whether load reports state their age.
    pub has_report_age: bool,
    /// Age at which cache events become visible.
    pub events_lag: Duration,
    /// Longest wait of `GET /cache-events`.
    pub events_wait: Duration,
    /// Time to load weights.
    pub load_time: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub is_fencing_checked: bool,
    /// Fault switches at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            role: "assistant".to_owned(),
            models: BTreeMap::from([("m".to_owned(), "1".to_owned())]),
            adapters: BTreeMap::new(),
            incarnation: None,
            running_max: 8,
            queue_max: 64,
            cache_blocks: 256,
            block_tokens: 1024,
            prefill_per_block: Duration::from_millis(5),
            token_time: Duration::from_millis(2),
            answer_max: u32::MAX,
            load_lag: Duration::ZERO,
            has_report_age: true,
            events_lag: Duration::ZERO,
            events_wait: Duration::from_secs(20),
            load_time: Duration::from_millis(200),
            is_fencing_checked: true,
            faults: Faults::default(),
        }
    }
}

/// Fault switches of an engine, the body of `POST /faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults that affect any request; `down_ms` is a crash, after which the cache is empty and the incarnation new.
    pub http: HttpFaults,
    /// Faults of the event streams.
    pub stream: StreamFaults,
    /// Time of prefill and decoding in percent of the normal time; 0 means 100.
    pub slow_percent: u32,
    /// Time of loading weights in percent of the normal time; 0 means 100.
    pub load_percent: u32,
    /// Age of load reports in milliseconds, in place of [`Options::load_lag`].
    pub load_lag_ms: Option<u64>,
    /// Age at which cache events become visible in milliseconds, in place of [`Options::events_lag`].
    pub events_lag_ms: Option<u64>,
    /// Every n-th cache event is omitted but numbered; 0 omits none.
    pub event_gap_every: u64,
    /// The engine reports that it is leaving and refuses new work.
    pub leaving: bool,
    /// All requests are refused for this reason.
    pub refuse: Option<RefusalReason>,
}

/// Faults of the event streams of an engine; fields that end in `_every` count events, and 0 means never.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StreamFaults {
    /// The number of streams, from the next one on, that have the faults; `None` means all.
    pub times: Option<u32>,
    /// The connection is closed after this many events.
    pub drop_after: Option<u64>,
    /// Nothing more is sent after this many events, and the connection stays open.
    pub silent_after: Option<u64>,
    /// Every n-th event is sent twice.
    pub duplicate_every: u64,
    /// Every n-th event is sent after the one that follows it, if it is a token.
    pub reorder_every: u64,
    /// Every n-th event is preceded by one of another request.
    pub cross_every: u64,
    /// Every n-th event is omitted, if it is a token.
    pub lose_every: u64,
    /// All events state this version of the weights, as those of an engine that accepted a delayed order do.
    pub as_version: Option<String>,
    /// All events state this incarnation.
    pub as_incarnation: Option<Incarnation>,
}

impl Faults {
    /// Returns the faults of the next stream and counts `times` down.
    pub(super) fn next_stream_faults(&mut self) -> StreamFaults {
        match &mut self.stream.times {
            Some(0) => StreamFaults::default(),
            Some(remaining) => {
                *remaining -= 1;
                self.stream.clone()
            }
            None => self.stream.clone(),
        }
    }
}

/// Returns a percentage of a time, where 0 means 100.
pub(super) fn scaled(time: Duration, percent: u32) -> Duration {
    if percent == 0 { time } else { time * percent / 100 }
}
