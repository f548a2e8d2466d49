//! Forwarding over HTTP/1.1: connections to upstreams, callers' connections, and streams of server-sent events.
//!
//! It uses `hyper`, the library beneath `volo-http`, since forwarding needs to know whether a request was written to a
//! connection, and needs to limit and close callers' connections itself; `volo-http` hides both.

pub mod collect;
pub mod drain;
pub mod events;
pub mod intake;
pub mod listen;
pub mod pool;
