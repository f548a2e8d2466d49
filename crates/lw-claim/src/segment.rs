//! Immutable segments of finished records. They are written once, so that a commit rewrites only recent records.
//!
//! A bucket's value refers to its segments by slot and revision. A slot is overwritten only by a
//! compare-and-swap on the revision in the bucket's value, and only when all records of its segment have
//! expired. If an owner writes a segment and its subsequent compare-and-swap of the bucket fails, the slot has
//! a revision that the value does not contain. This revision must first be written to the value; any
//! compare-and-swap of the value that refers to the former write then fails.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    options::Options,
    record::{ClaimKey, Record},
};

/// Maximum number of segments of one bucket. A new owner reads all of them.
pub(crate) const SEGMENTS_MAX: usize = 64;
/// Time after the retention before a slot is reused, for VMs whose clocks are behind.
const SLOT_REUSE_MARGIN: Duration = Duration::from_secs(60);

/// Reference to the store key of a segment, which is reused when its records have expired.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct SegmentSlot {
    /// Revision of the slot's key in the store; 0 if it was never written.
    pub revision: Revision,
    /// Unix time of the newest record in seconds; 0 if the stored content is unused.
    pub newest_s: u64,
}

impl SegmentSlot {
    /// Returns whether the segment has records that have not expired.
    pub fn is_live(&self, unix: Duration, options: &Options) -> bool {
        self.newest_s > 0 && Duration::from_secs(self.newest_s) + options.retention > unix
    }

    /// Returns whether the slot may be overwritten.
    pub fn is_free(&self, unix: Duration, options: &Options) -> bool {
        Duration::from_secs(self.newest_s) + options.retention + SLOT_REUSE_MARGIN <= unix
    }
}

/// Finished records, which never change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Segment {
    pub records: BTreeMap<ClaimKey, Record>,
}

impl Segment {
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self)
            .unwrap_or_else(|e| unreachable!("encoding a segment cannot fail: {e}"))
    }

    /// Returns the slot of this segment after it was written with `revision`.
    pub fn slot(&self, revision: Revision) -> SegmentSlot {
        let newest_s = self.records.values().map(|record| record.time_s).max().unwrap_or(0);
        SegmentSlot { revision, newest_s }
    }

    /// Returns the record of a key unless it has expired.
    pub fn get(&self, key: &ClaimKey, unix: Duration, options: &Options) -> Option<&Record> {
        self.records.get(key).filter(|record| record.age(unix) < options.retention)
    }
}
