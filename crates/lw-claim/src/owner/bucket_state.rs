//! The state of one bucket at its owner.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use super::Action;
use crate::{
    message::{AttemptId, ClaimStatus, Reply, Request},
    options::Options,
    record::{ClaimKey, Record, Value},
    segment::{Segment, SegmentSlot},
};

/// A request that waits for a commit.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub request: Request,
    pub received_at: Now,
    /// Whether the claim was in a write that may have taken effect.
    pub maybe_written: bool,
}

/// The cached value of a bucket.
#[derive(Debug)]
pub(super) struct LoadedValue {
    pub value: Value,
    pub revision: Revision,
    /// Time at which the read or write that returned the revision was issued.
    pub confirmed_at: Now,
    /// Change of a segment slot that the next write of the value must contain.
    pub slot_update: SlotUpdate,
}

/// Change of a segment slot that is not in the bucket's value yet.
#[derive(Debug, Default)]
pub(super) enum SlotUpdate {
    #[default]
    None,
    /// The slot may have been written with a revision that the value does not contain.
    RevisionUnknown(u32),
    /// The slot has this unexpected revision; its content is unused.
    RevisionRead(u32, Revision),
    /// This segment was written to the slot.
    SegmentWritten(u32, Revision, Segment),
}

/// A store call with what is needed to handle its result.
#[derive(Debug)]
pub(super) enum StoreCallKind {
    /// Read of the bucket's value.
    ReadValue,
    /// Reads of the missing segments of a value, by call number.
    ReadSegments { loaded: LoadedValue, open_reads: BTreeMap<u64, (u32, Revision)> },
    /// Write of the bucket's value.
    WriteValue { value: Value, batch: Vec<(QueuedRequest, ClaimStatus)> },
    /// Write of a segment.
    WriteSegment { slot: u32, segment: Segment },
    /// Read of a slot to obtain its revision.
    ReadSlotRevision { slot: u32 },
}

/// A store call in progress.
#[derive(Debug)]
pub(super) struct StoreCall {
    /// Number of the call, except for reads of segments.
    pub op: u64,
    pub issued_at: Now,
    pub kind: StoreCallKind,
}

impl StoreCall {
    pub fn waits_for(&self, op: u64) -> bool {
        match &self.kind {
            StoreCallKind::ReadSegments { open_reads, .. } => open_reads.contains_key(&op),
            _ => self.op == op,
        }
    }
}

/// The cached value and segments of a bucket, and its queue of requests.
#[derive(Debug, Default)]
pub(super) struct BucketState {
    pub loaded: Option<LoadedValue>,
    pub queue: Vec<QueuedRequest>,
    pub store_call: Option<StoreCall>,
    pub last_write: Option<Now>,
    /// Cached segments by slot and revision, which never change.
    pub segments: BTreeMap<(u32, Revision), Segment>,
}

impl BucketState {
    /// Handles a store call that failed or was lost, in which case it may have taken effect.
    pub fn fail(&mut self, kind: StoreCallKind, is_lost: bool) {
        match (kind, &mut self.loaded) {
            (StoreCallKind::WriteValue { batch, .. }, _) => self.requeue(batch, is_lost),
            (StoreCallKind::WriteSegment { slot, .. }, Some(loaded)) if is_lost => {
                loaded.slot_update = SlotUpdate::RevisionUnknown(slot);
            }
            _ => {}
        }
    }

    /// Returns a batch whose write did not succeed to the front of the queue.
    pub fn requeue(&mut self, batch: Vec<(QueuedRequest, ClaimStatus)>, is_lost: bool) {
        let again = batch.into_iter().map(|(queued, _)| QueuedRequest {
            maybe_written: queued.maybe_written || is_lost,
            ..queued
        });
        self.queue.splice(0..0, again);
        self.loaded = None;
        if is_lost {
            // The callers have already waited for a store timeout, so the value is read again at once.
            self.last_write = None;
        }
    }

    /// Caches a value that was written, and the segment whose slot update it contained.
    pub fn cache_written_value(&mut self, value: Value, revision: Revision, confirmed_at: Now) {
        let old = self.loaded.take().map(|loaded| loaded.slot_update);
        if let Some(SlotUpdate::SegmentWritten(slot, slot_revision, segment)) = old {
            self.segments.retain(|(other, _), _| *other != slot);
            self.segments.insert((slot, slot_revision), segment);
        }
        self.loaded =
            Some(LoadedValue { value, revision, confirmed_at, slot_update: SlotUpdate::None });
    }

    /// Returns whether all segments that `value` refers to are cached. One may be missing after the clock was set back.
    pub fn has_all_segments(&self, value: &Value, unix: Duration, options: &Options) -> bool {
        value.live_slots(unix, options).all(|at| self.segments.contains_key(&at))
    }

    /// Returns the record of a key in the segments that `value` refers to, or in the one written last.
    pub fn segment_record(
        &self,
        value: &Value,
        key: &ClaimKey,
        unix: Duration,
        options: &Options,
    ) -> Option<&Record> {
        let written = match self.loaded.as_ref().map(|loaded| &loaded.slot_update) {
            Some(SlotUpdate::SegmentWritten(_, _, segment)) => Some(segment),
            _ => None,
        };
        let stored = value.live_slots(unix, options).filter_map(|at| self.segments.get(&at));
        stored.chain(written).find_map(|segment| segment.get(key, unix, options))
    }
}

impl LoadedValue {
    /// Applies the slot update to the value to be written. Returns whether there was one.
    pub fn apply_slot_update(&self, value: &mut Value) -> bool {
        match &self.slot_update {
            SlotUpdate::None | SlotUpdate::RevisionUnknown(_) => return false,
            SlotUpdate::RevisionRead(slot, revision) => {
                value.set_slot(*slot, SegmentSlot { revision: *revision, newest_s: 0 });
            }
            SlotUpdate::SegmentWritten(slot, revision, segment) => {
                value.set_slot(*slot, segment.slot(*revision));
                value.remove_segment_records(segment);
            }
        }
        true
    }
}

/// Returns the reply to a request. If another attempt holds the claim, its grant is also repeated: in case the
/// first grant was lost, the holder releases the claim, and a later retry can claim the key.
pub(super) fn replies(queued: QueuedRequest, claim_status: ClaimStatus) -> Vec<Action> {
    let Request { bucket, key, attempt, .. } = queued.request;
    let grant = |attempt: &AttemptId| {
        let attempt = attempt.clone();
        Action::Reply(Reply { attempt, bucket, key, claim_status: ClaimStatus::Granted })
    };
    let mut actions = match &claim_status {
        ClaimStatus::Held(by) => vec![grant(by)],
        _ => Vec::new(),
    };
    actions.push(Action::Reply(Reply { attempt, bucket, key, claim_status }));
    actions
}
