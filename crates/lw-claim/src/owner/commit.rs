//! Commits: applies the queue to the value, seals segments and issues the store calls.

use lw_types::prelude::*;

use super::{
    Action, EventTime, Owner,
    slot::{Busy, Call, Held, Pending, Queued, Slot, replies},
};
use crate::{
    bucket::segment_number,
    message::{ClaimStatus, RequestKind},
    options::Options,
    record::Value,
    segment::Segment,
};

impl Owner {
    /// Reads the value of a bucket anew.
    pub(super) fn read(&mut self, now: Now, bucket: u32) -> Vec<Action> {
        let op = self.next_op();
        let slot = self.slots.entry(bucket).or_default();
        slot.held = None;
        slot.busy = Some(Busy { op, since: now, call: Call::Get });
        vec![Action::Get { op, bucket }]
    }

    /// Takes a value that was read; reads its segments where they are not held.
    pub(super) fn load(&mut self, at: EventTime, bucket: u32, held: Held) -> Vec<Action> {
        let Some(slot) = self.slots.get_mut(&bucket) else { return Vec::new() };
        let live: Vec<_> = held.value.live_places(at.unix, &self.options).collect();
        slot.segments.retain(|place, _| live.contains(place));
        let mut open = std::collections::BTreeMap::new();
        let mut actions = Vec::new();
        for place in live.into_iter().filter(|place| !slot.segments.contains_key(place)) {
            self.next_op += 1;
            open.insert(self.next_op, place);
            let number = segment_number(bucket, self.options.buckets, place.0);
            actions.push(Action::Get { op: self.next_op, bucket: number });
        }
        if open.is_empty() {
            slot.held = Some(held);
        } else {
            slot.busy = Some(Busy { op: 0, since: at.now, call: Call::Load { held, open } });
        }
        actions
    }

    /// Takes a segment that was read. False if it is not the one that the value refers to.
    pub(super) fn take_segment(
        slot: &mut Slot,
        place: (u32, Revision),
        read: (Revision, Option<Vec<u8>>),
    ) -> bool {
        let segment = read.1.and_then(|bytes| Segment::decode(&bytes).ok());
        match segment {
            Some(segment) if read.0 == place.1 => {
                slot.segments.insert(place, segment);
                true
            }
            _ => false,
        }
    }

    pub(super) fn commit(&mut self, at: EventTime, bucket: u32) -> Vec<Action> {
        let op = self.next_op();
        let options = &self.options;
        let Some(slot) = self.slots.get_mut(&bucket) else { return Vec::new() };
        let complete = |held: &Held| slot.is_complete(&held.value, at.unix, options);
        if !slot.held.as_ref().is_some_and(complete) {
            return self.read(at.now, bucket);
        }
        let Some(held) = &mut slot.held else { return Vec::new() };
        if let Some((action, call)) = side_call(held, at, op, bucket, options) {
            slot.busy = Some(Busy { op, since: at.now, call });
            return vec![action];
        }
        let mut value = held.value.clone();
        value.expire(at.unix, options);
        let mut changed = held.apply_pending(&mut value);
        let (prev, confirmed) = (held.revision, held.confirmed);
        let mut findings = Vec::with_capacity(slot.queue.len());
        for queued in &slot.queue {
            let (claim_status, change) = apply(slot, &mut value, queued, at, options);
            changed |= change;
            findings.push(claim_status);
        }
        if changed {
            let bytes = value.encode();
            let batch = std::mem::take(&mut slot.queue).into_iter().zip(findings).collect();
            slot.busy = Some(Busy { op, since: at.now, call: Call::Put { value, batch } });
            slot.last_write = Some(at.now);
            return vec![Action::Put { op, bucket, prev, value: bytes }];
        }
        // An outcome that changes nothing may only be acknowledged from a value read after it came: an
        // older value may lack the claim, and the outcome would be lost.
        let fresh = |queued: &Queued| match queued.request.kind {
            RequestKind::Record(_) => confirmed >= queued.since,
            RequestKind::Claim(_) => confirmed + options.max_cache_age >= at.now,
        };
        if !slot.queue.iter().all(fresh) {
            return self.read(at.now, bucket);
        }
        let queue = std::mem::take(&mut slot.queue);
        queue.into_iter().zip(findings).flat_map(|(queued, f)| replies(queued, f)).collect()
    }

    pub(super) fn next_op(&mut self) -> u64 {
        self.next_op += 1;
        self.next_op
    }
}

/// The store call for a segment that must come before the next write of the value.
fn side_call(
    held: &mut Held,
    at: EventTime,
    op: u64,
    bucket: u32,
    options: &Options,
) -> Option<(Action, Call)> {
    let number = |place| segment_number(bucket, options.buckets, place);
    match held.pending {
        Pending::Nothing => {}
        Pending::Unsure(place) => {
            return Some((Action::Get { op, bucket: number(place) }, Call::Learn { place }));
        }
        Pending::Learnt(..) | Pending::Sealed(..) => return None,
    }
    let (place, prev, segment) = held.value.segment_due(at.unix, options)?;
    let put = Action::Put { op, bucket: number(place), prev, value: segment.encode() };
    Some((put, Call::Seal { place, segment }))
}

fn apply(
    slot: &Slot,
    value: &mut Value,
    queued: &Queued,
    at: EventTime,
    options: &Options,
) -> (ClaimStatus, bool) {
    let (key, attempt) = (queued.request.key, &queued.request.attempt);
    match &queued.request.kind {
        RequestKind::Claim(digest) => {
            let sealed = slot.sealed(value, &key, at.unix, options);
            match sealed.and_then(|record| record.claim_status(*digest, attempt, at.unix, options))
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
