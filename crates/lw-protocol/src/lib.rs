//! Wire types of the interfaces with callers, operators, upstreams, other VMs and the platform.

pub mod caller;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod sse;
pub mod upstream;
