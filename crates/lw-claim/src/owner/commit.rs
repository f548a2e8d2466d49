//! Commits: applies the queued requests to the bucket value, writes segments and issues the store calls.

use lw_types::prelude::*;

use super::{
    Action, EventTime, Owner,
    bucket_state::{
        BucketState, LoadedValue, QueuedRequest, SlotUpdate, StoreCall, StoreCallKind, replies,
    },
};
use crate::{
    bucket::segment_number,
    message::{ClaimStatus, RequestKind},
    options::Options,
    record::Value,
    segment::Segment,
};

impl Owner {
    /// Reads the value of a bucket from the store.
    pub(super) fn read_value(&mut self, now: Now, bucket: u32) -> Vec<Action> {
        let op = self.next_op();
        let state = self.buckets.entry(bucket).or_default();
        state.loaded = None;
        state.store_call = Some(StoreCall { op, issued_at: now, kind: StoreCallKind::ReadValue });
        vec![Action::Get { op, bucket }]
    }

    /// Caches a value that was read, after reading those of its segments that are not cached.
    pub(super) fn load_segments(
        &mut self,
        at: EventTime,
        bucket: u32,
        loaded: LoadedValue,
    ) -> Vec<Action> {
        let Some(state) = self.buckets.get_mut(&bucket) else { return Vec::new() };
        let live: Vec<_> = loaded.value.live_slots(at.unix, &self.options).collect();
        state.segments.retain(|slot, _| live.contains(slot));
        let mut open_reads = std::collections::BTreeMap::new();
        let mut actions = Vec::new();
        for slot in live.into_iter().filter(|slot| !state.segments.contains_key(slot)) {
            self.next_op += 1;
            open_reads.insert(self.next_op, slot);
            let number = segment_number(bucket, self.options.buckets, slot.0);
            actions.push(Action::Get { op: self.next_op, bucket: number });
        }
        if open_reads.is_empty() {
            state.loaded = Some(loaded);
        } else {
            state.store_call = Some(StoreCall {
                op: 0,
                issued_at: at.now,
                kind: StoreCallKind::ReadSegments { loaded, open_reads },
            });
        }
        actions
    }

    /// Caches a segment that was read. Returns false if it is not the one that the value refers to.
    pub(super) fn cache_segment(
        state: &mut BucketState,
        slot: (u32, Revision),
        stored: (Revision, Option<Vec<u8>>),
    ) -> bool {
        let segment = stored.1.and_then(|bytes| Segment::decode(&bytes).ok());
        match segment {
            Some(segment) if stored.0 == slot.1 => {
                state.segments.insert(slot, segment);
                true
            }
            _ => false,
        }
    }

    /// Applies the queued requests to the value and writes it, or replies at once if nothing changes.
    pub(super) fn commit(&mut self, at: EventTime, bucket: u32) -> Vec<Action> {
        let op = self.next_op();
        let options = &self.options;
        let Some(state) = self.buckets.get_mut(&bucket) else { return Vec::new() };
        let has_all_segments =
            |loaded: &LoadedValue| state.has_all_segments(&loaded.value, at.unix, options);
        if !state.loaded.as_ref().is_some_and(has_all_segments) {
            return self.read_value(at.now, bucket);
        }
        let Some(loaded) = &mut state.loaded else { return Vec::new() };
        if let Some((action, kind)) = segment_slot_call(loaded, at, op, bucket, options) {
            state.store_call = Some(StoreCall { op, issued_at: at.now, kind });
            return vec![action];
        }
        let mut value = loaded.value.clone();
        value.expire(at.unix, options);
        let mut is_changed = loaded.apply_slot_update(&mut value);
        let (prev, confirmed_at) = (loaded.revision, loaded.confirmed_at);
        let mut statuses = Vec::with_capacity(state.queue.len());
        for queued in &state.queue {
            let (claim_status, has_effect) = apply_request(state, &mut value, queued, at, options);
            is_changed |= has_effect;
            statuses.push(claim_status);
        }
        if is_changed {
            let bytes = value.encode();
            let batch = std::mem::take(&mut state.queue).into_iter().zip(statuses).collect();
            state.store_call = Some(StoreCall {
                op,
                issued_at: at.now,
                kind: StoreCallKind::WriteValue { value, batch },
            });
            state.last_write = Some(at.now);
            return vec![Action::Put { op, bucket, prev, value: bytes }];
        }
        // An outcome that changes nothing may only be acknowledged if the value was read after the outcome was
        // received: an older value may lack the claim, and the outcome would be lost.
        let is_fresh = |queued: &QueuedRequest| match queued.request.kind {
            RequestKind::Record(_) => confirmed_at >= queued.received_at,
            RequestKind::Claim(_) => confirmed_at + options.max_cache_age >= at.now,
        };
        if !state.queue.iter().all(is_fresh) {
            return self.read_value(at.now, bucket);
        }
        let queue = std::mem::take(&mut state.queue);
        queue
            .into_iter()
            .zip(statuses)
            .flat_map(|(queued, status)| replies(queued, status))
            .collect()
    }

    pub(super) fn next_op(&mut self) -> u64 {
        self.next_op += 1;
        self.next_op
    }
}

/// Returns the store call for a segment slot that must precede the next write of the value, if any.
fn segment_slot_call(
    loaded: &mut LoadedValue,
    at: EventTime,
    op: u64,
    bucket: u32,
    options: &Options,
) -> Option<(Action, StoreCallKind)> {
    let number = |slot| segment_number(bucket, options.buckets, slot);
    match loaded.slot_update {
        SlotUpdate::None => {}
        SlotUpdate::RevisionUnknown(slot) => {
            return Some((
                Action::Get { op, bucket: number(slot) },
                StoreCallKind::ReadSlotRevision { slot },
            ));
        }
        SlotUpdate::RevisionRead(..) | SlotUpdate::SegmentWritten(..) => return None,
    }
    let (slot, prev, segment) = loaded.value.due_segment(at.unix, options)?;
    let put = Action::Put { op, bucket: number(slot), prev, value: segment.encode() };
    Some((put, StoreCallKind::WriteSegment { slot, segment }))
}

/// Applies one request to the value. Returns the status of the claim and whether the value has changed.
fn apply_request(
    state: &BucketState,
    value: &mut Value,
    queued: &QueuedRequest,
    at: EventTime,
    options: &Options,
) -> (ClaimStatus, bool) {
    let (key, attempt) = (queued.request.key, &queued.request.attempt);
    match &queued.request.kind {
        RequestKind::Claim(digest) => {
            let segment_record = state.segment_record(value, &key, at.unix, options);
            match segment_record
                .and_then(|record| record.claim_status(*digest, attempt, at.unix, options))
            {
                Some(claim_status) => (claim_status, false),
                None => value.claim(key, *digest, attempt, at.unix, options),
            }
        }
        RequestKind::Record(outcome) => {
            (ClaimStatus::Recorded, value.record(key, attempt, outcome, at.unix, options))
        }
    }
}
