//! Wire types of the interfaces towards callers, operators, upstreams and the platform.

pub mod caller;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod sse;
pub mod upstream;
