//! What a VM has to do about quarantined sets, and what it knows of those of others.

use std::time::Duration;

use derive_more::Display;
use lw_types::prelude::*;

use crate::{CrashReport, SegmentSet};

/// Why a set of segments is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ReleaseReason {
    /// An answer showed that it does not crash engines.
    #[display("an answer on it was sound")]
    Sound,
    /// Its time is over.
    #[display("its time is over")]
    Expired,
    /// Another VM or an operator released it.
    #[display("it was released elsewhere")]
    Elsewhere,
    /// A smaller set that is quarantined covers it.
    #[display("a smaller set covers it")]
    Covered,
}

/// Evidence on which a set is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Basis {
    /// Time since the first crash.
    pub age: Duration,
    /// Number of crashes.
    pub crashes: usize,
}

/// A quarantined set in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredSet {
    /// Revision of its entry.
    pub revision: Revision,
    /// Number of crashes for which it was blamed.
    pub crashes: usize,
}

/// What the VM has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Reports own suspects to the other VMs.
    Report(CrashReport),
    /// Tells the other VMs that answers on these segments were sound, and how long ago.
    Vouch(Vec<(SegmentId, Duration)>),
    /// Tells the other VMs that a set is quarantined, and on which evidence.
    Announce(SegmentSet, Basis),
    /// Tells the other VMs that a set is released.
    AnnounceRelease(SegmentSet),
    /// Writes a set to the store, with the number of crashes for which it was blamed.
    Store(SegmentSet, usize),
    /// Removes a set from the store if it still has this revision.
    Unstore(SegmentSet, Revision),
    /// Logs that this VM blames a set for this number of crashes.
    LogBlamed(SegmentSet, usize),
    /// Logs that a set is quarantined as another VM or the store reported.
    LogAdopted(SegmentSet),
    /// Logs that a set is not quarantined since too many are.
    LogTooMany(SegmentSet),
    /// Logs that a set is released.
    LogReleased(SegmentSet, ReleaseReason),
}
