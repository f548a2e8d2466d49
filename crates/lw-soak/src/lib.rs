//! Randomized runs of the daemon on the users' platform, with faults from outside of its processes.
//!
//! VMs are processes of their own; the store, the engines and the plain servers are stand-ins in this process. Loopback
//! proxies between them delay, reset and silence connections. Callers keep their connections for as long as these are
//! open. All of it follows from a seed, except for what the machine's own timing changes. The promises are checked on what
//! callers and upstreams saw.

pub mod callers;
pub mod judge;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod vm;
