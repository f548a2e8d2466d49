//! Membership of the router's VMs and dissemination of the operators' configuration.
//!
//! The crate has no sockets, clocks, threads or random sources: time, messages and results of store
//! calls go in, actions come out.

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
