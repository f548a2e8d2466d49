//! Stand-ins for the users' hosted platform: its store, operators, model engines, plain services and callers.
//!
//! The servers write the bytes of their answers themselves, so that they can violate the protocol as real ones do.

pub mod caller;
pub mod http;
pub mod limit;
pub mod operator;
pub mod raw;
pub mod store;
pub mod upstream;
