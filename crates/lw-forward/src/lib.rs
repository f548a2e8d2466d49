//! Forwarding over HTTP/1.1: connections to upstreams, callers' connections, and streams of events.
//!
//! It uses `hyper`, the library beneath `volo-http`, since forwarding has to know whether a request was written to a
//! connection, and has to bound and end callers' connections itself; `volo-http` hides both.

pub mod collect;
pub mod events;
pub mod listen;
pub mod pool;
