//! Sealed segments: finished records that are written once, so that a commit rewrites only recent ones.
//!
//! A bucket's value refers to its segments by place and revision. A place is written again only by a
//! compare-and-swap on the revision that the bucket's value names, and only when that value has no use for
//! the place any more. A write by an owner that then lost its swap of the bucket leaves a place with a
//! revision that the value does not name; it must first be put into the value, which makes any swap that
//! refers to that write fail.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    options::Options,
    record::{ClaimKey, Record},
};

/// Most segments of one bucket. A new owner reads them all.
pub(crate) const SEGMENTS_MAX: usize = 64;
/// Time after the retention before a place is used again, for VMs whose clocks are behind.
const REUSE_MARGIN: Duration = Duration::from_secs(60);

/// One place for a segment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Place {
    /// Revision of the place's key in the store; 0 when it was never written.
    pub revision: Revision,
    /// Unix time of the newest record in seconds; 0 when nothing refers to the content.
    pub newest_s: u64,
}

impl Place {
    /// Whether the content has records that still count.
    pub fn is_live(&self, unix: Duration, options: &Options) -> bool {
        self.newest_s > 0 && Duration::from_secs(self.newest_s) + options.retention > unix
    }

    /// Whether the place may be written again.
    pub fn is_free(&self, unix: Duration, options: &Options) -> bool {
        Duration::from_secs(self.newest_s) + options.retention + REUSE_MARGIN <= unix
    }
}

/// Finished records; they never change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Segment {
    pub records: BTreeMap<ClaimKey, Record>,
}

impl Segment {
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }

    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_else(|e| unreachable!("a segment always encodes: {e}"))
    }

    /// The place that holds this segment once it was written with `revision`.
    pub fn place(&self, revision: Revision) -> Place {
        let newest_s = self.records.values().map(|record| record.time_s).max().unwrap_or(0);
        Place { revision, newest_s }
    }

    /// A record that still counts.
    pub fn get(&self, key: &ClaimKey, unix: Duration, options: &Options) -> Option<&Record> {
        self.records.get(key).filter(|record| record.age(unix) < options.retention)
    }
}
