//! Membership of the router's VMs and dissemination of the operators' configuration.
//!
//! Members detect failures by heartbeats, probes and indirect probes, distribute changes by gossip and
//! repair differences by an anti-entropy sync. The crate uses no sockets, clocks, threads or system
//! randomness: the caller passes in the time, messages and results of store calls, and performs the
//! actions that are returned.

pub mod action;
pub mod config;
pub mod member;
pub mod message;
pub mod options;
pub mod view;

pub use action::{Action, PatchOutcome, StoreCall, StoreOutcome};
pub use config::InForce;
pub use member::{Member, Tick};
pub use message::Message;
pub use options::{ListedVm, Options, Timings};
pub use view::{MemberState, Peer};
