//! Placement of requests on the upstreams of a service that registered themselves.
//!
//! Answers a load of long prompts with shared parts beside many short ones, on engines whose memory binds before
//! their batch does. Nothing here has sockets or clocks.

pub mod cache;
pub mod fleet;
pub mod load;
pub mod prompt;

pub use cache::{CacheChange, CachePage, CacheView};
pub use fleet::{Announced, Ask, Choice, Ended, Fleet, Refusal, Seen, Ticket};
pub use load::Load;
pub use prompt::{Part, Prompt, RANK_MAX, salt};
