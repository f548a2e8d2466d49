//! HTTP clients and servers, datagrams between VMs, the store client, authentication and the timer service.

pub mod auth;
pub mod client;
pub mod datagram;
pub mod server;
pub mod store;
pub mod timer;
