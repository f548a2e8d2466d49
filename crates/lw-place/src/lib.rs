//! Placement of requests on the upstreams of a service that registered themselves.
//!
//! Answers a load of long prompts with shared parts beside many short ones, on engines whose memory binds before
//! their batch does. Nothing here has sockets or clocks.

pub mod cache;
pub mod load;
pub mod pool;
pub mod prompt;

pub use cache::{CacheChange, CachePage, CacheView};
pub use load::Load;
pub use pool::{
    AnnouncedAttempt, AttemptId, Candidate, Ended, Placement, PlacementRequest, Refusal,
    UpstreamPool,
};
pub use prompt::{Prompt, RANK_MAX, Segment, salt};
