//! Finds the segments of prompts that crash engines, and quarantines them: requests that hold one are refused until it
//! is released.
//!
//! It is built for a load in which a few of hundreds of requests a second crash their engine, beside sound ones that share
//! all other segments with them, and in which engines also crash for other reasons. Each VM decides by itself on what
//! the VMs report to each other. Nothing here has sockets or clocks.

pub mod culprits;
pub mod evidence;
pub mod quarantine;
pub mod segments;

pub use evidence::{CrashReport, Suspect};
pub use quarantine::{Action, Basis, Quarantine, ReleaseReason, StoredSet};
pub use segments::SegmentSet;
