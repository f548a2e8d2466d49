//! Stand-ins for what a VM meets on the users' platform: its store, model engines and plain services.
//!
//! They write the bytes of their answers themselves, so that they can break the protocol in the ways that real ones do.

pub mod caller;
pub mod http;
pub mod operator;
pub mod store;
pub mod upstream;
