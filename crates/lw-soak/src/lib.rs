//! Randomized runs of the daemon on the users' platform, with faults injected from outside its processes.
//!
//! VMs run as processes of their own; the store, the engines and the plain services are stand-ins in this process.
//! Loopback proxies between them delay, reset and withhold traffic. Callers keep their connections open between
//! requests; others are hostile. A seed determines the faults and requests, but not the timing of the machine. The guarantees are checked
//! on the requests and answers that callers and upstreams recorded.

pub mod callers;
pub mod checks;
pub mod hostile;
pub mod releases;
pub mod run;
pub mod schedule;
pub mod vm;
