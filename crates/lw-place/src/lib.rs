//! Placement of requests on the upstreams of a service that registered themselves.
//!
//! It is built for loads that mix long prompts with shared segments and many short ones, on engines that run out of
//! memory before their batch is full. Nothing here has sockets or clocks.

pub mod cache;
pub mod load;
pub mod pool;
pub mod prompt;
pub mod software;
mod work;

pub use cache::{CacheChange, CachePage, CacheView};
pub use load::Load;
pub use pool::{
    AnnouncedAttempt, AttemptId, CacheStoreSpec, Candidate, Ended, Fleet, Learned, LearnedCosts,
    LimitReport, Placement, PlacementRequest, Refusal, TurnRequest, UpstreamPool,
};
pub use prompt::{CacheScope, Prompt, RANK_MAX, Segment, salt};
